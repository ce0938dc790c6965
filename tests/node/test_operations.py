"""A node and its operators, over loopback sockets."""

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


def door_of(bench: Bench) -> int:
    return bench.node.operations.operator_listener.listener.sock.getsockname()[1]


async def ask(port: int, line: bytes, end: bytes = b"\n") -> bytes:
    """One call; the answer, up to the connection's end."""
    client = await Client(port).open()
    client.send(line + end)
    if not end:
        client.writer.write_eof()
    data = await client.reader.read()
    client.writer.close()
    return data


async def operated(*servers: Server, **changes) -> Bench:
    return await Bench(*servers, config={"operator": "127.0.0.1:0"}, **changes).start()


def test_a_held_server_gets_nothing_until_it_is_given_back():
    async def scene():
        held, other = Server(), Server()
        bench = await operated(held, other)
        door = door_of(bench)
        assert await ask(door, b"SUSPEND nobody") == b"fail no such server\n"
        assert await ask(door, b"SUSPEND s0") == await ask(door, b"SUSPEND s0", end=b"") == b"ok\n"
        for version in (42, 43):
            for _ in range(8):
                assert (await bench.once(call("invite")))[0] == 200
            bench.discovery.say(version, True, held.entry("s0", started_ms=version), other.entry("s1"))
            await until(lambda version=version: bench.pool.source.version == version)
        assert not held.requests and len(other.requests) == 16
        assert await ask(door, b"RESTORE s0") == b"ok\n"
        bench.discovery.say(44, False, other.entry("s1", "draining"))
        await until(lambda: bench.pool.source.version == 44)
        assert (await bench.once(call("invite")))[0] == 200 and len(held.requests) == 1

    play(scene)


def test_the_door_answers_beside_callers_that_say_nothing_or_too_much():
    """Failure prevented: whoever holds a connection with half a line keeps the operators out."""

    async def scene():
        bench = await operated(Server())
        door = door_of(bench)
        holders = [await Client(door).open() for _ in range(MAX_CONNECTIONS)]
        for holder in holders[::2]:
            holder.send(b"STA")
        await until(
            lambda: len(bench.node.operations.operator_listener.listener.connections) == MAX_CONNECTIONS
        )
        assert await ask(door, b"STATUS") == b"ok\n"
        assert await ask(door, b"x" * 600) == b"fail the line is too long\n"
        assert await ask(door, b"DANCE") == b"fail unknown call\n"

    play(scene)


def test_a_pause_ends_connections_and_a_resume_takes_clients_again():
    """Failure prevented: a node that is told to pause keeps the clients that it has."""

    async def scene():
        gate = asyncio.Event()

        async def slowly(request, writer):
            await gate.wait()
            return await answer_ok(request, writer)

        bench = await operated(Server(slowly))
        door, pause = door_of(bench), bench.node.operations.pause
        idle, late, busy = [await bench.client() for _ in range(3)]
        for client in (idle, late):
            assert (await client.ask(READY))[0] == 200
        busy.send(call("invite"))
        await until(lambda: len(bench.node.front.by_connection) == 1)
        assert await ask(door, b"PAUSE") == b"ok\n"
        assert (await late.ask(READY))[0] == 503 and await ask(door, b"STATUS") == b"fail takes no clients\n"
        for connection in bench.node.front.clients.connections:
            connection.last_active -= 1  # as if it had been quiet for so long
        assert pause.since is not None
        pause.since -= 1.85  # as if so much of the pause had passed
        await until(lambda: bench.node.operations.service == ServiceStage.REFUSING)
        assert await idle.ended()
        new = await bench.client()
        status, headers, _ = await new.ask(call("invite"))
        assert status == 503 and "retry-after" in headers and await new.ended()
        gate.set()
        status, headers, _ = await busy.receive()
        assert status == 200 and headers["connection"] == "close" and await busy.ended()
        assert await ask(door, b"RESUME") == b"ok\n" == await ask(door, b"STATUS")
        again = await bench.client()
        assert (await again.ask(READY))[0] == 200 and (await again.ask(call("invite")))[0] == 200

    play(scene)


