"""The end of a watch: answers that stop half-way or never end, and a new discovery with an older list."""

from __future__ import annotations

import asyncio
import json

import pytest
from crossings import Raw
from loopback import Bench, Discovery, Server, call, play, until

from brackenladder.discovery.sources import PUSH_RETRY, AgentDiscovery, PolledDiscovery
from brackenladder.discovery.watch import CONNECT_TIMEOUT
from brackenladder.interface import ListKind, State
from brackenladder.membership.current_list import CurrentList
from brackenladder.membership.listing import Line, Listing
from brackenladder.membership.watch_retry import (
    ANSWER_TIMEOUT,
    BODY_TIMEOUT,
    FIRST_BYTE_TIMEOUT,
    MAX_PAUSE,
    MAX_RETRIES,
    READ_TIMEOUT,
)
from brackenladder.membership.withdrawn import MAX_WITHDRAWN, RETENTION

GRACE = 0.25  # seconds after a change counts as delivered in which requests may still be sent
# Seconds until the platform counts a change as delivered: after a watch fell silent, after the end of its
# long-poll wait, and after a SIGHUP.
AFTER_SILENCE, AFTER_WAIT, AFTER_SIGHUP = 6.0, 2.0, 4.0
NEW_CALL = CONNECT_TIMEOUT + FIRST_BYTE_TIMEOUT


@pytest.mark.parametrize(
    ("what", "worst", "told"),
    [
        ("a whole list that does not begin", FIRST_BYTE_TIMEOUT + NEW_CALL, AFTER_SILENCE),
        ("a list that stops half-way", READ_TIMEOUT + NEW_CALL, AFTER_SILENCE),
        ("a list that comes byte by byte", BODY_TIMEOUT + NEW_CALL, AFTER_SILENCE),
        # No connection timeout here: a connection is established at once, or the module decides what to do;
        # see docs/endings.md.
        ("a watch that ends its wait in silence", ANSWER_TIMEOUT + FIRST_BYTE_TIMEOUT, AFTER_WAIT),
        ("the first list after a move does not begin", FIRST_BYTE_TIMEOUT + NEW_CALL, AFTER_SIGHUP),
        ("it does not begin twice", 2 * FIRST_BYTE_TIMEOUT + MAX_PAUSE + FIRST_BYTE_TIMEOUT, AFTER_SIGHUP),
        ("it stops half-way", READ_TIMEOUT + NEW_CALL, AFTER_SIGHUP),
        ("the agent's watch is made anew", PUSH_RETRY, GRACE),
    ],
)
def test_a_failed_call_leaves_time_for_another(what, worst, told):
    """Worst-case seconds from the time at which discovery fell silent, or the wait ended, to a new answer."""
    assert worst <= told - 0.05, what


