"""A pool: servers of discovery's list that are chosen by zone, kind, cell, id or a share of them. Pure."""

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

DEFAULT = "default"  # the pool of whatever no route names
MOST_WEIGHT = 10.0
MAX_CACHED_POSITIONS = 20_000  # servers whose places are kept

Name = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[a-z0-9][a-z0-9_-]*$")]
Text = Annotated[str, Meta(min_length=1, max_length=256)]
Weight = Annotated[float, Meta(ge=0, le=MOST_WEIGHT)]
Part = Annotated[float, Meta(ge=0, le=1)]


class PoolSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What an operator says of a pool. A server has to fit every list that is not empty.

    `part`: from and up to where on a circle of length 1, on which servers lie by the hash of their id.
    `weights`: by `kind:NAME` or `server:ID`, which wins; 1 where none is set, 0 takes nothing new.
    `limit`: calls open in the pool at once; 0: as many as the node has room for.
    """

    zones: tuple[Text, ...] = ()
    kinds: tuple[Text, ...] = ()
    cells: tuple[int, ...] = ()
    servers: tuple[Text, ...] = ()
    part: tuple[Part, Part] = (0.0, 1.0)
    weights: dict[Text, Weight] = {}
    limit: Annotated[int, Meta(ge=0, le=1_000_000)] = 0


def hash_position(name: str) -> float:
    """Where a name lies on the circle: the same at every node, and for every list."""
    return int.from_bytes(blake2b(name.encode(errors="surrogatepass"), digest_size=8).digest(), "big") / 2**64


server_position = lru_cache(maxsize=MAX_CACHED_POSITIONS)(
    hash_position
)  # asked for each pool, at each change


def contains(spec: PoolSpec, line: Line) -> bool:
    """Whether a server is of the pool, in whatever state it is."""
    low, high = spec.part
    return (
        (not spec.zones or line.zone in spec.zones)
        and (not spec.kinds or line.kind in spec.kinds)
        and (not spec.cells or line.cell in spec.cells)
        and (not spec.servers or line.id in spec.servers)
        and ((low, high) == (0.0, 1.0) or low <= server_position(line.id) < high)
    )


def weight(spec: PoolSpec, line: Line) -> float:
    """What an operator wants the server to take, beside others of the pool."""
    weights = spec.weights
    return weights.get(f"server:{line.id}", weights.get(f"kind:{line.kind}", 1.0)) if weights else 1.0


def pool_listing(spec: PoolSpec, listing: Listing) -> Listing:
    """The list as the pool has it. A weight of 0 is a drain that only this pool sees.

    Failure prevented: a server that left the pool by a change of its zone or kind stays in it: what is not of
    the pool is news too, that it is gone.
    """
    lines = []
    for line in listing.lines:
        if not contains(spec, line):
            if listing.kind == ListKind.CHANGES:  # a whole list says so by leaving it out
                lines.append(replace(line, state=State.GONE))
        elif line.state == State.READY and weight(spec, line) == 0:
            lines.append(replace(line, state=State.DRAINING))
        else:
            lines.append(line)
    return replace(listing, lines=tuple(lines))


def capacity(spec: PoolSpec, lines: Iterable[Line]) -> float:
    """The sum of the weights of the pool's ready servers."""
    return sum(weight(spec, line) for line in lines if line.state == State.READY and contains(spec, line))
