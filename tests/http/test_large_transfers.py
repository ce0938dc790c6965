"""Large bodies and responses through a node, compared byte for byte, and transfers that break half-way."""

from __future__ import annotations

import asyncio
import random
import socket
import struct
from contextlib import suppress

import pytest
from loopback import PATIENCE, Bench, Client, Server, call, play, until

RANDOM = random.Random(7)
SIZES = [65_536, 65_537, 300_000, 3_000_000]


def random_bytes(size: int) -> bytes:
    return RANDOM.randbytes(size)


def chunks(body: bytes, size: int = 50_000) -> bytes:
    parts = [body[i : i + size] for i in range(0, len(body), size)]
    return b"".join(b"%x;x=y\r\n%b\r\n" % (len(p), p) for p in parts) + b"0\r\nX-Trailer: t\r\n\r\n"


def framed_response(body: bytes, how: str) -> bytes:
    """A response; one without a length or chunks has to be ended by closing the connection."""
    if how == "chunks":
        return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks(body)
    length = b"Content-Length: %d\r\n" % len(body) if how == "length" else b""
    return b"HTTP/1.1 200 OK\r\n%b\r\n%b" % (length, body)


def responding(answer: bytes):
    async def handle(request, writer):
        return answer

    return handle


async def read_response(client: Client) -> tuple[int, dict[str, str], bytes]:
    """One response, framed by length or by chunks."""
    reader = client.reader
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    first, *lines = head[:-4].split("\r\n")
    headers = {k.lower(): v for k, _, v in (line.partition(": ") for line in lines)}
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    else:
        assert headers["transfer-encoding"] == "chunked"
        body = b""
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    return int(first.split(" ")[1]), headers, body


@pytest.mark.parametrize("how", ["length", "chunks", "pieces"])
@pytest.mark.parametrize("size", SIZES)
def test_a_large_body_arrives_as_it_was_sent(size, how):
    """Guards against a slice that is read twice, or later bytes that are taken for a part of the body."""

    async def scene():
        bench = await Bench(server := Server()).start()
        body, client = random_bytes(size), await bench.client()
        data = call("invite", body=body)
        if how == "chunks":
            head = call("invite").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
            data = head + chunks(body)
        if how == "pieces":
            for start in range(0, len(data), 20_011):
                client.send(data[start : start + 20_011])
                await asyncio.sleep(0)
        else:
            client.send(data + call())  # the next request follows at once
            assert (await client.receive())[0] == 200
        assert (await client.receive())[0] == 200
        got = [r.body for r in server.requests if r.method == "POST"]
        assert got == [body]
        client_connections = bench.node.front.clients
        assert client_connections.held_bytes == client_connections.body_budget.used == 0

    play(scene)


@pytest.mark.parametrize("how", ["length", "chunks", "end"])
@pytest.mark.parametrize("size", [1000, *SIZES])
def test_a_large_response_arrives_as_the_server_sent_it(size, how):
    """Guards against a response that ends with its connection being taken for a truncated one."""

    async def scene():
        body = random_bytes(size)

        async def handle(request, writer):
            if request.method == "GET":
                return framed_response(b"small", "length")
            writer.write(framed_response(body, how))
            if how == "end":
                writer.close()
            return None

        bench = await Bench(Server(handle)).start()
        client = await bench.client()
        client.send(call("invite"))
        status, headers, got = await read_response(client)
        assert (status, got) == (200, body)
        client.send(call())  # the client's connection stays open even if the server's was closed
        assert (await read_response(client))[2] == b"small"

    play(scene)


@pytest.mark.parametrize("how", ["length", "chunks", "end"])
def test_a_truncated_response_cannot_be_taken_for_a_complete_one(how):
    async def scene():
        async def handle(request, writer):
            writer.write(framed_response(random_bytes(400_000), how)[:300_000])
            await writer.drain()
            await asyncio.sleep(0.05)
            sock = writer.get_extra_info("socket")  # a reset, as when a server process dies
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
            return None

        bench = await Bench(Server(handle)).start()
        client = await bench.client()
        client.send(call("invite"))
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await asyncio.wait_for(read_response(client), PATIENCE)
        await until(lambda: not bench.node.front.clients.connections)

    play(scene)


def test_a_slow_client_slows_the_server_and_fills_no_memory():
    """Guards against many large responses at a time exhausting the process's memory."""

    async def scene():
        body = random_bytes(32 << 20)

        async def handle(request, writer):
            return framed_response(body, "length")

        bench = await Bench(Server(handle)).start()
        client = await bench.client()
        client.writer.transport.pause_reading()
        client.send(call("invite"))
        await until(lambda: any(c.relay and c.write_paused for c in bench.node.front.clients.connections))
        (connection,) = bench.node.front.clients.connections
        assert connection.transport.get_write_buffer_size() < 1 << 20
        drain = asyncio.create_task(bench.node.drain())  # the shutdown waits for the transfer
        await until(lambda: bench.node.front.clients.closing)
        client.writer.transport.resume_reading()
        status, _, got = await asyncio.wait_for(read_response(client), PATIENCE)
        assert status == 200 and got == body
        client.writer.close()
        await asyncio.wait_for(drain, PATIENCE)

    play(scene)


