"""Notices that this replica itself stood still, so that silence meanwhile says nothing about others."""

from __future__ import annotations

from brackenladder.consensus.timing import Timing


class PauseGuard:
    """After a long gap between ticks, one heartbeat's time for the messages that have waited."""

    def __init__(self, timing: Timing, now: int) -> None:
        self._timing = timing
        self._ticked_at = now
        self._grace_until = now

    def tick(self, now: int) -> None:
        """A tick. Gaps that come again and again are a slow machine, and are not excused each time."""
        gap = now - self._ticked_at
        self._ticked_at = now
        if gap > self._timing.pause and now - self._grace_until > self._timing.election_max:
            self._grace_until = now + self._timing.heartbeat

    def in_grace_period(self, now: int) -> bool:
        """Whether silence is not yet held against others."""
        return now < self._grace_until
