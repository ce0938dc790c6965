"""Operators that change the configuration, evacuate zones and read back, and retry when calls fail."""

from __future__ import annotations

import asyncio
from functools import partial
from random import Random
from typing import Protocol

from attrs import frozen
from returns.result import Success

from brackenladder.catalog.orders import (
    BeginEvacuation,
    FinishEvacuation,
    Order,
    ReplaceConfiguration,
    UpdateConfiguration,
    encode_order,
)
from brackenladder.control_plane.control_node import ControlNode
from brackenladder.control_plane.messages import OrderOutcome, OrderReply
from brackenladder.simulation.caller_connections import CallerConnection
from brackenladder.simulation.calls import Answer, Call, make_call
from brackenladder.simulation.documents import invalid, read_back, replacement, update
from brackenladder.simulation.history import History, OrderRecord, Outcome, ReadRecord
from brackenladder.simulation.machines import ZONES, ControlMachine
from brackenladder.simulation.network import SimulatedNetwork
from brackenladder.simulation.virtual_loop import MICROSECONDS, Process

ANSWER_TIMEOUT_SECONDS = 1.0  # timeout for an answer, in addition to the transfer time of a large body
FIRST_PAUSE_SECONDS = 0.1  # pause before a call is repeated; it doubles each time
LONGEST_PAUSE_SECONDS = 1.0
EVACUATION_SECONDS = 5.0  # time for which an evacuation order is retried
ORDER_BYTES = 300
BITS_PER_BYTE = 8
MAX_REDIRECTS = 2
KEPT_SHARE = 0.5  # share of the connections that are kept for a later call after an answer
LATEST_CLOSE_SECONDS = 12.0  # a call that was given up closes its connection within this time

OUTCOMES = {
    OrderOutcome.ACCEPTED: Outcome.ACKNOWLEDGED,
    OrderOutcome.CONFLICT: Outcome.CONFLICT,
    OrderOutcome.INVALID: Outcome.INVALID,
}


@frozen
class OperatorSettings:
    """How often operators do what. Shares are fractions of their actions unless noted otherwise."""

    pause: float = 0.5  # mean seconds between two actions
    in_flight: int = 2  # concurrent actions of one operator
    updates: float = 0.3  # fraction of the configurations sent as an update
    invalid: float = 0.1  # fraction of the configurations that are invalid
    evacuations: float = 0.15
    evacuated_zones: int = len(ZONES)  # number of zones that are evacuated
    abandoned: float = 0.0  # fraction of the evacuation orders that are given up if their first call fails
    reads: float = 0.15
    repeats: float = 0.1  # share of actions that send an answered order again
    answers_lost: float = 0.1
    late_closes: float = 0.3  # fraction of the calls without an answer whose connection is closed late
    max_configuration_bytes: int = 2_000  # maximum size of a configuration
    retry_seconds: float = 12.0  # time for which a configuration without a definite answer is retried


class OrderObserver(Protocol):
    """Receives what operators observe."""

    def order_decided(self) -> None:
        """Handles an order that a node has acknowledged and is about to reply to."""

    def call_begins(self, machine: ControlMachine) -> None:
        """Handles a call that an operator is about to make to a machine."""

    def request_sent(self, machine: ControlMachine) -> None:
        """Handles an operator's request that is about to leave for a machine."""

    def fail(self, rule: str, detail: str) -> None:
        """Reports a broken rule."""


