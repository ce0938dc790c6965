"""Control nodes, gateways and servers as they run, over loopback TCP, many to one process."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from random import Random

from returns.result import Result, Success

from brackenladder.catalog.configuration import Configuration
from brackenladder.consensus.members import genesis_replica_id
from brackenladder.consensus.types import Member, Members
from brackenladder.control_plane.control_node import ControlNode, ReplicaStart
from brackenladder.control_plane.instances import parse_heartbeat
from brackenladder.delivery.documents import DocumentParser, parse_document
from brackenladder.delivery.presence import Presence
from brackenladder.delivery.subscriber import Subscriber
from brackenladder.delivery.view import ViewChange
from brackenladder.node.control_links import ControlLinks
from brackenladder.node.role_runner import monotonic_microseconds
from brackenladder.platform_settings import Platform
from brackenladder.registry.gateways import GatewayState
from brackenladder.storage.sqlite_log import open_store
from brackenladder.storage.writer import StoreWriter
from brackenladder.transport.errors import LinkClosed
from brackenladder.transport.link import Link, LinkTiming
from brackenladder.transport.tcp import TcpTransport
from capacity.meter import CountingCodec
from capacity.target import MILLISECONDS
from capacity.workload import HollowServer

GATEWAY_TICK_SECONDS = 0.2  # as in `node/gateway_role.py`
SERVERS_TICK_SECONDS = 0.01
PATIENT = LinkTiming(
    silence_timeout=12_000_000, connect_timeout=5_000_000
)  # many nodes share a processor here


class StoreRefused(Exception):
    """A control node's log cannot be opened."""


class HollowControl:
    """A whole control node on a real store; its messages are counted."""

    def __init__(self, platform: Platform) -> None:
        self.codec = CountingCodec()
        self.platform = platform
        replica_id = genesis_replica_id(platform.inner_address)
        opened = open_store(platform.data_dir, lambda: replica_id)
        if not isinstance(opened, Success):
            raise StoreRefused(str(opened.failure()))
        store = opened.unwrap()
        founds = platform.listen.control in platform.seeds
        genesis = Members(
            voters=tuple(
                Member(genesis_replica_id(address), address) for address in platform.seed_inner_addresses
            )
        )
        start = ReplicaStart(replica_id, store.load().unwrap(), genesis if founds else None)
        self.node = ControlNode(
            platform,
            start,
            StoreWriter(store, asyncio.get_running_loop()),
            TcpTransport(self.codec, PATIENT, Random(), name=platform.node_name),  # type: ignore[arg-type]
            monotonic_microseconds,
            Random(),
        )


class HollowServers:
    """Servers of one control node: their heartbeats come as bodies, spread evenly over the interval."""

    def __init__(self, control: HollowControl, servers: Iterable[HollowServer]) -> None:
        self._soft_state = control.node.soft_state
        self._servers = list(servers)
        self._heartbeat_ms = control.platform.heartbeat_ms
        self._sent = 0
        self.not_acknowledged = 0

    async def run(self) -> None:
        """Sends heartbeats until it is cancelled."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        rate = len(self._servers) * MILLISECONDS / self._heartbeat_ms
        while True:
            await asyncio.sleep(SERVERS_TICK_SECONDS)
            due = int((loop.time() - began) * rate)
            while self._sent < due:
                self.beat(self._servers[self._sent % len(self._servers)])
                self._sent += 1

    def beat(self, server: HollowServer) -> None:
        """One heartbeat."""
        record = parse_heartbeat(server.id, server.body()).unwrap()
        if not self._soft_state.heartbeat(record):
            self.not_acknowledged += 1

    @property
    def ready(self) -> tuple[str, ...]:
        """The ids of the servers that have not said that they leave."""
        return tuple(server.id for server in self._servers if server.state == "ready")

    def drain(self, count: int) -> tuple[str, ...]:
        """Lets the first ready servers say that they are leaving; their ids."""
        leaving = [server for server in self._servers if server.state == "ready"][:count]
        for server in leaving:
            server.state = "draining"
            self.beat(server)
        return tuple(server.id for server in leaving)


class SharedParser:
    """Parses each document once for all gateways of a process, which share what comes of it."""

    def __init__(self) -> None:
        self._document = b""
        self._parsed = parse_document(b"{}")

    def parse(self, document: bytes) -> Result[Configuration, object]:
        """See `documents.parse_document`."""
        if document != self._document:
            self._document, self._parsed = document, parse_document(document)
        return self._parsed


Seen = Callable[["HollowGateway"], None]


class HollowGateway:
    """The control side of a gateway: it serves no clients."""

    def __init__(
        self, platform: Platform, codec: CountingCodec, parse: DocumentParser, clock: Callable[[], float]
    ) -> None:
        self.subscriber = Subscriber(parse)
        self.versions: dict[int, float] = {}  # when each configuration came into force
        self.drained: dict[str, float] = {}  # when each server was first known to drain
        self.closed_links = 0
        self._clock = clock
        self._presence = Presence(
            platform.node_name,
            platform.listen.front,
            platform.zone,
            platform.region,
            monotonic_microseconds(),
        )
        self._presence.set_state(GatewayState.STARTING)
        self._transport = TcpTransport(codec, PATIENT, Random(), name=platform.node_name)  # type: ignore[arg-type]
        self._links = _CountedLinks(
            self._transport, self.subscriber, self._presence, monotonic_microseconds, Random()
        )
        self._links.set_seeds(platform.seed_inner_addresses)
        self._watched: tuple[str, ...] = ()
        self.subscriber.view.subscribe(self._changed)
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None

    @property
    def ends(self) -> int:
        """Links that were lost since the start."""
        return self._links.ends

    @property
    def links(self) -> int:
        """Links that stand."""
        return self._links.standing

    def watch(self, server_ids: tuple[str, ...]) -> None:
        """Notes when these servers are known to drain."""
        self._watched = server_ids

    def start(self) -> None:
        """Begins to tick; the presence says that it is ready once the view is complete."""
        self._tick()

    def _tick(self) -> None:
        self._timer = self._loop.call_later(GATEWAY_TICK_SECONDS, self._tick)
        now = monotonic_microseconds()
        self.subscriber.tick(now)
        if self.subscriber.complete:
            self._presence.set_state(GatewayState.READY)
        self._links.tick()

    def _changed(self, change: ViewChange) -> None:
        view = self.subscriber.view
        if ViewChange.CATALOG in change and view.configuration is not None:
            self.versions.setdefault(view.configuration.version, self._clock())
        if ViewChange.SERVERS in change and self._watched:
            self._note_drained()

    def _note_drained(self) -> None:
        servers = self.subscriber.view.servers
        for server_id in self._watched:
            if server_id not in self.drained and server_id in servers and servers[server_id].state:
                self.drained[server_id] = self._clock()


class _CountedLinks(ControlLinks):
    """Counts links that end."""

    ends = 0

    @property
    def standing(self) -> int:
        """Links that stand now."""
        return len(self._links)

    def down(self, address: str, link: Link, reason: LinkClosed) -> None:
        """See `ControlLinks.down`."""
        if reason is not LinkClosed.LOCAL:
            self.ends += 1
        super().down(address, link, reason)
