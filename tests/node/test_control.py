"""Plan and apply at a real node over its control socket, with stand-in servers."""

from __future__ import annotations

import asyncio
import json
import os
import stat
import tempfile
from collections import Counter

import pytest
from loopback import Bench, Server, call, play, until

from brackenladder.cli.control import call_node
from brackenladder.cli.main import main
from brackenladder.control.plan import make_plan
from brackenladder.control.state import parse_state as state_of
from brackenladder.node.operator import ControlTable, Operator, OperatorError, parse

CANARY = """
[pools.default]
part = [0.0, 1.0]
[pools.canary]
servers = ["s0"]
[[routes]]
classes = ["view"]
to = { canary = 0.25, default = 0.75 }
sticky = "object"
"""


def scene(folder, servers, play_it, **changes):
    """Plays with a node whose control socket stands in a folder."""
    room = tempfile.TemporaryDirectory(prefix="lb")  # a socket's path has a hundred bytes at most
    path = f"{room.name}/control"

    async def whole():
        table = ControlTable(socket=path, audit=str(folder / "audit"))
        bench = Bench(*servers, operator=Operator(control=table), **changes)
        await bench.start()

        async def command(*arguments: str) -> int:
            return await asyncio.to_thread(main, [*arguments, "--node", path])

        await play_it(bench, path, command)
        bench.node.control.end()

    with room:
        play(whole)


def test_a_plan_from_file_to_a_running_node(tmp_path, capsys):
    """Weights, a pool and a split; a second plan from the old state is refused and names what changed."""

    async def act(bench, path, command):
        assert stat.S_IMODE(os.stat(path).st_mode) == 0o600
        desired, out, weights = (tmp_path / name for name in ("desired.toml", "plan", "weights.toml"))
        desired.write_text(CANARY)
        weights.write_text('[pools.default.weights]\n"server:s1" = 0\n')
        assert await command("plan", str(desired), "--out", str(out)) == 2
        text = capsys.readouterr().out
        assert '+ pools.canary.servers = ["s0"]' in text and "routes.0.to.canary" in text
        stale = tmp_path / "stale"
        assert await command("plan", str(weights), "--out", str(stale)) == 2
        assert await command("apply", str(out)) == 1  # nobody to ask, and no --yes
        assert (await asyncio.to_thread(call_node, path, "show"))["history"] == []
        assert await command("apply", str(out), "--yes") == 0
        assert await command("apply", str(out), "--yes") == 1
        assert "already applied" in capsys.readouterr().err
        assert await command("apply", str(stale), "--yes") == 1
        assert "changed since: pools.canary" in capsys.readouterr().err
        assert await command("plan", str(desired)) == 0
        went = Counter()
        for i in range(300):
            data = call("view").replace(b"obj=7f", b"obj=%x" % i)
            assert (await bench.once(data))[0] == 200
            went["s0"] = len(bench.servers[0].requests)
        assert 75 <= went["s0"] < 300  # a quarter by the route, and its part of the rest
        assert len(bench.node.control.pools.routed_pools) == 2
        assert await command("show", "--history") == 0
        assert "pool canary: 1 ready" in capsys.readouterr().out
        audit = (tmp_path / "audit").read_text().splitlines()
        assert [" refused: " in entry for entry in audit] == [False, True, True]

    scene(tmp_path, [Server(), Server(), Server()], act)


def test_a_weight_of_nothing_drains_softly_and_an_empty_pool_is_refused(tmp_path, capsys):
    async def act(bench, path, command):
        one, all_of_them, out = (tmp_path / name for name in ("one.toml", "all.toml", "plan"))
        one.write_text('[pools.default.weights]\n"server:s1" = 0\n')
        all_of_them.write_text('[pools.default.weights]\n"kind:std" = 0\n')
        assert await command("plan", str(all_of_them), "--out", str(out)) == 1
        assert "no ready server is left" in capsys.readouterr().out and not out.exists()
        assert await command("plan", str(one), "--out", str(out)) == 2
        assert await command("apply", str(out), "--yes") == 0
        bench.servers[1].requests.clear()
        for _ in range(60):
            assert (await bench.once(call("view")))[0] == 200
        assert bench.servers[1].requests == []
        # Discovery takes another away: the pool keeps to the weights, and what it knows of the list stays.
        bench.discovery.say(42, False, bench.servers[0].entry("s0", "draining"))
        await until(lambda: ask_live(bench)["s0"] != 0)
        for _ in range(30):
            assert (await bench.once(call("view")))[0] == 200
        assert bench.servers[1].requests == []

    scene(tmp_path, [Server(), Server(), Server()], act)


def ask_live(bench) -> dict[str, int]:
    return {line.id: int(line.state) for line in bench.node.control.pools.live().lines}


