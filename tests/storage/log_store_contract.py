"""Tests that every log store has to pass, as a mixin for unittest cases, with their sample values."""

from __future__ import annotations

from random import Random
from typing import Any

from returns.pipeline import is_successful

from brackenladder.consensus.types import (
    DurableState,
    Entry,
    EntryKind,
    HardState,
    Member,
    Members,
    Snapshot,
    Write,
)
from brackenladder.storage.log_store import FORMAT, LogStore, StoreClosed, StoreIdentity, WriteOutOfOrder

REPLICA_ID = "replica-1"
MEMBERS = Members(
    voters=(Member("replica-1", "10.1.0.38:7660", "hall", "north"), Member("replica-2", "10.2.0.30:7660")),
    outgoing=(Member("replica-3", "10.3.0.24:7660"),),
    learners=(Member("replica-4", "10.4.0.24:7660"),),
)


def entry(index: int, term: int = 1, data: bytes = b"") -> Entry:
    return Entry(index, term, EntryKind.COMMAND, data or f"order {index} of term {term}".encode())


def entries(first: int, last: int, term: int = 1) -> tuple[Entry, ...]:
    return tuple(entry(index, term) for index in range(first, last + 1))


def snapshot(index: int, term: int = 1, data: bytes = b"state") -> Snapshot:
    return Snapshot(index, term, MEMBERS, data)


def loaded(store: LogStore) -> DurableState:
    return store.load().unwrap()


def random_write(random: Random, token: int, state: DurableState, largest: int = 9000) -> Write:
    """A random write, of the kinds that a replica makes, which is valid after `state`."""
    base = state.snapshot.index if state.snapshot else 0
    last = state.entries[-1].index if state.entries else base
    kind = random.choice(["append"] * 6 + ["vote", "truncate", "compact", "install"])
    if kind == "vote":
        return Write(token, HardState(token, random.choice(["", "replica-1", "replica-2"])))
    if kind == "compact" and last > base:
        return Write(token, snapshot=snapshot(random.randint(base + 1, last), data=_data(random, largest)))
    if kind == "install":
        index = last + random.randint(1, 9)
        return Write(token, snapshot=snapshot(index, token, _data(random, largest)), clear=True)
    first = last + 1
    if kind == "truncate" and last > base:
        first = random.randint(base + 1, last)
    count = random.randint(1, 4)
    added = tuple(entry(first + step, token, _data(random, largest)) for step in range(count))
    truncate_from = first if first <= last else 0
    return Write(token, HardState(token), truncate_from=truncate_from, entries=added)


def _data(random: Random, largest: int) -> bytes:
    return random.randbytes(random.choice([0, 40, 300, largest]))


