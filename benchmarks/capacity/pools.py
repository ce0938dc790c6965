"""What a change of servers or of the configuration costs a gateway whose decision modules follow the view."""

from __future__ import annotations

import asyncio
import time
import tracemalloc
from random import Random
from typing import Any

from attrs import evolve, frozen

from brackenladder.catalog.configuration import parse_configuration
from brackenladder.delivery.view import SystemView
from brackenladder.gateway.pools import GatewayClock, ServicePools
from brackenladder.placement.pool import ServicePool
from brackenladder.platform_settings import Listen, Platform, PortRange
from brackenladder.prefix_cache.announcer import PrefixAnnouncer
from brackenladder.registry.records import ServerState
from capacity.target import Size
from capacity.timing import Best
from capacity.workload import FIRST_SEQ, configuration_document, server_record, zone_name, zones_of

ROUNDS = 7


@frozen
class PoolCosts:
    """Of one gateway with all its pools."""

    server_change_us: float  # each time that servers have changed, however many
    configuration_change_us: float  # with the route table; parsing is not in it
    memory_for_each_server: float  # bytes of pools and decision modules


class _NoServers:
    """An upstream and its connections that reach nobody."""

    def __getattr__(self, _name: str) -> Any:
        return lambda *_arguments, **_named: None


def pool_costs(size: Size) -> PoolCosts:
    """The pools of one gateway that knows this many servers and routes."""
    return asyncio.run(_measure(size))


async def _measure(size: Size) -> PoolCosts:
    view = SystemView()
    records = [server_record(number, size) for number in range(size.servers)]
    view.merge_servers(0, records)
    first = parse_configuration(configuration_document(1, size.routes)).unwrap()
    second = parse_configuration(configuration_document(2, size.routes)).unwrap()
    view.set_catalog(1, first, frozenset())
    tracemalloc.start()
    pools = _pools(view, size)
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    servers, configuration = Best(), Best()
    for number in range(ROUNDS):
        state = ServerState.READY if number % 2 else ServerState.DRAINING
        with servers.round():
            view.merge_servers(0, [evolve(records[0], state=state, seq=FIRST_SEQ + 1 + number)])
        with configuration.round():
            view.set_catalog(2 + number, second if number % 2 else first, frozenset())
    pools.close()
    return PoolCosts(servers.microseconds(1), configuration.microseconds(1), memory / size.servers)


def _pools(view: SystemView, size: Size) -> ServicePools:
    clock = GatewayClock(_microseconds)
    nobody: Any = _NoServers()

    def make(service: str, upstream: Any) -> ServicePool:
        loop = asyncio.get_running_loop()
        platform = _platform(size)
        announcer = PrefixAnnouncer(lambda: None)
        return ServicePool(
            service, view, platform, nobody, loop, clock, Random(1), announcer, lambda _line: None
        )

    return ServicePools(view, nobody, _microseconds, Random(1), nobody, make)


def _platform(size: Size) -> Platform:
    return Platform(
        node_name="front-1",
        role="gateway",
        machine_class="front",
        serves=("front",),
        ip="127.0.0.1",
        zone=zone_name(0),
        region=zones_of(size)[zone_name(0)],
        ports=PortRange(1, 8),
        zones=zones_of(size),
        listen=Listen(front="127.0.0.1:1"),
    )


def _microseconds() -> int:
    return time.monotonic_ns() // 1000
