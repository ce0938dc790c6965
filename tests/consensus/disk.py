"""A simulated disk in virtual time: the effect and the duration of writes."""

from __future__ import annotations

from enum import Enum
from random import Random

from consensus.checker import Violation

from brackenladder.consensus.types import DurableState, Entry, HardState, Snapshot, Write

MILLISECOND = 1_000


class DiskTrouble(Enum):
    """A temporary fault of a disk."""

    NONE = "none"
    SLOW = "slow"
    HANGS = "hangs"
    REFUSES = "refuses"


class ModelDisk:
    """A disk whose writes are atomic and take effect in order."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._busy_until = 0
        self._trouble = DiskTrouble.NONE
        self._trouble_until = 0
        self.hard_state = HardState()
        self.snapshot: Snapshot | None = None
        self.entries: list[Entry] = []
        self.pending: list[Write] = []

    def load(self) -> DurableState:
        """The durable state."""
        return DurableState(self.hard_state, self.snapshot, tuple(self.entries))

    def begin_trouble(self, trouble: DiskTrouble, until: int) -> None:
        """Starts a fault that lasts until the given time."""
        self._trouble = trouble
        self._trouble_until = until

    def end_trouble(self) -> None:
        """Ends the fault; writes that hang continue."""
        self._trouble_until = 0
        self._busy_until = 0

    def refuses(self, now: int) -> bool:
        """Whether a write that ends now fails."""
        return self._trouble is DiskTrouble.REFUSES and now < self._trouble_until

    def submit(self, now: int, write: Write) -> int:
        """Accepts a write and returns the time when it completes."""
        self.pending.append(write)
        took = int((1 + 6 * self._random.random()) * MILLISECOND)
        if now < self._trouble_until:
            if self._trouble is DiskTrouble.SLOW:
                took *= 25
            elif self._trouble is DiskTrouble.HANGS:
                took += self._trouble_until - now
        self._busy_until = max(self._busy_until, now) + took
        return self._busy_until

    def finish(self, write: Write) -> None:
        """Makes the oldest pending write durable."""
        if not self.pending or self.pending[0] is not write:
            raise Violation("writes end out of order")
        self.pending.pop(0)
        self._apply(write)

    def refuse(self, write: Write) -> None:
        """Fails a pending write."""
        self.pending.remove(write)

    def lose_power(self) -> None:
        """Loses power: a random prefix of the pending writes becomes durable."""
        for write in self.pending:
            if self._random.random() < 0.6:
                break
            self._apply(write)
        self.pending.clear()
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
