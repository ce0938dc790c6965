"""A log store in one sqlite3 database.

The database is in WAL mode with exclusive locking (no shared-memory index) and `synchronous=FULL`: a commit
returns after its frames in the WAL are synced, and pages of the database file are overwritten only from a
synced WAL.
"""

from __future__ import annotations

import os
import sqlite3
from collections.abc import Callable, Sequence
from contextlib import suppress
from threading import Lock

from returns.result import Failure, Result, Success

from brackenladder.consensus.types import DurableState, Write
from brackenladder.storage import sqlite_file, sqlite_tables
from brackenladder.storage.log_store import (
    LogSpan,
    StoreClosed,
    StoreCorrupt,
    StoreError,
    StoreIdentity,
    span_of,
)
from brackenladder.storage.sqlite_errors import CorruptRow, store_error
from brackenladder.storage.wal_check import lost_commits


class SqliteLogStore:
    """An open store. It is thread-safe; calls are serialised by a lock."""

    def __init__(
        self, path: str, connection: sqlite3.Connection, identity: StoreIdentity, created: bool
    ) -> None:
        self.path = path
        self.identity = identity
        self.created = created  # whether `open_store` created the store when it returned this object
        self._lock = Lock()
        self._connection: sqlite3.Connection | None = connection
        self._span = sqlite_tables.read_span(connection)

    def load(self) -> Result[DurableState, StoreError]:
        """Returns everything that was made durable; fails if the log is damaged or has a gap."""
        with self._lock:
            if self._connection is None:
                return self._closed()
            try:
                state = sqlite_tables.read_state(self._connection)
            except (sqlite3.Error, CorruptRow) as error:
                return Failure(store_error(error, self.path))
        return span_of(state.snapshot, state.entries).map(lambda _: state)

    def apply(self, write: Write) -> Result[None, StoreError]:
        """Applies a write in one transaction; durable on return. After a failure nothing has changed."""
        return self.apply_batch((write,))

    def apply_batch(self, writes: Sequence[Write]) -> Result[None, StoreError]:
        """Applies all writes in one transaction, in order."""
        with self._lock:
            if self._connection is None:
                return self._closed()
            match _span_after(self._span, writes):
                case Success(span):
                    done = self._commit(self._connection, writes)
                case refused:
                    return Failure(refused.failure())
            if isinstance(done, Success):
                self._span = span
            return done

    def close(self) -> None:
        """Closes the database; further calls do nothing."""
        with self._lock:
            if self._connection is not None:
                self._connection.close()
            self._connection = None

    def _closed(self) -> Failure[StoreError]:
        return Failure(StoreClosed(f"{self.path}: the store is closed"))

    def _commit(self, connection: sqlite3.Connection, writes: Sequence[Write]) -> Result[None, StoreError]:
        try:
            _roll_back(connection)  # in case the rollback after the last error failed
            connection.execute("BEGIN IMMEDIATE")
            for write in writes:
                sqlite_tables.write_change(connection, write)
            connection.execute("COMMIT")
        except sqlite3.Error as error:
            with suppress(sqlite3.Error):
                _roll_back(connection)
            return Failure(store_error(error, self.path))
        if any(write.snapshot is not None for write in writes):
            with suppress(sqlite3.Error):  # the writes are durable; this is retried with the next snapshot
                sqlite_tables.release_pages(connection)
        return Success(None)


def open_store(folder: str, new_replica_id: Callable[[], str]) -> Result[SqliteLogStore, StoreError]:
    """Opens the store in `folder`, or creates one with a new replica id if there is none."""
    path = os.path.join(os.path.abspath(folder), sqlite_file.FILE_NAME)
    try:
        sqlite_file.remove_unfinished(path)
        match sqlite_file.has_store(path):
            case Success(found):
                pass
            case refused:
                return Failure(refused.failure())
        if not found:
            sqlite_file.create_store(path, new_replica_id())
        elif lost_commits(path, path + sqlite_file.WAL_SUFFIX, sqlite_file.PAGE_BYTES):
            return Failure(StoreCorrupt(f"{path}: its WAL is damaged and acknowledged commits would be lost"))
        return _open(path, created=not found)
    except (sqlite3.Error, OSError) as error:
        return Failure(store_error(error, path))


def _open(path: str, created: bool) -> Result[SqliteLogStore, StoreError]:
    connection = sqlite_file.connect(path)
    try:
        opened = _prepare(path, connection, created)
    except (sqlite3.Error, OSError, CorruptRow) as error:
        opened = Failure(store_error(error, path))
    if not isinstance(opened, Success):
        connection.close()
    return opened


def _prepare(path: str, connection: sqlite3.Connection, created: bool) -> Result[SqliteLogStore, StoreError]:
    fields = sqlite_file.read_header_fields(connection)
    match sqlite_file.check_header_fields(fields, path):
        case Success(_):
            sqlite_file.use_wal(connection)
        case refused:
            return Failure(refused.failure())
    identity = StoreIdentity(sqlite_tables.read_replica_id(connection), fields.format)
    return Success(SqliteLogStore(path, connection, identity, created))


def _span_after(span: LogSpan, writes: Sequence[Write]) -> Result[LogSpan, StoreError]:
    for write in writes:
        match span.after(write):
            case Success(following):
                span = following
            case refused:
                return refused
    return Success(span)


def _roll_back(connection: sqlite3.Connection) -> None:
    if connection.in_transaction:
        connection.execute("ROLLBACK")
