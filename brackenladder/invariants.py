"""Invariants that the running programs check themselves, and a count of their violations.

A check is made where its constraint takes effect, by another way than the code that is to keep it. A
violation is counted and logged; it never ends a process, since going on serves more clients than an end.
Tests and the soak require that nothing was counted.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from enum import Enum
from threading import Lock

import logbook

BROKEN = "invariant broken"  # how a log line of a violation begins
MOST_LINES = 50  # log lines of one invariant in a process; the count goes on

log = logbook.Logger("invariants")


class Invariant(Enum):
    """What must hold at every moment."""

    DIRECTORY_KEEPS_HOMES = "directory-keeps-homes"  # no client is led past the homes of its host's routes
    SERVER_KEEPS_HOMES = "server-keeps-homes"  # no request with homes goes to a server elsewhere
    SERVER_TAKES_REQUESTS = "server-takes-requests"  # none goes to one told to drain, to be gone or evacuated
    CALL_ENDS_IN_TIME = "call-ends-in-time"  # no call is held for over a second past its time limit


class InvariantChecks:
    """Counts violations; may be used from several threads."""

    def __init__(self) -> None:
        self._lock = Lock()
        self._counts: Counter[Invariant] = Counter()

    def check(self, invariant: Invariant, holds: bool, detail: str) -> bool:
        """Count and log a violation if it doesn't hold; whether it does."""
        if holds:
            return True
        with self._lock:
            self._counts[invariant] += 1
            number = self._counts[invariant]
        if number <= MOST_LINES:
            log.error("{}: {}: {}", BROKEN, invariant.value, detail)
        return False

    def violations(self) -> dict[Invariant, int]:
        """How often each was broken; only those that were."""
        with self._lock:
            return dict(self._counts)

    @property
    def total(self) -> int:
        """All violations."""
        return sum(self.violations().values())

    @contextmanager
    def restoring_counts(self) -> Iterator[None]:
        """For a test that breaks one on purpose: what is counted inside is taken back at the end."""
        before = self.violations()
        try:
            yield
        finally:
            with self._lock:
                self._counts = Counter(before)


VIOLATIONS = InvariantChecks()  # of this process
