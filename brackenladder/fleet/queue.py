"""The event queue: virtual microseconds, in order of time and, at one instant, of asking. No clock."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

MAX_EVENTS_PER_INSTANT = 100_000  # events at one instant, after which time counts as standing still
NAMED_EVENTS = 5  # of the events that keep it there


class Standstill(Exception):
    """Events at one instant that cause each other without end; the text names them."""


class Timer:
    """An event to come."""

    __slots__ = ("action", "args")

    def __init__(self, action: Callable[..., None], args: tuple[Any, ...]) -> None:
        self.action: Callable[..., None] | None = action
        self.args = args

    def cancel(self) -> None:
        """It will not happen."""
        self.action = None
        self.args = ()


class Queue:
    """`now`: microseconds. It has what `core.Host` asks of an event loop: `call_later`, in seconds."""

    def __init__(self, now: int = 0) -> None:
        self.now = now
        self.heap: list[tuple[int, int, Timer]] = []
        self.sequence = 0
        self.executed = 0  # events that have happened

    def at(self, time: int, action: Callable[..., None], *args: Any) -> Timer:
        """An event at a time; now if it is over."""
        timer = Timer(action, args)
        self.sequence += 1
        heappush(self.heap, (time if time > self.now else self.now, self.sequence, timer))
        return timer

    def after(self, delay: int, action: Callable[..., None], *args: Any) -> Timer:
        """An event in so many microseconds."""
        return self.at(self.now + delay, action, *args)

    def call_later(self, delay: float, action: Callable[..., None], *args: Any) -> Timer:
        """The same in seconds, as an event loop has it."""
        return self.at(self.now + round(delay * 1e6), action, *args)

    def run(self, until: int) -> None:
        """All events up to a time, which is then now. A Standstill if they do not get there."""
        heap = self.heap
        at_this_instant = 0
        while heap and heap[0][0] <= until:
            time, _, timer = heappop(heap)
            action = timer.action
            if action is None:
                continue
            if time > self.now:
                self.now, at_this_instant = time, 0
            at_this_instant += 1
            if at_this_instant > MAX_EVENTS_PER_INSTANT:
                self.raise_standstill(action)
            self.executed += 1
            action(*timer.args)
        self.now = max(self.now, until)

    def raise_standstill(self, action: Callable[..., None]) -> None:
        """Names what happens at this instant over and over."""
        names = [getattr(action, "__qualname__", str(action))]
        for time, _, timer in sorted(self.heap[:NAMED_EVENTS]):
            if time == self.now and timer.action is not None:
                names.append(getattr(timer.action, "__qualname__", str(timer.action)))
        told = ", ".join(dict.fromkeys(names))
        raise Standstill(f"time stands still at {self.now} us after {MAX_EVENTS_PER_INSTANT} events: {told}")
