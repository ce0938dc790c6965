"""Detects that this process was suspended, so that the silence meanwhile isn't blamed on other replicas."""

from __future__ import annotations

from brackenladder.consensus.timing import Timing


class PauseGuard:
    """Grants a grace period of one heartbeat after a long gap between ticks.

    In that time the messages that arrived during the suspension can be read.
    """

    def __init__(self, timing: Timing, now: int) -> None:
        self._timing = timing
        self._ticked_at = now
        self._grace_until = now

    def tick(self, now: int) -> None:
        """Handles a tick. A long gap starts a grace period, except soon after the last one.

        Repeated gaps mean that the machine is slow. Granting a grace period for each of them would prevent
        elections.
        """
        gap = now - self._ticked_at
        self._ticked_at = now
        if gap > self._timing.pause and now - self._grace_until > self._timing.election_max:
            self._grace_until = now + self._timing.heartbeat

    def in_grace_period(self, now: int) -> bool:
        """Whether silence of other replicas is ignored, because this process was suspended just before."""
        return now < self._grace_until