def test_a_client_that_disconnects_half_way_ends_the_servers_side():
    async def scene():
        async def handle(request, writer):
            with suppress(ConnectionError):
                writer.write(head)
                await gate.wait()
            return None

        gate, head = asyncio.Event(), framed_response(random_bytes(200_000), "length")[:100_000]
        bench = await Bench(server := Server(handle)).start()
        client = await bench.client()
        client.send(call("invite"))
        await until(lambda: any(c.relay for c in bench.node.front.clients.connections))
        client.writer.transport.abort()
        await until(lambda: not bench.node.front.clients.connections and bench.pool.upstream.pool.open == 0)
        assert len(server.requests) == 1
        gate.set()

    play(scene)


def test_a_slow_client_gets_the_end_of_its_last_response(monkeypatch):
    """Guards against a reset of the connection while the end of the response is still in the write buffer."""
    monkeypatch.setattr("brackenladder.http.client_connections.LINGER", 0.01)

    async def scene():
        body = random_bytes(66_000)  # large enough to be relayed, small enough for the transport's buffer
        bench = await Bench(Server(responding(framed_response(body, "length")))).start()
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", bench.port))
        client = Client(bench.port)
        client.reader, client.writer = await asyncio.open_connection(sock=sock)
        client.writer.transport.pause_reading()
        await until(lambda: len(bench.node.front.clients.connections) == 1)
        (connection,) = bench.node.front.clients.connections
        await until(lambda: connection.transport is not None)
        connection.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        client.send(call("invite", extra=b"Connection: close\r\n"))
        await until(lambda: connection.reading_stopped and connection.relay is None)
        assert connection.transport.get_write_buffer_size()
        await asyncio.sleep(0.1)  # ten times the time in which the client may read
        client.writer.transport.resume_reading()
        assert (await read_response(client))[2] == body

    play(scene)


def test_garbage_after_a_request_does_not_disturb_its_response():
    """Guards against an error response in the middle of a large response."""

    async def scene():
        gate, body = asyncio.Event(), random_bytes(300_000)

        async def handle(request, writer):
            writer.write(framed_response(body, "length")[:200_000])
            await gate.wait()
            return framed_response(body, "length")[200_000:]

        bench = await Bench(Server(handle)).start()
        client = await bench.client()
        client.send(call("invite"))
        await until(lambda: any(c.relay for c in bench.node.front.clients.connections))
        client.send(b"nonsense\r\n\r\n")
        await until(lambda: any(c.reading_stopped for c in bench.node.front.clients.connections))
        gate.set()
        assert (await read_response(client))[2] == body and await client.ended()

    play(scene)


def test_a_body_waits_for_a_reservation_and_is_refused_without_one():
    async def scene():
        gate = asyncio.Event()

        async def handle(request, writer):
            await gate.wait()
            return framed_response(b"", "length")

        bench = await Bench(server := Server(handle)).start()
        client_connections = bench.node.front.clients
        client_connections.body_budget.max_bytes = 300_000
        first, second, third = [await bench.client() for _ in range(3)]
        first.send(call("invite", body=random_bytes(200_000)))
        await until(lambda: len(server.requests) == 1)
        second.send(call("invite", body=random_bytes(150_000)))
        third.send(call("invite", body=random_bytes(150_000)))
        await until(lambda: len(client_connections.waiting_reservations) == 2)
        for reservation in client_connections.waiting_reservations:
            reservation.waiting_since -= (
                6 if client_connections.waiting_reservations[reservation].partial_request is not None else 0
            )
            break  # the first of them has waited too long
        status, headers, _ = await first_response(second, third)
        assert status == 503 and headers["connection"] == "close"
        gate.set()
        assert (await first.receive())[0] == 200
        await until(lambda: len(server.requests) == 2 and client_connections.body_budget.used == 0)

    play(scene)


async def first_response(*clients: Client):
    """The first response that any of the clients receives."""
    tasks = [asyncio.create_task(read_response(c)) for c in clients]
    done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED, timeout=PATIENCE)
    for task in set(tasks) - done:
        task.add_done_callback(lambda t: t.cancelled() or t.exception())
    return done.pop().result()


def test_an_error_response_with_a_large_body_is_an_error():
    """Guards against counting such a response as a reset, after which the request may have run."""

    async def scene():
        async def handle(request, writer):
            return b"HTTP/1.1 503 No\r\nX-Rejected: 1\r\nContent-Length: 200000\r\n\r\n" + random_bytes(
                200_000
            )

        bench = await Bench(Server(handle)).start()
        assert (await bench.once(call("invite")))[0] == 503

    play(scene)
