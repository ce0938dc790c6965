"""Which pool a request is sent to: by the first matching route and its shares. Without I/O."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from itertools import accumulate
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from brackenladder.routing.pools import DEFAULT, Name, Part, Text, hash_position

SUM_SLACK = 1e-6  # largest allowed difference between 1 and the sum of a route's shares, for rounding


class RouteSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """An operator's definition of a route. Empty lists and an empty prefix match everything.

    `to`: pools and their shares. `sticky`: requests of one object or tenant go to the same pool as long as
    the shares are the same; a pool whose share is raised keeps its requests.
    """

    classes: tuple[Text, ...] = ()
    tenants: tuple[Text, ...] = ()
    prefix: Annotated[str, Meta(max_length=256)] = ""
    to: Annotated[dict[Name, Part], Meta(min_length=1, max_length=64)]
    sticky: Literal["", "object", "tenant"] = ""


@dataclass(frozen=True, slots=True)
class CompiledRoute:
    """A route in the form used for lookups."""

    prefix: bytes
    pools: tuple[str, ...]
    ends: tuple[float, ...]  # cumulative shares: pool i gets the numbers from ends[i - 1] up to ends[i]
    sticky: str


class Router:
    """Routes by class and tenant, so that each lookup considers only routes that can match.

    `tenants`: names by number; any other tenant matches only routes without a list of tenants.
    """

    def __init__(self, routes: Sequence[RouteSpec], classes: Sequence[str], tenants: Sequence[str]) -> None:
        self.table = [
            [tuple(compile_routes(routes, klass, tenant)) for tenant in (*tenants, "")] for klass in classes
        ]

    def route(self, klass: int, tenant: int, path: bytes, key: str, draw: float) -> str:
        """The name of the pool for a request. `key`: what sticky routes hash; `draw`: random, in [0, 1)."""
        routes_by_tenant = self.table[klass]
        for route in routes_by_tenant[tenant if tenant < len(routes_by_tenant) else -1]:
            if path.startswith(route.prefix):
                if len(route.pools) == 1:
                    return route.pools[0]
                at = hash_position(key) if route.sticky else draw
                for pool, end in zip(route.pools, route.ends, strict=True):
                    if at < end:
                        return pool
                return route.pools[-1]
        return DEFAULT

    def sticky(self, klass: int, tenant: int, path: bytes) -> str:
        """What the request's route is sticky by: `object`, `tenant`, or empty if it is not sticky."""
        routes_by_tenant = self.table[klass]
        for route in routes_by_tenant[tenant if tenant < len(routes_by_tenant) else -1]:
            if path.startswith(route.prefix):
                return route.sticky if len(route.pools) > 1 else ""
        return ""


def compile_routes(routes: Sequence[RouteSpec], klass: str, tenant: str) -> list[CompiledRoute]:
    """The routes that can match requests of a class and tenant, up to the first that matches all of them."""
    found: list[CompiledRoute] = []
    for route in routes:
        if (not route.classes or klass in route.classes) and (not route.tenants or tenant in route.tenants):
            # The default pool is last, so a canary's part of the hash range begins at 0 and grows at the
            # expense of the default.
            order = sorted(route.to, key=lambda name: (name == DEFAULT, name))
            ends = tuple(accumulate(route.to[name] for name in order))
            found.append(CompiledRoute(route.prefix.encode(), tuple(order), ends, route.sticky))
            if not route.prefix:
                break
    return found


def used_pools(routes: Sequence[RouteSpec]) -> set[str]:
    """The names of the pools to which some route sends requests, or that unmatched requests go to."""
    return {DEFAULT} | {name for route in routes for name, share in route.to.items() if share > 0}


def reachable_pools(routes: Sequence[RouteSpec], klass: str, tenants: Sequence[str]) -> Mapping[str, float]:
    """The pools that requests of a class of any tenant may be sent to, each with its largest share."""
    found: dict[str, float] = {}
    for tenant in (*tenants, ""):
        compiled = compile_routes(routes, klass, tenant)
        for route in compiled:
            starts = (0.0, *route.ends[:-1])
            for pool, start, end in zip(route.pools, starts, route.ends, strict=True):
                if end > start:
                    found[pool] = max(found.get(pool, 0.0), end - start)
        if not compiled or compiled[-1].prefix:
            found[DEFAULT] = 1.0
    return found
