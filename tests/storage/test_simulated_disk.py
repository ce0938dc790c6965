"""The real store on a simulated disk: power lost at any moment, syncs that fail, no room, damage."""

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
LOSSES = 3  # of each moment
UNTOLD_COMMITS = 2  # that damage may take away and nothing tells it: the last, and one that was hit itself
MOMENTS_BETWEEN_SYNCS = 0.15  # share of them that is looked at


@frozen
class Loss:
    """What a loss of power left, the states that are allowed then, and whether there must be a store."""

    files: dict[str, bytes]
    allowed: tuple[DurableState, ...]
    made: bool


class Walk:
    """Writes to one store, and at every moment what it must hold after a loss of power."""

    def __init__(self, case: DiskCase, random: Random) -> None:
        self.case = case
        self.random = random
        self.disk = SimulatedDisk(random)
        self.state = DurableState()  # with all that was acknowledged
        self.uncertain: list[DurableState] = []  # also allowed: with the write in flight, or one that failed
        self.made = False  # the store exists for certain
        self.losses: list[Loss] = []
        self.disk.on_event = self._event

    def _event(self, kind: str) -> None:
        if kind == "sync" or self.random.random() < MOMENTS_BETWEEN_SYNCS:
            self.lose_power()

    def lose_power(self) -> None:
        """Notes what may be left now, to be looked at once the disk is not mounted any more."""
        for _ in range(LOSSES):
            files = self.disk.after_loss(self.random)
            self.losses.append(Loss(files, (self.state, *self.uncertain), self.made))

    def check(self) -> None:
        """Restarts, by the standard library's sqlite3, from all that may have been left."""
        for loss in self.losses:
            self.case.check(loss)

    def open(self) -> SqliteLogStore:
        store = open_store(FOLDER, lambda: REPLICA_ID).unwrap()
        self.made = True
        return store

    def write(self, store: SqliteLogStore, token: int) -> None:
        write = random_write(self.random, token, self.state)
        after = state_after(self.state, write)
        self.uncertain.append(after)
        if is_successful(store.apply(write)):
            self.state = after
            self.uncertain = []


class DiskCase(TestCase):
    def setUp(self) -> None:
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.folder = scratch.name
        small = patch.object(sqlite_file, "CHECKPOINT_PAGES", CHECKPOINT_PAGES)
        small.start()
        self.addCleanup(small.stop)

    def put(self, files: dict[str, bytes]) -> None:
        for name in os.listdir(self.folder):
            os.unlink(os.path.join(self.folder, name))
        for name, data in files.items():
            with open(os.path.join(self.folder, name), "wb") as file:
                file.write(data)

    def check(self, loss: Loss) -> None:
        """A restart from these files finds one of the allowed states; a store that was made stays."""
        self.put(loss.files)
        store = open_store(self.folder, lambda: "another").unwrap()
        try:
            self.assertIn(loaded(store), loss.allowed)
            if loss.made:
                self.assertEqual(store.identity.replica_id, REPLICA_ID)
        finally:
            store.close()


