"""Keeps one pool for each configured service, and the current route table and limits."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator, Sequence
from functools import partial
from random import Random
from typing import Protocol
from zlib import crc32

from brackenladder.catalog.configuration import Limits, Route, Service
from brackenladder.catalog.routes import RouteTable
from brackenladder.core.clock import Clock
from brackenladder.delivery.view import SystemView, ViewChange
from brackenladder.gateway.connections import ServerConnections
from brackenladder.gateway.failures import FailureLog
from brackenladder.gateway.traffic_split import TrafficSplit
from brackenladder.gateway.upstream import ServiceUpstream, connection_share
from brackenladder.placement.decision_counters import DecisionCounters
from brackenladder.placement.pool import ServicePool
from brackenladder.placement.traits import PromptPart
from brackenladder.platform_settings import Platform
from brackenladder.prefix_cache.announcer import PrefixAnnouncer
from brackenladder.prefix_cache.early import EarlyNotices
from brackenladder.prefix_cache.messages import PrefixNotice

HASH_RANGE = 1 << 32


class PoolFactory(Protocol):
    """Creates the pool of a service."""

    def __call__(self, service: str, upstream: ServiceUpstream) -> ServicePool:
        """A pool whose attempts go through `upstream`."""


class GatewayClock(Clock):
    """The gateway's clock with the interface that the core uses."""

    def __init__(self, now: Callable[[], int]) -> None:
        super().__init__()
        self._now = now

    def now(self) -> int:
        return self._now()


class ServicePools:
    """One pool of servers per service; pools are created, updated and closed as the configuration changes."""

    def __init__(
        self,
        view: SystemView,
        connections: ServerConnections,
        now: Callable[[], int],
        random: Random,
        failures: FailureLog,
        make_pool: PoolFactory,
    ) -> None:
        self.view = view
        self.connections = connections
        self.now = now
        self.random = random
        self.failures = failures
        self.make_pool = make_pool
        self.routes = RouteTable(None)
        self.limits = Limits()
        self._services: dict[str, Service] = {}
        self._pools: dict[str, ServicePool] = {}
        # Pools of services that were removed from the configuration, kept until their calls and streams have
        # ended. They still follow the view's list of servers.
        self._leaving: list[ServicePool] = []
        self._splits: dict[str, TrafficSplit] = {}  # by name of a route with several targets
        self._early = EarlyNotices()
        self._read_configuration()
        self._unsubscribe = view.subscribe(self._changed)

    @property
    def configured(self) -> bool:
        """Whether a configuration is known."""
        return self.view.configuration is not None

    def choose(self, route: Route, parts: tuple[PromptPart, ...]) -> ServicePool | None:
        """The pool for a request of this route, chosen by the targets' weights."""
        if not route.split:
            return None
        if len(route.split) == 1:
            return self._pools.get(route.split[0].service)
        split = self._splits.get(route.name)
        if split is None or split.targets != route.split:
            split = self._splits[route.name] = TrafficSplit(route.split)
        return self._pools.get(split.choose(self._point(route, parts)).service)

    def receive_prefix_notices(self, now: int, notices: Sequence[PrefixNotice]) -> None:
        """Pass notices of cached prefixes to the pools; keep those about unknown servers for a moment."""
        for pool in self._pools.values():
            pool.receive_prefix_notices(now, notices)
        self._early.add(now, [notice for notice in notices if not self._is_known(notice.server)])

    def _is_known(self, server: int) -> bool:
        return any(pool.record(server) is not None for pool in self._pools.values())

    def _deliver_early(self) -> None:
        now = self.now()
        notices = self._early.take(now, self._is_known)
        for pool in self._pools.values():
            pool.receive_prefix_notices(now, notices)

    def counters(self) -> Iterator[tuple[str, DecisionCounters]]:
        """The counters of placement decisions, by service."""
        for name, pool in self._pools.items():
            yield name, pool.balancer.in_flight.counters

    def give_up(self) -> None:
        """Conclude all calls that have no response yet: the gateway is shutting down."""
        for pool in (*self._pools.values(), *self._leaving):
            pool.give_up()

    def close(self) -> None:
        """Close all pools."""
        self._unsubscribe()
        for pool in (*self._pools.values(), *self._leaving):
            pool.close()

    def _point(self, route: Route, parts: tuple[PromptPart, ...]) -> float:
        """A point from 0 up to 1 that selects a weighted target; on sticky routes a hash of the prompt."""
        if route.sticky and parts:
            return crc32(parts[-1].id.encode()) / HASH_RANGE
        return self.random.random()

    def _changed(self, change: ViewChange) -> None:
        if ViewChange.CATALOG in change:
            self._read_configuration()
        for pool in (*self._pools.values(), *self._leaving):
            pool.refresh()
        if self._early:
            self._deliver_early()
        if ViewChange.SERVERS in change:
            self.connections.keep_only({record.address for record in self.view.servers.values()})

    def _read_configuration(self) -> None:
        configuration = self.view.configuration
        if configuration is None:
            return
        self.limits = configuration.limits
        self._services = {service.name: service for service in configuration.services}
        for name in [name for name in self._pools if name not in self._services]:
            self._leaving.append(self._pools.pop(name))
        for name in self._services:
            if name not in self._pools:
                self._pools[name] = self._reclaim_leaving(name) or self._new_pool(name)
        self.routes = RouteTable(configuration)
        names = {route.name for route in configuration.routes}
        self._splits = {name: split for name, split in self._splits.items() if name in names}
        self._close_idle_pools()

    def _close_idle_pools(self) -> None:
        for pool in [pool for pool in self._leaving if pool.idle]:
            pool.close()
            self._leaving.remove(pool)

    def _reclaim_leaving(self, name: str) -> ServicePool | None:
        """The pool of a service that is configured again while earlier calls still use its old pool.

        A second pool would spend the gateway's share of the retry budget, and of the traffic for cold
        servers, once more.
        """
        for pool in self._leaving:
            if pool.service == name:
                self._leaving.remove(pool)
                return pool
        return None

    def _new_pool(self, name: str) -> ServicePool:
        limit = partial(self._connection_limit, name)
        upstream = ServiceUpstream(self.view, self.connections, self.now, limit, self.failures)
        pool = self.make_pool(name, upstream)
        upstream.records = pool
        return pool

    def _connection_limit(self, name: str) -> int:
        service = self._services.get(name)
        max_connections = service.max_connections if service is not None else 0
        return connection_share(max_connections, self.view.gateways)


def pool_factory(
    view: SystemView,
    platform: Platform,
    now: Callable[[], int],
    random: Random,
    announcer: PrefixAnnouncer,
    log: Callable[[str], None],
) -> PoolFactory:
    """The factory of the pools that a real gateway uses."""
    clock = GatewayClock(now)

    def make(service: str, upstream: ServiceUpstream) -> ServicePool:
        loop = asyncio.get_running_loop()
        return ServicePool(service, view, platform, upstream, loop, clock, random, announcer, log)

    return make
