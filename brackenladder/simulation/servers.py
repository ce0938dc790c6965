"""Servers that send heartbeats, drain and reuse the address of a former server."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

from attrs import evolve, frozen

from brackenladder.control_plane.control_node import ControlNode
from brackenladder.registry.records import ServerRecord, ServerState
from brackenladder.simulation.calls import Call, make_call
from brackenladder.simulation.documents import SERVICE
from brackenladder.simulation.history import History, ServerAck
from brackenladder.simulation.machines import HEARTBEAT_MS, ZONES, ControlMachine
from brackenladder.simulation.network import SimulatedNetwork
from brackenladder.simulation.virtual_loop import Process

CALL_BYTES = 400
ANSWER_TIMEOUT_SECONDS = 1.0
DRAIN_SECONDS = 3.0
GIVE_UP_SECONDS = 8.0  # a server that gets no acknowledgement ends after this time anyway
REUSE_SECONDS = 2.0  # pause until an address is used again
MAX_CALLS = 3  # most nodes that are tried for one heartbeat


@frozen
class ServerLifetimes:
    """How long servers live, in seconds, and how they end."""

    shortest: float = 8.0
    longest: float = 30.0
    drains: float = 0.7  # share of servers that end by a drain; the others crash
    deregisters_first: float = 0.2  # share of drains that begin with the deregistration


class Server:
    """An address at which servers run one after the other."""

    def __init__(
        self,
        name: str,
        number: int,
        network: SimulatedNetwork,
        machines: list[ControlMachine],
        history: History,
        server_lifetimes: ServerLifetimes,
        random: Random,
        acknowledged: Callable[[ServerAck], None],
    ) -> None:
        self.name = name
        self.active = True
        self._network = network
        self._machines = machines
        self._history = history
        self._lives = server_lifetimes
        self._random = random
        self._acknowledged = acknowledged
        self._address = f"10.9.0.{number + 1}:80"
        self._zone = tuple(ZONES)[number % len(ZONES)]
        self._incarnation = 0
        network.add_endpoint(name, ZONES[self._zone], 1000.0).process = Process(name)

    async def run(self) -> None:
        """Runs one server after the other until `active` is cleared."""
        while self.active:
            self._incarnation += 1
            await self._run_incarnation()
            await asyncio.sleep(REUSE_SECONDS)

    async def _run_incarnation(self) -> None:
        server_lifetimes, random = self._lives, self._random
        ends_at = self._now() + random.uniform(server_lifetimes.shortest, server_lifetimes.longest)
        record = self._first_record()
        while self.active and self._now() < ends_at:
            record = evolve(record, seq=record.seq + 1)
            await self._report(record)
            await asyncio.sleep(HEARTBEAT_MS / 1000 * random.uniform(0.9, 1.1))
        if self.active and random.random() < server_lifetimes.drains:
            await self._drain(record)

    async def _drain(self, record: ServerRecord) -> None:
        deregisters_first = self._random.random() < self._lives.deregisters_first
        until = self._now() + GIVE_UP_SECONDS
        while self._now() < until:
            record = evolve(record, seq=record.seq + 1, state=ServerState.DRAINING)
            if await (self._deregister(record.id) if deregisters_first else self._report(record)):
                break
            await asyncio.sleep(0.2)
        await asyncio.sleep(DRAIN_SECONDS + self._random.random())
        if not deregisters_first:
            await self._deregister(record.id)

    async def _report(self, record: ServerRecord) -> bool:
        return await self._call_some(
            record.id, record.state is ServerState.DRAINING, lambda node: _heartbeat(node, record)
        )

    async def _deregister(self, server_id: str) -> bool:
        return await self._call_some(server_id, True, lambda node: _deregister(node, server_id))

    async def _call_some(self, server_id: str, draining: bool, work: object) -> bool:
        """Calls a few nodes in turn and returns whether one of them has acknowledged."""
        for machine in self._random.sample(self._machines, min(MAX_CALLS, len(self._machines))):
            answer: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
            call: Call[bool] = Call(self._network, self.name, machine, work, answer)  # type: ignore[arg-type]
            if await make_call(call, CALL_BYTES, ANSWER_TIMEOUT_SECONDS):
                ack = ServerAck(
                    server_id, draining, machine.name, call.answered_at, self._network.loop.microseconds
                )
                self._history.acks.append(ack)
                self._acknowledged(ack)
                return True
        return False

    def _first_record(self) -> ServerRecord:
        return ServerRecord(
            id=f"{self.name}.{self._incarnation}",
            service=SERVICE,
            address=self._address,
            zone=self._zone,
            slots=4,
            state=ServerState.READY,
            seq=0,
        )

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


async def _heartbeat(node: ControlNode, record: ServerRecord) -> bool:
    return await node.server_calls.heartbeat(record)


async def _deregister(node: ControlNode, server_id: str) -> bool:
    return await node.server_calls.deregister(server_id)
