"""Records to spread by gossip.

The number of times that each record is sent grows with the logarithm of the number of members.
"""

from __future__ import annotations

from collections.abc import Iterator
from math import ceil, log10

from brackenladder.cluster.wire import RECORD_FORMAT

RETRANSMIT_FACTOR = 4  # each record is sent RETRANSMIT_FACTOR * log10(number of members) times
MAX_QUEUED = 512  # maximum number of queued records; when it is exceeded, the one sent most often is dropped


class GossipQueue:
    """The members whose newest record is being spread, with the number of times it was sent."""

    def __init__(self) -> None:
        self.sends: dict[int, int] = {}  # number of sends, by the member's number

    def add(self, number: int) -> None:
        if number not in self.sends and len(self.sends) >= MAX_QUEUED:
            del self.sends[max(self.sends, key=lambda n: self.sends[n])]
        self.sends[number] = 0

    def add_if_absent(self, number: int) -> None:
        """Starts to spread a member's record again unless it is already queued."""
        if number not in self.sends:
            self.add(number)

    def cost(self, members: int) -> int:
        """Bytes that each node sends in total to spread one record."""
        return RECORD_FORMAT.size * RETRANSMIT_FACTOR * max(1, ceil(log10(members + 1)))

    def take(self, limit: int, members: int) -> Iterator[int]:
        """Yields up to `limit` members to send records of, the least sent first, and counts the sends."""
        max_sends = RETRANSMIT_FACTOR * max(1, ceil(log10(members + 1)))
        for number in sorted(self.sends, key=lambda n: self.sends[n])[:limit]:
            self.sends[number] += 1
            if self.sends[number] >= max_sends:
                del self.sends[number]
            yield number

    def clear(self) -> None:
        self.sends.clear()

    def __len__(self) -> int:
        return len(self.sends)
