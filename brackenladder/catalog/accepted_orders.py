"""Digests of accepted configuration orders, by which a repeated order is recognised."""

from __future__ import annotations

from hashlib import blake2b
from itertools import islice

from brackenladder.catalog.orders import ConfigurationOrder, ReplaceConfiguration

# Maximum number of digests kept; when it is exceeded, the oldest ones are dropped.
MAX_REMEMBERED_ORDERS = 4096
DIGEST_BYTES = 16


def order_digest(order: ConfigurationOrder, content: bytes) -> bytes:
    """A digest of an order's kind, base version and canonical content."""
    kind = b"R" if isinstance(order, ReplaceConfiguration) else b"U"
    digest = blake2b(kind, digest_size=DIGEST_BYTES)
    digest.update(order.base.to_bytes(8, "big", signed=True))
    digest.update(content)
    return digest.digest()


class AcceptedOrders:
    """The digests of the most recently accepted orders, oldest first."""

    def __init__(self, packed: bytes = b"") -> None:
        starts = range(0, len(packed) - DIGEST_BYTES + 1, DIGEST_BYTES)
        self._digests = dict.fromkeys(packed[start : start + DIGEST_BYTES] for start in starts)

    def __contains__(self, digest: bytes) -> bool:
        return digest in self._digests

    def add(self, digest: bytes) -> None:
        """Adds a digest, and removes the oldest ones beyond `MAX_REMEMBERED_ORDERS`."""
        self._digests[digest] = None
        surplus = len(self._digests) - MAX_REMEMBERED_ORDERS
        for oldest in list(islice(self._digests, max(surplus, 0))):
            del self._digests[oldest]

    def pack(self) -> bytes:
        """The digests as bytes, as the constructor takes them."""
        return b"".join(self._digests)
