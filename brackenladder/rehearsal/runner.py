"""Runs a rehearsal: starts stand-ins and nodes, does to nodes what the plan says, gathers the journals."""

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
from brackenladder.rehearsal.scenario import DONE_TO_PROCESSES, Scenario

HEADSTART = 0.5  # seconds between the last order and the run's beginning
OPENING = 30.0  # seconds for a stand-in to open its sockets
FRONT_NOTICE = 0.3  # seconds after SIGTERM in which new connections go on coming
CLOSING = 20.0  # seconds after the schedule's end for all that is open to end
LARGEST_REPORT = 16 << 20

Progress = Callable[[float, dict[str, int], str], None]  # seconds of the run, counts, what happened


class RunError(Exception):
    """A run that could not be made; the text is one line."""


class Result(msgspec.Struct, frozen=True):
    """What a run left. `begin`: its first moment in the events' clock; `memory_kb`: the largest process."""

    plan: Plan
    events: list[AnyEvent]
    begin: int
    seconds: float
    memory_kb: int
    crashed: dict[str, list[int]]
    counts: dict[str, int]
    samples: dict[str, list[float]] = {}  # of the nodes, a second apart; in the model only


class StandIn:
    """A stand-in's process."""

    def __init__(self, role: str, name: str) -> None:
        self.role = role
        self.name = name

    async def open(self, brief: dict[str, Any]) -> dict[str, Any]:
        """Starts it; what it reports of its sockets."""
        self.process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "brackenladder.rehearsal.standins", self.role),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            start_new_session=True,
            limit=LARGEST_REPORT,
        )
        self.tell({"role": self.role, "name": self.name} | brief)
        async with asyncio.timeout(OPENING):
            report = await self.hear()
        ready: dict[str, Any] = report.get("ready", {})
        return ready

    def tell(self, order: dict[str, Any]) -> None:
        assert self.process.stdin is not None
        if not self.process.stdin.is_closing():
            self.process.stdin.write(msgspec.json.encode(order) + b"\n")

    async def hear(self) -> dict[str, Any]:
        """The next report; a RunError if the process has ended."""
        assert self.process.stdout is not None
        line = await self.process.stdout.readline()
        if not line:
            raise RunError(f"the stand-in '{self.name}' has ended")
        report: dict[str, Any] = msgspec.json.decode(line)
        return report

    def check(self) -> None:
        """A RunError if it has ended before its time: what it saw since is missing."""
        if self.process.returncode is not None:
            raise RunError(f"the stand-in '{self.name}' has ended with status {self.process.returncode}")

    async def end(self) -> None:
        """Ends its orders, and waits until its journal is written."""
        if self.process.returncode is None:
            assert self.process.stdin is not None
            self.process.stdin.close()
            try:
                async with asyncio.timeout(OPENING):
                    await self.process.wait()
            except TimeoutError:
                self.process.kill()


