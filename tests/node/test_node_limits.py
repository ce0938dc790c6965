"""Limits on connections and requests, and which clients make room for others."""

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


def test_clients_beyond_the_budget_are_refused_and_idle_ones_make_room():
    """Failure prevented: more clients than descriptors end the process or stop it from taking anyone."""

    async def scene():
        bench = await Bench(Server(), config={"limits": {"sockets": 48}}).start()
        bench.pool.host.balancer.request = lambda *args: None  # all stay open
        idle = await bench.client()
        await until(lambda: bench.node.front.clients.connections)
        for connection in bench.node.front.clients.connections:
            connection.request_since -= 1.0  # it is no longer fresh
        most = bench.node.front.clients.max_connections
        assert most >= 4  # a small budget too is mostly for clients that are served
        clients = []
        for _ in range(most):
            clients.append(await bench.client())
            clients[-1].send(call("invite"))
            await until(lambda: len(bench.node.front.by_connection) == len(clients))
        assert await idle.ended()
        status, headers, _ = await bench.once(call("invite"))
        assert status == 503 and float(headers["retry-after"]) > 0  # or it would be back at once
        clients[0].writer.close()
        await until(lambda: len(bench.node.front.clients.connections) < most)
        assert (await bench.once(b"GET /ready HTTP/1.1\r\n\r\n"))[0] == 200

    play(scene)


def test_requests_beyond_the_settings_are_refused_with_advice():
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


def test_connects_beyond_the_budget_fail_and_idle_ones_make_room():
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


def test_a_crowd_of_clients_keeps_the_process_within_its_descriptors(tmp_path):
    """Failure prevented: a process over its limit is killed, or cannot open what it needs."""

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
            # Half a request, and at once: an idle client would make room for the next, and how many are
            # held in the end would depend on how fast they came.
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


def test_who_never_asks_is_closed_and_who_has_asked_may_stay():
    """Failure prevented: hundreds that connect and say nothing hold descriptors for good."""

    async def scene():
        bench = await Bench(Server()).start()
        silent, asked = await bench.client(), await bench.client()
        assert (await asked.ask(call()))[0] == 200
        await until(lambda: len(bench.node.front.clients.connections) == 2)
        for connection in bench.node.front.clients.connections:
            connection.request_since -= 2.6  # as if it were so long ago
        bench.node.front.clients.sweep()
        assert await silent.ended()
        assert (await asked.ask(call()))[0] == 200

    play(scene)


def test_silent_clients_in_every_place_make_room_at_once(monkeypatch):
    """Failure prevented: nobody is let in until the slow ones are swept; requests wait beyond their time."""
    monkeypatch.setattr("brackenladder.http.large_bodies.HEAD_TIMEOUT", 1000.0)  # no sweep will help

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


def test_a_client_that_was_just_let_in_does_not_make_room():
    """Failure prevented: its first request is on the way, and is reset with the connection."""

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


def test_room_is_made_by_those_who_never_asked_and_then_by_those_who_stall():
    """Failure prevented: silent connections, or half requests, push out clients that are served."""

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


def test_a_request_that_never_comes_whole_is_given_up():
    """Failure prevented: clients that send half a request hold descriptors for good."""

    async def scene():
        bench = await Bench(Server()).start()
        client = await bench.client()
        client.send(b"GET /view HTTP/1.1\r\nX-Call-Id: 1\r\n")
        await until(lambda: any(c.partial_request for c in bench.node.front.clients.connections))
        (connection,) = bench.node.front.clients.connections
        for _ in range(2):  # more bytes do not start the time anew
            seen = connection.request_bytes  # not the time: the loop's clock counts in whole milliseconds
            client.send(b"X-N: 1\r\n")
            await until(lambda seen=seen: connection.request_bytes > seen)
        connection.request_since -= 2.6  # as if it had come so long ago
        bench.node.front.clients.sweep()
        assert (await client.receive())[0] == 408 and await client.ended()

    play(scene)