class LogStoreContract:
    """The tests. A subclass is also a `unittest.TestCase`, and creates and reopens its kind of store."""

    def new_store(self) -> LogStore:
        raise NotImplementedError

    def reopened(self, store: LogStore) -> LogStore:
        """The store as the next process opens it."""
        raise NotImplementedError

    def setUp(self: Any) -> None:
        self.store = self.new_store()
        self.addCleanup(lambda: self.store.close())

    def reopen(self: Any) -> None:
        self.store = self.reopened(self.store)

    def apply(self: Any, *writes: Write) -> None:
        for write in writes:
            self.assertTrue(is_successful(self.store.apply(write)), write)

    def assert_holds(self: Any, expected: DurableState) -> None:
        self.assertEqual(loaded(self.store), expected)
        self.reopen()
        self.assertEqual(loaded(self.store), expected)

    def assert_out_of_order(self: Any, write: Write) -> None:
        before = loaded(self.store)
        self.assertIsInstance(self.store.apply(write).failure(), WriteOutOfOrder)
        self.assert_holds(before)

    def test_a_new_store_is_empty(self: Any) -> None:
        self.assert_holds(DurableState())

    def test_the_identity_survives_reopening(self: Any) -> None:
        self.assertEqual(self.store.identity, StoreIdentity(REPLICA_ID, FORMAT))
        self.reopen()
        self.assertEqual(self.store.identity, StoreIdentity(REPLICA_ID, FORMAT))

    def test_entries_and_hard_state(self: Any) -> None:
        self.apply(
            Write(1, HardState(1, "replica-2")),
            Write(2, HardState(2, "replica-1"), entries=entries(1, 3)),
            Write(3, entries=entries(4, 5, term=2)),
        )
        self.assert_holds(
            DurableState(HardState(2, "replica-1"), entries=entries(1, 3) + entries(4, 5, term=2))
        )

    def test_each_kind_of_entry_with_any_bytes(self: Any) -> None:
        written = tuple(Entry(kind + 1, 1, kind, bytes(range(256)) * kind) for kind in EntryKind)
        self.apply(Write(1, entries=written))
        self.assert_holds(DurableState(entries=written))

    def test_truncation_comes_before_the_new_entries(self: Any) -> None:
        self.apply(Write(1, entries=entries(1, 6)), Write(2, truncate_from=3, entries=entries(3, 4, term=2)))
        self.assert_holds(DurableState(entries=entries(1, 2) + entries(3, 4, term=2)))

    def test_truncation_alone_and_of_nothing(self: Any) -> None:
        self.apply(Write(1, entries=entries(1, 6)), Write(2, truncate_from=4), Write(3, truncate_from=4))
        self.assert_holds(DurableState(entries=entries(1, 3)))
        self.apply(Write(4, truncate_from=1), Write(5, entries=entries(1, 1, term=2)))
        self.assert_holds(DurableState(entries=entries(1, 1, term=2)))

    def test_a_snapshot_drops_the_entries_up_to_its_index(self: Any) -> None:
        self.apply(Write(1, entries=entries(1, 6)), Write(2, snapshot=snapshot(4)))
        self.assert_holds(DurableState(snapshot=snapshot(4), entries=entries(5, 6)))
        self.apply(Write(3, snapshot=snapshot(6, data=b"")), Write(4, entries=entries(7, 8)))
        self.assert_holds(DurableState(snapshot=snapshot(6, data=b""), entries=entries(7, 8)))

    def test_a_snapshot_past_the_last_entry(self: Any) -> None:
        self.apply(Write(1, entries=entries(1, 3)), Write(2, snapshot=snapshot(9)))
        self.assert_holds(DurableState(snapshot=snapshot(9)))
        self.apply(Write(3, entries=entries(10, 10)))
        self.assert_holds(DurableState(snapshot=snapshot(9), entries=entries(10, 10)))

    def test_a_snapshot_with_clear_drops_every_entry(self: Any) -> None:
        self.apply(Write(1, entries=entries(1, 6)), Write(2, snapshot=snapshot(4, term=3), clear=True))
        self.assert_holds(DurableState(snapshot=snapshot(4, term=3)))

    def test_everything_in_one_write(self: Any) -> None:
        self.apply(
            Write(1, entries=entries(1, 6)),
            Write(2, HardState(3), snapshot(2), truncate_from=5, entries=entries(5, 7, term=3)),
        )
        expected = entries(3, 4) + entries(5, 7, term=3)
        self.assert_holds(DurableState(HardState(3), snapshot(2), expected))

    def test_clear_snapshot_and_entries_in_one_write(self: Any) -> None:
        write = Write(2, HardState(3), snapshot(20, 3), clear=True, entries=entries(21, 22, term=3))
        self.apply(Write(1, entries=entries(1, 6)), write)
        self.assert_holds(DurableState(HardState(3), snapshot(20, 3), entries(21, 22, term=3)))

    def test_an_empty_write_changes_nothing(self: Any) -> None:
        self.apply(Write(1, HardState(4, "replica-2"), entries=entries(1, 2)), Write(2))
        self.assert_holds(DurableState(HardState(4, "replica-2"), entries=entries(1, 2)))

    def test_a_gap_is_rejected(self: Any) -> None:
        self.apply(Write(1, entries=entries(1, 3)))
        self.assert_out_of_order(Write(2, HardState(9), entries=entries(5, 6)))
        self.assert_out_of_order(Write(2, HardState(9), entries=(entry(4), entry(6))))

    def test_an_existing_entry_is_not_overwritten(self: Any) -> None:
        self.apply(Write(1, entries=entries(1, 3)))
        self.assert_out_of_order(Write(2, entries=entries(3, 4, term=2)))

    def test_an_older_snapshot_is_rejected(self: Any) -> None:
        self.apply(Write(1, entries=entries(1, 6)), Write(2, snapshot=snapshot(5)))
        self.assert_out_of_order(Write(3, HardState(9), snapshot=snapshot(4)))

    def test_entries_that_the_snapshot_covers_are_rejected(self: Any) -> None:
        self.apply(Write(1, entries=entries(1, 6)), Write(2, snapshot=snapshot(6)))
        self.assert_out_of_order(Write(3, truncate_from=3, entries=entries(3, 7)))

    def test_the_next_write_after_a_rejected_one(self: Any) -> None:
        self.store.apply(Write(1, entries=entries(2, 2))).failure()
        self.apply(Write(2, entries=entries(1, 2)))
        self.assert_holds(DurableState(entries=entries(1, 2)))

    def test_a_closed_store_rejects_calls(self: Any) -> None:
        self.apply(Write(1, entries=entries(1, 2)))
        self.store.close()
        self.store.close()
        self.assertIsInstance(self.store.apply(Write(2)).failure(), StoreClosed)
        self.assertIsInstance(self.store.load().failure(), StoreClosed)
