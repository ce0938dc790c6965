"""HTTP's pools where an operator may have several: a host for each, one upstream, one list, one router."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace
from hashlib import blake2b
from time import time

import msgspec

from brackenladder.control.plan import Applied, Live, Plan, admitted, remembered
from brackenladder.control.state import NOTHING, Desired
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


class Quiet:
    """For pools beside the first, which alone asks for the list; the upstream is told once for all."""

    def watch(self, on: bool) -> None:
        """The first pool's source watches."""

    def fetch(self) -> None:
        """The same."""

    def update(self, kind: ListKind, latest: Mapping[int, Line]) -> None:
        """The upstream has been told."""


class Side(Roster):
    """A pool's host, and its part of the list."""

    def __init__(self, name: str, spec: PoolSpec, host: Host, config: Config, pools: Pools) -> None:
        super().__init__(host, Quiet(), config.zones, config.kinds)
        self.name = name
        self.spec = spec
        self.pools = pools

    def entry(self, number: int, line: Line) -> ServerEntry:
        entry = super().entry(number, line)
        share = weight(self.spec, line)
        return replace(entry, share=share or 1.0, pools=self.pools.counts.get(line.id, 1))

    def hear(self, listing: Listing) -> None:
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
        self.state = NOTHING
        self.kept: LatestList | None = None
        self.history: tuple[Applied, ...] = ()
        self.counts: dict[str, int] = {}  # pools that have a server, where there are several pools
        self.sides = {DEFAULT: Side(DEFAULT, PoolSpec(), first.host, config, self)}
        self.changed: Callable[[], None] = lambda: None  # hears of each plan that was applied
        self.closed = False  # nothing is taken: every request is refused at once
        self.leaving: list[Side] = []  # pools that are gone, until their last call has ended
        self.draw = random.random  # which requests of a split go where is no secret, and not for the module
        self.router = Router((), config.classes, config.tenants)
        first.spread = self.spread

    # ---- the list -------------------------------------------------------------------------------------

    def count(self, lines: Iterable[Line]) -> None:
        """Takes note of how many pools have each server."""
        if len(self.sides) == 1:
            self.counts.clear()
            return
        for line in lines:
            if line.state == State.GONE:
                self.counts.pop(line.id, None)
            else:
                self.counts[line.id] = max(1, sum(contains(side.spec, line) for side in self.sides.values()))

    def spread(self, listing: Listing) -> None:
        """News of the list, to the upstream first and to every pool then."""
        if self.kept is None:
            self.kept = LatestList(listing)
        else:
            self.kept.apply(listing)
        if listing.kind != ListKind.CHANGES:
            self.counts.clear()
        self.count(listing.lines)
        latest = {number_of(line.id): line for line in listing.lines}
        self.first.upstream.update(listing.kind, latest)
        self.leaving = [side for side in self.leaving if side.host.calls]
        for side in (*self.sides.values(), *self.leaving):
            side.hear(listing)

    # ---- requests -------------------------------------------------------------------------------------

    def hosts(self) -> list[Host]:
        """Every pool's."""
        return [side.host for side in self.sides.values()]

    def route(self, klass: int, tenant: int, target: bytes, name: bytes) -> Host:
        """The host that takes a request."""
        path, _, query = target.partition(b"?")
        by = self.router.sticky(klass, tenant, path)
        key = ""
        if by:
            key = (name if by == "tenant" else query.rpartition(OBJECT)[2]).decode("latin-1")
        return self.sides[self.router.route(klass, tenant, path, key, self.draw())].host

    # ---- changes --------------------------------------------------------------------------------------

    def live(self) -> Live:
        lines = self.kept.merged().lines if self.kept is not None else ()
        return Live(
            self.state,
            lines,
            {name: len(side.host.calls) for name, side in self.sides.items()},
            tuple(self.config.classes),
            tuple(self.config.tenants),
            self.history,
        )

    def apply(self, plan: Plan, user: int) -> None:
        """Makes the change in one step of the event loop. A Refused leaves everything as it was."""
        desired = admitted(self.live(), plan)
        made = {name: self.side(name, spec) for name, spec in desired.pools.items() if name not in self.sides}
        router = Router(desired.routes, self.config.classes, self.config.tenants)
        # From here on nothing can fail.
        keys = tuple(".".join(change.key) for change in plan.changes)
        self.switch(desired, made, router)
        self.history = remembered(self.history, Applied(time(), user, plan.base, plan.result, keys))
        self.changed()

    def restore(self, desired: Desired) -> None:
        """Takes a whole state on, in one step of the event loop: a kept one, or others' newest."""
        made = {name: self.side(name, spec) for name, spec in desired.pools.items() if name not in self.sides}
        self.switch(desired, made, Router(desired.routes, self.config.classes, self.config.tenants))

    def shut(self, closed: bool) -> None:
        """Takes nothing from now on, or takes requests again."""
        if closed != self.closed:
            self.closed = closed
            self.limits()

    def limits(self) -> None:
        most = self.config.settings.max_open
        for side in self.sides.values():
            side.host.max_open = 0 if self.closed else min(most, side.spec.limit or most)

    def side(self, name: str, spec: PoolSpec) -> Side:
        """A pool that has not begun: its own module, the node's upstream."""
        settings = replace(self.config.settings, peers=False, list_on_request=False)
        seed = self.config.seed ^ int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big")
        host = Host(settings, seed, self.loop, self.first.upstream, self.log, self.clock)
        host.directory = Quiet()
        host.messenger = NoMessenger()
        return Side(name, spec, host, self.config, self)

    def switch(self, desired: Desired, made: Mapping[str, Side], router: Router) -> None:
        before = {name: side.spec for name, side in self.sides.items()}
        gone = [name for name in self.sides if name not in desired.pools]
        self.leaving += [self.sides.pop(name) for name in gone]
        self.sides |= made
        self.state = desired
        for name, side in self.sides.items():
            side.spec = desired.pools[name]
        self.limits()
        for side in made.values():
            side.host.start()
        if self.kept is not None:
            whole = self.kept.merged()
            chosen = {name: selector(spec) for name, spec in before.items()}
            if chosen != {name: selector(spec) for name, spec in desired.pools.items()}:
                self.counts.clear()
                self.count(whole.lines)
                before = {}  # a server's other pools count too: all are told
            for name, side in self.sides.items():
                if before.get(name) != side.spec:
                    side.hear(whole)
        self.router = router
        self.front.route = self.route if desired.routes else None

    def last_orders(self) -> None:
        """The node is to end: what pools beside the first take from now on must be concluded in time."""
        for side in (*self.sides.values(), *self.leaving):
            side.host.conclude_by = last_moment(side.host.now(), self.config.settings.classes)
