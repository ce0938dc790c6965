"""Timeouts of calls to discovery, and when a watch without a response is retried. Pure.

A watch is a long poll. The platform's rule: news that a silent watch misses count as delivered 2 s after the
end of its wait, and a request may be sent to a withdrawn server for 250 ms more. All retries after the end of
the wait have to fit in this time. Random numbers are arguments.
"""

from __future__ import annotations

ANSWER_TIMEOUT = 0.6  # seconds after the end of a watch's wait within which discovery has to answer
# Seconds in which the response with a full list has to begin. Discovery closes calls that have waited 1 s for
# their turn.
FIRST_BYTE_TIMEOUT = 1.2
READ_TIMEOUT = 1.0  # seconds without a further byte after which a partly received response is abandoned
BODY_TIMEOUT = 3.0  # seconds for a whole response
MAX_RETRIES = 4  # retries of a silent call that are made before the load balancer is told of the failure
MIN_PAUSE, MAX_PAUSE = 0.1, 0.3  # bounds, in seconds, of the random pause before each retry except the first
# Largest fraction by which a wait is shortened at random, so that the watches of a fleet don't end together.
JITTER = 0.1


def jittered_wait_ms(longest: int, chance: float) -> int:
    """The wait of a watch in milliseconds: `longest` less a random part. `chance`: from 0 to 1.

    Without jitter, all watches of a fleet that fall silent together would be reopened at the same time.
    Discovery would reject most of them until the time limit for delivering the change is over.
    """
    return round(longest * (1 - JITTER * chance))


class WatchRetry:
    """The retries of one watch over all its calls."""

    def __init__(self) -> None:
        self.tries = 0

    def answered(self) -> None:
        self.tries = 0

    def failed(self, silent: bool, chance: float) -> float | None:
        """Seconds until a failed call is retried, or None if the load balancer decides when.

        `silent`: nothing was received in time; other failures count as a response. A silent watch is retried
        quickly: after a fixed time, every watcher is assumed to have the changes of the server list, and a
        longer backoff would exceed that time.
        """
        if silent and not self.tries:
            self.tries = 1
            return 0.0
        if 0 < self.tries < MAX_RETRIES:
            self.tries += 1
            return MIN_PAUSE + (MAX_PAUSE - MIN_PAUSE) * chance
        self.tries = 0
        return None
