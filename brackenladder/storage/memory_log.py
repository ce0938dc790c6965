"""A log store in memory, for tests and simulations."""

from __future__ import annotations

from attrs import define, field
from returns.result import Failure, Result, Success

from brackenladder.consensus.types import DurableState, Entry, HardState, Snapshot, Write
from brackenladder.storage.log_store import FORMAT, LogSpan, StoreClosed, StoreError, StoreIdentity


@define
class _Content:
    """What a store on disk would contain."""

    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    entries: list[Entry] = field(factory=list)
    span: LogSpan = LogSpan()


class MemoryLogStore:
    """Keeps the log in memory. `reopen` passes it on to a new store object."""

    def __init__(self, replica_id: str) -> None:
        self.identity = StoreIdentity(replica_id, FORMAT)
        self._content = _Content()
        self._closed = False

    def reopen(self) -> MemoryLogStore:
        """Closes this object and returns a store with the same content, as after a process restart."""
        self.close()
        store = MemoryLogStore(self.identity.replica_id)
        store._content = self._content
        return store

    def load(self) -> Result[DurableState, StoreError]:
        """Returns everything that was applied."""
        if self._closed:
            return Failure(StoreClosed("the store is closed"))
        content = self._content
        return Success(DurableState(content.hard_state, content.snapshot, tuple(content.entries)))

    def apply(self, write: Write) -> Result[None, StoreError]:
        """Applies a write completely or, if it does not fit the log, not at all."""
        if self._closed:
            return Failure(StoreClosed("the store is closed"))
        return self._content.span.after(write).map(lambda span: self._change(write, span))

    def close(self) -> None:
        """Closes the store; later calls fail."""
        self._closed = True

    def _change(self, write: Write, span: LogSpan) -> None:
        content = self._content
        kept = [] if write.clear else content.entries
        content.snapshot = write.snapshot or content.snapshot
        kept = [entry for entry in kept if entry.index > span.base] if write.snapshot else kept
        if write.truncate_from:
            kept = [entry for entry in kept if entry.index < write.truncate_from]
        kept.extend(write.entries)
        content.entries = kept
        content.hard_state = write.hard_state or content.hard_state
        content.span = span
