"""How long a suspect has to answer: Lifeguard's time that shrinks as others suspect it too, by themselves.

Lifeguard (Dadgar, Phillips, Currey: local health awareness for more accurate failure detection, 2018): the
time falls from MOST to LEAST with the logarithm of the confirmations. LEAST is derived: a pause of 2 s that
begins as a probe does must end, be heard of and be refuted before it is over. Where many are suspected at
once, all of them need longer: their refutations go through one bound on bytes (`crowd` of them).
"""

from __future__ import annotations

from math import log

MIN_TIMEOUT = 1_850_000  # microseconds, behind two periods of a probe
MAX_TIMEOUT = 3_600_000
CONFIRMATIONS = 3  # others that suspect it too, after which it has LEAST


class Suspicion:
    """One suspect. `most`: how many others could confirm it; with none the time is LEAST at once."""

    __slots__ = ("by", "called", "enough", "since")

    def __init__(self, now: int, by: int, most: int) -> None:
        self.since = now
        self.called = False  # the last word was asked for
        self.by = {by}
        self.enough = min(CONFIRMATIONS, max(0, most))

    def confirm(self, by: int) -> bool:
        """Another one suspects it; whether that is news which is worth passing on."""
        if by in self.by or len(self.by) > self.enough:
            return False
        self.by.add(by)
        return True

    def deadline(self, queue_time: int = 0) -> int:
        """Microseconds: from then on it is dead, unless it has refuted. `crowd`: what others' words take."""
        if not self.enough:
            return self.since + MIN_TIMEOUT + queue_time
        part = log(len(self.by)) / log(self.enough + 1)
        return (
            self.since
            + max(MIN_TIMEOUT, round(MAX_TIMEOUT - part * (MAX_TIMEOUT - MIN_TIMEOUT)))
            + queue_time
        )

    def hold(self, now: int) -> None:
        """The time begins anew: who judges could not hear for a while."""
        self.since = now
        self.called = False
