"""Whether this process has just stood still, so that what it knows of the servers may be old. Pure.

A process that was stopped, or got no processor, wakes up with requests and news of the list waiting side by
side, in an order of chance. The platform counts the news as told since they were written.
"""

from __future__ import annotations

BEAT_INTERVAL = 0.1  # seconds between two beats of the loop
STALL_THRESHOLD = 0.2  # seconds without one, from which on it stood still: a rule's grace is 0.25 s
RESUME_GRACE = 0.05  # seconds after it in which what is waiting is read first...
READ_FIRST_DELAY = 0.002  # ...for so long before a request is sent on


class StallDetector:
    """`now`: seconds of a clock that only goes forward."""

    def __init__(self, now: float) -> None:
        self.beat_at = now
        self.wary_until = now

    def beat(self, now: float) -> None:
        if now - self.beat_at > STALL_THRESHOLD:
            self.wary_until = now + RESUME_GRACE
        self.beat_at = now

    def must_read_first(self, now: float) -> bool:
        """Whether news may be waiting that a request must not overtake.

        Failure prevented: a node stood still while a server was withdrawn; it wakes up, reads a request
        before the list, and sends it there long after the list was told.
        """
        return now < self.wary_until or now - self.beat_at > STALL_THRESHOLD
