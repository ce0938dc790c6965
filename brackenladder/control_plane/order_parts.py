"""Large orders on their way to the leader: in parts, a few ahead of the answers.

Failure prevented: an order of megabytes goes as one message, and the heartbeats' answers wait behind it.
"""

from __future__ import annotations

from attrs import define, field

from brackenladder.control_plane.messages import OrderPart, OrderPartTaken

PART_BYTES = 48 * 1024
WINDOW_BYTES = 192 * 1024
LARGEST_ORDER = 9 * 1024 * 1024
MOST_ARRIVING = 16  # orders at a time, over one link
MOST_ARRIVING_BYTES = 2 * LARGEST_ORDER  # of them together; a control node has 128 MB


class OrderSender:
    """The asking node's end, for one order."""

    def __init__(self, request: int, order: bytes) -> None:
        self._request = request
        self._order = order
        self._next = 0
        self._taken = 0

    def due(self) -> list[OrderPart]:
        """The parts to send now."""
        parts = []
        while self._next < len(self._order) and self._next - self._taken < WINDOW_BYTES:
            data = self._order[self._next : self._next + PART_BYTES]
            parts.append(OrderPart(self._request, self._next, len(self._order), data))
            self._next += len(data)
        return parts

    def taken(self, received: int) -> None:
        """The leader's node has so many bytes."""
        self._taken = max(self._taken, received)


@define
class _Arriving:
    total: int
    data: bytearray = field(factory=bytearray)


class OrderReceiver:
    """The leader's end, for one link. Links keep the sequence, so a part out of place ends its order."""

    def __init__(self) -> None:
        self._arriving: dict[int, _Arriving] = {}

    def take(self, part: OrderPart) -> OrderPartTaken | bytes | None:
        """What to answer; the whole order once it is there; None for what fits nothing."""
        arriving = self._begin(part) if part.offset == 0 else self._arriving.get(part.request)
        if arriving is None or part.offset != len(arriving.data):
            self._arriving.pop(part.request, None)
            return None
        arriving.data += part.data
        if len(arriving.data) < arriving.total:
            self._make_room(part.request)
            return OrderPartTaken(part.request, len(arriving.data))
        del self._arriving[part.request]
        return bytes(arriving.data)

    def _make_room(self, newest: int) -> None:
        """Drops the oldest orders while there are too many bytes; their senders ask again.

        Failure prevented: orders that their senders gave up half-way fill the leader's memory.
        """
        while sum(len(one.data) for one in self._arriving.values()) > MOST_ARRIVING_BYTES:
            oldest = next(request for request in self._arriving if request != newest)
            del self._arriving[oldest]

    def _begin(self, part: OrderPart) -> _Arriving | None:
        if part.total > LARGEST_ORDER:
            return None
        while len(self._arriving) >= MOST_ARRIVING:
            del self._arriving[next(iter(self._arriving))]
        arriving = self._arriving[part.request] = _Arriving(part.total)
        return arriving
