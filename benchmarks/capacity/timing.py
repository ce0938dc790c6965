"""Measuring one piece of work: its CPU, and the memory that it leaves taken.

CPU is that of this thread, as the best of several rounds: a busy machine slows a round, it never speeds one.
"""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from attrs import define

ROUNDS = 5
MICROSECONDS = 1_000_000


@define
class Best:
    """The CPU of the shortest of several rounds."""

    seconds: float = float("inf")

    @contextmanager
    def round(self) -> Iterator[None]:
        """Measure what happens inside as one round."""
        began = time.thread_time()
        yield
        self.seconds = min(self.seconds, time.thread_time() - began)

    def microseconds(self, units: int) -> float:
        """What one of so many units took."""
        return self.seconds * MICROSECONDS / units


def best_of(work: Callable[[], object], units: int, rounds: int = ROUNDS) -> float:
    """Microseconds of CPU a unit, of work that may be repeated."""
    best = Best()
    for _ in range(rounds):
        with best.round():
            work()
    return best.microseconds(units)


def memory_of(build: Callable[[], object]) -> int:
    """Bytes that an object holds on to."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    kept = build()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return after - before
