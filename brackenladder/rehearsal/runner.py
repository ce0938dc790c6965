"""Runs a rehearsal: starts stand-ins and nodes, applies the planned node faults, collects the journals."""

from __future__ import annotations

import asyncio
import resource
import sys
from collections.abc import Callable
from pathlib import Path
from random import Random
from time import time_ns
from typing import Any

import msgspec

from brackenladder.rehearsal.events import AnyEvent, Fault, Journal, merged, now
from brackenladder.rehearsal.nodes import NodeError, NodeProcess
from brackenladder.rehearsal.plan import MICRO, Plan, Step, plan_of
from brackenladder.rehearsal.scenario import PROCESS_FAULTS, Scenario

HEADSTART = 0.5  # seconds between the order to start and the start of the run
OPENING = 30.0  # seconds within which a stand-in must open its sockets, or end
FRONT_NOTICE = 0.3  # seconds after SIGTERM in which clients still open connections to the node
CLOSING = 20.0  # seconds after the end of the schedule within which open requests must end
LARGEST_REPORT = 16 << 20

Progress = Callable[[float, dict[str, int], str], None]  # seconds since the start, request counts, event text


class RunError(Exception):
    """A run that could not be carried out; the text is one line."""


class Result(msgspec.Struct, frozen=True):
    """The result of a run.

    `begin`: its start on the events' clock; `memory_kb`: of the largest process.
    """

    plan: Plan
    events: list[AnyEvent]
    begin: int
    seconds: float
    memory_kb: int
    crashed: dict[str, list[int]]
    counts: dict[str, int]
    samples: dict[str, list[float]] = {}  # the nodes' figures, one a second; simulation model only


class StandIn:
    """The process of one stand-in (simulated clients, servers or network) and its orders and reports."""

    def __init__(self, role: str, name: str) -> None:
        self.role = role
        self.name = name

    async def open(self, brief: dict[str, Any]) -> dict[str, Any]:
        """Starts the process; returns the addresses that it reports."""
        self.process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "brackenladder.rehearsal.standins", self.role),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            start_new_session=True,
            limit=LARGEST_REPORT,
        )
        self.send({"role": self.role, "name": self.name} | brief)
        async with asyncio.timeout(OPENING):
            report = await self.receive()
        ready: dict[str, Any] = report.get("ready", {})
        return ready

    def send(self, order: dict[str, Any]) -> None:
        assert self.process.stdin is not None
        if not self.process.stdin.is_closing():
            self.process.stdin.write(msgspec.json.encode(order) + b"\n")

    async def receive(self) -> dict[str, Any]:
        """The next report; raises RunError if the process has ended."""
        assert self.process.stdout is not None
        line = await self.process.stdout.readline()
        if not line:
            raise RunError(f"the stand-in '{self.name}' has ended")
        report: dict[str, Any] = msgspec.json.decode(line)
        return report

    def check(self) -> None:
        """Raises RunError if the process has ended early, since its journal is then incomplete."""
        if self.process.returncode is not None:
            raise RunError(f"the stand-in '{self.name}' has ended with status {self.process.returncode}")

    async def end(self) -> None:
        """Closes the order stream and waits until the process has written its journal."""
        if self.process.returncode is None:
            assert self.process.stdin is not None
            self.process.stdin.close()
            try:
                async with asyncio.timeout(OPENING):
                    await self.process.wait()
            except TimeoutError:
                self.process.kill()


