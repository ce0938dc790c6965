"""The sqlite3 store on a simulated disk: power loss at any time, failed syncs, a full disk, and damage."""

from __future__ import annotations

import os
import tempfile
from random import Random
from unittest import TestCase
from unittest.mock import patch

from attrs import frozen
from log_store_contract import REPLICA_ID, loaded, random_write
from returns.pipeline import is_successful
from simulated_disk import FOLDER, SimulatedDisk
from test_log_store_power_loss import state_after

from brackenladder.consensus.types import DurableState
from brackenladder.storage import sqlite_file
from brackenladder.storage.atomic_file import read_checked, write_atomically
from brackenladder.storage.log_store import StoreCorrupt
from brackenladder.storage.quarantine import has_quarantined_store, quarantine_store
from brackenladder.storage.sqlite_log import SqliteLogStore, open_store

SEEDS = range(6)
WRITES = 25
CHECKPOINT_PAGES = 12  # small, so that there are many checkpoints
LOSSES = 3  # simulated at each checked moment
UNDETECTED_COMMITS = 2  # maximum that damage may remove undetected: the last commit, and a damaged one
CHECKED_SHARE = 0.15  # share of the moments between syncs that is checked


@frozen
class Loss:
    """The files after a power loss, the states that are allowed then, and whether the store must exist."""

    files: dict[str, bytes]
    allowed: tuple[DurableState, ...]
    created: bool


class WriteSequence:
    """A series of writes to one store, with the states that a power loss may leave at each moment."""

    def __init__(self, case: DiskTestCase, random: Random) -> None:
        self.case = case
        self.random = random
        self.disk = SimulatedDisk(random)
        self.state = DurableState()  # after all acknowledged writes
        self.uncertain: list[DurableState] = []  # also allowed: after the write in flight, or a failed one
        self.created = False  # the store has been created and must exist
        self.losses: list[Loss] = []
        self.disk.on_event = self._event

    def _event(self, kind: str) -> None:
        if kind == "sync" or self.random.random() < CHECKED_SHARE:
            self.lose_power()

    def lose_power(self) -> None:
        """Records files that a power loss may leave now; they are checked after the disk is unmounted."""
        for _ in range(LOSSES):
            files = self.disk.after_loss(self.random)
            self.losses.append(Loss(files, (self.state, *self.uncertain), self.created))

    def check(self) -> None:
        """Opens the store from the files of each recorded power loss, with the real sqlite3 module."""
        for loss in self.losses:
            self.case.check(loss)

    def open(self) -> SqliteLogStore:
        store = open_store(FOLDER, lambda: REPLICA_ID).unwrap()
        self.created = True
        return store

    def write(self, store: SqliteLogStore, token: int) -> None:
        write = random_write(self.random, token, self.state)
        after = state_after(self.state, write)
        self.uncertain.append(after)
        if is_successful(store.apply(write)):
            self.state = after
            self.uncertain = []


class DiskTestCase(TestCase):
    def setUp(self) -> None:
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.folder = scratch.name
        small = patch.object(sqlite_file, "CHECKPOINT_PAGES", CHECKPOINT_PAGES)
        small.start()
        self.addCleanup(small.stop)

    def write_files(self, files: dict[str, bytes]) -> None:
        for name in os.listdir(self.folder):
            os.unlink(os.path.join(self.folder, name))
        for name, data in files.items():
            with open(os.path.join(self.folder, name), "wb") as file:
                file.write(data)

    def check(self, loss: Loss) -> None:
        """Opening these files gives one of the allowed states, and the same store if it had been created."""
        self.write_files(loss.files)
        store = open_store(self.folder, lambda: "another").unwrap()
        try:
            self.assertIn(loaded(store), loss.allowed)
            if loss.created:
                self.assertEqual(store.identity.replica_id, REPLICA_ID)
        finally:
            store.close()


