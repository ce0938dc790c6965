"""The log in memory: the entries after the newest snapshot, a few before it, and the member sets."""

from __future__ import annotations

from attrs import frozen

from brackenladder.consensus.members import decode_members
from brackenladder.consensus.types import DurableState, Entry, EntryKind, Members, Snapshot

ENTRY_OVERHEAD = 16  # bytes that an entry takes in a message in addition to its data


@frozen
class Membership:
    """The members that the entry at `index` sets."""

    index: int
    members: Members


class Log:
    """Entries with contiguous indexes. `last_index` and `last_term` include what the snapshot covers."""

    def __init__(self, state: DurableState) -> None:
        self.snapshot = state.snapshot
        self._first = 1  # index of the first entry held
        self._previous_term = 0  # term of the entry before the first one held
        self._entries: list[Entry] = []
        self._memberships: list[Membership] = [Membership(0, Members())]
        if state.snapshot is not None:
            self._start_after(state.snapshot)
        for entry in state.entries:
            self.append(entry)
        self.durable_index = self.last_index

    def _start_after(self, snapshot: Snapshot) -> None:
        self.snapshot = snapshot
        self._first = snapshot.index + 1
        self._previous_term = snapshot.term
        self._entries = []
        self._memberships = [Membership(snapshot.index, snapshot.members)]

    @property
    def last_index(self) -> int:
        """Index of the newest entry."""
        return self._first + len(self._entries) - 1

    @property
    def last_term(self) -> int:
        """Term of the newest entry."""
        return self._entries[-1].term if self._entries else self._previous_term

    @property
    def snapshot_index(self) -> int:
        """Index up to which the snapshot covers the log."""
        return self.snapshot.index if self.snapshot is not None else 0

    @property
    def members(self) -> Members:
        """The newest members in the log, committed or not."""
        return self._memberships[-1].members

    @property
    def members_index(self) -> int:
        """Index of the entry that set `members`."""
        return self._memberships[-1].index

    @property
    def newest_command_index(self) -> int:
        """Index of the newest command in memory; 0 if there is none."""
        commands = (entry.index for entry in reversed(self._entries) if entry.kind is EntryKind.COMMAND)
        return next(commands, 0)

    def term(self, index: int) -> int | None:
        """Term of the entry at `index`; None if the log doesn't hold that entry (any more)."""
        offset = index - self._first
        if 0 <= offset < len(self._entries):
            return self._entries[offset].term
        if offset == -1:
            return self._previous_term
        return None

    def holds(self, index: int, term: int) -> bool:
        """Whether the entry at `index` has the term `term`."""
        return self.term(index) == term

    def append(self, entry: Entry) -> None:
        """Appends the entry after the newest one."""
        if entry.index != self.last_index + 1:
            raise ValueError(f"cannot append entry {entry.index} after entry {self.last_index}")
        self._entries.append(entry)
        if entry.kind is EntryKind.MEMBERS:
            self._memberships.append(Membership(entry.index, decode_members(entry.data)))

    def truncate(self, index: int) -> None:
        """Drops the entries from `index` on."""
        del self._entries[index - self._first :]
        while self._memberships[-1].index >= index:
            self._memberships.pop()
        self.durable_index = min(self.durable_index, index - 1)

    def between(self, first: int, last: int) -> list[Entry]:
        """The entries from `first` through `last`."""
        return self._entries[first - self._first : last - self._first + 1]

    def batch(self, first: int, limit: int) -> tuple[Entry, ...]:
        """Entries from `first` on with a total size of at most `limit` bytes, but at least one entry."""
        start = first - self._first
        size = 0
        end = start
        while end < len(self._entries):
            size += len(self._entries[end].data) + ENTRY_OVERHEAD
            if size > limit and end > start:
                break
            end += 1
        return tuple(self._entries[start:end])

    def agreement_below(self, index: int, term: int) -> int:
        """The highest index up to `index` whose entry has a term of at most `term`, or is no longer held.

        Two logs cannot agree above the returned index if the other one has an entry of `term` at `index`.
        """
        index = min(index, self.last_index)
        while index > 0:
            own_term = self.term(index)
            if own_term is None or own_term <= term:
                return index
            index -= 1
        return 0

    def members_at(self, index: int) -> Members:
        """The members in force at the entry at `index`."""
        found = self._memberships[0].members
        for membership in self._memberships:
            if membership.index <= index:
                found = membership.members
        return found

    def compact(
        self, snapshot: Snapshot, kept_bytes: int, held_after: int | None = None, held_bytes: int = 0
    ) -> None:
        """Sets the snapshot of a committed index and drops most of the entries that it covers.

        The last of the covered entries, `kept_bytes` in total, stay in memory. If a follower still needs the
        entries after `held_after`, up to `held_bytes` stay. The store drops all covered entries.
        """
        self.snapshot = snapshot
        first = self._first_of_last(snapshot.index, kept_bytes)
        if held_after is not None:
            first = min(first, max(held_after + 1, self._first_of_last(snapshot.index, held_bytes)))
        before = self.term(first - 1)
        if before is not None and first > self._first:
            del self._entries[: first - self._first]
            self._first = first
            self._previous_term = before
        self._memberships = [Membership(snapshot.index, snapshot.members)] + [
            membership for membership in self._memberships if membership.index > snapshot.index
        ]

    def _first_of_last(self, last: int, limit: int) -> int:
        """Index of the first entry such that the entries up to `last` have at most `limit` bytes in total."""
        index = last
        size = 0
        while index >= self._first:
            size += len(self._entries[index - self._first].data) + ENTRY_OVERHEAD
            if size > limit:
                break
            index -= 1
        return index + 1

    def install(self, snapshot: Snapshot) -> None:
        """Replaces the whole log by the snapshot."""
        self._start_after(snapshot)
        self.durable_index = 0  # nothing is durable until the store has the snapshot
