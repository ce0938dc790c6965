"""Plays a rehearsal's plan in virtual time: the same schedule, the same events, the same checker."""

from __future__ import annotations

import gc
import resource
from itertools import count
from math import ceil
from random import Random
from time import perf_counter
from typing import cast

import numpy as np

from brackenladder.cluster.live_count import ABSENCE_TIME, MIN_COUNTED_PART
from brackenladder.core.host import EXPIRY_DELAY, Host
from brackenladder.core.roster import number_of
from brackenladder.fleet.clients import Clients
from brackenladder.fleet.discovery import Source, numbered
from brackenladder.fleet.nodes import BOOT, Caller, FleetCall, Module, Node, Surroundings
from brackenladder.fleet.queue import Queue
from brackenladder.fleet.rivals.late import Late
from brackenladder.fleet.rivals.oracle import Oracle
from brackenladder.fleet.servers import Server
from brackenladder.fleet.streams import Streams
from brackenladder.interface import ListKind, State
from brackenladder.membership.listing import Line, Listing
from brackenladder.policy.balancer import Balancer
from brackenladder.rehearsal.events import AnyEvent, Datagram, Event, Fault
from brackenladder.rehearsal.nodes import settings_of as published
from brackenladder.rehearsal.plan import MICRO, RequestPlan, ServerPlan, Step, node_name, plan_of
from brackenladder.rehearsal.runner import FRONT_NOTICE, Result
from brackenladder.rehearsal.scenario import (
    DATAGRAM_FAULTS,
    DISCOVERY_FAULTS,
    LINK_FAULTS,
    Scenario,
    Servers,
)
from brackenladder.rehearsal.scenario import Clients as ClientsTable
from brackenladder.settings import parse_settings

BEGIN = 1_000_000_000_000_000  # of the run, in the queue's time: Unix time, so that starts can be told
MOST_MEMORY = 4 << 30  # bytes that a run may be expected to take
BYTES_A_SERVER = 900  # at each node, seen
BYTES_A_REQUEST = 6_000  # of a run, seen
SHARES = (10, 50, 90)  # percentiles over the nodes
NEVER = 1 << 60  # microseconds until a server that has gone serves
SETTLE = 10 * MICRO  # after the schedule's end, for all that is open
FALLEN = 2 * MICRO  # from a server's fall to its next process
PASSING = (1_000, 10_000)  # microseconds that a datagram takes
LATE = 500_000  # and a late one
SWAPPED = 50_000  # and one that others overtake

KNOWN = 2_850_000  # microseconds until a death is known: the median of `benchmarks/members.py`
LIVING_EVERY = 500_000  # between two counts of the living
NOT_PLAYED = frozenset(("silent-clients", "node-pause", "node-stall", *LINK_FAULTS))


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

    def room(self, server: int, share: float) -> bool:
        return self.servers[server].room(share)


