"""Anti-entropy: compares hashes of ranges of records, to find the records that gossip failed to deliver."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from zlib import crc32

from brackenladder.cluster.view import Record
from brackenladder.cluster.wire import MAX_RANGES, PAYLOAD_SIZE, RECORD_FORMAT, Digest

RECORDS_PER_FRAME = (PAYLOAD_SIZE - 16) // RECORD_FORMAT.size  # 16 bytes are reserved for a Range message


def hash_of(records: Sequence[Record]) -> int:
    return crc32(b"".join(b"%d,%d,%d;" % record for record in records))


def ranges(low: int, high: int) -> Iterator[tuple[int, int]]:
    """Splits a range of members into at most MAX_RANGES parts.

    Each part except the last has at least RECORDS_PER_FRAME members, so no part that fits in one frame is
    split further.
    """
    step = max(RECORDS_PER_FRAME, -(-(high - low) // MAX_RANGES))
    return ((at, min(at + step, high)) for at in range(low, high, step))


def digest(records: Sequence[Record], low: int, high: int) -> Digest:
    return Digest(low, high, tuple(hash_of(records[a:b]) for a, b in ranges(low, high)))


def differing(records: Sequence[Record], theirs: Digest) -> list[tuple[int, int]]:
    """The ranges in which a received digest differs from this node's records.

    Empty if the digest covers members or ranges that this node doesn't have.
    """
    if not 0 <= theirs.low < theirs.high <= len(records):
        return []
    parts = list(ranges(theirs.low, theirs.high))
    if len(parts) != len(theirs.hashes):
        return []
    return [(a, b) for (a, b), one in zip(parts, theirs.hashes, strict=True) if one != hash_of(records[a:b])]
