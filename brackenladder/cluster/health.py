"""What a node knows of itself: Lifeguard's local health, its own pauses, and whether it hears and is heard.

Nobody can see from inside whether he is deaf or alone: to hear nothing is `isolated` for as long as it lasts,
and what is heard afterwards tells which it was. Whoever hears and is not answered is `mute`.
"""

from __future__ import annotations

from collections import deque
from typing import Literal

MOST_SCORE = 7  # Lifeguard: time-outs grow up to eightfold
GAP = 1_000_000  # microseconds between two ticks, from which on the process was paused
LATE = 300_000  # ...and from which on it runs late
SILENT = 1_600_000  # microseconds with nothing heard, after which a node counts as cut off
MUTE_PROBES = 8  # probes of different members in a row that nobody answered, while others are heard
TELLING = 2_000_000  # microseconds after the end of isolation in which others may say that they buried us

Connectivity = Literal["ok", "isolated", "deaf", "mute"]


class Health:
    """`score`: 0 is well. `word`: how it stands with hearing and being heard."""

    def __init__(self, now: int) -> None:
        self.score = 0
        self.last_tick = now
        self.heard_at = now
        self.answered: deque[bool] = deque(maxlen=MUTE_PROBES)
        self.connectivity: Connectivity = "ok"
        self.cut_off_at = 0
        self.ended_at = 0  # when the last isolation ended; 0: there was none, or it has its name
        self.answered_since_pause = True  # since the last pause somebody has answered
        self.pauses = 0

    def worse(self) -> None:
        self.score = min(MOST_SCORE, self.score + 1)

    def better(self) -> None:
        self.score = max(0, self.score - 1)

    def scaled(self, time: int) -> int:
        """A time-out, by how well this node is."""
        return time * (1 + self.score)

    def gap(self, now: int) -> int:
        """Microseconds for which this process stood still; 0 if it did not."""
        gone = now - self.last_tick
        self.last_tick = now
        if gone > GAP:
            self.pauses += 1
            self.answered_since_pause = False
            self.heard_at = now
            self.answered.clear()
            return gone
        if gone > LATE:
            self.worse()
        return 0

    def heard(self, now: int) -> None:
        """Something came from a member."""
        if self.connectivity == "isolated":
            self.connectivity = "ok"
            self.ended_at = now
        self.heard_at = now

    def probed(self, answered: bool) -> None:
        """A probe is over; `answered`: by its target or through another, and not only heard of."""
        self.answered.append(answered)

    def assess(self, now: int, others: int) -> tuple[Connectivity, str]:
        """How it stands now, and what to say of the isolation that ended, if its name is known."""
        said = ""
        if self.ended_at and now - self.ended_at > TELLING:
            span = (self.ended_at - self.cut_off_at) / 1e6
            said = f"was deaf for {span:.1f} s: others heard this node all along"
            self.ended_at = 0
        if not others:
            self.connectivity = "ok"
        elif now - self.heard_at > SILENT:
            if self.connectivity != "isolated":
                self.cut_off_at = self.heard_at
            self.connectivity = "isolated"
        elif len(self.answered) == MUTE_PROBES and not any(self.answered):
            self.connectivity = "mute"
        else:
            self.connectivity = "ok"
        return self.connectivity, said

    def declared_dead(self, now: int) -> str:
        """Others took this node for dead; what that says of an isolation that has just ended."""
        if not self.ended_at:
            return ""
        span = (self.ended_at - self.cut_off_at) / 1e6
        self.ended_at = 0
        return f"was isolated for {span:.1f} s: others did not hear this node either"

    @property
    def may_declare_dead(self) -> bool:
        """Whether this node's word counts against others: it hears, is heard, and was not just paused.

        Failure prevented: a node that is cut off, or wakes up, takes all others for dead and says so.
        """
        return self.connectivity == "ok" and self.answered_since_pause
