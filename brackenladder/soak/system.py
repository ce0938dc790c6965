"""The system under soak: starts and stops processes, applies steps, and checks for recovery."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from random import Random
from time import monotonic

from brackenladder.operator_client.control_client import ControlClient
from brackenladder.soak.connection import call
from brackenladder.soak.events import Record, Trouble, now
from brackenladder.soak.operators import Operator, OperatorContext
from brackenladder.soak.processes import ActorProcess, Role
from brackenladder.soak.schedule import Kind, Step
from brackenladder.soak.site import REGIONS, SoakLayout

START_SECONDS = 60.0  # time limit for the whole system to become ready
POLL_SECONDS = 0.1
LOST_SHARE = 0.9  # share of heartbeat acknowledgements dropped during LOSE_ACKNOWLEDGEMENTS


class SoakError(Exception):
    """The soak itself cannot continue; the text is one line."""


class SoakSystem:
    """All processes of a soak; `play` applies one step and returns once its effect has ended."""

    def __init__(self, layout: SoakLayout, seed: int, relayed: bool, record: Record) -> None:
        self.layout = layout
        self.record = record
        self.roles = {one.name: Role(layout, one, relayed, record) for one in layout.machines}
        names = [(role, region) for role in ("servers", "clients") for region in REGIONS]
        names += [("relay", "all")] * relayed
        actors = [ActorProcess(layout, role, region, f"{seed} {region}", record) for role, region in names]
        self.actors = {actor.name: actor for actor in actors}
        self.context = OperatorContext(layout.seeds, Random(f"operators {seed}"), record)
        self.operators = [Operator(name, self.context) for name in ("first", "second")]
        self.inspector = Operator("inspector", self.context)
        self._evacuating: set[str] = set()
        self._working: list[asyncio.Task[None]] = []

    # -- start and stop

    async def start(self) -> None:
        """Starts all roles, submits the first configuration, then starts servers and clients."""
        for actor in self._actors("relay"):
            await actor.start()
        await asyncio.gather(*(role.start() for role in self.roles.values()))
        await self._until(self._takes_orders, "no control node has accepted the first configuration")
        await asyncio.gather(*(actor.start() for actor in self._actors("servers")))
        await self._until(self._all_back, "the system is not ready")
        await asyncio.gather(*(actor.start() for actor in self._actors("clients")))
        self.context.lose_answers = True
        self._working = [asyncio.create_task(operator.work()) for operator in self.operators]

    async def stop_operators(self) -> None:
        """Stops the operators, and no longer drops their answers."""
        for operator in self.operators:
            operator.stop()
        await asyncio.gather(*self._working)
        self.context.lose_answers = False

    async def stop(self) -> None:
        """Stops clients first, then gateways, servers, control nodes and the relay."""
        for task in self._working:
            task.cancel()
        await asyncio.gather(*(actor.stop() for actor in self._actors("clients")))
        await asyncio.gather(*(self.roles[one.name].terminate() for one in self.layout.gateways))
        await asyncio.gather(*(actor.stop() for actor in self._actors("servers")))
        await asyncio.gather(*(self.roles[one.name].terminate() for one in self.layout.control))
        await asyncio.gather(*(actor.stop() for actor in self._actors("relay")))

    def _actors(self, role: str) -> list[ActorProcess]:
        return [actor for name, actor in self.actors.items() if name.startswith(role)]

    # -- steps

    async def play(self, step: Step) -> None:
        """Applies one step and waits until its effect has ended."""
        await asyncio.sleep(step.at)
        match step.kind:
            case Kind.SERVER:
                self._servers_process(step.targets[0]).order(
                    "leave", place=step.targets[0], how=step.leave.value, away=step.seconds
                )
            case Kind.SERVERS_CRASH:
                self.actors[step.targets[0]].order("crash", away=step.seconds)
            case Kind.SERVERS_PAUSE:
                await self.actors[step.targets[0]].pause(step.seconds)
            case Kind.LOSE_ACKNOWLEDGEMENTS:
                self.actors[step.targets[0]].order("lose", share=LOST_SHARE)
                await asyncio.sleep(step.seconds)
                self.actors[step.targets[0]].order("lose", share=0.0)
            case Kind.SERVERS_FULL:
                self.actors[step.targets[0]].order("full", on=True)
                await asyncio.sleep(step.seconds)
                self.actors[step.targets[0]].order("full", on=False)
            case Kind.EVACUATE:
                await self._evacuate(step.targets[0], step.seconds)
            case Kind.EVACUATE_IN_SERIES:
                await self._evacuate_in_series(step.targets[0], step.seconds)
            case Kind.HOLD | Kind.HOLD_ONE_WAY | Kind.RESET:
                await self._disturb_links(step)
            case _:
                await asyncio.gather(*(self._apply_to_role(step, self.roles[name]) for name in step.targets))

    async def _apply_to_role(self, step: Step, role: Role) -> None:
        if step.kind is Kind.PAUSE:
            await role.pause(step.seconds)
        elif step.kind is Kind.RELOAD:
            role.reload()
        else:
            await role.take_down(step.kind.value, step.seconds, planned=step.kind is not Kind.KILL)

    def _servers_process(self, place: str) -> ActorProcess:
        zones = {one.id.partition(".")[0]: one.zone for one in self.layout.servers()}
        return self.actors[f"servers-{self.layout.zones[zones[place]]}"]

    async def _evacuate(self, zone: str, seconds: float) -> None:
        if zone in self._evacuating:
            return
        self._evacuating.add(zone)
        held = None
        if await self.context.evacuate(zone, begin=True):
            held = await self.context.overtake(zone)
        if held is not None:
            await held.release()
        await asyncio.sleep(seconds)
        await self._take_back(zone)

    async def _evacuate_in_series(self, zone: str, seconds: float) -> None:
        """Evacuates a zone and takes it back, one order right after the other."""
        if zone in self._evacuating:
            return
        self._evacuating.add(zone)
        until = monotonic() + seconds
        while monotonic() < until:
            await self.context.evacuate(zone, begin=True)
            await self.context.evacuate(zone, begin=False)
        await self._take_back(zone)

    async def _take_back(self, zone: str) -> None:
        while not await self.context.evacuate(zone, begin=False, patience=START_SECONDS):
            pass  # retried until acknowledged; each attempt and the whole run have a time limit
        self._evacuating.discard(zone)

    async def _disturb_links(self, step: Step) -> None:
        """Delays or resets all links between the targets and the control nodes."""
        others = [one.name for one in self.layout.control]
        pairs = [(name, other) for name in step.targets for other in others if name != other]
        if step.kind is Kind.HOLD:
            pairs += [(other, name) for name, other in pairs]
        relay, began = self.actors["relay-all"], now()
        if step.kind is Kind.RESET:
            relay.order("reset", pairs=pairs)
        else:
            relay.order("hold", pairs=pairs)
            await asyncio.sleep(step.seconds)
            relay.order("release", pairs=pairs)
        self.record(Trouble(began, now(), step.kind.value, step.targets, planned=False))

    # -- recovery

    async def missing(self) -> tuple[str, ...]:
        """Names what has not recovered: gateways that are not ready, or orders that are not accepted."""
        gateways = self.layout.gateways
        answers = await asyncio.gather(*(call(one.ready, "GET", "/-/readyz") for one in gateways))
        found = [
            f"{one.name} is not ready"
            for one, answer in zip(gateways, answers, strict=True)
            if answer is None or answer.status != HTTPStatus.OK
        ]
        if not await self._takes_orders():
            found.append("no order is accepted")
        return tuple(found)

    async def _takes_orders(self) -> bool:
        """Whether a configuration change by an operator is acknowledged."""
        if not self.context.documents:
            return await self.inspector.submit_first()
        return await self.inspector.read() and await self.inspector.configure(invalid_share=0.0)

    async def _all_back(self) -> bool:
        if await self.missing():
            return False
        async with ControlClient(self.layout.seeds) as control:
            status = (await control.status()).value_or(None)
        wanted = len(self.layout.servers())
        return status is not None and sum(service.ready for service in status.services) == wanted

    async def _until(self, condition: Callable[[], Awaitable[bool]], complaint: str) -> None:
        try:
            async with asyncio.timeout(START_SECONDS):
                while not await condition():
                    await asyncio.sleep(POLL_SECONDS)
        except TimeoutError:
            raise SoakError(f"{complaint} after {START_SECONDS:g} s") from None
