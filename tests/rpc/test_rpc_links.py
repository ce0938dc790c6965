"""Connections to RPC servers: their bounds, message ids, and calls that were given up."""

from __future__ import annotations

import asyncio
from typing import Any

import msgpack
import pytest
from loopback import play, until
from rpc.standins import Bench, Connection, Server, answer


def test_what_is_given_up_costs_its_neighbours_nothing_and_its_late_answer_meets_nobody():
    async def scene():
        bench = (await Bench(server := Server(None), table={"server_connections": 1}).start()).wide()
        client = await bench.client()
        client.call("invite", 1, 150)  # a budget of 150 ms
        client.call("invite", 2, 15000)
        await until(lambda: len(server.calls) == 2)
        (connection, first), (_, second) = server.messages
        assert (await client.receive())[1:3] == [1, ["failed", "not served; it may have run"]]
        link = bench.pool.upstream.endpoints[next(iter(bench.pool.upstream.endpoints))].links[0]
        assert link.out[first[1]] is None  # its msgid stays unused
        connection.reply(first[1], None, "late")
        connection.reply(second[1], None, "in time")
        assert await client.receive() == [1, 2, None, "in time"]
        assert first[1] not in link.out and len(server.connections) == 1 and not connection.ended

    play(scene)


def test_a_connection_that_says_nothing_once_a_call_is_given_up_is_closed():
    async def scene():
        bench = await Bench(server := Server(None), policy_limits={"connect_timeout": 200_000}).start()
        client = await bench.client()
        client.call("view", 1, 100)
        await until(lambda: bool(server.connections))
        await until(lambda: all(c.ended for c in server.connections))
        assert (await client.receive())[2][0] in ("failed", "refused")

    play(scene)


def test_a_call_given_up_costs_its_neighbours_nothing_while_the_server_says_nothing():
    """Failure prevented: one client's short budget resets what others have open at a slow server."""

    async def scene():
        limits = {"connect_timeout": 100_000}
        table = {"server_connections": 2}
        bench = (await Bench(server := Server(None), table=table, policy_limits=limits).start()).wide()
        client = await bench.client()
        client.call("invite", "slow", 15000)
        client.call("invite", "short", 50)
        assert (await client.receive())[1] == 2
        (endpoint,) = bench.pool.upstream.endpoints.values()
        link = endpoint.links[0]
        await until(link.suspect)
        client.call("invite", "next", 15000)  # goes out on another connection
        await until(lambda: len(server.connections) == 2 and len(server.calls) == 3)
        bench.pool.upstream.sweep()
        connection, message = server.messages[0]
        connection.reply(message[1], None, "at last")
        assert await client.receive() == [1, 1, None, "at last"]
        assert not link.suspect() and not connection.ended

    play(scene)


@pytest.mark.parametrize("stray", [answer(99999, None, 1), msgpack.packb([0, 1, "m", []]), b"\xc1"])
def test_a_server_that_says_what_nobody_asked_for_is_not_believed(stray):
    async def scene():
        bench = await Bench(server := Server(lambda c, m: c.transport.write(stray))).start()
        client = await bench.client()
        error, _ = await client.ask("invite", 1)
        assert error[0] == "failed"  # it may have run
        await until(lambda: all(c.ended for c in server.connections))

    play(scene)


def test_the_same_answer_twice_ends_the_connection():
    async def scene():
        def twice(connection: Connection, message: Any) -> None:
            connection.reply(message[1], None, "once")
            connection.reply(message[1], None, "twice")

        bench = await Bench(server := Server(twice)).start()
        client = await bench.client()
        assert await client.ask("view", 1) == [None, "once"]
        await until(lambda: all(c.ended for c in server.connections))

    play(scene)


def test_msgids_wrap_and_pass_over_those_in_use():
    async def scene():
        bench = (await Bench(server := Server(None), table={"server_connections": 1}).start()).wide()
        client = await bench.client()
        client.call("view", 0)
        await until(lambda: len(server.calls) == 1)
        (endpoint,) = bench.pool.upstream.endpoints.values()
        link = endpoint.links[0]
        link.last_msgid = (1 << 32) - 2
        for i in range(3):
            client.call("view", i + 1)
        await until(lambda: len(server.calls) == 4)
        assert [m[1] for m in server.calls] == [1, (1 << 32) - 1, 0, 2]  # 1 has a call open

    play(scene)


def test_a_drain_while_calls_are_pipelined():
    """Nothing new is written, what was written gets its answer, what waited goes to another server."""

    async def scene():
        table = {"server_connections": 1, "pipeline": 2}
        bench = (await Bench(draining := Server(None), table=table).start()).wide()
        client = await bench.client()
        for i in range(5):
            client.call("invite", i)
        await until(lambda: len(draining.calls) == 2)
        await (other := Server()).start()
        bench.discovery.say(42, False, draining.entry("s0", "draining"), other.entry("s1"))
        got = {(await client.receive())[1] for _ in range(3)}
        assert got == {3, 4, 5}  # those that had not been written
        assert len(draining.calls) == 2 and len(other.calls) == 3
        for connection, message in draining.messages:
            connection.reply(message[1], None, "done")
        assert {(await client.receive())[1] for _ in range(2)} == {1, 2}
        await until(lambda: all(c.ended for c in draining.connections))

    play(scene)


def test_calls_beyond_the_pipeline_open_further_connections_up_to_the_bound():
    async def scene():
        bench = (
            await Bench(server := Server(None), table={"server_connections": 2, "pipeline": 3}).start()
        ).wide()
        client = await bench.client()
        for i in range(10):
            client.call("view", i)
        await until(lambda: len(server.calls) == 6)
        await asyncio.sleep(0.05)  # a moment in which a seventh would come
        assert len(server.calls) == 6 and len(server.connections) == 2
        for connection, message in list(server.messages):
            connection.reply(message[1])
        await until(lambda: len(server.calls) == 10)

    play(scene)


def test_a_connection_whose_answer_stops_partway_takes_nothing_new():
    async def scene():
        limits = {"connect_timeout": 100_000}
        bench = (await Bench(server := Server(None), policy_limits=limits).start()).wide()
        client = await bench.client()
        client.call("view", 0)
        await until(lambda: len(server.calls) == 1)
        connection, message = server.messages[0]
        connection.transport.write(answer(message[1], None, "x" * 50)[:20])
        (endpoint,) = bench.pool.upstream.endpoints.values()
        link = endpoint.links[0]
        await until(link.stuck)
        client.call("view", 1)
        await until(lambda: len(server.calls) == 2)
        assert server.messages[1][0] is not connection

    play(scene)


def test_a_host_that_cannot_be_named_leaves_no_connection_that_is_coming_for_ever():
    """Failure prevented: it counts as coming, no other is made, and its calls end by their time only."""

    async def scene():
        bench = await Bench(Server()).start()
        (endpoint,) = bench.pool.upstream.endpoints.values()
        endpoint.host = "a" * 70 + ".\udcff"  # no name of a host
        client = await bench.client()
        error, _ = await client.ask("view", 1)
        assert error is not None
        assert endpoint.links == [] and bench.pool.upstream.open == 0

    play(scene)
