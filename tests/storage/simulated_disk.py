"""A simulated disk for sqlite3 and for the program's own file calls; records all writes, syncs and names.

Synced data survives a power loss. Any part of the rest may survive: writes are kept or dropped in any order
and torn at sector boundaries; creations, renames and removals of files are each kept or lost. Data of a
failed sync may survive or not, and no later sync saves it, since some systems drop it from their cache.
"""

from __future__ import annotations

import errno
import io
import os
import sqlite3
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from random import Random
from types import SimpleNamespace
from typing import Any
from unittest.mock import patch

import apsw
from attrs import Factory, define, frozen

from brackenladder.storage import atomic_file, quarantine, sqlite_file, wal_check

SECTOR = 512  # bytes that the disk writes atomically
FOLDER = "/data"


@frozen
class Change:
    """A write to a file, or a truncation."""

    offset: int
    data: bytes | None  # None: the file is truncated at the offset

    def apply_to(self, content: bytearray) -> None:
        if self.data is None:
            del content[self.offset :]
            return
        if len(content) < self.offset:
            content.extend(bytes(self.offset - len(content)))
        content[self.offset : self.offset + len(self.data)] = self.data


@define(eq=False)
class Node:
    """A file, independent of its names. `synced`: the content that survives a power loss."""

    synced: bytearray = Factory(bytearray)
    content: bytearray = Factory(bytearray)
    changes: list[Change] = Factory(list)  # since the last sync that succeeded

    def change(self, change: Change) -> None:
        self.changes.append(change)
        change.apply_to(self.content)

    def sync(self) -> None:
        for change in self.changes:
            change.apply_to(self.synced)
        self.changes = []

    def sync_fails(self, random: Random) -> None:
        """A failed sync: some changes become durable; the rest never will, although it can still be read."""
        for change in self.changes:
            if random.random() < 0.5:
                _torn(change, random).apply_to(self.synced)
        self.changes = []

    def after_loss(self, random: Random) -> bytes:
        """A content that a power loss may leave."""
        content = bytearray(self.synced)
        kept = [one for one in self.changes if random.random() < 0.6]
        if random.random() < 0.5:
            random.shuffle(kept)
        for one in kept:
            _torn(one, random).apply_to(content)
        return bytes(content)


def _torn(change: Change, random: Random) -> Change:
    """The change, or only its first sectors."""
    if change.data is None or random.random() < 0.5:
        return change
    sectors = range(0, len(change.data), SECTOR)
    return Change(change.offset, change.data[: random.choice(sectors) if sectors else 0])


@frozen
class NameChange:
    """A name that was created, renamed or removed since the last sync of the folder."""

    name: str
    node: Node | None  # None: the name was removed


class DiskFull(OSError):
    """The simulated disk is full."""

    def __init__(self) -> None:
        super().__init__(errno.ENOSPC, "No space left on device")


