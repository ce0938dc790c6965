"""The holds file, in which the processes of one node share which servers operators have suspended.

It is in the node's private folder, outlives a process that is replaced, and is removed with the node.
"""

from __future__ import annotations

import fcntl
import json
import os
from collections.abc import Iterator, Mapping
from contextlib import contextmanager, suppress

from brackenladder.operations.maintenance import MAX_HOLDS, Hold

FILE_NAME = "brackenladder-holds.json"
FORMAT = 1
MAX_FILE_BYTES = 1 << 20  # larger files are rejected


class HoldsError(Exception):
    """The file of suspended servers cannot be read or written. The message is one line."""


class HoldsFile:
    """The file in `folder` that records the servers suspended by operators (holds)."""

    def __init__(self, folder: str) -> None:
        self.path = os.path.join(folder, FILE_NAME)
        # Identifies the version of the file that this process last read or wrote.
        self.last_stamp: tuple[int, int, int] | None = None

    @contextmanager
    def locked(self) -> Iterator[None]:
        """Locks the file against the node's other process. Raises HoldsError if the folder is not usable."""
        try:
            lock = os.open(f"{self.path}.lock", os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o600)
        except OSError as e:
            raise HoldsError(f"holds: {e.strerror}") from None
        try:
            fcntl.flock(lock, fcntl.LOCK_EX)  # blocks briefly: the lock is held for one small write
            yield
        finally:
            os.close(lock)

    def stamp(self) -> tuple[int, int, int] | None:
        try:
            status = os.stat(self.path)
        except OSError:
            return None
        return status.st_ino, status.st_mtime_ns, status.st_size

    def changed(self) -> bool:
        """Whether another process has written the file since this one last read or wrote it."""
        return self.stamp() != self.last_stamp

    def read(self) -> dict[str, Hold]:
        """Returns the suspensions by server id; none without a file. Raises HoldsError if it is invalid."""
        self.last_stamp = self.stamp()
        if self.last_stamp is None:
            return {}
        try:
            with open(self.path, "rb") as file:
                data = file.read(MAX_FILE_BYTES + 1)
            table = json.loads(data)
            if len(data) > MAX_FILE_BYTES or table["format"] != FORMAT or len(table["holds"]) > MAX_HOLDS:
                raise ValueError
            return {
                str(server): Hold(int(since), int(until)) for server, (since, until) in table["holds"].items()
            }
        except OSError as e:
            raise HoldsError(f"holds: {e.strerror}") from None
        except (ValueError, TypeError, KeyError, AttributeError, RecursionError):
            raise HoldsError("holds: not a valid holds file") from None

    def write(self, holds: Mapping[str, Hold]) -> None:
        """Writes the suspensions atomically. Raises HoldsError if that fails; the file is then unchanged."""
        table = {
            "format": FORMAT,
            "holds": {server: [hold.since, hold.until] for server, hold in holds.items()},
        }
        new = f"{self.path}.{os.getpid()}"
        try:
            with open(new, "w") as file:
                json.dump(table, file)
            os.replace(new, self.path)
        except OSError as e:
            with suppress(OSError):
                os.unlink(new)
            raise HoldsError(f"holds: {e.strerror}") from None
        self.last_stamp = self.stamp()
