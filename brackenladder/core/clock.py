"""The clock shared by the pools of a node."""

from __future__ import annotations

from time import monotonic_ns, time_ns


class Clock:
    """Unix time at the start plus the monotonic time since then, in microseconds: it never decreases."""

    def __init__(self) -> None:
        self.origin = time_ns() - monotonic_ns()

    def now(self) -> int:
        return (self.origin + monotonic_ns()) // 1000
