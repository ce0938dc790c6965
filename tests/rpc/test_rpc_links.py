"""Tests of connections to RPC servers: limits, message ids, and calls that were given up."""

from __future__ import annotations

import asyncio
from typing import Any

import msgpack
import pytest
from loopback import play, until
from rpc.standins import Bench, Connection, Server, answer


def test_giving_up_a_call_does_not_affect_others_and_its_late_response_is_dropped():
    async def scene():
        bench = (await Bench(server := Server(None), table={"server_connections": 1}).start()).wide()
        client = await bench.client()
        client.call("invite", 1, 150)  # a budget of 150 ms
        client.call("invite", 2, 15000)
        await until(lambda: len(server.calls) == 2)
        (connection, first), (_, second) = server.messages
        assert (await client.receive())[1:3] == [1, ["failed", "not served; it may have run"]]
        link = bench.pool.upstream.endpoints[next(iter(bench.pool.upstream.endpoints))].links[0]
        assert link.open_exchanges[first[1]] is None  # its msgid stays reserved
        connection.reply(first[1], None, "late")
        connection.reply(second[1], None, "in time")
        assert await client.receive() == [1, 2, None, "in time"]
        assert first[1] not in link.open_exchanges and len(server.connections) == 1 and not connection.ended

    play(scene)


def test_a_connection_that_stays_silent_after_a_call_is_given_up_is_closed():
    async def scene():
        bench = await Bench(server := Server(None), policy_limits={"connect_timeout": 200_000}).start()
        client = await bench.client()
        client.call("view", 1, 100)
        await until(lambda: bool(server.connections))
        await until(lambda: all(c.ended for c in server.connections))
        assert (await client.receive())[2][0] in ("failed", "refused")

    play(scene)


def test_giving_up_a_call_does_not_affect_others_while_the_server_is_silent():
    """One client's short budget must not reset other clients' open calls at a slow server."""

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
        await until(link.may_be_dead)
        client.call("invite", "next", 15000)  # uses another connection
        await until(lambda: len(server.connections) == 2 and len(server.calls) == 3)
        bench.pool.upstream.sweep()
        connection, message = server.messages[0]
        connection.reply(message[1], None, "at last")
        assert await client.receive() == [1, 1, None, "at last"]
        assert not link.may_be_dead() and not connection.ended

    play(scene)


@pytest.mark.parametrize("stray", [answer(99999, None, 1), msgpack.packb([0, 1, "m", []]), b"\xc1"])
def test_a_connection_with_an_unexpected_message_is_closed(stray):
    async def scene():
        bench = await Bench(server := Server(lambda c, m: c.transport.write(stray))).start()
        client = await bench.client()
        error, _ = await client.ask("invite", 1)
        assert error[0] == "failed"  # it may have run
        await until(lambda: all(c.ended for c in server.connections))

    play(scene)


def test_a_duplicate_response_closes_the_connection():
    async def scene():
        def twice(connection: Connection, message: Any) -> None:
            connection.reply(message[1], None, "once")
            connection.reply(message[1], None, "twice")

        bench = await Bench(server := Server(twice)).start()
        client = await bench.client()
        assert await client.ask("view", 1) == [None, "once"]
        await until(lambda: all(c.ended for c in server.connections))

    play(scene)


def test_msgids_wrap_around_and_skip_those_in_use():
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
    """No new calls are written, written ones are answered, and waiting ones go to another server."""

    async def scene():
        table = {"server_connections": 1, "pipeline": 2}
        bench = (await Bench(draining := Server(None), table=table).start()).wide()
        client = await bench.client()
        for i in range(5):
            client.call("invite", i)
        await until(lambda: len(draining.calls) == 2)
        await (other := Server()).start()
        bench.discovery.say(42, False, draining.entry("s0", "draining"), other.entry("s1"))
        answered = {(await client.receive())[1] for _ in range(3)}
        assert answered == {3, 4, 5}  # those that had not been written
        assert len(draining.calls) == 2 and len(other.calls) == 3
        for connection, message in draining.messages:
            connection.reply(message[1], None, "done")
        assert {(await client.receive())[1] for _ in range(2)} == {1, 2}
        await until(lambda: all(c.ended for c in draining.connections))

    play(scene)


def test_calls_over_the_pipeline_limit_open_further_connections_up_to_the_limit():
    async def scene():
        bench = (
            await Bench(server := Server(None), table={"server_connections": 2, "pipeline": 3}).start()
        ).wide()
        client = await bench.client()
        for i in range(10):
            client.call("view", i)
        await until(lambda: len(server.calls) == 6)
        await asyncio.sleep(0.05)  # time in which a seventh would arrive
        assert len(server.calls) == 6 and len(server.connections) == 2
        for connection, message in list(server.messages):
            connection.reply(message[1])
        await until(lambda: len(server.calls) == 10)

    play(scene)


def test_a_connection_whose_response_stops_partway_gets_no_new_calls():
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
        await until(link.response_stalled)
        client.call("view", 1)
        await until(lambda: len(server.calls) == 2)
        assert server.messages[1][0] is not connection

    play(scene)


def test_an_invalid_host_name_leaves_no_connection_behind():
    """Otherwise it would count as being established for ever, no other would be opened, and the calls would
    only time out."""

    async def scene():
        bench = await Bench(Server()).start()
        (endpoint,) = bench.pool.upstream.endpoints.values()
        endpoint.host = "a" * 70 + ".\udcff"  # not a valid host name
        client = await bench.client()
        error, _ = await client.ask("view", 1)
        assert error is not None
        assert endpoint.links == [] and bench.pool.upstream.open == 0

    play(scene)
