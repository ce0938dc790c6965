"""HTTP's pools where an operator may have several: a host for each, one upstream, one list, one router."""

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

OBJECT = b"obj="  # in a target's query


class NullDirectory:
    """For pools beside the first, which alone asks for the list; the upstream is told once for all."""

    def watch(self, on: bool) -> None:
        """The first pool's source watches."""

    def fetch(self) -> None:
        """The same."""

    def update(self, kind: ListKind, latest: Mapping[int, Line]) -> None:
        """The upstream has been told."""


class RoutedPool(Roster):
    """A pool's host, and its part of the list."""

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
    """What of a pool says which servers it has."""
    return msgspec.structs.replace(spec, weights={}, limit=0)


class Pools:
    """What runs, and the step that changes it."""

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
        self.pools_per_server: dict[str, int] = {}  # pools that have a server, where there are several pools
        self.routed_pools = {DEFAULT: RoutedPool(DEFAULT, PoolSpec(), first.host, config, self)}
        self.changed: Callable[[], None] = lambda: None  # hears of each plan that was applied
        self.closed = False  # nothing is taken: every request is refused at once
        self.draining: list[RoutedPool] = []  # pools that are gone, until their last call has ended
        self.random_fraction = (
            random.random
        )  # which requests of a split go where is no secret, and not for the module
        self.router = Router((), config.classes, config.tenants)
        first.distribute = self.distribute

    # ---- the list -------------------------------------------------------------------------------------

    def count(self, lines: Iterable[Line]) -> None:
        """Takes note of how many pools have each server."""
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
        """News of the list, to the upstream first and to every pool then."""
        if self.latest_list is None:
            self.latest_list = LatestList(listing)
        else:
            self.latest_list.apply(listing)
        if listing.kind != ListKind.CHANGES:
            self.pools_per_server.clear()
        self.count(listing.lines)
        latest = {number_of(line.id): line for line in listing.lines}
        self.first.upstream.update(listing.kind, latest)
        self.draining = [pool for pool in self.draining if pool.host.calls]
        for pool in (*self.routed_pools.values(), *self.draining):
            pool.apply_pool_listing(listing)

    # ---- requests -------------------------------------------------------------------------------------

    def hosts(self) -> list[Host]:
        """Every pool's."""
        return [pool.host for pool in self.routed_pools.values()]

    def route(self, klass: int, tenant: int, target: bytes, name: bytes) -> Host:
        """The host that takes a request."""
        path, _, query = target.partition(b"?")
        by = self.router.sticky(klass, tenant, path)
        key = ""
        if by:
            key = (name if by == "tenant" else query.rpartition(OBJECT)[2]).decode("latin-1")
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
        """Makes the change in one step of the event loop. A Refused leaves everything as it was."""
        desired = check_plan(self.live(), plan)
        made = {
            name: self.make_pool(name, spec)
            for name, spec in desired.pools.items()
            if name not in self.routed_pools
        }
        router = Router(desired.routes, self.config.classes, self.config.tenants)
        # From here on nothing can fail.
        keys = tuple(".".join(change.key) for change in plan.changes)
        self.switch(desired, made, router)
        self.history = append_history(self.history, AppliedChange(time(), user, plan.base, plan.result, keys))
        self.changed()

    def restore_state(self, desired: DesiredState) -> None:
        """Takes a whole state on, in one step of the event loop: a kept one, or others' newest."""
        made = {
            name: self.make_pool(name, spec)
            for name, spec in desired.pools.items()
            if name not in self.routed_pools
        }
        self.switch(desired, made, Router(desired.routes, self.config.classes, self.config.tenants))

    def set_closed(self, closed: bool) -> None:
        """Takes nothing from now on, or takes requests again."""
        if closed != self.closed:
            self.closed = closed
            self.limits()

    def limits(self) -> None:
        most = self.config.settings.max_open
        for pool in self.routed_pools.values():
            pool.host.max_open = 0 if self.closed else min(most, pool.spec.limit or most)

    def make_pool(self, name: str, spec: PoolSpec) -> RoutedPool:
        """A pool that has not begun: its own module, the node's upstream."""
        settings = replace(self.config.settings, peers=False, list_on_request=False)
        seed = self.config.seed ^ int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big")
        host = Host(settings, seed, self.loop, self.first.upstream, self.log, self.clock)
        host.directory = NullDirectory()
        host.messenger = NoMessenger()
        return RoutedPool(name, spec, host, self.config, self)

    def switch(self, desired: DesiredState, made: Mapping[str, RoutedPool], router: Router) -> None:
        before = {name: pool.spec for name, pool in self.routed_pools.items()}
        gone = [name for name in self.routed_pools if name not in desired.pools]
        self.draining += [self.routed_pools.pop(name) for name in gone]
        self.routed_pools |= made
        self.state = desired
        for name, pool in self.routed_pools.items():
            pool.spec = desired.pools[name]
        self.limits()
        for pool in made.values():
            pool.host.start()
        if self.latest_list is not None:
            whole = self.latest_list.merged()
            chosen = {name: selector(spec) for name, spec in before.items()}
            if chosen != {name: selector(spec) for name, spec in desired.pools.items()}:
                self.pools_per_server.clear()
                self.count(whole.lines)
                before = {}  # a server's other pools count too: all are told
            for name, pool in self.routed_pools.items():
                if before.get(name) != pool.spec:
                    pool.apply_pool_listing(whole)
        self.router = router
        self.front.route = self.route if desired.routes else None

    def begin_shutdown(self) -> None:
        """The node is to end: what pools beside the first take from now on must be concluded in time."""
        for pool in (*self.routed_pools.values(), *self.draining):
            pool.host.conclude_by = last_moment(pool.host.now(), self.config.settings.classes)
