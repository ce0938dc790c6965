"""The HTTP pools that operators can configure.

Each has its own Host, which balances its calls. All share one upstream (the connections to servers) and one
server list.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace
from hashlib import blake2b
from time import time

import msgspec

from brackenladder.control.plan import AppliedChange, LiveState, Plan, append_history, check_plan
from brackenladder.control.state import DEFAULT_STATE, DesiredState
from brackenladder.core.clock import Clock
from brackenladder.core.ending import last_moment
from brackenladder.core.host import Host
from brackenladder.core.roster import Roster, number_of
from brackenladder.http.front import HttpFront
from brackenladder.interface import ListKind, ServerEntry, State
from brackenladder.membership.latest_list import LatestList
from brackenladder.membership.listing import Line, Listing
from brackenladder.node.config import Config
from brackenladder.node.pool import NoMessenger, Pool
from brackenladder.routing.pools import DEFAULT, PoolSpec, contains, pool_listing, weight
from brackenladder.routing.routes import Router

OBJECT = b"obj="  # the query parameter with the key of sticky routes


class NullDirectory:
    """Stands in for the server list's source and for the upstream in pools other than the default one.

    Only the default pool requests the server list, and `Pools.distribute` updates the upstream for all pools.
    """

    def watch(self, on: bool) -> None:
        """Does nothing: the default pool watches the server list."""

    def fetch(self) -> None:
        """Does nothing: the default pool requests the server list."""

    def update(self, kind: ListKind, latest: Mapping[int, Line]) -> None:
        """Does nothing: `Pools.distribute` has updated the upstream."""


class RoutedPool(Roster):
    """One pool: the Host that balances its calls, and the numbered list of servers that match the pool."""

    def __init__(self, name: str, spec: PoolSpec, host: Host, config: Config, pools: Pools) -> None:
        super().__init__(host, NullDirectory(), config.zones, config.kinds)
        self.name = name
        self.spec = spec
        self.pools = pools

    def entry(self, number: int, line: Line) -> ServerEntry:
        entry = super().entry(number, line)
        share = weight(self.spec, line)
        return replace(entry, share=share or 1.0, pools=self.pools.pools_per_server.get(line.id, 1))

    def apply_pool_listing(self, listing: Listing) -> None:
        self.apply_listing(pool_listing(self.spec, listing))


def selector(spec: PoolSpec) -> PoolSpec:
    """Returns the fields of a pool's specification that decide which servers belong to it."""
    return msgspec.structs.replace(spec, weights={}, limit=0)


