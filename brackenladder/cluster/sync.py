"""Which records two views differ in, found by hashes of ranges: what rumours missed, a frame at a time."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from zlib import crc32

from brackenladder.cluster.view import Record
from brackenladder.cluster.wire import MOST_RANGES, RECORD, ROOM, Digest

LEAF = (ROOM - 16) // RECORD.size  # records that fit a frame beside what names them


def hash_of(records: Sequence[Record]) -> int:
    return crc32(b"".join(b"%d,%d,%d;" % record for record in records))


def ranges(low: int, high: int) -> Iterator[tuple[int, int]]:
    """A stretch of members in at most MOST_RANGES parts, none smaller than a frame's records but the last."""
    step = max(LEAF, -(-(high - low) // MOST_RANGES))
    return ((at, min(at + step, high)) for at in range(low, high, step))


def digest(records: Sequence[Record], low: int, high: int) -> Digest:
    return Digest(low, high, tuple(hash_of(records[a:b]) for a, b in ranges(low, high)))


def differing(records: Sequence[Record], theirs: Digest) -> list[tuple[int, int]]:
    """The ranges in which another's digest differs from one's own.

    A digest of other members differs nowhere.
    """
    if not 0 <= theirs.low < theirs.high <= len(records):
        return []
    parts = list(ranges(theirs.low, theirs.high))
    if len(parts) != len(theirs.hashes):
        return []
    return [(a, b) for (a, b), one in zip(parts, theirs.hashes, strict=True) if one != hash_of(records[a:b])]
