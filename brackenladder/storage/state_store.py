"""What a node keeps on disk to come back with: two files, written in turn, each whole or not at all.

A write goes to a temporary file, is synced, takes the older file's place, and the folder is synced: a power
cut at any step leaves the file before it. A file names its owner, its format and its checksum; what does not
fit is named and passed over for the other one. `DiskFiles` alone touches a disk, so that tests
can cut the power at each of its steps.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from hashlib import blake2b
from typing import Protocol

import msgspec

FORMAT = 1
LARGEST = 2 << 20  # bytes of a file
FILE_NAMES = ("state-a.json", "state-b.json")
SUM = 16  # bytes of the checksum


class StateOwner(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Whose state it is: a folder that was exchanged, or copied from another node, is told by it."""

    node: str
    tier: int
    classes: tuple[str, ...]


class SavedState(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What is kept. `state`: the canonical desired state; `at`: Unix seconds, for people only."""

    counter: int
    digest: str
    state: str
    at: float


class Envelope(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A file. `sum`: of `kept`'s bytes."""

    format: int
    owner: StateOwner
    sum: str
    kept: msgspec.Raw


class FileSystem(Protocol):
    """What the store does to a folder."""

    def read(self, path: str) -> bytes: ...

    def write(self, path: str, data: bytes) -> None: ...

    def replace(self, old: str, new: str) -> None: ...

    def sync_folder(self, folder: str) -> None: ...


class DiskFiles:
    """The disk."""

    def read(self, path: str) -> bytes:
        with open(path, "rb") as file:
            return file.read(LARGEST + 1)

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
    """One node's. Nothing here raises for what a disk does: it is logged, and the node goes on without."""

    def __init__(
        self, folder: str, owner: StateOwner, log: Callable[[str], None], files: FileSystem | None = None
    ) -> None:
        self.folder = folder
        self.owner = owner
        self.log = log
        self.files = files or DiskFiles()
        self.next = 0  # the file that is written next: the older one
        self.failures = 0

    def load(self) -> SavedState | None:
        """What was kept last, if any of it can be used."""
        found: list[tuple[int, int, SavedState]] = []
        for number, name in enumerate(FILE_NAMES):
            path = os.path.join(self.folder, name)
            try:
                kept = self.decode(self.files.read(path))
                found.append((kept.counter, number, kept))
            except FileNotFoundError:
                continue
            except (OSError, ValueError) as e:
                self.failures += 1
                self.log(f"state: {path}: {e}: passed over")
        if not found:
            return None
        newest = max(found, key=lambda entry: entry[0])
        self.next = 1 - newest[1]
        return newest[2]

    def decode(self, data: bytes) -> SavedState:
        """A file's content. A ValueError names what is wrong with it."""
        if len(data) > LARGEST:
            raise ValueError(f"over {LARGEST} bytes")
        try:
            envelope = msgspec.json.decode(data, type=Envelope)
            if envelope.format != FORMAT:
                raise ValueError(f"format {envelope.format}; this build reads {FORMAT}")
            if envelope.sum != blake2b(envelope.kept, digest_size=SUM).hexdigest():
                raise ValueError("damaged")
            if envelope.owner != self.owner:
                raise ValueError(f"of node {envelope.owner.node}, tier {envelope.owner.tier}")
            return msgspec.json.decode(envelope.kept, type=SavedState)
        except (msgspec.DecodeError, RecursionError) as e:
            raise ValueError(f"not a state: {e}") from None

    def save(self, kept: SavedState) -> bool:
        """Writes in place of the older file; whether it is on the disk."""
        raw = msgspec.json.encode(kept)
        envelope = Envelope(FORMAT, self.owner, blake2b(raw, digest_size=SUM).hexdigest(), msgspec.Raw(raw))
        path = os.path.join(self.folder, FILE_NAMES[self.next])
        try:
            self.files.write(f"{path}.new", msgspec.json.encode(envelope))
            self.files.replace(f"{path}.new", path)
            self.files.sync_folder(self.folder)
        except OSError as e:
            self.failures += 1
            self.log(f"state: {path}: {e.strerror or e}: not kept")
            return False
        self.next = 1 - self.next
        return True