class SimulatedDisk:
    """A disk with one folder. `on_event` is called after each write, truncation, sync and name change."""

    def __init__(self, random: Random | None = None) -> None:
        self._random = random or Random(0)  # decides what a failed sync saves
        self.names: dict[str, Node] = {}
        self.synced_names: dict[str, Node] = {}
        self.name_changes: list[NameChange] = []
        self.on_event: Callable[[str], None] = lambda _kind: None
        self.failing_syncs = 0  # number of the next syncs that fail
        self.failed_file = ""  # the file of the latest error that was returned to sqlite3
        self.room: int | None = None  # bytes until the disk is full; None: unlimited

    # ---- files ----------------------------------------------------------------------------------------

    def write(self, node: Node, offset: int, data: bytes) -> None:
        if self.room is not None:
            grown = max(0, offset + len(data) - len(node.content))
            if grown > self.room:
                raise DiskFull
            self.room -= grown
        node.change(Change(offset, bytes(data)))
        self.on_event("write")

    def truncate(self, node: Node, size: int) -> None:
        node.change(Change(size, None))
        self.on_event("truncate")

    def sync(self, node: Node) -> None:
        if self.failing_syncs:
            self.failing_syncs -= 1
            node.sync_fails(self._random)
            raise OSError(errno.EIO, "Input/output error")
        node.sync()
        self.on_event("sync")

    # ---- names ----------------------------------------------------------------------------------------

    def name(self, name: str, node: Node | None) -> None:
        if node is None:
            self.names.pop(name, None)
        else:
            self.names[name] = node
        self.name_changes.append(NameChange(name, node))
        self.on_event("name")

    def sync_names(self) -> None:
        if self.failing_syncs:
            self.failing_syncs -= 1
            raise OSError(errno.EIO, "Input/output error")
        self.synced_names = dict(self.names)
        self.name_changes = []
        self.on_event("sync")

    # ---- power loss -----------------------------------------------------------------------------------

    def after_loss(self, random: Random) -> dict[str, bytes]:
        """Files, by name, that a power loss at this point may leave."""
        names: dict[str, Node] = dict(self.synced_names)
        for change in self.name_changes:
            if random.random() < 0.5:
                continue
            if change.node is None:
                names.pop(change.name, None)
            else:
                names[change.name] = change.node
        return {name: node.after_loss(random) for name, node in sorted(names.items())}

    def contents(self) -> dict[str, bytes]:
        """The files as processes see them."""
        return {name: bytes(node.content) for name, node in self.names.items()}

    def load(self, files: dict[str, bytes]) -> None:
        """Replaces the content of the disk by these files, all synced."""
        self.names = {name: Node(bytearray(data), bytearray(data)) for name, data in files.items()}
        self.synced_names = dict(self.names)
        self.name_changes = []

    # ---- for the program ------------------------------------------------------------------------------

    @contextmanager
    def mounted(self) -> Iterator[None]:
        """Redirects the file operations of the storage package to this disk."""
        vfs = _Vfs(self)
        files = _FileCalls(self)
        try:
            with ExitStack() as stack:
                for module in (sqlite_file, atomic_file, quarantine, wal_check):
                    stack.enter_context(patch.object(module, "os", files))
                    stack.enter_context(patch.object(module, "open", files.open_file, create=True))
                facade = SimpleNamespace(**{name: getattr(sqlite3, name) for name in dir(sqlite3)})
                facade.connect = lambda path, **_options: Connection(path, vfs)
                stack.enter_context(patch.object(sqlite_file, "sqlite3", facade))
                yield
        finally:
            vfs.unregister()


class _FileCalls:
    """The functions of `os` that the storage package uses, on the simulated disk."""

    O_RDONLY, O_CLOEXEC = os.O_RDONLY, os.O_CLOEXEC

    def __init__(self, disk: SimulatedDisk) -> None:
        self.path = SimpleNamespace(
            dirname=os.path.dirname,
            join=os.path.join,
            abspath=os.path.abspath,
            getsize=lambda path: len(self._node(path).content),
            exists=lambda path: os.path.basename(path) in disk.names,
        )
        self._disk = disk
        self._open: dict[int, str] = {}

    def _node(self, path: str) -> Node:
        name = os.path.basename(path)
        if name not in self._disk.names:
            raise FileNotFoundError(errno.ENOENT, "No such file or directory", path)
        return self._disk.names[name]

    def stat(self, path: str) -> Any:
        return SimpleNamespace(st_size=len(self._node(path).content))

    def unlink(self, path: str) -> None:
        self._node(path)
        self._disk.name(os.path.basename(path), None)

    def replace(self, path: str, target: str) -> None:
        node = self._node(path)
        self._disk.name(os.path.basename(target), node)
        self._disk.name(os.path.basename(path), None)

    rename = replace

    def truncate(self, path: str, size: int) -> None:
        self._disk.truncate(self._node(path), size)

    def listdir(self, _folder: str) -> list[str]:
        return list(self._disk.names)

    def open(self, path: str, _flags: int) -> int:
        number = 1_000 + len(self._open)
        if path != FOLDER:
            self._node(path)
        self._open[number] = path
        return number

    def fsync(self, number: int) -> None:
        path = self._open[number]
        if path == FOLDER:
            self._disk.sync_names()
        else:
            self._disk.sync(self._node(path))

    def close(self, number: int) -> None:
        del self._open[number]

    def open_file(self, path: str, mode: str) -> Any:
        if mode == "rb":
            return io.BytesIO(bytes(self._node(path).content))
        node = Node()
        self._disk.name(os.path.basename(path), node)
        return _Writer(self._disk, node)


class _Writer(io.BytesIO):
    """A file that is open for writing, from its start."""

    def __init__(self, disk: SimulatedDisk, node: Node) -> None:
        super().__init__()
        self._disk = disk
        self._node = node

    def write(self, data: Any) -> int:
        self._disk.write(self._node, len(self._node.content), bytes(data))
        return len(data)


# ---- the file system for sqlite3

_vfs_numbers = iter(range(1 << 30))


