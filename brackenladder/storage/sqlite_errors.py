"""Converts errors of sqlite3 and of the file system to the errors of a log store."""

from __future__ import annotations

import errno
import sqlite3

from brackenladder.storage.log_store import (
    StoreCorrupt,
    StoreError,
    StoreFailed,
    StoreForeign,
    StoreFull,
    StoreInUse,
)

PRIMARY_CODE = 0xFF  # mask of the primary result code within an extended one
_ERROR_TYPES: dict[int, type[StoreError]] = {
    sqlite3.SQLITE_ERROR: StoreCorrupt,  # the file has tables or text that this program would not write
    sqlite3.SQLITE_CONSTRAINT: StoreCorrupt,
    sqlite3.SQLITE_FULL: StoreFull,
    sqlite3.SQLITE_CORRUPT: StoreCorrupt,
    sqlite3.SQLITE_NOTADB: StoreForeign,
    sqlite3.SQLITE_BUSY: StoreInUse,
    sqlite3.SQLITE_LOCKED: StoreInUse,
}
_FULL_ERRNOS = frozenset({errno.ENOSPC, errno.EDQUOT, errno.EFBIG})


class CorruptRow(Exception):
    """A row of the store is invalid; the message says which one and why."""


def store_error(error: sqlite3.Error | OSError | CorruptRow, path: str) -> StoreError:
    """Converts an error of sqlite3 or the file system at `path` to the `StoreError` subclass that fits it."""
    if isinstance(error, CorruptRow):
        return StoreCorrupt(f"{path}: {error}")
    if isinstance(error, OSError):
        kind = StoreFull if error.errno in _FULL_ERRNOS else StoreFailed
        return kind(f"{path}: {error.strerror or error}")
    code = getattr(error, "sqlite_errorcode", sqlite3.SQLITE_ERROR)
    name = getattr(error, "sqlite_errorname", type(error).__name__)
    return _ERROR_TYPES.get(code & PRIMARY_CODE, StoreFailed)(f"{path}: {error} ({name})")
