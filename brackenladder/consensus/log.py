"""The log in memory: entries after the newest snapshot, a few before it, and who the members are."""

from __future__ import annotations

from attrs import frozen

from brackenladder.consensus.members import decode_members
from brackenladder.consensus.types import DurableState, Entry, EntryKind, Members, Snapshot

ENTRY_OVERHEAD = 16  # bytes of an entry in a message beside its data


@frozen
class MembersAt:
    """The members as the entry at `index` sets them."""

    index: int
    members: Members


class Log:
    """Entries with contiguous indexes. `last_index` and `last_term` count what the snapshot covers."""

    def __init__(self, state: DurableState) -> None:
        self.snapshot = state.snapshot
        self._first = 1  # index of the first entry held
        self._before_term = 0  # term of the entry before the first one held
        self._entries: list[Entry] = []
        self._settings: list[MembersAt] = [MembersAt(0, Members())]
        if state.snapshot is not None:
            self._start_after(state.snapshot)
        for entry in state.entries:
            self.append(entry)
        self.durable_index = self.last_index

    def _start_after(self, snapshot: Snapshot) -> None:
        self.snapshot = snapshot
        self._first = snapshot.index + 1
        self._before_term = snapshot.term
        self._entries = []
        self._settings = [MembersAt(snapshot.index, snapshot.members)]

    @property
    def last_index(self) -> int:
        """Index of the newest entry."""
        return self._first + len(self._entries) - 1

    @property
    def last_term(self) -> int:
        """Term of the newest entry."""
        return self._entries[-1].term if self._entries else self._before_term

    @property
    def snapshot_index(self) -> int:
        """Index up to which the snapshot covers the log."""
        return self.snapshot.index if self.snapshot is not None else 0

    @property
    def members(self) -> Members:
        """The newest members in the log, committed or not."""
        return self._settings[-1].members

    @property
    def members_index(self) -> int:
        """Index of the entry that set `members`."""
        return self._settings[-1].index

    @property
    def newest_command_index(self) -> int:
        """Index of the newest command that is held; 0 if there is none."""
        commands = (entry.index for entry in reversed(self._entries) if entry.kind is EntryKind.COMMAND)
        return next(commands, 0)

    def term(self, index: int) -> int | None:
        """Term of the entry at `index`; None when the log doesn't hold it (any more)."""
        offset = index - self._first
        if 0 <= offset < len(self._entries):
            return self._entries[offset].term
        if offset == -1:
            return self._before_term
        return None

    def holds(self, index: int, term: int) -> bool:
        """Whether the entry at `index` is the one of `term`."""
        return self.term(index) == term

    def append(self, entry: Entry) -> None:
        """Add the entry that follows the newest one."""
        if entry.index != self.last_index + 1:
            raise ValueError(f"entry {entry.index} can't follow entry {self.last_index}")
        self._entries.append(entry)
        if entry.kind is EntryKind.MEMBERS:
            self._settings.append(MembersAt(entry.index, decode_members(entry.data)))

    def truncate(self, index: int) -> None:
        """Drop the entries from `index` on."""
        del self._entries[index - self._first :]
        while self._settings[-1].index >= index:
            self._settings.pop()
        self.durable_index = min(self.durable_index, index - 1)

    def between(self, first: int, last: int) -> list[Entry]:
        """The entries from `first` through `last`."""
        return self._entries[first - self._first : last - self._first + 1]

    def batch(self, first: int, limit: int) -> tuple[Entry, ...]:
        """Entries from `first` on, of at most `limit` bytes together, or a single larger one."""
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
        """The highest index at or below `index` whose entry isn't newer than `term`."""
        index = min(index, self.last_index)
        while index > 0:
            here = self.term(index)
            if here is None or here <= term:
                return index
            index -= 1
        return 0

    def members_at(self, index: int) -> Members:
        """The members as of the entry at `index`."""
        found = self._settings[0].members
        for setting in self._settings:
            if setting.index <= index:
                found = setting.members
        return found

    def compact(
        self, snapshot: Snapshot, kept_bytes: int, held_after: int | None = None, held_bytes: int = 0
    ) -> None:
        """Take the snapshot of a committed index. The store drops what it covers, memory keeps a part.

        That is the last `kept_bytes`, and up to `held_bytes` for a follower that needs what comes after
        `held_after`.
        """
        self.snapshot = snapshot
        first = self._first_of_last(snapshot.index, kept_bytes)
        if held_after is not None:
            first = min(first, max(held_after + 1, self._first_of_last(snapshot.index, held_bytes)))
        before = self.term(first - 1)
        if before is not None and first > self._first:
            del self._entries[: first - self._first]
            self._first = first
            self._before_term = before
        self._settings = [MembersAt(snapshot.index, snapshot.members)] + [
            setting for setting in self._settings if setting.index > snapshot.index
        ]

    def _first_of_last(self, last: int, limit: int) -> int:
        """The first of the entries before `last` that are together no larger than `limit`."""
        index = last
        size = 0
        while index >= self._first:
            size += len(self._entries[index - self._first].data) + ENTRY_OVERHEAD
            if size > limit:
                break
            index -= 1
        return index + 1

    def install(self, snapshot: Snapshot) -> None:
        """Replace everything by the snapshot."""
        self._start_after(snapshot)
        self.durable_index = 0  # until the store has it
