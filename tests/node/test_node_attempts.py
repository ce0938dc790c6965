"""Tests of attempts at servers: their outcomes, and which connections are reused."""

import asyncio
import os
import socket
import time

import pytest
from loopback import MOMENT, OK, Bench, Server, call, cut_off, play, until
from node_samples import BROKEN, BUSY, FULL, always

from brackenladder.http.server_connection import Connection
from brackenladder.http.server_exchange import Exchange
from brackenladder.interface import Outcome


def test_an_unsafe_request_is_retried_after_a_refused_connection():
    async def scene():
        bench = await Bench(dead := Server(), alive := Server()).start()
        dead.server.close()
        for _ in range(6):
            assert (await bench.once(call("invite")))[0] == 200
        assert len(alive.requests) == 6

    play(scene)


def test_a_connection_that_never_comes_up_ends_in_the_connect_time_out():
    """An unreachable machine doesn't answer. Without a connect time-out it would use up a request's time."""

    async def scene():
        with cut_off() as port:
            limits = {"connect_timeout": MOMENT // 5}
            bench = await Bench(silent := Server(), alive := Server(), policy_limits=limits).start()
            silent.port = port
            bench.discovery.say(43, False, silent.entry("s0"))
            await until(lambda: len(bench.discovery.requests) == 2)
            outcomes = []
            original = bench.pool.host.balancer.outcome

            def outcome(now, request, number, server, outcome, *rest):
                outcomes.append(outcome)
                original(now, request, number, server, outcome, *rest)

            bench.pool.host.balancer.outcome = outcome
            while Outcome.CONNECT_FAILED not in outcomes:
                assert (await bench.once(call("invite")))[0] == 200  # it can't have run, so it is retried
            assert set(outcomes) == {Outcome.CONNECT_FAILED, Outcome.OK}
            assert len(alive.requests) == outcomes.count(Outcome.OK)
            endpoints = bench.pool.upstream.pool.endpoints.values()
            # Failed connections no longer count as open.
            assert bench.pool.upstream.pool.open == sum(len(e.idle) for e in endpoints)

    play(scene)


def test_an_unsafe_request_is_retried_after_a_rejection():
    async def scene():
        bench = await Bench(Server(always(FULL)), Server(always(FULL))).start()
        status, headers, _ = await bench.once(call("invite"))
        assert status == 503 and float(headers["retry-after"]) > 0
        assert sum(len(s.requests) for s in bench.servers) == 3

    play(scene)


@pytest.mark.parametrize("answer", [BUSY, BROKEN])
def test_an_unsafe_request_that_may_have_run_fails_and_is_not_sent_again(answer):
    """A 503 without the rejection header may come from a further tier, so the request may have run."""

    async def scene():
        bench = await Bench(Server(always(answer)), Server(always(answer))).start()
        status = (await bench.once(call("invite")))[0]
        assert status not in (200, 429, 503)
        assert sum(len(s.requests) for s in bench.servers) == 1

    play(scene)


def test_a_connection_that_breaks_after_the_request_is_a_reset():
    async def scene():
        async def cut(request, writer):
            raise ConnectionResetError

        bench = await Bench(Server(cut), Server(cut)).start()
        assert (await bench.once(call("invite")))[0] == 502
        assert sum(len(s.requests) for s in bench.servers) == 1

    play(scene)


def test_a_connection_that_breaks_before_the_last_byte_never_ran(monkeypatch):
    """A request that the server didn't receive completely can't have run and must not fail as if it had."""
    original = Connection.connection_made

    def small(self, transport):  # so that the kernel doesn't take the whole request at once
        with socket.socket(fileno=os.dup(transport.get_extra_info("socket").fileno())) as s:
            s.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        original(self, transport)

    monkeypatch.setattr(Connection, "connection_made", small)

    async def scene():
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        listener.setblocking(False)
        bench = await Bench(whole := Server(), config={"known": None}).start()
        entry = whole.entry("half", addr=f"127.0.0.1:{listener.getsockname()[1]}")
        bench.discovery.say(42, True, entry)
        await until(lambda: bench.pool.has_listing)
        outcomes = record_outcomes(bench)
        client = await bench.client()
        client.send(call("invite", body=b"x" * 65536))
        connection, _ = await asyncio.get_running_loop().sock_accept(listener)
        await until(
            lambda: any(
                r.current_attempt and r.current_attempt.connection for r in bench.pool.host.calls.values()
            )
        )
        listener.close()
        connection.close()
        assert (await client.receive())[0] == 503
        assert outcomes[0] == Outcome.CONNECT_FAILED

    play(scene)


def record_outcomes(bench):
    """Returns a list of the outcomes that are reported to the balancer from now on."""
    outcomes = []
    original = bench.pool.host.balancer.outcome

    def outcome(now, request, attempt, server, outcome, *rest):
        outcomes.append(outcome)
        original(now, request, attempt, server, outcome, *rest)

    bench.pool.host.balancer.outcome = outcome
    return outcomes


def test_a_time_out_ends_the_attempt_and_its_connection():
    """A late response on a reused connection would be taken for another request's response."""

    async def scene():
        bench = await Bench(server := Server(always(None, OK))).start()
        began = time.monotonic()
        assert (await bench.once(call("invite", budget=1000)))[0] == 502
        assert time.monotonic() - began >= 0.9
        await until(lambda: server.closed == 1)
        assert bench.pool.host.expired_count == 0
        assert (await bench.once(call("invite")))[0] == 200 and server.connections == 2

    play(scene)


def test_a_client_that_leaves_ends_its_attempt_only():
    async def scene():
        bench = await Bench(server := Server(always(None))).start()
        leaving, staying = await bench.client(), await bench.client()
        leaving.send(call("invite"))
        staying.send(call("invite"))
        await until(lambda: len(server.requests) == 2)
        leaving.writer.close()
        await until(lambda: server.closed == 1)
        assert len(bench.pool.host.calls) == 1 and server.connections == 2

    play(scene)


def test_a_connection_that_the_server_closed_is_not_used_again():
    async def scene():
        bench = await Bench(server := Server()).start()
        client = await bench.client()
        assert (await client.ask(call("invite")))[0] == 200

        async def last(request, writer):
            return OK.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")

        server.handle = last
        for _ in range(3):
            assert (await client.ask(call("invite")))[0] == 200
        assert server.connections == 3

    play(scene)


def test_the_idle_time_adapts_to_servers_that_close_earlier():
    """If servers close idle connections earlier than configured, requests written at that time are reset."""

    async def scene():
        bench = await Bench(server := Server()).start()
        pool, client = bench.pool.upstream.pool, await bench.client()
        (endpoint,) = pool.endpoints.values()
        stated = pool.idle_time
        for idle, least in ((0.0, stated), (1.0, 0.5)):  # a close right after a response says nothing
            assert (await client.ask(call()))[0] == 200
            (connection,) = endpoint.idle
            connection.idle_since = pool.loop.time() + 600 if idle == 0 else pool.loop.time() - idle
            server.writers[-1].close()
            await until(lambda: not endpoint.idle)
            assert least <= pool.idle_time <= stated
        learned = pool.idle_time
        assert learned < stated
        assert (await client.ask(call()))[0] == 200
        endpoint.idle[0].idle_since -= learned + 0.1
        assert (await client.ask(call()))[0] == 200
        assert server.connections == 4  # the idle connection wasn't reused
        pool.sweep()
        assert learned < pool.idle_time < stated  # the learned value drifts back

    play(scene)


def test_a_close_that_waits_in_the_socket_is_seen_before_the_connection_is_used():
    """An unsafe request written to a connection that the server has closed would count as one that may have
    run."""

    async def scene():
        bench = await Bench(server := Server()).start()
        client = await bench.client()
        assert (await client.ask(call("invite")))[0] == 200
        (endpoint,) = bench.pool.upstream.pool.endpoints.values()
        (idle,) = endpoint.idle
        (writer,) = server.writers
        with socket.socket(fileno=os.dup(writer.get_extra_info("socket").fileno())) as end:
            end.shutdown(socket.SHUT_WR)  # the node's loop doesn't run before the next line
            assert bench.pool.upstream.pool.take(endpoint) is None
        assert (await client.ask(call("invite")))[0] == 200

    play(scene)


def test_repeated_headers_are_kept_and_protocol_upgrades_are_dropped():
    async def scene():
        bench = await Bench(server := Server()).start()
        extra = b"X-Tag: 1\r\nX-Tag: 2\r\nUpgrade: h2c\r\nConnection: Upgrade\r\n"
        client = await bench.client()
        status, headers, _ = await client.ask(call(extra=extra))
        assert status == 200 and headers["connection"] == "close" and await client.ended()
        assert [v for k, v in server.requests[0].lines if k == "x-tag"] == ["1", "2"]
        assert not {"upgrade", "connection"} & set(server.requests[0].headers)

    play(scene)


def test_a_connection_that_is_lost_before_the_request_is_written_never_ran():
    """A server at its connection limit may accept a connection and close it at once. If the write then
    raised, the attempt would end only at its time-out and count as one that may have run."""

    async def scene():
        bench = await Bench(server := Server()).start()
        pool, (endpoint,) = bench.pool.upstream.pool, bench.pool.upstream.pool.endpoints.values()
        loop = asyncio.get_running_loop()
        connection = Connection(pool, endpoint)
        await loop.create_connection(lambda: connection, "127.0.0.1", server.port)
        lost = loop.create_future()
        connection.pool = type("Lost", (), {"lost": lambda self, c: lost.set_result(None)})()
        connection.close()
        await lost
        outcomes = []
        exchange = Exchange(pool, endpoint, lambda: call(), lambda *end: outcomes.append(end[0]))
        exchange.write(connection)
        assert outcomes == [Outcome.CONNECT_FAILED]

    play(scene)


def test_stray_bytes_on_an_idle_connection_close_it():
    """Bytes left over from one response must not be served as the next one."""

    async def scene():
        bench = await Bench(server := Server(always(OK + OK.replace(b"ok", b"no")))).start()
        client = await bench.client()
        for _ in range(2):
            assert (await client.ask(call()))[2] == b"ok"
        assert server.connections == 2

    play(scene)
