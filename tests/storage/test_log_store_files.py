"""The database file of the sqlite3 store: settings, size limits, damage, and disk errors."""

from __future__ import annotations

import os
import sqlite3
import tempfile
from collections.abc import Iterator
from contextlib import ExitStack, closing, contextmanager
from unittest import TestCase
from unittest.mock import patch

from log_store_contract import REPLICA_ID, entries, entry, loaded, snapshot
from power_loss import WAL_NAME, read_files
from returns.pipeline import is_successful
from returns.result import Result

from brackenladder.consensus.types import DurableState, HardState, Write
from brackenladder.storage import sqlite_file
from brackenladder.storage.log_store import (
    FORMAT,
    StoreCorrupt,
    StoreError,
    StoreFailed,
    StoreForeign,
    StoreFull,
    StoreInUse,
    StoreTooNew,
)
from brackenladder.storage.sqlite_file import FILE_NAME, PAGE_BYTES
from brackenladder.storage.sqlite_log import SqliteLogStore, open_store


class StoreFileTestCase(TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        self.path = os.path.join(self.folder, FILE_NAME)

    def open(self) -> SqliteLogStore:
        store = open_store(self.folder, lambda: REPLICA_ID).unwrap()
        self.addCleanup(store.close)
        return store

    def assert_refused(self, kind: type[StoreError], text: str) -> None:
        """Opening fails with an error of this type that names the file, and changes nothing in the folder."""
        before = read_files(self.folder)
        error = open_store(self.folder, lambda: REPLICA_ID).failure()
        self.assertIs(type(error), kind)
        self.assertIn(self.path, error.detail)
        self.assertIn(text, error.detail)
        self.assertEqual(read_files(self.folder), before)

    def execute(self, *statements: str) -> None:
        """Changes the file of a closed store, or creates a database of another program."""
        with closing(sqlite3.connect(self.path, isolation_level=None)) as connection:
            for statement in statements:
                connection.execute(statement)


class SettingsTest(StoreFileTestCase):
    def test_settings_for_durability_and_memory(self) -> None:
        store = self.open()
        connection = store._connection
        assert connection is not None
        expected = {
            "journal_mode": "wal",
            "locking_mode": "exclusive",
            "synchronous": 2,  # FULL
            "auto_vacuum": 2,  # INCREMENTAL
            "wal_autocheckpoint": 256,
            "journal_size_limit": 1 << 20,
            "cache_size": -512,
            "mmap_size": 0,
            "page_size": PAGE_BYTES,
            "max_page_count": 56 * 1024 * 1024 // PAGE_BYTES,
        }
        for name, value in expected.items():
            with self.subTest(name=name):
                row = connection.execute(f"PRAGMA {name}").fetchone()
                self.assertEqual(row[0] if row else 0, value)

    def test_no_shared_memory_index(self) -> None:
        self.open().apply(Write(1, entries=entries(1, 3))).unwrap()
        self.assertEqual(sorted(read_files(self.folder)), [FILE_NAME, WAL_NAME])

    def test_a_second_process_cannot_open_the_store(self) -> None:
        self.open()
        self.assert_refused(StoreInUse, "locked")


class ForeignFileTest(StoreFileTestCase):
    def write(self, content: bytes, suffix: str = "") -> None:
        with open(self.path + suffix, "wb") as file:
            file.write(content)

    def test_an_empty_file_is_replaced_by_a_new_store(self) -> None:
        self.write(b"")
        self.assertTrue(self.open().created)

    def test_an_empty_database_is_replaced_by_a_new_store(self) -> None:
        self.execute("PRAGMA journal_mode = WAL", "CREATE TABLE t (a)", "DROP TABLE t")
        self.assertTrue(self.open().created)

    def test_a_file_that_is_not_a_database(self) -> None:
        for content in (b"x", b"text\n" * 4000, bytes(PAGE_BYTES), b"SQLite format 3\x00"):
            with self.subTest(content=content[:9]):
                self.write(content)
                self.assert_refused(StoreForeign, "not a database")

    def test_a_database_of_another_program(self) -> None:
        self.execute("CREATE TABLE t (a)", "INSERT INTO t VALUES (7)")
        self.assert_refused(StoreForeign, "another program")
        self.execute("PRAGMA application_id = 77")
        self.assert_refused(StoreForeign, "another program")

    def test_a_database_of_another_program_with_its_wal(self) -> None:
        other = sqlite3.connect(self.path, isolation_level=None)
        self.addCleanup(other.close)
        other.execute("PRAGMA journal_mode = WAL")
        other.execute("CREATE TABLE t (a)")
        self.assertIn(WAL_NAME, read_files(self.folder))
        self.assert_refused(StoreForeign, "another program")
        self.write(b"text\n" * 4000)
        self.assert_refused(StoreForeign, "not a database")

    def test_a_journal_without_its_file(self) -> None:
        for suffix in ("-wal", "-journal"):
            with self.subTest(suffix=suffix):
                self.write(b"x" * 99, suffix)
                self.assert_refused(StoreCorrupt, FILE_NAME + suffix)
                os.unlink(self.path + suffix)

    def test_a_missing_folder(self) -> None:
        error = open_store(os.path.join(self.folder, "none"), lambda: REPLICA_ID).failure()
        self.assertIs(type(error), StoreFailed)


class DamagedStoreTest(StoreFileTestCase):
    def setUp(self) -> None:
        super().setUp()
        store = self.open()
        store.apply(Write(1, HardState(3, "replica-2"), entries=entries(1, 400))).unwrap()
        store.apply(Write(2, snapshot=snapshot(20, data=bytes(30_000)))).unwrap()
        store.close()

    def read(self) -> bytes:
        with open(self.path, "rb") as file:
            return file.read()

    def restore(self, content: bytes) -> None:
        with open(self.path, "wb") as file:
            file.write(content)

    def load_once(self) -> Result[DurableState, StoreError]:
        """Opens, loads and closes."""
        with ExitStack() as stack:
            opened = open_store(self.folder, lambda: REPLICA_ID)
            opened.map(lambda store: stack.callback(store.close))
            return opened.bind(lambda store: store.load())

    def assert_load_refused(self, text: str) -> None:
        error = self.load_once().failure()
        self.assertIs(type(error), StoreCorrupt)
        self.assertIn(text, error.detail)

    def test_a_newer_format(self) -> None:
        self.execute(f"PRAGMA user_version = {FORMAT + 1}")
        self.assert_refused(StoreTooNew, f"format {FORMAT + 1}")

    def test_an_invalid_format(self) -> None:
        self.execute("PRAGMA user_version = 0")
        self.assert_refused(StoreCorrupt, "format 0")

    def test_no_identity(self) -> None:
        self.execute("DELETE FROM identity")
        self.assert_refused(StoreCorrupt, "replica id")

    def test_no_table(self) -> None:
        self.execute("DROP TABLE entry")
        self.assert_refused(StoreCorrupt, "entry")

    def test_a_gap_in_the_log(self) -> None:
        self.execute("DELETE FROM entry WHERE position = 100")
        self.assert_load_refused("entry 101 after entry 99")

    def test_rows_that_were_changed(self) -> None:
        changes = {
            "UPDATE entry SET data = x'00' WHERE position = 50": "entry 50",
            "UPDATE entry SET term = 9 WHERE position = 51": "entry 51",
            "UPDATE entry SET kind = 9 WHERE position = 52": "unknown kind 9",
            "UPDATE entry SET data = 'text' WHERE position = 53": "wrong type",
            "UPDATE snapshot SET data = x'00'": "snapshot at 20",
            "UPDATE snapshot SET members = x'00'": "snapshot at 20",
            "UPDATE snapshot SET position = 'text'": "index is not a number",
            "UPDATE hard_state SET voted_for = CAST(x'ff' AS TEXT)": "UTF-8",
            "UPDATE hard_state SET term = 2": "hard state",
        }
        original = self.read()
        for change, text in changes.items():
            with self.subTest(change=change):
                self.execute(change)
                self.assert_load_refused(text)
            self.restore(original)

    def test_overwritten_pages_are_never_accepted(self) -> None:
        state = self.load_once().unwrap()
        original = self.read()
        for at in range(0, len(original), PAGE_BYTES):
            with self.subTest(page=at // PAGE_BYTES):
                self.restore(original[:at] + b"\xa5" * PAGE_BYTES + original[at + PAGE_BYTES :])
                self.assertEqual(self.load_once().value_or(state), state)

    def test_a_truncated_file(self) -> None:
        os.truncate(self.path, 3 * PAGE_BYTES)
        self.assertIs(type(self.load_once().failure()), StoreCorrupt)


class SizeLimitsTest(StoreFileTestCase):
    def test_the_file_does_not_grow_with_the_number_of_entries(self) -> None:
        store = self.open()
        for index in range(1, 601):
            compacted = snapshot(index - 1, data=bytes(20_000)) if index % 50 == 0 else None
            store.apply(Write(index, snapshot=compacted, entries=(entry(index, data=bytes(3000)),))).unwrap()
        sizes = {name: len(content) for name, content in read_files(self.folder).items()}
        self.assertLess(sizes[FILE_NAME], 1 << 20)
        self.assertLess(sizes[WAL_NAME], 3 << 20)

    def test_the_pages_of_a_large_snapshot_are_released(self) -> None:
        store = self.open()
        store.apply(Write(1, snapshot=snapshot(1, data=bytes(8 << 20)))).unwrap()
        for index in range(2, 12):
            store.apply(Write(index, snapshot=snapshot(index, data=bytes(20_000)))).unwrap()
        store.close()
        self.assertLess(os.stat(self.path).st_size, 2 << 20)

    def test_a_full_store_accepts_writes_that_free_space(self) -> None:
        with patch.object(sqlite_file, "MAX_DATABASE_BYTES", 60 * PAGE_BYTES):
            store = self.open()
        index = 1
        while is_successful(result := store.apply(Write(index, entries=(entry(index, data=bytes(9000)),)))):
            index += 1
        self.assertIs(type(result.failure()), StoreFull)
        self.assertEqual(len(loaded(store).entries), index - 1)
        store.apply(Write(index, HardState(7))).unwrap()
        store.apply(Write(index, snapshot=snapshot(index - 1))).unwrap()
        store.apply(Write(index, entries=(entry(index, data=bytes(9000)),))).unwrap()
        self.assertEqual(loaded(store).entries[0].index, index)


class DiskErrorTest(StoreFileTestCase):
    """One of the store's file descriptors is redirected to a device that fails, during a write."""

    @contextmanager
    def redirected(self, name: str, target: str, flags: int) -> Iterator[None]:
        path = os.path.join(self.folder, name)
        (number,) = [int(fd) for fd in os.listdir("/proc/self/fd") if self.opened_as(fd) == path]
        kept = os.dup(number)
        other = os.open(target, flags)
        try:
            os.dup2(other, number)
            yield
        finally:
            os.dup2(kept, number)
            os.close(kept)
            os.close(other)

    def opened_as(self, fd: str) -> str:
        try:
            return os.readlink(f"/proc/self/fd/{fd}")
        except FileNotFoundError:
            return ""

    def setUp(self) -> None:
        super().setUp()
        self.store = self.open()
        self.store.apply(Write(1, HardState(1), entries=entries(1, 3))).unwrap()
        self.state = loaded(self.store)

    def assert_fails_then_succeeds(self, kind: type[StoreError], text: str, target: str, flags: int) -> None:
        write = Write(2, HardState(2), entries=entries(4, 5))
        with self.redirected(WAL_NAME, target, flags):
            error = self.store.apply(write).failure()
        self.assertIs(type(error), kind)
        self.assertIn(text, error.detail)
        self.assertEqual(loaded(self.store), self.state)
        self.store.apply(write).unwrap()
        expected = DurableState(HardState(2), entries=entries(1, 5))
        self.assertEqual(loaded(self.store), expected)
        self.store.close()
        self.assertEqual(loaded(self.open()), expected)

    def test_a_disk_that_fails_writes(self) -> None:
        wal = os.path.join(self.folder, WAL_NAME)
        self.assert_fails_then_succeeds(StoreFailed, "IOERR_WRITE", wal, os.O_RDONLY)

    def test_a_full_disk(self) -> None:
        self.assert_fails_then_succeeds(StoreFull, "SQLITE_FULL", "/dev/full", os.O_RDWR)

    def test_a_commit_fails_if_the_wal_cannot_be_synced(self) -> None:
        """The character device accepts writes but not `fsync`: a failure shows that commits sync the WAL."""
        self.assert_fails_then_succeeds(StoreFailed, "IOERR_FSYNC", "/dev/zero", os.O_RDWR)

    def test_a_failed_checkpoint_loses_nothing(self) -> None:
        index = 4
        with self.redirected(FILE_NAME, "/dev/zero", os.O_RDWR):
            for index in range(4, 40):
                self.store.apply(Write(index, entries=(entry(index, data=bytes(40_000)),))).unwrap()
        state = loaded(self.store)
        self.assertEqual(state.entries[-1].index, index)
        self.store.close()
        self.assertEqual(loaded(self.open()), state)
