"""The durable store of a replica's log: the interface, the errors, and which changes of a log are valid."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol, runtime_checkable

from attrs import evolve, frozen
from returns.result import Failure, Result, Success

from brackenladder.consensus.types import DurableState, Entry, Snapshot, Write

FORMAT = 1  # format version on disk; increased when older programs can no longer read the store


@frozen
class StoreIdentity:
    """The replica that owns a store. The id is generated when the store is created and never changes."""

    replica_id: str
    format: int


@frozen
class StoreError:
    """A store operation failed and changed nothing. `detail` is a one-line message."""

    detail: str

    def __str__(self) -> str:
        return f"{type(self).__name__}: {self.detail}"


class StoreFull(StoreError):
    """The disk is full, or the store has reached its size limit. A write that drops entries may succeed."""


class StoreFailed(StoreError):
    """A read, write or sync of the disk failed. The same write may be retried."""


class StoreInUse(StoreError):
    """Another process has the store open."""


class StoreClosed(StoreError):
    """The call came after `close`."""


class StoreForeign(StoreError):
    """The file is not a log store. It is left unchanged."""


class StoreCorrupt(StoreError):
    """The file is a log store with damaged content. It is left unchanged."""


class StoreTooNew(StoreError):
    """The store was written by a newer program in a newer format. It is left unchanged."""


class WriteOutOfOrder(StoreError):
    """The write would leave a gap in the log, or add entries that its snapshot already covers."""


class LogStore(Protocol):
    """Keeps a replica's log across restarts. One writer at a time."""

    @property
    def identity(self) -> StoreIdentity: ...

    def load(self) -> Result[DurableState, StoreError]:
        """Returns everything that was made durable."""

    def apply(self, write: Write) -> Result[None, StoreError]:
        """Applies a write atomically; it is durable on return. After a failure nothing has changed."""

    def close(self) -> None:
        """Releases the store; further calls do nothing."""


@runtime_checkable
class BatchLogStore(Protocol):
    """A log store that can make several writes durable with one sync."""

    def apply_batch(self, writes: Sequence[Write]) -> Result[None, StoreError]:
        """Applies the writes in order; either all of them or none."""


@frozen
class LogSpan:
    """The range of entries in a log: those after `base`, the index of its snapshot, up to `last`."""

    base: int = 0
    last: int = 0

    def after(self, write: Write) -> Result[LogSpan, StoreError]:
        """Returns the range after a write, or an error if the write is not valid for this log."""
        return self._with_snapshot(write).bind(
            lambda span: span._truncated(write.truncate_from)._appended(write.entries)
        )

    def _with_snapshot(self, write: Write) -> Result[LogSpan, StoreError]:
        span = LogSpan(self.base, self.base) if write.clear else self
        if write.snapshot is None:
            return Success(span)
        index = write.snapshot.index
        if write.clear:
            return Success(LogSpan(index, index))
        if index < self.base:
            return Failure(WriteOutOfOrder(f"snapshot at {index} after one at {self.base}"))
        return Success(LogSpan(index, max(index, self.last)))

    def _truncated(self, truncate_from: int) -> LogSpan:
        if not 0 < truncate_from <= self.last:
            return self
        return evolve(self, last=max(self.base, truncate_from - 1))

    def _appended(self, entries: Sequence[Entry]) -> Result[LogSpan, StoreError]:
        last = self.last
        for entry in entries:
            if entry.index != last + 1:
                return Failure(WriteOutOfOrder(f"entry {entry.index} after entry {last}"))
            last = entry.index
        return Success(evolve(self, last=last))


def span_of(snapshot: Snapshot | None, entries: Sequence[Entry]) -> Result[LogSpan, StoreError]:
    """Returns the range of a log that was read; entries must follow the snapshot without a gap."""
    base = 0 if snapshot is None else snapshot.index
    span = LogSpan(base, base).after(Write(0, entries=tuple(entries)))
    return span.alt(lambda error: StoreCorrupt(f"the log has a gap: {error.detail}"))
