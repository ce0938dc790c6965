"""Records on their way to all: each goes out a number of times that grows with the logarithm of the fleet."""

from __future__ import annotations

from collections.abc import Iterator
from math import ceil, log10

from brackenladder.cluster.wire import RECORD

TIMES = 4  # sends of a rumour, times the logarithm (of ten) of the members
MOST = 512  # rumours at a time; the one told most often makes room


class GossipQueue:
    """By member's number: the newest record about a member takes the older one's place."""

    def __init__(self) -> None:
        self.told: dict[int, int] = {}  # how often

    def add(self, number: int) -> None:
        if number not in self.told and len(self.told) >= MOST:
            del self.told[max(self.told, key=lambda n: self.told[n])]
        self.told[number] = 0

    def again(self, number: int) -> None:
        """Tells of it anew, if nothing is being told of it."""
        if number not in self.told:
            self.add(number)

    def cost(self, members: int) -> int:
        """Bytes that one rumour costs each node until it has been told often enough."""
        return RECORD.size * TIMES * max(1, ceil(log10(members + 1)))

    def take(self, most: int, members: int) -> Iterator[int]:
        """Up to so many members to tell of, the least told first; each is counted as told once more."""
        enough = TIMES * max(1, ceil(log10(members + 1)))
        for number in sorted(self.told, key=lambda n: self.told[n])[:most]:
            self.told[number] += 1
            if self.told[number] >= enough:
                del self.told[number]
            yield number

    def clear(self) -> None:
        self.told.clear()

    def __len__(self) -> int:
        return len(self.told)