class Run:
    """Runs one rehearsal: starts the nodes and stand-ins, applies the faults and ends all processes."""

    def __init__(
        self, scenario: Scenario, seed: int, command: str, folder: Path, progress: Progress | None
    ) -> None:
        self.scenario = scenario
        self.seed = seed
        self.plan = plan_of(scenario, seed)
        self.folder = folder
        self.progress = progress
        self.journal = Journal(folder / "runner.jsonl")
        self.counts: dict[str, int] = {}
        rng = Random(f"addresses {time_ns()}")
        self.nodes = [
            NodeProcess(scenario, i, command, folder, self.journal, rng, seed) for i in range(scenario.nodes)
        ]
        self.standins: list[StandIn] = []
        self.begin = 0
        self.query_lock = asyncio.Lock()  # held during a query to the network stand-in, until its answer
        self.restart_locks = {node.name: asyncio.Lock() for node in self.nodes}

    async def end(self) -> None:
        """Ends all processes, nodes first."""
        for node in self.nodes:
            await node.end()
        for standin in self.standins:
            await standin.end()
        self.journal.close()

    async def execute(self) -> Result:
        """Carries out the run. Raises RunError or NodeError if it fails."""
        try:
            await self.run_schedule()
        finally:
            await self.end()
        usage = resource.getrusage(resource.RUSAGE_CHILDREN)
        return Result(
            plan=self.plan,
            events=merged(sorted(self.folder.glob("*.jsonl"))),
            begin=self.begin,
            seconds=(now() - self.begin) / MICRO,
            memory_kb=usage.ru_maxrss,
            crashed={node.name: node.crashed for node in self.nodes if node.crashed},
            counts=self.counts,
        )

    async def open(self, role: str, number: int, address: dict[str, str]) -> tuple[StandIn, dict[str, Any]]:
        name = role if role != "servers" else f"servers-{number}"
        standin = StandIn(role, name)
        self.standins.append(standin)
        report = await standin.open(
            {
                "journal": str(self.folder / f"{name}.jsonl"),
                "scenario": msgspec.to_builtins(self.scenario),
                "seed": self.seed,
                "number": number,
                "address": address,
            }
        )
        return standin, report

    async def prepare(self) -> StandIn:
        """Starts the server and network stand-ins and the nodes; returns the network stand-in."""
        address: dict[str, str] = {}
        hosts = await asyncio.gather(
            *(self.open("servers", i, {}) for i in range(self.scenario.servers.processes))
        )
        for _, report in hosts:
            address |= {f"place {k}": v for k, v in report["places"].items()}
        address |= {f"datagrams {node.number}": node.datagrams for node in self.nodes}
        network, report = await self.open("network", 0, address)
        for node in self.nodes:
            node.on_process_change = lambda pid, runs: network.send({"ward": pid, "runs": runs})
            node.discovery = [source[node.number] for source in report["discovery"]]
            node.peers = report["peers"]
            lines = [
                {
                    "id": s.id,
                    "addr": address[f"place {s.place}"],
                    "zone": s.zone,
                    "kind": "std",
                    "cell": s.cell,
                    "state": "ready",
                    "weight": 1.0,
                    "started_ms": 0,
                }
                for s in self.plan.servers
                if s.born < 0
            ]
            node.known = {"version": 0, "full": True, "servers": lines}
        await asyncio.gather(*(node.start() for node in self.nodes))
        return network

    def start(self) -> None:
        """Tells all stand-ins when the run starts, HEADSTART seconds from now."""
        self.begin = now() + round(HEADSTART * MICRO)
        wall = (time_ns() // 1000 + self.begin - now()) // 1000
        for standin in self.standins:
            standin.send({"start": self.begin, "wall": wall})

    async def run_schedule(self) -> None:
        network = await self.prepare()
        clients, _ = await self.open(
            "clients", 0, {f"node {node.name}": node.clients_address for node in self.nodes}
        )
        self.start()
        tasks = [
            asyncio.create_task(self.apply_fault(step, network, clients))
            for step in self.plan.steps
            if step.kind in PROCESS_FAULTS
        ]
        tasks.append(asyncio.create_task(self.announce()))
        if self.scenario.members:
            tasks += [asyncio.create_task(node.record_members()) for node in self.nodes]
        try:
            async with asyncio.timeout(HEADSTART + self.plan.length / MICRO + CLOSING):
                while True:
                    report = await clients.receive()
                    if "counts" in report:
                        self.counts = report["counts"]
                        self.report_progress("")
                    if report.get("done"):
                        break
            for standin in self.standins:
                standin.check()
        except TimeoutError:
            raise RunError("the client stand-in did not finish in time") from None
        finally:
            for task in tasks:
                task.cancel()
            results = await asyncio.gather(*tasks, return_exceptions=True)
        for result in results:
            if isinstance(result, (NodeError, RunError)):
                raise result

    def report_progress(self, text: str) -> None:
        if self.progress is not None:
            self.progress((now() - self.begin) / MICRO, self.counts, text)

    async def announce(self) -> None:
        """Reports each fault to `progress` as it begins."""
        for step in self.plan.steps:
            await self.sleep_until(step.at)
            self.report_progress(f"{step.kind} {step.target}")

    async def sleep_until(self, time: int) -> None:
        await asyncio.sleep(max(0, self.begin + time - now()) / MICRO)

    async def apply_fault(self, step: Step, network: StandIn, clients: StandIn) -> None:
        """Applies a node fault at its time."""
        node = next(n for n in self.nodes if n.name == step.target)
        await self.sleep_until(step.at)
        if step.kind in ("node-kill", "node-term"):
            async with self.restart_locks[node.name]:
                await self.restart(self.postponed(step), node, network, clients)
            return
        self.note(step)
        if step.kind == "node-move":
            network.send({"moved": node.name})
            node.source = 1
            node.write()
            node.signal("hup")
        if step.kind in ("node-pause", "node-stall"):
            noticed = step.kind == "node-pause"
            if noticed:
                clients.send({"node": node.name, "state": "closed"})
            node.signal("stop")
            await self.sleep_until(step.end)
            node.signal("cont")
            if noticed:
                clients.send({"node": node.name, "state": "up"})

    async def restart(self, step: Step, node: NodeProcess, network: StandIn, clients: StandIn) -> None:
        """Ends a node's process and starts a new one when the fault is over.

        The caller runs one restart at a time for each node. Otherwise the next planned kill could hit a node
        that is slow to start, and would be reported as a node that does not start.
        """
        self.note(step)
        if step.kind == "node-kill":
            node.signal("kill")
            await asyncio.sleep(self.scenario.clients.notice_s)
            clients.send({"node": node.name, "state": "closed"})
        else:
            ending = asyncio.create_task(node.terminate())
            await asyncio.sleep(FRONT_NOTICE)
            clients.send({"node": node.name, "state": "closed"})
            await ending
        await self.sleep_until(step.end)
        await node.wait_ended(OPENING)
        await self.update_known_servers(node, network)
        await node.start()
        clients.send({"node": node.name, "state": "up"})

    def postponed(self, step: Step) -> Step:
        """The same step, moved to now if its planned time has passed."""
        return msgspec.structs.replace(step, at=max(step.at, now() - self.begin))

    def note(self, step: Step) -> None:
        """Records the start of a fault in the runner's journal."""
        self.journal.add(Fault(now(), self.begin + step.end, step.kind, step.target))

    async def update_known_servers(self, node: NodeProcess, network: StandIn) -> None:
        """Puts the server list that the node last received into the configuration of its next process."""
        async with self.query_lock:
            network.send({"handed": node.name})
            had = await network.receive()
        if had["version"] >= 0:
            node.known = {"version": had["version"], "full": True, "servers": had["servers"]}


async def rehearse(
    scenario: Scenario, seed: int, command: str, folder: Path, progress: Progress | None = None
) -> Result:
    """Runs a scenario. Journals, the nodes' configurations and their logs are written to `folder`."""
    return await Run(scenario, seed, command, folder, progress).execute()


async def serve_without_clients(
    scenario: Scenario, command: str, folder: Path, on_ready: Callable[[str], None]
) -> None:
    """Runs the nodes and their stand-ins, without clients, until the task is cancelled.

    `on_ready` is called with the first node's address.
    """
    run = Run(scenario, 1, command, folder, None)
    try:
        await run.prepare()
        run.start()
        on_ready(run.nodes[0].clients_address)
        await asyncio.Event().wait()
    finally:
        await run.end()
