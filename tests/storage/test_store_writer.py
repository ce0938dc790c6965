"""The thread that makes log writes durable."""

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
from brackenladder.storage.writer import MAX_BATCH, MAX_BATCH_BYTES, StoreWriter

DEADLINE_S = 30.0


class BlockingStore:
    """Records calls, which block until `released`. Tokens in `refused` fail; those in `raised` raise."""

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
    """A store that does not support batches."""

    def __init__(self, inner: BlockingStore) -> None:
        self.identity = inner.identity
        self.load = inner.load
        self.apply = inner.apply
        self.close = inner.close


class Results:
    """Collects the results passed to `done`."""

    def __init__(self, count: int) -> None:
        self.count = count
        self.received: list[tuple[int, Result[None, StoreError]]] = []
        self.complete = asyncio.Event()

    def done(self, write: Write, result: Result[None, StoreError]) -> None:
        asyncio.get_running_loop()  # raises outside the event loop
        self.received.append((write.token, result))
        if len(self.received) == self.count:
            self.complete.set()

    async def wait(self) -> list[tuple[int, Result[None, StoreError]]]:
        await asyncio.wait_for(self.complete.wait(), DEADLINE_S)
        return self.received


class StoreWriterTest(IsolatedAsyncioTestCase):
    def writer(self, store: object) -> StoreWriter:
        writer = StoreWriter(store, asyncio.get_running_loop())  # type: ignore[arg-type]
        self.addCleanup(writer.close)
        return writer

    async def submit_while_blocked(
        self, store: BlockingStore, tokens: int, writer: StoreWriter, results: Results
    ) -> None:
        """Submits writes while the thread is blocked in the first one, then releases it."""
        writer.submit(Write(0), results.done)
        await asyncio.to_thread(store.entered.wait, DEADLINE_S)
        for token in range(1, tokens):
            writer.submit(Write(token), results.done)
        self.assertEqual(results.received, [])
        store.released.set()

    async def test_done_is_called_in_order_after_the_write(self) -> None:
        store, results = BlockingStore(), Results(20)
        await self.submit_while_blocked(store, 20, self.writer(store), results)
        self.assertEqual(await results.wait(), [(token, Success(None)) for token in range(20)])

    async def test_writes_that_queue_up_share_a_transaction(self) -> None:
        store, results = BlockingStore(), Results(MAX_BATCH + 5)
        await self.submit_while_blocked(store, MAX_BATCH + 5, self.writer(store), results)
        await results.wait()
        expected = [
            (0,),
            tuple(range(1, MAX_BATCH + 1)),
            tuple(range(MAX_BATCH + 1, MAX_BATCH + 5)),
        ]
        self.assertEqual(store.calls, expected)

    async def test_a_transaction_is_bounded_in_bytes(self) -> None:
        store, results = BlockingStore(), Results(4)
        writer = self.writer(store)
        writer.submit(Write(0), results.done)
        await asyncio.to_thread(store.entered.wait, DEADLINE_S)
        large = entries(1, 1)[0]
        large = type(large)(1, 1, large.kind, bytes(MAX_BATCH_BYTES))
        for token in range(1, 4):
            writer.submit(Write(token, entries=(large,)), results.done)
        store.released.set()
        await results.wait()
        self.assertEqual(store.calls, [(0,), (1,), (2,), (3,)])

    async def test_a_store_without_batches(self) -> None:
        inner, results = BlockingStore(), Results(4)
        await self.submit_while_blocked(inner, 4, self.writer(SingleStore(inner)), results)
        await results.wait()
        self.assertEqual(inner.calls, [(0,), (1,), (2,), (3,)])

    async def test_a_failed_batch_is_retried_one_by_one(self) -> None:
        store, results = BlockingStore(refused=[2]), Results(4)
        await self.submit_while_blocked(store, 4, self.writer(store), results)
        received = await results.wait()
        self.assertEqual([token for token, _ in received], [0, 1, 2, 3])
        self.assertEqual([isinstance(result, Success) for _, result in received], [True, True, False, True])
        self.assertEqual(store.calls, [(0,), (1, 2, 3), (1,), (2,), (3,)])

    async def test_a_store_that_raises_does_not_end_the_thread(self) -> None:
        store, results = BlockingStore(raised=[1]), Results(3)
        await self.submit_while_blocked(store, 3, self.writer(store), results)
        received = await results.wait()
        self.assertIsInstance(received[1][1].failure(), StoreFailed)
        self.assertEqual(received[2], (2, Success(None)))

    async def test_an_error_in_one_callback_does_not_affect_the_others(self) -> None:
        store, results = BlockingStore(), Results(3)
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        writer = self.writer(store)
        writer.submit(Write(0), results.done)
        await asyncio.to_thread(store.entered.wait, DEADLINE_S)
        writer.submit(Write(1), lambda write, result: [][0])
        writer.submit(Write(2), results.done)
        writer.submit(Write(3), results.done)
        store.released.set()
        self.assertEqual([token for token, _ in await results.wait()], [0, 2, 3])

    async def test_close_finishes_the_queue_and_closes_the_store(self) -> None:
        store, results = BlockingStore(), Results(3)
        writer = self.writer(store)
        await self.submit_while_blocked(store, 3, writer, results)
        writer.close()
        writer.close()
        await results.wait()
        self.assertTrue(await asyncio.to_thread(writer.join, DEADLINE_S))
        self.assertTrue(store.closed.is_set())

    async def test_close_does_not_wait_for_the_disk(self) -> None:
        store, results = BlockingStore(), Results(1)
        writer = self.writer(store)
        writer.submit(Write(0), results.done)
        await asyncio.to_thread(store.entered.wait, DEADLINE_S)
        writer.close()
        self.assertFalse(writer.join(0.0))
        store.released.set()
        await results.wait()

    async def test_a_closed_writer_rejects_writes(self) -> None:
        store, results = BlockingStore(), Results(1)
        writer = self.writer(store)
        writer.close()
        writer.submit(Write(0), results.done)
        self.assertIsInstance((await results.wait())[0][1].failure(), StoreClosed)
        self.assertEqual(store.calls, [])

    async def test_an_idle_writer_ends_at_close(self) -> None:
        store = BlockingStore()
        writer = self.writer(store)
        writer.close()
        self.assertTrue(await asyncio.to_thread(writer.join, DEADLINE_S))

    async def test_writes_reported_as_done_are_in_the_store(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            store = open_store(folder, lambda: REPLICA_ID).unwrap()
            writer, results = self.writer(store), Results(41)
            for index in range(1, 41):
                writer.submit(Write(index, HardState(index), entries=entries(index, index)), results.done)
            writer.submit(Write(41, entries=entries(50, 50)), results.done)
            received = await results.wait()
            self.assertEqual([result for _, result in received[:40]], [Success(None)] * 40)
            self.assertIsInstance(received[40][1].failure(), WriteOutOfOrder)
            writer.close()
            self.assertTrue(await asyncio.to_thread(writer.join, DEADLINE_S))
            again = open_store(folder, lambda: "another").unwrap()
            self.assertEqual(loaded(again), DurableState(HardState(40), entries=entries(1, 40)))
            again.close()


class ClosedLoopTest(IsolatedAsyncioTestCase):
    async def test_the_thread_ends_even_if_the_loop_is_closed(self) -> None:
        store = BlockingStore()
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
