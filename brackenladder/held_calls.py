"""Detects calls that don't end soon after their time limits. The current time is passed in as an argument.

Such a call waits for an event that never comes, for example because a cancellation was dropped or the end of
a connection wasn't reported. Without this check, only the client that gave up would notice.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

from brackenladder.invariants import VIOLATIONS, Invariant, InvariantChecks

TOLERANCE = 1_000_000  # microseconds for which a call may last past its limit
LONGEST_STEP = 500_000  # microseconds that a longer gap between two checks (after a suspension) counts as


class HeldCall:
    """An open call. `limit`: the time by which it has to end. The code that serves the call may change it."""

    __slots__ = ("name", "limit", "past_limit", "reported")

    def __init__(self, name: str, limit: int) -> None:
        self.name = name
        self.limit = limit
        self.past_limit = 0  # microseconds past the limit, except while the process was suspended
        self.reported = False


class HeldCalls:
    """The open calls of a process. Times are microseconds of one monotonic clock."""

    def __init__(self, violations: InvariantChecks = VIOLATIONS, tolerance: int = TOLERANCE) -> None:
        self._violations = violations
        self._tolerance = tolerance
        self._calls: set[HeldCall] = set()
        self._checked_at: int | None = None

    def __len__(self) -> int:
        return len(self._calls)

    @contextmanager
    def track(self, name: str, limit: int) -> Iterator[HeldCall]:
        """Tracks a call for the duration of the `with` block."""
        call = HeldCall(name, limit)
        self._calls.add(call)
        try:
            yield call
        finally:
            self._calls.discard(call)

    def check_limits(self, now: int) -> None:
        """Reports each call that lasts too long as a violation, once. To be called periodically.

        A suspended process can't end its calls, so the time between two checks counts only up to
        `LONGEST_STEP`.
        """
        elapsed = 0 if self._checked_at is None else min(now - self._checked_at, LONGEST_STEP)
        self._checked_at = now
        for call in self._calls:
            self._check_limit(call, now, elapsed)

    def _check_limit(self, call: HeldCall, now: int, elapsed: int) -> None:
        if now <= call.limit:
            call.past_limit = 0
            return
        call.past_limit += min(elapsed, now - call.limit)
        if call.past_limit > self._tolerance and not call.reported:
            call.reported = True
            detail = f"{call.name} is held {(now - call.limit) // 1000} ms past its limit"
            self._violations.check(Invariant.CALL_ENDS_IN_TIME, False, detail)
