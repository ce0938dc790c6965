"""Log lines of failures: one for each kind in a span of time, with how many there were."""

from __future__ import annotations

from collections.abc import Callable

import logbook
from attrs import define

LOG_INTERVAL = 5_000_000  # microseconds between two lines of a kind


@define
class _Kind:
    logged_at: int
    unlogged: int = 0


class FailureLog:
    """Writes a failure to the log unless one of its kind was written a short while ago."""

    def __init__(self, log: logbook.Logger, now: Callable[[], int]) -> None:
        self._log = log
        self._now = now
        self._kinds: dict[str, _Kind] = {}

    def __call__(self, kind: str, detail: str) -> None:
        """A failure of a kind, and what tells it from others of it."""
        now = self._now()
        known = self._kinds.get(kind)
        if known is None:
            self._kinds[kind] = _Kind(now)
            self._log.warning("{}: {}", kind, detail)
        elif now - known.logged_at < LOG_INTERVAL:
            known.unlogged += 1
        else:
            self._log.warning("{}: {} ({} more before)", kind, detail, known.unlogged)
            known.logged_at = now
            known.unlogged = 0
