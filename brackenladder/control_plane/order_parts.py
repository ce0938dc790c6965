"""Sends large orders to the leader in parts, with a window of unacknowledged bytes.

Otherwise the answers to heartbeats on the same link are delayed behind an order of several megabytes.
"""

from __future__ import annotations

from attrs import define, field

from brackenladder.control_plane.messages import OrderPart, OrderPartReceived

PART_BYTES = 48 * 1024
WINDOW_BYTES = 192 * 1024
MAX_ORDER_BYTES = 9 * 1024 * 1024
MAX_PARTIAL_ORDERS = 16  # maximum number of partly received orders per link
# Limit on the bytes of all partly received orders of a link; a control node has 128 MB of memory.
MAX_PARTIAL_BYTES = 2 * MAX_ORDER_BYTES


class OrderSender:
    """Splits an operator's encoded order into parts; `WINDOW_BYTES` bounds what is unacknowledged."""

    def __init__(self, request: int, order: bytes) -> None:
        self._request = request
        self._order = order
        self._next = 0
        self._acknowledged = 0

    def next_parts(self) -> list[OrderPart]:
        """The parts that may be sent now without exceeding the window."""
        parts = []
        while self._next < len(self._order) and self._next - self._acknowledged < WINDOW_BYTES:
            data = self._order[self._next : self._next + PART_BYTES]
            parts.append(OrderPart(self._request, self._next, len(self._order), data))
            self._next += len(data)
        return parts

    def acknowledged(self, received: int) -> None:
        """The leader has acknowledged the first `received` bytes."""
        self._acknowledged = max(self._acknowledged, received)


@define
class _PartialOrder:
    total: int
    data: bytearray = field(factory=bytearray)


class OrderReceiver:
    """Reassembles the orders that arrive over one link; the leader's side.

    A link delivers messages in sequence, so an order with a part out of sequence is dropped.
    """

    def __init__(self) -> None:
        self._partial: dict[int, _PartialOrder] = {}

    def receive(self, part: OrderPart) -> OrderPartReceived | bytes | None:
        """The acknowledgement to send, or the order if it is complete, or None for a part out of sequence."""
        partial = self._start(part) if part.offset == 0 else self._partial.get(part.request)
        if partial is None or part.offset != len(partial.data):
            self._partial.pop(part.request, None)
            return None
        partial.data += part.data
        if len(partial.data) < partial.total:
            self._evict_oldest(part.request)
            return OrderPartReceived(part.request, len(partial.data))
        del self._partial[part.request]
        return bytes(partial.data)

    def _evict_oldest(self, newest: int) -> None:
        """Drops the oldest orders while the total is above the limit; their senders will repeat them.

        Otherwise orders that were abandoned half-way fill the leader's memory.
        """
        while sum(len(partial.data) for partial in self._partial.values()) > MAX_PARTIAL_BYTES:
            oldest = next(request for request in self._partial if request != newest)
            del self._partial[oldest]

    def _start(self, part: OrderPart) -> _PartialOrder | None:
        if part.total > MAX_ORDER_BYTES:
            return None
        while len(self._partial) >= MAX_PARTIAL_ORDERS:
            del self._partial[next(iter(self._partial))]
        partial = self._partial[part.request] = _PartialOrder(part.total)
        return partial