class Run:
    """One rehearsal."""

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
        self.asking = asyncio.Lock()  # one question to the network's stand-in at a time
        self.restarting = {node.name: asyncio.Lock() for node in self.nodes}

    async def end(self) -> None:
        """Ends all processes, the nodes first."""
        for node in self.nodes:
            await node.end()
        for standin in self.standins:
            await standin.end()
        self.journal.close()

    async def go(self) -> Result:
        """The whole run. A RunError or a NodeError if it could not begin."""
        try:
            await self.play()
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
        """Starts servers, discovery, the relay and the nodes; the network's stand-in."""
        address: dict[str, str] = {}
        hosts = await asyncio.gather(
            *(self.open("servers", i, {}) for i in range(self.scenario.servers.processes))
        )
        for _, report in hosts:
            address |= {f"place {k}": v for k, v in report["places"].items()}
        address |= {f"datagrams {node.number}": node.datagrams for node in self.nodes}
        network, report = await self.open("network", 0, address)
        for node in self.nodes:
            node.ward = lambda pid, runs: network.tell({"ward": pid, "runs": runs})
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
        """The run's beginning, a moment from now, for all stand-ins."""
        self.begin = now() + round(HEADSTART * MICRO)
        wall = (time_ns() // 1000 + self.begin - now()) // 1000
        for standin in self.standins:
            standin.tell({"start": self.begin, "wall": wall})

    async def play(self) -> None:
        network = await self.prepare()
        clients, _ = await self.open(
            "clients", 0, {f"node {node.name}": node.clients_address for node in self.nodes}
        )
        self.start()
        tasks = [
            asyncio.create_task(self.do(step, network, clients))
            for step in self.plan.steps
            if step.kind in DONE_TO_PROCESSES
        ]
        tasks.append(asyncio.create_task(self.announce()))
        if self.scenario.members:
            tasks += [asyncio.create_task(node.listened()) for node in self.nodes]
        try:
            async with asyncio.timeout(HEADSTART + self.plan.length / MICRO + CLOSING):
                while True:
                    report = await clients.hear()
                    if "counts" in report:
                        self.counts = report["counts"]
                        self.say("")
                    if report.get("done"):
                        break
            for standin in self.standins:
                standin.check()
        except TimeoutError:
            raise RunError("the clients did not come to an end") from None
        finally:
            for task in tasks:
                task.cancel()
            results = await asyncio.gather(*tasks, return_exceptions=True)
        for result in results:
            if isinstance(result, (NodeError, RunError)):
                raise result

    def say(self, text: str) -> None:
        if self.progress is not None:
            self.progress((now() - self.begin) / MICRO, self.counts, text)

    async def announce(self) -> None:
        """Tells of the faults as they happen."""
        for step in self.plan.steps:
            await self.until(step.at)
            self.say(f"{step.kind} {step.target}")

    async def until(self, time: int) -> None:
        await asyncio.sleep(max(0, self.begin + time - now()) / MICRO)

    async def do(self, step: Step, network: StandIn, clients: StandIn) -> None:
        """A fault of a node."""
        node = next(n for n in self.nodes if n.name == step.target)
        await self.until(step.at)
        if step.kind in ("node-kill", "node-term"):
            async with self.restarting[node.name]:
                await self.restart(self.put_off(step), node, network, clients)
            return
        self.note(step)
        if step.kind == "node-move":
            network.tell({"moved": node.name})
            node.source = 1
            node.write()
            node.signal("hup")
        if step.kind in ("node-pause", "node-stall"):
            noticed = step.kind == "node-pause"
            if noticed:
                clients.tell({"node": node.name, "state": "closed"})
            node.signal("stop")
            await self.until(step.end)
            node.signal("cont")
            if noticed:
                clients.tell({"node": node.name, "state": "up"})

    async def restart(self, step: Step, node: NodeProcess, network: StandIn, clients: StandIn) -> None:
        """Ends a node's process, and starts the next one when the fault is over.

        One at a time for each node. Failure prevented: a node that takes long to start meets its next planned
        end, which is taken for one that doesn't come up.
        """
        self.note(step)
        if step.kind == "node-kill":
            node.signal("kill")
            await asyncio.sleep(self.scenario.clients.notice_s)
            clients.tell({"node": node.name, "state": "closed"})
        else:
            ending = asyncio.create_task(node.terminate())
            await asyncio.sleep(FRONT_NOTICE)
            clients.tell({"node": node.name, "state": "closed"})
            await ending
        await self.until(step.end)
        await node.ended(OPENING)
        await self.hand_down(node, network)
        await node.start()
        clients.tell({"node": node.name, "state": "up"})

    def put_off(self, step: Step) -> Step:
        """The same fault from now on, if it is late."""
        return msgspec.structs.replace(step, at=max(step.at, now() - self.begin))

    def note(self, step: Step) -> None:
        """Writes down that a fault begins."""
        self.journal.add(Fault(now(), self.begin + step.end, step.kind, step.target))

    async def hand_down(self, node: NodeProcess, network: StandIn) -> None:
        """The configuration of the next process gives the list as the node last had it."""
        async with self.asking:
            network.tell({"handed": node.name})
            had = await network.hear()
        if had["version"] >= 0:
            node.known = {"version": had["version"], "full": True, "servers": had["servers"]}


async def rehearse(
    scenario: Scenario, seed: int, command: str, folder: Path, progress: Progress | None = None
) -> Result:
    """Runs a scenario; `folder` takes the journals, the nodes' configuration and their logs."""
    return await Run(scenario, seed, command, folder, progress).go()


async def serve_without_clients(
    scenario: Scenario, command: str, folder: Path, told: Callable[[str], None]
) -> None:
    """Starts the nodes and their stand-ins without clients; `told` gets the first node's address.

    They stand until the task is cancelled.
    """
    run = Run(scenario, 1, command, folder, None)
    try:
        await run.prepare()
        run.start()
        told(run.nodes[0].clients_address)
        await asyncio.Event().wait()
    finally:
        await run.end()
