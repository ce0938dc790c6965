"""Creates the RPC pool, and the front that accepts its clients, from the operator file."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from brackenladder.core.clock import Clock
from brackenladder.discovery.sources import FixedList, PolledDiscovery
from brackenladder.interface import State
from brackenladder.membership.listing import Line
from brackenladder.node.config import RESERVED_SOCKETS, Config, ConfigError, parse_address
from brackenladder.node.log import Log
from brackenladder.node.operator import RpcTable
from brackenladder.node.pool import NoMessenger, OnListing, Pool, Source
from brackenladder.rpc.codec import MessageLimits
from brackenladder.rpc.front import FrontLimits, RpcFront
from brackenladder.rpc.methods import MethodError, Methods, compile_method
from brackenladder.rpc.upstream import RpcUpstream, UpstreamLimits

IDLE_MARGIN = 0.3  # idle connections are closed this many seconds before the server would close them
MIN_HTTP_CONNECTIONS = 8  # connections that must be left for HTTP after RPC has taken its sockets


def message_limits(table: RpcTable) -> MessageLimits:
    return MessageLimits(message=table.message_kb << 10, nesting=table.nesting)


def rpc_pool(
    table: RpcTable, config: Config, loop: asyncio.AbstractEventLoop, clock: Clock, log: Log, stray_log: Log
) -> Pool:
    """Creates the pool of RPC servers, without probes and without messages between nodes.

    Its connections to servers may use half of `table.sockets`, those of clients the other half.
    """
    settings = replace(
        config.settings, probes=False, peers=False, list_on_request=table.discovery is not None
    )
    limits = UpstreamLimits(
        message_limits(table),
        table.pipeline,
        table.server_connections,
        table.sockets // 2,
        config.connect_timeout,
        max(config.idle_time - IDLE_MARGIN, config.idle_time / 2),
    )

    def source(on_listing: OnListing) -> Source:
        if table.discovery is None:
            return FixedList(
                [fixed_line(s.id, s.addr, s.zone, s.kind, s.cell) for s in table.servers], on_listing
            )
        address = parse_address(table.discovery, "rpc.discovery")
        return PolledDiscovery(loop, address, None, settings.instances, on_listing, stray_log.line)

    return Pool(
        settings,
        config.seed ^ 1,
        loop,
        RpcUpstream(loop, limits, stray_log.line, clock.now),
        source,
        NoMessenger(),
        config.zones,
        config.kinds,
        log.line,
        clock,
    )


def rpc_front(
    table: RpcTable, config: Config, loop: asyncio.AbstractEventLoop, pool: Pool, stray_log: Log
) -> RpcFront:
    """Creates the front, which accepts RPC clients.

    Clients may use the half of `table.sockets` that servers don't use.
    """
    limits = FrontLimits(
        message_limits(table),
        table.client_calls,
        table.client_unread_kb << 10,
        table.sockets - table.sockets // 2,
    )
    return RpcFront(loop, pool.host, compile_methods(table, config), limits, stray_log.line)


def fixed_line(name: str, addr: str, zone: str, kind: str, cell: int) -> Line:
    host, port = parse_address(addr, f"operator file: rpc.servers: {name}")
    return Line(name, host, port, zone, kind, cell, State.READY, 1.0, 0)


def check(table: RpcTable, config: Config) -> None:
    """Raises ConfigError if the node can't use the table. Called before anything listens."""
    parse_address(table.listen, "operator file: rpc.listen")
    if table.discovery is not None:
        parse_address(table.discovery, "operator file: rpc.discovery")
    for i, server in enumerate(table.servers):
        fixed_line(server.id, server.addr, server.zone, server.kind, server.cell)
        if server.id in {s.id for s in table.servers[:i]}:
            raise ConfigError(f"operator file: rpc.servers: {server.id}: listed twice")
    compile_methods(table, config)
    without_rpc_sockets(config, table)


def compile_methods(table: RpcTable, config: Config) -> Methods:
    """Compiles the methods and checks them against the settings' classes. Raises ConfigError with the key."""
    try:
        methods = {
            name: compile_method(
                name,
                m.klass,
                m.tenant,
                m.budget,
                m.key,
                m.notify,
                m.failures,
                config.classes,
                config.settings.classes,
            )
            for name, m in table.methods.items()
        }
    except MethodError as e:
        raise ConfigError(f"operator file: rpc.{e}") from None
    if table.tenant and table.tenant not in config.tenants:
        raise ConfigError(f"operator file: rpc.tenant: no tenant '{table.tenant}'")
    return Methods(
        methods, config.settings.classes, config.tenants, table.tenant, round(table.budget_ms * 1000)
    )


def without_rpc_sockets(config: Config, table: RpcTable) -> Config:
    """Returns the configuration for HTTP, whose `connections` exclude the sockets reserved for RPC."""
    left = config.connections - table.sockets
    if left < MIN_HTTP_CONNECTIONS:
        raise ConfigError(
            f"operator file: rpc.sockets: {table.sockets} leave too few of limits.sockets"
            f" ({config.connections + RESERVED_SOCKETS})"
        )
    return replace(config, connections=left)
