"""Watches that every call ends soon after its own time limit. Pure: the time comes in as an argument.

Failure prevented: a wait loses its end (a cancellation that was dropped, a connection whose end nobody is
told), the call is held for ever, and nothing shows it but a client that gave up long ago.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

from brackenladder.invariants import VIOLATIONS, Invariant, InvariantChecks

TOLERANCE = 1_000_000  # microseconds past its limit for which a call may be held
LONGEST_STEP = 500_000  # microseconds between two looks that count; beyond it the process stood still


class HeldCall:
    """A call under way. `limit`: when it has to have ended; whoever serves the call may move it."""

    __slots__ = ("name", "limit", "past_limit", "reported")

    def __init__(self, name: str, limit: int) -> None:
        self.name = name
        self.limit = limit
        self.past_limit = 0  # microseconds of attended time since the first look after the limit
        self.reported = False


class HeldCalls:
    """The calls of one process. Times are microseconds of one monotonic clock."""

    def __init__(self, violations: InvariantChecks = VIOLATIONS, tolerance: int = TOLERANCE) -> None:
        self._violations = violations
        self._tolerance = tolerance
        self._calls: set[HeldCall] = set()
        self._looked_at: int | None = None

    def __len__(self) -> int:
        return len(self._calls)

    @contextmanager
    def track(self, name: str, limit: int) -> Iterator[HeldCall]:
        """The call lasts as long as the block."""
        call = HeldCall(name, limit)
        self._calls.add(call)
        try:
            yield call
        finally:
            self._calls.discard(call)

    def check_limits(self, now: int) -> None:
        """To be called again and again: counts each call that is held too long, once.

        A process that stood still can't have ended its calls, so that the time between two looks counts up
        to `LONGEST_STEP` only.
        """
        since = 0 if self._looked_at is None else min(now - self._looked_at, LONGEST_STEP)
        self._looked_at = now
        for call in self._calls:
            self._look_at(call, now, since)

    def _look_at(self, call: HeldCall, now: int, since: int) -> None:
        if now <= call.limit:
            call.past_limit = 0
            return
        call.past_limit += min(since, now - call.limit)
        if call.past_limit > self._tolerance and not call.reported:
            call.reported = True
            detail = f"{call.name} is held {(now - call.limit) // 1000} ms past its limit"
            self._violations.check(Invariant.CALL_ENDS_IN_TIME, False, detail)