async def start_node(folder: Path, discovery: int, sock: socket.socket, door: int, *servers: Server):
    """A node as a process that is handed a listening socket."""
    table = node_table(discovery, settings(), "127.0.0.1:1", *(s.entry("s0") for s in servers))
    if not servers:
        del table["known"]
    (folder / "config.json").write_text(json.dumps(table))
    environ = os.environ | {
        "LB_CONFIG": str(folder / "config.json"),
        "LB_PASSED_SOCKET": str(sock.fileno()),
        "LB_OPERATOR": f"127.0.0.1:{door}",
        "TMPDIR": str(folder),
    }
    return await asyncio.create_subprocess_exec(
        sys.executable, "-m", "brackenladder", env=environ, pass_fds=[sock.fileno()]
    )


async def until_yes(door: int) -> None:
    async with asyncio.timeout(20):
        while True:
            try:
                if await ask(door, b"STATUS") == b"ok\n":
                    return
            except OSError:
                pass
            await asyncio.sleep(0.02)


def test_a_process_is_replaced_and_nobody_is_turned_away(tmp_path):
    """Failure prevented: the successor cannot have the address, knows no held server, or a client that asks
    on, on one connection after another, is refused while the one ends and the other begins."""

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
            doors = [free_port(), free_port()]
            port = sock.getsockname()[1]
            old = await start_node(tmp_path, discovery.port, sock, doors[0], server)
            await until_yes(doors[0])
            asking = asyncio.create_task(client(port))
            await until(lambda: len(served) > 5)
            # The new one's list is what the old one leaves it: discovery says nothing.
            await until((tmp_path / "brackenladder-handover.json").exists)
            new = await start_node(tmp_path, discovery.port, sock, doors[1])
            await until_yes(doors[1])
            old.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(old.wait(), 20) == 0
            count = len(served)
            await until(lambda: len(served) > count + 5)
            stop.set()
            await asking
            assert set(served) == {200}
            new.terminate()
            assert await asyncio.wait_for(new.wait(), 20) == 0

    play(scene)


def test_what_waits_on_a_shared_socket_is_left_to_the_successor():
    """Failure prevented: the one that ends takes clients on, and turns them away or makes them wait."""

    async def scene():
        loop = asyncio.get_running_loop()
        with socket.create_server(("127.0.0.1", 0)) as sock:
            sock.setblocking(False)
            listener = Listener(loop, 8, lambda: AcceptedConnection(loop.time()))
            listener.adopt(os.dup(sock.fileno()))
            first = await Client(sock.getsockname()[1]).open()
            await until(lambda: any(connection.transport for connection in listener.connections))
            listener.set_accepting(False)  # as if it had no time to look
            waiting = await Client(sock.getsockname()[1]).open()
            looked = []
            drain = asyncio.create_task(listener.drain(looked.append))
            await until(lambda: len(looked) > 1)
            assert listener.sock is None and len(listener.connections) == 1
            connection, _ = sock.accept()  # the successor's
            connection.close()
            drain.cancel()
            first.writer.close()
            waiting.writer.close()

    play(scene)


@pytest.mark.parametrize("teller", [0, 1])
def test_a_held_server_is_held_by_both_processes(tmp_path, teller):
    """Failure prevented: operators tell one process, and the other sends to the server."""

    async def scene():
        await (server := Server()).start()
        await (discovery := Discovery()).start()
        with socket.create_server(("127.0.0.1", 0)) as sock:
            doors = [free_port(), free_port()]
            nodes = []
            for door in doors:
                nodes.append(await start_node(tmp_path, discovery.port, sock, door, server))
                await until_yes(door)
            assert await ask(doors[teller], b"SUSPEND s0") == b"ok\n"
            nodes[teller].terminate()
            assert await asyncio.wait_for(nodes[teller].wait(), 20) == 0
            client = await Client(sock.getsockname()[1]).open()
            async with asyncio.timeout(20):  # the other one looks ten times a second
                while (await client.ask(call("invite")))[0] != 503:
                    pass
            before = len(server.requests)
            assert (await client.ask(call("invite")))[0] == 503 and len(server.requests) == before
            other = 1 - teller
            assert await ask(doors[other], b"SUSPEND nobody") == b"fail no such server\n"
            assert await ask(doors[other], b"RESTORE s0") == b"ok\n"
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
def test_what_cannot_be_used_is_one_line(tmp_path, environ, text):
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
