"""The thread that makes log writes durable without blocking the event loop."""

from __future__ import annotations

from asyncio import AbstractEventLoop
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from threading import Condition, Thread
from typing import Protocol

from attrs import frozen
from returns.result import Failure, Result, Success

from brackenladder.consensus.types import Write
from brackenladder.storage.log_store import BatchLogStore, LogStore, StoreClosed, StoreError, StoreFailed

MAX_BATCH = 64  # writes in one transaction
MAX_BATCH_BYTES = 1 << 20  # bytes of data after which no more writes are added to a transaction

WriteCallback = Callable[[Write, Result[None, StoreError]], None]


@frozen
class PendingWrite:
    """A write that waits in the queue, and the callback that gets its result."""

    write: Write
    done: WriteCallback


@frozen
class FinishedWrite:
    """A write that is durable or has failed."""

    pending: PendingWrite
    result: Result[None, StoreError]


class LogWriter(Protocol):
    """Makes writes durable in the order of their submission."""

    def submit(self, write: Write, done: WriteCallback) -> None:
        """Queues a write; `done` is called in the event loop once it is durable or has failed."""

    def close(self) -> None:
        """Accepts no more writes; those already queued are still made durable."""

    def join(self, timeout_s: float) -> bool:
        """Waits for the queued writes after `close`; False if they were not done in time."""


class StoreWriter:
    """Applies writes to `store` in a separate thread, in order.

    Writes that queue up while another one is in progress share a transaction. `done` is called in `loop`, in
    the order of submission. The thread sleeps while there is nothing to write.
    """

    def __init__(self, store: LogStore, loop: AbstractEventLoop) -> None:
        self._store = store
        self._loop = loop
        self._changed = Condition()  # guards `_queue` and `_closing`
        self._queue: deque[PendingWrite] = deque()
        self._closing = False
        self._thread = Thread(target=self._run, name="store-writer", daemon=True)
        self._thread.start()

    def submit(self, write: Write, done: WriteCallback) -> None:
        """Queues a write without blocking on the disk."""
        pending = PendingWrite(write, done)
        with self._changed:
            refused = self._closing
            if not refused:
                self._queue.append(pending)
                self._changed.notify()
        if refused:
            self._report((FinishedWrite(pending, Failure(StoreClosed("the writer is closed"))),))

    def close(self) -> None:
        """Accepts no more writes. The thread applies the queued ones, closes the store and ends."""
        with self._changed:
            self._closing = True
            self._changed.notify()

    def join(self, timeout_s: float) -> bool:
        """Waits for the thread to end after `close`; False if it did not end in time."""
        self._thread.join(timeout_s)
        return not self._thread.is_alive()

    def _run(self) -> None:
        while batch := self._next_batch():
            self._report(self._apply(batch))
        self._store.close()

    def _next_batch(self) -> tuple[PendingWrite, ...]:
        """Waits for writes; returns an empty batch once the writer is closed and the queue is empty."""
        with self._changed:
            while not self._queue and not self._closing:
                self._changed.wait()
            batch: list[PendingWrite] = []
            room = MAX_BATCH_BYTES
            while self._queue and room > 0 and len(batch) < MAX_BATCH:
                batch.append(self._queue.popleft())
                room -= _data_bytes(batch[-1].write)
            return tuple(batch)

    def _apply(self, batch: tuple[PendingWrite, ...]) -> tuple[FinishedWrite, ...]:
        if len(batch) > 1:
            together = self._attempt(tuple(pending.write for pending in batch))
            if isinstance(together, Success):
                return tuple(FinishedWrite(pending, together) for pending in batch)
        return tuple(FinishedWrite(pending, self._attempt((pending.write,))) for pending in batch)

    def _attempt(self, writes: tuple[Write, ...]) -> Result[None, StoreError]:
        try:
            if len(writes) == 1:
                return self._store.apply(writes[0])
            return self._apply_together(writes)
        except Exception as error:  # the thread must not end while callers wait for results
            return Failure(StoreFailed(f"{type(error).__name__}: {error}"))

    def _apply_together(self, writes: tuple[Write, ...]) -> Result[None, StoreError]:
        if isinstance(self._store, BatchLogStore):
            return self._store.apply_batch(writes)
        return Failure(StoreFailed("the store takes one write at a time"))

    def _report(self, finished: tuple[FinishedWrite, ...]) -> None:
        with suppress(RuntimeError):  # the loop is closed, so nobody waits for the result
            self._loop.call_soon_threadsafe(self._deliver, finished)

    def _deliver(self, finished: tuple[FinishedWrite, ...]) -> None:
        for one in finished:  # a separate callback each, so that an error in one does not affect the others
            self._loop.call_soon(one.pending.done, one.pending.write, one.result)


def _data_bytes(write: Write) -> int:
    snapshot = 0 if write.snapshot is None else len(write.snapshot.data)
    return snapshot + sum(len(entry.data) for entry in write.entries)
