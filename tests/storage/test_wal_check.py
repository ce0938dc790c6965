"""A WAL that is damaged before commits which were acknowledged is not opened as if these had never been."""

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
from brackenladder.storage.wal_check import FRAME_HEAD_BYTES, HEAD_BYTES, WalContent

STEP = FRAME_HEAD_BYTES + sqlite_file.PAGE_BYTES
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

    def damaged(self, at: int, size: int = 16) -> str:
        """A copy of the running store's folder in which bytes of the WAL have changed."""
        shutil.rmtree(self.copy, ignore_errors=True)
        shutil.copytree(self.folder, self.copy)
        wal = os.path.join(self.copy, sqlite_file.FILE_NAME + sqlite_file.WAL_SUFFIX)
        with open(wal, "r+b") as file:
            file.seek(at)
            data = bytes(byte ^ 0x5A for byte in file.read(size))
            file.seek(at)
            file.write(data)
        return self.copy

    def wal(self) -> WalContent:
        path = os.path.join(self.folder, sqlite_file.FILE_NAME + sqlite_file.WAL_SUFFIX)
        with open(path, "rb") as file:
            return WalContent(file.read(), sqlite_file.PAGE_BYTES)

    def commits(self) -> Iterator[tuple[int, int]]:
        """Where the frames stand of which each ends a transaction, and its number."""
        number = 0
        for frame in self.wal().frames():
            if frame.size:
                number += 1
                yield number, frame.at

    def test_a_whole_wal_has_nothing_torn(self) -> None:
        wal = self.wal()
        self.assertTrue(wal.head_holds)
        self.assertEqual(wal.torn_commits(), 0)
        self.assertEqual(len(list(self.commits())), WRITES)

    def test_damage_before_acknowledged_commits_is_found(self) -> None:
        for number, at in self.commits():
            with self.subTest(commit=number):
                opened = open_store(self.damaged(at + 100), lambda: "another")
                if number < WRITES:
                    self.assertIsInstance(opened.failure(), StoreCorrupt)
                    self.assertIn("WAL is damaged", str(opened.failure()))
                else:  # as after a loss of power during it
                    store = opened.unwrap()
                    self.assertEqual(loaded(store), self.states[WRITES - 1])
                    store.close()

    def test_the_file_is_left_as_it_is(self) -> None:
        _, at = next(self.commits())
        folder = self.damaged(at + 100)
        before = {name: os.path.getsize(os.path.join(folder, name)) for name in os.listdir(folder)}
        self.assertFalse(is_successful(open_store(folder, lambda: "another")))
        after = {name: os.path.getsize(os.path.join(folder, name)) for name in os.listdir(folder)}
        self.assertEqual(before, after)

    def test_a_wal_that_lost_its_head_before_its_pages_were_copied(self) -> None:
        opened = open_store(self.damaged(8), lambda: "another")
        self.assertIsInstance(opened.failure(), StoreCorrupt)

    def test_a_head_that_is_torn_as_a_wal_begins_anew_costs_nothing(self) -> None:
        """All that stands in it was copied to the file before."""
        self.store._connection.execute("PRAGMA wal_checkpoint(FULL)")  # type: ignore[union-attr]
        store = open_store(self.damaged(8), lambda: "another").unwrap()
        self.assertEqual(loaded(store), self.states[WRITES])
        store.close()

    def test_a_wal_cut_anywhere_in_its_last_transaction_is_no_damage(self) -> None:
        length = HEAD_BYTES + STEP * len(list(self.wal().frames()))
        for missing in (1, 100, STEP - 1):
            folder = self.damaged(8, 0)
            os.truncate(
                os.path.join(folder, sqlite_file.FILE_NAME + sqlite_file.WAL_SUFFIX), length - missing
            )
            store = open_store(folder, lambda: "another").unwrap()
            self.assertEqual(loaded(store), self.states[WRITES - 1])
            store.close()
