"""The durable store of a replica's log: its interface, its errors, and how the log may change."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol, runtime_checkable

from attrs import evolve, frozen
from returns.result import Failure, Result, Success

from brackenladder.consensus.types import DurableState, Entry, Snapshot, Write

FORMAT = 1  # of the store on disk; raised when an older program can no longer read it


@frozen
class StoreIdentity:
    """Whose store it is. The replica id is made with the store and never changes."""

    replica_id: str
    format: int


@frozen
class StoreError:
    """A store refuses, and keeps what it held. `detail` is one line for people."""

    detail: str

    def __str__(self) -> str:
        return f"{type(self).__name__}: {self.detail}"


class StoreFull(StoreError):
    """The disk, or the store's own bound, has no room. A write that drops entries may succeed."""


class StoreFailed(StoreError):
    """The disk refused to read, write or sync. The same write may be tried again."""


class StoreInUse(StoreError):
    """Another process has the store open."""


class StoreClosed(StoreError):
    """The store was closed by its owner."""


class StoreForeign(StoreError):
    """The file is not a log store. It is left as it is."""


class StoreCorrupt(StoreError):
    """The file is a log store whose content is damaged. It is left as it is."""


class StoreTooNew(StoreError):
    """The store was written in a later format by a later program. It is left as it is."""


class WriteOutOfOrder(StoreError):
    """The write would leave a gap in the log, or go behind its snapshot."""


class LogStore(Protocol):
    """What holds a replica's log over a restart. One writer at a time."""

    @property
    def identity(self) -> StoreIdentity: ...

    def load(self) -> Result[DurableState, StoreError]:
        """All that was made durable."""

    def apply(self, write: Write) -> Result[None, StoreError]:
        """Takes effect as a whole and is durable on return; after a failure nothing has changed."""

    def close(self) -> None:
        """Releases the store; may be called again."""


@runtime_checkable
class BatchLogStore(Protocol):
    """A log store that makes several writes durable for the price of one."""

    def apply_batch(self, writes: Sequence[Write]) -> Result[None, StoreError]:
        """Applies them in order; all of them or none."""


@frozen
class LogSpan:
    """Which entries a log holds: those after `base`, the index of its snapshot, up to `last`."""

    base: int = 0
    last: int = 0

    def after(self, write: Write) -> Result[LogSpan, StoreError]:
        """The span once the write has taken effect, if the log may change in this way."""
        return self._installed(write).bind(
            lambda span: span._truncated(write.truncate_from)._appended(write.entries)
        )

    def _installed(self, write: Write) -> Result[LogSpan, StoreError]:
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
    """The span of a log as it was read; entries must follow the snapshot and one another."""
    base = 0 if snapshot is None else snapshot.index
    span = LogSpan(base, base).after(Write(0, entries=tuple(entries)))
    return span.alt(lambda error: StoreCorrupt(f"the log has a gap: {error.detail}"))
