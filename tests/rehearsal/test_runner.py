"""The runner and the stand-ins: lag, early ends and failures never lead to a valid verdict; journals."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import pytest
from rehearsal.playing import small

from brackenladder.rehearsal.checker import check
from brackenladder.rehearsal.events import Journal, JournalError, Lag, NodeUp, merged, now, read
from brackenladder.rehearsal.nodes import NodeError
from brackenladder.rehearsal.plan import Step
from brackenladder.rehearsal.report import terms_of
from brackenladder.rehearsal.runner import Result, Run, RunError, rehearse
from brackenladder.rehearsal.scenario import Scenario

PATIENCE = 30.0


async def disturbed(scenario: Scenario, folder: Path, name: str, *signals: tuple[float, int]) -> Result:
    """A run in which a stand-in gets signals, each given seconds after the one before."""
    run = Run(scenario, 1, "", folder, None)
    task = asyncio.create_task(run.execute())
    async with asyncio.timeout(PATIENCE):
        while not run.begin or now() < run.begin:
            await asyncio.sleep(0.01)
            if task.done():
                break
    process = next(s for s in run.standins if s.name == name).process
    for wait, number in signals:
        await asyncio.sleep(wait)
        process.send_signal(number)
    return await task


@pytest.mark.parametrize("name", ["servers-0", "clients", "network"])
def test_a_stand_in_that_runs_late_makes_the_run_not_valid(name: str, tmp_path: Path) -> None:
    scenario = small(rules={"lag_ms": 400})
    pause = ((0.3, signal.SIGSTOP), (0.8, signal.SIGCONT))
    result = asyncio.run(disturbed(scenario, tmp_path, name, *pause))
    report = check(result.events, terms_of(scenario))
    assert report.verdicts["lost"] == "not valid"
    assert report.late == name and report.lag > 400_000


@pytest.mark.parametrize("name", ["servers-0", "clients", "network"])
def test_a_stand_in_that_ends_makes_no_verdict(name: str, tmp_path: Path) -> None:
    with pytest.raises(RunError, match=f"'{name}' has ended"):
        asyncio.run(disturbed(small(), tmp_path, name, (0.2, signal.SIGKILL)))


def test_stand_ins_and_nodes_end_with_a_runner_that_is_stopped(tmp_path: Path) -> None:
    """Guards against Ctrl-C leaving processes behind that hold ports and use CPU time."""

    async def scene() -> list[Any]:
        run = Run(small(), 1, "", tmp_path, None)
        task = asyncio.create_task(run.execute())
        while not run.begin:
            await asyncio.sleep(0.01)
        processes = [s.process for s in run.standins] + [n.process for n in run.nodes]
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return processes

    processes = asyncio.run(scene())
    assert len(processes) == 4
    assert all(p.returncode is not None for p in processes)


def test_a_stand_in_ends_at_the_end_of_its_input() -> None:
    """Guards against a runner killed with SIGKILL leaving its stand-ins behind."""
    command = [sys.executable, "-m", "brackenladder.rehearsal.standins", "network"]
    with subprocess.Popen(
        command, stdin=subprocess.PIPE, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL
    ) as p:
        assert p.stdin is not None
        p.stdin.close()
        assert p.wait(PATIENCE) is not None


def test_nodes_end_with_a_runner_that_is_killed_outright(tmp_path: Path) -> None:
    """Otherwise they would go on serving on ports that later processes may use."""
    script = (
        "import asyncio, sys; from pathlib import Path; sys.path.insert(0, 'tests');"
        "from brackenladder.rehearsal.runner import serve_without_clients as serve;"
        "from rehearsal.playing import small;"
        f"asyncio.run(serve(small(nodes=2), '', Path({str(tmp_path)!r}), lambda a: print(a, flush=True)))"
    )
    with subprocess.Popen([sys.executable, "-c", script], stdout=subprocess.PIPE, text=True) as runner:
        assert runner.stdout is not None
        host, _, port = runner.stdout.readline().strip().rpartition(":")
        with socket.create_connection((host, int(port)), PATIENCE):
            runner.kill()
    until = time.monotonic() + PATIENCE
    while True:
        try:
            socket.create_connection((host, int(port)), PATIENCE).close()
        except ConnectionRefusedError:
            break
        assert time.monotonic() < until
        time.sleep(0.02)


@pytest.mark.parametrize(
    ("command", "message"),
    [
        ("/no/such/node", "/no/such/node: No such file or directory"),
        (f"{sys.executable} -c 'raise SystemExit(7)'", "n0 ended with status 7 before it was ready"),
    ],
)
def test_a_node_that_does_not_start(command: str, message: str, tmp_path: Path) -> None:
    with pytest.raises(NodeError, match=message):
        asyncio.run(rehearse(small(), 1, command, tmp_path))


class StartingNode:
    """A fake node process whose start lasts until the test ends it."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.seen: list[str] = []
        self.starting = asyncio.Event()
        self.up = asyncio.Event()

    def signal(self, name: str) -> None:
        self.seen.append(name)

    async def wait_ended(self, _time: float) -> bool:
        return True

    async def start(self) -> None:
        self.seen.append("start")
        self.starting.set()
        await self.up.wait()
        self.seen.append("up")


