"""The machines of a simulated run: control nodes with a disk, and the control side of gateways."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random

from attrs import frozen

from brackenladder.consensus.members import genesis_replica_id
from brackenladder.consensus.timing import Timing
from brackenladder.consensus.types import Members
from brackenladder.control_plane.control_node import ControlNode, ReplicaStart
from brackenladder.control_plane.environment import NodeEnvironment
from brackenladder.control_plane.fences import NewestIndex
from brackenladder.control_plane.http_server import Handler
from brackenladder.control_plane.wire import control_codec, gateway_codec
from brackenladder.delivery.presence import Presence
from brackenladder.delivery.subscriber import Subscriber
from brackenladder.node.control_links import ControlLinks
from brackenladder.platform_settings import Listen, Platform, PortRange, Tolerate
from brackenladder.prefix_cache.messages import PrefixNotices
from brackenladder.prefix_cache.relay_choice import RelayChoice
from brackenladder.registry.gateways import GatewayState
from brackenladder.registry.records import ServerState
from brackenladder.registry.remembered_servers import HealthAnswer, RememberedServer
from brackenladder.simulation.caller_connections import SimulatedListener
from brackenladder.simulation.disk import Disk, SimulatedRestartFile, SimulatedWriter
from brackenladder.simulation.documents import order_of
from brackenladder.simulation.network import SimulatedNetwork
from brackenladder.simulation.virtual_loop import Process, VirtualEventLoop

CONTROL_PORT = 8146
INNER_PORT = 7660
FRONT_PORT = 8144
GATEWAY_TICK_SECONDS = 0.2
HEARTBEAT_MS = 1200

ZONES = {"north-1": "north", "south-1": "south", "east-1": "east", "north-2": "north", "south-2": "south"}


class UnansweredChecks:
    """Stands in for active health checks: a remembered server gets an empty answer."""

    async def check_all(self, servers: object) -> list[HealthAnswer]:
        """See `HealthChecks`."""
        assert isinstance(servers, tuple)
        return [HealthAnswer("") for server in servers if isinstance(server, RememberedServer)]


@frozen
class Site:
    """The number of machines, their timing and the bandwidth of each link in megabits per second."""

    control_nodes: int = 3
    gateways: int = 3
    megabits: float = 1000.0
    timing: Timing = Timing()


class ControlMachine:
    """A machine that runs a control node and has its own disk."""

    node_type: type[ControlNode] = ControlNode

    def __init__(
        self,
        network: SimulatedNetwork,
        random: Random,
        number: int,
        seeds: Callable[[], tuple[str, ...]],
        tolerated: int,
        site: Site,
    ) -> None:
        """`seeds`: returns the seed addresses for the settings; `tolerated`: machines that can be lost."""
        self.number = number
        self.name = f"control-{number}"
        self.zone = tuple(ZONES)[number % len(ZONES)]
        self.region = ZONES[self.zone]
        self.ip = f"10.0.0.{number + 1}"
        self.endpoint = network.add_endpoint(self.name, self.region, site.megabits)
        self.node: ControlNode | None = None
        self.process: Process | None = None
        self.listener: SimulatedListener | None = None  # for operators; None: not bound
        self.starts = 0
        self._network = network
        self._loop: VirtualEventLoop = network.loop
        self._random = random
        self._seeds = seeds
        self._tolerated = tolerated
        self._timing = site.timing
        self._writer: SimulatedWriter | None = None
        self._disks = 0
        self.disk = Disk(self._loop, random, genesis_replica_id(self.inner_address))

    @property
    def inner_address(self) -> str:
        """The address for connections from other nodes."""
        return f"{self.ip}:{INNER_PORT}"

    @property
    def control_address(self) -> str:
        """The address for calls from operators and servers."""
        return f"{self.ip}:{CONTROL_PORT}"

    @property
    def running(self) -> bool:
        """Whether its process exists and is not frozen."""
        return self.process is not None and self.process.running

    @property
    def up(self) -> bool:
        """Whether its process exists, frozen or not."""
        return self.node is not None

    def has_ready_server(self, server_id: str) -> bool:
        """Whether the node considers a server ready for requests."""
        if self.node is None:
            return False
        tell = self.node.soft_state.servers_in
        alive = (record for region in set(ZONES.values()) for record in tell(region, ZONES))
        return any(record.id == server_id and record.state is ServerState.READY for record in alive)

    def boot(self, genesis: Members | None = None) -> None:
        """Starts the process from the state on disk."""
        process = Process(f"{self.name}.{self.starts}")
        self.starts += 1
        self.process = self.endpoint.process = process
        process.run(self._start, genesis, process)

    def _start(self, genesis: Members | None, process: Process) -> None:
        self._writer = SimulatedWriter(self.disk, process)
        environment = NodeEnvironment(self._make_listener, SimulatedRestartFile(self.disk), UnansweredChecks)
        node = self.node_type(
            self._platform(),
            ReplicaStart(self.disk.replica_id, self.disk.load(), genesis),
            self._writer,
            self._network.transport(self.name, control_codec()),
            lambda: self._loop.microseconds,
            Random(self._random.getrandbits(64)),
            timing=self._timing,
            environment=environment,
        )
        self.node = node
        self._loop.create_task(node.start())

    def _make_listener(self, _handler: Handler, newest_index: NewestIndex) -> SimulatedListener:
        """A listener; callers use the node's services directly, on connections of the control listener."""
        return SimulatedListener(newest_index, self._listener_bound)

    def _listener_bound(self, address: str, listener: SimulatedListener) -> None:
        if address == self.control_address:
            self.listener = listener

    def kill(self) -> None:
        """Kills the process. Its connections are closed by the system, so that its peers notice at once."""
        if self._writer is not None:
            self._writer.killed()
        self._end()
        self._network.kill(self.name)

    def lose_power(self) -> None:
        """Cuts the power: connections end silently, and writes that were not synced may be lost."""
        if self._writer is not None:
            self._writer.power_lost()
        self._end()
        self._network.power_off(self.name)

    def end_process(self) -> None:
        """Ends the process at once, also if it is frozen."""
        if self.process is not None:
            self.process.end()

    def lose_disk(self) -> None:
        """Replaces the disk by an empty one. The machine has to be down."""
        self._disks += 1
        self.disk = Disk(self._loop, self._random, f"disk-{self.number}-{self._disks}")

    def _end(self) -> None:
        if self.process is not None:
            self.process.end()
        self.process = self.endpoint.process = None
        self.node = None
        self.listener = None
        self._writer = None

    def _platform(self) -> Platform:
        return Platform(
            node_name=self.name,
            role="control",
            machine_class="core",
            serves=("control", "directory"),
            ip=self.ip,
            zone=self.zone,
            region=self.region,
            ports=PortRange(INNER_PORT, INNER_PORT + 7),
            seeds=self._seeds(),
            heartbeat_ms=HEARTBEAT_MS,
            tolerate=Tolerate(machines=self._tolerated),
            zones=dict(ZONES),
            listen=Listen(control=self.control_address),
        )