class Operator:
    """Changes and reads the configuration and evacuates zones, by calls to any control node."""

    def __init__(
        self,
        name: str,
        network: SimulatedNetwork,
        machines: list[ControlMachine],
        history: History,
        operator_settings: OperatorSettings,
        random: Random,
        observer: OrderObserver,
    ) -> None:
        self.name = name
        self.operator_settings = operator_settings
        self.active = True
        self._network = network
        self._machines = machines
        self._history = history
        self._random = random
        self._observer = observer
        self._known_version = 0
        self._kept: dict[str, CallerConnection] = {}  # idle connections, by the name of the machine
        self._zone_locks = {zone: asyncio.Lock() for zone in ZONES}
        network.add_endpoint(name, "north", 1000.0).process = Process(name)

    async def run(self) -> None:
        """Acts until `active` is cleared, then waits for the actions in progress."""
        under_way: set[asyncio.Task[None]] = set()
        while self.active:
            if len(under_way) < self.operator_settings.in_flight:
                under_way.add(asyncio.get_running_loop().create_task(self._act()))
            await asyncio.sleep(self.operator_settings.pause * self._random.uniform(0.3, 1.7))
            under_way = {task for task in under_way if not task.done()}
        await asyncio.gather(*under_way)

    async def read(self) -> ReadRecord | None:
        """Reads the configuration back from one node."""
        invoked_at = self._now()
        call: Call[bytes | None] = self._call(self._choose_machine(), _fetch)
        document = await self._ask(call, ORDER_BYTES, ANSWER_TIMEOUT_SECONDS)
        if document is None:
            return None
        version, order = read_back(document)
        record = ReadRecord(
            self.name, invoked_at, self._now(), version, order, call.machine.name, call.answered_at
        )
        self._history.reads.append(record)
        self._known_version = max(self._known_version, version)
        return record

    async def configure(self, size: int = 0) -> OrderRecord:
        """Sends one configuration based on the newest version that this operator knows."""
        record = self._configuration(size)
        await self._submit_until_answered(record, self.operator_settings.retry_seconds)
        return record

    async def _act(self) -> None:
        operator_settings = self.operator_settings
        draw = self._random.random()
        if draw < operator_settings.reads:
            await self.read()
        elif draw < operator_settings.reads + operator_settings.evacuations:
            await self._evacuate()
        elif draw < operator_settings.reads + operator_settings.evacuations + operator_settings.repeats:
            await self._repeat()
        else:
            await self.configure(self._random.randint(0, operator_settings.max_configuration_bytes))

    # -- orders

    def _configuration(self, size: int) -> OrderRecord:
        random, operator_settings = self._random, self.operator_settings
        base = self._known_version
        version = base + random.randint(1, 3)
        number = len(self._history.orders) + 1
        valid = random.random() >= operator_settings.invalid
        order: Order
        if not valid:
            order = ReplaceConfiguration(base, invalid(number, version))
        elif base and random.random() < operator_settings.updates:
            order = UpdateConfiguration(base, update(number, version))
        else:
            order = ReplaceConfiguration(base, replacement(number, version, size))
        return self._record(order, version, valid)

    async def _evacuate(self) -> None:
        zone = self._random.choice(tuple(ZONES)[: self.operator_settings.evacuated_zones])
        async with self._zone_locks[zone]:
            order: Order = BeginEvacuation(zone) if self._random.random() < 0.5 else FinishEvacuation(zone)
            abandoned = self._random.random() < self.operator_settings.abandoned
            retry_seconds = 0.0 if abandoned else EVACUATION_SECONDS
            await self._submit_until_answered(self._record(order, 0, True), retry_seconds)

    def _record(self, order: Order, version: int, valid: bool) -> OrderRecord:
        number = len(self._history.orders) + 1
        record = OrderRecord(number, self.name, order, version, self._now(), valid)
        self._history.orders.append(record)
        return record

    async def _submit_until_answered(self, record: OrderRecord, retry_seconds: float) -> None:
        """Sends an order to one node after the other until there is a definite answer."""
        until = self._now() + int(retry_seconds * MICROSECONDS)
        pause = FIRST_PAUSE_SECONDS
        await self._send(record)
        while record.ended_at is None and self._now() < until:
            await asyncio.sleep(pause * self._random.uniform(0.5, 1.0))
            pause = min(2 * pause, LONGEST_PAUSE_SECONDS)
            await self._send(record)
        if record.ended_at is None:
            record.given_up_at = self._now()

    async def _send(self, record: OrderRecord) -> None:
        record.calls += 1
        machine = self._choose_machine(record.sent_to)
        record.sent_to = machine.name
        reply, call = await self._submit(machine, record.order)
        outcome = OUTCOMES.get(reply.outcome) if reply is not None else None
        if reply is None or outcome is None:
            return
        record.outcome = outcome
        record.ended_at = self._now()
        record.reply_version = reply.version
        record.applied_index = reply.applied_index
        record.answered_by = machine.name
        record.answered_at = call.answered_at
        if outcome is not Outcome.INVALID:
            self._known_version = max(self._known_version, reply.version)

    async def _submit(
        self, machine: ControlMachine, order: Order
    ) -> tuple[OrderReply | None, Call[OrderReply]]:
        """Sends an order to one node, and again if the node redirects the call to itself."""
        size = ORDER_BYTES + len(encode_order(order))
        transfer = size * BITS_PER_BYTE / (machine.endpoint.megabits * MICROSECONDS)
        for _ in range(1 + MAX_REDIRECTS):
            call: Call[OrderReply] = self._call(machine, None)
            call.work = partial(self._decide, order, call)
            call.answer_lost = self._random.random() < self.operator_settings.answers_lost
            reply = await self._ask(call, size, ANSWER_TIMEOUT_SECONDS + 4 * transfer)
            if reply is None or not reply.outdated:
                break
        return reply, call

    async def _decide(self, order: Order, call: Call[OrderReply], node: ControlNode) -> OrderReply:
        """Decides an order; runs in the node's process."""
        reply = await _submit(node, order, call.fence)
        if reply.outcome is OrderOutcome.ACCEPTED:
            self._observer.order_decided()
        return reply

    async def _repeat(self) -> None:
        """Repeats an own order that was acknowledged or refused; the answer must be the same."""
        own = [
            record
            for record in self._history.orders
            if record.operator == self.name and record.version and (record.acknowledged or record.refused)
        ]
        if not own:
            return
        record = self._random.choice(own[-3:] if self._random.random() < 0.5 else own)
        reply, _ = await self._submit(self._choose_machine(), record.order)
        if reply is None or reply.outcome is OrderOutcome.UNAVAILABLE:
            return
        accepted = reply.outcome is OrderOutcome.ACCEPTED
        if accepted != record.acknowledged:
            self._observer.fail("repeated-order", f"order {record.number} was {record.outcome}, now {reply}")

    # -- calls

    async def _ask(self, call: Call[Answer], size: int, timeout_seconds: float) -> Answer | None:
        """Makes a call on a kept or a new connection; returns None if no answer comes."""
        self._observer.call_begins(call.machine)
        connection = self._kept.pop(call.machine.name, None)
        if connection is None or not connection.usable:
            connection = CallerConnection(self._network, self.name, call.machine, self._random)
            try:
                async with asyncio.timeout(timeout_seconds):
                    await connection.open()
            except TimeoutError:
                return None
        call.connection = connection
        keeps = self._random.random() < KEPT_SHARE
        late = self._random.random() < self.operator_settings.late_closes
        delay = self._random.uniform(0.0, LATEST_CLOSE_SECONDS) if late else 0.0
        self._observer.request_sent(call.machine)
        answer = await make_call(call, size, timeout_seconds, keeps, delay)
        if answer is not None and keeps:
            self._kept[call.machine.name] = connection
        return answer

    def _call(self, machine: ControlMachine, work: object) -> Call:  # type: ignore[type-arg]
        answer: asyncio.Future[object] = asyncio.get_running_loop().create_future()
        return Call(self._network, self.name, machine, work, answer)  # type: ignore[arg-type]

    def _choose_machine(self, other_than: str = "") -> ControlMachine:
        """Returns any machine; after a call without an answer, one other than that call's."""
        machines = [machine for machine in self._machines if machine.name != other_than]
        return self._random.choice(machines or self._machines)

    def _now(self) -> int:
        return self._network.loop.microseconds


async def _submit(node: ControlNode, order: Order, fence: int) -> OrderReply:
    if isinstance(order, BeginEvacuation | FinishEvacuation):
        return await node.orders.submit_evacuation(order, fence)
    return await node.orders.submit(encode_order(order))


async def _fetch(node: ControlNode) -> bytes | None:
    fetched = await node.orders.fetch()
    return fetched.unwrap().body if isinstance(fetched, Success) else None
