"""Runs the plan of a rehearsal (a test of node processes under load and faults) in virtual time.

The schedule, events and checker are those of a rehearsal with real processes and sockets.
"""

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
from brackenladder.fleet.discovery import Source, call_numbering
from brackenladder.fleet.nodes import START_TIME, Caller, FleetCall, Module, Node, RunContext
from brackenladder.fleet.queue import Queue
from brackenladder.fleet.random_streams import RandomStreams
from brackenladder.fleet.rivals.oracle import Oracle
from brackenladder.fleet.rivals.stale_oracle import StaleOracle
from brackenladder.fleet.servers import Server
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

BEGIN = 1_000_000_000_000_000  # start of the run in Unix microseconds, since lists hold start times
MAX_MEMORY = 4 << 30  # bytes; a run that is estimated to need more is refused
BYTES_PER_SERVER = 900  # estimated memory for each server at each node
BYTES_PER_REQUEST = 6_000  # estimated memory for each request of a run
PERCENTILES = (10, 50, 90)  # percentiles of the nodes' values that are sampled
UNAVAILABLE_WAIT = 1 << 60  # microseconds reported as the wait at a server that is gone
SETTLE = 10 * MICRO  # time after the schedule's end in which open requests may finish
RESTART_DELAY = 2 * MICRO  # time from a server's crash by overload to its restart
DATAGRAM_DELAY = (1_000, 10_000)  # microseconds of delay of a datagram
LATE_DATAGRAM_DELAY = 500_000  # microseconds of delay of a late datagram
SWAPPED_DATAGRAM_DELAY = 50_000  # microseconds of delay of a datagram that later ones overtake

DEATH_KNOWN_AFTER = 2_850_000  # microseconds until a death is known: median in `benchmarks/members.py`
MEMBER_COUNT_INTERVAL = 500_000  # microseconds between two counts of live members
UNSUPPORTED_FAULTS = frozenset(("silent-clients", "node-pause", "node-stall", *LINK_FAULTS))


class TrueState:
    """The true state of the servers, for a policy that is allowed to see it."""

    def __init__(self, fleet: Fleet, host: Host) -> None:
        self.host = host
        self.servers = {number_of(name): server for name, server in fleet.servers_by_id.items()}

    def wait(self, server: int) -> int:
        state = self.servers[server]
        return state.time_to_core() if state.alive else UNAVAILABLE_WAIT

    def work(self, request: int, server: int) -> int:
        call = cast(FleetCall, self.host.calls[request])
        state = self.servers[server]
        return round(state.work_for(call.klass, call.name) / state.speed())

    def room(self, server: int, share: float) -> bool:
        return self.servers[server].room(share)


