"""Detects that this process was stalled, so that its server list may be outdated. Pure.

A process that was stopped, or got no CPU time, resumes with both requests and list updates waiting in its
sockets, in no particular order. The platform counts an update as delivered from the time it was written.
"""

from __future__ import annotations

BEAT_INTERVAL = 0.1  # seconds between two calls of `beat` by a timer of the event loop
STALL_THRESHOLD = 0.2  # a longer gap between beats, in seconds, is a stall; the platform's rule allows 0.25 s
# Seconds after a stall in which list updates that are already waiting are read before requests are sent.
RESUME_GRACE = 0.05
READ_FIRST_DELAY = 0.002  # seconds for which a request is held back while `must_read_first` returns True


class StallDetector:
    """Detects gaps between the beats of the event loop. `now`: seconds of a monotonic clock."""

    def __init__(self, now: float) -> None:
        self.beat_at = now
        self.grace_until = now

    def beat(self, now: float) -> None:
        if now - self.beat_at > STALL_THRESHOLD:
            self.grace_until = now + RESUME_GRACE
        self.beat_at = now

    def must_read_first(self, now: float) -> bool:
        """Whether list updates may be waiting that have to be read before a request is sent.

        Without this, a node that was stalled while a server was withdrawn might read a request before the
        list update, and send it to that server long after the update was delivered.
        """
        return now < self.grace_until or now - self.beat_at > STALL_THRESHOLD
