"""A node's desired state on disk, for use after a restart: two files that are replaced in turn.

A write goes to a temporary file, which is synced and renamed over the older file; then the folder is synced.
A power loss at any step leaves the newer file intact. Each file contains its owner, format and checksum; one
that is invalid is logged and ignored in favour of the other. Only `DiskFiles` accesses the disk, so that
tests can simulate a power loss at each step.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from hashlib import blake2b
from typing import Protocol

import msgspec

FORMAT = 1
MAX_FILE_BYTES = 2 << 20  # bytes in a file
FILE_NAMES = ("state-a.json", "state-b.json")
CHECKSUM_BYTES = 16  # bytes in the checksum


class StateOwner(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The owner of a state file; detects a folder that was swapped with, or copied from, another node's."""

    node: str
    tier: int
    classes: tuple[str, ...]


class SavedState(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The saved state. `state`: the desired state in canonical form; `at`: Unix time, informational only."""

    counter: int
    digest: str
    state: str
    at: float


class Envelope(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A saved state as written to a file. `sum`: checksum of the bytes of `kept`."""

    format: int
    owner: StateOwner
    sum: str
    kept: msgspec.Raw


class FileSystem(Protocol):
    """The file operations that the store needs."""

    def read(self, path: str) -> bytes: ...

    def write(self, path: str, data: bytes) -> None: ...

    def replace(self, old: str, new: str) -> None: ...

    def sync_folder(self, folder: str) -> None: ...


class DiskFiles:
    """File operations on the real disk."""

    def read(self, path: str) -> bytes:
        with open(path, "rb") as file:
            return file.read(MAX_FILE_BYTES + 1)

    def write(self, path: str, data: bytes) -> None:
        number = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        try:
            view = memoryview(data)
            while view:
                view = view[os.write(number, view) :]
            os.fsync(number)
        finally:
            os.close(number)

    def replace(self, old: str, new: str) -> None:
        os.replace(old, new)

    def sync_folder(self, folder: str) -> None:
        number = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(number)
        finally:
            os.close(number)


class StateStore:
    """The saved state of one node. Disk errors are logged and never raised: the node runs on without it."""

    def __init__(
        self, folder: str, owner: StateOwner, log: Callable[[str], None], files: FileSystem | None = None
    ) -> None:
        self.folder = folder
        self.owner = owner
        self.log = log
        self.files = files or DiskFiles()
        self.next_index = 0  # index of the file that is written next, the older one
        self.failures = 0

    def load(self) -> SavedState | None:
        """Returns the state that was saved last; None if no file is valid."""
        found: list[tuple[int, int, SavedState]] = []
        for number, name in enumerate(FILE_NAMES):
            path = os.path.join(self.folder, name)
            try:
                saved = self.decode(self.files.read(path))
                found.append((saved.counter, number, saved))
            except FileNotFoundError:
                continue
            except (OSError, ValueError) as e:
                self.failures += 1
                self.log(f"state: {path}: {e}: file ignored")
        if not found:
            return None
        newest = max(found, key=lambda entry: entry[0])
        self.next_index = 1 - newest[1]
        return newest[2]

    def decode(self, data: bytes) -> SavedState:
        """Decodes the content of a file. Raises a ValueError that names the defect."""
        if len(data) > MAX_FILE_BYTES:
            raise ValueError(f"over {MAX_FILE_BYTES} bytes")
        try:
            envelope = msgspec.json.decode(data, type=Envelope)
            if envelope.format != FORMAT:
                raise ValueError(f"format {envelope.format}; this build reads {FORMAT}")
            if envelope.sum != blake2b(envelope.kept, digest_size=CHECKSUM_BYTES).hexdigest():
                raise ValueError("damaged")
            if envelope.owner != self.owner:
                raise ValueError(f"belongs to node {envelope.owner.node}, tier {envelope.owner.tier}")
            return msgspec.json.decode(envelope.kept, type=SavedState)
        except (msgspec.DecodeError, RecursionError) as e:
            raise ValueError(f"not a state file: {e}") from None

    def save(self, saved: SavedState) -> bool:
        """Replaces the older file; returns whether the state is durable."""
        raw = msgspec.json.encode(saved)
        envelope = Envelope(
            FORMAT, self.owner, blake2b(raw, digest_size=CHECKSUM_BYTES).hexdigest(), msgspec.Raw(raw)
        )
        path = os.path.join(self.folder, FILE_NAMES[self.next_index])
        try:
            self.files.write(f"{path}.new", msgspec.json.encode(envelope))
            self.files.replace(f"{path}.new", path)
            self.files.sync_folder(self.folder)
        except OSError as e:
            self.failures += 1
            self.log(f"state: {path}: {e.strerror or e}: not saved")
            return False
        self.next_index = 1 - self.next_index
        return True