class Fleet:
    """One run of nodes, servers and clients.

    `module`: policy of each node, which is the Balancer, a variant of it or a baseline.
    """

    def __init__(self, scenario: Scenario, seed: int, module: Module = Balancer) -> None:
        self.scenario = scenario
        self.seed = seed
        self.module = module
        self.plan = plan_of(scenario, seed)
        self.streams = RandomStreams(seed)
        self.queue = Queue(BEGIN - MICRO)
        self.events: list[Event] = []
        self.record = self.events.append
        self.numbers = count()
        self.near_delay = round(1000 * scenario.network.near_ms)
        self.far_delay = round(1000 * scenario.network.far_ms)
        self.plans = {plan.id: plan for plan in self.plan.servers}
        self.steps: dict[str, list[Step]] = {}
        for step in self.plan.steps:
            self.steps.setdefault(step.target, []).append(step)
        self.sources = [
            Source(
                number,
                seed,
                self.queue,
                self.record,
                lambda node, number=number: self.is_silent(number, node),  # type: ignore[misc]
                scenario.discovery.lines_per_s,
            )
            for number in range(2 * scenario.tiers)
        ]
        self.listing_delays = self.streams.stream("discovery")
        self.datagram_draws = self.streams.stream("datagrams")
        self.listed_at: dict[str, int] = {}  # time at which discovery learns a server's latest change
        self.moved_nodes: set[str] = set()
        self.last_up: dict[str, int] = {}  # time at which each node was last up
        self.not_returning: set[str] = set()  # servers that drain or were replaced, and are not restarted
        self.zone_of = {node_name(i): scenario.zones[i % len(scenario.zones)] for i in range(scenario.nodes)}
        self.servers_by_id: dict[str, Server] = {}
        self.server_nodes: dict[str, Node] = {}  # node through which a server calls the next tier
        context = RunContext(
            self.queue,
            self.record,
            self.servers_by_id,
            scenario.zones,
            self.link_delay,
            call_numbering(),
            self.send_datagram,
        )
        for plan in self.plan.servers:
            self.servers_by_id[plan.id] = self.new_server(plan)
        first = [plan for plan in self.plan.servers if plan.born < 0]
        known = []
        for tier in range(scenario.tiers):
            lines = [self.list_line(plan, State.READY, -1) for plan in first if plan.tier == tier]
            known.append(Listing(ListKind.CACHED, 0, tuple(lines)))
            for source in self.sources[2 * tier : 2 * tier + 2]:
                source.set_initial_lines(lines)
        self.nodes = {
            node_name(i): self.new_node(
                node_name(i), i, 0, scenario.zones[i % len(scenario.zones)], context, known
            )
            for i in range(scenario.nodes)
        }
        for plan in self.plan.servers:
            if plan.tier + 1 < scenario.tiers:
                self.zone_of[plan.id] = plan.zone
                node = self.new_node(
                    plan.id, plan.place % scenario.servers.count, plan.tier + 1, plan.zone, context, known
                )
                self.server_nodes[plan.id] = node
                self.servers_by_id[plan.id].next_tier = Caller(node, self.record)
        self.clients = Clients(scenario, self.queue, BEGIN, self.nodes, self.record, self.near_delay)
        self.counts = self.clients.counts
        self.samples: dict[str, list[float]] = {}

    def new_server(self, plan: ServerPlan) -> Server:
        s = self.scenario
        return Server(
            plan,
            s.servers,
            s.rules,
            s.classes,
            self.steps.get(plan.id, []),
            self.queue,
            BEGIN,
            self.record,
            lambda: next(self.numbers),
            lambda node, zone=plan.zone: self.link_delay(zone, self.zone_of[node]),  # type: ignore[misc]
            self.on_cold_server_overloaded,
        )

    def new_node(
        self, name: str, index: int, tier: int, zone: str, context: RunContext, known: list[Listing]
    ) -> Node:
        """Creates a node that sends to a tier, for clients or for a server of the previous tier."""
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
            context,
            self.sources[2 * tier : 2 * tier + 2],
            known[tier],
            self.module,
            s.limits.sockets,
            round(s.limits.connect_ms * 1000),
            round(s.servers.idle_s * MICRO),
            s.limits.event_us,
            s.limits.line_us,
        )
        self.give_true_state(node)
        return node

    def give_true_state(self, node: Node) -> None:
        """Gives a new process the true state if its policy uses it."""
        if isinstance(node.host.balancer, Oracle | StaleOracle):
            node.host.balancer.true_state = TrueState(self, node.host)

    # ---- network --------------------------------------------------------------------------------------

    def link_delay(self, one: str, other: str) -> int:
        """Network delay in microseconds between machines in two zones."""
        return self.near_delay if one == other else self.far_delay

    def active_fault(self, *kinds: str, target: str = "") -> Step | None:
        """The active fault of these kinds, at `target` if given, or None."""
        time = self.queue.now - BEGIN
        for name in (target,) if target else self.steps:
            for step in self.steps.get(name, ()):
                if step.kind in kinds and step.at <= time < step.end:
                    return step
        return None

    def is_silent(self, source: int, node: str) -> bool:
        """Whether a discovery source currently leaves a node's calls unanswered."""
        return (
            self.active_fault("silence", target="discovery") is not None
            or self.active_fault("unheard", target=node) is not None
            or (source % 2 == 0 and node in self.moved_nodes)
        )

    def send_datagram(self, sender: Node, peer: int, data: bytes) -> None:
        """Sends a datagram from a client's node to one or all others, subject to the active fault."""
        for number, name in enumerate(self.nodes):
            if name == sender.name or peer not in (-1, number) or sender.name not in self.nodes:
                continue
            step = self.active_fault(*DATAGRAM_FAULTS, target="relay")
            fate, delays = "passed", [round(self.datagram_draws.uniform(*DATAGRAM_DELAY))]
            if step is not None and self.datagram_draws.random() < step.share:
                fate = step.kind.removeprefix("datagrams-")
                if fate == "late":
                    delays = [LATE_DATAGRAM_DELAY]
                elif fate == "twice":
                    delays *= 2
                elif fate == "swapped":
                    delays = [SWAPPED_DATAGRAM_DELAY if self.datagram_draws.random() < 0.5 else 0]
                else:
                    delays = []
            self.record(Datagram(self.queue.now, sender.name, name, len(data), fate))
            source = list(self.nodes).index(sender.name)
            for delay in delays:
                self.queue.after(delay, self.deliver_datagram, self.nodes[name], source, data)

    def deliver_datagram(self, node: Node, source: int, data: bytes) -> None:
        if node.up:
            node.schedule_event(node.host.peer_message, source, data)

    # ---- servers --------------------------------------------------------------------------------------

    def list_line(self, plan: ServerPlan, state: State, born: int) -> Line:
        """A server's line in the list. `born`: start of its process in plan time; -1: before the run."""
        started = 0 if born < 0 else BEGIN + born
        return Line(plan.id, "model", 1, plan.zone, "std", plan.cell, state, 1.0, started // 1000 * 1000)

    def schedule_listing(self, plan: ServerPlan, state: State, born: int, delayed: bool = True) -> None:
        """Schedules a change at discovery after a random delay; a server's changes stay in order."""
        low, high = self.scenario.discovery.late_ms
        time = self.queue.now + (round(1000 * self.listing_delays.uniform(low, high)) if delayed else 0)
        time = self.listed_at[plan.id] = max(time, self.listed_at.get(plan.id, 0) + 1)
        self.queue.at(time, self.publish_line, plan.tier, self.list_line(plan, state, born))

    def publish_line(self, tier: int, line: Line) -> None:
        for source in self.sources[2 * tier : 2 * tier + 2]:
            source.update_line(line)

    def start_server(self, plan: ServerPlan, born: int) -> None:
        """Starts a server's process, cold unless it ran before the run, and its node."""
        self.servers_by_id[plan.id].start((BEGIN + born) // 1000 if born >= 0 else 0, cold=born >= 0)
        node = self.server_nodes.get(plan.id)
        if node is not None:
            if node.ended:
                node.new_process()
                self.give_true_state(node)
            node.start()

    def restart_server(self, plan: ServerPlan, at: int) -> None:
        if plan.id not in self.not_returning and not self.servers_by_id[plan.id].alive:
            self.start_server(plan, at)
            self.schedule_listing(plan, State.READY, at)

    def kill_server_node(self, plan: ServerPlan) -> None:
        """Kills the node of a server whose process has ended."""
        node = self.server_nodes.get(plan.id)
        if node is not None:
            node.kill()

    def on_cold_server_overloaded(self, plan: ServerPlan) -> None:
        """Restarts a cold server that crashed by overload."""
        self.kill_server_node(plan)
        self.schedule_listing(plan, State.GONE, plan.born)
        at = self.queue.now + RESTART_DELAY - BEGIN
        self.queue.after(RESTART_DELAY, self.restart_server, plan, at)

    def begin_fault(self, step: Step) -> None:
        """Records the start of a fault and applies it to the target server, node or discovery services."""
        self.record(Fault(self.queue.now, BEGIN + step.end, step.kind, step.target))
        plan = self.plans.get(step.target)
        if plan is not None:
            self.apply_server_fault(step, plan)
        elif step.target in self.nodes:
            self.apply_node_fault(step, self.nodes[step.target])
        elif step.kind in DISCOVERY_FAULTS:
            for source in self.sources:
                source.begin_fault(step)
                self.queue.at(BEGIN + step.end, source.end_fault, step)

    def apply_server_fault(self, step: Step, plan: ServerPlan) -> None:
        server, end = self.servers_by_id[plan.id], BEGIN + step.end
        if step.kind in ("restart", "replace", "vanish"):
            if step.kind == "vanish":
                server.vanish()
            else:
                server.crash()
            self.kill_server_node(plan)
            self.schedule_listing(plan, State.GONE, plan.born)
            if step.kind == "replace":
                self.not_returning.add(plan.id)
            else:
                self.queue.at(end, self.restart_server, plan, step.end)
        elif step.kind in ("drain", "drain-answering"):
            self.not_returning.add(plan.id)
            self.schedule_listing(plan, State.DRAINING, plan.born, delayed=step.kind == "drain")
            self.queue.at(end, self.finish_drain, plan)
        elif step.kind in ("closed", "backlog", "reset-early"):
            server.reset_idle()

    def finish_drain(self, plan: ServerPlan) -> None:
        """Ends a drained server; the node beside it gets no new calls and finishes its open ones."""
        self.servers_by_id[plan.id].stop_accepting()
        self.schedule_listing(plan, State.GONE, plan.born)

    def apply_node_fault(self, step: Step, node: Node) -> None:
        """Applies a fault to a node that clients call, for example a kill or unanswered discovery calls."""
        end = BEGIN + step.end
        if step.kind in ("unheard", "silent-watch"):
            for source in self.sources:
                source.drop_calls(node.name, hushed=step.kind == "silent-watch")
        elif step.kind == "node-move":
            self.moved_nodes.add(node.name)
            self.sources[0].drop_calls(node.name)
            node.reload_other_source()
        elif step.kind == "node-kill":
            node.kill()
            self.clients.node_ended(node.name)
            notice = round(self.scenario.clients.notice_s * MICRO)
            self.queue.after(notice, self.stop_new_connections, node.name)
            self.queue.at(max(end, self.queue.now + notice), self.restart_node, node)
        elif step.kind == "node-term":
            self.queue.after(round(FRONT_NOTICE * MICRO), self.stop_new_connections, node.name)

            def ended() -> None:
                self.clients.node_ended(node.name)
                self.queue.at(end, self.restart_node, node)

            node.terminate(ended)

    def stop_new_connections(self, node: str) -> None:
        """Makes the load balancer in front of the nodes give a node no new connections."""
        self.clients.accepting[node] = False

    def restart_node(self, node: Node) -> None:
        """Restarts a node; it gets new connections again once it is ready."""
        node.boot()
        self.give_true_state(node)
        self.queue.after(START_TIME, self.clients.accepting.__setitem__, node.name, True)

    # ---- the run --------------------------------------------------------------------------------------

    def sample_nodes(self) -> None:
        """Samples the distribution of limits and calls in flight over the clients' nodes every second."""
        balancers = [node.host.balancer for node in self.nodes.values()]
        stats = [balancer.stats() for balancer in balancers if hasattr(balancer, "stats")]
        for key, name in (("limit", "concurrency_limit"), ("in_flight", "in_flight")):
            values = [float(figures[name]) for figures in stats]
            for percentile in PERCENTILES:
                found = float(np.percentile(values, percentile)) if values else 0.0
                self.samples.setdefault(f"{key} p{percentile}", []).append(found)
        measuring = sum(figures["min_rtt_calculation_active"] for figures in stats)
        self.samples.setdefault("in pass", []).append(measuring / max(1, len(stats)))
        if self.queue.now + MICRO < BEGIN + self.plan.length:
            self.queue.after(MICRO, self.sample_nodes)

    def update_member_counts(self) -> None:
        """Tells nodes the number of live members, counted like `cluster/share.py`.

        Deaths become known after DEATH_KNOWN_AFTER. The detector itself is simulated by
        `fleet/detector_network.py`.
        """
        now = self.queue.now
        for name, node in self.nodes.items():
            self.last_up[name] = now if node.up else self.last_up.get(name, now)
        instances = sum(now - at < DEATH_KNOWN_AFTER + ABSENCE_TIME for at in self.last_up.values())
        instances = max(instances, ceil(MIN_COUNTED_PART * len(self.nodes)))
        for node in self.nodes.values():
            if node.up and node.host.settings.instances != instances:
                node.host.set_instances(instances)
        if now + MEMBER_COUNT_INTERVAL < BEGIN + self.plan.length:
            self.queue.after(MEMBER_COUNT_INTERVAL, self.update_member_counts)

    def schedule_next_request(self) -> None:
        """Schedules the next planned request; one at a time, to keep the queue short."""
        request = next(self.remaining_requests, None)
        if request is not None:
            self.queue.at(BEGIN + request.at, self.start_request, request)

    def start_request(self, request: RequestPlan) -> None:
        self.clients.send_first(request)
        self.schedule_next_request()

    def run(self) -> Result:
        """Executes the whole run; raises Standstill if virtual time stops."""
        began = perf_counter()
        for plan in self.plan.servers:
            if plan.born < 0:
                self.start_server(plan, -1)
            else:
                self.queue.at(BEGIN + plan.born, self.restart_server, plan, plan.born)
        for node in self.nodes.values():
            node.start()
        for step in self.plan.steps:
            if step.kind not in UNSUPPORTED_FAULTS:
                self.queue.at(BEGIN + step.at, self.begin_fault, step)
        self.queue.at(BEGIN, self.sample_nodes)
        if self.scenario.members:
            self.queue.at(BEGIN, self.update_member_counts)
        self.remaining_requests = iter(self.plan.requests)
        self.schedule_next_request()
        collects = gc.isenabled()
        gc.disable()  # useless here: a run keeps all events, and what it frees has no cycles
        try:
            self.queue.run(BEGIN + self.plan.length + SETTLE + EXPIRY_DELAY)
        finally:
            if collects:
                gc.enable()
        events: list[AnyEvent] = self.events  # type: ignore[assignment]
        everyone = [*self.nodes.values(), *self.server_nodes.values()]
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
    """Why a scenario is expected to exceed MAX_MEMORY, as `key: reason`; empty if it is not.

    Every node knows every server, and every event is kept until the end.
    """
    nodes = scenario.nodes + (scenario.tiers - 1) * scenario.servers.count
    servers = nodes * scenario.servers.count * BYTES_PER_SERVER
    requests = scenario.clients.rate * scenario.length_s * scenario.tiers * BYTES_PER_REQUEST
    if servers > MAX_MEMORY:
        return f"nodes: with {scenario.servers.count} servers they would take {servers / 2**30:.0f} GB"
    if requests > MAX_MEMORY:
        return f"clients.rate: one run would take {requests / 2**30:.0f} GB"
    return ""


def unsupported(scenario: Scenario) -> list[str]:
    """Names the parts of a scenario that this model does not simulate."""
    kinds = sorted({fault.kind for fault in scenario.faults} & UNSUPPORTED_FAULTS)
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
    """Runs a scenario in virtual time with `module` as the policy of each node; returns the result."""
    return Fleet(scenario, seed, module).run()
