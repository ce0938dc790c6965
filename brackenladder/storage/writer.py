"""The thread that makes writes of the log durable while the event loop goes on."""

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

LARGEST_BATCH = 64  # writes in one transaction
LARGEST_BATCH_BYTES = 1 << 20  # of data, after which a transaction takes no more writes

WriteCallback = Callable[[Write, Result[None, StoreError]], None]


@frozen
class PendingWrite:
    """A write and who is told its result."""

    write: Write
    done: WriteCallback


@frozen
class FinishedWrite:
    """A write that is durable, or failed."""

    pending: PendingWrite
    result: Result[None, StoreError]


class LogWriter(Protocol):
    """Makes writes durable in the order in which they are submitted."""

    def submit(self, write: Write, done: WriteCallback) -> None:
        """Queues a write; `done` is called in the event loop once it is durable, or was refused."""

    def close(self) -> None:
        """Takes no more writes; those that are queued are still made durable."""

    def join(self, timeout_s: float) -> bool:
        """Waits for the queued writes after `close`; False: the disk still holds them up."""


class StoreWriter:
    """Applies writes to `store` one after another in a thread of its own.

    Writes that queue up behind a slow one share a transaction. `done` is called in `loop`, in the order of
    the submissions. The thread sleeps while there is nothing to write.
    """

    def __init__(self, store: LogStore, loop: AbstractEventLoop) -> None:
        self._store = store
        self._loop = loop
        self._changed = Condition()  # guards the two below
        self._queue: deque[PendingWrite] = deque()
        self._closing = False
        self._thread = Thread(target=self._run, name="store-writer", daemon=True)
        self._thread.start()

    def submit(self, write: Write, done: WriteCallback) -> None:
        """Queues a write. Never blocks on the disk."""
        pending = PendingWrite(write, done)
        with self._changed:
            refused = self._closing
            if not refused:
                self._queue.append(pending)
                self._changed.notify()
        if refused:
            self._report((FinishedWrite(pending, Failure(StoreClosed("the writer is closed"))),))

    def close(self) -> None:
        """Takes no more writes. The thread applies those that are queued, closes the store and ends."""
        with self._changed:
            self._closing = True
            self._changed.notify()

    def join(self, timeout_s: float) -> bool:
        """Waits for the end of the thread after `close`; False: the disk still holds it up."""
        self._thread.join(timeout_s)
        return not self._thread.is_alive()

    def _run(self) -> None:
        while batch := self._next_batch():
            self._report(self._apply(batch))
        self._store.close()

    def _next_batch(self) -> tuple[PendingWrite, ...]:
        """Waits for writes; empty once the writer is closed and its queue done."""
        with self._changed:
            while not self._queue and not self._closing:
                self._changed.wait()
            batch: list[PendingWrite] = []
            room = LARGEST_BATCH_BYTES
            while self._queue and room > 0 and len(batch) < LARGEST_BATCH:
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
        except Exception as error:  # the thread must not end while others wait for it
            return Failure(StoreFailed(f"{type(error).__name__}: {error}"))

    def _apply_together(self, writes: tuple[Write, ...]) -> Result[None, StoreError]:
        if isinstance(self._store, BatchLogStore):
            return self._store.apply_batch(writes)
        return Failure(StoreFailed("the store takes one write at a time"))

    def _report(self, finished: tuple[FinishedWrite, ...]) -> None:
        with suppress(RuntimeError):  # the loop is closed: nobody waits any longer
            self._loop.call_soon_threadsafe(self._deliver, finished)

    def _deliver(self, finished: tuple[FinishedWrite, ...]) -> None:
        for one in finished:  # each as a callback of its own: an error in one keeps none of the others
            self._loop.call_soon(one.pending.done, one.pending.write, one.result)


def _data_bytes(write: Write) -> int:
    snapshot = 0 if write.snapshot is None else len(write.snapshot.data)
    return snapshot + sum(len(entry.data) for entry in write.entries)
