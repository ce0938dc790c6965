"""The file in which the processes of one node share what operators hold back.

It stands in the node's private folder, outlives the process that is replaced, and goes with the node.
"""

from __future__ import annotations

import fcntl
import json
import os
from collections.abc import Iterator, Mapping
from contextlib import contextmanager, suppress

from brackenladder.operations.maintenance import MOST_HELD, Hold

NAME = "brackenladder-holds.json"
FORMAT = 1
LARGEST_FILE = 1 << 20  # bytes


class HoldsError(Exception):
    """The file cannot be read or written; the text is one line."""


class HoldsFile:
    """`folder`: where the file stands."""

    def __init__(self, folder: str) -> None:
        self.path = os.path.join(folder, NAME)
        self.seen: tuple[int, int, int] | None = None  # of the file as this process last knew it

    @contextmanager
    def locked(self) -> Iterator[None]:
        """Keeps the node's other process from writing in between. A HoldsError if the folder is no use."""
        try:
            lock = os.open(f"{self.path}.lock", os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o600)
        except OSError as e:
            raise HoldsError(f"holds: {e.strerror}") from None
        try:
            fcntl.flock(lock, fcntl.LOCK_EX)  # held for one small write
            yield
        finally:
            os.close(lock)

    def stamp(self) -> tuple[int, int, int] | None:
        try:
            found = os.stat(self.path)
        except OSError:
            return None
        return found.st_ino, found.st_mtime_ns, found.st_size

    def changed(self) -> bool:
        """Whether another process has written since this one last read or wrote."""
        return self.stamp() != self.seen

    def read(self) -> dict[str, Hold]:
        """What is noted; a HoldsError for a file that cannot be used. None there is none noted."""
        self.seen = self.stamp()
        if self.seen is None:
            return {}
        try:
            with open(self.path, "rb") as file:
                data = file.read(LARGEST_FILE + 1)
            table = json.loads(data)
            if len(data) > LARGEST_FILE or table["format"] != FORMAT or len(table["holds"]) > MOST_HELD:
                raise ValueError
            return {str(s): Hold(int(since), int(until)) for s, (since, until) in table["holds"].items()}
        except OSError as e:
            raise HoldsError(f"holds: {e.strerror}") from None
        except (ValueError, TypeError, KeyError, AttributeError, RecursionError):
            raise HoldsError("holds: not a file of holds") from None

    def write(self, holds: Mapping[str, Hold]) -> None:
        """Notes the holds in one step; a HoldsError if that cannot be done, and the file stays as it was."""
        table = {"format": FORMAT, "holds": {s: [h.since, h.until] for s, h in holds.items()}}
        new = f"{self.path}.{os.getpid()}"
        try:
            with open(new, "w") as file:
                json.dump(table, file)
            os.replace(new, self.path)
        except OSError as e:
            with suppress(OSError):
                os.unlink(new)
            raise HoldsError(f"holds: {e.strerror}") from None
        self.seen = self.stamp()
