"""Watch ends: an answer that stops half-way or never ends, and a discovery that lags behind the last one."""

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

GRACE = 0.25  # seconds after a change counts as told in which requests may still go out
FELL_SILENT, AFTER_WAIT, AFTER_SIGHUP = 6.0, 2.0, 4.0  # seconds: when the platform counts it as told
NEW_CALL = CONNECT_TIMEOUT + FIRST_BYTE_TIMEOUT


@pytest.mark.parametrize(
    ("what", "worst", "told"),
    [
        ("a whole list that does not begin", FIRST_BYTE_TIMEOUT + NEW_CALL, FELL_SILENT),
        ("a list that stops half-way", READ_TIMEOUT + NEW_CALL, FELL_SILENT),
        ("a list that comes byte by byte", BODY_TIMEOUT + NEW_CALL, FELL_SILENT),
        # Connections come up at once here, or the module is asked: see docs/endings.md.
        ("a watch that ends its wait in silence", ANSWER_TIMEOUT + FIRST_BYTE_TIMEOUT, AFTER_WAIT),
        ("the first list after a move does not begin", FIRST_BYTE_TIMEOUT + NEW_CALL, AFTER_SIGHUP),
        ("it does not begin twice", 2 * FIRST_BYTE_TIMEOUT + MAX_PAUSE + FIRST_BYTE_TIMEOUT, AFTER_SIGHUP),
        ("it stops half-way", READ_TIMEOUT + NEW_CALL, AFTER_SIGHUP),
        ("the agent's watch is made anew", PUSH_RETRY, GRACE),
    ],
)
def test_a_call_that_dies_leaves_time_for_another(what, worst, told):
    """Seconds from the moment at which discovery fell silent, or the wait was over, in the worst case."""
    assert worst <= told - 0.05, what


@pytest.mark.parametrize("drip", [False, True])
def test_a_list_that_does_not_come_whole_is_asked_for_again(drip, monkeypatch):
    """Failure prevented: it is given up 6 s after its first byte, the moment from which it counts as told."""
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
            await until(lambda: bench.node.http.source.watching.begun)
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
    """A loop of which only the timers are wanted."""

    def __init__(self):
        self.delays = []

    def time(self):
        return 0.0

    def call_later(self, delay, *_):
        self.delays.append(delay)
        return self

    def cancel(self):
        pass


def test_an_agent_that_was_silent_is_asked_again_before_what_it_has_counts(monkeypatch):
    """What an agent has counts as told at once, whether or not it is asked."""
    loop = Timers()
    agent = AgentDiscovery(loop, ("127.0.0.1", 1), None, 100, lambda listing: None, lambda line: None)
    monkeypatch.setattr(agent, "renew", lambda call: None)
    for _ in range(50):
        agent.watch(True)
        agent.watching.silent = True
        agent.on_watch_answer(agent.watching, None)
    assert loop.delays and max(loop.delays) <= PUSH_RETRY


def test_what_the_old_discovery_left_unanswered_is_not_held_against_the_new_one(monkeypatch):
    """Failure prevented: the new one's first silence is told to the module, which pauses before it asks."""
    told = []
    asked = PolledDiscovery(Timers(), ("127.0.0.1", 1), None, 100, told.append, lambda line: None)
    monkeypatch.setattr(asked, "renew", lambda call: None)

    def fails_silently():
        asked.watch(True)
        asked.watching.silent = True
        asked.on_watch_answer(asked.watching, None)

    for _ in range(MAX_RETRIES):
        fails_silently()
    asked.change_address(("127.0.0.1", 2))
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
        # Lost from sight: it may be there again, and the new discovery is the one that sees it.
        ([full(9, line("a")), changes(10, line("a", GONE))], full(2, line("a")), 1, True),
        ([full(9, line("a")), full(10)], full(2, line("a")), 1, True),
        # A later start is another process; so is one that the old discovery itself took back.
        ([full(9, line("a", DRAINS))], full(2, line("a", started=2)), 1, True),
        ([full(9, line("a", DRAINS)), full(10, line("a"))], full(2, line("a")), 1, True),
        ([full(9, line("a", DRAINS))], full(2, line("a")), RETENTION + 1, True),
    ],
)
@pytest.mark.parametrize("moves", [1, 2])
def test_a_new_discovery_does_not_bring_back_what_the_old_one_told_to_drain(old, new, after, ready, moves):
    hand = CurrentList(None, 0.0)
    for listing in old:
        hand.accept(listing, 0.0)
    for _ in range(moves):
        hand = hand.for_new_discovery(0.5)
    assert hand.version is None
    for news in (new, changes(new.version + 1, *new.lines)):  # what it says again is no newer for that
        admitted = hand.accept(news, after)
        assert admitted is not None
        assert [each.state == READY for each in admitted.lines] == ([True] if ready else [])


def test_what_is_remembered_of_drains_is_bounded():
    hand = CurrentList(None, 0.0)
    for n in range(3 * MAX_WITHDRAWN):
        hand.accept(full(n, line(f"s{n}", DRAINS)), 0.0)
    assert len(hand.withdrawn.drained) <= MAX_WITHDRAWN
    hand.accept(full(3 * MAX_WITHDRAWN), RETENTION + 1)
    assert not hand.withdrawn.drained


def test_a_node_that_moves_to_a_discovery_that_lags_sends_nothing_to_a_server_that_drains():
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
