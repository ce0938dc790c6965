"""Tests of the keepalive timer, on an event loop with simulated time."""

from __future__ import annotations

from collections.abc import Callable
from unittest import TestCase

from attrs import define, field

from brackenladder.transport.keepalive import Keepalive
from brackenladder.transport.link import LinkTiming

TIMING = LinkTiming(ping_every=400_000, silence_timeout=1_600_000)


@define
class FakeTimer:
    when: float
    call: Callable[[], None]
    cancelled: bool = False

    def cancel(self) -> None:
        self.cancelled = True


@define
class FakeLoop:
    """An event loop with simulated time and at most one timer."""

    now: float = 100.0
    timer: FakeTimer | None = None
    armed: int = 0

    def time(self) -> float:
        return self.now

    def call_at(self, when: float, callback: Callable[..., None], *arguments: object) -> FakeTimer:
        assert self.timer is None or self.timer.cancelled or self.timer.when <= self.now, "two timers"
        self.timer = FakeTimer(when, lambda: callback(*arguments))
        self.armed += 1
        return self.timer

    def advance(self, seconds: float) -> None:
        """Advances the time and runs the timers that become due, each on time."""
        end = self.now + seconds
        while self.timer is not None and not self.timer.cancelled and self.timer.when <= end:
            timer = self.timer
            self.now = max(self.now, timer.when)
            timer.call()
            if self.timer is timer:
                self.timer = None
        self.now = end

    def stand_still(self, seconds: float) -> None:
        """Advances the time without running timers, as if the process were suspended."""
        self.now += seconds


@define(eq=False)
class FakeLink:
    loop: FakeLoop
    last_sent_at: float = field(init=False)
    last_received_at: float = field(init=False)
    grace_given: bool = False
    pings: list[float] = field(factory=list)
    ended: list[float] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        self.last_sent_at = self.last_received_at = self.loop.now

    def ping(self, now: float) -> None:
        self.last_sent_at = now
        self.pings.append(now - 100.0)

    def on_silence_timeout(self) -> None:
        self.ended.append(self.loop.now - 100.0)

    def receive(self) -> None:
        self.last_received_at = self.loop.now
        self.grace_given = False


class KeepaliveTest(TestCase):
    def setUp(self):
        self.loop = FakeLoop()
        self.keepalive = Keepalive(self.loop, TIMING)

    def link(self) -> FakeLink:
        link = FakeLink(self.loop)
        self.keepalive.add(link)
        return link

    def assert_times(self, found: list[float], expected: list[float]) -> None:
        self.assertEqual([round(each, 3) for each in found], expected)

    def test_a_quiet_link_pings_and_is_closed_when_silent(self):
        link = self.link()
        self.loop.advance(1.7)
        self.assert_times(link.pings, [0.4, 0.8, 1.2, 1.6])
        self.assert_times(link.ended[:1], [1.6])

    def test_a_link_that_receives_data_stays_open(self):
        link = self.link()
        for _ in range(100):
            self.loop.advance(1.5)
            link.receive()
        self.assertEqual(link.ended, [])

    def test_a_link_that_sends_needs_no_pings(self):
        link = self.link()
        for _ in range(100):
            self.loop.advance(0.2)
            link.last_sent_at = self.loop.now
            link.receive()
        self.assertEqual(link.pings, [])

    def test_no_link_is_quiet_for_longer_than_the_ping_time(self):
        links = []
        for _ in range(50):
            links.append(self.link())
            self.loop.advance(0.013)
        self.loop.advance(1.0)
        for link in links:
            gaps = [after - before for before, after in zip(link.pings, link.pings[1:], strict=False)]
            self.assertLessEqual(max(gaps), 0.4 + 1e-6)

    def test_links_share_a_timer_and_their_wakeups(self):
        links = []
        for _ in range(300):
            links.append(self.link())
            self.loop.advance(0.001)
        self.loop.armed = 0
        for _ in range(100):
            self.loop.advance(0.1)
            for link in links:
                link.receive()
        self.assertLessEqual(self.loop.armed, 10 / 0.1)
        self.assertEqual([link.ended for link in links], [[]] * 300)

    def test_without_links_no_timer_runs(self):
        self.assertIsNone(self.loop.timer)
        link = self.link()
        self.keepalive.discard(link)
        self.assertTrue(self.loop.timer.cancelled)
        armed = self.loop.armed
        self.loop.advance(10)
        self.assertEqual(self.loop.armed, armed)
        self.link()
        self.assertEqual(self.loop.armed, armed + 1)

    def test_after_a_suspension_links_get_time_to_read_before_they_are_closed(self):
        links = [self.link() for _ in range(3)]
        self.loop.advance(0.1)
        self.loop.stand_still(30.0)
        self.loop.advance(0.0)
        self.assertEqual([link.ended for link in links], [[], [], []])
        links[0].receive()
        self.loop.advance(0.5)
        self.assertEqual([bool(link.ended) for link in links], [False, True, True])

    def test_a_timer_that_is_always_late_still_closes_silent_links(self):
        link = self.link()
        for _ in range(20):
            self.loop.stand_still(0.9)
            self.loop.advance(0.0)
        self.assertTrue(link.ended)
        self.assertLess(link.ended[0], 4.0)

    def test_a_link_that_received_data_gets_another_extension(self):
        link = self.link()
        for _ in range(5):
            self.loop.stand_still(5.0)
            self.loop.advance(0.0)
            self.assertEqual(link.ended, [])
            link.receive()
