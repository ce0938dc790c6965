"""The RPC pool of a node: its core, front, upstream and server list."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from brackenladder.core.host import Host
from brackenladder.discovery.listing import Line, Listing
from brackenladder.discovery.watch import Discovery
from brackenladder.interface import ListKind, State
from brackenladder.node.config import RESERVED_SOCKETS, Config, ConfigError, read_address
from brackenladder.node.log import STRAYS_A_SECOND, Log
from brackenladder.node.node import KILL_AFTER, KILL_MARGIN, Roster
from brackenladder.node.operator import RpcTable
from brackenladder.rpc.codec import Bounds
from brackenladder.rpc.front import FrontLimits, RpcFront
from brackenladder.rpc.methods import MethodError, Methods, compiled
from brackenladder.rpc.upstream import RpcUpstream, UpstreamLimits

IDLE_MARGIN = 0.3  # seconds before the server would close an idle connection
LEAST_HTTP = 8  # descriptors that are left to HTTP's connections at the least


class NoDirectory:
    """The source of a fixed list: there is nothing to ask for."""

    def watch(self, on: bool) -> None:
        """There are no changes."""

    def fetch(self) -> None:
        """The list is known."""


class NoMessenger:
    """RPC pools send no messages between nodes: the pool's settings allow none."""

    def tell(self, peer: int, data: bytes) -> None:
        """Not allowed."""


class RpcPool:
    """Serves RPC calls with a Balancer of their own, beside HTTP's."""

    def __init__(self, table: RpcTable, config: Config, loop: asyncio.AbstractEventLoop, log: Log) -> None:
        self.table = table
        self.loop = loop
        self.log_lines = log
        self.listen = read_address(table.listen, "rpc.listen")
        self.settings = replace(
            config.settings, probes=False, peers=False, list_on_request=table.discovery is not None
        )
        strays = Log(config.name, STRAYS_A_SECOND)
        bounds = Bounds(message=table.message_kb << 10, nesting=table.nesting)
        half = table.sockets // 2
        self.upstream = RpcUpstream(
            loop,
            UpstreamLimits(
                bounds,
                table.pipeline,
                table.server_connections,
                half,
                config.connect_timeout,
                max(config.idle_time - IDLE_MARGIN, config.idle_time / 2),
            ),
            strays.line,
        )
        self.host = Host(self.settings, config.seed ^ 1, loop, self.upstream, log.line)
        methods = methods_of(table, config)
        limits = FrontLimits(bounds, table.client_calls, table.client_unread_kb << 10, table.sockets - half)
        self.front = RpcFront(loop, self.host, methods, limits, strays.line)
        self.roster = Roster(self.host, self.upstream, config.zones, config.kinds)
        self.discovery: Discovery | None = None
        self.host.messenger = NoMessenger()
        if table.discovery is None:
            self.host.directory = NoDirectory()
        else:
            address = read_address(table.discovery, "rpc.discovery")
            self.discovery = Discovery(loop, address, None, self.settings.instances, self.roster.told, strays)
            self.host.directory = self.discovery

    async def start(self) -> None:
        """Begins to serve. An OSError if the address cannot be had."""
        self.front.start(self.listen)
        self.host.start()
        if self.table.servers:
            lines = tuple(fixed(s.id, s.addr, s.zone, s.kind, s.cell) for s in self.table.servers)
            self.roster.told(Listing(ListKind.FULL, 1, lines))

    async def drain(self) -> None:
        """Answers what has been taken, and ends."""
        longest = max(c.deadline for c in self.settings.classes)
        self.host.ends = self.host.now() + min(longest, KILL_AFTER) - KILL_MARGIN
        await self.front.drain()
        if self.discovery is not None:
            self.discovery.close()


def fixed(name: str, addr: str, zone: str, kind: str, cell: int) -> Line:
    host, port = read_address(addr, f"rpc.servers: {name}")
    return Line(name, host, port, zone, kind, cell, State.READY, 1.0, 0)


def methods_of(table: RpcTable, config: Config) -> Methods:
    """The methods, checked against the settings' classes. A ConfigError names the key."""
    try:
        compiled_ = {
            name: compiled(
                name, m.klass, m.tenant, m.budget, m.key, m.notify, config.classes, config.settings.classes
            )
            for name, m in table.methods.items()
        }
    except MethodError as e:
        raise ConfigError(f"operator file: rpc.{e}") from None
    if table.tenant and table.tenant not in config.tenants:
        raise ConfigError(f"operator file: rpc.tenant: no tenant '{table.tenant}'")
    return Methods(
        compiled_, config.settings.classes, config.tenants, table.tenant, round(table.budget_ms * 1000)
    )


def without(config: Config, table: RpcTable) -> Config:
    """The configuration of the HTTP part, less the descriptors that RPC takes."""
    left = config.connections - table.sockets
    if left < LEAST_HTTP:
        raise ConfigError(
            f"operator file: rpc.sockets: {table.sockets} leave too few of limits.sockets"
            f" ({config.connections + RESERVED_SOCKETS})"
        )
    return replace(config, connections=left)
