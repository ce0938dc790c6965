"""Copies a store that no process has open. The original is read under a lock and never written."""

from __future__ import annotations

import fcntl
import os
import shutil
import sqlite3
from collections.abc import Iterator
from contextlib import closing, contextmanager, suppress
from pathlib import Path
from tempfile import TemporaryDirectory

from returns.result import Failure

from brackenladder.operator_client.errors import CommandError, UsageError
from brackenladder.storage.log_store import StoreInUse
from brackenladder.storage.sqlite_file import FILE_NAME, WAL_SUFFIX, has_store, sync_to_disk
from brackenladder.storage.sqlite_log import SqliteLogStore, open_store

# The byte range that sqlite3 locks: shared by readers, exclusive for the process that has the store open.
LOCK_START = 0x4000_0002
LOCK_BYTES = 510


@contextmanager
def open_copy(place: Path) -> Iterator[SqliteLogStore]:
    """Opens a private copy of the store in a folder, or of a backup file.

    Raises UsageError if there is no store or it is in use, CommandError if it is damaged.
    """
    source = store_file(place)
    if not source.is_file():
        raise UsageError(f"{place}: there is no store")
    with TemporaryDirectory(prefix="store-") as folder:
        target = Path(folder) / FILE_NAME
        _copy(source, target)
        found = has_store(str(target))
        if isinstance(found, Failure):
            raise CommandError(_with_original_name(found.failure(), target, source))
        if not found.unwrap():
            raise UsageError(f"{place}: there is no store")
        opened = open_store(folder, lambda: "")
        if isinstance(opened, Failure):
            raise CommandError(_with_original_name(opened.failure(), target, source))
        store = opened.unwrap()
        try:
            yield store
        finally:
            store.close()


def store_file(place: Path) -> Path:
    """Returns the file of a store: the one in the folder `place`, or `place` itself."""
    return place / FILE_NAME if place.is_dir() else place


def write_backup(place: Path, target: Path) -> None:
    """Writes the store to one file, atomically. An existing file is not replaced."""
    if target.exists():
        raise UsageError(f"{target}: exists already")
    with open_copy(place) as store:
        source = Path(store.path)
        store.close()  # checkpoints the WAL into the file
        unfinished = target.with_name(f"{target.name}.new")
        try:
            shutil.copyfile(source, unfinished)
            sync_to_disk(unfinished)
            os.link(unfinished, target)  # fails if the target has been created in the meantime
            sync_to_disk(target.absolute().parent)
        except OSError as error:
            raise UsageError(f"{target}: cannot be written: {error.strerror}") from None
        finally:
            with suppress(OSError):
                unfinished.unlink()


def integrity_faults(store: SqliteLogStore) -> list[str]:
    """Returns the faults that sqlite3's integrity check finds. Closes the store."""
    store.close()
    with closing(sqlite3.connect(store.path)) as connection:
        found = [str(row[0]) for row in connection.execute("PRAGMA integrity_check(5)")]
    return [] if found == ["ok"] else found


def _copy(source: Path, target: Path) -> None:
    """Copies the file and its WAL under a lock that keeps other processes from opening them for writing."""
    try:
        with source.open("rb") as file:
            try:
                fcntl.lockf(file, fcntl.LOCK_SH | fcntl.LOCK_NB, LOCK_BYTES, LOCK_START)
            except BlockingIOError:
                detail = f"{source}: a process has it open; stop the node first"
                raise UsageError(str(StoreInUse(detail))) from None
            shutil.copyfile(source, target)
            with suppress(FileNotFoundError):
                shutil.copyfile(f"{source}{WAL_SUFFIX}", f"{target}{WAL_SUFFIX}")
    except OSError as error:
        raise UsageError(f"{source}: cannot be read: {error.strerror}") from None


def _with_original_name(error: object, copy: Path, source: Path) -> str:
    """Returns the text of an error with the name of the original file in place of the copy's."""
    return str(error).replace(str(copy), str(source))
