"""A node's own condition: Lifeguard's local health score, its suspensions, and its connectivity.

A node that receives nothing is `isolated`. While that lasts it cannot know whether the others still receive
what it sends; the first messages afterwards show it. A node that receives messages but gets no replies is
`mute`.
"""

from __future__ import annotations

from collections import deque
from typing import Literal

MAX_SCORE = 7  # highest local health score, as in Lifeguard: timeouts are multiplied by up to 8
PAUSE_GAP = 1_000_000  # a longer gap between ticks, in microseconds, means that the process was suspended
LATE_GAP = 300_000  # a longer gap between ticks, in microseconds, means that the process runs late
ISOLATED_AFTER = 1_600_000  # microseconds without receiving anything after which a node counts as isolated
MUTE_PROBES = 8  # successive unanswered probes after which a node that still receives messages counts as mute
# Microseconds after an isolation in which a report that this node was declared dead shows that the others did
# not receive its messages either.
DIAGNOSIS_WINDOW = 2_000_000

Connectivity = Literal["ok", "isolated", "deaf", "mute"]


class Health:
    """The condition of this node. `score`: Lifeguard's local health, 0 is healthy."""

    def __init__(self, now: int) -> None:
        self.score = 0
        self.last_tick = now
        self.heard_at = now
        self.answered: deque[bool] = deque(maxlen=MUTE_PROBES)
        self.connectivity: Connectivity = "ok"
        self.isolated_since = 0
        # When the last isolation ended; 0: there was none, or its diagnosis has been returned.
        self.isolation_ended_at = 0
        self.answered_since_pause = True  # a probe was answered since the last suspension
        self.pauses = 0

    def degrade(self) -> None:
        self.score = min(MAX_SCORE, self.score + 1)

    def improve(self) -> None:
        self.score = max(0, self.score - 1)

    def scaled(self, time: int) -> int:
        """A timeout scaled by the local health score."""
        return time * (1 + self.score)

    def detect_pause(self, now: int) -> int:
        """Microseconds for which this process was suspended since the last call; 0 if it wasn't."""
        elapsed = now - self.last_tick
        self.last_tick = now
        if elapsed > PAUSE_GAP:
            self.pauses += 1
            self.answered_since_pause = False
            self.heard_at = now
            self.answered.clear()
            return elapsed
        if elapsed > LATE_GAP:
            self.degrade()
        return 0

    def heard(self, now: int) -> None:
        """Notes that something was received from a member."""
        if self.connectivity == "isolated":
            self.connectivity = "ok"
            self.isolation_ended_at = now
        self.heard_at = now

    def record_probe(self, answered: bool) -> None:
        """Notes the end of a probe; `answered`: it was acknowledged, directly or through a helper."""
        self.answered.append(answered)

    def assess(self, now: int, others: int) -> tuple[Connectivity, str]:
        """Returns the current connectivity, and the diagnosis of the last isolation once there is one."""
        diagnosis = ""
        if self.isolation_ended_at and now - self.isolation_ended_at > DIAGNOSIS_WINDOW:
            span = (self.isolation_ended_at - self.isolated_since) / 1e6
            diagnosis = f"received nothing for {span:.1f} s, but others received this node's messages"
            self.isolation_ended_at = 0
        if not others:
            self.connectivity = "ok"
        elif now - self.heard_at > ISOLATED_AFTER:
            if self.connectivity != "isolated":
                self.isolated_since = self.heard_at
            self.connectivity = "isolated"
        elif len(self.answered) == MUTE_PROBES and not any(self.answered):
            self.connectivity = "mute"
        else:
            self.connectivity = "ok"
        return self.connectivity, diagnosis

    def declared_dead(self, now: int) -> str:
        """Handles a report of this node's death. Returns the diagnosis of an isolation that just ended."""
        if not self.isolation_ended_at:
            return ""
        span = (self.isolation_ended_at - self.isolated_since) / 1e6
        self.isolation_ended_at = 0
        return f"was isolated for {span:.1f} s: others did not receive this node's messages either"

    @property
    def may_declare_dead(self) -> bool:
        """Whether this node may declare others dead: it has connectivity and was not just suspended.

        Without this, a node that is isolated, or has just resumed, would declare all others dead.
        """
        return self.connectivity == "ok" and self.answered_since_pause
