"""Which pool a request goes to: the first route that fits, and within it a share. Pure."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from itertools import accumulate
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from brackenladder.routing.pools import DEFAULT, Name, Part, Text, hash_position

SUM_SLACK = 1e-6  # by which the shares of a route may miss 1


class RouteSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What an operator says of a route. Empty lists and an empty prefix fit everything.

    `to`: pools and their shares. `sticky`: requests of one object or tenant stay in one pool for as long as
    the shares do; a raised share takes more over and gives none back.
    """

    classes: tuple[Text, ...] = ()
    tenants: tuple[Text, ...] = ()
    prefix: Annotated[str, Meta(max_length=256)] = ""
    to: Annotated[dict[Name, Part], Meta(min_length=1, max_length=64)]
    sticky: Literal["", "object", "tenant"] = ""


@dataclass(frozen=True, slots=True)
class CompiledRoute:
    """A route as it is looked up."""

    prefix: bytes
    pools: tuple[str, ...]
    ends: tuple[float, ...]  # of each pool's share on a line of length 1
    sticky: str


class Router:
    """Routes by class and tenant, so that a request looks at those alone that can fit it.

    `tenants`: their names, by number; any other is a stranger, who fits routes that name no tenant.
    """

    def __init__(self, routes: Sequence[RouteSpec], classes: Sequence[str], tenants: Sequence[str]) -> None:
        self.table = [
            [tuple(compile_routes(routes, klass, tenant)) for tenant in (*tenants, "")] for klass in classes
        ]

    def route(self, klass: int, tenant: int, path: bytes, key: str, draw: float) -> str:
        """The name of a pool. `key`: of what is sticky; `draw`: from 0 up to 1, for what is not."""
        by_tenant = self.table[klass]
        for leg in by_tenant[tenant if tenant < len(by_tenant) else -1]:
            if path.startswith(leg.prefix):
                if len(leg.pools) == 1:
                    return leg.pools[0]
                at = hash_position(key) if leg.sticky else draw
                for pool, end in zip(leg.pools, leg.ends, strict=True):
                    if at < end:
                        return pool
                return leg.pools[-1]
        return DEFAULT

    def sticky(self, klass: int, tenant: int, path: bytes) -> str:
        """What the request's route is sticky by; nothing if it is not."""
        by_tenant = self.table[klass]
        for leg in by_tenant[tenant if tenant < len(by_tenant) else -1]:
            if path.startswith(leg.prefix):
                return leg.sticky if len(leg.pools) > 1 else ""
        return ""


def compile_routes(routes: Sequence[RouteSpec], klass: str, tenant: str) -> list[CompiledRoute]:
    """Those that can fit, up to the first that always does."""
    found: list[CompiledRoute] = []
    for route in routes:
        if (not route.classes or klass in route.classes) and (not route.tenants or tenant in route.tenants):
            # The default last: a canary's share begins at 0, and as it grows it takes over from the default.
            order = sorted(route.to, key=lambda name: (name == DEFAULT, name))
            ends = tuple(accumulate(route.to[name] for name in order))
            found.append(CompiledRoute(route.prefix.encode(), tuple(order), ends, route.sticky))
            if not route.prefix:
                break
    return found


def used_pools(routes: Sequence[RouteSpec]) -> set[str]:
    """Pools that take anything."""
    return {DEFAULT} | {name for route in routes for name, share in route.to.items() if share > 0}


def reachable_pools(routes: Sequence[RouteSpec], klass: str, tenants: Sequence[str]) -> Mapping[str, float]:
    """Pools that requests of a class may come to, of any tenant, each with its largest share."""
    found: dict[str, float] = {}
    for tenant in (*tenants, ""):
        all_legs = compile_routes(routes, klass, tenant)
        for leg in all_legs:
            starts = (0.0, *leg.ends[:-1])
            for pool, start, end in zip(leg.pools, starts, leg.ends, strict=True):
                if end > start:
                    found[pool] = max(found.get(pool, 0.0), end - start)
        if not all_legs or all_legs[-1].prefix:
            found[DEFAULT] = 1.0
    return found
