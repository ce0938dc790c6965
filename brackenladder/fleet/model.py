"""Plays a rehearsal's plan in virtual time: the same schedule, the same events, the same checker."""

from __future__ import annotations

import resource
from collections.abc import Callable
from itertools import count
from random import Random
from time import perf_counter
from typing import cast

from brackenladder.balance import Balancer
from brackenladder.core.host import GUARD, Host
from brackenladder.core.roster import number_of
from brackenladder.fleet.nodes import NET, FleetCall, Module, Node
from brackenladder.fleet.queue import Queue
from brackenladder.fleet.rivals.oracle import Oracle
from brackenladder.fleet.servers import Server
from brackenladder.interface import ListKind, State
from brackenladder.membership.listing import Line, Listing
from brackenladder.rehearsal.events import (
    Answered,
    AnyEvent,
    Asked,
    Changed,
    Event,
    Fault,
    GaveUp,
    NodeUp,
    Sent,
    Told,
)
from brackenladder.rehearsal.nodes import settings_of as published
from brackenladder.rehearsal.plan import MICRO, RequestPlan, ServerPlan, Step, node_name, plan_of
from brackenladder.rehearsal.runner import Result
from brackenladder.rehearsal.scenario import Scenario
from brackenladder.settings import settings_of

BEGIN = 1_000_000_000_000_000  # of the run, in the queue's time: Unix time, so that starts can be told
PATIENCE = 1_000_000  # of a client beyond its time, as the stand-ins have it
MOST_MEMORY = 4 << 30  # bytes that a run may be expected to take
BYTES_A_SERVER = 900  # at each node, seen
BYTES_A_REQUEST = 6_000  # of a run, seen
NEVER = 1 << 60  # microseconds until a server that has gone serves
SETTLE = 10 * MICRO  # after the schedule's end, for all that is open

PLAYED = frozenset(
    ("restart", "replace", "drain", "deploy", "reset-late", "reject", "error", "closed", "stall")
)


