"""A machine's disk in virtual time. It can hang, be full, be slow, lose unsynced writes or be lost."""

from __future__ import annotations

import asyncio
from collections import deque
from random import Random

from attrs import frozen
from returns.result import Failure, Result, Success

from brackenladder.consensus.types import DurableState, Write
from brackenladder.simulation.virtual_loop import MICROSECONDS, Process, VirtualEventLoop
from brackenladder.storage.log_store import StoreError, StoreFull
from brackenladder.storage.memory_log import MemoryLogStore
from brackenladder.storage.writer import WriteCallback

SYNC_TIME = 2_000  # microseconds that a healthy disk takes to sync
HANG_POLL_TIME = 20_000  # microseconds between two checks whether a hanging disk responds again


class Disk:
    """The data that survives the end of a process and a loss of power."""

    def __init__(self, loop: VirtualEventLoop, random: Random, replica_id: str) -> None:
        self.loop = loop
        self.random = random
        self.log = MemoryLogStore(replica_id)
        self.restart_file = b""
        self.sync_time = SYNC_TIME
        self.hangs = False
        self.full = False
        self.written = 0  # number of writes that became durable
        self.created_at = loop.microseconds

    @property
    def replica_id(self) -> str:
        """The id of the replica whose log is stored here."""
        return self.log.identity.replica_id

    def load(self) -> DurableState:
        """Returns the state that a newly started process reads."""
        self.log = self.log.reopen()
        return self.log.load().unwrap()

    def apply(self, write: Write) -> Result[None, StoreError]:
        """Makes a write durable."""
        if self.full:
            return Failure(StoreFull("no room"))
        self.written += 1
        return self.log.apply(write)


@frozen
class _Pending:
    write: Write
    done: WriteCallback


class SimulatedWriter:
    """The `StoreWriter` of one process. Writes become durable in batches, one batch at a time."""

    def __init__(self, disk: Disk, process: Process) -> None:
        self._disk = disk
        self._process = process
        self._queue: deque[_Pending] = deque()
        self._batch: tuple[_Pending, ...] = ()
        self._stopped = False

    def submit(self, write: Write, done: WriteCallback) -> None:
        """See `StoreWriter.submit`."""
        self._queue.append(_Pending(write, done))
        self._begin()

    def close(self) -> None:
        """Does nothing: what was submitted is still written."""

    def join(self, timeout_s: float) -> bool:
        """Returns at once: a simulated run has no writer thread."""
        return True

    def power_lost(self) -> None:
        """Makes the current batch durable as a whole or not at all, at random. Later writes are lost."""
        self._stopped = True
        if self._batch and self._disk.random.random() < 0.5:
            for pending in self._batch:
                self._disk.apply(pending.write)

    def killed(self) -> None:
        """Makes the current batch durable: the system completes its writes after the process has ended."""
        self._stopped = True
        for pending in self._batch:
            self._disk.apply(pending.write)

    def _begin(self) -> None:
        if self._batch or not self._queue:
            return
        self._batch = tuple(self._queue)
        self._queue.clear()
        self._schedule_end(self._disk.sync_time)

    def _schedule_end(self, delay: int) -> None:
        loop = self._disk.loop
        loop.call_external(loop.microseconds + delay, self._end)

    def _end(self) -> None:
        if self._stopped:
            return
        if self._disk.hangs:
            self._schedule_end(HANG_POLL_TIME)
            return
        finished, self._batch = self._batch, ()
        for pending in finished:
            result = self._disk.apply(pending.write)
            self._notify(pending, result)
        self._begin()

    def _notify(self, pending: _Pending, result: Result[None, StoreError]) -> None:
        process = self._process
        process.when_running(lambda: process.run(pending.done, pending.write, result))


class SimulatedRestartFile:
    """The `RestartFile` of one process."""

    def __init__(self, disk: Disk) -> None:
        self._disk = disk

    async def read(self) -> Result[bytes, StoreError]:
        """See `RestartFile`."""
        await self._wait()
        return Success(self._disk.restart_file)

    async def write(self, data: bytes) -> Result[None, StoreError]:
        """See `RestartFile`."""
        await self._wait()
        if self._disk.full:
            return Failure(StoreFull("no room"))
        self._disk.restart_file = data
        return Success(None)

    async def _wait(self) -> None:
        await asyncio.sleep(self._disk.sync_time / MICROSECONDS)
        while self._disk.hangs:
            await asyncio.sleep(HANG_POLL_TIME / MICROSECONDS)
