"""Storage of the restart cache: a file on the node's disk, always replaced as a whole."""

from __future__ import annotations

import os
from typing import Protocol

from returns.result import Result

from brackenladder.control_plane.threads import in_daemon_thread
from brackenladder.storage.atomic_file import read_checked, write_atomically
from brackenladder.storage.log_store import StoreError

FILE_NAME = "restart.msgpack"


class RestartFile(Protocol):
    """A file that is read and replaced as a whole. Both calls may take long."""

    async def read(self) -> Result[bytes, StoreError]:
        """The last content written; empty if there is none."""

    async def write(self, data: bytes) -> Result[None, StoreError]:
        """Replaces the content durably."""


class DiskRestartFile:
    """`RestartFile` in the file system. The disk is accessed in threads, so the event loop is not blocked."""

    def __init__(self, folder: str) -> None:
        self._path = os.path.join(folder, FILE_NAME)

    async def read(self) -> Result[bytes, StoreError]:
        """See `RestartFile`."""
        return await in_daemon_thread(lambda: read_checked(self._path))

    async def write(self, data: bytes) -> Result[None, StoreError]:
        """See `RestartFile`."""
        return await in_daemon_thread(lambda: write_atomically(self._path, data))
