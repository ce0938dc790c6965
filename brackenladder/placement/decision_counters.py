"""What placements expected and what came of them, counted by what first events were late for.

A few sums a service and latency target, kept in service: they tell an operator whether prompts are late
because they take long to read, because they waited, or because of the way (docs/decisions.md).
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import Enum

from attrs import define, field

from brackenladder.placement.load import Placed

MOST_TARGETS = 32  # latency targets that are told apart; further ones count with the last


class LateCause(Enum):
    """The largest part of a late first event's time."""

    READING = "reading"  # the prompt's own tokens that the server did not keep
    EXPECTED_QUEUE = "expected_queue"  # a wait that was known when the server was chosen
    UNEXPECTED = "unexpected"  # a wait, or a slow server, that was not
    ROUND_TRIP = "way"  # to the server and back
    UNANSWERED = "unanswered"  # no first event came


@define
class DecisionSums:
    """Times are sums in microseconds."""

    calls: int = 0
    reading: float = 0.0
    expected_queue: float = 0.0
    round_trip: float = 0.0
    first_event: int = 0
    late: dict[LateCause, int] = field(factory=lambda: dict.fromkeys(LateCause, 0))


class DecisionCounters:
    """Sums by latency target, in microseconds."""

    def __init__(self) -> None:
        self._by_target: dict[int, DecisionSums] = {}

    def answered(self, placed: Placed, latency: int) -> None:
        """A first event came after so many microseconds."""
        sums = self._sums(placed.target)
        sums.calls += 1
        sums.reading += placed.reading_time
        sums.expected_queue += placed.expected_queue
        sums.round_trip += placed.round_trip
        sums.first_event += latency
        if latency > placed.target:
            sums.late[_cause(placed, latency)] += 1

    def unanswered(self, placed: Placed) -> None:
        """A call was given up, or broke, before its first event."""
        sums = self._sums(placed.target)
        sums.calls += 1
        sums.late[LateCause.UNANSWERED] += 1

    def items(self) -> Iterator[tuple[int, DecisionSums]]:
        """The sums, the shortest target first."""
        return iter(sorted(self._by_target.items()))

    def _sums(self, target: int) -> DecisionSums:
        sums = self._by_target.get(target)
        if sums is None:
            if len(self._by_target) >= MOST_TARGETS:
                return next(reversed(self._by_target.values()))
            sums = self._by_target[target] = DecisionSums()
        return sums


def _cause(placed: Placed, latency: int) -> LateCause:
    known = placed.reading_time + placed.expected_queue + placed.round_trip
    parts = {
        LateCause.READING: placed.reading_time,
        LateCause.EXPECTED_QUEUE: placed.expected_queue,
        LateCause.UNEXPECTED: latency - known,
        LateCause.ROUND_TRIP: float(placed.round_trip),
    }
    return max(parts, key=parts.__getitem__)
