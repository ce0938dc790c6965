"""Processes that each hold some nodes of a system, and do what the measuring process asks for."""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Awaitable, Callable
from multiprocessing.connection import Connection

from attrs import frozen

from brackenladder.consensus.replica import Role
from brackenladder.control_plane.messages import OrderOutcome
from brackenladder.platform_settings import Listen, Platform, PortRange
from capacity.meter import CountingCodec, Traffic, Usage, usage
from capacity.nodes import HollowControl, HollowGateway, HollowServers, SharedParser
from capacity.target import Size
from capacity.workload import control_platform, hollow_server, zone_name, zones_of

STARTING_TOGETHER = 3  # gateways of one process that fetch everything at the same time
POLL_SECONDS = 0.02
PROGRESS_EVERY = 10  # gateways
ORPHAN_CHECK_SECONDS = 2.0
START_PATIENCE = 240.0


@frozen
class Place:
    """Where a system's nodes listen."""

    host_prefix: str  # the first three numbers of loopback addresses
    port: int
    folder: str


@frozen
class Part:
    """The nodes of one process, by their numbers."""

    size: Size
    place: Place
    numbers: tuple[int, ...]


@frozen
class StartServers:
    """Control processes: servers begin to send heartbeats."""


@frozen
class Submit:
    """Control processes: hand an operator's order to the first node."""

    order: bytes


@frozen
class Drain:
    """Control processes: servers of the first node say that they leave."""

    count: int


@frozen
class StartGateways:
    """Gateway processes: start all gateways, a few at a time."""


@frozen
class Watch:
    """Gateway processes: note when these servers are known to drain."""

    server_ids: tuple[str, ...]


@frozen
class Report:
    """All processes: what was used and counted so far."""


@frozen
class Stop:
    """All processes: end."""


Request = StartServers | Submit | Drain | StartGateways | Watch | Report | Stop


@frozen
class Submitted:
    """An order's outcome and the time of its start and its answer."""

    accepted: bool
    began: float
    ended: float


@frozen
class Drained:
    """Servers that said that they leave, and when."""

    server_ids: tuple[str, ...]
    began: float
    ready: tuple[str, ...]  # those that may be next


@frozen
class Started:
    """Seconds that each gateway took until its view was complete; -1: it never was."""

    seconds: tuple[float, ...]
    link_ends: int = 0


@frozen
class Counted:
    """The report of a process."""

    usage: Usage
    sent: Traffic
    received: Traffic
    leaders: int = 0
    not_acknowledged: int = 0
    servers: tuple[int, ...] = ()  # that each node knows
    link_ends: int = 0
    links: int = 0
    versions: tuple[dict[int, float], ...] = ()
    drained: tuple[dict[str, float], ...] = ()


@frozen
class Done:
    """The request has been carried out."""


def control_process(part: Part, pipe: Connection) -> None:
    """The life of a process with control nodes."""
    asyncio.run(_serve(pipe, ControlWorker(part).handle))


def gateway_process(part: Part, pipe: Connection) -> None:
    """The life of a process with gateways."""
    asyncio.run(_serve(pipe, GatewayWorker(part).handle))


class ControlWorker:
    """Some control nodes and the servers that call them."""

    def __init__(self, part: Part) -> None:
        self._part = part
        self._controls: list[HollowControl] = []
        self._servers: list[HollowServers] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def handle(self, request: Request) -> object:
        """Carry out a request."""
        if not self._controls:
            await self._start()
        match request:
            case StartServers():
                self._start_servers()
            case Submit():
                return await self._submit(request.order)
            case Drain():
                began = time.monotonic()
                servers = self._servers[0]
                return Drained(servers.drain(request.count), began, servers.ready)
            case Report():
                return self._report()
            case Stop():
                for control in self._controls:
                    await control.node.close()
        return Done()

    async def _start(self) -> None:
        place = self._part.place
        for number in self._part.numbers:
            folder = os.path.join(place.folder, f"control-{number}")
            os.makedirs(folder)
            platform = control_platform(number, self._part.size, place.host_prefix, place.port, folder)
            control = HollowControl(platform)
            await control.node.start()
            self._controls.append(control)

    def _start_servers(self) -> None:
        size = self._part.size
        for number, control in zip(self._part.numbers, self._controls, strict=True):
            numbers = range(number, size.servers, size.control_nodes)
            servers = HollowServers(control, [hollow_server(each, size) for each in numbers])
            self._servers.append(servers)
            self._tasks.append(asyncio.create_task(servers.run()))

    async def _submit(self, order: bytes) -> Submitted:
        began = time.monotonic()
        reply = await self._controls[0].node.orders.submit(order)
        return Submitted(reply.outcome is OrderOutcome.ACCEPTED, began, time.monotonic())

    def _report(self) -> Counted:
        sent, received = _traffic([control.codec for control in self._controls])
        return Counted(
            usage(),
            sent,
            received,
            leaders=sum(control.node.host.replica.role is Role.LEADER for control in self._controls),
            not_acknowledged=sum(servers.not_acknowledged for servers in self._servers),
            servers=tuple(_known_servers(control) for control in self._controls),
        )


