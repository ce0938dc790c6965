"""Counters of the expected and actual times of placements, and of the causes of late first events.

A few sums per service and latency target tell an operator whether first events are late because of the
prefill, the queue or the network (docs/decisions.md).
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import Enum

from attrs import define, field

from brackenladder.placement.load import PlacedCall

MAX_TARGETS = 32  # most latency targets that get counters of their own; any further one counts with the last


class LateCause(Enum):
    """What took the largest part of the time until a late first event."""

    READING = "reading"  # prefill of tokens that the server had not cached
    EXPECTED_QUEUE = "expected_queue"  # queueing that was expected when the server was chosen
    UNEXPECTED = "unexpected"  # queueing or a slow server that was not expected
    ROUND_TRIP = "way"  # the network round trip
    UNANSWERED = "unanswered"  # no first event came


@define
class DecisionSums:
    """Counters of the calls with one latency target. Times are sums over these calls in microseconds."""

    calls: int = 0
    reading: float = 0.0
    expected_queue: float = 0.0
    round_trip: float = 0.0
    first_event: int = 0
    late: dict[LateCause, int] = field(factory=lambda: dict.fromkeys(LateCause, 0))


class DecisionCounters:
    """The DecisionSums by latency target in microseconds; targets beyond MAX_TARGETS count with the last."""

    def __init__(self) -> None:
        self._by_target: dict[int, DecisionSums] = {}

    def answered(self, placed: PlacedCall, latency: int) -> None:
        """Counts a call whose first event came after `latency` microseconds, and the cause if it was late."""
        sums = self._sums(placed.target)
        sums.calls += 1
        sums.reading += placed.reading_time
        sums.expected_queue += placed.expected_queue
        sums.round_trip += placed.round_trip
        sums.first_event += latency
        if latency > placed.target:
            sums.late[_cause(placed, latency)] += 1

    def unanswered(self, placed: PlacedCall) -> None:
        """Records a call that was cancelled or failed before its first event."""
        sums = self._sums(placed.target)
        sums.calls += 1
        sums.late[LateCause.UNANSWERED] += 1

    def items(self) -> Iterator[tuple[int, DecisionSums]]:
        """The pairs of latency target and sums, in ascending order of targets."""
        return iter(sorted(self._by_target.items()))

    def _sums(self, target: int) -> DecisionSums:
        sums = self._by_target.get(target)
        if sums is None:
            if len(self._by_target) >= MAX_TARGETS:
                return next(reversed(self._by_target.values()))
            sums = self._by_target[target] = DecisionSums()
        return sums


def _cause(placed: PlacedCall, latency: int) -> LateCause:
    known = placed.reading_time + placed.expected_queue + placed.round_trip
    parts = {
        LateCause.READING: placed.reading_time,
        LateCause.EXPECTED_QUEUE: placed.expected_queue,
        LateCause.UNEXPECTED: latency - known,
        LateCause.ROUND_TRIP: float(placed.round_trip),
    }
    return max(parts, key=parts.__getitem__)