class _Vfs(apsw.VFS):
    """The file system interface of sqlite3 for a simulated disk."""

    def __init__(self, disk: SimulatedDisk) -> None:
        self.disk = disk
        self.vfs_name = f"disk-{next(_vfs_numbers)}"
        super().__init__(self.vfs_name, "")

    def xFullPathname(self, name: str) -> str:
        return name

    def xAccess(self, path: str, _flags: int) -> bool:
        return os.path.basename(path) in self.disk.names

    def xDelete(self, path: str, sync_folder: bool) -> None:
        name = os.path.basename(path)
        if name not in self.disk.names:
            return
        self.disk.name(name, None)
        if sync_folder:
            self.disk.sync_names()

    def xOpen(self, name: Any, flags: list[int]) -> Any:
        path = name if isinstance(name, str) else name.filename()
        flags[1] = flags[0]
        return _File(self.disk, os.path.basename(path), flags[0])

    def xRandomness(self, size: int) -> bytes:
        return os.urandom(size)

    def xSleep(self, microseconds: int) -> int:
        return microseconds

    def xCurrentTime(self) -> float:
        return 2_461_000.5

    def xGetLastError(self) -> tuple[int, str]:
        return 0, ""


class _File:
    """A file that sqlite3 has open."""

    def __init__(self, disk: SimulatedDisk, name: str, flags: int) -> None:
        self._disk = disk
        self._name = name
        self._new = name not in disk.names
        if self._new:
            disk.name(name, Node())
        self._node = disk.names[name]
        self._syncs_folder = self._new and not flags & apsw.SQLITE_OPEN_MAIN_DB

    def xRead(self, amount: int, offset: int) -> bytes:
        return bytes(self._node.content[offset : offset + amount])

    def xWrite(self, data: bytes, offset: int) -> None:
        try:
            self._disk.write(self._node, offset, data)
        except DiskFull:
            self._disk.failed_file = self._name
            raise apsw.FullError("no room") from None

    def xTruncate(self, size: int) -> None:
        self._disk.truncate(self._node, size)

    def xSync(self, _flags: int) -> None:
        """Syncs the file, and the name of a new journal with it, as sqlite3 does on Unix."""
        try:
            self._disk.sync(self._node)
            if self._syncs_folder:
                self._disk.sync_names()
                self._syncs_folder = False
        except OSError:
            self._disk.failed_file = self._name
            error = apsw.IOError("sync")
            error.extendedresult = apsw.SQLITE_IOERR_FSYNC
            raise error from None

    def xFileSize(self) -> int:
        return len(self._node.content)

    def xLock(self, _level: int) -> None:
        pass

    def xUnlock(self, _level: int) -> None:
        pass

    def xCheckReservedLock(self) -> bool:
        return False

    def xFileControl(self, _operation: int, _pointer: int) -> bool:
        return False

    def xSectorSize(self) -> int:
        return SECTOR

    def xDeviceCharacteristics(self) -> int:
        """As on Unix: a torn write does not change bytes outside its range."""
        return int(apsw.SQLITE_IOCAP_POWERSAFE_OVERWRITE)

    def xClose(self) -> None:
        pass


class Connection:
    """An apsw connection with the interface of the standard library's sqlite3."""

    def __init__(self, path: str, vfs: _Vfs) -> None:
        self._disk = vfs.disk
        with _errors():
            self._connection = apsw.Connection(path, vfs=vfs.vfs_name)

    @property
    def in_transaction(self) -> bool:
        return bool(self._connection.in_transaction)

    def execute(self, statement: str, values: Any = ()) -> Any:
        self._disk.failed_file = ""
        try:
            with _errors():
                return _Rows(list(self._connection.execute(statement, values)))
        except sqlite3.Error:
            # A commit writes to the WAL only. The database file is written by the checkpoint after it, whose
            # failure sqlite3 does not report; apsw raises it nevertheless.
            if statement == "COMMIT" and self._disk.failed_file == sqlite_file.FILE_NAME:
                return _Rows()
            raise

    def executemany(self, statement: str, rows: Any) -> None:
        with _errors():
            self._connection.executemany(statement, rows)

    def executescript(self, statements: str) -> None:
        self.execute(statements)

    def close(self) -> None:
        with _errors():
            self._connection.close()


class _Rows(list):  # type: ignore[type-arg]
    def fetchone(self) -> Any:
        return self[0] if self else None

    def fetchall(self) -> Any:
        return list(self)


@contextmanager
def _errors() -> Iterator[None]:
    """Converts errors of apsw to those of the standard library."""
    try:
        yield
    except apsw.Error as error:
        code = getattr(error, "extendedresult", None) or getattr(error, "result", apsw.SQLITE_ERROR)
        kind = sqlite3.OperationalError if code & 0xFF != apsw.SQLITE_CORRUPT else sqlite3.DatabaseError
        converted = kind(str(error))
        converted.sqlite_errorcode = code
        converted.sqlite_errorname = type(error).__name__
        raise converted from None