def test_changes_under_load_lose_no_request(tmp_path):
    """40 applies while six clients ask: pools come and go, weights and routes change."""
    texts = [
        CANARY,
        "",
        CANARY.replace('["s0"]', '["s1"]').replace("sticky", "# sticky"),
        '[pools.default.weights]\n"server:s2" = 3\n"server:s1" = 0.5\n',
    ]

    async def act(bench, path, command):
        pools, done, statuses = bench.node.control.pools, asyncio.Event(), Counter()

        async def client():
            connection = await bench.client()
            while not done.is_set():
                status, _, _ = await connection.ask(call("view"))
                statuses[status] += 1

        clients = [asyncio.create_task(client()) for _ in range(6)]
        for turn in range(40):
            before = sum(statuses.values())
            desired = state_of(texts[turn % len(texts)].encode())
            pools.apply(make_plan(pools.live(), desired), 0)
            await until(lambda before=before: sum(statuses.values()) >= before + 12)
        done.set()
        await asyncio.gather(*clients)
        # A busy machine makes the limit refuse some; nothing fails, and each has had its one answer.
        assert set(statuses) <= {200, 503} and statuses[200] > statuses[503] and len(pools.history) == 40
        await until(
            lambda: not any(pool.host.calls for pool in (*pools.routed_pools.values(), *pools.draining))
        )

    scene(tmp_path, [Server(), Server(), Server(), Server()], act)


def test_requests_in_flight_keep_the_pool_that_they_began_with(tmp_path):
    """A removed pool's calls end as they would have; its servers' drains still reach it."""

    async def act(bench, path, command):
        desired, nothing, out = (tmp_path / name for name in ("desired.toml", "nothing.toml", "plan"))
        desired.write_text(CANARY.replace("canary = 0.25, default = 0.75", "canary = 1.0"))
        nothing.write_text("")
        for file in (desired, nothing):
            assert await command("plan", str(file), "--out", str(out)) == 2
            if file == nothing:
                held = asyncio.create_task(bench.once(call("view")))
                await until(lambda: gate.waiting == 1)
            assert await command("apply", str(out), "--yes") == 0
        pools = bench.node.control.pools
        assert list(pools.routed_pools) == ["default"] and len(pools.draining) == 1
        gate.open.set()
        assert (await held)[0] == 200
        bench.discovery.say(42, False)
        await until(lambda: not pools.draining)

    class Gate:
        waiting = 0
        open = asyncio.Event()

        async def answer(self, request, writer):
            self.waiting += 1
            await self.open.wait()
            return b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

    gate = Gate()
    scene(tmp_path, [Server(gate.answer), Server()], act)


LINES = {
    b"\n": "not a call",
    b"{}\n": "not a call",
    b'{"version": 2, "do": "show"}\n': "version 2",
    b'{"version": 1, "do": "drop"}\n': "not a call",
    b'{"version": 1, "do": "show", "more": 1}\n': "not a call",
    b'{"version": 1, "do": "apply", "plan": "{}"}\n': "not a plan",
    b"[" * 5000 + b"\n": "not a call",
}


def test_whoever_speaks_otherwise_is_told_and_nothing_changes(tmp_path):
    async def act(bench, path, command):
        before = bench.node.control.pools.live()
        for line, why in LINES.items():
            reader, writer = await asyncio.open_unix_connection(path)
            writer.write(line)
            said = json.loads(await reader.readline())
            assert said["ok"] is False and said["why"].startswith(why)
            writer.close()
        silent = await asyncio.open_unix_connection(path)  # says nothing, and keeps nobody waiting
        assert await command("show") == 0
        silent[1].close()
        assert bench.node.control.pools.live() == before

    scene(tmp_path, [Server()], act)


def test_without_a_node_or_a_file_it_is_one_line(tmp_path, capsys):
    file = tmp_path / "x.toml"
    file.write_text("[pools.default]\nlimt = 1\n")
    for arguments, where in (
        (["plan", str(file), "--node", str(tmp_path / "none")], "limt: not a known key"),
        (["plan", str(tmp_path / "none"), "--node", "x"], "No such file"),
        (["apply", str(file), "--node", "x", "--yes"], "not a plan"),
        (["show", "--node", str(tmp_path / "none")], "No such file"),
    ):
        assert main(arguments) == 1
        told = capsys.readouterr().err
        assert told.startswith(f"brackenladder: {arguments[0]}: ") and where in told and told.count("\n") == 1
    for text in ("[control]\n", "[control]\nsocket = ''\n", "[control]\nsocket = 'x'\nusers = [-1]\n"):
        with pytest.raises(OperatorError, match="control"):
            parse(text.encode())
