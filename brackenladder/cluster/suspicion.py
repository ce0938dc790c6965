"""The suspicion timeout of Lifeguard: it shrinks as more members suspect the same member independently.

Lifeguard (Dadgar, Phillips, Currey: Local health awareness for more accurate failure detection, 2018): the
timeout falls from MAX_TIMEOUT to MIN_TIMEOUT with the logarithm of the number of confirmations. MIN_TIMEOUT
allows for a process that is suspended for 2 s from the start of a probe on: it can resume, learn of the
suspicion and refute it in time. If many members are suspected at once the timeouts are extended, because
all refutations share one byte budget.
"""

from __future__ import annotations

from math import log

# Microseconds from the suspicion, which itself begins after an unanswered probe of two periods.
MIN_TIMEOUT = 1_850_000
MAX_TIMEOUT = 3_600_000
MAX_CONFIRMATIONS = 3  # confirmations by other members after which MIN_TIMEOUT applies


class Suspicion:
    """The suspicion of one member.

    `confirmers`: how many other members could confirm the suspicion; if there are none,
    MIN_TIMEOUT applies immediately.
    """

    __slots__ = ("reporters", "confirmation_requested", "needed", "since")

    def __init__(self, now: int, reporter: int, confirmers: int) -> None:
        self.since = now
        # The suspect and others have been asked again before it is declared dead.
        self.confirmation_requested = False
        self.reporters = {reporter}
        self.needed = min(MAX_CONFIRMATIONS, max(0, confirmers))

    def confirm(self, reporter: int) -> bool:
        """Notes that `reporter` suspects the member too. Returns whether to gossip this confirmation."""
        if reporter in self.reporters or len(self.reporters) > self.needed:
            return False
        self.reporters.add(reporter)
        return True

    def deadline(self, queue_time: int = 0) -> int:
        """When the suspect is declared dead unless it refutes the suspicion.

        `queue_time`: microseconds that sending the gossip about the other suspects takes.
        """
        if not self.needed:
            return self.since + MIN_TIMEOUT + queue_time
        progress = log(len(self.reporters)) / log(self.needed + 1)
        return (
            self.since
            + max(MIN_TIMEOUT, round(MAX_TIMEOUT - progress * (MAX_TIMEOUT - MIN_TIMEOUT)))
            + queue_time
        )

    def restart(self, now: int) -> None:
        """Restarts the timeout, because this node could not receive a refutation for a while."""
        self.since = now
        self.confirmation_requested = False
