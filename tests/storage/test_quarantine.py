"""Quarantine of damaged stores, also during a power loss."""

from __future__ import annotations

import os
import tempfile
from contextlib import suppress
from unittest import TestCase
from unittest.mock import patch

from log_store_contract import REPLICA_ID, entries

from brackenladder.consensus.types import HardState, Write
from brackenladder.storage import quarantine as module
from brackenladder.storage.log_store import StoreCorrupt
from brackenladder.storage.quarantine import (
    MAX_QUARANTINED,
    MAX_QUARANTINED_BYTES,
    has_quarantined_store,
    quarantine_store,
)
from brackenladder.storage.sqlite_file import FILE_NAME, WAL_SUFFIX
from brackenladder.storage.sqlite_log import open_store


class PowerLost(Exception):
    """Raised where the simulated power loss happens."""


class QuarantineTest(TestCase):
    def setUp(self) -> None:
        self.folder = self.enterContext(tempfile.TemporaryDirectory())
        self.path = os.path.join(self.folder, FILE_NAME)

    def write(self, name: str, content: bytes) -> None:
        with open(os.path.join(self.folder, name), "wb") as file:
            file.write(content)

    def read(self, name: str) -> bytes:
        with open(os.path.join(self.folder, name), "rb") as file:
            return file.read()

    def test_a_store_and_its_journal_are_renamed(self) -> None:
        self.write(FILE_NAME, b"pages")
        self.write(FILE_NAME + WAL_SUFFIX, b"frames")
        self.assertFalse(has_quarantined_store(self.folder))
        name = quarantine_store(self.folder)
        self.assertEqual(name, f"{FILE_NAME}.corrupt-1")
        self.assertEqual(sorted(os.listdir(self.folder)), [name, name + WAL_SUFFIX])
        self.assertEqual((self.read(name), self.read(name + WAL_SUFFIX)), (b"pages", b"frames"))
        self.assertTrue(has_quarantined_store(self.folder))

    def test_a_journal_alone_is_renamed_too(self) -> None:
        self.write(FILE_NAME + WAL_SUFFIX, b"frames")
        quarantine_store(self.folder)
        self.assertTrue(has_quarantined_store(self.folder))
        store = open_store(self.folder, lambda: "new").unwrap()
        self.addCleanup(store.close)
        self.assertEqual(store.identity.replica_id, "new")

    def test_the_newest_are_kept_under_different_numbers(self) -> None:
        for number in range(1, 12):
            self.write(FILE_NAME, b"%d" % number)
            self.write(FILE_NAME + WAL_SUFFIX, b"frames")
            quarantine_store(self.folder)
        kept = {f"{FILE_NAME}.corrupt-{number}" for number in (10, 11)}
        self.assertEqual(len(kept), MAX_QUARANTINED)
        self.assertEqual(set(os.listdir(self.folder)), kept | {name + WAL_SUFFIX for name in kept})
        self.assertEqual(self.read(f"{FILE_NAME}.corrupt-11"), b"11")

    def test_a_large_store_is_truncated(self) -> None:
        self.write(FILE_NAME, bytes(MAX_QUARANTINED_BYTES + 1))
        name = quarantine_store(self.folder)
        self.assertEqual(os.path.getsize(os.path.join(self.folder, name)), MAX_QUARANTINED_BYTES)

    def test_other_files_do_not_count(self) -> None:
        for name in (FILE_NAME, "notes.corrupt-1", f"{FILE_NAME}.corrupt-x", f"{FILE_NAME}.new"):
            self.write(name, b"")
        self.assertFalse(has_quarantined_store(self.folder))

    def test_no_loss_of_power_leaves_the_database_without_its_journal(self) -> None:
        """Otherwise the database might be taken for an older state, in which the replica has not voted."""
        for syncs in range(4):
            with self.subTest(syncs=syncs):
                self._lose_power_after(syncs)
                names = set(os.listdir(self.folder))
                self.assertFalse(FILE_NAME in names and FILE_NAME + WAL_SUFFIX not in names)
                if FILE_NAME + WAL_SUFFIX in names:
                    opened = open_store(self.folder, lambda: "new")
                    self.assertIsInstance(opened.failure(), StoreCorrupt)
                    quarantine_store(self.folder)
                self.assertTrue(has_quarantined_store(self.folder))

    def _lose_power_after(self, syncs: int) -> None:
        """Quarantines a store; only names that were synced before the power loss survive."""
        for name in os.listdir(self.folder):
            os.unlink(os.path.join(self.folder, name))
        store = open_store(self.folder, lambda: REPLICA_ID).unwrap()
        store.apply(Write(1, HardState(3, "replica-2"), entries=entries(1, 40))).unwrap()
        store.close()
        os.truncate(self.path, 5000)
        self.write(FILE_NAME + WAL_SUFFIX, b"frames")
        remaining = syncs
        durable = self._contents()

        def sync(_folder: str) -> None:
            nonlocal remaining, durable
            if remaining == 0:
                raise PowerLost
            remaining -= 1
            durable = self._contents()

        with patch.object(module, "sync_to_disk", sync), suppress(PowerLost):
            quarantine_store(self.folder)
        for name in os.listdir(self.folder):
            os.unlink(os.path.join(self.folder, name))
        for name, content in durable.items():
            self.write(name, content)

    def _contents(self) -> dict[str, bytes]:
        return {name: self.read(name) for name in os.listdir(self.folder)}