class PowerLossTest(DiskCase):
    def test_power_is_lost_at_any_moment(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                walk = Walk(self, Random(seed))
                with walk.disk.mounted():
                    store = walk.open()
                    for token in range(1, WRITES):
                        walk.write(store, token)
                    store.close()
                    walk.lose_power()
                walk.check()
                self.assertGreater(len(walk.losses), 5 * WRITES)

    def test_a_store_that_goes_on_from_what_was_left(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                walk = Walk(self, Random(100 + seed))
                with walk.disk.mounted():
                    store = walk.open()
                    for token in range(1, WRITES):
                        walk.write(store, token)
                        if walk.random.random() < 0.2:
                            left = walk.disk.after_loss(walk.random)
                            walk.disk.on_event = lambda _kind: None
                            store.close()
                            walk.disk.load(left)
                            walk.disk.on_event = walk._event
                            store = walk.open()
                            self.assertEqual(loaded(store), walk.state)
                    store.close()
                walk.check()

    def test_a_disk_that_comes_back_empty_makes_another_replica(self) -> None:
        disk = SimulatedDisk()
        with disk.mounted():
            open_store(FOLDER, lambda: REPLICA_ID).unwrap().close()
            disk.load({})
            store = open_store(FOLDER, lambda: "another").unwrap()
            self.assertEqual((store.identity.replica_id, store.created), ("another", True))
            store.close()


class RefusedTest(DiskCase):
    def test_a_sync_that_fails_acknowledges_nothing_and_loses_nothing(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                walk = Walk(self, Random(200 + seed))
                failed = 0
                with walk.disk.mounted():
                    store = walk.open()
                    for token in range(1, WRITES):
                        if walk.random.random() < 0.3:
                            walk.disk.failing_syncs = walk.random.randint(1, 2)
                        before = len(walk.uncertain)
                        walk.write(store, token)
                        failed += len(walk.uncertain) > before
                    walk.disk.failing_syncs = 0
                    walk.lose_power()
                    store.close()
                walk.check()
                self.assertGreater(failed, 0)

    def test_a_full_disk_changes_nothing(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                walk = Walk(self, Random(300 + seed))
                with walk.disk.mounted():
                    store = walk.open()
                    for token in range(1, WRITES):
                        walk.disk.room = walk.random.choice((None, None, 0, 5_000))
                        walk.write(store, token)
                        self.assertEqual(loaded(store), walk.state)
                    walk.disk.room = None
                    store.close()
                walk.check()


class DamageTest(DiskCase):
    """Bytes that were synced and come back otherwise."""

    def test_damage_anywhere_is_found_or_does_not_matter(self) -> None:
        found = 0
        for seed in range(40):
            with self.subTest(seed=seed):
                found += self.damaged(Random(400 + seed))
        self.assertGreater(found, 5)

    def damaged(self, random: Random) -> bool:
        """Whether the damage was found; else the store holds what it must."""
        walk = Walk(self, random)
        walk.disk.on_event = lambda _kind: None
        with walk.disk.mounted():
            store = walk.open()
            states = [walk.state]
            for token in range(1, WRITES):
                walk.write(store, token)
                states.append(walk.state)
        files = {name: bytearray(data) for name, data in walk.disk.contents().items()}
        name = random.choice(sorted(files))
        begin = random.randrange(len(files[name]))
        size = random.choice((1, 16, 512, 5_000))
        for offset in range(begin, min(begin + size, len(files[name]))):
            files[name][offset] ^= random.randrange(1, 256)
        self.put({name: bytes(data) for name, data in files.items()})
        opened = open_store(self.folder, lambda: "another")
        if not is_successful(opened):
            return True
        store = opened.unwrap()
        held = store.load()
        store.close()
        if not is_successful(held):
            return True
        self.assertFalse(store.created)
        # the last transaction is like one in flight at a loss of power; so is one whose own commit was hit
        self.assertIn(held.unwrap(), states[-1 - UNTOLD_COMMITS :])
        return False


class WholeFileTest(DiskCase):
    def test_a_small_file_is_the_newest_or_the_one_before(self) -> None:
        for seed in range(20):
            with self.subTest(seed=seed):
                self.walk(Random(seed))

    def walk(self, random: Random) -> None:
        disk = SimulatedDisk(random)
        path = os.path.join(FOLDER, "restart")
        allowed = [b""]
        left: list[tuple[dict[str, bytes], list[bytes]]] = []
        disk.on_event = lambda _kind: left.append((disk.after_loss(random), list(allowed)))
        with disk.mounted():
            for number in range(6):
                data = b"%d " % number * random.randrange(1, 3_000)
                allowed.append(data)
                disk.failing_syncs = int(random.random() < 0.3)
                if is_successful(write_atomically(path, data)):
                    allowed[:] = [data]
                self.assertIn(read_checked(path).unwrap(), allowed)
        self.assertGreater(len(left), 10)
        for files, contents in left:
            self.put(files)
            self.assertIn(read_checked(os.path.join(self.folder, "restart")).unwrap(), contents)


class SetAsideTest(DiskCase):
    def test_power_is_lost_while_a_damaged_store_is_set_aside(self) -> None:
        """Whatever is left, the old replica's store is whole, named as set aside, or counts as damaged."""
        for seed in range(20):
            random = Random(seed)
            disk = SimulatedDisk()
            left: list[dict[str, bytes]] = []
            with disk.mounted():
                walk = Walk(self, random)
                walk.disk = disk
                store = walk.open()
                for token in range(1, 6):
                    walk.write(store, token)
                disk.on_event = lambda _kind: left.append(disk.after_loss(random))  # noqa: B023
                quarantine_store(FOLDER)
            for files in left:
                self.put(files)
                opened = open_store(self.folder, lambda: "another")
                if is_successful(opened):
                    store = opened.unwrap()
                    if store.created:
                        self.assertTrue(has_quarantined_store(self.folder))
                    else:
                        self.assertEqual(loaded(store), walk.state)
                    store.close()
                else:
                    self.assertIsInstance(opened.failure(), StoreCorrupt)
