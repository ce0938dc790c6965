"""The clock that a node's pools share."""

from __future__ import annotations

from time import monotonic_ns, time_ns


class Clock:
    """Unix time at the start plus what has passed since, in microseconds: it never goes back."""

    def __init__(self) -> None:
        self.origin = time_ns() - monotonic_ns()

    def now(self) -> int:
        return (self.origin + monotonic_ns()) // 1000
