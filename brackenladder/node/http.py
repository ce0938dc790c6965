"""Creates the HTTP pool and front from the node's configuration."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from brackenladder.core.call import Messenger
from brackenladder.core.clock import Clock
from brackenladder.core.ending import handover
from brackenladder.discovery.sources import AgentDiscovery, PolledDiscovery
from brackenladder.http.client_connections import ClientConnections
from brackenladder.http.front import HttpFront
from brackenladder.http.upstream import HttpUpstream
from brackenladder.node.config import Config
from brackenladder.node.log import Log
from brackenladder.node.pool import Pool


def http_pool(
    config: Config,
    loop: asyncio.AbstractEventLoop,
    messenger: Messenger,
    clock: Clock,
    log: Log,
    stray_log: Log,
) -> Pool:
    """Creates the pool of HTTP servers, which may use half of `config.connections`."""
    settings = config.settings
    upstream = HttpUpstream(
        loop,
        config.connections // 2,
        config.connect_timeout,
        config.idle_time,
        config.report_names,
        config.inline_reports,
        clock.now,
    )
    source = PolledDiscovery if settings.list_on_request else AgentDiscovery
    return Pool(
        settings,
        config.seed,
        loop,
        upstream,
        lambda on_listing: source(
            loop, config.discovery, config.known, settings.instances, on_listing, stray_log.line
        ),
        messenger,
        config.zones,
        config.kinds,
        log.line,
        clock,
    )


def http_front(
    config: Config, loop: asyncio.AbstractEventLoop, pool: Pool, ready: Callable[[], bool], log: Log
) -> HttpFront:
    """Creates the front, which accepts HTTP clients.

    Clients may use the half of `config.connections` that servers don't use.

    `ready` is called to answer `/ready`.
    """
    front = HttpFront(pool.host, config.classes, config.tenants, ready, log.line)
    max_clients = config.connections - config.connections // 2
    front.clients = ClientConnections(loop, max_clients, config.most_held, config.most_bulk, front)
    front.clients.handover = handover(config.settings.classes)
    return front
