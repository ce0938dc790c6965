"""Tests of a node's start and end: invalid configuration, SIGTERM, SIGKILL, a restart under load."""

import asyncio
import signal
import socket

import pytest
from loopback import (
    Bench,
    Client,
    Discovery,
    Server,
    call,
    connected,
    free_port,
    held_until,
    node_table,
    play,
    settings,
    until,
)
from node_samples import spawn

from brackenladder.node.config import ConfigError, load, parse_table


def test_an_invalid_configuration_is_reported_in_one_line(tmp_path):
    file = tmp_path / "config.json"
    with pytest.raises(ConfigError, match="not set"):
        load({})
    with pytest.raises(ConfigError, match="LB_CONFIG"):
        load({"LB_CONFIG": str(file)})
    for text in ("{", "[]", "{}", '{"name":"n","listen":"x","discovery":"y:1"}'):
        file.write_text(text)
        with pytest.raises(ConfigError) as e:
            load({"LB_CONFIG": str(file)})
        assert "\n" not in str(e.value)
    with pytest.raises(ValueError, match="max_attempts"):
        parse_table(node_table(0, settings(policy_limits={"max_attempts": None})))


def test_the_program_exits_with_the_configuration_error(tmp_path):
    async def scene():
        process = await spawn(tmp_path, {"name": "n0"})
        _, errors = await process.communicate()
        assert process.returncode == 2
        assert errors.startswith(b"brackenladder: ") and errors.count(b"\n") == 1

    play(scene)


def test_after_sigterm_open_requests_are_answered_and_the_status_is_0(tmp_path):
    """A planned restart must not lose open requests, even if a second signal arrives."""

    async def scene():
        release = asyncio.Event()
        await (server := Server(held_until(release))).start()
        await (discovery := Discovery()).start()
        port = free_port()
        listen = f"127.0.0.1:{port}"
        process = await spawn(tmp_path, node_table(discovery.port, settings(), listen, server.entry("s0")))
        await connected(client := Client(port))
        assert (await (idle := await Client(port).open()).ask(b"GET /ready HTTP/1.1\r\n\r\n"))[0] == 200
        client.send(call("invite"))
        await until(lambda: len(server.requests) == 1)
        process.send_signal(signal.SIGTERM)
        assert await idle.ended()  # the signal has been handled
        process.send_signal(signal.SIGTERM)
        release.set()
        status, headers, body = await client.receive()
        assert (status, body, headers["connection"]) == (200, b"ok", "close")
        assert await client.ended()
        client.writer.close()
        assert await asyncio.wait_for(process.wait(), 20) == 0

    play(scene)


def test_a_killed_node_can_be_restarted_with_the_same_address(tmp_path):
    """Remaining connections of the old process must not keep the new one from listening."""

    async def scene():
        await (server := Server()).start()
        await (discovery := Discovery()).start()
        port = free_port()
        table = node_table(discovery.port, settings(), f"127.0.0.1:{port}", server.entry("s0"))
        for _ in range(2):
            process = await spawn(tmp_path, table)
            await connected(client := Client(port))
            assert (await client.ask(call("invite")))[0] == 200
            process.kill()
            assert await client.ended()
            assert await asyncio.wait_for(process.wait(), 20) == -signal.SIGKILL

    play(scene)


