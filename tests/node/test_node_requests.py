"""Tests of client requests: what the node forwards, what it refuses, and call ids that are in use."""

import asyncio

import pytest
from loopback import Bench, Server, call, held_until, play, until
from node_samples import always

HIDDEN = b"0\r\n\r\n" + call("invite")


def chunked(coding: bytes) -> bytes:
    """A request with a chunked body and the given Transfer-Encoding."""
    data = call("invite", extra=b"Transfer-Encoding: %b\r\n" % coding, body=b"")
    return data.replace(b"Content-Length: 0\r\n", b"") + b"2\r\nok\r\n0\r\n\r\n"


MANY_LINES = b"GET /view HTTP/1.1\r\n" + b"a: b\r\n" * 1000


def test_a_request_and_its_response_are_forwarded_unchanged():
    body = bytes(range(256)) * 256

    async def scene():
        async def echo(request, writer):
            return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(request.body), request.body)

        bench = await Bench(server := Server(echo)).start()
        status, _, answer = await bench.once(call("offer", 9000, b"X-Trace: 7\r\n", body, b"9b1f"))
        assert (status, answer) == (200, body)
        (request,) = server.requests
        assert (request.method, request.target, request.body) == ("POST", "/offer?obj=7f", body)
        assert request.headers["x-call-id"] == "9b1f" and request.headers["idempotency-key"] == "5c0f"
        assert request.headers["x-trace"] == "7" and 0 < int(request.headers["x-budget-ms"]) <= 9000

    play(scene)


def test_the_size_of_a_head_does_not_include_bytes_before_it():
    """A head that arrives after another request's body must not be refused as too large."""

    async def scene():
        bench = await Bench(server := Server()).start()
        client = await bench.client()
        data = call("invite", body=b"x" * 60000) + call()
        client.send(data[:-10])
        await until(lambda: bool(server.requests))
        client.send(data[-10:])
        assert (await client.receive())[0] == 200 and (await client.receive())[0] == 200

    play(scene)


def test_pipelined_requests_are_held_within_a_memory_limit():
    """Many clients that pipeline large requests must not make the process run out of memory."""

    async def scene():
        release = asyncio.Event()
        bench = await Bench(server := Server(held_until(release))).start()
        client_connections = bench.node.front.clients
        assert client_connections.max_held_bytes == 16 << 20  # an eighth of the default memory limit
        client_connections.max_held_bytes = 150_000

        def large():
            return call("invite", body=b"x" * 60000)

        (first := await bench.client()).send(large())
        await until(lambda: len(server.requests) == 1)
        (second := await bench.client()).send(large())
        await until(lambda: client_connections.held_bytes > 120_000)
        status, headers, _ = await bench.once(large())
        assert status == 503 and float(headers["retry-after"]) > 0
        second.writer.transport.abort()
        await until(lambda: client_connections.held_bytes < 120_000)
        first.send(large())  # waits behind the client's first request
        await until(lambda: client_connections.held_bytes > 120_000)
        release.set()
        assert (await first.receive())[0] == 200 and (await first.receive())[0] == 200
        assert client_connections.held_bytes == 0

    play(scene)


def test_hop_by_hop_headers_are_not_forwarded():
    """They concern only the connection between the client and the node."""

    async def scene():
        bench = await Bench(server := Server()).start()
        extra = b"Connection: X-Trace, keep-alive\r\nX-Trace: 5\r\nConnection: x-call-id\r\nX-Kept: 6\r\n"
        assert (await bench.once(call(extra=extra, name=b"9b1f")))[0] == 200
        (request,) = server.requests
        assert "x-trace" not in request.headers and "connection" not in request.headers
        assert request.headers["x-kept"] == "6"
        assert request.headers["x-call-id"] == "9b1f"  # always forwarded, even if listed in Connection

    play(scene)


