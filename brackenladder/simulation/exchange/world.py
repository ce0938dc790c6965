"""One simulated exchange: gateways, servers, clients and the control side."""

from __future__ import annotations

import asyncio
from random import Random

from brackenladder.control_plane.wire import control_codec
from brackenladder.simulation.exchange.checks import LiveChecks
from brackenladder.simulation.exchange.clients import Clients
from brackenladder.simulation.exchange.control import ControlSide
from brackenladder.simulation.exchange.gateways import GatewayMachine
from brackenladder.simulation.exchange.history import History, Request, RequestOutcome
from brackenladder.simulation.exchange.servers import Server
from brackenladder.simulation.exchange.site import Configuration, latency
from brackenladder.simulation.network import SimulatedNetwork
from brackenladder.simulation.scenario import Coverage
from brackenladder.simulation.stream_loop import StreamEventLoop
from brackenladder.simulation.streams import StreamNetwork

GATEWAYS = 2
SERVERS = (
    ("north-1", "api"),
    ("north-1", "api"),
    ("north-2", "api"),
    ("south-1", "api"),
    ("south-1", "api"),
    ("north-1", "other"),
    ("south-1", "other"),
)
POLL_SECONDS = 0.02


class World:
    """All parts of one run. Has to be created within its event loop."""

    def __init__(
        self, loop: StreamEventLoop, seed: int, gateway_type: type[GatewayMachine] = GatewayMachine
    ) -> None:
        self.loop = loop
        self.random = Random(seed)
        loop.streams = StreamNetwork(loop, Random(self.random.getrandbits(64)), latency)
        self.history = History()
        self.coverage = Coverage()
        self.links = SimulatedNetwork(loop, control_codec())
        self.control = ControlSide(self.links, self.history)
        self.gateways = [
            gateway_type(loop, self.links, Random(self.random.getrandbits(64)), number)
            for number in range(GATEWAYS)
        ]
        self.servers = [
            Server(number, zone, service, loop.streams, self.control, self.history)
            for number, (zone, service) in enumerate(SERVERS)
        ]
        self.checks = LiveChecks(self.history, lambda: loop.microseconds, self.undisturbed)
        self.clients = Clients(
            loop.streams,
            self.gateways,
            self.history,
            Random(self.random.getrandbits(64)),
            self.checks.fail,
        )
        self._requests_checked: set[str] = set()  # ids of requests passed to `_look_later`

    @property
    def now(self) -> int:
        """Microseconds since the start of the run."""
        return self.loop.microseconds

    async def boot(self) -> None:
        """Starts all processes for the first time."""
        await self.control.listen()
        self.control.configure(Configuration(1))
        for server in self.servers:
            server.start()
        for gateway in self.gateways:
            gateway.boot()
        self.loop.create_task(self._run_checks())

    def undisturbed(self, gateway: int, begin: int, end: int, server: str = "") -> bool:
        """See `checks.Undisturbed`."""
        machines: list[GatewayMachine | Server] = [self.gateways[gateway]]
        if server:
            machines.append(self.servers[int(server.partition(".")[0].removeprefix("s"))])
        return not any(machine.disturbances.between(begin, end) for machine in machines)

    def count_fault(self, kind: str) -> None:
        """Counts a fault by its kind."""
        self.coverage.faults[kind] += 1

    def raise_failure(self) -> None:
        """Raises the first violation that a check has found so far."""
        if self.checks.failure is not None:
            raise self.checks.failure

    async def _run_checks(self) -> None:
        while True:
            await asyncio.sleep(POLL_SECONDS)
            self.checks.check()
            for request in self.history.requests.values():
                if (
                    request.outcome in (RequestOutcome.GIVEN_UP, RequestOutcome.UNANSWERED)
                    and request.id not in self._requests_checked
                ):
                    self._requests_checked.add(request.id)
                    self._look_later(request)

    def _look_later(self, request: Request) -> None:
        self.loop.call_later(0.6, self.checks.client_left, request)
