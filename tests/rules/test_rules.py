"""The four rules, with the same tests for both transports."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from random import Random
from typing import Any

import pytest
from loopback import MOMENT, PATIENCE, cut_off, play, settings, until
from rules.stage import (
    CLASSES,
    ERRORS,
    HALVES,
    REJECTS,
    RESETS,
    SERVES,
    STALLS,
    Attempt,
    Server,
    Stage,
    small_sockets,
)

from brackenladder.core.ending import HANDOVER, TAKING
from brackenladder.http.server_connection import Connection as HttpConnection
from brackenladder.policy.limit import GradientController
from brackenladder.rpc.upstream import Link

DRAIN = 0.25  # seconds after which nothing new may come to a server that drains
SLACK = 2.0  # seconds beyond a call's time that a busy machine may take

pytestmark = pytest.mark.parametrize("transport", ["http", "rpc"])


@pytest.fixture(autouse=True)
def wide(monkeypatch: pytest.MonkeyPatch) -> None:
    """The module's limit begins at a few calls, and what is tested here are the rules."""
    monkeypatch.setattr(GradientController, "admits", lambda self, now, spare: True)


# What the servers do: what becomes of a call of each class, and how many attempts it may have had.
ENDS: dict[str, tuple[Any, dict[str, tuple[str, int, int]]]] = {
    "serves": (SERVES, {"view": ("served", 1, 1), "invite": ("served", 1, 1), "offer": ("served", 1, 1)}),
    "rejects": (
        REJECTS,
        {"view": ("refused", 1, 3), "invite": ("refused", 1, 3), "offer": ("refused", 1, 3)},
    ),
    "errors": (ERRORS, {"view": ("refused", 2, 3), "invite": ("failed", 1, 1), "offer": ("failed", 1, 3)}),
    "resets": (RESETS, {"view": ("refused", 2, 3), "invite": ("failed", 1, 1), "offer": ("failed", 1, 3)}),
    "halves": (HALVES, {"view": ("refused", 2, 3), "invite": ("failed", 1, 1), "offer": ("failed", 1, 3)}),
}


