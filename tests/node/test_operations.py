"""Tests of operators' calls to a node, over loopback sockets, and of replacing a node process."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
from pathlib import Path

import pytest
from loopback import (
    Bench,
    Client,
    Discovery,
    Server,
    answer_ok,
    call,
    free_port,
    node_table,
    play,
    settings,
    until,
)

from brackenladder.operations.pause import ServiceStage
from brackenladder.sockets.listener import AcceptedConnection, Listener
from brackenladder.sockets.operator_listener import MAX_CONNECTIONS

READY = b"GET /ready HTTP/1.1\r\nHost: n\r\n\r\n"


def operator_port(bench: Bench) -> int:
    return bench.node.operations.operator_listener.listener.sock.getsockname()[1]


async def ask(port: int, line: bytes, end: bytes = b"\n") -> bytes:
    """Sends one call and returns everything up to the end of the connection."""
    client = await Client(port).open()
    client.send(line + end)
    if not end:
        client.writer.write_eof()
    data = await client.reader.read()
    client.writer.close()
    return data


async def operated(*servers: Server, **changes) -> Bench:
    return await Bench(*servers, config={"operator": "127.0.0.1:0"}, **changes).start()


def test_a_suspended_server_gets_no_requests_until_it_is_restored():
    async def scene():
        suspended, other = Server(), Server()
        bench = await operated(suspended, other)
        port = operator_port(bench)
        assert await ask(port, b"SUSPEND nobody") == b"fail no such server\n"
        assert await ask(port, b"SUSPEND s0") == await ask(port, b"SUSPEND s0", end=b"") == b"ok\n"
        for version in (42, 43):
            for _ in range(8):
                assert (await bench.once(call("invite")))[0] == 200
            bench.discovery.say(version, True, suspended.entry("s0", started_ms=version), other.entry("s1"))
            await until(lambda version=version: bench.pool.source.version == version)
        assert not suspended.requests and len(other.requests) == 16
        assert await ask(port, b"RESTORE s0") == b"ok\n"
        bench.discovery.say(44, False, other.entry("s1", "draining"))
        await until(lambda: bench.pool.source.version == 44)
        assert (await bench.once(call("invite")))[0] == 200 and len(suspended.requests) == 1

    play(scene)


def test_the_operator_listener_answers_despite_silent_or_verbose_callers():
    """Connections that hold an incomplete line must not keep operators out."""

    async def scene():
        bench = await operated(Server())
        port = operator_port(bench)
        holders = [await Client(port).open() for _ in range(MAX_CONNECTIONS)]
        for holder in holders[::2]:
            holder.send(b"STA")
        await until(
            lambda: len(bench.node.operations.operator_listener.listener.connections) == MAX_CONNECTIONS
        )
        assert await ask(port, b"STATUS") == b"ok\n"
        assert await ask(port, b"x" * 600) == b"fail the line is too long\n"
        assert await ask(port, b"DANCE") == b"fail unknown call\n"

    play(scene)


def test_a_pause_closes_connections_and_a_resume_accepts_clients_again():
    """A paused node must not keep its existing clients."""

    async def scene():
        gate = asyncio.Event()

        async def slowly(request, writer):
            await gate.wait()
            return await answer_ok(request, writer)

        bench = await operated(Server(slowly))
        port, pause = operator_port(bench), bench.node.operations.pause
        idle, late, busy = [await bench.client() for _ in range(3)]
        for client in (idle, late):
            assert (await client.ask(READY))[0] == 200
        busy.send(call("invite"))
        await until(lambda: len(bench.node.front.by_connection) == 1)
        assert await ask(port, b"PAUSE") == b"ok\n"
        assert (await late.ask(READY))[0] == 503 and await ask(port, b"STATUS") == b"fail takes no clients\n"
        for connection in bench.node.front.clients.connections:
            connection.last_active -= 1  # as if it had been idle for a second
        assert pause.since is not None
        pause.since -= 1.85  # as if the pause had begun 1.85 s ago
        await until(lambda: bench.node.operations.service == ServiceStage.REFUSING)
        assert await idle.ended()
        new = await bench.client()
        status, headers, _ = await new.ask(call("invite"))
        assert status == 503 and "retry-after" in headers and await new.ended()
        gate.set()
        status, headers, _ = await busy.receive()
        assert status == 200 and headers["connection"] == "close" and await busy.ended()
        assert await ask(port, b"RESUME") == b"ok\n" == await ask(port, b"STATUS")
        again = await bench.client()
        assert (await again.ask(READY))[0] == 200 and (await again.ask(call("invite")))[0] == 200

    play(scene)


async def start_node(folder: Path, discovery: int, sock: socket.socket, port: int, *servers: Server):
    """Starts a node process that inherits a listening socket."""
    table = node_table(discovery, settings(), "127.0.0.1:1", *(s.entry("s0") for s in servers))
    if not servers:
        del table["known"]
    (folder / "config.json").write_text(json.dumps(table))
    environ = os.environ | {
        "LB_CONFIG": str(folder / "config.json"),
        "LB_PASSED_SOCKET": str(sock.fileno()),
        "LB_OPERATOR": f"127.0.0.1:{port}",
        "TMPDIR": str(folder),
    }
    return await asyncio.create_subprocess_exec(
        sys.executable, "-m", "brackenladder", env=environ, pass_fds=[sock.fileno()]
    )


async def until_serving(port: int) -> None:
    async with asyncio.timeout(20):
        while True:
            try:
                if await ask(port, b"STATUS") == b"ok\n":
                    return
            except OSError:
                pass
            await asyncio.sleep(0.02)


def test_a_process_is_replaced_without_refusing_clients(tmp_path):
    """The successor must be able to use the address and know the server list, and a client that keeps sending
    requests on new connections must not be refused during the replacement."""

    async def scene():
        await (server := Server()).start()
        await (discovery := Discovery()).start()
        served, stop = [], asyncio.Event()

        async def client(port):
            while not stop.is_set():
                one = await Client(port).open()
                for _ in range(3):
                    status, headers, _ = await one.ask(call("invite"))
                    served.append(status)
                    if headers.get("connection") == "close":
                        break
                one.writer.close()

        with socket.create_server(("127.0.0.1", 0)) as sock:
            operator_ports = [free_port(), free_port()]
            port = sock.getsockname()[1]
            old = await start_node(tmp_path, discovery.port, sock, operator_ports[0], server)
            await until_serving(operator_ports[0])
            client_task = asyncio.create_task(client(port))
            await until(lambda: len(served) > 5)
            # The new process can only use the list that the old one has written: discovery sends none.
            await until((tmp_path / "brackenladder-handover.json").exists)
            new = await start_node(tmp_path, discovery.port, sock, operator_ports[1])
            await until_serving(operator_ports[1])
            old.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(old.wait(), 20) == 0
            count = len(served)
            await until(lambda: len(served) > count + 5)
            stop.set()
            await client_task
            assert set(served) == {200}
            new.terminate()
            assert await asyncio.wait_for(new.wait(), 20) == 0

    play(scene)


def test_connections_waiting_on_a_shared_socket_are_left_to_the_successor():
    """A process that shuts down must not accept clients only to refuse them or make them wait."""

    async def scene():
        loop = asyncio.get_running_loop()
        with socket.create_server(("127.0.0.1", 0)) as sock:
            sock.setblocking(False)
            listener = Listener(loop, 8, lambda: AcceptedConnection(loop.time()))
            listener.adopt(os.dup(sock.fileno()))
            first = await Client(sock.getsockname()[1]).open()
            await until(lambda: any(connection.transport for connection in listener.connections))
            listener.set_accepting(False)  # as if the loop were too busy to accept
            waiting = await Client(sock.getsockname()[1]).open()
            drain_calls = []
            drain = asyncio.create_task(listener.drain(drain_calls.append))
            await until(lambda: len(drain_calls) > 1)
            assert listener.sock is None and len(listener.connections) == 1
            connection, _ = sock.accept()  # as the successor would
            connection.close()
            drain.cancel()
            first.writer.close()
            waiting.writer.close()

    play(scene)


@pytest.mark.parametrize("first", [0, 1])
def test_a_suspended_server_is_suspended_in_both_processes(tmp_path, first):
    """Operators call only one of the processes, but the other must not send to the server either."""

    async def scene():
        await (server := Server()).start()
        await (discovery := Discovery()).start()
        with socket.create_server(("127.0.0.1", 0)) as sock:
            operator_ports = [free_port(), free_port()]
            nodes = []
            for port in operator_ports:
                nodes.append(await start_node(tmp_path, discovery.port, sock, port, server))
                await until_serving(port)
            assert await ask(operator_ports[first], b"SUSPEND s0") == b"ok\n"
            nodes[first].terminate()
            assert await asyncio.wait_for(nodes[first].wait(), 20) == 0
            client = await Client(sock.getsockname()[1]).open()
            async with asyncio.timeout(20):  # the other one checks the file ten times a second
                while (await client.ask(call("invite")))[0] != 503:
                    pass
            before = len(server.requests)
            assert (await client.ask(call("invite")))[0] == 503 and len(server.requests) == before
            other = 1 - first
            assert await ask(operator_ports[other], b"SUSPEND nobody") == b"fail no such server\n"
            assert await ask(operator_ports[other], b"RESTORE s0") == b"ok\n"
            assert (await client.ask(call("invite")))[0] == 200
            nodes[other].terminate()
            assert await asyncio.wait_for(nodes[other].wait(), 20) == 0

    play(scene)


@pytest.mark.parametrize(
    ("environ", "text"),
    [
        ({"LB_PASSED_SOCKET": "seven"}, "LB_PASSED_SOCKET: not a descriptor"),
        ({"LB_PASSED_SOCKET": "0"}, "cannot listen: "),
        ({"LB_OPERATOR": "nowhere"}, "operator: not an address of the form host:port"),
    ],
)
def test_invalid_settings_are_reported_in_one_line(tmp_path, environ, text):
    async def scene():
        await (server := Server()).start()
        await (discovery := Discovery()).start()
        table = node_table(discovery.port, settings(), "127.0.0.1:0", server.entry("s0"))
        (tmp_path / "config.json").write_text(json.dumps(table))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "brackenladder",
            env=os.environ | {"LB_CONFIG": str(tmp_path / "config.json")} | environ,
            stdin=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
        )
        _, err = await asyncio.wait_for(process.communicate(), 20)
        assert process.returncode in (1, 2) and text in err.decode() and err.count(b"\n") == 1

    play(scene)
