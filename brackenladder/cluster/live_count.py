"""How many nodes share what the tier's servers can do: the living number, for the configured one. Pure.

The cold rule binds: what all nodes send together is their shares' sum. A share grows only when others are
dead for certain, and shrinks at once when one returns. A node that was taken for dead and still sends, by its
old share, adds its part: with at most a part (1 - LEAST_PART) of the nodes left out, the sum is at most
1 + (1 - LEAST_PART) = 1.5 shares, where a cold server is given COLD_PART = 0.6 of the multiple that the rule
allows: 0.9 of its bound, however wrong the view is.
"""

from __future__ import annotations

from collections.abc import Mapping
from math import ceil

from brackenladder.cluster.view import State, View

ABSENCE_TIME = (
    4_000_000  # microseconds that a member must have been dead, or have left: the rule's window and more
)
HEARD = 1_000_000  # one that was heard so long ago or less sends, whatever is said of it
MIN_COUNTED_PART = 0.5  # of the configured number: fewer are never counted


class LiveNodeCounter:
    """Counts who may send. `certain`: microseconds; at least the cold rule's window."""

    def __init__(self, size: int, certain: int = ABSENCE_TIME) -> None:
        self.number = size
        self.certain = max(certain, ABSENCE_TIME)

    def count(self, now: int, view: View, heard_at: Mapping[int, int], sure: bool) -> int:
        """The number of nodes that share. `sure`: this node hears and is heard, and was not just paused."""
        there = sum(
            record.state in (State.ALIVE, State.SUSPECT)
            or now - since < self.certain
            or now - heard_at.get(number, -HEARD) < HEARD
            for number, (record, since) in enumerate(zip(view.records, view.since, strict=True))
        )
        there = max(1, there, ceil(MIN_COUNTED_PART * len(view)))
        # Failure prevented: a node that is cut off takes all others for gone, and sends for the whole fleet.
        self.number = there if sure else max(self.number, there)
        return self.number
