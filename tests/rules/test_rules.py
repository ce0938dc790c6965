"""The same tests of the four service rules for HTTP and RPC.

1: each call has one result, in time. 2: a call that may have run is not repeated if that does harm.
3: draining servers get no new calls. 4: cold servers get fewer calls.
"""

from __future__ import annotations

import asyncio
import socket
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
from brackenladder.sockets.listener import FRESH

DRAIN = 0.25  # seconds after which a draining server may get no new call
SLACK = 2.0  # seconds beyond a call's budget that a busy machine may take

pytestmark = pytest.mark.parametrize("transport", ["http", "rpc"])


@pytest.fixture(autouse=True)
def wide(monkeypatch: pytest.MonkeyPatch) -> None:
    """Disables the Balancer's concurrency limit, which starts at a few calls and isn't tested here."""
    monkeypatch.setattr(GradientController, "admits", lambda self, now, spare: True)


# By the servers' behaviour: the expected result for each class, and the minimum and maximum of attempts.
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
def test_the_result_of_a_call(transport: str, how: str, klass: str) -> None:
    """Rules 1 and 2: one result, and no repeat or refusal of a call that may have run if that does harm."""

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
            attempt.reply("served")  # too late, and ignored
        assert (await stage.ask("view", budget=200)).after < 0.2 + SLACK

    play(scene)


@pytest.mark.parametrize("klass", CLASSES)
def test_a_call_that_cannot_have_run_is_retried(transport: str, klass: str) -> None:
    """After refused connections and rejections, even an unsafe call is served by another server."""

    async def scene() -> None:
        closed, rejecting, serving = Server(), Server(REJECTS), Server()
        stage = await Stage(transport, closed, rejecting, serving, policy_limits={"max_attempts": 9}).start()
        closed.close_port()
        kinds = Counter([(await stage.ask(klass)).kind for _ in range(20)])
        assert set(kinds) <= {"served", "refused"} and kinds["served"] > 3 and rejecting.attempts
        assert len(serving.attempts) == kinds["served"] and not closed.attempts

    play(scene)


@pytest.mark.parametrize("klass", CLASSES)
def test_after_a_connect_time_out_the_call_is_retried(transport: str, klass: str) -> None:
    """Nothing was written, so after the connect time-out even an unsafe call is served elsewhere."""

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
def test_a_call_that_was_not_written_completely_never_ran(transport: str, end: str, monkeypatch: Any) -> None:
    """If its server resets during the write, an unsafe call is retried at another one. If the server only
    drains, the write continues and the server may run the call."""
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
            await asyncio.sleep(0.05)  # time for the kernel to take as much as it can buffer
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


def test_responses_in_any_order_reach_their_callers(transport: str) -> None:
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
    """Rule 3: no new calls after `DRAIN`; written calls are answered and don't run again."""

    async def scene() -> None:
        held: list[Attempt] = []
        leaving, staying = Server(held.append), Server()
        stage = await Stage(transport, leaving).start()
        names = [stage.name() for _ in range(32)]
        asked = [asyncio.create_task(stage.ask("invite", name)) for name in names]
        await until(lambda: len(held) == 32)
        await staying.start(transport, "s1")
        lines = [staying.entry()] if full else [leaving.entry("draining"), staying.entry()]
        await stage.say(*lines, full=full)
        told_at = asyncio.get_running_loop().time()
        more = await asyncio.gather(*(stage.ask(klass) for klass in CLASSES * 10))
        assert {c.kind for c in more} == {"served"} and len(staying.attempts) == 30
        await asyncio.sleep(max(0, told_at + DRAIN - asyncio.get_running_loop().time()))
        assert [a.name for a in held] == [a.name for a in leaving.attempts] and len(held) == 32
        for attempt in held:
            attempt.reply("served")
        assert {c.kind for c in await asyncio.gather(*asked)} == {"served"}
        await until(lambda: leaving.lost == len(leaving.connections))
        assert Counter(a.name for a in stage.attempts()) == Counter(names)

    play(scene)


def test_a_cold_server_gets_fewer_calls(transport: str) -> None:
    """Rule 4: a cold server gets less than an equal share of a burst, and its full share once it is warm."""

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
def test_many_calls_with_servers_that_behave_randomly(transport: str, seed: int) -> None:
    """Rules 1 and 2 for 150 calls: each has one result in time, no unsafe call may run twice, and no two
    attempts of a call run at the same time."""

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
            ran = [a for a in attempts if not a.rejected]
            if of == "invite":
                assert len(ran) <= 1
            if of == "offer":
                assert len({a.server.cell for a in ran}) <= 1

    play(scene)


async def fill_with_silent_clients(stage: Stage) -> list[socket.socket]:
    """Connections without a request on all of the listener's places, but for one at most.

    The listener may close a silent connection for the next one after `FRESH` seconds. They are therefore
    opened at one go, and anew if the listener accepted them more slowly than that.
    """
    listener = stage.listener
    silent: list[socket.socket] = []
    async with asyncio.timeout(PATIENCE):
        while len(listener.connections) < listener.max_connections - 1:
            for client in silent:
                client.close()
            await until(lambda: not listener.connections)
            address = ("127.0.0.1", stage.port)
            silent = [socket.create_connection(address) for _ in range(listener.max_connections + 5)]
            await asyncio.sleep(FRESH / 2)
    return silent


def test_silent_clients_on_all_connections_make_room_for_others(transport: str) -> None:
    """Rule 1: otherwise the kernel would accept a connection, and nobody would read the call on it."""

    async def scene() -> None:
        stage = await Stage(transport, Server(), sockets=128).start()
        limit = stage.listener.max_connections
        silent = await fill_with_silent_clients(stage)
        assert len(stage.listener.connections) >= limit - 1
        for klass in CLASSES:
            # HTTP refuses requests on its last connections, and closes two silent ones for each new one.
            async with asyncio.timeout(PATIENCE):
                while (await stage.ask(klass)).kind != "served":
                    pass
        assert len(stage.listener.connections) <= limit and silent

    play(scene)


def test_a_call_during_the_shutdown_of_a_node_is_answered(transport: str) -> None:
    """Rule 1: after SIGTERM a connection that is in use stays open until it is idle."""

    async def scene() -> None:
        stage = await Stage(transport, Server()).start()
        loop = asyncio.get_running_loop()
        await stage.ask("view")
        end = loop.create_task(stage.node.drain())
        deadline = loop.time() + TAKING + 0.5 if transport == "http" else loop.time() + HANDOVER + 0.3
        while loop.time() < deadline and (transport == "rpc" or stage.listener.sock is not None):
            assert (await stage.ask("view")).kind == "served"
            await asyncio.sleep(0.02)
        await end

    play(scene)


def test_a_connection_established_while_the_loop_is_late_is_used(transport: str, monkeypatch: Any) -> None:
    """Rule 2: if it counted as never established, the call written on it would run twice."""
    upstream = Link if transport == "rpc" else HttpConnection
    original = upstream.connection_made

    def late(self: Any, asyncio_transport: Any) -> None:
        original(self, asyncio_transport)
        time.sleep(0.4)

    monkeypatch.setattr(upstream, "connection_made", late)

    async def scene() -> None:
        stage = await Stage(transport, Server(), policy_limits={"connect_timeout": 200_000}).start()
        assert (await stage.ask("invite")).kind == "served"
        assert len(stage.attempts()) == 1 and stage.servers[0].lost == 0

    play(scene)


def test_a_node_that_shuts_down_answers_the_accepted_calls(transport: str) -> None:
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
