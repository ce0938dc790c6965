"""Event queue in virtual microseconds, ordered by time and, at equal times, by insertion. No clock."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

MAX_EVENTS_PER_INSTANT = 100_000  # more events at one instant count as an endless loop
NAMED_EVENTS = 5  # largest number of events that the error message names


class Standstill(Exception):
    """More than `MAX_EVENTS_PER_INSTANT` events ran at one virtual time; the message names some of them."""


class Timer:
    """Handle of a scheduled event, by which it can be cancelled."""

    __slots__ = ("action", "args")

    def __init__(self, action: Callable[..., None], args: tuple[Any, ...]) -> None:
        self.action: Callable[..., None] | None = action
        self.args = args

    def cancel(self) -> None:
        """Prevents the event from running; its action and arguments are released."""
        self.action = None
        self.args = ()


class Queue:
    """Executes events in the order of their times.

    `call_later` (in seconds) is the part of an event loop that `core.Host` uses.
    """

    def __init__(self, now: int = 0) -> None:
        self.now = now
        self.heap: list[tuple[int, int, Timer]] = []
        self.sequence = 0
        self.executed = 0  # number of executed events

    def at(self, time: int, action: Callable[..., None], *args: Any) -> Timer:
        """Schedules an event at a time, or now if that has passed."""
        timer = Timer(action, args)
        self.sequence += 1
        heappush(self.heap, (time if time > self.now else self.now, self.sequence, timer))
        return timer

    def after(self, delay: int, action: Callable[..., None], *args: Any) -> Timer:
        """Schedules an event after `delay` microseconds."""
        return self.at(self.now + delay, action, *args)

    def call_later(self, delay: float, action: Callable[..., None], *args: Any) -> Timer:
        """Schedules an event after `delay` seconds, like an event loop."""
        return self.at(self.now + round(delay * 1e6), action, *args)

    def run(self, until: int) -> None:
        """Executes all events up to `until` and sets the time to it; raises Standstill in an endless loop."""
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
        """Raises Standstill with the names of the repeating events."""
        names = [getattr(action, "__qualname__", str(action))]
        for time, _, timer in sorted(self.heap[:NAMED_EVENTS]):
            if time == self.now and timer.action is not None:
                names.append(getattr(timer.action, "__qualname__", str(timer.action)))
        told = ", ".join(dict.fromkeys(names))
        raise Standstill(f"time stands still at {self.now} us after {MAX_EVENTS_PER_INSTANT} events: {told}")
