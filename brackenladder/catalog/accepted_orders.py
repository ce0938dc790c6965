"""Which configuration orders were taken, so that one that arrives again is known."""

from __future__ import annotations

from hashlib import blake2b
from itertools import islice

from brackenladder.catalog.orders import ConfigurationOrder, ReplaceConfiguration

MAX_REMEMBERED_ORDERS = 4096  # orders that are remembered; the oldest are forgotten first
DIGEST_BYTES = 16


def order_digest(order: ConfigurationOrder, content: bytes) -> bytes:
    """Tells orders apart by kind, base version and canonical content."""
    kind = b"R" if isinstance(order, ReplaceConfiguration) else b"U"
    digest = blake2b(kind, digest_size=DIGEST_BYTES)
    digest.update(order.base.to_bytes(8, "big", signed=True))
    digest.update(content)
    return digest.digest()


class AcceptedOrders:
    """The digests of the newest orders, oldest first."""

    def __init__(self, packed: bytes = b"") -> None:
        starts = range(0, len(packed) - DIGEST_BYTES + 1, DIGEST_BYTES)
        self._digests = dict.fromkeys(packed[start : start + DIGEST_BYTES] for start in starts)

    def __contains__(self, digest: bytes) -> bool:
        return digest in self._digests

    def add(self, digest: bytes) -> None:
        """Remembers one, and forgets the oldest if there are too many."""
        self._digests[digest] = None
        surplus = len(self._digests) - MAX_REMEMBERED_ORDERS
        for oldest in list(islice(self._digests, max(surplus, 0))):
            del self._digests[oldest]

    def pack(self) -> bytes:
        """The bytes to make an equal one from."""
        return b"".join(self._digests)
