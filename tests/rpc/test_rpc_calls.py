"""Tests of RPC calls through a node: which are served, retried or refused."""

from __future__ import annotations

import asyncio

import msgpack
import pytest
from loopback import play, until
from rpc.standins import METHODS, Bench, Server, rejects, resets

from brackenladder.node.operator import FixedServer, MethodTable


def test_a_call_and_its_response_are_forwarded_unchanged():
    async def scene():
        bench = await Bench(server := Server()).start()
        client = await bench.client()
        params = [{"id": 7, "ok": True, "share": 1.5, "text": "é", "raw": b"\x00\xff"}, 900]
        assert await client.ask("view", *params) == [None, params]
        assert server.calls[0][2:] == ["view", params]

    play(scene)


def test_a_fixed_list_of_servers_needs_no_discovery():
    async def scene():
        await (server := Server()).start()
        table = {"discovery": None, "servers": (FixedServer(id="a", addr=f"127.0.0.1:{server.port}"),)}
        client = await (await Bench(table=table).start()).client()
        assert await client.ask("view", 1) == [None, [1]]

    play(scene)


def test_responses_may_come_in_any_order_on_both_sides():
    async def scene():
        bench = (await Bench(server := Server(None), table={"server_connections": 1}).start()).wide()
        client = await bench.client()
        ids = [client.call("view", i) for i in range(5)]
        await until(lambda: len(server.calls) == 5)
        assert len(server.connections) == 1  # pipelined
        for connection, (_, msgid, _, params) in reversed(server.messages):
            connection.reply(msgid, None, params[0])
        assert [(await client.receive())[1:] for _ in ids] == [[i + 1, None, i] for i in (4, 3, 2, 1, 0)]

    play(scene)


def test_an_unsafe_call_that_may_have_run_is_neither_retried_nor_refused():
    async def scene():
        servers = [Server(resets), Server(resets)]
        client = await (await Bench(*servers).start()).client()
        error, _ = await client.ask("invite", 1)
        assert error[0] == "failed"
        assert sum(len(s.calls) for s in servers) == 1

    play(scene)


@pytest.mark.parametrize("method", ["view", "invite", "offer"])
def test_a_call_that_was_rejected_without_running_is_retried(method):
    async def scene():
        rejecting, serving = Server(rejects), Server()
        bench = await Bench(rejecting, serving).start()
        client = await bench.client()
        for _ in range(12):
            error, result = await client.ask(method, {"key": "k"})
            assert (error is None and result) or error[0] == "refused"
        assert rejecting.calls and serving.calls

    play(scene)


@pytest.mark.parametrize(
    ("method", "params", "reason"),
    [
        ("nonsense", [], "no method 'nonsense'"),
        ("offer", [{}], "no key where the method has one"),
        ("offer", [], "no key where the method has one"),
        ("view", [1, "soon"], "a budget that is no number"),
        ("view", [1, -5], "a budget that is not above 0 and at most 3600000 ms"),
        ("view", [1, True], "a budget that is no number"),
    ],
)
def test_an_invalid_call_is_refused_with_the_reason(method, params, reason):
    async def scene():
        bench = await Bench(server := Server()).start()
        client = await bench.client()
        assert await client.ask(method, *params) == [["refused", 0, reason], None]
        assert await client.ask("view", 1) == [None, [1]]  # the connection stays open
        assert len(server.calls) == 1

    play(scene)


def test_a_call_that_arrives_byte_by_byte():
    async def scene():
        bench = await Bench(Server()).start()
        client = await bench.client()
        for byte in msgpack.packb([0, 7, "view", ["abc"]]):
            client.writer.write(bytes([byte]))
            await client.writer.drain()
            await asyncio.sleep(0)
        assert await client.receive() == [1, 7, None, ["abc"]]

    play(scene)


def test_notifications_are_sent_once_and_only_if_allowed():
    async def scene():
        bench = await Bench(server := Server()).start()
        client = await bench.client()
        client.notify("view", 1)
        client.notify("invite", 2)  # unsafe, and not allowed
        client.notify("offer", {"key": "k"})
        client.notify("ping", 3)  # unsafe, and allowed
        assert await client.ask("view", "last") == [None, ["last"]]
        await until(lambda: len(server.messages) == 3)
        assert sorted(str(m[2]) for _, m in server.messages if m[0] == 2) == ["[1]", "[3]"]
        await until(lambda: not bench.pool.host.calls)

    play(scene)


def test_a_notification_on_a_reset_connection_is_not_sent_again():
    async def scene():
        bench = await Bench(Server(resets), Server(resets)).start()
        client = await bench.client()
        for i in range(20):
            client.notify("ping", i)
        await until(lambda: sum(len(s.messages) for s in bench.servers) > 0)
        await until(lambda: not bench.pool.host.calls)
        seen = [m[2][0] for s in bench.servers for _, m in s.messages]
        assert len(seen) == len(set(seen))

    play(scene)


def test_the_methods_of_the_tests_cover_all_classes():
    assert {m.klass for m in METHODS.values()} == {"view", "invite", "offer"}
    assert isinstance(METHODS["view"], MethodTable)
