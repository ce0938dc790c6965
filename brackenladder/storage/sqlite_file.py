"""The file of a log store: how it is made, recognised and opened."""

from __future__ import annotations

import errno
import os
import sqlite3
from contextlib import closing, suppress

from attrs import frozen
from returns.result import Failure, Result, Success

from brackenladder.storage.log_store import FORMAT, StoreCorrupt, StoreError, StoreForeign, StoreTooNew
from brackenladder.storage.sqlite_tables import (
    APPLICATION_ID,
    create_tables,
    has_tables,
    read_pragma,
)

FILE_NAME = "log.sqlite3"
WAL_SUFFIX = "-wal"
SIDE_SUFFIXES = (WAL_SUFFIX, "-journal", "-shm")  # of the files that sqlite3 keeps beside its own
PAGE_BYTES = 4096
CACHE_KB = 512
CHECKPOINT_PAGES = 256  # of the WAL, after which its pages go to the file
WAL_KEPT_BYTES = 1 << 20  # to which a longer WAL is cut after its checkpoint
LARGEST_FILE_BYTES = 56 << 20  # the WAL may be as long once more, and a disk has 128 MB

_UNFINISHED_SUFFIX = ".new"
_MAGIC = b"SQLite format 3\x00"
_HEADER_BYTES = 100
_WAL_HEADER_BYTES = 32
_FRAME_HEAD_BYTES = 24  # before each page in the WAL; its first number is that of the page
_FORMAT_AT = 60  # offset of `user_version` in the header
_APPLICATION_AT = 68  # offset of `application_id` in the header


@frozen
class FileMarks:
    """What a file says of itself."""

    application_id: int
    format: int


def has_store(path: str) -> Result[bool, StoreError]:
    """Whether there is a store at `path`; False: one may be made. Another program's file is a failure."""
    header = _read_header(path)
    journals = [suffix for suffix in SIDE_SUFFIXES if _size(path + suffix) > 0]
    if not header:
        if journals:
            return Failure(StoreCorrupt(f"{path}: missing or empty, yet {path + journals[0]} is not"))
        return Success(False)
    marks = _header_marks(header)
    checked = _check_database(marks, path)
    if isinstance(checked.swap().value_or(None), StoreTooNew):
        return Failure(checked.failure())
    if isinstance(checked, Success) or _wal_repairs(path + WAL_SUFFIX):
        return Success(True)
    if marks == FileMarks(0, 0) and not journals:
        return _has_content(path)
    return Failure(checked.failure())


def check_marks(marks: FileMarks, path: str) -> Result[None, StoreError]:
    """Refuses a file that is not a log store which this program can read."""
    if marks.application_id != APPLICATION_ID:
        return Failure(StoreForeign(f"{path}: a database of another program"))
    if marks.format > FORMAT:
        return Failure(StoreTooNew(f"{path}: format {marks.format}, this program knows up to {FORMAT}"))
    if marks.format < 1:
        return Failure(StoreCorrupt(f"{path}: format {marks.format}"))
    return Success(None)


def read_marks(connection: sqlite3.Connection) -> FileMarks:
    """The marks as the last transaction left them, which may stand in the WAL only."""
    return FileMarks(read_pragma(connection, "application_id"), read_pragma(connection, "user_version"))


def make_store(path: str, replica_id: str) -> None:
    """Makes a store at `path`, where none is; it appears under that name once all of it is durable."""
    unfinished = path + _UNFINISHED_SUFFIX
    _remove_with_journals(unfinished)
    with closing(connect(unfinished)) as connection:
        connection.execute(f"PRAGMA page_size = {PAGE_BYTES}")
        connection.execute("PRAGMA auto_vacuum = INCREMENTAL")
        use_wal(connection)
        connection.execute("BEGIN IMMEDIATE")
        create_tables(connection, replica_id)
        connection.execute("COMMIT")
    sync_to_disk(unfinished)
    _remove_journals(path)
    sync_to_disk(os.path.dirname(path))  # else a journal may come back beside the new file
    os.replace(unfinished, path)
    sync_to_disk(os.path.dirname(path))


def connect(path: str) -> sqlite3.Connection:
    """Opens the file for this process alone; nothing of it is read or changed yet."""
    connection = sqlite3.connect(path, timeout=0.0, isolation_level=None, check_same_thread=False)
    connection.execute("PRAGMA locking_mode = EXCLUSIVE")  # before the first access: no shared-memory index
    return connection


def use_wal(connection: sqlite3.Connection) -> None:
    """Sets how the file is written, its limits and its memory."""
    settings = {
        "synchronous": "FULL",
        "wal_autocheckpoint": CHECKPOINT_PAGES,
        "journal_size_limit": WAL_KEPT_BYTES,
        "max_page_count": LARGEST_FILE_BYTES // PAGE_BYTES,
        "cache_size": -CACHE_KB,
        "mmap_size": 0,
        "temp_store": "MEMORY",
    }
    for name, value in settings.items():
        connection.execute(f"PRAGMA {name} = {value}").fetchall()
    mode = connection.execute("PRAGMA journal_mode = WAL").fetchone()[0]
    if mode != "wal":
        raise OSError(errno.ENOTSUP, f"journal mode {mode} instead of WAL")


def remove_unfinished(path: str) -> None:
    """Removes what a creation that was cut short has left."""
    _remove_with_journals(path + _UNFINISHED_SUFFIX)


def _check_database(marks: FileMarks | None, path: str) -> Result[None, StoreError]:
    if marks is None:
        return Failure(StoreForeign(f"{path}: not a database of sqlite3"))
    return check_marks(marks, path)


def _wal_repairs(path: str) -> bool:
    """Whether the WAL holds the first page of a store: the page in the file may then be torn."""
    if _size(path) == 0:
        return False
    with open(path, "rb") as file:
        file.seek(_WAL_HEADER_BYTES)
        while len(head := file.read(_FRAME_HEAD_BYTES)) == _FRAME_HEAD_BYTES:
            page = file.read(PAGE_BYTES)
            if _number(head, 0) == 1:
                marks = _header_marks(page)
                return marks is not None and marks.application_id == APPLICATION_ID
    return False


def _has_content(path: str) -> Result[bool, StoreError]:
    with closing(connect(path)) as connection:
        marks = read_marks(connection)
        if marks == FileMarks(0, 0) and not has_tables(connection):
            return Success(False)
        return check_marks(marks, path).map(lambda _: True)


def _read_header(path: str) -> bytes:
    try:
        with open(path, "rb") as file:
            return file.read(_HEADER_BYTES)
    except FileNotFoundError:
        return b""


def _header_marks(header: bytes) -> FileMarks | None:
    """None: no header of a database."""
    if not header.startswith(_MAGIC) or len(header) < _HEADER_BYTES:
        return None
    return FileMarks(_number(header, _APPLICATION_AT), _number(header, _FORMAT_AT))


def _number(header: bytes, offset: int) -> int:
    return int.from_bytes(header[offset : offset + 4], "big", signed=True)


def _size(path: str) -> int:
    try:
        return os.stat(path).st_size
    except FileNotFoundError:
        return 0


def _remove_journals(path: str) -> None:
    for suffix in SIDE_SUFFIXES:
        with suppress(FileNotFoundError):
            os.unlink(path + suffix)


def _remove_with_journals(path: str) -> None:
    with suppress(FileNotFoundError):
        os.unlink(path)
    _remove_journals(path)


def sync_to_disk(path: str | os.PathLike[str]) -> None:
    """Makes a file's content, or a folder's names, durable."""
    number = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
    try:
        os.fsync(number)
    finally:
        os.close(number)