class GatewayWorker:
    """Some gateways."""

    def __init__(self, part: Part) -> None:
        self._part = part
        self._codec = CountingCodec(shared_records=True)
        self._parser = SharedParser()
        self._gateways: list[HollowGateway] = []

    async def handle(self, request: Request) -> object:
        """Carry out a request."""
        match request:
            case StartGateways():
                return await self._start()
            case Watch():
                for gateway in self._gateways:
                    gateway.watch(request.server_ids)
            case Report():
                return self._report()
        return Done()

    async def _start(self) -> Started:
        waiting = list(self._part.numbers)
        room = asyncio.Semaphore(STARTING_TOGETHER)

        async def start(number: int) -> float:
            async with room:
                return await self._start_one(number)

        seconds = tuple(await asyncio.gather(*map(start, waiting)))
        return Started(seconds, sum(gateway.ends for gateway in self._gateways))

    async def _start_one(self, number: int) -> float:
        began = time.monotonic()
        gateway = HollowGateway(
            _gateway_platform(number, self._part),
            self._codec,
            self._parser.parse,
            time.monotonic,
        )
        self._gateways.append(gateway)
        gateway.start()
        while gateway.links < self._part.size.links or not gateway.subscriber.complete:
            if time.monotonic() - began > START_PATIENCE:
                return -1.0
            await asyncio.sleep(POLL_SECONDS)
        took = time.monotonic() - began
        self._say_progress(took)
        return took

    def _say_progress(self, took: float) -> None:
        if len(self._gateways) % PROGRESS_EVERY == 0:
            count, ends = len(self._gateways), sum(gateway.ends for gateway in self._gateways)
            print(f"  {count} gateways here; the last took {took:.1f} s; {ends} links lost", flush=True)

    def _report(self) -> Counted:
        gateways = self._gateways
        return Counted(
            usage(),
            self._codec.sent.copy(),
            self._codec.received.copy(),
            servers=tuple(len(gateway.subscriber.view.servers) for gateway in gateways),
            link_ends=sum(gateway.ends for gateway in gateways),
            links=sum(gateway.links for gateway in gateways),
            versions=tuple(gateway.versions for gateway in gateways),
            drained=tuple(gateway.drained for gateway in gateways),
        )


async def _serve(pipe: Connection, handle: Callable[[Request], Awaitable[object]]) -> None:
    loop = asyncio.get_running_loop()
    orphaned = asyncio.create_task(_end_with(os.getppid()))
    while not orphaned.done():
        request: Request = await loop.run_in_executor(None, pipe.recv)
        pipe.send(await handle(request))
        if isinstance(request, Stop):
            return


async def _end_with(parent: int) -> None:
    """End this process once the measuring one is gone, also in the midst of a request."""
    while os.getppid() == parent:
        await asyncio.sleep(ORPHAN_CHECK_SECONDS)
    os._exit(1)


def _traffic(codecs: list[CountingCodec]) -> tuple[Traffic, Traffic]:
    sent, received = Traffic(), Traffic()
    for codec in codecs:
        sent, received = sent.plus(codec.sent), received.plus(codec.received)
    return sent, received


def _known_servers(control: HollowControl) -> int:
    soft_state = control.node.soft_state
    return len(soft_state._servers.alive(0))


def _gateway_platform(number: int, part: Part) -> Platform:
    size, place = part.size, part.place
    zone = zone_name(number % size.zones)
    front = f"10.1.{number // 250}.{number % 250 + 1}:8144"
    seeds = tuple(f"{place.host_prefix}.{last}:{place.port + 8}" for last in (1, 2, 3))
    return Platform(
        node_name=f"front-{zone}-{number}",
        role="gateway",
        machine_class="front",
        serves=("front",),
        ip="127.0.0.1",
        zone=zone,
        region=zones_of(size)[zone],
        ports=PortRange(place.port, place.port + 7),
        seeds=seeds,
        zones=zones_of(size),
        listen=Listen(front=front),
    )