class Discovery:
    """Lists by version; each node has a call out at all times, so that what changes is told at once."""

    def __init__(self, queue: Queue, note: Callable[[Event], None]) -> None:
        self.queue = queue
        self.note = note
        self.version = 0
        self.lines: dict[str, Line] = {}
        self.nodes: list[Node] = []
        self.calls: dict[str, int] = {}
        self.numbers = count()

    def change(self, line: Line) -> None:
        """Discovery knows from now on."""
        self.version += 1
        started = line.started // 1000
        if line.state == State.GONE:
            self.lines.pop(line.id, None)
        else:
            self.lines[line.id] = line
        state = line.state.name.lower()
        self.note(Changed(self.queue.now, 0, self.version, line.id, state, started))
        for node in self.nodes:
            self.tell(node, Listing(ListKind.CHANGES, self.version, (line,)))

    def tell(self, node: Node, listing: Listing) -> None:
        """Answers the node's call; it makes the next one at once."""
        told = tuple((line.id, line.state.name.lower(), line.started // 1000) for line in listing.lines)
        full = listing.kind != ListKind.CHANGES
        self.note(Told(self.queue.now, node.name, self.calls[node.name], 0, listing.version, full, told))
        self.queue.after(NET, node.told, listing)
        self.ask(node)

    def ask(self, node: Node) -> None:
        self.calls[node.name] = next(self.numbers)
        self.note(Asked(self.queue.now, node.name, self.calls[node.name], self.version))

    def join(self, node: Node) -> None:
        """A node starts: the list that it was given at its start, and its first call."""
        self.nodes.append(node)
        self.ask(node)
        self.tell(node, Listing(ListKind.FULL, self.version, tuple(self.lines.values())))


class Directory:
    """A node's asks: its watch is always on."""

    def __init__(self, discovery: Discovery, node: Node) -> None:
        self.discovery = discovery
        self.node = node

    def watch(self, on: bool) -> None:
        """It is."""

    def fetch(self) -> None:
        lines = tuple(self.discovery.lines.values())
        self.discovery.tell(self.node, Listing(ListKind.FULL, self.discovery.version, lines))


class Messenger:
    """Messages between nodes are not in the model yet; the module sends none."""

    def tell(self, peer: int, data: bytes) -> None:
        """Lost."""


class TrueState:
    """What the oracle at a node is shown."""

    def __init__(self, fleet: Fleet, host: Host) -> None:
        self.host = host
        self.servers = {number_of(name): server for name, server in fleet.standing.items()}

    def wait(self, server: int) -> int:
        standing = self.servers[server]
        return standing.time_to_core() if standing.alive else NEVER

    def work(self, request: int, server: int) -> int:
        call = cast(FleetCall, self.host.calls[request])
        standing = self.servers[server]
        return round(standing.work_for(call.klass, call.name) / standing.speed())


class Fleet:
    """One run. `module` decides in each node: the Balancer, a variant of it, or a rival."""

    def __init__(self, scenario: Scenario, seed: int, module: Module = Balancer) -> None:
        self.scenario = scenario
        self.module = module
        self.plan = plan_of(scenario, seed)
        self.queue = Queue(BEGIN - MICRO)
        self.events: list[Event] = []
        self.note = self.events.append
        self.rng = Random(f"model {seed}")
        self.numbers = count()
        self.standing: dict[str, Server] = {}
        self.discovery = Discovery(self.queue, self.note)
        self.counts = {"sent": 0, "served": 0, "refused": 0, "failed": 0, "unreached": 0}
        self.margin = round((scenario.rules.answer_ms + scenario.rules.slack_ms) * 1000) + PATIENCE
        steps: dict[str, list[Step]] = {}
        for step in self.plan.steps:
            steps.setdefault(step.target, []).append(step)
        work = tuple(c.work_ms for c in scenario.classes)
        for plan in self.plan.servers:
            self.standing[plan.id] = Server(
                plan,
                scenario.servers,
                work,
                steps.get(plan.id, []),
                self.queue,
                BEGIN,
                self.note,
                lambda: next(self.numbers),
            )
        self.nodes = [self.node(i, seed) for i in range(scenario.nodes)]

    def node(self, number: int, seed: int) -> Node:
        settings = settings_of(published(self.scenario, number))
        node_seed = Random(f"node {seed} {number}").getrandbits(64)
        node = Node(
            node_name(number),
            settings,
            node_seed,
            self.queue,
            self.standing,
            self.scenario.zones,
            self.module,
        )
        if isinstance(node.host.balancer, Oracle):
            node.host.balancer.sight = TrueState(self, node.host)
        node.host.directory = Directory(self.discovery, node)
        node.host.messenger = Messenger()
        return node

    # ---- servers --------------------------------------------------------------------------------------

    def line(self, plan: ServerPlan, state: State, born: int) -> Line:
        """`born`: of its process, in the plan's time; -1: long ago."""
        started = 0 if born < 0 else BEGIN + born
        return Line(plan.id, "model", 1, plan.zone, "std", plan.cell, state, 1.0, started // 1000 * 1000)

    def later(self, line: Line) -> None:
        """Discovery hears of it some time from now."""
        low, high = self.scenario.discovery.late_ms
        self.queue.after(round(1000 * self.rng.uniform(low, high)), self.discovery.change, line)

    def born(self, plan: ServerPlan, at: int) -> None:
        self.standing[plan.id].rise((BEGIN + at) // 1000, cold=True)
        self.later(self.line(plan, State.READY, at))

    def begin(self, step: Step, plan: ServerPlan) -> None:
        """A step's time has come."""
        self.note(Fault(self.queue.now, BEGIN + step.end, step.kind, step.target))
        server = self.standing[plan.id]
        if step.kind in ("restart", "replace"):
            server.die()
            self.later(self.line(plan, State.GONE, plan.born))
            if step.kind == "restart":
                self.queue.at(BEGIN + step.end, self.born, plan, step.end)
        elif step.kind in ("drain", "deploy"):
            self.discovery.change(self.line(plan, State.DRAINING, plan.born))
            self.queue.at(BEGIN + step.end, self.ended, plan)

    def ended(self, plan: ServerPlan) -> None:
        """A drained server's end."""
        self.standing[plan.id].retire()
        self.later(self.line(plan, State.GONE, plan.born))

    # ---- clients --------------------------------------------------------------------------------------

    def first(self, plan: RequestPlan) -> None:
        self.send(plan, 0)

    def send(self, plan: RequestPlan, number: int) -> None:
        """A try, as the stand-ins' clients make it."""
        scenario, now = self.scenario, self.queue.now
        klass = scenario.classes[plan.klass]
        left = BEGIN + plan.at + round(klass.deadline_ms * 1000) - now
        budget = min(plan.budgets[min(number, len(plan.budgets) - 1)], left) // 1000 * 1000
        if budget <= 0:
            return
        name = f"{(int(plan.id, 16) + number) & 0xFFFFFFFFFFFFFFFF:016x}"
        node = self.nodes[(plan.node + number) % len(self.nodes)]
        self.counts["sent"] += 1
        self.note(Sent(now, name, node.name, plan.klass, budget, now, number > 0))
        ended = False

        def told(status: int, advice: float) -> None:
            self.queue.after(NET, answered, status, advice)

        def answered(status: int, advice: float) -> None:
            nonlocal ended
            if ended:
                return
            ended = True
            timer.cancel()
            self.note(Answered(self.queue.now, name, status, True, advice))
            self.over(plan, number, status, advice)

        def give_up(early: bool) -> None:
            nonlocal ended
            if ended:
                return
            ended = True
            self.note(GaveUp(self.queue.now, name, early))
            self.queue.after(NET, node.host.left, call)
            self.over(plan, number, 0, 0.0)

        early = plan.leave if not number else 0
        timer = self.queue.after(early or budget + self.margin, give_up, bool(early))
        call = FleetCall(name, plan.klass, plan.tenant, budget, number > 0, told)
        self.queue.after(NET, node.host.take, call)

    def over(self, plan: RequestPlan, number: int, status: int, advice: float) -> None:
        """A try has ended; perhaps there is another."""
        klass = self.scenario.classes[plan.klass]
        refused = status == 503
        left = plan.leave and not number and status == 0
        harmless = refused or (klass.effect == "safe" and status != 200 and not left)
        self.counts["served" if status == 200 else "refused" if refused else "failed"] += 1
        if harmless and number < self.scenario.clients.retries:
            wait = round(advice * 1e6) or plan.waits[number]
            if self.queue.now + wait < BEGIN + plan.at + round(klass.deadline_ms * 1000):
                self.queue.after(wait, self.send, plan, number + 1)

    # ---- the run --------------------------------------------------------------------------------------

    def go(self) -> Result:
        """The whole run. A Standstill if time does not go on."""
        began = perf_counter()
        plans = {s.id: s for s in self.plan.servers}
        for plan in self.plan.servers:
            if plan.born < 0:
                self.standing[plan.id].rise(0, cold=False)
                self.discovery.lines[plan.id] = self.line(plan, State.READY, -1)
            else:
                self.queue.at(BEGIN + plan.born, self.born, plan, plan.born)
        for node in self.nodes:
            self.note(NodeUp(self.queue.now, node.name))
            node.host.start()
            self.discovery.join(node)
        for step in self.plan.steps:
            if step.kind in PLAYED and step.target in plans:
                self.queue.at(BEGIN + step.at, self.begin, step, plans[step.target])
        for request in self.plan.requests:
            self.queue.at(BEGIN + request.at, self.first, request)
        self.queue.run(BEGIN + self.plan.length + SETTLE + GUARD)
        events: list[AnyEvent] = self.events  # type: ignore[assignment]
        return Result(
            plan=self.plan,
            events=events,
            begin=BEGIN,
            seconds=perf_counter() - began,
            memory_kb=resource.getrusage(resource.RUSAGE_SELF).ru_maxrss,
            crashed={node.name: [1] for node in self.nodes if node.faults},
            counts=self.counts,
        )


def too_large(scenario: Scenario) -> str:
    """Why a scenario does not fit into memory, as `key: what`; empty if it does.

    Every node knows every server, and every event is kept until the end.
    """
    servers = scenario.nodes * scenario.servers.count * BYTES_A_SERVER
    requests = scenario.clients.rate * scenario.length_s * BYTES_A_REQUEST
    if servers > MOST_MEMORY:
        return f"nodes: with {scenario.servers.count} servers they would take {servers / 2**30:.0f} GB"
    if requests > MOST_MEMORY:
        return f"clients.rate: one run would take {requests / 2**30:.0f} GB"
    return ""


def passed_over(scenario: Scenario) -> list[str]:
    """What of a scenario this model does not play, named."""
    kinds = sorted({fault.kind for fault in scenario.faults} - PLAYED)
    named = [f"faults of kind '{kind}'" for kind in kinds]
    if scenario.transport != "http":
        named.append(f"transport = '{scenario.transport}': one call a connection, as over http")
    if scenario.discovery.how != "ask":
        named.append(f"discovery.how = '{scenario.discovery.how}': a watch")
    if scenario.clients.drop:
        named.append("clients.drop: connections are not modelled")
    return named


def play(scenario: Scenario, seed: int, module: Module = Balancer) -> Result:
    """A scenario in virtual time."""
    return Fleet(scenario, seed, module).go()
