"""The thread that makes writes durable."""

from __future__ import annotations

import asyncio
import tempfile
from collections.abc import Sequence
from threading import Event, Thread
from unittest import IsolatedAsyncioTestCase

from log_store_contract import REPLICA_ID, entries, loaded
from returns.result import Failure, Result, Success

from brackenladder.consensus.types import DurableState, HardState, Write
from brackenladder.storage.log_store import (
    FORMAT,
    StoreClosed,
    StoreError,
    StoreFailed,
    StoreIdentity,
    WriteOutOfOrder,
)
from brackenladder.storage.sqlite_log import open_store
from brackenladder.storage.writer import LARGEST_BATCH, LARGEST_BATCH_BYTES, StoreWriter

DEADLINE_S = 30.0


class SlowStore:
    """Notes the calls, which last until `released`. Tokens in `refused` fail, those in `raised` raise."""

    def __init__(self, refused: Sequence[int] = (), raised: Sequence[int] = ()) -> None:
        self.identity = StoreIdentity(REPLICA_ID, FORMAT)
        self.refused = refused
        self.raised = raised
        self.calls: list[tuple[int, ...]] = []
        self.entered = Event()
        self.released = Event()
        self.closed = Event()

    def load(self) -> Result[DurableState, StoreError]:
        return Success(DurableState())

    def apply(self, write: Write) -> Result[None, StoreError]:
        return self.apply_batch((write,))

    def apply_batch(self, writes: Sequence[Write]) -> Result[None, StoreError]:
        tokens = tuple(write.token for write in writes)
        self.calls.append(tokens)
        self.entered.set()
        self.released.wait(DEADLINE_S)
        if any(token in self.raised for token in tokens):
            raise ValueError("a fault of the program")
        if any(token in self.refused for token in tokens):
            return Failure(StoreFailed("refused"))
        return Success(None)

    def close(self) -> None:
        self.closed.set()


class SingleStore:
    """A store without batches."""

    def __init__(self, inner: SlowStore) -> None:
        self.identity = inner.identity
        self.load = inner.load
        self.apply = inner.apply
        self.close = inner.close


class Results:
    """Collects what `done` is told."""

    def __init__(self, count: int) -> None:
        self.count = count
        self.told: list[tuple[int, Result[None, StoreError]]] = []
        self.complete = asyncio.Event()

    def done(self, write: Write, result: Result[None, StoreError]) -> None:
        asyncio.get_running_loop()  # raises anywhere but in the loop
        self.told.append((write.token, result))
        if len(self.told) == self.count:
            self.complete.set()

    async def wait(self) -> list[tuple[int, Result[None, StoreError]]]:
        await asyncio.wait_for(self.complete.wait(), DEADLINE_S)
        return self.told


