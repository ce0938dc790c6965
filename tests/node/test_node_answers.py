"""Servers' answers, good and malformed, their load reports, and errors inside the node."""

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
def test_a_good_answer_is_served_whatever_comes_with_it(answer, connections):
    """Failure prevented: noise behind a whole answer fails a request that has run."""

    async def scene():
        bench = await Bench(server := Server(always(answer)), report={"columns": ["mean_ms"]}).start()
        client = await bench.client()
        for _ in range(2):
            status, headers, body = await client.ask(call("invite"))
            assert (status, headers["content-type"], body) == (200, "text/plain", b"ok")
        assert server.connections == connections  # one with strays on it is not used again

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
def test_a_spoilt_answer_fails_its_attempt_at_once(answer):
    """Failure prevented: it is served as good, or the attempt waits out its time for bytes without end.

    The server keeps the connection open, so only the node can end it.
    """

    async def scene():
        bench = await Bench(server := Server(always(answer))).start()
        client = await bench.client()
        assert (await client.ask(call("invite")))[0] == 502
        await until(lambda: server.closed == 1)
        server.handle = always(OK)
        assert (await client.ask(call("invite")))[0] == 200 and len(server.requests) == 2

    play(scene)


def test_a_report_that_cannot_be_is_none():
    """Failure prevented: a value that is no number, endless or negative goes into an average for good."""

    async def scene():
        bench = await Bench(Server()).start()
        assert bench.pool.upstream.report(b"mean_ms=3,concurrent=1") == (3.0, 1.0)
        for value in (b"nan", b"inf", b"-1", b"1e999", b"", b"x"):
            assert bench.pool.upstream.report(b"mean_ms=3,concurrent=" + value) == ()

    play(scene)


def test_the_guard_answers_what_the_module_forgets():
    async def scene():
        bench = await Bench(Server()).start()
        bench.pool.host.balancer.request = lambda *args: None
        assert (await bench.once(call(budget=50)))[0] == 504
        assert bench.pool.host.expired_count == 1

    play(scene)


def test_an_exception_in_the_node_answers_that_request():
    """Failure prevented: the event loop closes the connection, and the request has no answer."""

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
        heard = []
        bench.pool.host.balancer.probed = lambda now, server, ok, took, values: heard.append(
            (ok, tuple(values))
        )
        (number,) = bench.pool.upstream.pool.endpoints
        for count in (1, 2):
            bench.pool.host.probe(number)
            await until(lambda count=count: len(heard) == count)
        assert heard == [(True, (1.5, 7.0)), (False, ())]
        assert server.requests[0].target == "/status/load"

    play(scene)
