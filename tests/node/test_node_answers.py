"""Tests of server responses, valid and malformed, of load reports, and of exceptions inside the node."""

import pytest
from loopback import OK, Bench, Server, call, play, until
from node_samples import BUSY, always

GOOD = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nok"


@pytest.mark.parametrize(
    ("answer", "connections"),
    [
        (GOOD + b"\xf5\x10\xcf noise\r\n\r\n", 2),
        (GOOD + b"HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nContent-Length: 99999999\r\n\r\nno", 2),
        (b"HTTP/1.1 103 Hints\r\nContent-Type: a/b\r\n\r\nHTTP/1.1 102 Wait\r\n\r\n" + GOOD, 1),
        (GOOD.replace(b"\r\n\r\n", b"\r\nX-Load-Report: \xff=;nan,mean_ms=inf\r\n\r\n"), 1),
    ],
)
def test_a_valid_response_is_served_whatever_surrounds_it(answer, connections):
    """Stray bytes after a complete response must not fail the request, as it has run."""

    async def scene():
        bench = await Bench(server := Server(always(answer)), report={"columns": ["mean_ms"]}).start()
        client = await bench.client()
        for _ in range(2):
            status, headers, body = await client.ask(call("invite"))
            assert (status, headers["content-type"], body) == (200, "text/plain", b"ok")
        assert server.connections == connections  # a connection with stray bytes isn't reused

    play(scene)


@pytest.mark.parametrize(
    "answer",
    [
        b"\xc1\xab\xa3 noise\r\n\r\n",
        b"ICY 200 OK\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nokk",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\nzz\r\nok\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nand it keeps coming",
        b"HTTP/1.1 200 OK\r\n" + b"X-Pad: p\r\n" * 200,
        b"HTTP/1.1 200 OK\r\nX-Pad: " + b"p" * 40000,
        b"HTTP/1.1 103 Hints\r\n\r\n" * 2000,
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Pad: " + b"p" * 600000,
    ],
)
def test_a_malformed_response_fails_its_attempt_at_once(answer):
    """It must not be served, and the attempt must not wait for its time-out.

    The server keeps the connection open, so the node has to close it.
    """

    async def scene():
        bench = await Bench(server := Server(always(answer))).start()
        client = await bench.client()
        assert (await client.ask(call("invite")))[0] == 502
        await until(lambda: server.closed == 1)
        server.handle = always(OK)
        assert (await client.ask(call("invite")))[0] == 200 and len(server.requests) == 2

    play(scene)


def test_an_invalid_load_report_is_ignored():
    """A value that isn't a number, infinite or negative would spoil an average permanently."""

    async def scene():
        bench = await Bench(Server()).start()
        assert bench.pool.upstream.report(b"mean_ms=3,concurrent=1") == (3.0, 1.0)
        for value in (b"nan", b"inf", b"-1", b"1e999", b"", b"x"):
            assert bench.pool.upstream.report(b"mean_ms=3,concurrent=" + value) == ()

    play(scene)


def test_a_request_that_the_balancer_never_answers_fails_at_its_deadline():
    async def scene():
        bench = await Bench(Server()).start()
        bench.pool.host.balancer.request = lambda *args: None
        assert (await bench.once(call(budget=50)))[0] == 504
        assert bench.pool.host.expired_count == 1

    play(scene)


def test_an_exception_in_the_node_answers_that_request():
    """Otherwise the event loop would close the connection without a response."""

    async def scene():
        bench = await Bench(Server()).start()
        bench.node.front.paths = None
        client = await bench.client()
        assert (await client.ask(call()))[0] == 500
        bench.node.front.paths = {b"/view": 0}
        assert (await client.ask(call()))[0] == 200

    play(scene)


def test_an_exception_in_one_request_fails_that_request():
    async def scene():
        bench = await Bench(Server()).start()
        sound = bench.pool.host.balancer.request

        def broken(*args):
            raise RuntimeError("boom")

        bench.pool.host.balancer.request = broken
        assert (await bench.once(call()))[0] == 500
        bench.pool.host.balancer.request = sound
        assert (await bench.once(call()))[0] == 200

    play(scene)


def test_a_probe_brings_the_load_report():
    async def scene():
        report = b"inflight=7,latency_ms=1.5"
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(report), report)
        bench = await Bench(server := Server(always(answer, BUSY))).start()
        probes = []
        bench.pool.host.balancer.probed = lambda now, server, ok, took, values: probes.append(
            (ok, tuple(values))
        )
        (number,) = bench.pool.upstream.pool.endpoints
        for count in (1, 2):
            bench.pool.host.probe(number)
            await until(lambda count=count: len(probes) == count)
        assert probes == [(True, (1.5, 7.0)), (False, ())]
        assert server.requests[0].target == "/status/load"

    play(scene)
