"""Operators that change the configuration, evacuate zones and read back, and retry when calls fail."""

from __future__ import annotations

import asyncio
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
from brackenladder.simulation.calls import Call, make_call
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
    reads: float = 0.15
    repeats: float = 0.1  # share of actions that send an answered order again
    answers_lost: float = 0.1
    max_configuration_bytes: int = 2_000  # maximum size of a configuration
    retry_seconds: float = 12.0  # time for which a configuration without a definite answer is retried


class OrderObserver(Protocol):
    """Receives what operators observe."""

    def order_decided(self) -> None:
        """Handles an order that a node has acknowledged and is about to reply to."""

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
        call = self._call(self._choose_machine(), _fetch)
        document = await make_call(call, ORDER_BYTES, ANSWER_TIMEOUT_SECONDS)
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
        zone = self._random.choice(tuple(ZONES))
        async with self._zone_locks[zone]:
            order: Order = BeginEvacuation(zone) if self._random.random() < 0.5 else FinishEvacuation(zone)
            await self._submit_until_answered(self._record(order, 0, True), EVACUATION_SECONDS)

    def _record(self, order: Order, version: int, valid: bool) -> OrderRecord:
        number = len(self._history.orders) + 1
        record = OrderRecord(number, self.name, order, version, self._now(), valid)
        self._history.orders.append(record)
        return record

    async def _submit_until_answered(self, record: OrderRecord, retry_seconds: float) -> None:
        """Sends an order to one node after the other until there is a definite answer."""
        until = self._now() + int(retry_seconds * MICROSECONDS)
        pause = FIRST_PAUSE_SECONDS
        while record.ended_at is None and self._now() < until:
            await self._send(record)
            if record.ended_at is None:
                await asyncio.sleep(pause * self._random.uniform(0.5, 1.0))
                pause = min(2 * pause, LONGEST_PAUSE_SECONDS)

    async def _send(self, record: OrderRecord) -> None:
        record.calls += 1
        machine = self._choose_machine()
        reply, call = await self._submit(machine, record.order)
        outcome = OUTCOMES.get(reply.outcome) if reply is not None else None
        if reply is None or outcome is None:
            return
        record.outcome = outcome
        record.ended_at = self._now()
        record.reply_version = reply.version
        record.answered_by = machine.name
        record.answered_at = call.answered_at
        if outcome is not Outcome.INVALID:
            self._known_version = max(self._known_version, reply.version)

    async def _submit(
        self, machine: ControlMachine, order: Order
    ) -> tuple[OrderReply | None, Call[OrderReply]]:
        size = ORDER_BYTES + len(encode_order(order))
        call = self._call(machine, lambda node: self._decide(node, order))
        call.answer_lost = self._random.random() < self.operator_settings.answers_lost
        transfer = size * BITS_PER_BYTE / (machine.endpoint.megabits * MICROSECONDS)
        return await make_call(call, size, ANSWER_TIMEOUT_SECONDS + 4 * transfer), call

    async def _decide(self, node: ControlNode, order: Order) -> OrderReply:
        """Decides an order; runs in the node's process."""
        reply = await _submit(node, order)
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

    def _call(self, machine: ControlMachine, work: object) -> Call:  # type: ignore[type-arg]
        answer: asyncio.Future[object] = asyncio.get_running_loop().create_future()
        return Call(self._network, self.name, machine, work, answer)  # type: ignore[arg-type]

    def _choose_machine(self) -> ControlMachine:
        return self._random.choice(self._machines)

    def _now(self) -> int:
        return self._network.loop.microseconds


async def _submit(node: ControlNode, order: Order) -> OrderReply:
    if isinstance(order, BeginEvacuation | FinishEvacuation):
        return await node.orders.submit_evacuation(order)
    return await node.orders.submit(encode_order(order))


async def _fetch(node: ControlNode) -> bytes | None:
    fetched = await node.orders.fetch()
    return fetched.unwrap().body if isinstance(fetched, Success) else None