@frozen
class ViewSeen:
    """The control-plane state that a gateway holds after a change.

    Times are in microseconds since the start of the run.
    """

    at: int
    gateway: int
    start: int  # number of the start of the gateway's process
    revision: int
    version: int  # version of the configuration; 0 if there is none
    order: int  # the order that made the configuration, read from its marker route; 0 if there is none
    evacuated: frozenset[str]
    told_by: str  # peer address of the control node that sent the change
    first: bool  # whether it is the gateway's first catalog since its start


class GatewayMachine:
    """Runs the part of a gateway that gets configuration and server state from the control nodes."""

    def __init__(
        self,
        network: SimulatedNetwork,
        random: Random,
        number: int,
        control_addresses: tuple[str, ...],
        megabits: float,
        seen: Callable[[ViewSeen], None],
    ) -> None:
        self.number = number
        self.name = f"gateway-{number}"
        self.zone = tuple(ZONES)[number % len(ZONES)]
        self.region = ZONES[self.zone]
        self.endpoint = network.add_endpoint(self.name, self.region, megabits)
        self.process: Process | None = None
        self.subscriber = Subscriber()
        self.ready = False
        self.starts = 0
        self._network = network
        self._loop: VirtualEventLoop = network.loop
        self._random = random
        self._control_addresses = control_addresses
        self._view_changed = seen
        self._links: ControlLinks
        self._presence: Presence

    @property
    def running(self) -> bool:
        """Whether its process exists and is not frozen."""
        return self.process is not None and self.process.running

    def boot(self) -> None:
        """Starts a process that has not yet received any control-plane state."""
        process = Process(f"{self.name}.{self.starts}")
        self.starts += 1
        self.process = self.endpoint.process = process
        process.run(self._start)

    def kill(self) -> None:
        """Ends the process, if one runs, and closes its network connections."""
        if self.process is not None:
            self.process.end()
        self.process = self.endpoint.process = None
        self.ready = False
        self._network.kill(self.name)

    def _start(self) -> None:
        self.subscriber = _ObservedSubscriber(self._record_view)
        self.ready = False
        self._presence = Presence(
            self.name,
            f"10.0.1.{self.number + 1}:{FRONT_PORT}",
            self.zone,
            self.region,
            self._loop.microseconds,
        )
        self._links = ControlLinks(
            self._network.transport(self.name, gateway_codec()),
            self.subscriber,
            self._presence,
            lambda: self._loop.microseconds,
            Random(self._random.getrandbits(64)),
            RelayChoice(self.name, self.zone, ZONES),
            _ignore_notices,
        )
        self._links.set_seeds(self._control_addresses)
        self._tick()

    def _tick(self) -> None:
        self._loop.call_later(GATEWAY_TICK_SECONDS, self._tick)
        now = self._loop.microseconds
        self.subscriber.tick(now)
        self._links.tick()
        if not self.ready and self.subscriber.complete_or_timed_out(now):
            self.ready = True
            self._presence.set_state(GatewayState.READY)

    def _record_view(self, told_by: str, first: bool) -> None:
        view = self.subscriber.view
        configuration = view.configuration
        seen = ViewSeen(
            at=self._loop.microseconds,
            gateway=self.number,
            start=self.starts,
            revision=view.revision,
            version=0 if configuration is None else configuration.version,
            order=0 if configuration is None else order_of(route.prefix for route in configuration.routes),
            evacuated=view.evacuated,
            told_by=told_by,
            first=first,
        )
        self._view_changed(seen)


class _ObservedSubscriber(Subscriber):
    """A subscriber that reports each catalog change and the control node that sent it."""

    def __init__(self, changed: Callable[[str, bool], None]) -> None:
        super().__init__()
        self._changed = changed

    def receive(self, now: int, control_address: str, message: object) -> tuple[object, ...]:
        """See `Subscriber.receive`."""
        revision = self.view.revision
        answers = super().receive(now, control_address, message)
        if self.view.revision != revision:
            self._changed(control_address, revision == 0)
        return answers


def _ignore_notices(_notices: PrefixNotices) -> None:
    """Ignores hints on cached prompt prefixes, since no actor sends prompts."""


def leading_machine(machines: Iterable[ControlMachine]) -> ControlMachine | None:
    """Returns the running machine that leads in the highest term, or None."""
    leading = [
        machine
        for machine in machines
        if machine.running and machine.node is not None and machine.node.host.leads
    ]
    return max(leading, key=_term, default=None)


def _term(machine: ControlMachine) -> int:
    return 0 if machine.node is None else machine.node.host.replica.term