def test_a_node_that_shuts_down_answers_all_accepted_requests(monkeypatch):
    """Late requests and those in the backlog must not be lost, and idle clients not be reset."""

    async def scene():
        release = asyncio.Event()
        monkeypatch.setattr("brackenladder.http.client_connections.TAKING", 600.0)  # until `stop` is called
        monkeypatch.setattr("brackenladder.sockets.listener.TAKING", 600.0)
        bench = await Bench(server := Server(held_until(release))).start()
        client_connections = bench.node.front.clients
        client_connections.handover = 0.0
        idle, early = await bench.client(), await bench.client()
        assert (await idle.ask(b"GET /ready HTTP/1.1\r\n\r\n"))[0] == 200
        early.send(call("invite"))
        await until(lambda: len(server.requests) == 1)
        drain = asyncio.create_task(bench.node.drain())
        assert await idle.ended()  # idle ones are closed while new ones are still accepted
        monkeypatch.setattr("brackenladder.http.client_connections.SETTLE", 600.0)
        late = await bench.client()
        late.send(call("invite"))
        await until(lambda: len(server.requests) == 2)
        with socket.create_connection(("127.0.0.1", bench.port)) as waiting:  # not accepted by the loop yet
            waiting.settimeout(20)
            client_connections.listener.stop()
            waiting.send(call("invite"))
            await until(lambda: len(server.requests) == 3)
            with pytest.raises(ConnectionRefusedError):
                await bench.client()
            release.set()
            for client in (early, late):
                status, headers, body = await client.receive()
                assert (status, body, headers["connection"]) == (200, b"ok", "close")
                assert await client.ended()
                client.writer.close()
            await until(lambda: all(c.reading_stopped for c in client_connections.connections))
            assert waiting.recv(9999).startswith(b"HTTP/1.1 200 ")
        await asyncio.wait_for(drain, 20)

    play(scene)


def test_clients_keep_their_connections_for_a_while_after_sigterm():
    """If it closed them at once, the node would be useless before its end, while other nodes restart too."""

    async def scene():
        bench = await Bench(server := Server()).start()
        client_connections = bench.node.front.clients
        client_connections.handover = 600.0  # until the test changes it
        client, idle = await bench.client(), await bench.client()
        assert (await idle.ask(call()))[0] == 200
        drain = asyncio.create_task(bench.node.drain())
        await until(lambda: bench.node.front.clients.listener.sock is None)
        status, headers, _ = await client.ask(call("invite", 15000))
        assert status == 200 and "connection" not in headers
        # The process may be killed then, even if the client's own budget is longer.
        assert int(server.requests[-1].headers["x-budget-ms"]) <= 3400
        assert (await client.ask(b"GET /ready HTTP/1.1\r\n\r\n"))[0] == 503
        client_connections.handover = 0.0
        assert await idle.ended()
        await asyncio.wait_for(drain, 20)

    play(scene)


def test_a_planned_restart_under_load_loses_nothing(monkeypatch):
    """Clients that use their connections while the node shuts down must get responses, not resets."""

    async def scene():
        # No client counts as idle, however slow the machine, and new ones are accepted until `stop`.
        monkeypatch.setattr("brackenladder.http.client_connections.TAKING", 600.0)
        monkeypatch.setattr("brackenladder.sockets.listener.TAKING", 600.0)
        monkeypatch.setattr("brackenladder.http.client_connections.SETTLE", 600.0)
        bench = await Bench(Server()).start()
        bench.node.front.clients.handover = 0.0
        answers = 0
        last = 0

        async def send_requests() -> None:
            nonlocal answers, last
            client = await bench.client()
            while True:
                status, headers, _ = await client.ask(call("invite"))
                assert status in (200, 503)  # served, or refused by the balancer
                answers += 1
                if "connection" in headers:
                    assert await client.ended()
                    client.writer.close()
                    last += 1
                    try:
                        client = await bench.client()
                    except ConnectionRefusedError:
                        return

        crowd = [asyncio.create_task(send_requests()) for _ in range(20)]
        await until(lambda: answers > 200)
        drain = asyncio.create_task(bench.node.drain())
        await until(lambda: last > 200)
        bench.node.front.clients.listener.stop()
        await asyncio.wait_for(asyncio.gather(*crowd, drain), 20)

    play(scene)


def test_a_client_that_has_just_sent_is_not_idle():
    """Closing its connection at a planned restart would reset it and lose the request."""

    async def scene():
        bench = await Bench(Server()).start()
        with socket.create_connection(("127.0.0.1", bench.port)) as client:
            await until(lambda: any(c.transport for c in bench.node.front.clients.connections))
            (connection,) = bench.node.front.clients.connections
            assert connection.idle()
            client.send(b"G")  # the node's loop doesn't run before the next line
            assert not connection.idle()

    play(scene)
