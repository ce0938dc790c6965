"""Tests of the commands `plan`, `apply` and `show` with a real node and fake servers."""

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


def scene(folder, servers, act, **changes):
    """Runs `act` with a node that has a control socket. The audit file is in `folder`."""
    socket_folder = tempfile.TemporaryDirectory(prefix="lb")  # short: a socket's path has at most ~100 bytes
    path = f"{socket_folder.name}/control"

    async def run():
        table = ControlTable(socket=path, audit=str(folder / "audit"))
        bench = Bench(*servers, operator=Operator(control=table), **changes)
        await bench.start()

        async def command(*arguments: str) -> int:
            return await asyncio.to_thread(main, [*arguments, "--node", path])

        await act(bench, path, command)
        bench.node.control.end()

    with socket_folder:
        play(run)


def test_a_plan_from_file_to_a_running_node(tmp_path, capsys):
    """Applies a pool, routes and a split. A second plan from the old state is refused."""

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
        assert await command("apply", str(out)) == 1  # no terminal to confirm on, and no --yes
        assert (await asyncio.to_thread(call_node, path, "show"))["history"] == []
        assert await command("apply", str(out), "--yes") == 0
        assert await command("apply", str(out), "--yes") == 1
        assert "already applied" in capsys.readouterr().err
        assert await command("apply", str(stale), "--yes") == 1
        assert "changed since: pools.canary" in capsys.readouterr().err
        assert await command("plan", str(desired)) == 0
        sent = Counter()
        for i in range(300):
            data = call("view").replace(b"obj=7f", b"obj=%x" % i)
            assert (await bench.once(data))[0] == 200
            sent["s0"] = len(bench.servers[0].requests)
        assert 75 <= sent["s0"] < 300  # a quarter through the canary route, plus its share of the rest
        assert len(bench.node.control.pools.routed_pools) == 2
        assert await command("show", "--history") == 0
        assert "pool canary: 1 ready" in capsys.readouterr().out
        audit = (tmp_path / "audit").read_text().splitlines()
        assert [" refused: " in entry for entry in audit] == [False, True, True]

    scene(tmp_path, [Server(), Server(), Server()], act)


def test_a_weight_of_zero_stops_new_requests_and_an_empty_pool_is_refused(tmp_path, capsys):
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
        # Discovery removes another server: the weights stay in force, and so does the rest of the list.
        bench.discovery.say(42, False, bench.servers[0].entry("s0", "draining"))
        await until(lambda: live_states(bench)["s0"] != 0)
        for _ in range(30):
            assert (await bench.once(call("view")))[0] == 200
        assert bench.servers[1].requests == []

    scene(tmp_path, [Server(), Server(), Server()], act)


def live_states(bench) -> dict[str, int]:
    return {line.id: int(line.state) for line in bench.node.control.pools.live().lines}


def test_changes_under_load_lose_no_request(tmp_path):
    """Applies 40 plans that change pools, weights and routes while six clients send requests."""
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
        # On a busy machine the concurrency limit refuses some requests, but none fails.
        assert set(statuses) <= {200, 503} and statuses[200] > statuses[503] and len(pools.history) == 40
        await until(
            lambda: not any(pool.host.calls for pool in (*pools.routed_pools.values(), *pools.draining))
        )

    scene(tmp_path, [Server(), Server(), Server(), Server()], act)


def test_requests_in_flight_keep_the_pool_that_they_began_with(tmp_path):
    """Open calls of a removed pool complete normally, and it still gets updates of its servers."""

    async def act(bench, path, command):
        desired, nothing, out = (tmp_path / name for name in ("desired.toml", "nothing.toml", "plan"))
        desired.write_text(CANARY.replace("canary = 0.25, default = 0.75", "canary = 1.0"))
        nothing.write_text("")
        for file in (desired, nothing):
            assert await command("plan", str(file), "--out", str(out)) == 2
            if file == nothing:
                open_request = asyncio.create_task(bench.once(call("view")))
                await until(lambda: gate.waiting == 1)
            assert await command("apply", str(out), "--yes") == 0
        pools = bench.node.control.pools
        assert list(pools.routed_pools) == ["default"] and len(pools.draining) == 1
        gate.open.set()
        assert (await open_request)[0] == 200
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


def test_invalid_requests_get_an_error_and_change_nothing(tmp_path):
    async def act(bench, path, command):
        before = bench.node.control.pools.live()
        for line, why in LINES.items():
            reader, writer = await asyncio.open_unix_connection(path)
            writer.write(line)
            reply = json.loads(await reader.readline())
            assert reply["ok"] is False and reply["why"].startswith(why)
            writer.close()
        silent = await asyncio.open_unix_connection(path)  # sends nothing and must not block others
        assert await command("show") == 0
        silent[1].close()
        assert bench.node.control.pools.live() == before

    scene(tmp_path, [Server()], act)


def test_errors_of_files_and_sockets_are_one_line(tmp_path, capsys):
    file = tmp_path / "x.toml"
    file.write_text("[pools.default]\nlimt = 1\n")
    for arguments, where in (
        (["plan", str(file), "--node", str(tmp_path / "none")], "limt: not a known key"),
        (["plan", str(tmp_path / "none"), "--node", "x"], "No such file"),
        (["apply", str(file), "--node", "x", "--yes"], "not a plan"),
        (["show", "--node", str(tmp_path / "none")], "No such file"),
    ):
        assert main(arguments) == 1
        text = capsys.readouterr().err
        assert text.startswith(f"brackenladder: {arguments[0]}: ") and where in text and text.count("\n") == 1
    for text in ("[control]\n", "[control]\nsocket = ''\n", "[control]\nsocket = 'x'\nusers = [-1]\n"):
        with pytest.raises(OperatorError, match="control"):
            parse(text.encode())
