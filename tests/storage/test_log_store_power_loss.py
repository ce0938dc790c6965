"""After a power loss a store has all acknowledged writes, and any other write completely or not at all."""

from __future__ import annotations

import os
import tempfile
from collections.abc import Callable
from random import Random
from unittest import TestCase
from unittest.mock import patch

from log_store_contract import REPLICA_ID, entries, entry, loaded, random_write, snapshot
from power_loss import WAL_NAME, Files, Loss, close_losses, commit_losses, read_files, write_files
from returns.pipeline import is_successful

from brackenladder.consensus.types import DurableState, HardState, Write
from brackenladder.storage import sqlite_file
from brackenladder.storage.memory_log import MemoryLogStore
from brackenladder.storage.sqlite_log import SqliteLogStore, open_store

SEEDS = range(2)
WRITES = 30
CHECKPOINT_PAGES = 12  # small, so that there are many checkpoints
LARGE = entry(1, data=bytes(3 * sqlite_file.PAGE_BYTES))  # makes the file grow, which changes its first page
UNFINISHED = sqlite_file.FILE_NAME + ".new"


def state_after(state: DurableState, write: Write) -> DurableState:
    """The state of a store with `state` after the write."""
    model = MemoryLogStore(REPLICA_ID)
    model.apply(Write(0, state.hard_state, state.snapshot, clear=True, entries=state.entries)).unwrap()
    model.apply(write).unwrap()
    return loaded(model)


class PowerLossTestCase(TestCase):
    def setUp(self) -> None:
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.folder = os.path.join(scratch.name, "live")
        self.lost_folder = os.path.join(scratch.name, "lost")
        os.mkdir(self.folder)
        os.mkdir(self.lost_folder)
        small = patch.object(sqlite_file, "CHECKPOINT_PAGES", CHECKPOINT_PAGES)
        small.start()
        self.addCleanup(small.stop)

    def open(self, folder: str) -> SqliteLogStore:
        store = open_store(folder, lambda: REPLICA_ID).unwrap()
        self.addCleanup(store.close)
        return store

    def check(
        self, loss: Loss, before: DurableState, after: DurableState, continues: bool = True
    ) -> DurableState:
        """Opens a store from the remaining files, checks its state, and returns that state."""
        write_files(self.lost_folder, loss.files)
        store = self.open(self.lost_folder)
        self.assertFalse(store.created, loss.name)
        state = loaded(store)
        allowed = [after] if loss.acknowledged else [before] if loss.lost else [before, after]
        self.assertIn(state, allowed, loss.name)
        if continues:
            self.check_next_write(store, state, loss)
        store.close()
        return state

    def check_next_write(self, store: SqliteLogStore, state: DurableState, loss: Loss) -> None:
        write = Write(999, HardState(999, "replica-2"))
        self.assertTrue(is_successful(store.apply(write)), loss.name)
        store.close()
        store = self.open(self.lost_folder)
        self.assertEqual(loaded(store), state_after(state, write), loss.name)
        store.close()