class Pools:
    """The pools and routes in force, and the operations that change them."""

    def __init__(
        self,
        config: Config,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        first: Pool,
        front: HttpFront,
        log: Callable[[str], None],
    ) -> None:
        self.config = config
        self.loop = loop
        self.clock = clock
        self.first = first
        self.front = front
        self.log = log
        self.state = DEFAULT_STATE
        self.latest_list: LatestList | None = None
        self.history: tuple[AppliedChange, ...] = ()
        # Number of pools by server id; empty if there is only one pool.
        self.pools_per_server: dict[str, int] = {}
        self.routed_pools = {DEFAULT: RoutedPool(DEFAULT, PoolSpec(), first.host, config, self)}
        self.changed: Callable[[], None] = lambda: None  # called after each applied plan
        self.closed = False  # while true, every request is refused at once
        self.draining: list[RoutedPool] = []  # removed pools that still have open calls
        self.random_fraction = random.random  # for splitting traffic; needn't be secure or reproducible
        self.router = Router((), config.classes, config.tenants)
        first.distribute = self.distribute

    # ---- the list -------------------------------------------------------------------------------------

    def count_pools(self, lines: Iterable[Line]) -> None:
        """Counts the pools that each of these servers belongs to."""
        if len(self.routed_pools) == 1:
            self.pools_per_server.clear()
            return
        for line in lines:
            if line.state == State.GONE:
                self.pools_per_server.pop(line.id, None)
            else:
                self.pools_per_server[line.id] = max(
                    1, sum(contains(pool.spec, line) for pool in self.routed_pools.values())
                )

    def distribute(self, listing: Listing) -> None:
        """Passes a server list to the upstream first and then to every pool."""
        if self.latest_list is None:
            self.latest_list = LatestList(listing)
        else:
            self.latest_list.apply(listing)
        if listing.kind != ListKind.CHANGES:
            self.pools_per_server.clear()
        self.count_pools(listing.lines)
        latest = {number_of(line.id): line for line in listing.lines}
        self.first.upstream.update(listing.kind, latest)
        self.draining = [pool for pool in self.draining if pool.host.calls]
        for pool in (*self.routed_pools.values(), *self.draining):
            pool.apply_pool_listing(listing)

    # ---- requests -------------------------------------------------------------------------------------

    def hosts(self) -> list[Host]:
        """For each pool, the Host that asks its Balancer for a server for each call."""
        return [pool.host for pool in self.routed_pools.values()]

    def route(self, klass: int, tenant: int, target: bytes, name: bytes) -> Host:
        """Returns the Host of the pool that serves a request. `name` is the tenant's name."""
        path, _, query = target.partition(b"?")
        sticky_by = self.router.sticky(klass, tenant, path)
        key = ""
        if sticky_by:
            key = (name if sticky_by == "tenant" else query.rpartition(OBJECT)[2]).decode("latin-1")
        return self.routed_pools[self.router.route(klass, tenant, path, key, self.random_fraction())].host

    # ---- changes --------------------------------------------------------------------------------------

    def live(self) -> LiveState:
        lines = self.latest_list.merged().lines if self.latest_list is not None else ()
        return LiveState(
            self.state,
            lines,
            {name: len(pool.host.calls) for name, pool in self.routed_pools.items()},
            tuple(self.config.classes),
            tuple(self.config.tenants),
            self.history,
        )

    def apply(self, plan: Plan, user: int) -> None:
        """Applies a plan within one loop iteration. Raises PlanRefused if it may not, and changes nothing."""
        desired = check_plan(self.live(), plan)
        new_pools = {
            name: self.make_pool(name, spec)
            for name, spec in desired.pools.items()
            if name not in self.routed_pools
        }
        router = Router(desired.routes, self.config.classes, self.config.tenants)
        # Nothing below can fail, so a plan is never applied partly.
        keys = tuple(".".join(change.key) for change in plan.changes)
        self.switch(desired, new_pools, router)
        self.history = append_history(self.history, AppliedChange(time(), user, plan.base, plan.result, keys))
        self.changed()

    def restore_state(self, desired: DesiredState) -> None:
        """Replaces the whole state within one loop iteration, with a saved one or another node's newest."""
        new_pools = {
            name: self.make_pool(name, spec)
            for name, spec in desired.pools.items()
            if name not in self.routed_pools
        }
        self.switch(desired, new_pools, Router(desired.routes, self.config.classes, self.config.tenants))

    def set_closed(self, closed: bool) -> None:
        """Refuses all requests, or accepts them again."""
        if closed != self.closed:
            self.closed = closed
            self.apply_limits()

    def apply_limits(self) -> None:
        max_open = self.config.settings.max_open
        for pool in self.routed_pools.values():
            pool.host.max_open = 0 if self.closed else min(max_open, pool.spec.limit or max_open)

    def make_pool(self, name: str, spec: PoolSpec) -> RoutedPool:
        """Creates a pool with its own Balancer and the node's shared upstream, without starting it."""
        settings = replace(self.config.settings, peers=False, list_on_request=False)
        seed = self.config.seed ^ int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big")
        host = Host(settings, seed, self.loop, self.first.upstream, self.log, self.clock)
        host.directory = NullDirectory()
        host.messenger = NoMessenger()
        return RoutedPool(name, spec, host, self.config, self)

    def switch(self, desired: DesiredState, new_pools: Mapping[str, RoutedPool], router: Router) -> None:
        before = {name: pool.spec for name, pool in self.routed_pools.items()}
        gone = [name for name in self.routed_pools if name not in desired.pools]
        self.draining += [self.routed_pools.pop(name) for name in gone]
        self.routed_pools |= new_pools
        self.state = desired
        for name, pool in self.routed_pools.items():
            pool.spec = desired.pools[name]
        self.apply_limits()
        for pool in new_pools.values():
            pool.host.start()
        if self.latest_list is not None:
            whole = self.latest_list.merged()
            selectors_before = {name: selector(spec) for name, spec in before.items()}
            if selectors_before != {name: selector(spec) for name, spec in desired.pools.items()}:
                self.pools_per_server.clear()
                self.count_pools(whole.lines)
                before = {}  # a server may now be in more or fewer pools, so update all pools
            for name, pool in self.routed_pools.items():
                if before.get(name) != pool.spec:
                    pool.apply_pool_listing(whole)
        self.router = router
        self.front.route = self.route if desired.routes else None

    def begin_shutdown(self) -> None:
        """Called at the start of a shutdown: limits all pools' new calls to the time left until the kill."""
        for pool in (*self.routed_pools.values(), *self.draining):
            pool.host.conclude_by = last_moment(pool.host.now(), self.config.settings.classes)