def test_split_and_pipelined_requests_are_answered_in_order():
    """No request may be lost because it arrives in pieces or before the previous response."""

    async def scene():
        async def name(request, writer):
            return b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + request.headers["x-n"].encode()

        bench = await Bench(Server(name)).start()
        client = await bench.client()
        for byte in call(extra=b"X-N: 1\r\n"):
            client.send(bytes([byte]))
            await asyncio.sleep(0)
        assert (await client.receive())[2] == b"1"
        client.send(b"".join(call(extra=b"X-N: %d\r\n" % n) for n in range(2, 10)))
        assert [(await client.receive())[2] for _ in range(8)] == [b"%d" % n for n in range(2, 10)]

    play(scene)


def test_connections_to_a_server_are_reused():
    async def scene():
        bench = await Bench(server := Server()).start()
        client = await bench.client()
        for _ in range(5):
            assert (await client.ask(call()))[0] == 200
        assert server.connections == 1

    play(scene)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (call(extra=b"No colon here\r\n"), 400),
        (call().replace(b"X-Budget-Ms: 15000", b"X-Budget-Ms: soon"), 400),
        (call().replace(b"X-Budget-Ms: 15000", b"X-Budget-Ms: -5"), 400),
        (call(name=b"9b1f").replace(b"X-Call-Id: 9b1f\r\n", b""), 400),
        (call().replace(b"X-Caller: acme\r\n", b""), 400),
        (call("offer").replace(b"Idempotency-Key: 5c0f\r\n", b""), 400),
        (call("unknown"), 404),
        (b"GET / HTTP/1.1\r\n\r\n", 404),
        (b"GET view HTTP/1.1\r\n\r\n", 400),
        (call("invite").replace(b"POST", b"GET"), 405),
        (chunked(b"chunked").replace(b"2\r\nok", b"2000001\r\n" + b"x" * 0x2000001), 413),
        (b"GET /view HTTP/1.1\r\nX-Long: " + b"x" * 40000, 431),
        (MANY_LINES, 431),
        (call("invite", extra=b"Content-Length: 60000000\r\n").replace(b"Content-Length: 0\r\n", b""), 413),
        (call("invite", extra=b"Content-Length: 0\r\n"), 400),
        (call("invite", extra=b"Transfer-Encoding: chunked\r\n", body=HIDDEN), 400),
        (call("invite").replace(b"Content-Length: 0", b"Content-Length: +0"), 400),
        (call("invite").replace(b"Content-Length: 0", b"Content-Length: -1"), 400),
        (call("invite").replace(b"Content-Length: 0", b"Content-Length: 99999999999999999999"), 400),
        (chunked(b"gzip, chunked"), 400),
        (chunked(b"identity"), 400),
        (chunked(b"chunked").replace(b"HTTP/1.1", b"HTTP/1.0"), 400),
        (chunked(b"chunked").replace(b"2\r\nok", b"2;" + b"x" * 600000 + b"\r\nok"), 413),
        (call(extra=b"X-Folded: a\r\n b\r\n"), 400),
        (call(extra=b"X-Call-Id: other\r\n"), 400),
        (call(extra=b"X-Budget-Ms: 15000\r\n"), 400),
        (call("offer", extra=b"Idempotency-Key: other\r\n"), 400),
        (call("invite", body=b"x" * 390).replace(b"Content-Length: 390", b"Content-Length: 10"), 400),
    ],
)
def test_invalid_requests_get_their_status_and_affect_no_other(data, status):
    """Input must not end the process, and a request that may not be repeated must not be taken for one that
    may."""

    async def scene():
        bench = await Bench(server := Server()).start()
        assert (await bench.once(data))[0] == status
        assert not server.requests
        assert (await bench.once(call()))[0] == 200

    play(scene)


def test_ready_once_there_is_a_list():
    async def scene():
        bench = await Bench(server := Server(), config={"known": None}).start()
        assert (await bench.once(b"GET /ready HTTP/1.1\r\n\r\n"))[0] == 503
        bench.discovery.say(42, True, server.entry("s0"))
        await until(lambda: bench.pool.has_listing)
        assert (await bench.once(b"GET /ready HTTP/1.1\r\n\r\n"))[0] == 200

    play(scene)


