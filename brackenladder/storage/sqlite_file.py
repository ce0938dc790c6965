"""Creating, recognising and opening the database file of a log store."""

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
SIDE_SUFFIXES = (WAL_SUFFIX, "-journal", "-shm")  # files that sqlite3 creates beside the database
PAGE_BYTES = 4096
CACHE_KB = 512
CHECKPOINT_PAGES = 256  # pages in the WAL after which they are copied to the database
WAL_KEPT_BYTES = 1 << 20  # bytes to which a longer WAL is truncated after a checkpoint
# Bytes; the WAL may grow to the same size, and both have to fit on a disk of 128 MB.
MAX_DATABASE_BYTES = 56 << 20

_UNFINISHED_SUFFIX = ".new"
_MAGIC = b"SQLite format 3\x00"
_HEADER_BYTES = 100
_WAL_HEADER_BYTES = 32
_FRAME_HEADER_BYTES = 24  # header before each page in the WAL; it begins with the page number
_FORMAT_OFFSET = 60  # offset of `user_version` in the header
_APPLICATION_OFFSET = 68  # offset of `application_id` in the header


@frozen
class HeaderFields:
    """The values in a database file's header that identify a log store."""

    application_id: int
    format: int


def has_store(path: str) -> Result[bool, StoreError]:
    """Whether there is a store at `path`; False: one may be created. Fails for another program's file."""
    header = _read_header(path)
    journals = [suffix for suffix in SIDE_SUFFIXES if _size(path + suffix) > 0]
    if not header:
        if journals:
            return Failure(StoreCorrupt(f"{path}: missing or empty, but {path + journals[0]} is not"))
        return Success(False)
    fields = _parse_header(header)
    checked = _check_database(fields, path)
    if isinstance(checked.swap().value_or(None), StoreTooNew):
        return Failure(checked.failure())
    if isinstance(checked, Success) or _wal_has_first_page(path + WAL_SUFFIX):
        return Success(True)
    if fields == HeaderFields(0, 0) and not journals:
        return _has_content(path)
    return Failure(checked.failure())


def check_header_fields(fields: HeaderFields, path: str) -> Result[None, StoreError]:
    """Fails for a file that is not a log store, or has a format that this program cannot read."""
    if fields.application_id != APPLICATION_ID:
        return Failure(StoreForeign(f"{path}: a database of another program"))
    if fields.format > FORMAT:
        return Failure(StoreTooNew(f"{path}: format {fields.format}, this program reads up to {FORMAT}"))
    if fields.format < 1:
        return Failure(StoreCorrupt(f"{path}: invalid format {fields.format}"))
    return Success(None)


def read_header_fields(connection: sqlite3.Connection) -> HeaderFields:
    """Reads the header values as of the last transaction, which may be in the WAL only."""
    return HeaderFields(read_pragma(connection, "application_id"), read_pragma(connection, "user_version"))


def create_store(path: str, replica_id: str) -> None:
    """Creates a store where there is none: it is renamed to `path` once it is completely durable."""
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
    sync_to_disk(os.path.dirname(path))  # otherwise a removed journal may reappear beside the new file
    os.replace(unfinished, path)
    sync_to_disk(os.path.dirname(path))


def connect(path: str) -> sqlite3.Connection:
    """Opens the file for exclusive use by this process, without reading or changing it yet."""
    connection = sqlite3.connect(path, timeout=0.0, isolation_level=None, check_same_thread=False)
    # Set before the first access, so that sqlite3 uses no shared-memory index.
    connection.execute("PRAGMA locking_mode = EXCLUSIVE")
    return connection


def use_wal(connection: sqlite3.Connection) -> None:
    """Enables WAL mode, and sets durability, size limits and memory use."""
    settings = {
        "synchronous": "FULL",
        "wal_autocheckpoint": CHECKPOINT_PAGES,
        "journal_size_limit": WAL_KEPT_BYTES,
        "max_page_count": MAX_DATABASE_BYTES // PAGE_BYTES,
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
    """Removes the files of an interrupted creation."""
    _remove_with_journals(path + _UNFINISHED_SUFFIX)


def _check_database(fields: HeaderFields | None, path: str) -> Result[None, StoreError]:
    if fields is None:
        return Failure(StoreForeign(f"{path}: not a database of sqlite3"))
    return check_header_fields(fields, path)


def _wal_has_first_page(path: str) -> bool:
    """Whether the WAL contains the first page of a store, which replaces a torn one in the database."""
    if _size(path) == 0:
        return False
    with open(path, "rb") as file:
        file.seek(_WAL_HEADER_BYTES)
        while len(head := file.read(_FRAME_HEADER_BYTES)) == _FRAME_HEADER_BYTES:
            page = file.read(PAGE_BYTES)
            if _number(head, 0) == 1:
                fields = _parse_header(page)
                return fields is not None and fields.application_id == APPLICATION_ID
    return False


def _has_content(path: str) -> Result[bool, StoreError]:
    with closing(connect(path)) as connection:
        fields = read_header_fields(connection)
        if fields == HeaderFields(0, 0) and not has_tables(connection):
            return Success(False)
        return check_header_fields(fields, path).map(lambda _: True)


def _read_header(path: str) -> bytes:
    try:
        with open(path, "rb") as file:
            return file.read(_HEADER_BYTES)
    except FileNotFoundError:
        return b""


def _parse_header(header: bytes) -> HeaderFields | None:
    """Parses a header; None if it is not that of a database."""
    if not header.startswith(_MAGIC) or len(header) < _HEADER_BYTES:
        return None
    return HeaderFields(_number(header, _APPLICATION_OFFSET), _number(header, _FORMAT_OFFSET))


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
    """Makes the content of a file, or the entries of a folder, durable."""
    number = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
    try:
        os.fsync(number)
    finally:
        os.close(number)
