"""One simulated system: its machines and actors, and when faults were active."""

from __future__ import annotations

import asyncio
from random import Random

import logbook

from brackenladder.consensus.members import genesis_replica_id
from brackenladder.consensus.types import Member, Members
from brackenladder.control_plane.wire import control_codec
from brackenladder.simulation.history import History
from brackenladder.simulation.isolation import Isolation
from brackenladder.simulation.live_checks import CONTACT_TIME, LiveChecks
from brackenladder.simulation.machines import ControlMachine, GatewayMachine, leading_machine
from brackenladder.simulation.network import SimulatedNetwork
from brackenladder.simulation.operators import Operator
from brackenladder.simulation.scenario import SECOND, Coverage, Scenario
from brackenladder.simulation.servers import Server
from brackenladder.simulation.virtual_loop import VirtualEventLoop

MAX_SEEDS = 3
WATCH_SECONDS = 0.25  # interval of the live checks of nodes and gateways

log = logbook.Logger("faults")


class World:
    """All parts of one run. Has to be created within its event loop."""

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
        self.last_fault_event_at = 0  # time at which a fault last began, occurred or ended
        self.active_faults = 0  # number of faults that have not ended
        site = scenario.site
        self.seeds = seeds = min(MAX_SEEDS, site.control_nodes)
        self._machine_type = machine_type
        self._machine_number = 0
        self.machines: list[ControlMachine] = []
        for _ in range(site.control_nodes):
            self.add_machine()
        self.isolation = Isolation(self.network, self.machines)
        addresses = tuple(machine.inner_address for machine in self.machines[:seeds])
        self.gateways: list[GatewayMachine] = []
        self._checks = LiveChecks(
            loop,
            self.history,
            self.machines,
            self.gateways,
            self.isolation,
            self.undisturbed_since,
            int(scenario.catch_up * SECOND),
        )
        self.network.report_held_call = lambda detail: self.fail("call-held", detail)
        self.gateways += [
            gateway_type(
                self.network,
                self._derive_random(),
                number,
                addresses,
                site.megabits,
                self._checks.view_changed,
            )
            for number in range(site.gateways)
        ]
        self.operators = [
            Operator(
                f"operator-{n}",
                self.network,
                self.machines,
                self.history,
                scenario.operator_settings,
                self._derive_random(),
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
                scenario.server_lifetimes,
                self._derive_random(),
                self._checks.server_acknowledged,
            )
            for n in range(scenario.servers)
        ]
        self._tasks: list[asyncio.Task[None]] = []
        self._decision_waiters: list[asyncio.Future[None]] = []  # waiters for the next acknowledged order
        self._call_waiters: list[asyncio.Future[ControlMachine]] = []  # for the next call that begins
        self._request_waiters: list[asyncio.Future[ControlMachine]] = []  # for the next request that is sent

    @property
    def now(self) -> int:
        """Microseconds since the start of the run."""
        return self.loop.microseconds

    def _derive_random(self) -> Random:
        return Random(self.random.getrandbits(64))

    def add_machine(self) -> ControlMachine:
        """Adds a control machine, which is not started yet."""
        site = self.scenario.site
        machine = self._machine_type(
            self.network,
            self._derive_random(),
            self._machine_number,
            self._seed_addresses,
            (site.control_nodes - 1) // 2,
            site,
        )
        if machine.number >= self.seeds:
            machine.lose_disk()  # all machines but the seeds start with an empty disk
        self._machine_number += 1
        self.machines.append(machine)
        return machine

    def _seed_addresses(self) -> tuple[str, ...]:
        """Returns the seed addresses in the settings of a process that starts now."""
        return tuple(machine.control_address for machine in self.machines[:MAX_SEEDS])

    # -- lifecycle

    def boot(self) -> None:
        """Starts every machine for the first time."""
        voters = tuple(
            Member(genesis_replica_id(machine.inner_address), machine.inner_address)
            for machine in self.machines[: self.seeds]
        )
        for machine in self.machines:
            machine.boot(Members(voters=voters) if machine.number < self.seeds else None)
        for gateway in self.gateways:
            gateway.boot()

    def start_actors(self) -> None:
        """Starts the tasks of the operators, the servers and the periodic checks."""
        self.isolation.update(self.now)
        actors: tuple[Operator | Server, ...] = (*self.operators, *self.servers)
        for actor in actors:
            self._tasks.append(self.loop.create_task(actor.run()))
        self._tasks.append(self.loop.create_task(self._run_checks()))

    async def stop_actors(self) -> None:
        """Lets operators and servers finish and waits for them."""
        actors: tuple[Operator | Server, ...] = (*self.operators, *self.servers)
        for actor in actors:
            actor.active = False
        waiting = self._tasks[:-1]
        done, _ = await asyncio.wait(waiting, timeout=60)
        for task in done:
            task.result()

    def fail(self, rule: str, detail: str) -> None:
        """Records a violation found by an actor."""
        self._checks.fail(rule, detail)

    def raise_failure(self) -> None:
        """Raises the first error that a check or an actor has found so far."""
        if self._checks.failure is not None:
            raise self._checks.failure
        for task in self._tasks:
            if task.done() and not task.cancelled():
                error = task.exception()
                if error is not None:
                    raise error

    # -- faults

    def record_fault_event(self, kind: str, machine: ControlMachine | None = None) -> None:
        """Records that a fault has occurred, begun or ended."""
        log.info("{} {}", kind, "" if machine is None else machine.name)
        self.last_fault_event_at = self.now
        self.isolation.update(self.now)
        self.coverage.faults[kind] += 1
        if machine is not None:
            role = machine.node.host.replica.role.value if machine.node is not None else "down"
            self.coverage.faults_by_role[f"{kind} of a {role}"] += 1

    def undisturbed_since(self, moment: int) -> bool:
        """Whether no fault has been active since `CONTACT_TIME` before a moment."""
        return self.active_faults == 0 and self.last_fault_event_at <= moment - CONTACT_TIME

    def leader(self) -> ControlMachine | None:
        """Returns the running machine that leads in the highest term, or None."""
        return leading_machine(self.machines)

    # -- observation

    def order_decided(self) -> None:
        """Handles an order that a node has acknowledged and is about to reply to."""
        waiting, self._decision_waiters = self._decision_waiters, []
        for decision in waiting:
            if not decision.done():
                decision.set_result(None)

    def call_begins(self, machine: ControlMachine) -> None:
        """Handles a call that an operator is about to make to a machine."""
        _wake_all(self._call_waiters, machine)

    def request_sent(self, machine: ControlMachine) -> None:
        """Handles an operator's request that is about to leave for a machine."""
        _wake_all(self._request_waiters, machine)

    async def next_call(self) -> ControlMachine:
        """Waits until an operator is about to make a call, and returns the machine that it calls."""
        waiter: asyncio.Future[ControlMachine] = self.loop.create_future()
        self._call_waiters.append(waiter)
        return await waiter

    async def next_request(self) -> ControlMachine:
        """Waits until an operator's request leaves, and returns the machine that it is sent to."""
        waiter: asyncio.Future[ControlMachine] = self.loop.create_future()
        self._request_waiters.append(waiter)
        return await waiter

    async def next_decision(self) -> None:
        """Waits until a node acknowledges an order."""
        decision: asyncio.Future[None] = self.loop.create_future()
        self._decision_waiters.append(decision)
        await decision

    async def _run_checks(self) -> None:
        """Periodically recomputes which machines are isolated, and runs the live checks."""
        while True:
            await asyncio.sleep(WATCH_SECONDS)
            self._note_terms()
            self.isolation.update(self.now)
            self._checks.check()

    def _note_terms(self) -> None:
        leader = self.leader()
        if leader is not None and leader.node is not None:
            self.coverage.terms.add(leader.node.host.replica.term)


def _wake_all(waiters: list[asyncio.Future[ControlMachine]], machine: ControlMachine) -> None:
    for waiter in waiters:
        if not waiter.done():
            waiter.set_result(machine)
    waiters.clear()
