"""The number of live nodes among which the servers' capacity is divided, instead of the configured one. Pure.

The limit for cold servers applies to the sum of what all nodes send. A node's share grows only when others
are certainly gone, and shrinks immediately when one returns. A node that was declared dead but still sends
adds its old share. At most the part (1 - MIN_COUNTED_PART) of the nodes is left out, so the sum is at most
1 + (1 - MIN_COUNTED_PART) = 1.5 shares. A cold server gets COLD_PART = 0.6 of what its limit allows, so at
most 0.9 of the limit is used, however wrong the view is.
"""

from __future__ import annotations

from collections.abc import Mapping
from math import ceil

from brackenladder.cluster.view import State, View

ABSENCE_TIME = 4_000_000  # microseconds after which a dead member, or one that left, is not counted any more
RECENT = 1_000_000  # a member heard within this time counts as sending, whatever its state
MIN_COUNTED_PART = 0.5  # the count is never below this fraction of the number of configured nodes


class LiveNodeCounter:
    """Counts the nodes that may send requests.

    `absence_time`: microseconds for which a member has to be gone before it is left out of the count. It must
    be at least as long as the period to which the request limit of cold servers applies.
    """

    def __init__(self, size: int, absence_time: int = ABSENCE_TIME) -> None:
        self.number = size
        self.absence_time = max(absence_time, ABSENCE_TIME)

    def count(self, now: int, view: View, heard_at: Mapping[int, int], reliable: bool) -> int:
        """The number of nodes that share the capacity. `reliable`: False lets the number only grow."""
        present = sum(
            record.state in (State.ALIVE, State.SUSPECT)
            or now - since < self.absence_time
            or now - heard_at.get(number, -RECENT) < RECENT
            for number, (record, since) in enumerate(zip(view.records, view.since, strict=True))
        )
        present = max(1, present, ceil(MIN_COUNTED_PART * len(view)))
        # The count doesn't shrink while what this node knows of the others is unreliable. Otherwise an
        # isolated node would take all others for gone and send as much as the whole fleet.
        self.number = present if reliable else max(self.number, present)
        return self.number
