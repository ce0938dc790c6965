"""What one node knows of all: a record a member, and how two accounts of one member are put together.

A record is (epoch, incarnation, state), and of two the greater one holds. That is the whole merge: it is
commutative, associative and idempotent, so that views agree once the same records have reached them, in any
order and however often. The order within an incarnation is SWIM's (alive, suspect, dead); that a higher
incarnation also lifts a death is what SWIM leaves out, and what lets two halves of a fleet find each other
again.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

NONCE_BITS = 24  # of an epoch: they tell two processes apart that begin in one second


class State(IntEnum):
    """In the order in which they override each other within one incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3  # it has said so itself


class Record(NamedTuple):
    """One account of a member. `epoch`: of its process; `incarnation`: raised by the member alone."""

    epoch: int
    incarnation: int
    state: State


UNHEARD = Record(0, 0, State.ALIVE)  # of a member that the configuration names and nobody has heard


def epoch_of(seconds: int, nonce: int) -> int:
    """An epoch for a process that begins at that wall-clock time. It may be wrong: see `beyond`."""
    return (seconds << NONCE_BITS) | (nonce & ((1 << NONCE_BITS) - 1))


def epoch_above(known: int, nonce: int) -> int:
    """An epoch above one that is known of the same member.

    Failure prevented: the clock was set back between two processes of a node, and what is known of the old
    one holds against the new one for ever.
    """
    return epoch_of((known >> NONCE_BITS) + 1, nonce)


class View:
    """The records by member's number, and since when each has its state (microseconds)."""

    def __init__(self, size: int, now: int) -> None:
        self.records = [UNHEARD] * size
        self.since = [now] * size
        self.by_state: dict[State, list[int]] = {}  # counted anew when a state changes

    def __len__(self) -> int:
        return len(self.records)

    def merge(self, number: int, record: Record, now: int) -> Record | None:
        """Takes an account in; the record before it, or None if it says nothing new."""
        before = self.records[number]
        if record <= before:
            return None
        self.records[number] = record
        if record.state != before.state or record.epoch != before.epoch:
            self.since[number] = now
            self.by_state.clear()
        return before

    def resize(self, size: int, now: int) -> None:
        """The configuration names more members, or fewer."""
        more = size - len(self.records)
        self.records = self.records[:size] + [UNHEARD] * more
        self.since = self.since[:size] + [now] * more
        self.by_state.clear()

    def in_state(self, state: State) -> list[int]:
        """The members in this state."""
        if not self.by_state:
            self.by_state = {state: [] for state in State}
            for number, record in enumerate(self.records):
                self.by_state[record.state].append(number)
        return self.by_state[state]
