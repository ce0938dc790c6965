"""Which of two desired states is newer: each has a generation, which is a counter and a digest.

The counter is raised by one with each change, on the node that applies it. Two different states with the same
counter are a conflict: two operators, or both sides of a network partition, changed the same state. Then no
node changes its state by itself, and all report the conflict.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

DIGEST = 12  # bytes of the digest of a state


class Generation(NamedTuple):
    """Identifies a state. `digest`: hash of its canonical form, in hex. Counter 0: never changed."""

    counter: int
    digest: str


class Comparison(Enum):
    """How this node's generation compares with another one."""

    SAME = "same"
    NEWER = "newer"  # this node's generation is newer
    OLDER = "older"
    CONFLICT = "conflict"


def compare(mine: Generation, theirs: Generation) -> Comparison:
    if mine.counter != theirs.counter:
        return Comparison.NEWER if mine.counter > theirs.counter else Comparison.OLDER
    return Comparison.SAME if mine.digest == theirs.digest else Comparison.CONFLICT


class KnownGenerations:
    """The latest known generations of the other nodes, by node number."""

    def __init__(self) -> None:
        self.heard: dict[int, Generation] = {}

    def record(self, number: int, theirs: Generation) -> None:
        self.heard[number] = theirs

    def forget(self, number: int) -> None:
        self.heard.pop(number, None)

    def newest(self, mine: Generation) -> Generation:
        """The generation with the highest counter; in a conflict that of this node is preferred."""
        top = max([mine, *self.heard.values()], key=lambda g: (g.counter, g == mine))
        return top

    def holders(self, wanted: Generation) -> list[int]:
        """The nodes that have exactly the wanted generation, and so can send its state."""
        return [number for number, theirs in self.heard.items() if theirs == wanted]

    def conflicts(self, mine: Generation) -> list[int]:
        """The nodes that have the same, highest counter as the newest generation but another state."""
        top = self.newest(mine)
        others = [n for n, theirs in self.heard.items() if compare(top, theirs) == Comparison.CONFLICT]
        return sorted(others)
