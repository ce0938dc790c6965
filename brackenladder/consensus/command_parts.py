"""Commands too large for one entry: a run of parts that ends with the entry of the command itself.

With small entries a follower hears its leader while a large command is on its way, however slow the link. A
leader appends all parts at once, so in one term nothing comes between them. A run that its leader did not
finish is passed over.
"""

from __future__ import annotations

from brackenladder.consensus.types import Entry, EntryKind

PART_BYTES = 48 * 1024


def split_command(data: bytes) -> tuple[bytes, ...]:
    """The data of the entries of a command, the last one's last; at least one."""
    starts = range(0, max(1, len(data)), PART_BYTES)
    return tuple(data[start : start + PART_BYTES] for start in starts)


class CommandAssembler:
    """Puts commands together from committed entries, which come once each and in sequence."""

    def __init__(self) -> None:
        self._term = 0
        self._parts: list[bytes] = []

    @property
    def between_commands(self) -> bool:
        """Whether no part waits for the rest: only here may a state take the place of the log so far."""
        return not self._parts

    def reset(self) -> None:
        """A snapshot has taken the place of the log so far."""
        self._parts.clear()

    def take(self, entry: Entry) -> bytes | None:
        """Takes an entry; the whole command if the entry ends one."""
        if entry.term != self._term:
            self._parts.clear()
        self._term = entry.term
        if entry.kind is EntryKind.COMMAND_PART:
            self._parts.append(entry.data)
            return None
        if entry.kind is not EntryKind.COMMAND:
            self._parts.clear()
            return None
        whole = b"".join((*self._parts, entry.data)) if self._parts else entry.data
        self._parts.clear()
        return whole
