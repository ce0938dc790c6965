"""Tests of limits on connections and requests, and of which connections are closed in favour of others."""

import asyncio
import os

from loopback import (
    OK,
    Bench,
    Client,
    Discovery,
    Server,
    call,
    connected,
    free_port,
    node_table,
    play,
    settings,
    until,
)
from node_samples import always, spawn


def test_clients_over_the_limit_are_refused_and_idle_ones_are_closed_first():
    """More clients than descriptors would end the process or keep it from accepting anyone."""

    async def scene():
        bench = await Bench(Server(), config={"limits": {"sockets": 48}}).start()
        bench.pool.host.balancer.request = lambda *args: None  # all stay open
        idle = await bench.client()
        await until(lambda: bench.node.front.clients.connections)
        for connection in bench.node.front.clients.connections:
            connection.request_since -= 1.0  # as if it had been accepted a second ago
        limit = bench.node.front.clients.max_connections
        assert limit >= 4  # even with few descriptors, most are for clients that are served
        clients = []
        for _ in range(limit):
            clients.append(await bench.client())
            clients[-1].send(call("invite"))
            await until(lambda: len(bench.node.front.by_connection) == len(clients))
        assert await idle.ended()
        status, headers, _ = await bench.once(call("invite"))
        assert status == 503 and float(headers["retry-after"]) > 0  # otherwise it would retry at once
        clients[0].writer.close()
        await until(lambda: len(bench.node.front.clients.connections) < limit)
        assert (await bench.once(b"GET /ready HTTP/1.1\r\n\r\n"))[0] == 200

    play(scene)


def test_requests_over_max_open_are_refused_with_retry_after():
    async def scene():
        bench = await Bench(server := Server(always(None)), policy_limits={"max_open": 1}).start()
        (first := await bench.client()).send(call())
        await until(lambda: len(server.requests) == 1)
        status, headers, _ = await bench.once(call())
        assert status == 503 and float(headers["retry-after"]) > 0
        first.writer.close()
        server.handle = always(OK)
        await until(lambda: not bench.pool.host.calls)
        assert (await bench.once(call()))[0] == 200

    play(scene)


def test_server_connections_over_the_limit_fail_and_idle_ones_are_closed_first():
    async def scene():
        bench = await Bench(first := Server(), second := Server()).start()
        bench.pool.upstream.pool.max_connections = 1
        while not (first.requests and second.requests):
            assert (await bench.once(call()))[0] == 200
        bench.pool.upstream.pool.max_connections = 0
        for endpoint in bench.pool.upstream.pool.endpoints.values():
            endpoint.close_idle()
        assert (await bench.once(call("invite")))[0] == 503

    play(scene)


def test_many_clients_do_not_exceed_the_process_limit_of_descriptors(tmp_path):
    """Over the limit, the process would be killed or couldn't open what it needs."""

    async def scene():
        await (server := Server()).start()
        await (discovery := Discovery()).start()
        port = free_port()
        table = node_table(discovery.port, settings(), f"127.0.0.1:{port}", server.entry("s0"))
        process = await spawn(tmp_path, table | {"limits": {"sockets": 56}})
        await connected(first := Client(port))
        before = len(os.listdir(f"/proc/{process.pid}/fd"))
        crowd = []
        for _ in range(150):
            crowd.append(client := await Client(port).open())
            # Part of a request, sent at once: an idle client could be closed for the next one, and the
            # number of open connections would depend on how fast the clients connect.
            client.send(b"GET /ready HTTP/1.1\r\n")
        await until(lambda: len(os.listdir(f"/proc/{process.pid}/fd")) >= before + 8)
        for _ in range(200):
            assert len(os.listdir(f"/proc/{process.pid}/fd")) <= 56
            await asyncio.sleep(0)
        for client in (first, *crowd):
            client.writer.close()
        while True:
            client = await Client(port).open()
            if (await client.ask(b"GET /ready HTTP/1.1\r\n\r\n"))[0] == 200:
                break
            client.writer.close()
        assert (await client.ask(call()))[0] == 200
        process.terminate()
        assert await asyncio.wait_for(process.wait(), 20) == 0

    play(scene)


