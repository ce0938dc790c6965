"""Model of a server that becomes slow after overload. Pure: the time is an argument.

A server is overloaded if the mean number of requests it holds over `over_s` exceeds cores + `at` x
sqrt(cores). It then runs `slower` times slower until the mean share of busy cores over `rest_s` is under
`below`, or until `most_s` has passed. This happens at most once per process.
"""

from __future__ import annotations

from collections import deque
from math import sqrt

from brackenladder.rehearsal.plan import MICRO
from brackenladder.rehearsal.scenario import Choke as ChokeTable


class MovingAverage:
    """Time-weighted mean of a level over the last `span` microseconds; 0 counts before the start."""

    __slots__ = ("span", "segments", "weighted_sum", "changed_at", "level")

    def __init__(self, span: int, now: int) -> None:
        self.span = span
        self.segments: deque[tuple[int, int, int]] = deque()  # (start, end, level)
        self.weighted_sum = 0
        self.changed_at = now
        self.level = 0

    def update(self, now: int, level: int) -> float:
        """Returns the mean at `now` and sets the level that holds from then on."""
        if now > self.changed_at:
            self.segments.append((self.changed_at, now, self.level))
            self.weighted_sum += (now - self.changed_at) * self.level
            self.changed_at = now
        self.level = level
        begin, segments = now - self.span, self.segments
        while segments and segments[0][0] < begin:
            start, end, was = segments.popleft()
            self.weighted_sum -= (min(end, begin) - start) * was
            if end > begin:
                segments.appendleft((begin, end, was))
                break
        return self.weighted_sum / self.span


class OverloadState:
    """Overload state of one server process."""

    __slots__ = (
        "settings",
        "threshold",
        "held_average",
        "busy_average",
        "cores",
        "slow_since",
        "rested_from",
        "finished",
    )

    def __init__(self, settings: ChokeTable, cores: int, now: int) -> None:
        self.settings = settings
        self.cores = cores
        self.threshold = cores + settings.at * sqrt(cores)  # overloaded above this mean of held requests
        self.held_average = MovingAverage(round(settings.over_s * MICRO), now)
        self.busy_average = MovingAverage(round(settings.rest_s * MICRO), now)
        self.slow_since = -1  # time when the server became slow; -1: it has not become slow
        self.finished = False

    def observe(self, now: int, held: int, busy: int) -> None:
        """Updates the state: from `now` on the server holds `held` requests and `busy` cores work."""
        if self.finished:
            return
        busy_mean = self.busy_average.update(now, busy) / self.cores
        if self.slow_since < 0:
            if self.held_average.update(now, held) > self.threshold:
                self.slow_since = now
        elif now - self.slow_since >= self.settings.most_s * MICRO or (
            now - self.slow_since >= self.busy_average.span and busy_mean < self.settings.below
        ):
            self.finished = True

    @property
    def slow(self) -> bool:
        return self.slow_since >= 0 and not self.finished

    @property
    def speed(self) -> float:
        """Factor on the server's normal speed."""
        return 1 / self.settings.slower if self.slow else 1.0
