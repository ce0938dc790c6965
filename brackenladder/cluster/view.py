"""A node's view of all members: one record per member, and the merge of records.

A record is (epoch, incarnation, state); of two records the greater one wins. This merge is commutative,
associative and idempotent, so views converge once they have received the same records, in any order and any
number of times. Within an incarnation the order is that of SWIM (alive, suspect, dead). Unlike in SWIM, a
higher incarnation also overrides a death, so that two sides of a partition can rejoin.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

# Bits of an epoch that hold a nonce, which distinguishes two processes started in the same second.
NONCE_BITS = 24


class State(IntEnum):
    """The state of a member. Within one incarnation a later state overrides an earlier one."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3  # announced by the member itself


class Record(NamedTuple):
    """What is known of a member.

    `epoch` identifies its process. `incarnation` is raised only by the member itself, to refute others.
    """

    epoch: int
    incarnation: int
    state: State


UNHEARD = Record(0, 0, State.ALIVE)  # a configured member from which nothing has been received


def epoch_of(seconds: int, nonce: int) -> int:
    """The epoch of a process that starts at this wall-clock time. For wrong clocks see `epoch_above`."""
    return (seconds << NONCE_BITS) | (nonce & ((1 << NONCE_BITS) - 1))


def epoch_above(known: int, nonce: int) -> int:
    """An epoch above a known epoch of the same member.

    Without this function, if the clock was set back before a node restarted, the records of its old process
    would override those of the new one forever.
    """
    return epoch_of((known >> NONCE_BITS) + 1, nonce)


class View:
    """The records by member's number, and since when each member has its state (microseconds)."""

    def __init__(self, size: int, now: int) -> None:
        self.records = [UNHEARD] * size
        self.since = [now] * size
        self.by_state: dict[State, list[int]] = {}  # a cache; cleared when a state changes

    def __len__(self) -> int:
        return len(self.records)

    def merge(self, number: int, record: Record, now: int) -> Record | None:
        """Merges a record. Returns the previous record, or None if the new one changes nothing."""
        before = self.records[number]
        if record <= before:
            return None
        self.records[number] = record
        if record.state != before.state or record.epoch != before.epoch:
            self.since[number] = now
            self.by_state.clear()
        return before

    def resize(self, size: int, now: int) -> None:
        """Adds or removes members at the end, after a change of the configuration."""
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
