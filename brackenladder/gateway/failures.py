"""Rate-limited logging of failures: at most one line of a kind in each interval."""

from __future__ import annotations

from collections.abc import Callable

import logbook
from attrs import define

LOG_INTERVAL = 5_000_000  # microseconds between two log lines about failures of the same kind


@define
class _FailureCount:
    logged_at: int
    unlogged: int = 0


class FailureLog:
    """Logs a failure, unless one of its kind was logged a short while ago; then it is only counted."""

    def __init__(self, log: logbook.Logger, now: Callable[[], int]) -> None:
        self._log = log
        self._now = now
        self._kinds: dict[str, _FailureCount] = {}

    def __call__(self, kind: str, detail: str) -> None:
        """Report a failure of a kind; `detail` says which server or error it was."""
        now = self._now()
        known = self._kinds.get(kind)
        if known is None:
            self._kinds[kind] = _FailureCount(now)
            self._log.warning("{}: {}", kind, detail)
        elif now - known.logged_at < LOG_INTERVAL:
            known.unlogged += 1
        else:
            self._log.warning("{}: {} ({} more since the last line)", kind, detail, known.unlogged)
            known.logged_at = now
            known.unlogged = 0