@pytest.mark.parametrize("klass", CLASSES)
@pytest.mark.parametrize("how", ENDS)
def test_what_becomes_of_a_call(transport: str, how: str, klass: str) -> None:
    """Rules 1 and 2: one conclusion; what may have run is neither repeated nor refused if that does harm."""

    async def scene() -> None:
        behave, ends = ENDS[how]
        stage = await Stage(transport, *(Server(behave, cell=i // 2) for i in range(4))).start()
        kind, least, most = ends[klass]
        conclusion = await stage.ask(klass)
        assert conclusion.kind == kind
        attempts = stage.attempts()
        assert least <= len(attempts) <= most
        if klass == "offer" and how != "rejects":
            assert len({a.server.cell for a in attempts}) == 1  # keyed repeats stay in their pod
        if kind == "served":
            assert attempts[0].name in conclusion.body

    play(scene)


@pytest.mark.parametrize("klass", CLASSES)
def test_a_call_that_no_server_answers_ends_in_its_time(transport: str, klass: str) -> None:
    async def scene() -> None:
        stage = await Stage(transport, Server(STALLS), Server(STALLS)).start()
        conclusion = await stage.ask(klass, budget=400)
        assert conclusion.after < 0.4 + SLACK
        if klass == "invite":
            assert conclusion.kind == "failed" and len(stage.attempts()) == 1
        for attempt in stage.attempts():
            attempt.reply("served")  # too late: nobody is told
        assert (await stage.ask("view", budget=200)).after < 0.2 + SLACK

    play(scene)


@pytest.mark.parametrize("klass", CLASSES)
def test_what_cannot_have_run_goes_on(transport: str, klass: str) -> None:
    """Ports that are closed, and servers that turn away: an unsafe call is served by the one that serves."""

    async def scene() -> None:
        closed, rejecting, serving = Server(), Server(REJECTS), Server()
        stage = await Stage(transport, closed, rejecting, serving, policy_limits={"max_attempts": 9}).start()
        closed.close_port()
        kinds = Counter([(await stage.ask(klass)).kind for _ in range(20)])
        assert set(kinds) <= {"served", "refused"} and kinds["served"] > 3 and rejecting.attempts
        assert len(serving.attempts) == kinds["served"] and not closed.attempts

    play(scene)


@pytest.mark.parametrize("klass", CLASSES)
def test_a_connection_that_never_comes_up_has_carried_nothing(transport: str, klass: str) -> None:
    """A stall before the write: after the connect time-out even an unsafe call is served elsewhere."""

    async def scene() -> None:
        with cut_off() as port:
            silent, serving = Server(), Server()
            limits = {"connect_timeout": 100_000}
            stage = await Stage(transport, silent, serving, policy_limits=limits).start()
            silent.port = port
            await stage.say(silent.entry(), full=True)
            asked = asyncio.create_task(stage.ask(klass))
            await until(lambda: any(call.current_attempt for call in stage.pool.host.calls.values()))
            await stage.say(serving.entry())
            assert (await asked).kind == "served" and len(stage.attempts()) == 1

    play(scene)


@pytest.mark.parametrize("end", ["reset", "drain"])
def test_a_call_that_was_not_written_whole_never_ran(transport: str, end: str, monkeypatch: Any) -> None:
    """Its server resets in the middle of the write: an unsafe call goes on to another. A drain does not
    take it back: the write goes on, and its server may run it."""
    upstream = Link if transport == "rpc" else HttpConnection

    async def scene() -> None:
        with small_sockets(monkeypatch, upstream) as listener:
            half = Server()
            stage = await Stage(transport, half, Server()).start()
            half.port = listener.getsockname()[1]
            other = stage.servers[1]
            await stage.say(half.entry(), full=True)
            asked = asyncio.create_task(stage.ask("invite", size=60_000))
            connection, _ = await asyncio.get_running_loop().sock_accept(listener)
            await until(lambda: any(c.current_attempt for c in stage.pool.host.calls.values()))
            await asyncio.sleep(0.05)  # in which the system takes what it can hold of it
            if end == "drain":
                await stage.say(half.entry("draining"), other.entry())
                assert not asked.done() and not other.attempts
                connection.close()
                conclusion = await asked
                assert conclusion.kind == "served" and len(other.attempts) == 1
                return
            await stage.say(other.entry())
            connection.close()
            conclusion = await asked
            assert conclusion.kind == "served" and len(other.attempts) == 1

    play(scene)


def test_a_write_that_stalls_ends_in_its_time_and_is_not_repeated(transport: str, monkeypatch: Any) -> None:
    upstream = Link if transport == "rpc" else HttpConnection

    async def scene() -> None:
        with small_sockets(monkeypatch, upstream) as listener:
            half = Server()
            stage = await Stage(transport, half).start()
            half.port = listener.getsockname()[1]
            await stage.say(half.entry(), full=True)
            asked = asyncio.create_task(stage.ask("invite", size=60_000, budget=500))
            connection, _ = await asyncio.get_running_loop().sock_accept(listener)
            conclusion = await asked
            assert conclusion.kind == "failed" and conclusion.after < 0.5 + SLACK
            connection.close()

    play(scene)


def test_answers_in_any_order_reach_their_callers(transport: str) -> None:
    async def scene() -> None:
        held: list[Attempt] = []
        stage = await Stage(transport, Server(held.append), Server(held.append)).start()
        names = [stage.name() for _ in range(16)]
        asked = [asyncio.create_task(stage.ask("invite", name)) for name in names]
        await until(lambda: len(held) == 16)
        for attempt in reversed(held):
            attempt.reply("served")
        for name, conclusion in zip(names, await asyncio.gather(*asked), strict=True):
            assert conclusion.kind == "served" and name in conclusion.body
        assert sorted(a.name for a in held) == names

    play(scene)


@pytest.mark.parametrize("full", [False, True])
def test_a_drain_with_32_calls_open(transport: str, full: bool) -> None:
    """Rule 3: nothing new comes after the grace; what was written gets its answer and does not run again."""

    async def scene() -> None:
        held: list[Attempt] = []
        going, staying = Server(held.append), Server()
        stage = await Stage(transport, going).start()
        names = [stage.name() for _ in range(32)]
        asked = [asyncio.create_task(stage.ask("invite", name)) for name in names]
        await until(lambda: len(held) == 32)
        await staying.start(transport, "s1")
        lines = [staying.entry()] if full else [going.entry("draining"), staying.entry()]
        await stage.say(*lines, full=full)
        told = asyncio.get_running_loop().time()
        more = await asyncio.gather(*(stage.ask(klass) for klass in CLASSES * 10))
        assert {c.kind for c in more} == {"served"} and len(staying.attempts) == 30
        await asyncio.sleep(max(0, told + DRAIN - asyncio.get_running_loop().time()))
        assert [a.name for a in held] == [a.name for a in going.attempts] and len(held) == 32
        for attempt in held:
            attempt.reply("served")
        assert {c.kind for c in await asyncio.gather(*asked)} == {"served"}
        await until(lambda: going.lost == len(going.connections))
        assert Counter(a.name for a in stage.attempts()) == Counter(names)

    play(scene)


def test_a_cold_server_is_spared(transport: str) -> None:
    """Rule 4: of a burst it gets less than an equal share, and gets its share once it is warm."""

    async def scene(started: float) -> tuple[int, float]:
        cold, *warm = servers = [Server(started=started), *(Server() for _ in range(4))]
        rules = settings()["rules"] | {"cold": 24 * MOMENT, "start_capacity": 0.12, "tip_after": 3 * MOMENT}
        stage = await Stage(transport, *servers, rules=rules).start()
        for _ in range(20):
            await asyncio.gather(*(stage.ask("view") for _ in range(10)))
        return len(cold.attempts), sum(len(s.attempts) for s in warm) / len(warm)

    async def both() -> None:
        got, share = await scene(0.5)
        assert got < share / 2
        got, share = await scene(60.0)
        assert got > share / 2

    play(both)


@pytest.mark.parametrize("seed", range(3))
def test_a_crowd_of_calls_and_servers_that_do_anything(transport: str, seed: int) -> None:
    """Rules 1 and 2 for 150 calls: one conclusion each, in time; nothing that may have run twice; no two
    attempts of a call at once."""

    async def scene() -> None:
        rng = Random(seed)

        def anything(attempt: Attempt) -> None:
            loop = asyncio.get_running_loop()
            act = rng.choices(
                (SERVES, REJECTS, ERRORS, RESETS, HALVES, STALLS, Attempt.half), (12, 4, 2, 1, 1, 1, 1)
            )[0]
            loop.call_later(rng.uniform(0, 0.03), lambda: attempt.ended is None and act(attempt))

        stage = await Stage(transport, *(Server(anything, cell=i // 2) for i in range(6))).start()
        klass = {stage.name(): rng.choice(CLASSES) for _ in range(150)}

        async def one(name: str) -> None:
            await asyncio.sleep(rng.uniform(0, 1))
            conclusion = await stage.ask(klass[name], name, budget=1500)
            assert conclusion.after < 1.5 + SLACK
            if conclusion.kind == "served":
                assert name in conclusion.body

        await asyncio.gather(*map(one, klass))
        for name, of in klass.items():
            attempts = stage.attempts(name)
            assert len(attempts) <= 3
            for earlier in attempts[:-1]:
                assert earlier.ended is not None
            ran = [a for a in attempts if not a.turned_away]
            if of == "invite":
                assert len(ran) <= 1
            if of == "offer":
                assert len({a.server.cell for a in ran}) <= 1

    play(scene)


def test_silent_clients_in_every_place_let_others_in(transport: str) -> None:
    """Rule 1: the node's machine accepts a connection, and nobody reads the call on it."""

    async def scene() -> None:
        stage = await Stage(transport, Server(), sockets=128).start()
        most = stage.listener.max_connections
        silent = [await asyncio.open_connection("127.0.0.1", stage.port) for _ in range(most + 5)]
        await until(lambda: len(stage.listener.connections) >= most - 1)
        for klass in CLASSES:
            # HTTP refuses in its last places, and closes two silent ones for each that comes.
            async with asyncio.timeout(PATIENCE):
                while (await stage.ask(klass)).kind != "served":
                    pass
        assert len(stage.listener.connections) <= most and silent

    play(scene)


def test_a_call_that_crosses_the_end_of_a_node_is_answered(transport: str) -> None:
    """Rule 1: after SIGTERM a connection that is in use stays open until a moment in which it is idle."""

    async def scene() -> None:
        stage = await Stage(transport, Server()).start()
        loop = asyncio.get_running_loop()
        await stage.ask("view")
        end = loop.create_task(stage.node.drain())
        until_ = loop.time() + TAKING + 0.5 if transport == "http" else loop.time() + HANDOVER + 0.3
        while loop.time() < until_ and (transport == "rpc" or stage.listener.sock is not None):
            assert (await stage.ask("view")).kind == "served"
            await asyncio.sleep(0.02)
        await end

    play(scene)


def test_a_connection_that_comes_up_as_the_loop_is_late_is_used(transport: str, monkeypatch: Any) -> None:
    """Rule 2: what was written there may run; taken for a connection that never came up, it ran twice."""
    upstream = Link if transport == "rpc" else HttpConnection
    made = upstream.connection_made

    def late(self: Any, made_of: Any) -> None:
        made(self, made_of)
        time.sleep(0.4)

    monkeypatch.setattr(upstream, "connection_made", late)

    async def scene() -> None:
        stage = await Stage(transport, Server(), policy_limits={"connect_timeout": 200_000}).start()
        assert (await stage.ask("invite")).kind == "served"
        assert len(stage.attempts()) == 1 and stage.servers[0].lost == 0

    play(scene)


def test_a_node_that_ends_concludes_what_it_has_taken(transport: str) -> None:
    async def scene() -> None:
        held: list[Attempt] = []
        stage = await Stage(transport, Server(held.append), Server(held.append)).start()
        asked = [asyncio.create_task(stage.ask(klass)) for klass in CLASSES * 4]
        await until(lambda: len(held) == 12)
        end = asyncio.create_task(stage.node.drain())
        await asyncio.sleep(0)
        for attempt in held:
            attempt.reply("served")
        assert {c.kind for c in await asyncio.gather(*asked)} == {"served"}
        if stage.rpc is not None:
            stage.rpc.writer.close()
        await end
        assert not stage.pool.host.calls

    play(scene)
