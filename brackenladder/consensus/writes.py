"""Changes on their way to the store: one write at a time, and the messages that wait for one."""

from __future__ import annotations

from collections import deque

import attrs
from attrs import define, field, frozen

from brackenladder.consensus.types import Entry, HardState, Snapshot, Write


@frozen
class Outgoing:
    """A message for a replica; `to` is its replica id."""

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
class _Held:
    token: int
    outgoing: Outgoing


class WriteQueue:
    """Gathers changes into writes. What changes while a write is under way goes into the next one."""

    def __init__(self, retry: int) -> None:
        self._retry = retry
        self._last_token = 0
        self._hard_token = 0  # the newest write that changes the hard state
        self._drafts: deque[_Draft] = deque()
        self._held: deque[_Held] = deque()
        self._under_way: Write | None = None
        self._covers = 0  # index up to which the log is durable once the write under way is
        self._since: int | None = None  # when the write under way was first handed out
        self._retry_at: int | None = None

    @property
    def pending_token(self) -> int:
        """The newest change that isn't durable yet; 0: there is none."""
        return self._last_token if self._drafts or self._under_way is not None else 0

    @property
    def pending_hard_token(self) -> int:
        """The newest change of the hard state that isn't durable yet; 0: there is none."""
        oldest = self._under_way.token if self._under_way is not None else 0
        if not oldest and self._drafts:
            oldest = self._drafts[0].token
        return self._hard_token if oldest and self._hard_token >= oldest else 0

    @property
    def refused(self) -> bool:
        """Whether the store has refused the write that has to come next."""
        return self._retry_at is not None

    def age(self, now: int) -> int:
        """For how long the oldest unfinished write has been with the store."""
        return now - self._since if self._since is not None else 0

    def _open(self) -> _Draft:
        if not self._drafts:
            self._last_token += 1
            self._drafts.append(_Draft(self._last_token))
        return self._drafts[-1]

    def set_hard_state(self, hard_state: HardState) -> None:
        """Remember term and vote."""
        draft = self._open()
        draft.hard_state = hard_state
        self._hard_token = draft.token

    def append(self, entry: Entry) -> None:
        """Add an entry."""
        self._open().entries.append(entry)

    def truncate(self, index: int) -> None:
        """Drop the entries from `index` on."""
        self._covers = min(self._covers, index - 1)
        draft = self._open()
        while draft.entries and draft.entries[-1].index >= index:
            draft.entries.pop()
        if not draft.entries:
            draft.truncate_from = min(draft.truncate_from or index, index)

    def snapshot(self, snapshot: Snapshot, clear: bool) -> None:
        """Install a snapshot: of the own state machine, or (`clear`) in place of the whole log."""
        if clear:
            self._covers = 0
        self._last_token += 1
        self._drafts.append(_Draft(self._last_token, snapshot=snapshot, clear=clear))

    def hold(self, token: int, outgoing: Outgoing) -> None:
        """Keep a message until the write is durable."""
        self._held.append(_Held(token, outgoing))

    def take(self, now: int) -> Write | None:
        """The write to hand to the store now, if any."""
        if self._retry_at is not None:
            return self._take_again(now)
        if self._under_way is not None or not self._drafts:
            return None
        self._under_way = self._drafts.popleft().write()
        self._since = now
        self._covers = self._under_way.snapshot.index if self._under_way.snapshot is not None else 0
        if self._under_way.entries:
            self._covers = self._under_way.entries[-1].index
        self._clamp_to_later_changes()
        return self._under_way

    def _clamp_to_later_changes(self) -> None:
        for draft in self._drafts:
            if draft.clear:
                self._covers = 0
            if draft.truncate_from:
                self._covers = min(self._covers, draft.truncate_from - 1)

    def _take_again(self, now: int) -> Write | None:
        if self._under_way is None or self._retry_at is None or now < self._retry_at:
            return None
        self._retry_at = None
        write = self._under_way
        if write.entries and not write.truncate_from:
            # The refused attempt may have left entries behind.
            write = attrs.evolve(write, truncate_from=write.entries[0].index)
        self._under_way = write
        return write

    def persisted(self, token: int) -> int | None:
        """A write is durable: the index up to which the log is, or None when the token isn't under way."""
        if self._under_way is None or self._under_way.token != token:
            return None
        self._under_way = None
        self._since = None
        self._retry_at = None
        return self._covers

    def failed(self, now: int, token: int) -> bool:
        """The store refused the write; it is handed out again later, as nothing may follow before it."""
        if self._under_way is None or self._under_way.token != token:
            return False
        self._retry_at = now + self._retry
        return True

    def released(self, token: int) -> list[Outgoing]:
        """The messages that waited for nothing newer than `token`."""
        ready = []
        while self._held and self._held[0].token <= token:
            ready.append(self._held.popleft().outgoing)
        return ready
