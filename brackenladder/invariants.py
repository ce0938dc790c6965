"""Invariants that the programs check while they run, and counters of violations.

An invariant is checked where it takes effect, independently of the code that is responsible for it. A
violation is counted and logged but never ends the process, as a running process still serves clients. Tests
and soak runs require that there are no violations.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from enum import Enum
from threading import Lock

import logbook

BROKEN = "invariant broken"  # the start of a violation's log line
MAX_LINES = 50  # log lines per invariant and process; later violations are only counted

log = logbook.Logger("invariants")


class Invariant(Enum):
    """Conditions that must always hold. A route's home regions are the only ones that may serve it."""

    DIRECTORY_KEEPS_HOMES = "directory-keeps-homes"  # clients are only directed to their host's home regions
    SERVER_KEEPS_HOMES = "server-keeps-homes"  # requests only go to servers in the route's home regions
    SERVER_TAKES_REQUESTS = "server-takes-requests"  # no request to a draining, removed or evacuated server
    CONNECTION_CARRIES_ID_ONCE = "connection-carries-id-once"  # so that a request id names one answer on it
    CALL_ENDS_IN_TIME = "call-ends-in-time"  # no call lasts more than a second past its time limit


class InvariantChecks:
    """Counts the violations of each invariant. Thread-safe."""

    def __init__(self) -> None:
        self._lock = Lock()
        self._counts: Counter[Invariant] = Counter()

    def check(self, invariant: Invariant, holds: bool, detail: str) -> bool:
        """Counts and logs a violation if the invariant doesn't hold. Returns whether it holds."""
        if holds:
            return True
        with self._lock:
            self._counts[invariant] += 1
            number = self._counts[invariant]
        if number <= MAX_LINES:
            log.error("{}: {}: {}", BROKEN, invariant.value, detail)
        return False

    def violations(self) -> dict[Invariant, int]:
        """Returns the number of violations of each invariant that was violated."""
        with self._lock:
            return dict(self._counts)

    @property
    def total(self) -> int:
        """The sum of the violations of all invariants."""
        return sum(self.violations().values())

    @contextmanager
    def restoring_counts(self) -> Iterator[None]:
        """Restores the counts at the end of the block, for tests that violate an invariant on purpose."""
        before = self.violations()
        try:
            yield
        finally:
            with self._lock:
                self._counts = Counter(before)


VIOLATIONS = InvariantChecks()  # the counts of this process
