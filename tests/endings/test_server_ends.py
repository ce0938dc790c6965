"""Servers that close a connection before the request's first byte, and retries that are written too late."""

from __future__ import annotations

import asyncio
import os
import socket
import time

import pytest
from crossings import Raw, hold_connects, leave
from loopback import OK, Bench, Server, call, entry_of, play, until

from brackenladder.interface import ListKind
from brackenladder.membership.listing import Listing, read_line
from brackenladder.settings import FieldReader


@pytest.mark.parametrize("how", ["fin", "rst"])
def test_a_connection_closed_at_once_has_carried_nothing(how):
    """An unsafe request is sent to another server, as nothing was written to the first."""

    async def scene():
        with socket.create_server(("127.0.0.1", 0)) as listener:
            good = await Server().start()
            bench = await Bench(good).start()
            short = entry_of(listener.getsockname()[1], "short")
            held = hold_connects(bench)
            bench.discovery.say(42, True, short)
            await until(lambda: bench.node.http.source.version == 42)
            client = Raw(bench.port, call("invite"))
            await until(lambda: held.up == 1)
            bench.discovery.say(43, False, good.entry("s0"))
            await until(lambda: bench.node.http.source.version == 43)
            sock, _ = listener.accept()
            listener.close()  # after a suspension the node would choose again and could reconnect to it
            leave(sock, how)
            held.wait_for_its_end()
            held.go.set()  # the connecting task continues before the loop polls any socket
            assert (await client.answer()).startswith(b"HTTP/1.1 200")
            assert len(good.requests) == 1
            client.leave("fin")

    play(scene)


def test_a_connection_closed_during_the_wait_for_updates_is_not_used():
    """After a suspension, a request waits for list updates, and its connection is closed in that time."""

    async def scene():
        bench = await Bench(server := Server()).start()
        client = await bench.client()
        assert (await client.ask(call("invite")))[0] == 200
        front = bench.node.front
        taken = front.handle_request

        def handle_slowly(connection, message):
            taken(connection, message)
            number = server.writers[0].get_extra_info("socket").fileno()
            with socket.socket(fileno=os.dup(number)) as sock:
                sock.shutdown(socket.SHUT_RDWR)
            time.sleep(0.005)  # the wait is over before the loop polls the sockets again

        front.handle_request = handle_slowly
        bench.pool.upstream.pool.stall.grace_until = time.monotonic() + 60
        status, _, _ = await client.ask(call("invite"))
        assert (status, server.connections, len(server.requests)) == (200, 2, 2)

    play(scene)


@pytest.mark.parametrize("late", [False, True])
def test_a_keyed_retry_is_not_written_after_its_window(late):
    """The retry is decided within the window, but its connection is established after it."""
    window = 300_000

    async def scene():
        async def reset(request, writer):
            raise ConnectionResetError

        first, second = await Server(reset).start(), await Server().start()
        classes = [
            {"name": "offer", "effect": "guarded", "group": "all", "goal_time": 10**7, "hard_limit": 10**7}
            | {"worth": 1.0, "window": window}
        ]
        bench = await Bench(first, classes=classes).start()
        host = bench.pool.host
        held = hold_connects(bench)
        client = Raw(bench.port, call("offer"))
        await until(lambda: held.up == 1)
        line = read_line(FieldReader(second.entry("second")))  # for the retry
        bench.pool.on_listing(Listing(ListKind.CHANGES, 42, (line,)))
        held.go.set()
        held.go.clear()
        await until(lambda: held.up == 2)
        (open_call,) = host.calls.values()
        assert open_call.write_by - open_call.accepted_at <= window + 100_000
        if late:
            await until(lambda: host.now() >= open_call.write_by)
        else:
            open_call.write_by = host.now() + 10**7
        held.go.set()
        answer = await client.answer()
        assert answer.startswith(b"HTTP/1.1 502" if late else b"HTTP/1.1 200")
        assert len(second.requests) == (0 if late else 1)
        client.leave("fin")

    play(scene)


def test_an_invalid_host_name_ends_the_attempt_and_leaks_nothing():
    async def scene():
        bench = await Bench(Server()).start()
        (endpoint,) = bench.pool.upstream.pool.endpoints.values()
        endpoint.host = "a" * 70 + ".\udcff"  # not a valid host name
        assert (await bench.once(call("invite")))[0] == 503
        assert bench.pool.upstream.pool.open == 0

    play(scene)


@pytest.mark.parametrize("size", [2, 100_000])
def test_a_response_before_the_end_of_the_request_is_not_accepted(size):
    """A server begins a request at its last byte, and part of this one is still in the node."""
    stale = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (size, b"x" * size)

    async def scene():
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            bench = await Bench().start()
            bench.discovery.say(42, True, entry_of(listener.getsockname()[1], "twice"))
            await until(lambda: bench.node.http.source.version == 42)
            client = await bench.client()
            client.send(call("view"))
            sock, _ = await asyncio.get_running_loop().run_in_executor(None, listener.accept)
            with sock:
                await asyncio.get_running_loop().run_in_executor(None, sock.recv, 65536)
                sock.sendall(OK)
                assert (await client.receive())[0] == 200
                good = await Server().start()
                (endpoint,) = bench.pool.upstream.pool.endpoints.values()
                (connection,) = endpoint.idle
                client.send(call("invite", body=b"b" * (16 << 20)))
                await until(lambda: connection.request_unsent)
                bench.discovery.say(43, False, good.entry("good"))
                await until(lambda: bench.node.http.source.version == 43)
                sock.sendall(stale)
                assert await client.receive() == (200, {"content-length": "2"}, b"ok")
                assert len(good.requests) == 1

    play(scene)
