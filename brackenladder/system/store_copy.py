"""A copy of a store that no process has open: the original is read under a lock and never written."""

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

# The bytes of the file that sqlite3 locks: a reader shares them, a process that has the store open owns them.
LOCK_START = 0x4000_0002
LOCK_BYTES = 510


@contextmanager
def opened_copy(place: Path) -> Iterator[SqliteLogStore]:
    """The store in a folder, or of a backup file, opened as a private copy.

    `Unusable` where there is none, or one that is in use; a CommandError if it is damaged.
    """
    source = source_of(place)
    if not source.is_file():
        raise UsageError(f"{place}: there is no store")
    with TemporaryDirectory(prefix="store-") as folder:
        target = Path(folder) / FILE_NAME
        _copy(source, target)
        found = has_store(str(target))
        if isinstance(found, Failure):
            raise CommandError(_named(found.failure(), target, source))
        if not found.unwrap():
            raise UsageError(f"{place}: there is no store")
        opened = open_store(folder, lambda: "")
        if isinstance(opened, Failure):
            raise CommandError(_named(opened.failure(), target, source))
        store = opened.unwrap()
        try:
            yield store
        finally:
            store.close()


def source_of(place: Path) -> Path:
    """The file of a store: in a folder, or the place itself."""
    return place / FILE_NAME if place.is_dir() else place


def write_backup(place: Path, target: Path) -> None:
    """Writes the store as one file that appears whole or not at all; an existing file stays."""
    if target.exists():
        raise UsageError(f"{target}: exists already")
    with opened_copy(place) as store:
        source = Path(store.path)
        store.close()  # the pages of the WAL go to the file
        unfinished = target.with_name(f"{target.name}.new")
        try:
            shutil.copyfile(source, unfinished)
            sync_to_disk(unfinished)
            os.link(unfinished, target)  # fails where a file has appeared meanwhile
            sync_to_disk(target.absolute().parent)
        except OSError as error:
            raise UsageError(f"{target}: cannot be written: {error.strerror}") from None
        finally:
            with suppress(OSError):
                unfinished.unlink()


def integrity_faults(store: SqliteLogStore) -> list[str]:
    """What sqlite3's own check finds; the store is closed by it."""
    store.close()
    with closing(sqlite3.connect(store.path)) as connection:
        found = [str(row[0]) for row in connection.execute("PRAGMA integrity_check(5)")]
    return [] if found == ["ok"] else found


def _copy(source: Path, target: Path) -> None:
    """Copies the file and its WAL while no process can open them for writing."""
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


def _named(error: object, copy: Path, source: Path) -> str:
    """An error's line with the name of the original."""
    return str(error).replace(str(copy), str(source))