@pytest.mark.parametrize("drip", [False, True])
def test_an_incomplete_list_is_requested_again(drip, monkeypatch):
    """Failure prevented: the call is abandoned 6 s after its first byte, when its list already counts."""
    bounds = (
        {"READ_TIMEOUT": 600.0, "BODY_TIMEOUT": 0.3} if drip else {"READ_TIMEOUT": 0.2, "BODY_TIMEOUT": 600.0}
    )
    for name, value in bounds.items():
        monkeypatch.setattr(f"brackenladder.discovery.watch.{name}", value)

    async def scene():
        bench = await Bench(leaving := Server(), staying := Server()).start()
        discovery = bench.discovery
        await until(lambda: len(discovery.requests) == 1)
        body = json.dumps(
            {"version": 42, "full": False, "servers": [leaving.entry("s0", "draining")]}
        ).encode()
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        if drip:
            discovery.answers.put_nowait(b"HTTP/1.1 200 OK\r\nContent-Length: 4000000\r\n\r\n")
            await until(lambda: bench.node.http.source.watch_call.answer_started)
            while len(discovery.requests) == 1:
                if not discovery.writers[0].is_closing():
                    discovery.writers[0].write(b" ")
                await asyncio.sleep(0.02)
        else:
            discovery.answers.put_nowait(head + body[: len(body) // 2])
        await until(lambda: len(discovery.requests) == 2)
        discovery.answers.put_nowait(head + body)
        await until(lambda: bench.node.http.source.version == 42)
        for _ in range(20):
            assert (await bench.once(call("view")))[0] == 200
        assert not leaving.requests and len(staying.requests) == 20

    play(scene)


class Timers:
    """An event loop that only records timers."""

    def __init__(self):
        self.delays = []

    def time(self):
        return 0.0

    def call_later(self, delay, *_):
        self.delays.append(delay)
        return self

    def cancel(self):
        pass


def test_a_silent_agent_is_called_again_before_its_list_counts(monkeypatch):
    """The platform counts a list as delivered as soon as the agent has it."""
    loop = Timers()
    agent = AgentDiscovery(loop, ("127.0.0.1", 1), None, 100, lambda listing: None, lambda line: None)
    monkeypatch.setattr(agent, "send_watch", lambda call: None)
    for _ in range(50):
        agent.watch(True)
        agent.watch_call.timed_out = True
        agent.on_watch_answer(agent.watch_call, None)
    assert loop.delays and max(loop.delays) <= PUSH_RETRY


def test_timeouts_of_the_old_discovery_do_not_count_for_the_new_one(monkeypatch):
    """Failure prevented: the first timeout of the new discovery is reported, and the module pauses."""
    told = []
    discovery = PolledDiscovery(Timers(), ("127.0.0.1", 1), None, 100, told.append, lambda line: None)
    monkeypatch.setattr(discovery, "send_watch", lambda call: None)

    def fails_silently():
        discovery.watch(True)
        discovery.watch_call.timed_out = True
        discovery.on_watch_answer(discovery.watch_call, None)

    for _ in range(MAX_RETRIES):
        fails_silently()
    discovery.change_address(("127.0.0.1", 2))
    for _ in range(MAX_RETRIES):
        fails_silently()
        assert not told
    fails_silently()
    assert told == [None]


def line(name, state=State.READY, started=1):
    return Line(name, "h", 1, "", "", 0, state, 1.0, started)


def full(version, *lines):
    return Listing(ListKind.FULL, version, lines)


def changes(version, *lines):
    return Listing(ListKind.CHANGES, version, lines)


DRAINS, READY, GONE = State.DRAINING, State.READY, State.GONE


@pytest.mark.parametrize(
    ("old", "new", "after", "ready"),
    [
        ([full(9, line("a", DRAINS))], full(2, line("a")), 1, False),
        ([full(9, line("a")), changes(10, line("a", DRAINS))], full(2, line("a")), 1, False),
        (
            [full(9, line("a")), changes(10, line("a", DRAINS)), changes(11, line("a", GONE))],
            full(2, line("a")),
            1,
            False,
        ),
        ([full(9, line("a", DRAINS)), full(10)], full(2, line("a")), 1, False),
        # Gone or missing from the old list without draining: the new discovery may see the server again.
        ([full(9, line("a")), changes(10, line("a", GONE))], full(2, line("a")), 1, True),
        ([full(9, line("a")), full(10)], full(2, line("a")), 1, True),
        # A later start time means a new process; the old discovery itself may also report it ready again.
        ([full(9, line("a", DRAINS))], full(2, line("a", started=2)), 1, True),
        ([full(9, line("a", DRAINS)), full(10, line("a"))], full(2, line("a")), 1, True),
        ([full(9, line("a", DRAINS))], full(2, line("a")), RETENTION + 1, True),
    ],
)
@pytest.mark.parametrize("moves", [1, 2])
def test_a_new_discovery_does_not_make_draining_servers_ready(old, new, after, ready, moves):
    current = CurrentList(None, 0.0)
    for listing in old:
        current.accept(listing, 0.0)
    for _ in range(moves):
        current = current.for_new_discovery(0.5)
    assert current.version is None
    for news in (new, changes(new.version + 1, *new.lines)):  # repeating the same entry makes it no newer
        admitted = current.accept(news, after)
        assert admitted is not None
        assert [each.state == READY for each in admitted.lines] == ([True] if ready else [])


def test_the_memory_of_draining_servers_is_bounded():
    current = CurrentList(None, 0.0)
    for n in range(3 * MAX_WITHDRAWN):
        current.accept(full(n, line(f"s{n}", DRAINS)), 0.0)
    assert len(current.withdrawn.drained) <= MAX_WITHDRAWN
    current.accept(full(3 * MAX_WITHDRAWN), RETENTION + 1)
    assert not current.withdrawn.drained


def test_after_a_change_to_an_older_discovery_nothing_is_sent_to_draining_servers():
    async def scene():
        bench = await Bench(leaving := Server(), staying := Server()).start()
        await until(lambda: len(bench.discovery.requests) == 1)
        bench.discovery.say(42, False, leaving.entry("s0", "draining"))
        await until(lambda: bench.node.http.source.version == 42)
        lagging = await Discovery().start()
        lagging.say(7, True, leaving.entry("s0"), staying.entry("s1"))
        bench.node.http.source.change_address(("127.0.0.1", lagging.port))
        await until(lambda: bench.node.http.source.version == 7)
        client = Raw(bench.port)
        for _ in range(20):
            client.send(call("view"))
            assert (await client.answer()).startswith(b"HTTP/1.1 200")
        assert not leaving.requests and len(staying.requests) == 20
        client.leave("fin")

    play(scene)