def test_clients_that_never_send_a_request_are_closed():
    """Otherwise hundreds of silent clients would hold descriptors for ever."""

    async def scene():
        bench = await Bench(Server()).start()
        silent, active = await bench.client(), await bench.client()
        assert (await active.ask(call()))[0] == 200
        await until(lambda: len(bench.node.front.clients.connections) == 2)
        for connection in bench.node.front.clients.connections:
            connection.request_since -= 2.6  # as if it had been accepted 2.6 s ago
        bench.node.front.clients.sweep()
        assert await silent.ended()
        assert (await active.ask(call()))[0] == 200

    play(scene)


def test_silent_clients_on_all_connections_are_closed_at_once_for_others(monkeypatch):
    """If new clients had to wait for the periodic sweep, their requests would exceed their deadlines."""
    monkeypatch.setattr("brackenladder.http.large_bodies.HEAD_TIMEOUT", 1000.0)  # the sweep closes none

    async def scene():
        bench = await Bench(Server(), config={"limits": {"sockets": 48}}).start()
        client_connections = bench.node.front.clients
        places = client_connections.max_connections + client_connections.refusing
        silent = [await bench.client() for _ in range(4 * places)]
        await until(lambda: len(client_connections.connections) >= client_connections.max_connections)
        assert (await bench.once(call()))[0] in (200, 503)
        assert sum(c.got_request for c in client_connections.connections) <= 1
        assert silent

    play(scene)


def test_a_client_that_was_just_accepted_is_not_closed_for_others():
    """Its first request may be in transit and would be reset together with the connection."""

    async def scene():
        bench = await Bench(Server(), config={"limits": {"sockets": 48}}).start()
        client_connections = bench.node.front.clients
        clients = [await bench.client() for _ in range(client_connections.max_connections)]
        await until(
            lambda: (
                sum(c.transport is not None for c in client_connections.connections)
                == client_connections.max_connections
            )
        )
        for connection in client_connections.connections:
            connection.request_since = client_connections.loop.time() + 1000.0
        assert client_connections.listener.find_evictable() is None
        for connection in client_connections.connections:
            connection.request_since -= 2000.0
        assert client_connections.listener.find_evictable() is not None and clients

    play(scene)


def test_silent_clients_are_closed_first_and_then_clients_with_partial_requests():
    """Neither may push out clients that are being served."""

    async def scene():
        bench = await Bench(Server(), config={"limits": {"sockets": 48}}).start()
        client_connections = bench.node.front.clients
        served = [await bench.client() for _ in range(client_connections.max_connections - 2)]
        for client in served:
            assert (await client.ask(call()))[0] == 200
        silent, stalling = await bench.client(), await bench.client()
        stalling.send(b"GET /view HTTP/1.1\r\n")
        await until(lambda: any(c.partial_request for c in client_connections.connections))
        for connection in client_connections.connections:
            connection.request_since -= 1.0
        (new := await bench.client()).send(call())
        assert await silent.ended() and (await new.receive())[0] == 200
        bench.pool.host.balancer.request = lambda *args: None  # all stay open
        for client in (*served, new):
            client.send(call("invite"))
        await until(lambda: len(bench.node.front.by_connection) == len(served) + 1)
        last = await bench.client()
        last.send(call("invite"))
        assert await stalling.ended()
        await until(lambda: len(bench.node.front.by_connection) == len(served) + 2)
        last.writer.close()

    play(scene)


def test_a_request_that_stays_incomplete_is_given_up():
    """Otherwise clients that send part of a request would hold descriptors for ever."""

    async def scene():
        bench = await Bench(Server()).start()
        client = await bench.client()
        client.send(b"GET /view HTTP/1.1\r\nX-Call-Id: 1\r\n")
        await until(lambda: any(c.partial_request for c in bench.node.front.clients.connections))
        (connection,) = bench.node.front.clients.connections
        for _ in range(2):  # further bytes don't restart the time
            seen = connection.request_bytes  # not a time, as the loop's clock has a resolution of 1 ms
            client.send(b"X-N: 1\r\n")
            await until(lambda seen=seen: connection.request_bytes > seen)
        connection.request_since -= 2.6  # as if it had begun 2.6 s ago
        bench.node.front.clients.sweep()
        assert (await client.receive())[0] == 408 and await client.ended()

    play(scene)
