"""Tests of reloading the configuration of a running node: another discovery address, SIGHUP."""

import asyncio
import json
import os
import signal
from dataclasses import replace
from pathlib import Path

from loopback import (
    MOMENT,
    Bench,
    Client,
    Discovery,
    Server,
    call,
    connected,
    free_port,
    held_until,
    node_table,
    play,
    settings,
    until,
)
from node_samples import FULL, spawn, start


def reload_discovery(bench: Bench, port: int) -> None:
    """Reloads the node with another port of discovery."""
    bench.node.reload(replace(bench.node.config, discovery=("127.0.0.1", port)))


def test_a_new_discovery_address_starts_with_a_full_list_and_keeps_connections():
    """The new address may number versions differently, so continuing from the old version would drop its list
    or miss changes. Clients, requests and connections to servers must survive."""

    async def scene():
        release = asyncio.Event()
        bench = await Bench(server := Server(held_until(release))).start()
        await Server.start(second := Server())
        await Server.start(new := Discovery())
        old = bench.discovery
        await until(lambda: len(old.requests) == 1)
        (client := await bench.client()).send(call("invite"))
        await until(lambda: len(server.requests) == 1)
        reload_discovery(bench, new.port)
        old.say(99, True)  # too late to be read
        await until(lambda: old.closed == 1)
        new.say(3, True, server.entry("s0"), second.entry("s1"))
        await until(lambda: len(new.requests) == 2)
        assert [r.target.split("&")[0] for r in new.requests] == ["/v1/endpoints", "/v1/endpoints?since=3"]
        assert sorted(e.port for e in bench.pool.upstream.pool.endpoints.values()) == sorted(
            (server.port, second.port)
        )
        new.say(4, False, second.entry("s1", "draining"))
        await until(lambda: len(new.requests) == 3)
        release.set()
        assert (await client.receive())[0] == 200
        assert (await client.ask(call("invite")))[0] == 200
        assert server.connections == 1 and len(server.requests) == 2 and not second.requests
        assert old.connections == new.connections == 1

    play(scene)


def test_a_new_discovery_that_fails_at_first_is_asked_for_a_full_list_again():
    """The retry must not use the old address's version or take a list of changes for a full one."""

    async def scene():
        rules = settings()["rules"] | {"ask_within": MOMENT}  # retries soon
        bench = await Bench(server := Server(), rules=rules).start()
        await Server.start(new := Discovery())
        new.raw(b"", b"503 Busy")
        new.say(50, False, server.entry("s0", "gone"))
        new.say(3, True, server.entry("s0"))
        reload_discovery(bench, new.port)
        await until(lambda: len(new.requests) == 4)
        assert [r.target.split("&")[0] for r in new.requests[:3]] == ["/v1/endpoints"] * 3
        assert "since=3&" in new.requests[3].target
        assert (await bench.once(call()))[0] == 200

    play(scene)


def test_after_two_changes_in_a_row_the_last_discovery_is_used():
    """A response of the first one that is already in transit must be ignored."""

    async def scene():
        bench = await Bench(old := Server()).start()
        await Server.start(new := Server())
        await Server.start(first := Discovery())
        await Server.start(last := Discovery())
        reload_discovery(bench, first.port)
        await until(lambda: len(first.requests) == 1)
        reload_discovery(bench, last.port)
        first.say(900, True, old.entry("s0"))
        last.say(2, True, new.entry("s1"))
        await until(lambda: len(last.requests) == 2 and first.closed == 1)
        assert (await bench.once(call()))[0] == 200 and new.requests and not old.requests

    play(scene)


def test_a_reload_while_the_node_shuts_down_is_applied():
    """Otherwise the list would no longer be updated, and retries would go to draining servers."""

    async def scene():
        tell = asyncio.Event()
        bench = await Bench(full := Server(held_until(tell, FULL))).start()
        await Server.start(new := Server())
        await Server.start(discovery := Discovery())
        (client := await bench.client()).send(call("invite"))
        await until(lambda: len(full.requests) == 1)
        end = asyncio.create_task(bench.node.drain())
        await until(lambda: bench.node.front.clients.draining)
        reload_discovery(bench, discovery.port)
        discovery.say(1, True, new.entry("s1"))
        await until(lambda: len(discovery.requests) == 2)
        tell.set()
        assert (await client.receive())[0] == 200 and len(new.requests) == 1
        client.writer.close()
        await end

    play(scene)


