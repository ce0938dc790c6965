"""RPC clients and servers on the core, over loopback sockets."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
from typing import Any

import msgpack
import pytest
from loopback import PATIENCE, Discovery, play, settings, until
from rpc.standins import METHODS, Bench, Client, Connection, Server, answer

from brackenladder.node.operator import FixedServer, MethodTable


def rejects(connection: Connection, message: Any) -> None:
    connection.reply(message[1], ["rejected", "full"])


def resets(connection: Connection, message: Any) -> None:
    connection.transport.abort()


def test_a_client_that_knows_nothing_of_the_balancer_is_served():
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


def test_answers_may_come_in_any_order_on_both_sides():
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


def test_an_unsafe_call_that_may_have_run_is_neither_sent_again_nor_refused():
    async def scene():
        servers = [Server(resets), Server(resets)]
        client = await (await Bench(*servers).start()).client()
        error, _ = await client.ask("invite", 1)
        assert error[0] == "failed"
        assert sum(len(s.calls) for s in servers) == 1

    play(scene)


@pytest.mark.parametrize("method", ["view", "invite", "offer"])
def test_a_call_that_was_turned_away_unseen_goes_on(method):
    async def scene():
        turning, serving = Server(rejects), Server()
        bench = await Bench(turning, serving).start()
        client = await bench.client()
        for _ in range(12):
            error, result = await client.ask(method, {"key": "k"})
            assert (error is None and result) or error[0] == "refused"
        assert turning.calls and serving.calls

    play(scene)


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


def test_an_open_msgid_that_is_used_again_is_an_error_and_the_first_call_stands():
    async def scene():
        bench = await Bench(server := Server(None)).start()
        client = await bench.client()
        client.call("view", 1, msgid=5)
        client.call("view", 2, msgid=5)
        assert await client.receive() == [1, 5, ["failed", "this msgid has a call open"], None]
        await until(lambda: len(server.calls) == 1)
        connection, message = server.messages[0]
        connection.reply(message[1], None, "first")
        assert await client.receive() == [1, 5, None, "first"]
        client.call("view", 3, msgid=5)  # free again
        await until(lambda: len(server.calls) == 2)

    play(scene)


@pytest.mark.parametrize(
    ("method", "params", "told"),
    [
        ("nonsense", [], "no method 'nonsense'"),
        ("offer", [{}], "no key where the method has one"),
        ("offer", [], "no key where the method has one"),
        ("view", [1, "soon"], "a budget that is no number"),
        ("view", [1, -5], "a budget that is not above 0 and at most 3600000 ms"),
        ("view", [1, True], "a budget that is no number"),
    ],
)
def test_a_call_that_cannot_be_taken_is_refused_with_the_reason(method, params, told):
    async def scene():
        bench = await Bench(server := Server()).start()
        client = await bench.client()
        assert await client.ask(method, *params) == [["refused", 0, told], None]
        assert await client.ask("view", 1) == [None, [1]]  # the connection goes on
        assert len(server.calls) == 1

    play(scene)


def test_a_stream_that_breaks_off_ends_after_the_calls_before_it():
    async def scene():
        bench = await Bench(server := Server(None)).start()
        client = await bench.client()
        client.call("view", 1)
        client.writer.write(b"\xc1\xc1")
        await until(lambda: len(server.calls) == 1)
        connection, message = server.messages[0]
        connection.reply(message[1], None, "yes")
        assert await client.receive() == [1, 1, None, "yes"]
        assert await client.ended()

    play(scene)


def test_a_client_that_ends_its_sending_side_gets_its_answers():
    async def scene():
        bench = await Bench(server := Server(None)).start()
        client = await bench.client()
        client.call("view", 1)
        client.writer.write_eof()
        await until(lambda: len(server.calls) == 1)
        connection, message = server.messages[0]
        connection.reply(message[1], None, "yes")
        assert await client.receive() == [1, 1, None, "yes"]
        assert await client.ended()

    play(scene)


def test_a_call_that_is_cut_at_every_byte():
    async def scene():
        bench = await Bench(Server()).start()
        client = await bench.client()
        for byte in msgpack.packb([0, 7, "view", ["abc"]]):
            client.writer.write(bytes([byte]))
            await client.writer.drain()
            await asyncio.sleep(0)
        assert await client.receive() == [1, 7, None, ["abc"]]

    play(scene)


def test_notifications_are_sent_once_and_only_where_they_may():
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


def test_a_notification_that_meets_no_server_is_not_sent_again():
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


def test_a_client_that_reads_no_answers_is_closed(monkeypatch):
    """Failure prevented: its answers fill the memory."""
    monkeypatch.setattr("brackenladder.rpc.front.STALLED", 0.3)

    async def scene():
        bench = await Bench(server := Server(None)).start()
        client = await bench.client()
        client.call("view", 1)
        await until(lambda: len(server.calls) == 1)
        client.writer.transport.pause_reading()
        (ours,) = bench.front.clients
        for _ in range(300):  # more than the system holds for a client
            ours.send(b"x" * 100_000)
        await until(lambda: ours.full)
        assert not ours.transport.is_reading()
        await until(lambda: not bench.front.clients)
        connection, message = server.messages[0]
        connection.reply(message[1], None, "late")
        await until(lambda: not bench.pool.host.calls)

    play(scene)


def test_open_calls_of_one_client_are_bounded():
    async def scene():
        bench = (await Bench(server := Server(None), table={"client_calls": 3, "pipeline": 8}).start()).wide()
        client = await bench.client()
        for i in range(8):
            client.call("view", i)
        await until(lambda: len(server.calls) == 3)
        await asyncio.sleep(0.05)  # a moment in which a fourth would come
        assert len(server.calls) == 3
        for n in range(8):
            await until(lambda n=n: len(server.calls) > n)
            connection, message = server.messages[n]
            connection.reply(message[1], None, n)
        assert [(await client.receive())[1] for _ in range(8)] == list(range(1, 9))

    play(scene)


def test_a_client_that_leaves_is_owed_nothing():
    async def scene():
        bench = await Bench(server := Server(None)).start()
        client = await bench.client()
        client.call("view", 1)
        await until(lambda: len(server.calls) == 1)
        client.writer.transport.abort()
        await until(lambda: not bench.front.clients)
        connection, message = server.messages[0]
        connection.reply(message[1], None, "late")
        await until(lambda: not bench.pool.host.calls)

    play(scene)


# ---- the node with an operator file -------------------------------------------------------------------


def operator_file(folder: Any, text: str) -> str:
    path = folder / "operator.toml"
    path.write_text(text)
    return str(path)


GOOD = """[rpc]
listen = "127.0.0.1:{port}"
servers = [{{ id = "a", addr = "127.0.0.1:{server}" }}]
[rpc.methods.view]
class = "view"
"""


async def node(folder: Any, text: str, discovery: int, port: int) -> asyncio.subprocess.Process:
    config = {
        "name": "n0",
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{discovery}",
        "seed": "1f",
        "limits": {"sockets": 1024},
        "settings": settings(),
    }
    (folder / "config.json").write_text(json.dumps(config))
    return await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "brackenladder", "run", "--operator", operator_file(folder, text)),
        env=dict(os.environ) | {"LB_CONFIG": str(folder / "config.json")},
        stderr=asyncio.subprocess.PIPE,
    )


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def test_a_node_serves_rpc_and_ends_after_sigterm_with_all_answered(tmp_path):
    async def scene():
        await (server := Server(None)).start()
        await (discovery := Discovery()).start()
        port = free_port()
        text = GOOD.format(port=port, server=server.port)
        process = await node(tmp_path, text, discovery.port, free_port())
        async with asyncio.timeout(PATIENCE):
            while True:
                try:
                    client = await Client(port).open()
                    break
                except ConnectionRefusedError:
                    await asyncio.sleep(0.02)
        client.call("view", 1)
        await until(lambda: len(server.calls) == 1)
        process.send_signal(signal.SIGTERM)
        connection, message = server.messages[0]
        connection.reply(message[1], None, "yes")
        assert await client.receive() == [1, 1, None, "yes"]
        assert await asyncio.wait_for(process.wait(), PATIENCE) == 0

    play(scene)


@pytest.mark.parametrize(
    ("text", "told"),
    [
        ("[rcp]\n", "operator file: rcp: not a known key"),
        ("[rpc]\n", "operator file: rpc.listen: missing"),
        (GOOD + "pipelin = 3\n", "operator file: rpc.methods.view.pipelin: not a known key"),
        (GOOD.replace("[rpc]", "[rpc]\npipeline = 0"), "operator file: rpc.pipeline: Expected `int` >= 1"),
        (
            GOOD.replace('class = "view"', 'class = "vew"'),
            "operator file: rpc.methods.view.class: no class 'vew'",
        ),
        (
            GOOD.replace('class = "view"', 'class = "offer"'),
            "operator file: rpc.methods.view.key: missing; 'offer' is a keyed class",
        ),
        (
            GOOD + 'budget = "a.b"\n',
            "operator file: rpc.methods.view.budget: begins with a name; params are an array",
        ),
        (GOOD.replace("[rpc]", '[rpc]\ntenant = "nobody"'), "operator file: rpc.tenant: no tenant 'nobody'"),
        (GOOD.replace("[rpc]", "[rpc]\nsockets = 2000"), "operator file: rpc.sockets: 2000 leave too few"),
        (GOOD.replace("servers =", "#"), "operator file: rpc.servers: either this or rpc.discovery"),
        (GOOD.replace('"127.0.0.1:{port}"', '"here"'), "operator file: rpc.listen: Expected `str` matching"),
        ("[rpc", "operator file: not TOML"),
    ],
)
def test_an_operator_file_that_cannot_be_used(text, told, tmp_path):
    async def scene():
        process = await node(tmp_path, text.format(port=1, server=2), 1, free_port())
        _, errors = await asyncio.wait_for(process.communicate(), PATIENCE)
        assert process.returncode == 2
        assert errors.decode().startswith(f"brackenladder: {told}") and errors.count(b"\n") == 1

    play(scene)


def test_the_methods_of_the_tests_are_of_all_three_effects():
    assert {m.klass for m in METHODS.values()} == {"view", "invite", "offer"}
    assert isinstance(METHODS["view"], MethodTable)
