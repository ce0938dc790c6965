"""A log store in memory, for tests and rehearsals."""

from __future__ import annotations

from attrs import define, field
from returns.result import Failure, Result, Success

from brackenladder.consensus.types import DurableState, Entry, HardState, Snapshot, Write
from brackenladder.storage.log_store import FORMAT, LogSpan, StoreClosed, StoreError, StoreIdentity


@define
class _Content:
    """What a disk would hold."""

    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    entries: list[Entry] = field(factory=list)
    span: LogSpan = LogSpan()


class MemoryLogStore:
    """Keeps the log for as long as the object, or one that `reopen` gave, is held."""

    def __init__(self, replica_id: str) -> None:
        self.identity = StoreIdentity(replica_id, FORMAT)
        self._content = _Content()
        self._closed = False

    def reopen(self) -> MemoryLogStore:
        """The store as a restarted process finds it; this object is closed."""
        self.close()
        store = MemoryLogStore(self.identity.replica_id)
        store._content = self._content
        return store

    def load(self) -> Result[DurableState, StoreError]:
        """All that was applied."""
        if self._closed:
            return Failure(StoreClosed("the store is closed"))
        content = self._content
        return Success(DurableState(content.hard_state, content.snapshot, tuple(content.entries)))

    def apply(self, write: Write) -> Result[None, StoreError]:
        """Takes effect as a whole or not at all."""
        if self._closed:
            return Failure(StoreClosed("the store is closed"))
        return self._content.span.after(write).map(lambda span: self._change(write, span))

    def close(self) -> None:
        """Refuses everything from now on."""
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