def test_changes_that_need_a_restart_are_logged(capsys):
    async def scene():
        bench = await Bench(Server(), Server()).start()
        config = bench.node.config
        peers = (("127.0.0.1", 1), ("127.0.0.1", 2))
        bench.node.reload(replace(config, tenants=("other",), connections=7, peers=peers, seed=1, known=None))
        assert "needs a restart: connections, tenants\n" in capsys.readouterr().err
        assert bench.node.config == replace(config, peers=peers)
        assert list(bench.node.peers.numbers) == list(peers)
        assert len(bench.discovery.requests) <= 1  # the same address: its watch continues
        assert (await bench.once(call()))[0] == 200

    play(scene)


def test_sighup_reloads_the_file(tmp_path):
    """Neither the signal nor an invalid file may end the node, and the environment of its start must not hide
    a new address in the file."""

    async def scene():
        await (server := Server()).start()
        for discovery in (discoveries := [Discovery() for _ in range(4)]):
            await discovery.start()
            discovery.say(1, True, server.entry("s0"))
        outside, first, second, third = discoveries
        port = free_port()

        def table(discovery):
            return node_table(discovery.port, settings(), f"127.0.0.1:{port}", server.entry("s0"))

        file = tmp_path / "config.json"
        environ = {"LB_DISCOVERY": f"127.0.0.1:{outside.port}"}
        process = await spawn(tmp_path, table(first), environ)
        assert process.stderr is not None
        await connected(client := Client(port))
        await until(lambda: len(outside.requests) == 2)
        for text in ("{", "[]", json.dumps(table(second) | {"settings": {}})):  # all invalid
            file.write_text(text)
            process.send_signal(signal.SIGHUP)
            assert b"the old configuration stays" in await process.stderr.readline()
        file.write_text(json.dumps(table(first)))  # unchanged, so the environment's address stays
        process.send_signal(signal.SIGHUP)
        assert b"%d\n" % outside.port in await process.stderr.readline()
        for discovery in (second, third):
            file.write_text(json.dumps(table(discovery)))
            process.send_signal(signal.SIGHUP)
            assert b"%d\n" % discovery.port in await process.stderr.readline()
        outside.say(99, True)  # the node no longer reads from it
        await until(lambda: len(third.requests) == 2 and outside.closed == 1)
        assert not first.requests
        assert (await client.ask(call("invite")))[0] == 200  # on the connection opened before the reloads
        process.terminate()
        assert await asyncio.wait_for(process.wait(), 20) == 0

    play(scene)


def test_a_sighup_during_the_start_stays_pending_until_it_can_be_handled(tmp_path):
    """It must not end a node that is still being imported, and the reload must not be lost."""

    async def scene():
        await (server := Server()).start()
        for discovery in (discoveries := [Discovery() for _ in range(2)]):
            await discovery.start()
            discovery.say(1, True, server.entry("s0"))
        old, new = discoveries
        os.mkfifo(tmp_path / "config.json")  # the node blocks here until the test writes the file
        port = free_port()
        table = node_table(old.port, settings(), f"127.0.0.1:{port}", server.entry("s0"))
        process = await start(tmp_path)

        def sighup_blocked() -> bool:
            lines = (Path("/proc") / str(process.pid) / "status").read_text().splitlines()
            blocked = next(line.split()[1] for line in lines if line.startswith("SigBlk"))
            return bool(int(blocked, 16) >> (signal.SIGHUP - 1) & 1)

        await until(sighup_blocked)
        process.send_signal(signal.SIGHUP)

        async def write_config(discovery: Discovery) -> None:
            text = json.dumps(table | {"discovery": f"127.0.0.1:{discovery.port}"})
            await asyncio.get_running_loop().run_in_executor(
                None, (tmp_path / "config.json").write_text, text
            )

        await write_config(old)
        await until(lambda: not sighup_blocked())  # it has read the file and handles the signal
        await write_config(new)
        await connected(client := Client(port))
        await until(lambda: len(new.requests) == 2)
        assert (await client.ask(call("invite")))[0] == 200
        process.terminate()
        assert await asyncio.wait_for(process.wait(), 20) == 0

    play(scene)