class PowerLossTest(DiskTestCase):
    def test_power_loss_at_any_time(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                sequence = WriteSequence(self, Random(seed))
                with sequence.disk.mounted():
                    store = sequence.open()
                    for token in range(1, WRITES):
                        sequence.write(store, token)
                    store.close()
                    sequence.lose_power()
                sequence.check()
                self.assertGreater(len(sequence.losses), 5 * WRITES)

    def test_a_store_that_continues_after_power_losses(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                sequence = WriteSequence(self, Random(100 + seed))
                with sequence.disk.mounted():
                    store = sequence.open()
                    for token in range(1, WRITES):
                        sequence.write(store, token)
                        if sequence.random.random() < 0.2:
                            remaining = sequence.disk.after_loss(sequence.random)
                            sequence.disk.on_event = lambda _kind: None
                            store.close()
                            sequence.disk.load(remaining)
                            sequence.disk.on_event = sequence._event
                            store = sequence.open()
                            self.assertEqual(loaded(store), sequence.state)
                    store.close()
                sequence.check()

    def test_an_empty_disk_gives_a_new_replica(self) -> None:
        disk = SimulatedDisk()
        with disk.mounted():
            open_store(FOLDER, lambda: REPLICA_ID).unwrap().close()
            disk.load({})
            store = open_store(FOLDER, lambda: "another").unwrap()
            self.assertEqual((store.identity.replica_id, store.created), ("another", True))
            store.close()


class DiskErrorTest(DiskTestCase):
    def test_a_failed_sync_acknowledges_nothing_and_loses_nothing(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                sequence = WriteSequence(self, Random(200 + seed))
                failed = 0
                with sequence.disk.mounted():
                    store = sequence.open()
                    for token in range(1, WRITES):
                        if sequence.random.random() < 0.3:
                            sequence.disk.failing_syncs = sequence.random.randint(1, 2)
                        before = len(sequence.uncertain)
                        sequence.write(store, token)
                        failed += len(sequence.uncertain) > before
                    sequence.disk.failing_syncs = 0
                    sequence.lose_power()
                    store.close()
                sequence.check()
                self.assertGreater(failed, 0)

    def test_a_full_disk_changes_nothing(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                sequence = WriteSequence(self, Random(300 + seed))
                with sequence.disk.mounted():
                    store = sequence.open()
                    for token in range(1, WRITES):
                        sequence.disk.room = sequence.random.choice((None, None, 0, 5_000))
                        sequence.write(store, token)
                        self.assertEqual(loaded(store), sequence.state)
                    sequence.disk.room = None
                    store.close()
                sequence.check()


class DamageTest(DiskTestCase):
    """Synced bytes that are different when read later."""

    def test_damage_anywhere_is_detected_or_harmless(self) -> None:
        found = 0
        for seed in range(40):
            with self.subTest(seed=seed):
                found += self.damaged(Random(400 + seed))
        self.assertGreater(found, 5)

    def damaged(self, random: Random) -> bool:
        """Returns whether the damage was detected; if not, checks that the store has an allowed state."""
        sequence = WriteSequence(self, random)
        sequence.disk.on_event = lambda _kind: None
        with sequence.disk.mounted():
            store = sequence.open()
            states = [sequence.state]
            for token in range(1, WRITES):
                sequence.write(store, token)
                states.append(sequence.state)
        files = {name: bytearray(data) for name, data in sequence.disk.contents().items()}
        name = random.choice(sorted(files))
        begin = random.randrange(len(files[name]))
        size = random.choice((1, 16, 512, 5_000))
        for offset in range(begin, min(begin + size, len(files[name]))):
            files[name][offset] ^= random.randrange(1, 256)
        self.write_files({name: bytes(data) for name, data in files.items()})
        opened = open_store(self.folder, lambda: "another")
        if not is_successful(opened):
            return True
        store = opened.unwrap()
        loaded_state = store.load()
        store.close()
        if not is_successful(loaded_state):
            return True
        self.assertFalse(store.created)
        # A damaged commit, or the last one, cannot be distinguished from one in flight at a power loss.
        self.assertIn(loaded_state.unwrap(), states[-1 - UNDETECTED_COMMITS :])
        return False


class AtomicFileTest(DiskTestCase):
    def test_an_atomic_file_has_the_new_or_the_old_content(self) -> None:
        for seed in range(20):
            with self.subTest(seed=seed):
                self.run_writes(Random(seed))

    def run_writes(self, random: Random) -> None:
        disk = SimulatedDisk(random)
        path = os.path.join(FOLDER, "restart")
        allowed = [b""]
        remaining: list[tuple[dict[str, bytes], list[bytes]]] = []
        disk.on_event = lambda _kind: remaining.append((disk.after_loss(random), list(allowed)))
        with disk.mounted():
            for number in range(6):
                data = b"%d " % number * random.randrange(1, 3_000)
                allowed.append(data)
                disk.failing_syncs = int(random.random() < 0.3)
                if is_successful(write_atomically(path, data)):
                    allowed[:] = [data]
                self.assertIn(read_checked(path).unwrap(), allowed)
        self.assertGreater(len(remaining), 10)
        for files, contents in remaining:
            self.write_files(files)
            self.assertIn(read_checked(os.path.join(self.folder, "restart")).unwrap(), contents)


class QuarantineTest(DiskTestCase):
    def test_power_loss_while_a_damaged_store_is_quarantined(self) -> None:
        """After the power loss the old store is intact, has its quarantine name, or counts as damaged."""
        for seed in range(20):
            random = Random(seed)
            disk = SimulatedDisk()
            remaining: list[dict[str, bytes]] = []
            with disk.mounted():
                sequence = WriteSequence(self, random)
                sequence.disk = disk
                store = sequence.open()
                for token in range(1, 6):
                    sequence.write(store, token)
                disk.on_event = lambda _kind: remaining.append(disk.after_loss(random))  # noqa: B023
                quarantine_store(FOLDER)
            for files in remaining:
                self.write_files(files)
                opened = open_store(self.folder, lambda: "another")
                if is_successful(opened):
                    store = opened.unwrap()
                    if store.created:
                        self.assertTrue(has_quarantined_store(self.folder))
                    else:
                        self.assertEqual(loaded(store), sequence.state)
                    store.close()
                else:
                    self.assertIsInstance(opened.failure(), StoreCorrupt)
