"""The system of a soak: all its processes, what is done to them, and whether all is back."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from random import Random

from brackenladder.operator_client.control_client import ControlClient
from brackenladder.soak.connection import call
from brackenladder.soak.events import Tell, Trouble, now
from brackenladder.soak.operators import Office, Operator
from brackenladder.soak.processes import ActorProcess, Role
from brackenladder.soak.schedule import Kind, Step
from brackenladder.soak.site import REGIONS, SoakLayout

START_SECONDS = 60.0  # for the whole system to come up
POLL_SECONDS = 0.1
LOST_SHARE = 0.9  # of the answers to heartbeats, while they are lost


class SoakError(Exception):
    """The soak itself can't go on; one line."""


class SoakSystem:
    """Started by `start`; each step of a schedule is a task that ends once it is healed."""

    def __init__(self, layout: SoakLayout, seed: int, relayed: bool, tell: Tell) -> None:
        self.layout = layout
        self.tell = tell
        self.roles = {one.name: Role(layout, one, relayed, tell) for one in layout.machines}
        names = [(role, region) for role in ("servers", "clients") for region in REGIONS]
        names += [("relay", "all")] * relayed
        actors = [ActorProcess(layout, role, region, f"{seed} {region}", tell) for role, region in names]
        self.actors = {actor.name: actor for actor in actors}
        self.office = Office(layout.seeds, Random(f"operators {seed}"), tell)
        self.operators = [Operator(name, self.office) for name in ("first", "second")]
        self.inspector = Operator("inspector", self.office)
        self._evacuating: set[str] = set()
        self._working: list[asyncio.Task[None]] = []

    # -- start and end

    async def start(self) -> None:
        """All processes, the first configuration, then the clients."""
        for actor in self._actors("relay"):
            await actor.start()
        await asyncio.gather(*(role.start() for role in self.roles.values()))
        await self._until(self._takes_orders, "no control node takes the first configuration")
        await asyncio.gather(*(actor.start() for actor in self._actors("servers")))
        await self._until(self._all_back, "not all is ready")
        await asyncio.gather(*(actor.start() for actor in self._actors("clients")))
        self.office.lossy = True
        self._working = [asyncio.create_task(operator.work()) for operator in self.operators]

    async def rest(self) -> None:
        """The operators end."""
        for operator in self.operators:
            operator.stop()
        await asyncio.gather(*self._working)
        self.office.lossy = False

    async def stop(self) -> None:
        """Clients end first, then gateways, servers, control nodes."""
        for task in self._working:
            task.cancel()
        await asyncio.gather(*(actor.stop() for actor in self._actors("clients")))
        await asyncio.gather(*(self.roles[one.name].end() for one in self.layout.gateways))
        await asyncio.gather(*(actor.stop() for actor in self._actors("servers")))
        await asyncio.gather(*(self.roles[one.name].end() for one in self.layout.control))
        await asyncio.gather(*(actor.stop() for actor in self._actors("relay")))

    def _actors(self, role: str) -> list[ActorProcess]:
        return [actor for name, actor in self.actors.items() if name.startswith(role)]

    # -- what is done

    async def play(self, step: Step) -> None:
        """One step, until it is healed."""
        await asyncio.sleep(step.at)
        match step.kind:
            case Kind.SERVER:
                self._of_server(step.targets[0]).order(
                    "leave", place=step.targets[0], how=step.leave.value, away=step.seconds
                )
            case Kind.SERVERS_PAUSE:
                await self.actors[step.targets[0]].pause(step.seconds)
            case Kind.LOSE_ACKNOWLEDGEMENTS:
                self.actors[step.targets[0]].order("lose", share=LOST_SHARE)
                await asyncio.sleep(step.seconds)
                self.actors[step.targets[0]].order("lose", share=0.0)
            case Kind.EVACUATE:
                await self._evacuate(step.targets[0], step.seconds)
            case Kind.HOLD | Kind.HOLD_ONE_WAY | Kind.RESET:
                await self._links(step)
            case _:
                await asyncio.gather(*(self._of_role(step, self.roles[name]) for name in step.targets))

    async def _of_role(self, step: Step, role: Role) -> None:
        if step.kind is Kind.PAUSE:
            await role.pause(step.seconds)
        elif step.kind is Kind.RELOAD:
            role.reload()
        else:
            await role.down(step.kind.value, step.seconds, planned=step.kind is not Kind.KILL)

    def _of_server(self, place: str) -> ActorProcess:
        zones = {one.id.partition(".")[0]: one.zone for one in self.layout.servers()}
        return self.actors[f"servers-{self.layout.zones[zones[place]]}"]

    async def _evacuate(self, zone: str, seconds: float) -> None:
        if zone in self._evacuating:
            return
        self._evacuating.add(zone)
        await self.office.evacuate(zone, begin=True)
        await asyncio.sleep(seconds)
        while not await self.office.evacuate(zone, begin=False, patience=START_SECONDS):
            pass  # each has a bound of its own, and so has the run
        self._evacuating.discard(zone)

    async def _links(self, step: Step) -> None:
        """Holds, or resets, all links of the targets to control nodes."""
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
        self.tell(Trouble(began, now(), step.kind.value, step.targets, planned=False))

    # -- whether all is back

    async def missing(self) -> tuple[str, ...]:
        """What is not there: gateways that are not ready, an order that is not taken, silent directories."""
        gateways = self.layout.gateways
        answers = await asyncio.gather(*(call(one.ready, "GET", "/-/readyz") for one in gateways))
        found = [
            f"{one.name} is not ready"
            for one, answer in zip(gateways, answers, strict=True)
            if answer is None or answer.status != HTTPStatus.OK
        ]
        if not await self._takes_orders():
            found.append("no order is taken")
        return tuple(found)

    async def _takes_orders(self) -> bool:
        """Whether an operator's change, the first one or a later one, is acknowledged."""
        if not self.office.documents:
            return await self.inspector.first()
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
