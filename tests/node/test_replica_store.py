"""Tests of opening a control node's store: damaged, foreign or newer stores, and failing disks."""

from __future__ import annotations

import asyncio
import os
import sqlite3
import tempfile
import threading
from collections.abc import Callable
from contextlib import closing
from unittest import IsolatedAsyncioTestCase
from unittest.mock import patch

from returns.result import Failure, Result

from brackenladder.consensus.types import Entry, EntryKind, HardState, Write
from brackenladder.node import replica_store
from brackenladder.node.replica_store import MAX_SET_ASIDE, OpenedStore, open_replica_store
from brackenladder.node.role_runner import RoleError
from brackenladder.storage.log_store import FORMAT, StoreCorrupt, StoreError, StoreFailed
from brackenladder.storage.sqlite_file import FILE_NAME
from brackenladder.storage.sqlite_log import SqliteLogStore, open_store

PATIENCE = 20.0  # seconds after which a test fails


class ReplicaStoreTest(IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.folder = os.path.join(self.enterContext(tempfile.TemporaryDirectory()), "data")
        self.path = os.path.join(self.folder, FILE_NAME)
        self.enterContext(patch.object(replica_store, "OPEN_RETRY_SECONDS", 0.01))

    async def open(self) -> OpenedStore:
        opened = await open_replica_store(self.folder, lambda replaces_damaged: f"new-{replaces_damaged}")
        self.addCleanup(opened.store.close)
        return opened

    def make(self) -> None:
        """Creates a store with a vote and some entries."""
        os.makedirs(self.folder)
        store = open_store(self.folder, lambda: "old").unwrap()
        entries = tuple(Entry(index, 1, EntryKind.COMMAND, b"x" * 400) for index in range(1, 60))
        store.apply(Write(1, HardState(3, "replica-2"), entries=entries)).unwrap()
        store.close()

    def execute(self, statement: str) -> None:
        with closing(sqlite3.connect(self.path, isolation_level=None)) as connection:
            connection.execute(statement)

    def read(self) -> bytes:
        with open(self.path, "rb") as file:
            return file.read()

    async def test_an_empty_disk_gets_a_store(self) -> None:
        opened = await self.open()
        self.assertEqual(opened.store.identity.replica_id, "new-False")
        self.assertFalse(opened.replaces_damaged)

    async def test_a_store_is_opened_with_its_contents(self) -> None:
        self.make()
        opened = await self.open()
        self.assertEqual(opened.store.identity.replica_id, "old")
        self.assertEqual((opened.state.hard_state.voted_for, len(opened.state.entries)), ("replica-2", 59))

    async def test_a_damaged_store_is_replaced_by_a_new_replica(self) -> None:
        damages: dict[str, Callable[[], None]] = {
            "its rows": lambda: self.execute("UPDATE entry SET data = x'00' WHERE position = 5"),
            "a gap": lambda: self.execute("DELETE FROM entry WHERE position = 5"),
            "no identity": lambda: self.execute("DELETE FROM identity"),
            "cut": lambda: os.truncate(self.path, 9000),
        }
        self.make()
        whole = self.read()
        for number, (name, damage) in enumerate(damages.items(), start=1):
            with self.subTest(damage=name):
                with open(self.path, "wb") as file:
                    file.write(whole)
                damage()
                opened = await self.open()
                self.assertEqual(opened.store.identity.replica_id, "new-True")
                self.assertEqual((opened.state.hard_state, opened.state.entries), (HardState(), ()))
                self.assertTrue(os.path.exists(f"{self.path}.corrupt-{number}"))
                opened.store.close()

    async def test_the_replacement_of_a_damaged_store_is_known_later(self) -> None:
        self.make()
        self.execute("DELETE FROM identity")
        (await self.open()).store.close()
        opened = await self.open()
        self.assertEqual(opened.store.identity.replica_id, "new-True")
        self.assertTrue(opened.replaces_damaged)

    async def test_a_single_corrupt_read_does_not_replace_the_store(self) -> None:
        self.make()
        real = SqliteLogStore.load
        answers = [Failure(StoreCorrupt("misread"))]

        def load(store: SqliteLogStore) -> Result[object, StoreError]:
            return answers.pop() if answers else real(store)

        with patch.object(SqliteLogStore, "load", load):
            opened = await self.open()
        self.assertEqual(opened.store.identity.replica_id, "old")
        self.assertEqual(answers, [])

    async def test_a_disk_that_damages_every_store_fails_the_start(self) -> None:
        corrupt = Failure(StoreCorrupt("noise"))
        with patch.object(SqliteLogStore, "load", lambda _: corrupt), self.assertRaises(RoleError) as caught:
            await self.open()
        self.assertIn(f"{MAX_SET_ASIDE} stores were set aside", str(caught.exception))

    async def test_moving_a_store_aside_is_retried(self) -> None:
        self.make()
        self.execute("DELETE FROM identity")
        faults = [OSError(5, "Input/output error")]
        real = replica_store.quarantine_store

        def flaky(folder: str) -> str:
            if faults:
                raise faults.pop()
            return real(folder)

        with patch.object(replica_store, "quarantine_store", flaky):
            opened = await self.open()
        self.assertEqual((opened.store.identity.replica_id, faults), ("new-True", []))

    async def test_foreign_files_and_newer_stores_are_not_changed(self) -> None:
        self.make()
        self.execute(f"PRAGMA user_version = {FORMAT + 1}")
        newer = self.read()
        for content, text in ((newer, "StoreTooNew"), (b"a text of somebody's" * 50, "StoreForeign")):
            with self.subTest(text=text):
                with open(self.path, "wb") as file:
                    file.write(content)
                with self.assertRaises(RoleError) as caught:
                    await self.open()
                self.assertIn(text, str(caught.exception))
                self.assertEqual(len(str(caught.exception).splitlines()), 1)
                self.assertEqual(self.read(), content)
                self.assertEqual(os.listdir(self.folder), [FILE_NAME])

    async def test_a_failing_disk_is_retried(self) -> None:
        self.make()
        answers = [Failure(StoreFailed("no"))]
        real = replica_store.open_store

        def flaky(folder: str, new_replica_id: Callable[[], str]) -> Result[SqliteLogStore, StoreError]:
            return answers.pop() if answers else real(folder, new_replica_id)

        with patch.object(replica_store, "open_store", flaky):
            opened = await self.open()
        self.assertEqual(opened.store.identity.replica_id, "old")

    async def test_the_event_loop_keeps_running_while_the_disk_hangs(self) -> None:
        self.make()
        answers = threading.Event()
        real = replica_store.open_store

        def slow(folder: str, new_replica_id: Callable[[], str]) -> Result[SqliteLogStore, StoreError]:
            answers.wait(PATIENCE)
            return real(folder, new_replica_id)

        with patch.object(replica_store, "open_store", slow):
            opening = asyncio.create_task(self.open())
            await asyncio.sleep(0.05)
            self.assertFalse(opening.done())
            answers.set()
            self.assertEqual((await opening).store.identity.replica_id, "old")

    async def test_an_exception_in_the_thread_is_reported(self) -> None:
        with (
            patch.object(replica_store, "open_store", side_effect=KeyError("fault")),
            self.assertRaises(RoleError),
        ):
            await self.open()
