"""A disk in virtual time: what a write leaves behind, and when it ends."""

from __future__ import annotations

from enum import Enum
from random import Random

from consensus.checker import Violation

from brackenladder.consensus.types import DurableState, Entry, HardState, Snapshot, Write

MILLISECOND = 1_000


class DiskTrouble(Enum):
    """What a disk does to writes for a while."""

    NONE = "none"
    SLOW = "slow"
    HANGS = "hangs"
    REFUSES = "refuses"


class ModelDisk:
    """Writes take effect in order, each as a whole."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._busy_until = 0
        self._trouble = DiskTrouble.NONE
        self._trouble_until = 0
        self.hard_state = HardState()
        self.snapshot: Snapshot | None = None
        self.entries: list[Entry] = []
        self.under_way: list[Write] = []

    def load(self) -> DurableState:
        """What is durable."""
        return DurableState(self.hard_state, self.snapshot, tuple(self.entries))

    def begin_trouble(self, trouble: DiskTrouble, until: int) -> None:
        """Be in trouble until then."""
        self._trouble = trouble
        self._trouble_until = until

    def end_trouble(self) -> None:
        """Writes that hang go on."""
        self._trouble_until = 0
        self._busy_until = 0

    def refuses(self, now: int) -> bool:
        """Whether a write that ends now fails."""
        return self._trouble is DiskTrouble.REFUSES and now < self._trouble_until

    def submit(self, now: int, write: Write) -> int:
        """Take a write; when it ends."""
        self.under_way.append(write)
        took = int((1 + 6 * self._random.random()) * MILLISECOND)
        if now < self._trouble_until:
            if self._trouble is DiskTrouble.SLOW:
                took *= 25
            elif self._trouble is DiskTrouble.HANGS:
                took += self._trouble_until - now
        self._busy_until = max(self._busy_until, now) + took
        return self._busy_until

    def finish(self, write: Write) -> None:
        """The oldest write under way is durable."""
        if not self.under_way or self.under_way[0] is not write:
            raise Violation("writes end out of order")
        self.under_way.pop(0)
        self._apply(write)

    def refuse(self, write: Write) -> None:
        """The oldest write under way has failed."""
        self.under_way.remove(write)

    def lose_power(self) -> None:
        """Of what was under way, any first part may have become durable."""
        for write in self.under_way:
            if self._random.random() < 0.6:
                break
            self._apply(write)
        self.under_way.clear()
        self._busy_until = 0

    def _apply(self, write: Write) -> None:
        if write.snapshot is not None:
            self.snapshot = write.snapshot
            kept = [] if write.clear else self.entries
            self.entries = [entry for entry in kept if entry.index > write.snapshot.index]
        if write.truncate_from:
            while self.entries and self.entries[-1].index >= write.truncate_from:
                self.entries.pop()
        if write.entries:
            base = self.snapshot.index if self.snapshot is not None else 0
            last = self.entries[-1].index if self.entries else base
            if write.entries[0].index != last + 1:
                raise Violation(f"a write leaves a gap: entry {write.entries[0].index} after {last}")
            self.entries.extend(write.entries)
        if write.hard_state is not None:
            self.hard_state = write.hard_state