def test_a_refusal_is_sent_at_once_with_retry_after():
    """A request that the balancer has given up must not be held until near its deadline."""

    async def scene():
        bench = await Bench().start()
        status, headers, _ = await bench.once(call(budget=19000))
        assert status == 503 and float(headers["retry-after"]) > 0

    play(scene)


def test_a_request_with_no_time_left_is_not_sent():
    async def scene():
        bench = await Bench(server := Server()).start()
        assert (await bench.once(call("invite", budget=0)))[0] == 503
        assert not server.requests

    play(scene)


def test_a_malformed_request_closes_its_connection_even_with_an_open_request():
    """The error response must not wait for an open request that takes long."""

    async def scene():
        bench = await Bench(server := Server(always(None))).start()
        (client := await bench.client()).send(call("invite") + call("invite"))
        await until(lambda: len(server.requests) == 1)
        client.send(b"nonsense\r\n\r\n")
        assert (await client.receive())[0] == 400 and await client.ended()
        await until(lambda: server.closed == 1)
        assert (
            len(server.requests) == 1
            and not bench.pool.host.calls
            and bench.node.front.clients.held_bytes == 0
        )

    play(scene)


def test_trailers_are_not_forwarded():
    """The server could take trailers for headers."""

    async def scene():
        bench = await Bench(server := Server()).start()
        data = chunked(b"chunked")[:-2] + b"X-Call-Id: 9b1f\r\nX-Trace: 7\r\n\r\n"
        assert (await bench.once(data))[0] == 200
        (request,) = server.requests
        assert (
            request.body == b"ok"
            and "x-trace" not in request.headers
            and request.headers["x-call-id"] != "9b1f"
        )

    play(scene)


def test_the_id_of_another_clients_open_request_is_refused_by_the_node():
    """Servers would answer with errors, which would lower the concurrency limit for all clients."""

    async def scene():
        release = asyncio.Event()
        bench = await Bench(server := Server(held_until(release))).start()
        (first := await bench.client()).send(call("invite", name=b"7f01"))
        await until(lambda: len(server.requests) == 1)
        for extra in (b"", b"X-Again: 1\r\n"):
            assert (await bench.once(call("invite", extra=extra, name=b"7f01")))[0] == 409
        assert len(server.requests) == 1 and bench.pool.host.balancer.controller.in_flight == 1
        release.set()
        assert (await first.receive())[0] == 200
        assert (await bench.once(call("invite", name=b"7f01")))[0] == 200  # no longer open
        assert not bench.node.front.by_call_id

    play(scene)


@pytest.mark.parametrize("seen", [False, True])
def test_a_repeat_of_a_request_whose_client_has_disconnected_is_served(seen):
    """A client whose connection broke and that repeats its request with the same id must not be refused."""

    async def scene():
        release = asyncio.Event()
        bench = await Bench(server := Server(held_until(release)), policy_limits={"cancel": False}).start()
        (first := await bench.client()).send(call("invite", name=b"7f02"))
        await until(lambda: len(server.requests) == 1)
        (connection,) = bench.node.front.clients.connections
        if seen:
            first.writer.transport.abort()
            await until(lambda: not bench.node.front.by_call_id)
        else:  # the disconnect is in the socket but not read yet
            connection.transport.pause_reading()
            first.writer.close()
            await until(connection.gone)
        (again := await bench.client()).send(call("invite", extra=b"X-Again: 1\r\n", name=b"7f02"))
        await until(lambda: len(server.requests) == 2)
        release.set()
        assert (await again.receive())[0] == 200
        if not seen:
            connection.transport.resume_reading()
        await until(lambda: not bench.pool.host.calls)
        assert not bench.node.front.by_call_id

    play(scene)