class Fleet:
    """One run. `module` decides in each node: the Balancer, a variant of it, or a rival."""

    def __init__(self, scenario: Scenario, seed: int, module: Module = Balancer) -> None:
        self.scenario = scenario
        self.seed = seed
        self.module = module
        self.plan = plan_of(scenario, seed)
        self.streams = Streams(seed)
        self.queue = Queue(BEGIN - MICRO)
        self.events: list[Event] = []
        self.note = self.events.append
        self.numbers = count()
        self.near = round(1000 * scenario.network.near_ms)
        self.far = round(1000 * scenario.network.far_ms)
        self.plans = {plan.id: plan for plan in self.plan.servers}
        self.steps: dict[str, list[Step]] = {}
        for step in self.plan.steps:
            self.steps.setdefault(step.target, []).append(step)
        self.sources = [
            Source(
                number,
                seed,
                self.queue,
                self.note,
                lambda node, number=number: self.silent(number, node),  # type: ignore[misc]
                scenario.discovery.lines_per_s,
            )
            for number in range(2 * scenario.tiers)
        ]
        self.late = self.streams.of("discovery")
        self.datagrams = self.streams.of("datagrams")
        self.last: dict[str, int] = {}  # when discovery hears of a server's latest change
        self.moved: set[str] = set()
        self.was_up: dict[str, int] = {}  # when each node was up last
        self.leaving: set[str] = set()  # servers that drain or were replaced: they do not come back
        self.zone_of = {node_name(i): scenario.zones[i % len(scenario.zones)] for i in range(scenario.nodes)}
        self.standing: dict[str, Server] = {}
        self.below: dict[str, Node] = {}  # the node of a server, before the next tier
        around = Surroundings(
            self.queue, self.note, self.standing, scenario.zones, self.way, numbered(), self.carry
        )
        for plan in self.plan.servers:
            self.standing[plan.id] = self.server(plan)
        first = [plan for plan in self.plan.servers if plan.born < 0]
        known = []
        for tier in range(scenario.tiers):
            lines = [self.line(plan, State.READY, -1) for plan in first if plan.tier == tier]
            known.append(Listing(ListKind.CACHED, 0, tuple(lines)))
            for source in self.sources[2 * tier : 2 * tier + 2]:
                source.begin_with(lines)
        self.nodes = {
            node_name(i): self.node(
                node_name(i), i, 0, scenario.zones[i % len(scenario.zones)], around, known
            )
            for i in range(scenario.nodes)
        }
        for plan in self.plan.servers:
            if plan.tier + 1 < scenario.tiers:
                self.zone_of[plan.id] = plan.zone
                node = self.node(
                    plan.id, plan.place % scenario.servers.count, plan.tier + 1, plan.zone, around, known
                )
                self.below[plan.id] = node
                self.standing[plan.id].below = Caller(node, self.note)
        self.clients = Clients(scenario, self.queue, BEGIN, self.nodes, self.note, self.near)
        self.counts = self.clients.counts
        self.samples: dict[str, list[float]] = {}

    def server(self, plan: ServerPlan) -> Server:
        s = self.scenario
        return Server(
            plan,
            s.servers,
            s.rules,
            s.classes,
            self.steps.get(plan.id, []),
            self.queue,
            BEGIN,
            self.note,
            lambda: next(self.numbers),
            lambda node, zone=plan.zone: self.way(zone, self.zone_of[node]),  # type: ignore[misc]
            self.fell,
        )

    def node(
        self, name: str, index: int, tier: int, zone: str, around: Surroundings, known: list[Listing]
    ) -> Node:
        """A node that sends to a tier: a client's, or the one of a server of the tier before."""
        s = self.scenario
        table = published(s, index)
        table["tier"] = tier
        table["layers"] = [f"tier {i}" for i in range(s.tiers)]
        table["zone"] = s.zones.index(zone)
        if tier:
            table["group_size"] = s.servers.count
        node = Node(
            name,
            zone,
            parse_settings(table),
            Random(f"node {self.seed} {index if not tier else name}"),
            around,
            self.sources[2 * tier : 2 * tier + 2],
            known[tier],
            self.module,
            s.limits.sockets,
            round(s.limits.connect_ms * 1000),
            round(s.servers.idle_s * MICRO),
            s.limits.event_us,
            s.limits.line_us,
        )
        self.show(node)
        return node

    def show(self, node: Node) -> None:
        """The true state, to a new process whose policy is to see it."""
        if isinstance(node.host.balancer, Oracle | Late):
            node.host.balancer.sight = TrueState(self, node.host)

    # ---- what is between ------------------------------------------------------------------------------

    def way(self, one: str, other: str) -> int:
        """Microseconds from a machine in one zone to one in another."""
        return self.near if one == other else self.far

    def step(self, *kinds: str, target: str = "") -> Step | None:
        """The fault of these kinds, and at this target if one is named, that is on now."""
        time = self.queue.now - BEGIN
        for name in (target,) if target else self.steps:
            for step in self.steps.get(name, ()):
                if step.kind in kinds and step.at <= time < step.end:
                    return step
        return None

    def silent(self, source: int, node: str) -> bool:
        """Whether a node's calls to a discovery go without an answer now."""
        return (
            self.step("silence", target="discovery") is not None
            or self.step("unheard", target=node) is not None
            or (source % 2 == 0 and node in self.moved)
        )

    def carry(self, sender: Node, peer: int, data: bytes) -> None:
        """A datagram from a client's node to others, as the fault of the moment lets it."""
        for number, name in enumerate(self.nodes):
            if name == sender.name or peer not in (-1, number) or sender.name not in self.nodes:
                continue
            step = self.step(*DATAGRAM_FAULTS, target="relay")
            fate, delays = "passed", [round(self.datagrams.uniform(*PASSING))]
            if step is not None and self.datagrams.random() < step.share:
                fate = step.kind.removeprefix("datagrams-")
                if fate == "late":
                    delays = [LATE]
                elif fate == "twice":
                    delays *= 2
                elif fate == "swapped":
                    delays = [SWAPPED if self.datagrams.random() < 0.5 else 0]
                else:
                    delays = []
            self.note(Datagram(self.queue.now, sender.name, name, len(data), fate))
            source = list(self.nodes).index(sender.name)
            for delay in delays:
                self.queue.after(delay, self.deliver, self.nodes[name], source, data)

    def deliver(self, node: Node, source: int, data: bytes) -> None:
        if node.up:
            node.turn(node.host.peer_message, source, data)

    # ---- servers --------------------------------------------------------------------------------------

    def line(self, plan: ServerPlan, state: State, born: int) -> Line:
        """`born`: of its process, in the plan's time; -1: long ago."""
        started = 0 if born < 0 else BEGIN + born
        return Line(plan.id, "model", 1, plan.zone, "std", plan.cell, state, 1.0, started // 1000 * 1000)

    def know(self, plan: ServerPlan, state: State, born: int, late: bool = True) -> None:
        """Discovery hears of a change some time from now, and of a server's changes in their order."""
        low, high = self.scenario.discovery.late_ms
        time = self.queue.now + (round(1000 * self.late.uniform(low, high)) if late else 0)
        time = self.last[plan.id] = max(time, self.last.get(plan.id, 0) + 1)
        self.queue.at(time, self.learn, plan.tier, self.line(plan, state, born))

    def learn(self, tier: int, line: Line) -> None:
        for source in self.sources[2 * tier : 2 * tier + 2]:
            source.put(line)

    def rise(self, plan: ServerPlan, born: int) -> None:
        """A server's process starts, cold unless it stood before the run; so does its node."""
        self.standing[plan.id].rise((BEGIN + born) // 1000 if born >= 0 else 0, cold=born >= 0)
        node = self.below.get(plan.id)
        if node is not None:
            if node.ended:
                node.make()
                self.show(node)
            node.start()

    def born(self, plan: ServerPlan, at: int) -> None:
        if plan.id not in self.leaving and not self.standing[plan.id].alive:
            self.rise(plan, at)
            self.know(plan, State.READY, at)

    def gone(self, plan: ServerPlan) -> None:
        """A server's process has ended, and with it its node."""
        node = self.below.get(plan.id)
        if node is not None:
            node.kill()

    def fell(self, plan: ServerPlan) -> None:
        """A cold server that was pushed over starts anew."""
        self.gone(plan)
        self.know(plan, State.GONE, plan.born)
        at = self.queue.now + FALLEN - BEGIN
        self.queue.after(FALLEN, self.born, plan, at)

    def begin(self, step: Step) -> None:
        """A step's time has come."""
        self.note(Fault(self.queue.now, BEGIN + step.end, step.kind, step.target))
        plan = self.plans.get(step.target)
        if plan is not None:
            self.strike(step, plan)
        elif step.target in self.nodes:
            self.strike_node(step, self.nodes[step.target])
        elif step.kind in DISCOVERY_FAULTS:
            for source in self.sources:
                source.begin(step)
                self.queue.at(BEGIN + step.end, source.end, step)

    def strike(self, step: Step, plan: ServerPlan) -> None:
        server, end = self.standing[plan.id], BEGIN + step.end
        if step.kind in ("restart", "replace", "vanish"):
            if step.kind == "vanish":
                server.vanish()
            else:
                server.die()
            self.gone(plan)
            self.know(plan, State.GONE, plan.born)
            if step.kind == "replace":
                self.leaving.add(plan.id)
            else:
                self.queue.at(end, self.born, plan, step.end)
        elif step.kind in ("drain", "drain-answering"):
            self.leaving.add(plan.id)
            self.know(plan, State.DRAINING, plan.born, late=step.kind == "drain")
            self.queue.at(end, self.ended, plan)
        elif step.kind in ("closed", "backlog", "reset-early"):
            server.drop_idle()

    def ended(self, plan: ServerPlan) -> None:
        """A drained server's end. Its node ends once what it holds is finished: it is asked nothing more."""
        self.standing[plan.id].retire()
        self.know(plan, State.GONE, plan.born)

    def strike_node(self, step: Step, node: Node) -> None:
        """A fault of a client's node."""
        end = BEGIN + step.end
        if step.kind in ("unheard", "silent-watch"):
            for source in self.sources:
                source.drop(node.name, hushed=step.kind == "silent-watch")
        elif step.kind == "node-move":
            self.moved.add(node.name)
            self.sources[0].drop(node.name)
            node.move()
        elif step.kind == "node-kill":
            node.kill()
            self.clients.ended(node.name)
            notice = round(self.scenario.clients.notice_s * MICRO)
            self.queue.after(notice, self.out, node.name)
            self.queue.at(max(end, self.queue.now + notice), self.again, node)
        elif step.kind == "node-term":
            self.queue.after(round(FRONT_NOTICE * MICRO), self.out, node.name)

            def ended() -> None:
                self.clients.ended(node.name)
                self.queue.at(end, self.again, node)

            node.terminate(ended)

    def out(self, node: str) -> None:
        """The front gives a node no new connections."""
        self.clients.taking[node] = False

    def again(self, node: Node) -> None:
        """A node that has ended starts again; the front takes it in once it is ready."""
        node.boot()
        self.show(node)
        self.queue.after(BOOT, self.clients.taking.__setitem__, node.name, True)

    # ---- the run --------------------------------------------------------------------------------------

    def look(self) -> None:
        """Each second: how limits and calls in flight lie over the clients' nodes. It changes nothing."""
        balancers = [node.host.balancer for node in self.nodes.values()]
        stats = [balancer.stats() for balancer in balancers if hasattr(balancer, "stats")]
        for key, name in (("limit", "concurrency_limit"), ("in_flight", "in_flight")):
            values = [float(figures[name]) for figures in stats]
            for share in SHARES:
                found = float(np.percentile(values, share)) if values else 0.0
                self.samples.setdefault(f"{key} p{share}", []).append(found)
        passing = sum(figures["min_rtt_calculation_active"] for figures in stats)
        self.samples.setdefault("in pass", []).append(passing / max(1, len(stats)))
        if self.queue.now + MICRO < BEGIN + self.plan.length:
            self.queue.after(MICRO, self.look)

    def count_living(self) -> None:
        """What the members know of one another, as `cluster/share.py` counts them, a death after KNOWN.

        The detector itself is played by `fleet/members.py`: here its word comes after its usual time.
        """
        now = self.queue.now
        for name, node in self.nodes.items():
            self.was_up[name] = now if node.up else self.was_up.get(name, now)
        there = sum(now - at < KNOWN + ABSENCE_TIME for at in self.was_up.values())
        there = max(there, ceil(MIN_COUNTED_PART * len(self.nodes)))
        for node in self.nodes.values():
            if node.up and node.host.settings.instances != there:
                node.host.set_instances(there)
        if now + LIVING_EVERY < BEGIN + self.plan.length:
            self.queue.after(LIVING_EVERY, self.count_living)

    def feed(self) -> None:
        """The next request that will come; one at a time, so that the queue stays short."""
        request = next(self.coming, None)
        if request is not None:
            self.queue.at(BEGIN + request.at, self.come, request)

    def come(self, request: RequestPlan) -> None:
        self.clients.first(request)
        self.feed()

    def go(self) -> Result:
        """The whole run. A Standstill if time does not go on."""
        began = perf_counter()
        for plan in self.plan.servers:
            if plan.born < 0:
                self.rise(plan, -1)
            else:
                self.queue.at(BEGIN + plan.born, self.born, plan, plan.born)
        for node in self.nodes.values():
            node.start()
        for step in self.plan.steps:
            if step.kind not in NOT_PLAYED:
                self.queue.at(BEGIN + step.at, self.begin, step)
        self.queue.at(BEGIN, self.look)
        if self.scenario.members:
            self.queue.at(BEGIN, self.count_living)
        self.coming = iter(self.plan.requests)
        self.feed()
        collects = gc.isenabled()
        gc.disable()  # what a run keeps is its events, and what it lets go holds no cycles
        try:
            self.queue.run(BEGIN + self.plan.length + SETTLE + EXPIRY_DELAY)
        finally:
            if collects:
                gc.enable()
        events: list[AnyEvent] = self.events  # type: ignore[assignment]
        everyone = [*self.nodes.values(), *self.below.values()]
        return Result(
            plan=self.plan,
            events=events,
            begin=BEGIN,
            seconds=perf_counter() - began,
            memory_kb=resource.getrusage(resource.RUSAGE_SELF).ru_maxrss,
            crashed={node.name: [1] for node in everyone if node.faults},
            counts=self.counts,
            samples=self.samples,
        )


def too_large(scenario: Scenario) -> str:
    """Why a scenario does not fit into memory, as `key: what`; empty if it does.

    Every node knows every server, and every event is kept until the end.
    """
    nodes = scenario.nodes + (scenario.tiers - 1) * scenario.servers.count
    servers = nodes * scenario.servers.count * BYTES_A_SERVER
    requests = scenario.clients.rate * scenario.length_s * scenario.tiers * BYTES_A_REQUEST
    if servers > MOST_MEMORY:
        return f"nodes: with {scenario.servers.count} servers they would take {servers / 2**30:.0f} GB"
    if requests > MOST_MEMORY:
        return f"clients.rate: one run would take {requests / 2**30:.0f} GB"
    return ""


def passed_over(scenario: Scenario) -> list[str]:
    """What of a scenario this model does not play, named."""
    kinds = sorted({fault.kind for fault in scenario.faults} & NOT_PLAYED)
    named = [f"faults of kind '{kind}'" for kind in kinds]
    if scenario.transport != "http":
        named.append(f"transport = '{scenario.transport}': one call a connection, as over http")
    if scenario.discovery.how != "ask":
        named.append(f"discovery.how = '{scenario.discovery.how}': a watch")
    if scenario.clients.body_bytes != ClientsTable().body_bytes:
        named.append("clients.body_bytes: bytes take no time")
    if scenario.servers.report_ms != Servers().report_ms:
        named.append("servers.report_ms: the module reads no load reports")
    return named


def play(scenario: Scenario, seed: int, module: Module = Balancer) -> Result:
    """A scenario in virtual time."""
    return Fleet(scenario, seed, module).go()