class StoreWriterTest(IsolatedAsyncioTestCase):
    def writer(self, store: object) -> StoreWriter:
        writer = StoreWriter(store, asyncio.get_running_loop())  # type: ignore[arg-type]
        self.addCleanup(writer.close)
        return writer

    async def held_up(self, store: SlowStore, tokens: int, writer: StoreWriter, results: Results) -> None:
        """Submits writes while the first one keeps the thread, then releases it."""
        writer.submit(Write(0), results.done)
        await asyncio.to_thread(store.entered.wait, DEADLINE_S)
        for token in range(1, tokens):
            writer.submit(Write(token), results.done)
        self.assertEqual(results.told, [])
        store.released.set()

    async def test_done_is_called_in_order_after_the_write(self) -> None:
        store, results = SlowStore(), Results(20)
        await self.held_up(store, 20, self.writer(store), results)
        self.assertEqual(await results.wait(), [(token, Success(None)) for token in range(20)])

    async def test_writes_that_queue_up_share_a_transaction(self) -> None:
        store, results = SlowStore(), Results(LARGEST_BATCH + 5)
        await self.held_up(store, LARGEST_BATCH + 5, self.writer(store), results)
        await results.wait()
        expected = [
            (0,),
            tuple(range(1, LARGEST_BATCH + 1)),
            tuple(range(LARGEST_BATCH + 1, LARGEST_BATCH + 5)),
        ]
        self.assertEqual(store.calls, expected)

    async def test_a_transaction_is_bounded_in_bytes(self) -> None:
        store, results = SlowStore(), Results(4)
        writer = self.writer(store)
        writer.submit(Write(0), results.done)
        await asyncio.to_thread(store.entered.wait, DEADLINE_S)
        large = entries(1, 1)[0]
        large = type(large)(1, 1, large.kind, bytes(LARGEST_BATCH_BYTES))
        for token in range(1, 4):
            writer.submit(Write(token, entries=(large,)), results.done)
        store.released.set()
        await results.wait()
        self.assertEqual(store.calls, [(0,), (1,), (2,), (3,)])

    async def test_a_store_without_batches(self) -> None:
        inner, results = SlowStore(), Results(4)
        await self.held_up(inner, 4, self.writer(SingleStore(inner)), results)
        await results.wait()
        self.assertEqual(inner.calls, [(0,), (1,), (2,), (3,)])

    async def test_a_batch_that_fails_is_tried_one_by_one(self) -> None:
        store, results = SlowStore(refused=[2]), Results(4)
        await self.held_up(store, 4, self.writer(store), results)
        told = await results.wait()
        self.assertEqual([token for token, _ in told], [0, 1, 2, 3])
        self.assertEqual([isinstance(result, Success) for _, result in told], [True, True, False, True])
        self.assertEqual(store.calls, [(0,), (1, 2, 3), (1,), (2,), (3,)])

    async def test_a_store_that_raises_does_not_end_the_thread(self) -> None:
        store, results = SlowStore(raised=[1]), Results(3)
        await self.held_up(store, 3, self.writer(store), results)
        told = await results.wait()
        self.assertIsInstance(told[1][1].failure(), StoreFailed)
        self.assertEqual(told[2], (2, Success(None)))

    async def test_an_error_in_one_done_keeps_no_other_from_its_result(self) -> None:
        store, results = SlowStore(), Results(3)
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        writer = self.writer(store)
        writer.submit(Write(0), results.done)
        await asyncio.to_thread(store.entered.wait, DEADLINE_S)
        writer.submit(Write(1), lambda write, result: [][0])
        writer.submit(Write(2), results.done)
        writer.submit(Write(3), results.done)
        store.released.set()
        self.assertEqual([token for token, _ in await results.wait()], [0, 2, 3])

    async def test_close_lets_the_queue_end_and_closes_the_store(self) -> None:
        store, results = SlowStore(), Results(3)
        writer = self.writer(store)
        await self.held_up(store, 3, writer, results)
        writer.close()
        writer.close()
        await results.wait()
        self.assertTrue(await asyncio.to_thread(writer.join, DEADLINE_S))
        self.assertTrue(store.closed.is_set())

    async def test_close_does_not_wait_for_the_disk(self) -> None:
        store, results = SlowStore(), Results(1)
        writer = self.writer(store)
        writer.submit(Write(0), results.done)
        await asyncio.to_thread(store.entered.wait, DEADLINE_S)
        writer.close()
        self.assertFalse(writer.join(0.0))
        store.released.set()
        await results.wait()

    async def test_a_closed_writer_refuses(self) -> None:
        store, results = SlowStore(), Results(1)
        writer = self.writer(store)
        writer.close()
        writer.submit(Write(0), results.done)
        self.assertIsInstance((await results.wait())[0][1].failure(), StoreClosed)
        self.assertEqual(store.calls, [])

    async def test_an_idle_writer_ends_at_close(self) -> None:
        store = SlowStore()
        writer = self.writer(store)
        writer.close()
        self.assertTrue(await asyncio.to_thread(writer.join, DEADLINE_S))

    async def test_what_is_told_done_is_in_the_store(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            store = open_store(folder, lambda: REPLICA_ID).unwrap()
            writer, results = self.writer(store), Results(41)
            for index in range(1, 41):
                writer.submit(Write(index, HardState(index), entries=entries(index, index)), results.done)
            writer.submit(Write(41, entries=entries(50, 50)), results.done)
            told = await results.wait()
            self.assertEqual([result for _, result in told[:40]], [Success(None)] * 40)
            self.assertIsInstance(told[40][1].failure(), WriteOutOfOrder)
            writer.close()
            self.assertTrue(await asyncio.to_thread(writer.join, DEADLINE_S))
            again = open_store(folder, lambda: "another").unwrap()
            self.assertEqual(loaded(again), DurableState(HardState(40), entries=entries(1, 40)))
            again.close()


class LoopEndsFirstTest(IsolatedAsyncioTestCase):
    async def test_the_thread_ends_though_the_loop_is_closed(self) -> None:
        store = SlowStore()
        loop = asyncio.new_event_loop()
        writer = StoreWriter(store, loop)
        writer.submit(Write(0), lambda write, result: None)
        await asyncio.to_thread(store.entered.wait, DEADLINE_S)
        loop.close()
        closer = Thread(target=writer.close)
        closer.start()
        closer.join(DEADLINE_S)
        store.released.set()
        self.assertTrue(await asyncio.to_thread(writer.join, DEADLINE_S))
