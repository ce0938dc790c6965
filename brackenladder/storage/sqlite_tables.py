"""The tables of the log store: SQL, and conversion of rows. Callers manage transactions."""

from __future__ import annotations

import sqlite3
from struct import Struct
from struct import error as StructError
from zlib import crc32

from returns.result import Success

from brackenladder.consensus.types import DurableState, Entry, EntryKind, HardState, Snapshot, Write
from brackenladder.storage.log_codec import decode_members, encode_members
from brackenladder.storage.log_store import FORMAT, LogSpan
from brackenladder.storage.sqlite_errors import CorruptRow

APPLICATION_ID = 0x626C6C67  # "bllg"; in the header of the database file
FREE_PAGES_KEPT = 256  # unused pages kept for reuse; the rest is returned to the file system
FREE_PAGES_STEP = 512  # maximum number of unused pages returned at a time

_TABLES = (
    "CREATE TABLE identity (only INTEGER PRIMARY KEY CHECK (only = 1), replica_id TEXT NOT NULL)",
    """CREATE TABLE hard_state (only INTEGER PRIMARY KEY CHECK (only = 1), term INTEGER NOT NULL,
       voted_for TEXT NOT NULL, checksum INTEGER NOT NULL)""",
    """CREATE TABLE snapshot (only INTEGER PRIMARY KEY CHECK (only = 1), position INTEGER NOT NULL,
       term INTEGER NOT NULL, members BLOB NOT NULL, data BLOB NOT NULL, checksum INTEGER NOT NULL)""",
    """CREATE TABLE entry (position INTEGER PRIMARY KEY, term INTEGER NOT NULL, kind INTEGER NOT NULL,
       data BLOB NOT NULL, checksum INTEGER NOT NULL)""",
)
_NUMBERS = Struct(">QQQ")


def create_tables(connection: sqlite3.Connection, replica_id: str) -> None:
    """Creates an empty log with its replica id, and the header values that identify the file."""
    for statement in _TABLES:
        connection.execute(statement)
    connection.execute("INSERT INTO identity VALUES (1, ?)", (replica_id,))
    connection.execute(f"PRAGMA application_id = {APPLICATION_ID}")
    connection.execute(f"PRAGMA user_version = {FORMAT}")


def read_pragma(connection: sqlite3.Connection, name: str) -> int:
    """Returns the value of a pragma that is one number."""
    return int(connection.execute(f"PRAGMA {name}").fetchone()[0])


def has_tables(connection: sqlite3.Connection) -> bool:
    """Whether the database has any table."""
    return connection.execute("SELECT 1 FROM sqlite_master LIMIT 1").fetchone() is not None


def read_replica_id(connection: sqlite3.Connection) -> str:
    """Returns the replica id of the store."""
    row = connection.execute("SELECT replica_id FROM identity").fetchone()
    if row is None or not isinstance(row[0], str) or not row[0]:
        raise CorruptRow("the store has no replica id")
    return row[0]


def read_span(connection: sqlite3.Connection) -> LogSpan:
    """Returns the range of entries in the log, without reading the entries."""
    row = connection.execute("SELECT position FROM snapshot").fetchone()
    base = 0 if row is None else row[0]
    last = connection.execute("SELECT max(position) FROM entry").fetchone()[0]
    if not isinstance(base, int):
        raise CorruptRow("the snapshot's index is not a number")
    return LogSpan(base, base if last is None else max(base, int(last)))


def read_state(connection: sqlite3.Connection) -> DurableState:
    """Reads the whole content, checking each row."""
    entries = connection.execute("SELECT position, term, kind, data, checksum FROM entry ORDER BY position")
    try:
        return DurableState(
            _read_hard_state(connection),
            _read_snapshot(connection),
            tuple(_read_entry(*row) for row in entries),
        )
    except (TypeError, AttributeError, StructError) as error:
        raise CorruptRow(f"a row has a value of the wrong type: {error}") from None


def write_change(connection: sqlite3.Connection, write: Write) -> None:
    """Executes a write, in the order that `Write` defines."""
    if write.clear:
        connection.execute("DELETE FROM entry")
    if write.snapshot is not None:
        _write_snapshot(connection, write.snapshot)
    if write.truncate_from:
        connection.execute("DELETE FROM entry WHERE position >= ?", (write.truncate_from,))
    rows = [
        (entry.index, entry.term, int(entry.kind), entry.data, _entry_checksum(entry))
        for entry in write.entries
    ]
    connection.executemany("INSERT INTO entry VALUES (?, ?, ?, ?, ?)", rows)
    if write.hard_state is not None:
        state = write.hard_state
        row = (state.term, state.voted_for, _hard_state_checksum(state))
        connection.execute("REPLACE INTO hard_state VALUES (1, ?, ?, ?)", row)


def release_pages(connection: sqlite3.Connection) -> None:
    """Returns unused pages to the file system if there are many, in a separate transaction."""
    surplus = read_pragma(connection, "freelist_count") - FREE_PAGES_KEPT
    if surplus > 0:
        pages = min(surplus, FREE_PAGES_STEP)
        # `execute` would stop after one page.
        connection.executescript(f"PRAGMA incremental_vacuum({pages})")


def _write_snapshot(connection: sqlite3.Connection, snapshot: Snapshot) -> None:
    connection.execute("DELETE FROM entry WHERE position <= ?", (snapshot.index,))
    # Deleted first, so that the new snapshot reuses the old one's pages.
    connection.execute("DELETE FROM snapshot")
    members = encode_members(snapshot.members)
    checksum = _snapshot_checksum(snapshot.index, snapshot.term, members, snapshot.data)
    row = (snapshot.index, snapshot.term, members, snapshot.data, checksum)
    connection.execute("INSERT INTO snapshot VALUES (1, ?, ?, ?, ?, ?)", row)


def _read_hard_state(connection: sqlite3.Connection) -> HardState:
    row = connection.execute("SELECT term, voted_for, checksum FROM hard_state").fetchone()
    if row is None:
        return HardState()
    state = HardState(row[0], row[1])
    if _hard_state_checksum(state) != row[2]:
        raise CorruptRow("the hard state fails its checksum")
    return state


def _read_snapshot(connection: sqlite3.Connection) -> Snapshot | None:
    row = connection.execute("SELECT position, term, members, data, checksum FROM snapshot").fetchone()
    if row is None:
        return None
    position, term, members, data, checksum = row
    if _snapshot_checksum(position, term, members, data) != checksum:
        raise CorruptRow(f"the snapshot at {position} fails its checksum")
    match decode_members(members):
        case Success(decoded):
            return Snapshot(position, term, decoded, data)
        case failed:
            raise CorruptRow(f"the snapshot at {position}: {failed.failure().detail}")


def _read_entry(position: int, term: int, kind: int, data: bytes, checksum: int) -> Entry:
    try:
        entry = Entry(position, term, EntryKind(kind), data)
    except ValueError:
        raise CorruptRow(f"entry {position} has unknown kind {kind}") from None
    if _entry_checksum(entry) != checksum:
        raise CorruptRow(f"entry {position} fails its checksum")
    return entry


def _entry_checksum(entry: Entry) -> int:
    return crc32(entry.data, crc32(_NUMBERS.pack(entry.index, entry.term, entry.kind)))


def _snapshot_checksum(position: int, term: int, members: bytes, data: bytes) -> int:
    numbers = _NUMBERS.pack(position, term, len(members))
    return crc32(data, crc32(members, crc32(numbers)))


def _hard_state_checksum(state: HardState) -> int:
    return crc32(state.voted_for.encode(), crc32(_NUMBERS.pack(state.term, 0, 0)))