class FakeStandIn:
    """A fake stand-in process."""

    def send(self, order: dict[str, Any]) -> None:
        """Ignores the order."""

    async def receive(self) -> dict[str, Any]:
        return {"version": -1}


def test_a_node_is_not_killed_again_before_its_restart_is_complete(tmp_path: Path) -> None:
    """Otherwise a kill during a slow start would be reported as a node that doesn't start."""

    async def scene() -> None:
        run = Run(small(clients={"notice_s": 0}), 1, "", tmp_path, None)
        run.begin = now()
        node: Any = StartingNode(run.nodes[0].name)
        run.nodes = [node]
        standin: Any = FakeStandIn()
        steps = [Step(at=at, length=0, kind="node-kill", target=node.name) for at in (0, 1)]
        tasks = [asyncio.create_task(run.apply_fault(step, standin, standin)) for step in steps]
        async with asyncio.timeout(PATIENCE):
            await node.starting.wait()
            for _ in range(100):  # lets the second fault become due
                await asyncio.sleep(0)
            assert node.seen == ["kill", "start"]
            node.up.set()
            await asyncio.gather(*tasks)
        assert node.seen == ["kill", "start", "up"] * 2

    asyncio.run(scene())


def test_nodes_get_the_documented_configuration(tmp_path: Path) -> None:
    """The environment and the configuration file have all documented keys."""
    seen = tmp_path / "seen"
    script = (
        "import os, json; config = json.load(open(os.environ['LB_CONFIG']));"
        # Each node writes its own file and renames it, since several run at a time.
        " path = {!r} + os.environ['LB_NAME']; file = open(path + '.new', 'w');"
        " file.write(json.dumps([dict(os.environ), config])); file.close(); os.rename(path + '.new', path)"
    )
    with pytest.raises(NodeError):
        asyncio.run(
            rehearse(small(nodes=2), 1, f'{sys.executable} -c "{script.format(str(seen))}"', tmp_path)
        )
    written = list(tmp_path.glob("seenn[0-9]"))
    assert written
    environ, config = json.loads(written[0].read_text())
    assert {"LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "LB_CONFIG"} <= set(environ)
    assert config["name"] == environ["LB_NAME"] and config["listen"] == environ["LB_LISTEN"]
    assert {"discovery", "seed", "limits", "peer_listen", "peers", "peers_all", "known", "settings"} <= set(
        config
    )
    assert len(config["peers"]) == 2 and len(config["known"]["servers"]) == 4
    assert config["listen"].startswith("127.") and config["peer_listen"].startswith("127.")


# ---- journals -----------------------------------------------------------------------------------------


def test_an_incomplete_last_line_is_skipped(tmp_path: Path) -> None:
    path = tmp_path / "a.jsonl"
    journal = Journal(path)
    for t in range(3):
        journal.add(NodeUp(t, "n0"))
    journal.close()
    with path.open("ab") as file:
        file.write(b'["node-up",9,"n')
    assert [e.t for e in read(path)] == [0, 1, 2]


@pytest.mark.parametrize(
    "line", [b"nonsense", b'["quake",1]', b'["lag",1,"x"]', b'["lag","1","x",2]', b"\xff\xfe"]
)
def test_a_line_that_is_not_an_event_is_named(line: bytes, tmp_path: Path) -> None:
    path = tmp_path / "a.jsonl"
    path.write_bytes(b'["lag",1,"x",2]\n' + line + b"\n")
    with pytest.raises(JournalError, match="a.jsonl: line 2"):
        list(read(path))


def test_journals_are_merged_by_time(tmp_path: Path) -> None:
    for name, times in (("a", (1, 4)), ("b", (2, 3))):
        journal = Journal(tmp_path / f"{name}.jsonl")
        for t in times:
            journal.add(Lag(t, name, 0))
        journal.close()
    events = merged(sorted(tmp_path.glob("*.jsonl")))
    assert [(e.t, getattr(e, "who", "")) for e in events] == [(1, "a"), (2, "b"), (3, "b"), (4, "a")]


def test_what_is_flushed_outlives_a_process_that_is_killed(tmp_path: Path) -> None:
    path = tmp_path / "a.jsonl"
    script = (
        "import os, sys; from pathlib import Path; from brackenladder.rehearsal.events import Journal, Lag;"
        f"j = Journal(Path({str(path)!r})); j.add(Lag(1, 'x', 2)); j.flush(); os.kill(os.getpid(), 9)"
    )
    code = subprocess.run(
        [sys.executable, "-c", script], env=dict(os.environ) | {"PYTHONPATH": "."}
    ).returncode
    assert code == -signal.SIGKILL
    assert list(read(path)) == [Lag(1, "x", 2)]
