"""Which of two desired states is the newer one: a counter and a digest, and what to do where they differ.

A generation is raised by one with each change that is applied, on the node that applies it. Two states with
one counter are a conflict: two operators, or two sides of a cut, changed the same state. Nobody changes by
itself then, and everybody says so.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

DIGEST = 12  # bytes of a state's digest


class Generation(NamedTuple):
    """`digest`: of the canonical state, in hexadecimal. Counter 0: nothing was applied."""

    counter: int
    digest: str


class Comparison(Enum):
    """How one's own generation stands to another's."""

    SAME = "same"
    NEWER = "newer"  # mine
    OLDER = "older"
    CONFLICT = "conflict"


def compare(mine: Generation, theirs: Generation) -> Comparison:
    if mine.counter != theirs.counter:
        return Comparison.NEWER if mine.counter > theirs.counter else Comparison.OLDER
    return Comparison.SAME if mine.digest == theirs.digest else Comparison.CONFLICT


class KnownGenerations:
    """What one node has heard of the others' generations, by number; the last word of each holds."""

    def __init__(self) -> None:
        self.heard: dict[int, Generation] = {}

    def record(self, number: int, theirs: Generation) -> None:
        self.heard[number] = theirs

    def forget(self, number: int) -> None:
        self.heard.pop(number, None)

    def newest(self, mine: Generation) -> Generation:
        """The highest counter's; of two with one counter one's own, if it is one, since neither wins."""
        top = max([mine, *self.heard.values()], key=lambda g: (g.counter, g == mine))
        return top

    def holders(self, wanted: Generation) -> list[int]:
        """Who has a generation."""
        return [number for number, theirs in self.heard.items() if theirs == wanted]

    def conflicts(self, mine: Generation) -> list[int]:
        """Who has another state under the newest counter: named, never decided here."""
        top = self.newest(mine)
        others = [n for n, theirs in self.heard.items() if compare(top, theirs) == Comparison.CONFLICT]
        return sorted(others)
