"""Client ends: one that leaves while its request waits, and what is owed at an answer that closes.

Each waiting place is left FIN and RST, with the end in the socket and the loop not told of it.
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


class Held(Server):
    """Answers with each request's own id, once `release` is set."""

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
    """All clients have left, and nothing is open in the core."""
    await until(lambda: not bench.node.front.clients.connections and not bench.pool.host.calls)


@pytest.mark.parametrize("how", LEAVES)
def test_a_client_that_left_while_it_waited_to_be_let_in_is_not_sent_on(how):
    async def scene():
        bench = await Bench(server := Server()).start()
        for _ in range(DEPARTURES // 50):
            for _ in range(50):
                Raw(bench.port, call("invite")).leave(how)
            assert (await bench.once(call("view")))[0] == 200  # taken after them
            await settled(bench)
        assert len(server.requests) == DEPARTURES // 50

    play(scene)


@pytest.mark.parametrize("how", LEAVES)
def test_a_client_that_left_while_its_connection_came_up_is_not_sent_on(how):
    async def scene():
        bench = await Bench(server := Server()).start()
        pool = bench.pool.upstream.pool
        (endpoint,) = pool.endpoints.values()

        def none_is_left() -> bool:
            endpoint.close_idle()  # after a stall one is put aside a moment later than its request ends
            return pool.open == 0

        for n in range(DEPARTURES):
            held = hold_connects(bench)
            client = Raw(bench.port, call("invite"))
            await until(lambda held=held: held.up == 1)
            await asyncio.sleep(0.0015)  # as connects take at least; no more is asked of the order
            client.leave(how)
            held.go.set()  # the connect's task goes on before the loop looks at any socket
            await settled(bench)
            pool.loop = held.loop
            await until(none_is_left)
            assert not server.requests, n

    play(scene)


@pytest.mark.parametrize("how", LEAVES)
def test_a_client_that_left_while_requests_waited_behind_one_another_is_not_sent_on(how):
    """So many wait that nothing more is read from it, its end neither."""

    async def scene():
        bench = await Bench(server := Held()).start()
        for n in range(DEPARTURES // 8):
            server.release.clear()
            client = Raw(bench.port, b"".join(call("view") for _ in range(9)))
            await until(lambda n=n: len(server.requests) == n + 1)
            client.send(call("view"))  # one too many: nothing more is read
            await until(lambda: any(c.paused for c in bench.node.front.clients.connections))
            client.leave(how)
            server.release.set()
            await settled(bench)
            assert len(server.requests) == n + 1

    play(scene)


@pytest.mark.parametrize("how", LEAVES)
def test_a_client_that_left_during_a_stall_is_not_sent_on(how):
    """The process stood still; request and end are read one after the other, and the wait is over between."""

    async def scene():
        bench = await Bench(server := Server()).start()
        stall = bench.pool.upstream.pool.stall
        front = bench.node.front
        taken = front.handle_request

        def slowly(connection, message):
            taken(connection, message)
            time.sleep(0.005)  # so the timer is due before the loop looks at the sockets again

        for n in range(DEPARTURES // 2):
            client = Raw(bench.port, call("view"))
            assert (await client.answer()).startswith(b"HTTP/1.1 200")
            client.send(call("invite"))
            client.leave(how)
            stall.grace_until = time.monotonic() + 60
            front.handle_request = slowly
            await until(lambda: not front.clients.connections)
            front.handle_request = taken
            stall.grace_until = 0.0
            await settled(bench)
            assert len(server.requests) == n + 1

    play(scene)


@pytest.mark.parametrize("how", LEAVES)
@pytest.mark.parametrize("first", ["client", "server"])
def test_a_client_that_left_before_a_retry_is_not_sent_on(how, first, monkeypatch):
    """Its end and the answer that asks for a further attempt are there in one turn, in both orders."""
    monkeypatch.setattr("brackenladder.core.call.FRESH", 0)

    async def scene():
        clients = []

        async def reject(request, writer):
            if first == "client":
                clients.pop().leave(how)
                return REJECTED
            writer.write(REJECTED)  # at once, by the transport
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
def test_a_client_that_left_while_it_was_held_in_a_later_tier_is_not_sent_on(how):
    async def scene():
        bench = await Bench(server := Held(), layers=["front", "store"], tier=1).start()
        host, connections = bench.pool.host, bench.node.front.clients.connections
        left = 0
        while left < DEPARTURES:
            server.release.clear()
            before = len(server.requests)
            names = [b"%d-%d" % (left, n) for n in range(60)]
            clients = {name.decode(): Raw(bench.port, call("view", name=name)) for name in names}

            def all_stand(before: int = before) -> bool:
                """All were taken: refused, held, or read by the server."""
                out = sum(c.current_attempt is not None for c in host.calls.values())
                return (
                    sum(c.requests_started for c in connections) == 60
                    and len(server.requests) == before + out
                )

            await until(all_stand)
            waits = {c.name.decode() for c in host.calls.values() if c.open and c.current_attempt is None}
            assert waits
            for name in waits:
                clients.pop(name).leave(how)
            server.release.set()
            left += len(waits)
            for name in server.names[before:]:
                assert name.encode() in await clients.pop(name).answer()
            for client in clients.values():  # refused
                client.leave("fin")
            await settled(bench)
            assert not waits & set(server.names)

    play(scene)


def test_a_request_that_failed_in_the_node_does_not_answer_the_next_one():
    """An exception after the call was handed on: it is over with its 500."""

    async def scene():
        bench = await Bench(server := Held()).start()
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
    """A connection has gone on to its next request: the end of an earlier call is nothing to it."""

    async def scene():
        bench = await Bench(server := Held()).start()
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


def test_a_request_that_comes_again_under_its_id_is_not_out_twice():
    """Its first client's end waits in the socket, and its first attempt is out: that is given up first."""

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


def test_what_waits_behind_a_last_answer_is_answered():
    """A node that ends, with whole requests waiting behind the open one."""

    async def scene():
        bench = await Bench(server := Held()).start()
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


def test_a_client_that_goes_on_asking_does_not_hold_up_the_end():
    """What it sends after its answers have begun to be the last ones is another node's."""

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


def test_what_waits_before_an_upgrade_is_answered():
    async def scene():
        bench = await Bench(server := Held()).start()
        client = await bench.client()
        offer = b"Connection: Upgrade\r\nUpgrade: other\r\n"
        client.send(call("view", name=b"a") + call("view", name=b"b") + call("view", name=b"c", extra=offer))
        await until(lambda: len(server.requests) == 1)
        server.release.set()
        assert [(await client.receive())[2] for _ in range(3)] == [b"a", b"b", b"c"]
        assert await client.ended()

    play(scene)


@pytest.mark.parametrize("by", ["drain", "room", "pause"])
def test_an_answer_that_its_client_has_not_taken_is_not_cut_off(by, monkeypatch):
    """It is answered for the node, and half of it is still in the process."""
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
        connection.transport.set_write_buffer_limits(
            high=2 * size
        )  # the server's side is done with it at once
        client.reader._limit = 1024  # reads nothing more once it has so much
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
            from brackenladder.operations.pause import Service

            client_connections.attend(Service.ENDING)
        assert len((await client.receive())[2]) == size
        client.writer.close()
        if by == "drain":
            await asyncio.wait_for(drain, 20)

    play(scene)


def test_an_answer_is_framed_for_its_own_client_and_not_for_the_request_behind_it():
    """A client that knows chunks, with a request behind that says it does not."""
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
def test_a_large_answer_is_cut_off_only_when_its_server_gives_nothing_more(gives, version, monkeypatch):
    """It goes on beyond its client's time. What is cut off the client can tell from a whole one."""
    if not gives:
        monkeypatch.setattr("brackenladder.http.relay.STALLED", 0.3)

    async def scene():
        calls = []

        async def large(request, writer):
            calls.extend(bench.pool.host.calls.values())
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            for n in range(64):
                writer.write(b"1000\r\n" + bytes(4096) + b"\r\n")
                if n == 32:  # more than is held
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
        else:  # an end in order would be the end of an answer with no chunks
            assert reset if version == b"HTTP/1.0" else not data.endswith(b"\r\n0\r\n\r\n")
        await until(lambda: not bench.pool.host.calls)

    play(scene)


def test_a_half_closed_client_with_an_unread_answer_does_not_go_on():
    """Its end stands behind an answer that it does not take: what it has asked since is not sent on."""

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