class CommitPowerLossTest(PowerLossTestCase):
    def test_losses_during_any_transaction(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.run_writes(Random(seed))

    def run_writes(self, random: Random) -> None:
        """Applies writes, checks power losses at each, and sometimes continues from one of the losses."""
        write_files(self.folder, {})
        store = self.open(self.folder)
        state = DurableState()
        for token in range(1, WRITES):
            write = random_write(random, token, state)
            after = state_after(state, write)
            files = read_files(self.folder)
            self.assertTrue(is_successful(store.apply(write)))
            losses = list(commit_losses(random, files, read_files(self.folder)))
            states = [self.check(loss, state, after, random.random() < 0.2) for loss in losses]
            state = after
            if random.random() < 0.3:
                chosen = random.randrange(len(losses))
                store.close()
                write_files(self.folder, losses[chosen].files)
                store = self.open(self.folder)
                state = states[chosen]
        store.close()

    def test_losses_while_the_store_is_closed(self) -> None:
        random = Random(7)
        for last in (1, 5, 40):
            write_files(self.folder, {})
            store = self.open(self.folder)
            store.apply(Write(1, HardState(1), entries=entries(1, last))).unwrap()
            store.apply(Write(2, snapshot=snapshot(last, data=random.randbytes(20_000)))).unwrap()
            state = loaded(store)
            files = read_files(self.folder)
            store.close()
            for loss in close_losses(random, files, read_files(self.folder)):
                self.check(loss, state, state)

    def test_a_wal_truncated_anywhere_in_its_last_transaction(self) -> None:
        store = self.open(self.folder)
        store.apply(Write(1, HardState(1), entries=entries(1, 3))).unwrap()
        before, files = loaded(store), read_files(self.folder)
        store.apply(Write(2, HardState(2), entries=entries(4, 6))).unwrap()
        after, wal = loaded(store), read_files(self.folder)[WAL_NAME]
        first = len(files[WAL_NAME])
        for length in (*range(first, len(wal), 256), *range(len(wal) - 8, len(wal) + 1)):
            for tail in (b"", bytes(512), Random(length).randbytes(512)):
                whole = length == len(wal)
                cut = Loss({**files, WAL_NAME: wal[:length] + tail}, whole, not whole, f"cut at {length}")
                self.check(cut, before, after)

    def test_a_torn_first_page_with_an_intact_wal(self) -> None:
        files, whole = self.first_page_in_wal()
        state = DurableState(entries=(LARGE,))
        page = whole[sqlite_file.FILE_NAME][: sqlite_file.PAGE_BYTES]
        for kept in (0, 8, 16, 50, 62, 70, 100, 4000):
            for rest in (bytes(len(page) - kept), b"\xa5" * (len(page) - kept)):
                content = page[:kept] + rest + files[sqlite_file.FILE_NAME][len(page) :]
                loss = Loss({**files, sqlite_file.FILE_NAME: content}, True, False, f"{kept} bytes kept")
                self.check(loss, state, state)

    def first_page_in_wal(self) -> tuple[Files, Files]:
        """The files of a store before and after a checkpoint of its first page."""
        store = self.open(self.folder)
        store.apply(Write(1, entries=(LARGE,))).unwrap()
        files = read_files(self.folder)
        store.close()
        return files, read_files(self.folder)

    def test_a_removed_wal_that_reappears(self) -> None:
        """The removal of the WAL was not synced; its pages are already in the database."""
        store = self.open(self.folder)
        store.apply(Write(1, HardState(1), entries=entries(1, 3))).unwrap()
        state, wal = loaded(store), read_files(self.folder)[WAL_NAME]
        store.close()
        files = {**read_files(self.folder), WAL_NAME: wal}
        self.check(Loss(files, True, False, "old WAL"), state, state)


class CreationPowerLossTest(PowerLossTestCase):
    def interrupted(self, step: int) -> Files | None:
        """The files if creation is interrupted before sync or rename number `step`; None if it has fewer."""
        write_files(self.folder, {})
        steps = iter(range(step))

        def counted(real: Callable[..., None]) -> Callable[..., None]:
            def call(*arguments: str) -> None:
                if next(steps, None) is None:
                    raise InterruptedError
                real(*arguments)

            return call

        with (
            patch.object(sqlite_file, "sync_to_disk", counted(sqlite_file.sync_to_disk)),
            patch.object(sqlite_file.os, "replace", counted(os.replace)),
        ):
            opened = open_store(self.folder, lambda: "unfinished")
        if is_successful(opened):
            opened.unwrap().close()
            return None
        return read_files(self.folder)

    def test_a_creation_interrupted_at_any_step(self) -> None:
        step = 0
        while (files := self.interrupted(step)) is not None:
            with self.subTest(step=step):
                self.check_restart(files)
            step += 1
        self.assertEqual(step, 4)  # sync of the file, sync of the folder, rename, sync of the folder

    def test_an_unfinished_file_of_any_content(self) -> None:
        files = self.interrupted(0)
        assert files is not None
        whole = files[UNFINISHED]
        for content in (b"", whole[:100], whole[:5000], bytes(len(whole)), b"garbage" * 999):
            for journal in ({}, {UNFINISHED + "-wal": whole[:900]}, {UNFINISHED + "-journal": b"x"}):
                self.check_restart({UNFINISHED: content, **journal})

    def check_restart(self, files: Files) -> None:
        """Opening either finds the complete store or creates a new one, and never mixes the two."""
        write_files(self.lost_folder, files)
        renamed = sqlite_file.FILE_NAME in files
        store = self.open(self.lost_folder)
        self.assertEqual(store.created, not renamed)
        self.assertEqual(store.identity.replica_id, "unfinished" if renamed else REPLICA_ID)
        self.assertEqual(loaded(store), DurableState())
        store.apply(Write(1, entries=entries(1, 2))).unwrap()
        store.close()
        store = self.open(self.lost_folder)
        self.assertEqual(loaded(store), DurableState(entries=entries(1, 2)))
        self.assertNotIn(UNFINISHED, read_files(self.lost_folder))
        store.close()
