"""A gateway's machine: runs the complete gateway role on simulated links and streams."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from brackenladder.control_plane.wire import gateway_codec
from brackenladder.node.gateway_role import GatewayEnvironment, GatewayRole
from brackenladder.platform_settings import Listen, Platform, PortRange
from brackenladder.simulation.exchange.history import Disturbances
from brackenladder.simulation.exchange.site import (
    CONTROL_OUTER,
    FRONT_PORT,
    READY_PORT,
    SECOND,
    ZONES,
)
from brackenladder.simulation.network import SimulatedNetwork
from brackenladder.simulation.stream_loop import SimulatedSocket, StreamEventLoop
from brackenladder.simulation.virtual_loop import Process
from brackenladder.transport.link import Transport

GRACE = 8 * SECOND  # time from SIGTERM to SIGKILL
LAST_PART = SECOND  # last part of the grace time, in which open requests may be aborted


class GatewayMachine:
    """Starts the gateway role, sends it signals and ends it."""

    role_type: type[GatewayRole] = GatewayRole

    def __init__(self, loop: StreamEventLoop, links: SimulatedNetwork, random: Random, number: int) -> None:
        self.number = number
        self.name = f"gateway-{number}"
        self.zone = tuple(ZONES)[2 * number % len(ZONES)]
        self.region = ZONES[self.zone]
        self.ip = f"10.1.0.{number + 1}"
        self.host = loop.streams.add_host(self.ip, self.zone)
        self.endpoint = links.add_endpoint(self.name, self.region, 1000.0)
        self.process: Process | None = None
        self.starts = 0
        self.terminating = False  # whether SIGTERM was sent
        self.terminated_at = 0
        self.disturbances = Disturbances()
        self._loop = loop
        self._links = links
        self._random = random
        self._role: GatewayRole | None = None

    @property
    def running(self) -> bool:
        """Whether its process exists and is not frozen."""
        return self.process is not None and self.process.running

    def boot(self) -> None:
        """Starts the process."""
        self.starts += 1
        self.terminating = False
        now = self._loop.microseconds
        self.disturbances.end(now)
        self.disturbances.begin(now)
        self.disturbances.end(now)
        process = Process(f"{self.name}.{self.starts}")
        self.process = self.endpoint.process = process
        self._loop.assign_host(process, self.host)
        process.run(self._start)

    def kill(self, graceful: bool = False) -> None:
        """Ends the process at once and closes its connections, as SIGKILL does.

        `graceful`: SIGTERM came first, so that the end counts as a fault only within `LAST_PART`.
        """
        process, self.process = self.process, None
        if process is None:
            return
        now = self._loop.microseconds
        if not graceful or now >= self.terminated_at + GRACE - LAST_PART:
            self.disturbances.begin(now)
        process.end()
        self.endpoint.process = None
        self._links.kill(self.name)
        self._loop.streams.end_process(process)

    def terminate(self, ended: Callable[[], None]) -> None:
        """Sends SIGTERM, and SIGKILL after the grace time. Calls `ended` when the process has ended."""
        process = self.process
        if process is None or self.terminating:
            ended()
            return
        self.terminating = True
        self.terminated_at = self._loop.microseconds
        start = self.starts

        def end() -> None:
            if self.process is process and self.starts == start:
                self.kill(graceful=True)
                ended()

        self._loop.call_external(self._loop.microseconds + GRACE, end)
        process.when_running(lambda: process.run(self._stop, end))

    def sighup(self) -> None:
        """Sends SIGHUP, which reloads the settings."""
        process, role = self.process, self._role
        if process is not None and role is not None:
            process.when_running(lambda: process.run(role.reload, self._platform()))

    def _start(self) -> None:
        environment = GatewayEnvironment(
            clock=lambda: self._loop.microseconds,
            wall_clock=lambda: self._loop.microseconds,
            random=lambda: Random(self._random.getrandbits(64)),
            transport=self._transport,
            open_socket=lambda _address: SimulatedSocket(),  # type: ignore[arg-type,return-value]
        )
        self._role = self.role_type(self._platform(), environment=environment)
        self._loop.create_task(self._role.start())

    def _stop(self, end: Callable[[], None]) -> None:
        assert self._role is not None
        stopping = self._loop.create_task(self._role.stop())
        stopping.add_done_callback(lambda _task: self._loop.call_external(self._loop.microseconds, end))

    def _transport(self, name: str) -> Transport:
        return self._links.transport(name, gateway_codec())

    def _platform(self) -> Platform:
        return Platform(
            node_name=self.name,
            role="gateway",
            machine_class="front",
            serves=("front",),
            ip=self.ip,
            zone=self.zone,
            region=self.region,
            ports=PortRange(7660, 7667),
            seeds=(CONTROL_OUTER,),
            zones=dict(ZONES),
            listen=Listen(front=f"{self.ip}:{FRONT_PORT}", ready=f"{self.ip}:{READY_PORT}"),
        )
