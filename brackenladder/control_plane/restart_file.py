"""Where the restart cache is kept: one file on the node's disk, replaced as a whole."""

from __future__ import annotations

import os
from typing import Protocol

from returns.result import Result

from brackenladder.control_plane.threads import in_daemon_thread
from brackenladder.storage.atomic_file import read_checked, write_atomically
from brackenladder.storage.log_store import StoreError

FILE_NAME = "restart.msgpack"


class RestartFile(Protocol):
    """One file that is read at the start and replaced as a whole. Both calls may take long."""

    async def read(self) -> Result[bytes, StoreError]:
        """What was written last; empty if nothing was."""

    async def write(self, data: bytes) -> Result[None, StoreError]:
        """Replaces the content durably."""


class DiskRestartFile:
    """`RestartFile` in a folder of the file system; threads wait for the disk, the event loop goes on."""

    def __init__(self, folder: str) -> None:
        self._path = os.path.join(folder, FILE_NAME)

    async def read(self) -> Result[bytes, StoreError]:
        """See `RestartFile`."""
        return await in_daemon_thread(lambda: read_checked(self._path))

    async def write(self, data: bytes) -> Result[None, StoreError]:
        """See `RestartFile`."""
        return await in_daemon_thread(lambda: write_atomically(self._path, data))
