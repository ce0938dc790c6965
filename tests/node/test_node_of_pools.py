"""Tests of a node with several pools: reloads, readiness and pauses."""

from __future__ import annotations

import msgspec
from loopback import Client as HttpClient
from loopback import Discovery, play, until
from rpc.standins import Bench, Server

from brackenladder.interface import ListKind
from brackenladder.membership.listing import Listing
from brackenladder.node.operator import Operator
from brackenladder.operations.pause import ServiceStage


def operator(bench: Bench, **changes) -> Operator:
    old = bench.node.operator
    return Operator(rpc=msgspec.structs.replace(old.rpc, **changes))


def test_a_reload_changes_the_discovery_address_of_rpc(capsys):
    """A reload must reach the RPC pool too, or it would go on using an old address."""

    async def scene():
        bench = await Bench(old := Server()).start()
        await Server.start(new := Server())
        await Discovery.start(moved := Discovery())
        client = await bench.client()
        assert await client.ask("view", 1) == [None, [1]]
        address = f"127.0.0.1:{moved.port}"
        bench.node.reload(bench.node.config, operator(bench, discovery=address, pipeline=7))
        moved.say(3, True, new.entry("s9"))
        await until(lambda: len(moved.requests) == 2 and len(bench.pool.upstream.endpoints) == 1)
        assert await client.ask("view", 2) == [None, [2]]  # the connection stays
        assert len(old.calls) == len(new.calls) == 1
        log = capsys.readouterr().err
        assert "needs a restart: rpc.pipeline\n" in log and f"rpc.discovery {address}" in log
        assert bench.node.operator.rpc.discovery == address
        bench.node.reload(bench.node.config, operator(bench))  # the same address: its watch continues
        assert len(moved.requests) == 2

    play(scene)


def test_adding_or_removing_a_pool_needs_a_restart(capsys):
    async def scene():
        bench = await Bench(Server()).start()
        bench.node.reload(bench.node.config, Operator())
        assert "needs a restart: rpc\n" in capsys.readouterr().err
        assert await (await bench.client()).ask("view", 1) == [None, [1]]

    play(scene)


def test_ready_once_every_pool_has_a_list():
    async def scene():
        bench = await Bench(server := Server(), table={"servers": ()}).start()  # no list has arrived yet
        http = bench.node.listeners["http"].front.clients.listener.sock.getsockname()[1]
        ready = b"GET /ready HTTP/1.1\r\nHost: n\r\n\r\n"
        bench.node.http.on_listing(Listing(ListKind.FULL, 1, ()))
        client = await HttpClient(http).open()
        assert (await client.ask(ready))[0] == 503
        bench.discovery.say(41, True, server.entry("s0"))
        await until(lambda: bench.pool.has_listing)
        assert (await client.ask(ready))[0] == 200

    play(scene)


def test_a_pause_applies_to_rpc_clients():
    """Otherwise RPC clients would go on using a node that an operator has taken out of service."""

    async def scene():
        bench = await Bench(server := Server()).start()
        front = bench.node.listeners["rpc"].front
        client = await bench.client()
        assert await client.ask("view", 1) == [None, [1]]
        front.set_service_stage(ServiceStage.REFUSING)
        error, _ = await client.ask("view", 2)
        assert error[0] == "refused" and error[2] == "this node pauses" and len(server.calls) == 1
        for client_connection in front.clients:
            client_connection.last_active -= 1  # as if it had been idle for a second
        front.set_service_stage(ServiceStage.REFUSING)
        await until(lambda: not front.clients)
        front.set_service_stage(ServiceStage.SERVING)
        assert await (await bench.client()).ask("view", 3) == [None, [3]]

    play(scene)
