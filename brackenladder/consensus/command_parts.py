"""Splits large commands into several log entries: COMMAND_PART entries and a final COMMAND entry.

Small entries let heartbeats through between them, so that a follower on a slow link still hears from its
leader while a large command is transferred. A leader appends all parts at once, so the parts of one term are
contiguous. An incomplete sequence, left by a leader that lost its role, is ignored.
"""

from __future__ import annotations

from brackenladder.consensus.types import Entry, EntryKind

PART_BYTES = 48 * 1024


def split_command(data: bytes) -> tuple[bytes, ...]:
    """The data of a command's entries in order; always at least one."""
    starts = range(0, max(1, len(data)), PART_BYTES)
    return tuple(data[start : start + PART_BYTES] for start in starts)


class CommandAssembler:
    """Reassembles commands from committed entries, which have to be passed once each and in order."""

    def __init__(self) -> None:
        self._term = 0
        self._parts: list[bytes] = []

    @property
    def between_commands(self) -> bool:
        """Whether no incomplete command is buffered. Only then may a snapshot replace the log so far."""
        return not self._parts

    def reset(self) -> None:
        """Drops buffered parts after a snapshot has replaced the log so far."""
        self._parts.clear()

    def take(self, entry: Entry) -> bytes | None:
        """Takes an entry. Returns the whole command if the entry completes one."""
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
