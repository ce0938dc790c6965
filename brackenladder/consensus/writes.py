"""The queue of changes for the store: one write at a time, and the messages that wait for a write."""

from __future__ import annotations

from collections import deque

import attrs
from attrs import define, field, frozen

from brackenladder.consensus.types import Entry, HardState, Snapshot, Write


@frozen
class Outgoing:
    """A message and the id of the replica to send it to."""

    to: str
    message: object


@define
class _Draft:
    token: int
    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    clear: bool = False
    truncate_from: int = 0
    entries: list[Entry] = field(factory=list)

    def write(self) -> Write:
        return Write(
            self.token, self.hard_state, self.snapshot, self.clear, self.truncate_from, tuple(self.entries)
        )


@frozen
class _HeldMessage:
    token: int
    outgoing: Outgoing


class WriteQueue:
    """Combines changes into writes. Changes made during a write go into the next one."""

    def __init__(self, retry: int) -> None:
        self._retry = retry
        self._last_token = 0
        self._hard_token = 0  # the newest write that changes the hard state
        self._drafts: deque[_Draft] = deque()
        self._held: deque[_HeldMessage] = deque()
        self._current: Write | None = None
        self._durable_after = 0  # index up to which the log is durable after the current write
        self._handed_out_at: int | None = None  # when the current write was first passed to the store
        self._retry_at: int | None = None

    @property
    def pending_token(self) -> int:
        """Token of the newest write that isn't durable yet; 0 if there is none."""
        return self._last_token if self._drafts or self._current is not None else 0

    @property
    def pending_hard_token(self) -> int:
        """Token of the newest write of the hard state that isn't durable yet; 0 if there is none."""
        oldest = self._current.token if self._current is not None else 0
        if not oldest and self._drafts:
            oldest = self._drafts[0].token
        return self._hard_token if oldest and self._hard_token >= oldest else 0

    @property
    def refused(self) -> bool:
        """Whether the store has refused the current write, which has to be retried."""
        return self._retry_at is not None

    def age(self, now: int) -> int:
        """For how long the current write has been with the store."""
        return now - self._handed_out_at if self._handed_out_at is not None else 0

    def _current_draft(self) -> _Draft:
        if not self._drafts:
            self._last_token += 1
            self._drafts.append(_Draft(self._last_token))
        return self._drafts[-1]

    def set_hard_state(self, hard_state: HardState) -> None:
        """Queues a change of term and vote."""
        draft = self._current_draft()
        draft.hard_state = hard_state
        self._hard_token = draft.token

    def append(self, entry: Entry) -> None:
        """Queues an entry."""
        self._current_draft().entries.append(entry)

    def truncate(self, index: int) -> None:
        """Queues the removal of the entries from `index` on."""
        self._durable_after = min(self._durable_after, index - 1)
        draft = self._current_draft()
        while draft.entries and draft.entries[-1].index >= index:
            draft.entries.pop()
        if not draft.entries:
            draft.truncate_from = min(draft.truncate_from or index, index)

    def snapshot(self, snapshot: Snapshot, clear: bool) -> None:
        """Queues a snapshot of this replica's state machine, or (`clear`) one that replaces the whole log."""
        if clear:
            self._durable_after = 0
        self._last_token += 1
        self._drafts.append(_Draft(self._last_token, snapshot=snapshot, clear=clear))

    def hold(self, token: int, outgoing: Outgoing) -> None:
        """Holds a message back until the write is durable."""
        self._held.append(_HeldMessage(token, outgoing))

    def take(self, now: int) -> Write | None:
        """The write to pass to the store now, if any."""
        if self._retry_at is not None:
            return self._take_again(now)
        if self._current is not None or not self._drafts:
            return None
        self._current = self._drafts.popleft().write()
        self._handed_out_at = now
        self._durable_after = self._current.snapshot.index if self._current.snapshot is not None else 0
        if self._current.entries:
            self._durable_after = self._current.entries[-1].index
        self._clamp_to_later_changes()
        return self._current

    def _clamp_to_later_changes(self) -> None:
        for draft in self._drafts:
            if draft.clear:
                self._durable_after = 0
            if draft.truncate_from:
                self._durable_after = min(self._durable_after, draft.truncate_from - 1)

    def _take_again(self, now: int) -> Write | None:
        if self._current is None or self._retry_at is None or now < self._retry_at:
            return None
        self._retry_at = None
        write = self._current
        if write.entries and not write.truncate_from:
            # The refused attempt may have written some of the entries.
            write = attrs.evolve(write, truncate_from=write.entries[0].index)
        self._current = write
        return write

    def persisted(self, token: int) -> int | None:
        """Notes that a write is durable.

        Returns the index up to which the log is durable, or None if another write is current.
        """
        if self._current is None or self._current.token != token:
            return None
        self._current = None
        self._handed_out_at = None
        self._retry_at = None
        return self._durable_after

    def failed(self, now: int, token: int) -> bool:
        """Notes that the store refused the current write. It is retried later, before any other write.

        Returns False if another write is current.
        """
        if self._current is None or self._current.token != token:
            return False
        self._retry_at = now + self._retry
        return True

    def released(self, token: int) -> list[Outgoing]:
        """Removes and returns the messages that waited for `token` or an older write."""
        ready = []
        while self._held and self._held[0].token <= token:
            ready.append(self._held.popleft().outgoing)
        return ready
