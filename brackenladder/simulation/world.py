"""One simulated system: its machines, its actors, its faults and what is checked while it runs."""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from random import Random

import logbook
from attrs import define, field, frozen

from brackenladder.consensus.members import genesis_replica_id
from brackenladder.consensus.types import Member, Members
from brackenladder.control_plane.wire import control_codec
from brackenladder.registry.records import ServerState
from brackenladder.simulation.errors import Violation
from brackenladder.simulation.history import History, ServerAck
from brackenladder.simulation.isolation import Isolation
from brackenladder.simulation.machines import ControlMachine, GatewayMachine, Site, ViewSeen
from brackenladder.simulation.network import SimulatedNetwork
from brackenladder.simulation.operators import Habits, Operator
from brackenladder.simulation.servers import Lives, Server
from brackenladder.simulation.virtual_loop import MICROSECONDS, VirtualEventLoop

SECOND = MICROSECONDS
CONTACT_TIME = 4 * SECOND  # without faults after which all machines are in touch
CONFIG_TIME = 3 * SECOND  # from an acknowledgement until every gateway in touch follows
DRAIN_TIME = 3 * SECOND
CATCH_UP_TIME = 10 * SECOND  # of calm after which no control node lacks what was committed before
ANSWER_ALONE = SECOND // 2  # longest time without a majority after which orders and reads are answered
WORD_ALONE = 2 * SECOND  # the same for what servers are acknowledged and new gateways are told
MOST_SEEDS = 3
WATCH_SECONDS = 0.25  # between two looks at copies and views


log = logbook.Logger("faults")


@frozen
class Scenario:
    """What a run consists of, beside its faults. Times are seconds."""

    site: Site = Site()
    habits: Habits = Habits()
    lives: Lives = Lives()
    operators: int = 2
    servers: int = 2
    trouble: float = 40.0  # for which faults come
    catch_up: float = 4.0  # from the end of a machine's trouble until it counts again
    calm: float = 0.0  # after the faults, while operators go on
    settle: float = 30.0  # longest time until all is well again


@define
class Coverage:
    """What a run has brought about."""

    faults: Counter[str] = field(factory=Counter)
    meetings: Counter[str] = field(factory=Counter)  # a kind of fault and the role that it met
    strikes: int = 0
    terms: set[int] = field(factory=set)


