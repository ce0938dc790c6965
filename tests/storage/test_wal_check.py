"""Detection of a damaged WAL, which sqlite3 would open without some acknowledged commits."""

from __future__ import annotations

import os
import shutil
import tempfile
from collections.abc import Iterator
from unittest import TestCase

from log_store_contract import REPLICA_ID, entries, loaded
from returns.pipeline import is_successful

from brackenladder.consensus.types import HardState, Write
from brackenladder.storage import sqlite_file
from brackenladder.storage.log_store import StoreCorrupt
from brackenladder.storage.sqlite_log import open_store
from brackenladder.storage.wal_check import FRAME_HEADER_BYTES, HEADER_BYTES, WalContent

FRAME_BYTES = FRAME_HEADER_BYTES + sqlite_file.PAGE_BYTES
WRITES = 4


class WalCheckTest(TestCase):
    def setUp(self) -> None:
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.folder = os.path.join(scratch.name, "live")
        self.copy = os.path.join(scratch.name, "copy")
        os.mkdir(self.folder)
        self.store = open_store(self.folder, lambda: REPLICA_ID).unwrap()
        self.addCleanup(lambda: self.store.close())
        self.states = [loaded(self.store)]
        for number in range(1, WRITES + 1):
            self.store.apply(Write(number, HardState(number), entries=entries(number, number))).unwrap()
            self.states.append(loaded(self.store))

    def damaged(self, offset: int, size: int = 16) -> str:
        """A copy of the open store's folder in which some bytes of the WAL were changed."""
        shutil.rmtree(self.copy, ignore_errors=True)
        shutil.copytree(self.folder, self.copy)
        wal = os.path.join(self.copy, sqlite_file.FILE_NAME + sqlite_file.WAL_SUFFIX)
        with open(wal, "r+b") as file:
            file.seek(offset)
            data = bytes(byte ^ 0x5A for byte in file.read(size))
            file.seek(offset)
            file.write(data)
        return self.copy

    def wal(self) -> WalContent:
        path = os.path.join(self.folder, sqlite_file.FILE_NAME + sqlite_file.WAL_SUFFIX)
        with open(path, "rb") as file:
            return WalContent(file.read(), sqlite_file.PAGE_BYTES)

    def commits(self) -> Iterator[tuple[int, int]]:
        """The number of each commit, and the page offset of the frame that ends it."""
        number = 0
        for frame in self.wal().frames():
            if frame.size:
                number += 1
                yield number, frame.page_offset

    def test_an_intact_wal_has_no_torn_commits(self) -> None:
        wal = self.wal()
        self.assertTrue(wal.header_valid)
        self.assertEqual(wal.torn_commits(), 0)
        self.assertEqual(len(list(self.commits())), WRITES)

    def test_damage_before_acknowledged_commits_is_detected(self) -> None:
        for number, offset in self.commits():
            with self.subTest(commit=number):
                opened = open_store(self.damaged(offset + 100), lambda: "another")
                if number < WRITES:
                    self.assertIsInstance(opened.failure(), StoreCorrupt)
                    self.assertIn("WAL is damaged", str(opened.failure()))
                else:  # as after a power loss during the last commit
                    store = opened.unwrap()
                    self.assertEqual(loaded(store), self.states[WRITES - 1])
                    store.close()

    def test_the_files_are_left_unchanged(self) -> None:
        _, offset = next(self.commits())
        folder = self.damaged(offset + 100)
        before = {name: os.path.getsize(os.path.join(folder, name)) for name in os.listdir(folder)}
        self.assertFalse(is_successful(open_store(folder, lambda: "another")))
        after = {name: os.path.getsize(os.path.join(folder, name)) for name in os.listdir(folder)}
        self.assertEqual(before, after)

    def test_a_damaged_header_before_the_checkpoint_is_detected(self) -> None:
        opened = open_store(self.damaged(8), lambda: "another")
        self.assertIsInstance(opened.failure(), StoreCorrupt)

    def test_a_header_torn_when_the_wal_restarts_loses_nothing(self) -> None:
        """All pages in the WAL were copied to the database before."""
        self.store._connection.execute("PRAGMA wal_checkpoint(FULL)")  # type: ignore[union-attr]
        store = open_store(self.damaged(8), lambda: "another").unwrap()
        self.assertEqual(loaded(store), self.states[WRITES])
        store.close()

    def test_a_wal_truncated_in_its_last_transaction_is_not_damaged(self) -> None:
        length = HEADER_BYTES + FRAME_BYTES * len(list(self.wal().frames()))
        for missing in (1, 100, FRAME_BYTES - 1):
            folder = self.damaged(8, 0)
            os.truncate(
                os.path.join(folder, sqlite_file.FILE_NAME + sqlite_file.WAL_SUFFIX), length - missing
            )
            store = open_store(folder, lambda: "another").unwrap()
            self.assertEqual(loaded(store), self.states[WRITES - 1])
            store.close()
