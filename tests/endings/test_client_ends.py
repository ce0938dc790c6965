"""Clients that disconnect while a request waits, and what is still sent on a connection that closes.

At each point where a request waits, the client closes with FIN or with RST. Its end is in the socket, but the
event loop has not reported it yet.
"""

from __future__ import annotations

import asyncio
import time

import pytest
from crossings import LEAVES, Raw, hold_connects
from loopback import OK, Bench, Server, call, play, until

from brackenladder.core.call import Failure
from brackenladder.http.client_connections import HttpRequest
from brackenladder.http.front import HttpCall
from brackenladder.http.server_connection import Answer

DEPARTURES = 200
REJECTED = b"HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"


class DelayedServer(Server):
    """Responds with each request's own id, once `release` is set."""

    def __init__(self) -> None:
        super().__init__(self.later)
        self.release = asyncio.Event()

    async def later(self, request, writer):
        await self.release.wait()
        name = request.headers["x-call-id"].encode()
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(name), name)

    @property
    def names(self) -> list[str]:
        return [request.headers["x-call-id"] for request in self.requests]


async def settled(bench: Bench) -> None:
    """Wait until all clients have disconnected and the core has no open call."""
    await until(lambda: not bench.node.front.clients.connections and not bench.pool.host.calls)


@pytest.mark.parametrize("how", LEAVES)
def test_no_request_is_sent_after_leaving_in_the_backlog(how):
    async def scene():
        bench = await Bench(server := Server()).start()
        for _ in range(DEPARTURES // 50):
            for _ in range(50):
                Raw(bench.port, call("invite")).leave(how)
            assert (await bench.once(call("view")))[0] == 200  # accepted after them
            await settled(bench)
        assert len(server.requests) == DEPARTURES // 50

    play(scene)


@pytest.mark.parametrize("how", LEAVES)
def test_no_request_is_sent_after_leaving_during_the_connect(how):
    async def scene():
        bench = await Bench(server := Server()).start()
        pool = bench.pool.upstream.pool
        (endpoint,) = pool.endpoints.values()

        def none_is_left() -> bool:
            endpoint.close_idle()  # after a suspension it becomes idle a moment after its request ended
            return pool.open == 0

        for n in range(DEPARTURES):
            held = hold_connects(bench)
            client = Raw(bench.port, call("invite"))
            await until(lambda held=held: held.up == 1)
            # Connecting takes at least this long; the test requires no stricter order of events.
            await asyncio.sleep(0.0015)
            client.leave(how)
            held.go.set()  # the connecting task continues before the loop polls any socket
            await settled(bench)
            pool.loop = held.loop
            await until(none_is_left)
            assert not server.requests, n

    play(scene)


@pytest.mark.parametrize("how", LEAVES)
def test_no_request_is_sent_after_leaving_with_pipelined_requests(how):
    """So many requests wait that the connection is not read any more, and its end is not seen either."""

    async def scene():
        bench = await Bench(server := DelayedServer()).start()
        for n in range(DEPARTURES // 8):
            server.release.clear()
            client = Raw(bench.port, b"".join(call("view") for _ in range(9)))
            await until(lambda n=n: len(server.requests) == n + 1)
            client.send(call("view"))  # one more than may wait: the connection is not read any further
            await until(lambda: any(c.paused for c in bench.node.front.clients.connections))
            client.leave(how)
            server.release.set()
            await settled(bench)
            assert len(server.requests) == n + 1

    play(scene)


@pytest.mark.parametrize("how", LEAVES)
def test_no_request_is_sent_after_leaving_during_a_suspension(how):
    """After a suspension, the request and the client's end are read in turn, and the wait ends in between."""

    async def scene():
        bench = await Bench(server := Server()).start()
        stall = bench.pool.upstream.pool.stall
        front = bench.node.front
        taken = front.handle_request

        def handle_slowly(connection, message):
            taken(connection, message)
            time.sleep(0.005)  # so that the timer is due before the loop polls the sockets again

        for n in range(DEPARTURES // 2):
            client = Raw(bench.port, call("view"))
            assert (await client.answer()).startswith(b"HTTP/1.1 200")
            client.send(call("invite"))
            client.leave(how)
            stall.grace_until = time.monotonic() + 60
            front.handle_request = handle_slowly
            await until(lambda: not front.clients.connections)
            front.handle_request = taken
            stall.grace_until = 0.0
            await settled(bench)
            assert len(server.requests) == n + 1

    play(scene)


@pytest.mark.parametrize("how", LEAVES)
@pytest.mark.parametrize("first", ["client", "server"])
def test_no_request_is_sent_after_leaving_before_a_retry(how, first, monkeypatch):
    """The client's end and the response that causes a retry arrive in the same turn, in both orders."""
    monkeypatch.setattr("brackenladder.core.call.FRESH", 0)

    async def scene():
        clients = []

        async def reject(request, writer):
            if first == "client":
                clients.pop().leave(how)
                return REJECTED
            writer.write(REJECTED)  # written by the transport at once
            clients.pop().leave(how)
            return None

        servers = Server(reject), Server(reject)
        bench = await Bench(*servers).start()
        for n in range(DEPARTURES):
            clients.append(Raw(bench.port, call("view")))
            await until(lambda: not clients)
            await settled(bench)
            assert sum(len(s.requests) for s in servers) == n + 1

    play(scene)


@pytest.mark.parametrize("how", LEAVES)
def test_no_request_is_sent_after_leaving_while_held_in_a_later_tier(how):
    async def scene():
        bench = await Bench(server := DelayedServer(), layers=["front", "store"], tier=1).start()
        host, connections = bench.pool.host, bench.node.front.clients.connections
        left = 0
        while left < DEPARTURES:
            server.release.clear()
            before = len(server.requests)
            names = [b"%d-%d" % (left, n) for n in range(60)]
            clients = {name.decode(): Raw(bench.port, call("view", name=name)) for name in names}

            def all_accepted(before: int = before) -> bool:
                """All were accepted: refused, held, or received by the server."""
                out = sum(c.current_attempt is not None for c in host.calls.values())
                return (
                    sum(c.requests_started for c in connections) == 60
                    and len(server.requests) == before + out
                )

            await until(all_accepted)
            waits = {c.name.decode() for c in host.calls.values() if c.open and c.current_attempt is None}
            assert waits
            for name in waits:
                clients.pop(name).leave(how)
            server.release.set()
            left += len(waits)
            for name in server.names[before:]:
                assert name.encode() in await clients.pop(name).answer()
            for client in clients.values():  # their requests were refused
                client.leave("fin")
            await settled(bench)
            assert not waits & set(server.names)

    play(scene)


def test_a_request_that_failed_in_the_node_does_not_answer_the_next_one():
    """If an exception occurs after the call was handed to the core, the 500 concludes the call."""

    async def scene():
        bench = await Bench(server := DelayedServer()).start()
        host = bench.pool.host
        take = host.take

        def taken_and_broken(call):
            host.take = take
            take(call)
            raise RuntimeError("planted")

        host.take = taken_and_broken
        client = await bench.client()
        assert (await client.ask(call("invite", name=b"first")))[0] == 500
        assert not bench.node.front.by_call_id and not any(c.open for c in host.calls.values())
        client.send(call("view", name=b"second"))
        await until(lambda: "second" in server.names)
        server.release.set()
        assert (await client.receive())[2] == b"second"
        client.writer.close()
        await settled(bench)
        assert not bench.node.front.by_connection and not bench.node.front.by_call_id

    play(scene)


@pytest.mark.parametrize("ends", ["served", "refused", "failed"])
def test_a_call_answers_its_own_request_only(ends):
    """The end of an earlier call must not answer the request that its connection has moved on to."""

    async def scene():
        bench = await Bench(server := DelayedServer()).start()
        front, host = bench.node.front, bench.pool.host
        client = await bench.client()
        client.send(call("view", name=b"mine"))
        await until(lambda: len(server.requests) == 1)
        (mine,) = front.by_connection.values()
        other = HttpRequest()
        other.headers[b"x-call-id"] = b"another"
        stale = HttpCall(front, host, mine.connection, other, 0, 0, 1, False)
        stale.released()
        answer = Answer(200, b"no", b"", False, b"")
        {"served": lambda: stale.served(answer), "refused": lambda: stale.refused(0)}.get(
            ends, lambda: stale.failed(Failure.FAULT)
        )()
        server.release.set()
        assert (await client.receive())[2] == b"mine"
        assert await bench.once(call("view")) and not front.by_connection

    play(scene)


def test_a_repeated_request_id_is_not_in_progress_twice():
    """The first client has left unnoticed: its attempt is cancelled before the second one starts."""

    async def scene():
        async def silent_first(request, writer):
            return OK if len(server.requests) == 2 else None

        bench = await Bench(server := Server(silent_first)).start()
        first = Raw(bench.port, call("invite", name=b"again"))
        await until(lambda: len(server.requests) == 1)
        (connection,) = bench.node.front.clients.connections
        connection.transport.pause_reading()
        first.leave("fin")
        await until(connection.gone)
        second = Raw(bench.port, call("invite", name=b"again"))
        await until(lambda: server.closed == 1)
        assert (await second.answer()).startswith(b"HTTP/1.1 200")
        second.leave("fin")
        await settled(bench)

    play(scene)


def test_requests_behind_a_last_response_are_answered():
    """During a shutdown, complete requests that wait behind the open one are answered as well."""

    async def scene():
        bench = await Bench(server := DelayedServer()).start()
        bench.node.front.clients.handover = 0.0
        client = await bench.client()
        client.send(b"".join(call("view", name=b"n%d" % n) for n in range(4)) + b"GET /view HTTP/1.1\r\nHa")
        await until(lambda: len(server.requests) == 1)
        drain = asyncio.create_task(bench.node.drain())
        await until(lambda: bench.node.front.clients.closing)
        server.release.set()
        answers = [await client.receive() for _ in range(4)]
        assert [(status, body) for status, _, body in answers] == [(200, b"n%d" % n) for n in range(4)]
        assert ["connection" in headers for _, headers, _ in answers] == [False, False, False, True]
        assert await client.ended()
        client.writer.close()
        await asyncio.wait_for(drain, 20)

    play(scene)


def test_a_client_that_continues_to_send_does_not_delay_the_shutdown():
    """Requests that arrive after the last responses have begun are left to another node."""

    async def scene():
        turns = asyncio.Semaphore(0)

        async def in_turn(request, writer):
            await turns.acquire()
            return OK

        bench = await Bench(server := Server(in_turn)).start()
        bench.node.front.clients.handover = 0.0
        client = await bench.client()
        client.send(call("view") + call("view"))
        await until(lambda: len(server.requests) == 1)
        drain = asyncio.create_task(bench.node.drain())
        await until(lambda: bench.node.front.clients.closing)
        turns.release()
        assert "connection" not in (await client.receive())[1]
        await until(lambda: len(server.requests) == 2)
        client.send(call("view"))
        await until(lambda: not any(c.has_unread_input() for c in bench.node.front.clients.connections))
        turns.release()
        assert (await client.receive())[1]["connection"] == "close"
        assert await client.ended()
        client.writer.close()
        await asyncio.wait_for(drain, 20)
        assert len(server.requests) == 2

    play(scene)


def test_requests_before_an_upgrade_are_answered():
    async def scene():
        bench = await Bench(server := DelayedServer()).start()
        client = await bench.client()
        offer = b"Connection: Upgrade\r\nUpgrade: other\r\n"
        client.send(call("view", name=b"a") + call("view", name=b"b") + call("view", name=b"c", extra=offer))
        await until(lambda: len(server.requests) == 1)
        server.release.set()
        assert [(await client.receive())[2] for _ in range(3)] == [b"a", b"b", b"c"]
        assert await client.ended()

    play(scene)


@pytest.mark.parametrize("by", ["drain", "room", "pause"])
def test_a_response_that_its_client_has_not_read_is_not_cut_off(by, monkeypatch):
    """The request counts as answered, but half of its response is still in the write buffer."""
    for name in ("SETTLE", "LINGER", "TAKING"):
        monkeypatch.setattr(f"brackenladder.http.client_connections.{name}", 0.0)
    monkeypatch.setattr("brackenladder.sockets.listener.LINGER", 600.0)
    size = 16 << 20

    async def large(request, writer):
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + bytes(size)

    async def scene():
        bench = await Bench(Server(large)).start()
        client_connections = bench.node.front.clients
        client = await bench.client()
        await until(lambda: len(client_connections.connections) == 1)
        connection = next(iter(client_connections.connections))
        # The whole response fits into the write buffer, so that the server's side finishes at once.
        connection.transport.set_write_buffer_limits(high=2 * size)
        client.reader._limit = 1024  # reads nothing more once it has buffered this much
        client.send(call("view"))
        await until(lambda: connection.requests_started == 1 and connection.open_request is None)
        assert connection.has_unsent_output()
        if by == "drain":
            client_connections.handover = 0.0
            drain = asyncio.create_task(bench.node.drain())
            await until(lambda: client_connections.closing)
        elif by == "room":
            assert not client_connections.listener.evict_one()
        else:
            from brackenladder.operations.pause import ServiceStage

            client_connections.set_service_stage(ServiceStage.ENDING)
        assert len((await client.receive())[2]) == size
        client.writer.close()
        if by == "drain":
            await asyncio.wait_for(drain, 20)

    play(scene)


def test_a_response_is_framed_for_its_own_request():
    """The client speaks HTTP/1.1 with chunks, but its next request is an HTTP/1.0 one."""
    body = b"x" * 200_000

    async def scene():
        release = asyncio.Event()

        async def open_ended(request, writer):
            await release.wait()
            return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n" % (
                len(body),
                body,
            )

        bench = await Bench(server := Server(open_ended)).start()
        client = await bench.client()
        client.send(call("view") + call("view").replace(b"HTTP/1.1", b"HTTP/1.0"))
        await until(lambda: len(server.requests) == 1)
        release.set()
        head = await client.reader.readuntil(b"\r\n\r\n")
        assert b"transfer-encoding: chunked" in head.lower() and b"close" not in head.lower()
        client.writer.close()

    play(scene)


@pytest.mark.parametrize("version", [b"HTTP/1.1", b"HTTP/1.0"])
@pytest.mark.parametrize("gives", [True, False])
def test_a_large_response_is_cut_off_only_when_its_server_stalls(gives, version, monkeypatch):
    """It continues beyond the client's timeout; if it is cut off, the client can tell."""
    if not gives:
        monkeypatch.setattr("brackenladder.http.relay.STALLED", 0.3)

    async def scene():
        calls = []

        async def large(request, writer):
            calls.extend(bench.pool.host.calls.values())
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            for n in range(64):
                writer.write(b"1000\r\n" + bytes(4096) + b"\r\n")
                if n == 32:  # more than is buffered
                    await until(lambda: bench.pool.host.now() > calls[0].deadline + 500_000)
                    while not gives and not writer.transport.is_closing():
                        await asyncio.sleep(0.01)
            return b"0\r\n\r\n"

        bench = await Bench(Server(large)).start()
        client = await bench.client()
        client.send(call("view", budget=300).replace(b"HTTP/1.1", version))
        data, reset = b"", False
        try:
            while not data.endswith(b"\r\n0\r\n\r\n") and (more := await client.reader.read(65536)):
                data += more
        except ConnectionResetError:
            reset = True
        if gives:
            assert data.count(b"\0") == 64 * 4096 and not reset
        else:  # without chunks, a regular close would end the response
            assert reset if version == b"HTTP/1.0" else not data.endswith(b"\r\n0\r\n\r\n")
        await until(lambda: not bench.pool.host.calls)

    play(scene)


def test_a_half_closed_client_with_an_unread_response_is_served_no_further():
    """The client's FIN is behind a response that it does not read: its later request is not sent on."""

    async def scene():
        size = 16 << 20
        held = asyncio.Event()

        async def answers(request, writer):
            if request.headers["x-call-id"] == "large":
                return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + bytes(size)
            await held.wait()
            return OK

        bench = await Bench(server := Server(answers)).start()
        client = Raw(bench.port, call("view", name=b"large"))
        await until(lambda: len(bench.node.front.clients.connections) == 1)
        connection = next(iter(bench.node.front.clients.connections))
        await until(lambda: connection.transport is not None)
        connection.transport.set_write_buffer_limits(high=2 * size)
        await until(lambda: connection.requests_started == 1 and connection.open_request is None)
        assert connection.has_unsent_output()
        client.send(call("invite", name=b"open"))
        await until(lambda: len(server.requests) == 2)
        client.sock.shutdown(1)
        await until(lambda: not any(c.open for c in bench.pool.host.calls.values()))
        held.set()
        client.leave("rst")
        await settled(bench)

    play(scene)