class World:
    """Everything of one run; made in its event loop."""

    def __init__(
        self,
        loop: VirtualEventLoop,
        seed: int,
        scenario: Scenario,
        machine_type: type[ControlMachine] = ControlMachine,
        gateway_type: type[GatewayMachine] = GatewayMachine,
    ) -> None:
        self.loop = loop
        self.random = Random(seed)
        self.scenario = scenario
        self.network = SimulatedNetwork(loop, control_codec())
        self.history = History()
        self.coverage = Coverage()
        self.disturbed_at = 0  # when the last fault began, struck or ended
        self.disturbances = 0  # faults under way
        site = scenario.site
        self.seeds = seeds = min(MOST_SEEDS, site.control_nodes)
        self._machine_type = machine_type
        self._machine_number = 0
        self.machines: list[ControlMachine] = []
        for _ in range(site.control_nodes):
            self.add_machine()
        self.isolation = Isolation(self.network, self.machines)
        addresses = tuple(machine.inner_address for machine in self.machines[:seeds])
        self.gateways = [
            gateway_type(self.network, self._branch(), number, addresses, site.megabits, self._view_changed)
            for number in range(site.gateways)
        ]
        self.operators = [
            Operator(
                f"operator-{n}",
                self.network,
                self.machines,
                self.history,
                scenario.habits,
                self._branch(),
                self,
            )
            for n in range(scenario.operators)
        ]
        self.servers = [
            Server(
                f"server-{n}",
                n,
                self.network,
                self.machines,
                self.history,
                scenario.lives,
                self._branch(),
                self._server_acknowledged,
            )
            for n in range(scenario.servers)
        ]
        self._shown: dict[tuple[int, int], int] = {}  # revision by gateway and start
        self._committed: deque[tuple[int, int]] = deque()  # time and commit index of the leader then
        self._tasks: list[asyncio.Task[None]] = []
        self._failure: Violation | None = None
        self._decisions: list[asyncio.Future[None]] = []  # who waits for the next one

    @property
    def now(self) -> int:
        """Microseconds of the run."""
        return self.loop.microseconds

    def _branch(self) -> Random:
        return Random(self.random.getrandbits(64))

    def add_machine(self) -> ControlMachine:
        """One more control machine, which does not run yet."""
        site = self.scenario.site
        machine = self._machine_type(
            self.network,
            self._branch(),
            self._machine_number,
            self._seed_addresses,
            (site.control_nodes - 1) // 2,
            site,
        )
        if machine.number >= self.seeds:
            machine.lose_disk()  # no seed: its first disk is no founder's
        self._machine_number += 1
        self.machines.append(machine)
        return machine

    def _seed_addresses(self) -> tuple[str, ...]:
        """What the settings of a process that starts now name."""
        return tuple(machine.control_address for machine in self.machines[:MOST_SEEDS])

    # -- life of the system

    def boot(self) -> None:
        """Starts every machine for the very first time."""
        voters = tuple(
            Member(genesis_replica_id(machine.inner_address), machine.inner_address)
            for machine in self.machines[: self.seeds]
        )
        for machine in self.machines:
            machine.boot(Members(voters=voters) if machine.number < self.seeds else None)
        for gateway in self.gateways:
            gateway.boot()

    def begin(self) -> None:
        """Lets operators, servers and checks begin."""
        self.isolation.update(self.now)
        actors: tuple[Operator | Server, ...] = (*self.operators, *self.servers)
        for actor in actors:
            self._tasks.append(self.loop.create_task(actor.work()))
        self._tasks.append(self.loop.create_task(self._watch()))

    async def end_actors(self) -> None:
        """Operators and servers end what they are at."""
        actors: tuple[Operator | Server, ...] = (*self.operators, *self.servers)
        for actor in actors:
            actor.active = False
        waiting = self._tasks[:-1]
        done, _ = await asyncio.wait(waiting, timeout=60)
        for task in done:
            task.result()

    def raise_failure(self) -> None:
        """Raises what a check or an actor has found so far."""
        if self._failure is not None:
            raise self._failure
        for task in self._tasks:
            if task.done() and not task.cancelled():
                error = task.exception()
                if error is not None:
                    raise error

    # -- faults

    def disturbed(self, kind: str, machine: ControlMachine | None = None) -> None:
        """A fault has struck, begun or ended."""
        log.info("{} {}", kind, "" if machine is None else machine.name)
        self.disturbed_at = self.now
        self.isolation.update(self.now)
        self.coverage.faults[kind] += 1
        if machine is not None:
            role = machine.node.host.replica.role.value if machine.node is not None else "down"
            self.coverage.meetings[f"{kind} of a {role}"] += 1

    def calm_since(self, moment: int) -> bool:
        """Whether no fault was under way from `CONTACT_TIME` before a moment until now."""
        return self.disturbances == 0 and self.disturbed_at <= moment - CONTACT_TIME

    def leader(self) -> ControlMachine | None:
        """The running machine that leads in the highest term, if any takes itself for the leader."""
        leading = [one for one in self.machines if one.runs and one.node is not None and one.node.host.leads]
        return max(leading, key=_term, default=None)

    # -- checks while it runs

    def order_decided(self) -> None:
        """A node has acknowledged an order; its answer is about to leave."""
        waiting, self._decisions = self._decisions, []
        for decision in waiting:
            if not decision.done():
                decision.set_result(None)

    async def next_decision(self) -> None:
        """Returns at the moment at which a node acknowledges an order."""
        decision: asyncio.Future[None] = self.loop.create_future()
        self._decisions.append(decision)
        await decision

    def fail(self, rule: str, detail: str) -> None:
        """Notes the first thing that was found."""
        if self._failure is None:
            self._failure = Violation(rule, f"at {self.now / SECOND:.3f} s: {detail}")

    def _view_changed(self, seen: ViewSeen) -> None:
        self.history.views.append(seen)
        key = (seen.gateway, seen.start)
        if seen.revision <= self._shown.get(key, 0):
            self.fail("gateway-back", f"{seen} after revision {self._shown[key]}")
        self._shown[key] = max(seen.revision, self._shown.get(key, 0))
        order = self.history.order(seen.order)
        if order is not None and order.refused:
            self.fail("refused-in-force", f"gateway {seen.gateway} shows order {order.number}")

    def _server_acknowledged(self, ack: ServerAck) -> None:
        if ack.draining:
            self._check_told(ack)
            self.loop.call_later(DRAIN_TIME / SECOND, self._check_drained, ack)

    def _check_told(self, ack: ServerAck) -> None:
        """What a node that is alone acknowledges is known where a majority is."""
        if not self.isolation.alone_for(ack.answered_at, ack.answered_by):
            return
        alone = self.isolation.alone_for
        with_majority = [one for one in self.machines if one.runs and not alone(self.now, one.name)]
        if with_majority and all(one.counts_ready(ack.server) for one in with_majority):
            self.fail("drain-untold", f"{ack.answered_by} alone has acknowledged {ack.server}")

    def _check_drained(self, ack: ServerAck) -> None:
        if not self.calm_since(ack.answered_at):
            return
        for gateway in self.gateways:
            record = gateway.subscriber.view.servers.get(ack.server)
            if gateway.runs and record is not None and record.state is ServerState.READY:
                self.fail("drain", f"gateway {gateway.number} sends to {ack.server}")

    async def _watch(self) -> None:
        """Gateways in touch follow what was acknowledged."""
        while True:
            await asyncio.sleep(WATCH_SECONDS)
            self._note_terms()
            self.isolation.update(self.now)
            self._check_current()
            self._check_caught_up()

    def check_alone(self) -> None:
        """Nobody has answered, acknowledged or told for long without a majority in reach."""
        for order in self.history.orders:
            if order.answered_by:
                self._check_contact("order-alone", order.answered_by, order.answered_at, ANSWER_ALONE)
        for read in self.history.reads:
            self._check_contact("read-alone", read.answered_by, read.answered_at, ANSWER_ALONE)
        for ack in self.history.acks:
            self._check_contact("ack-alone", ack.answered_by, ack.answered_at, WORD_ALONE)
        for view in self.history.views:
            if view.first:
                self._check_contact("catalog-alone", self._name_at(view.told_by), view.at, WORD_ALONE)

    def _check_contact(self, rule: str, name: str, moment: int, bound: int) -> None:
        alone = self.isolation.alone_for(moment, name)
        if alone > bound:
            raise Violation(rule, f"{name} at {moment / SECOND:.3f} s, alone for {alone / SECOND:.3f} s")

    def _name_at(self, address: str) -> str:
        names = [machine.name for machine in self.machines if machine.inner_address == address]
        return names[0] if names else ""

    def _check_current(self) -> None:
        due = self.now - CONFIG_TIME
        if not self.calm_since(due):
            return
        acknowledged = [
            order.version
            for order in self.history.orders
            if order.acknowledged and order.ended_at is not None and order.ended_at <= due
        ]
        newest = max(acknowledged, default=0)
        for gateway in self.gateways:
            configuration = gateway.subscriber.view.configuration
            version = 0 if configuration is None else configuration.version
            if gateway.runs and version < newest:
                self.fail("config-late", f"gateway {gateway.number} has {version}, {newest} is acknowledged")

    def _check_caught_up(self) -> None:
        """Every control node has applied what was committed `CATCH_UP_TIME` of calm ago."""
        leader = self.leader()
        if leader is not None and leader.node is not None:
            self._committed.append((self.now, leader.node.host.replica.commit_index))
        due = self.now - max(CATCH_UP_TIME, int(self.scenario.catch_up * SECOND))
        while len(self._committed) > 1 and self._committed[1][0] <= due:
            self._committed.popleft()
        if not self._committed or self._committed[0][0] > due or not self.calm_since(due + CONTACT_TIME):
            return
        for machine in self.machines:
            node = machine.node
            if machine.runs and node is not None and node.host.applied_index < self._committed[0][1]:
                detail = f"{machine.name} has applied {node.host.applied_index} of {self._committed[0][1]}"
                self.fail("behind", detail)

    def _note_terms(self) -> None:
        leader = self.leader()
        if leader is not None and leader.node is not None:
            self.coverage.terms.add(leader.node.host.replica.term)


def _term(machine: ControlMachine) -> int:
    return 0 if machine.node is None else machine.node.host.replica.term
