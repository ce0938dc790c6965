"""Both log stores against the common tests, and compared with each other."""

from __future__ import annotations

import tempfile
from random import Random
from unittest import TestCase

from log_store_contract import REPLICA_ID, LogStoreContract, loaded, random_write
from returns.pipeline import is_successful

from brackenladder.storage.log_store import LogStore
from brackenladder.storage.memory_log import MemoryLogStore
from brackenladder.storage.sqlite_log import SqliteLogStore, open_store

SEEDS = range(4)
WRITES = 60


class MemoryLogStoreTest(LogStoreContract, TestCase):
    def new_store(self) -> LogStore:
        return MemoryLogStore(REPLICA_ID)

    def reopened(self, store: LogStore) -> LogStore:
        assert isinstance(store, MemoryLogStore)
        return store.reopen()


class SqliteLogStoreTest(LogStoreContract, TestCase):
    def new_store(self) -> LogStore:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        return open_store(self.folder, lambda: REPLICA_ID).unwrap()

    def reopened(self, store: LogStore) -> LogStore:
        store.close()
        return open_store(self.folder, lambda: "another").unwrap()

    def test_only_the_first_open_creates_the_store(self) -> None:
        self.assertTrue(self.store.created)
        self.reopen()
        self.assertFalse(self.store.created)

    def test_a_batch_is_applied_atomically(self) -> None:
        random, model = Random(1), MemoryLogStore(REPLICA_ID)
        writes = []
        for token in range(10):
            writes.append(random_write(random, token, loaded(model)))
            model.apply(writes[-1])
        assert isinstance(self.store, SqliteLogStore)
        self.assertTrue(is_successful(self.store.apply_batch(writes)))
        self.assert_holds(loaded(model))
        assert isinstance(self.store, SqliteLogStore)
        self.assertFalse(is_successful(self.store.apply_batch([*writes[:1], *writes])))
        self.assert_holds(loaded(model))


class StoreComparisonTest(TestCase):
    def test_both_have_the_same_state_after_any_writes(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed), tempfile.TemporaryDirectory() as folder:
                self.compare(Random(seed), folder)

    def compare(self, random: Random, folder: str) -> None:
        memory = MemoryLogStore(REPLICA_ID)
        sqlite = open_store(folder, lambda: REPLICA_ID).unwrap()
        for token in range(1, WRITES):
            write = random_write(random, token, loaded(memory))
            self.assertTrue(is_successful(memory.apply(write)))
            self.assertTrue(is_successful(sqlite.apply(write)))
            if random.random() < 0.1:
                sqlite.close()
                sqlite = open_store(folder, lambda: "another").unwrap()
            self.assertEqual(loaded(sqlite), loaded(memory))
        sqlite.close()
