"""Servers in virtual time: cores, a bounded queue, a cold start, drains and ends, as the stand-ins have."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from heapq import heapify, heapreplace
from random import Random
from typing import Protocol

from brackenladder.fleet.queue import Queue
from brackenladder.rehearsal.events import Arrived, Closed, Down, Event, Replied, Up
from brackenladder.rehearsal.plan import MICRO, ServerPlan, Step
from brackenladder.rehearsal.scenario import Servers as ServersTable


class Visitor(Protocol):
    """A node's attempt, as its server sees it."""

    id: str
    klass: int

    def answered(self, how: str) -> None:
        """The last byte of the answer is on its way: served, error or rejected."""

    def reset(self) -> None:
        """The connection was reset by the server."""


class Attempt:
    """A request that has come whole."""

    __slots__ = ("number", "visitor", "work", "done")

    def __init__(self, number: int, visitor: Visitor, work: int) -> None:
        self.number = number
        self.visitor = visitor
        self.work = work
        self.done = False


class Server:
    """One process. `cold_since`: when it started, if it began cold; -1 if not."""

    def __init__(
        self,
        plan: ServerPlan,
        table: ServersTable,
        work_ms: tuple[tuple[float, float], ...],
        steps: list[Step],
        queue: Queue,
        begin: int,
        note: Callable[[Event], None],
        number: Callable[[], int],
    ) -> None:
        self.plan = plan
        self.table = table
        self.work_ms = work_ms
        self.steps = steps
        self.queue = queue
        self.begin = begin
        self.note = note
        self.number = number
        self.alive = False  # takes connections
        self.cold_since = -1
        self.running = 0
        self.busy_until: list[int] = []  # of the cores that work
        self.waiting: deque[Attempt] = deque()
        self.open: set[Attempt] = set()

    def rise(self, started_ms: int, cold: bool) -> None:
        """The process starts."""
        self.alive = True
        self.cold_since = self.queue.now if cold else -1
        self.running = 0
        self.busy_until.clear()
        warm = round(self.table.warm_s * MICRO)
        self.note(
            Up(
                self.queue.now,
                self.plan.id,
                f"{self.plan.zone}/{self.plan.cell}",
                started_ms,
                self.plan.cores * self.plan.speed,
                self.table.cold_share if cold else 1.0,
                warm if cold else 0,
            )
        )

    def die(self) -> None:
        """The process ends: every connection is reset."""
        if not self.alive:
            return
        self.alive = False
        self.note(Down(self.queue.now, self.plan.id))
        self.waiting.clear()
        for attempt in sorted(self.open, key=lambda a: a.number):
            self.cut(attempt)

    def retire(self) -> None:
        """It takes no connections any more, and finishes what it holds."""
        if self.alive:
            self.alive = False
            self.note(Down(self.queue.now, self.plan.id))

    def fault(self, *kinds: str) -> Step | None:
        """The fault of these kinds that is on now."""
        time = self.queue.now - self.begin
        for step in self.steps:
            if step.kind in kinds and step.at <= time < step.end:
                return step
        return None

    def touched(self, *kinds: str, name: str) -> bool:
        """Whether a fault of these kinds is on that touches this request, as in the stand-ins."""
        step = self.fault(*kinds)
        return step is not None and (step.share >= 1 or Random(f"{step.at} {name}").random() < step.share)

    def speed(self) -> float:
        """Of a core now, against the standard one."""
        t = self.table
        if self.cold_since < 0 or not t.warm_s:
            return self.plan.speed
        warm = min(1.0, (self.queue.now - self.cold_since) / (t.warm_s * MICRO))
        return self.plan.speed * (t.cold_share + (1 - t.cold_share) * warm)

    def time_to_core(self) -> int:
        """Microseconds until a core is free for a request that came now, at the present speed."""
        speed = self.speed()
        free = [0] * (self.plan.cores - len(self.busy_until))
        free += [max(0, until - self.queue.now) for until in self.busy_until]
        heapify(free)
        for attempt in self.waiting:
            if not attempt.done:
                heapreplace(free, free[0] + round(attempt.work / speed))
        return free[0]

    def work_for(self, klass: int, name: str) -> int:
        """Microseconds on a standard core; the stand-ins draw the same for this request."""
        low, high = self.work_ms[klass]
        return round(1000 * Random(f"work {name}").uniform(low, high))

    def work_of(self, visitor: Visitor) -> int:
        """The same of an attempt."""
        return self.work_for(visitor.klass, visitor.id)

    def arrive(self, visitor: Visitor, first: int) -> Attempt | None:
        """A request's last byte has come; None if nobody listens."""
        if not self.alive or self.fault("closed") is not None:
            return None
        work = self.work_of(visitor)
        attempt = Attempt(self.number(), visitor, work)
        self.open.add(attempt)
        self.note(Arrived(self.queue.now, first, self.plan.id, attempt.number, visitor.id, work, False))
        if self.touched("reset-late", name=visitor.id):
            self.cut(attempt)
        elif self.touched("reject", name=visitor.id) or len(self.waiting) >= self.table.queue:
            self.reply(attempt, "rejected")
        else:
            self.waiting.append(attempt)
            self.work()
        return attempt

    def work(self) -> None:
        """Gives waiting requests to free cores."""
        while self.waiting and self.running < self.plan.cores:
            attempt = self.waiting.popleft()
            if not attempt.done:
                self.running += 1
                time = round(attempt.work / self.speed())
                self.busy_until.append(self.queue.now + time)
                self.queue.after(time, self.worked, attempt, self.cold_since)

    def worked(self, attempt: Attempt, life: int) -> None:
        """A core is free, if the process is still the one whose core it was."""
        if life != self.cold_since:
            return
        self.running -= 1
        self.busy_until.remove(min(self.busy_until))
        if not attempt.done:
            step = self.fault("stall")
            if step is not None and self.touched("stall", name=attempt.visitor.id):
                self.queue.at(self.begin + step.end, self.reply, attempt, "served")
            else:
                self.reply(attempt, "error" if self.touched("error", name=attempt.visitor.id) else "served")
        self.work()

    def reply(self, attempt: Attempt, how: str) -> None:
        if attempt.done:
            return
        attempt.done = True
        self.open.discard(attempt)
        self.note(Replied(self.queue.now, self.plan.id, attempt.number, attempt.visitor.id, how))
        attempt.visitor.answered(how)

    def cut(self, attempt: Attempt) -> None:
        """Resets the connection."""
        self.left(attempt, "server")
        attempt.visitor.reset()

    def left(self, attempt: Attempt, by: str = "node") -> None:
        """The connection has ended before the whole answer; what waits for a core is dropped."""
        if not attempt.done:
            attempt.done = True
            self.open.discard(attempt)
            self.note(Closed(self.queue.now, self.plan.id, attempt.number, attempt.visitor.id, by))
