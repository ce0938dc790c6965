"""Pools: subsets of the discovered servers by zone, kind, cell, id or hash of the id. Without I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from functools import lru_cache
from hashlib import blake2b
from typing import Annotated

import msgspec
from msgspec import Meta

from brackenladder.interface import ListKind, State
from brackenladder.membership.listing import Line, Listing

DEFAULT = "default"  # the pool of requests that no route matches
MAX_WEIGHT = 10.0
MAX_CACHED_POSITIONS = 20_000  # most servers whose hash positions are cached

Name = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[a-z0-9][a-z0-9_-]*$")]
Text = Annotated[str, Meta(min_length=1, max_length=256)]
Weight = Annotated[float, Meta(ge=0, le=MAX_WEIGHT)]
Part = Annotated[float, Meta(ge=0, le=1)]


class PoolSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """An operator's definition of a pool. A server must match every list that is not empty.

    `part`: the range of hash positions, from 0 up to 1, that the ids of its servers must lie in.
    `weights`: by `kind:NAME` or `server:ID`, which takes precedence; default 1; with 0 a server is drained.
    `limit`: most open calls in the pool; 0: as many as the node allows.
    """

    zones: tuple[Text, ...] = ()
    kinds: tuple[Text, ...] = ()
    cells: tuple[int, ...] = ()
    servers: tuple[Text, ...] = ()
    part: tuple[Part, Part] = (0.0, 1.0)
    weights: dict[Text, Weight] = {}
    limit: Annotated[int, Meta(ge=0, le=1_000_000)] = 0


def hash_position(name: str) -> float:
    """The hash of a name as a number from 0 up to 1, the same on every node."""
    return int.from_bytes(blake2b(name.encode(errors="surrogatepass"), digest_size=8).digest(), "big") / 2**64


# Cached because each change of the list needs the positions of its servers for each pool.
server_position = lru_cache(maxsize=MAX_CACHED_POSITIONS)(hash_position)


def contains(spec: PoolSpec, line: Line) -> bool:
    """Whether a server belongs to the pool, regardless of its state."""
    low, high = spec.part
    return (
        (not spec.zones or line.zone in spec.zones)
        and (not spec.kinds or line.kind in spec.kinds)
        and (not spec.cells or line.cell in spec.cells)
        and (not spec.servers or line.id in spec.servers)
        and ((low, high) == (0.0, 1.0) or low <= server_position(line.id) < high)
    )


def weight(spec: PoolSpec, line: Line) -> float:
    """The weight of a server relative to the others of the pool."""
    weights = spec.weights
    return weights.get(f"server:{line.id}", weights.get(f"kind:{line.kind}", 1.0)) if weights else 1.0


def pool_listing(spec: PoolSpec, listing: Listing) -> Listing:
    """The list for one pool. A server with weight 0 is draining in this pool only.

    In a list of changes, servers that do not belong to the pool are marked as gone. Otherwise a server that
    no longer belongs to the pool because its zone or kind has changed stays in it.
    """
    lines = []
    for line in listing.lines:
        if not contains(spec, line):
            if listing.kind == ListKind.CHANGES:  # a full list simply omits the server
                lines.append(replace(line, state=State.GONE))
        elif line.state == State.READY and weight(spec, line) == 0:
            lines.append(replace(line, state=State.DRAINING))
        else:
            lines.append(line)
    return replace(listing, lines=tuple(lines))


def capacity(spec: PoolSpec, lines: Iterable[Line]) -> float:
    """The sum of the weights of the ready servers of a pool."""
    return sum(weight(spec, line) for line in lines if line.state == State.READY and contains(spec, line))
