"""Servers in virtual time: cores, a bounded queue, a cold start, faults and ends, as the stand-ins have.

A server below which there is a further tier holds its core while it calls there, through a node of its own.
With slots it holds a slot instead: the core does half of the work, is free meanwhile, and does the rest.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from heapq import heapify, heapreplace
from random import Random
from typing import Protocol

from brackenladder.fleet.choke import Choke
from brackenladder.fleet.queue import Queue
from brackenladder.rehearsal.checker import capacity_between
from brackenladder.rehearsal.events import Arrived, Begun, Closed, Down, Event, Replied, Up
from brackenladder.rehearsal.plan import MICRO, ServerPlan, Step, work_of
from brackenladder.rehearsal.scenario import Class, Rules
from brackenladder.rehearsal.scenario import Servers as ServersTable

CUT = 5_000  # microseconds in which the first part of an answer goes out before the reset
DRIP = 20_000  # between two bytes of an answer that drips
ANSWER_BYTES = 180  # of an answer, as the stand-ins write it
HELD_BEFORE = 300_000  # microseconds before a drain that answers are held back for
SHUT = ("closed", "backlog", "reset-early")


class Connection(Protocol):
    """A node's connection, as its server sees it."""

    shut: bool
    limited: bool
    early: bool
    holds: object

    @property
    def node(self) -> str:
        """Whose it is."""

    def lost(self) -> None:
        """The server's end has come to the node."""


class Visitor(Protocol):
    """A node's attempt, as its server sees it."""

    id: str
    klass: int
    expires: int

    def answered(self, how: str, keep: bool) -> None:
        """The last byte of the answer has come: served, error or rejected. `keep`: the connection stays."""


class Below(Protocol):
    """The server's own node, before the next tier."""

    def call(self, attempt: Attempt, told: Callable[[bool], None]) -> Callable[[], None]:
        """Calls there; `told` hears once whether it was served. What is returned gives the call up."""


class Attempt:
    """A request that has come whole."""

    __slots__ = ("number", "visitor", "link", "work", "done", "give_up", "called")

    def __init__(self, number: int, visitor: Visitor, link: Connection, work: int) -> None:
        self.number = number
        self.visitor = visitor
        self.link = link
        self.work = work
        self.done = False
        self.called = False  # the next tier has answered
        self.give_up: Callable[[], None] | None = None  # of its call to the next tier


class Server:
    """One process, and after a restart the next one. `life`: counts them."""

    def __init__(
        self,
        plan: ServerPlan,
        table: ServersTable,
        rules: Rules,
        classes: Sequence[Class],
        steps: list[Step],
        queue: Queue,
        begin: int,
        note: Callable[[Event], None],
        number: Callable[[], int],
        way: Callable[[str], int],
        fell: Callable[[ServerPlan], None],
    ) -> None:
        self.plan = plan
        self.table = table
        self.rules = rules
        self.classes = classes
        self.steps = steps
        self.queue = queue
        self.begin = begin
        self.note = note
        self.number = number
        self.way = way  # microseconds to a node by its name
        self.fell = fell
        self.below: Below | None = None
        self.alive = False  # takes connections
        self.vanished = False
        self.life = 0
        self.cold_since = -1
        self.up: Up | None = None
        self.running = 0
        self.slow = False
        self.choke: Choke | None = None
        self.slots = table.slots
        self.inside = 0  # slots that are taken
        self.ready: deque[Attempt] = deque()  # in a slot, and waiting for a core
        self.busy_until: list[int] = []  # of the cores that work
        self.waiting: deque[Attempt] = deque()
        self.open: set[Attempt] = set()
        self.links: dict[Connection, None] = {}
        self.came: deque[tuple[int, int]] = deque()  # to a cold process: time and work
        self.came_work = 0
        self.cuts = [step for step in steps if step.kind == "cut"]

    # ---- life -----------------------------------------------------------------------------------------

    def rise(self, started_ms: int, cold: bool) -> None:
        """The process starts."""
        self.alive, self.vanished, self.slow = True, False, False
        self.life += 1
        self.cold_since = self.queue.now if cold else -1
        self.running = self.inside = 0
        self.busy_until.clear()
        if self.table.choke is not None:
            self.choke = Choke(self.table.choke, self.plan.cores, self.queue.now)
        self.came.clear()
        self.came_work = 0
        warm = round(self.table.warm_s * MICRO)
        tier = f"t{self.plan.tier}" * (self.plan.tier > 0)
        self.up = Up(
            self.queue.now,
            self.plan.id,
            f"{tier}{self.plan.zone}/{self.plan.cell}",
            started_ms,
            self.plan.cores * self.plan.speed,
            self.table.cold_share if cold else 1.0,
            warm if cold else 0,
        )
        self.note(self.up)

    def die(self) -> None:
        """The process ends: every connection is reset."""
        if not self.alive:
            return
        self.end()
        for link in list(self.links):
            self.reset(link)

    def vanish(self) -> None:
        """The machine is gone: nothing is reset, nothing comes back."""
        if self.alive:
            self.end()
            self.vanished = True
            for attempt in sorted(self.open, key=lambda a: a.number):
                self.left(attempt, "server")
            self.links.clear()

    def end(self) -> None:
        self.alive = False
        self.life += 1
        self.waiting.clear()
        self.ready.clear()
        self.note(Down(self.queue.now, self.plan.id))

    def retire(self) -> None:
        """It takes no connections any more, and finishes what it holds."""
        if self.alive:
            self.alive = False
            self.note(Down(self.queue.now, self.plan.id))
            self.drop_idle()

    # ---- faults ---------------------------------------------------------------------------------------

    def fault(self, *kinds: str) -> Step | None:
        """The fault of these kinds that is on now."""
        if not self.steps:
            return None
        time = self.queue.now - self.begin
        for step in self.steps:
            if step.kind in kinds and step.at <= time < step.end:
                return step
        return None

    def touched(self, *kinds: str, name: str) -> Step | None:
        """The fault of these kinds that is on, if it touches this request, as in the stand-ins."""
        step = self.fault(*kinds)
        if step is not None and (step.share >= 1 or Random(f"{step.at} {name}").random() < step.share):
            return step
        return None

    def cut_from(self, node: str) -> bool:
        """Whether nothing passes between this server and a node now."""
        time = self.queue.now - self.begin
        return any(
            step.at <= time < step.end and Random(f"{step.at} {node}").random() < step.share
            for step in self.cuts
        )

    def unheard(self, node: str) -> bool:
        return self.vanished or bool(self.cuts and self.cut_from(node))

    # ---- speed ----------------------------------------------------------------------------------------

    def speed(self) -> float:
        """Of a core now, against the standard one."""
        t = self.table
        speed = self.plan.speed * (t.slow_speed if self.slow else 1.0)
        if self.choke is not None:
            speed *= self.choke.speed
        step = self.fault("slow")
        if step is not None:
            speed *= step.share
        if self.cold_since < 0 or not t.warm_s:
            return speed
        warm = min(1.0, (self.queue.now - self.cold_since) / (t.warm_s * MICRO))
        return speed * (t.cold_share + (1 - t.cold_share) * warm)

    def time_to_core(self) -> int:
        """Microseconds until a core is free for a request that came now, at the present speed."""
        speed = self.speed()
        free = [0] * (self.plan.cores - len(self.busy_until))
        free += [max(0, until - self.queue.now) for until in self.busy_until]
        heapify(free)
        for attempt in (*self.ready, *self.waiting):
            if not attempt.done:
                heapreplace(free, free[0] + round(attempt.work / speed))
        return free[0]

    def room(self, share: float) -> bool:
        """Whether it holds less than this share of what turns it slow."""
        return self.choke is None or len(self.open) < share * self.choke.crowd

    def work_for(self, klass: int, name: str) -> int:
        """Microseconds on a standard core; the stand-ins draw the same for this request."""
        work, parts = work_of(self.classes[klass], name), self.table.tier_work
        return round(work * parts[self.plan.tier]) if parts else work

    # ---- connections ----------------------------------------------------------------------------------

    def accept(self, link: Connection) -> bool | None:
        """A handshake has begun: taken, refused, or (None) nobody answers."""
        if self.unheard(link.node):
            return None
        if not self.alive:
            return False
        step = self.fault(*SHUT)
        if step is not None and step.kind != "reset-early":
            return None if step.kind == "backlog" else False
        link.early = step is not None
        link.limited = len(self.links) >= self.table.connections
        self.links[link] = None
        return True

    def hung_up(self, link: Connection) -> None:
        """The node has ended a connection; what waits for a core is dropped."""
        if not link.shut:
            link.shut = True
            self.links.pop(link, None)
            if isinstance(link.holds, Attempt):
                self.left(link.holds, "node")

    def reset(self, link: Connection) -> None:
        """Ends a connection, and with it what is open there."""
        if not link.shut:
            link.shut = True
            self.links.pop(link, None)
            if isinstance(link.holds, Attempt):
                self.left(link.holds, "server")
            self.queue.after(self.way(link.node), link.lost)

    def drop_idle(self) -> None:
        for link in [link for link in self.links if link.holds is None]:
            self.reset(link)

    # ---- requests -------------------------------------------------------------------------------------

    def heard(self, link: Connection, visitor: Visitor) -> None:
        """A request's bytes have come, unless something is between."""
        if self.unheard(link.node):
            return
        if link.shut:
            self.queue.after(self.way(link.node), link.lost)
            return
        work = self.work_for(visitor.klass, visitor.id)
        attempt = Attempt(self.number(), visitor, link, work)
        link.holds = attempt
        self.open.add(attempt)
        now = self.queue.now
        self.note(Arrived(now, now, self.plan.id, attempt.number, visitor.id, work, False))
        if link.early or not self.alive or self.touched("reset-late", name=visitor.id):
            self.reset(link)
        elif self.touched("reject", name=visitor.id) or link.limited or len(self.waiting) >= self.table.queue:
            self.reply(attempt, "rejected")
        else:
            self.waiting.append(attempt)
            if self.table.slow_queue and len(self.waiting) >= self.table.slow_queue:
                self.slow = True
            self.work()
        if self.table.falls and self.cold_since >= 0 and self.alive:
            self.pushed(work)

    def pushed(self, work: int) -> None:
        """A cold process that is sent more than the rule's figures for their time falls over."""
        assert self.up is not None
        now, span = self.queue.now, round(self.rules.fall_s * MICRO)
        self.came.append((now, work))
        self.came_work += work
        while self.came[0][0] < now - span:
            self.came_work -= self.came.popleft()[1]
        start = max(self.up.t, now - span)
        warming = now - span < self.up.t + self.up.warm
        multiple = self.rules.fall_multiple
        if warming and self.came_work > work + multiple * capacity_between(self.up, start, start + span):
            self.die()
            self.fell(self.plan)

    def work(self) -> None:
        """Gives waiting requests to free slots and cores."""
        if self.slots:
            while self.waiting and self.inside < self.slots:
                attempt = self.waiting.popleft()
                if not attempt.done:
                    self.inside += 1
                    self.ready.append(attempt)
        queue = self.ready if self.slots else self.waiting
        while queue and self.running < self.plan.cores:
            attempt = queue.popleft()
            if attempt.done:
                self.inside -= self.slots > 0
            else:
                self.running += 1
                part = (
                    2 if self.slots and self.below is not None else 1
                )  # as much before the call as after it
                time = round(attempt.work / part / self.speed())
                self.busy_until.append(self.queue.now + time)
                self.queue.after(time, self.worked, attempt, self.life)
        if not self.waiting:
            self.slow = False
        if self.choke is not None:
            self.choke.note(self.queue.now, len(self.open), self.running)

    def worked(self, attempt: Attempt, life: int) -> None:
        """A core has done its part, if the process is still the one whose core it was."""
        if life != self.life:
            return
        if self.below is None or attempt.done or attempt.called:
            self.freed()
            self.inside -= self.slots > 0
            if not attempt.done:
                self.finish(attempt)
            self.work()
            return

        def told(served: bool) -> None:
            if life != self.life or attempt.give_up is None:
                return
            attempt.give_up = None
            if not self.slots:
                self.freed()
            elif served and not attempt.done:
                attempt.called = True
                self.ready.append(attempt)
                self.work()
                return
            else:
                self.inside -= 1
            if not attempt.done:
                self.finish(attempt, "served" if served else "error")
            self.work()

        attempt.give_up = lambda: None  # the call may be concluded before it is made
        if self.slots:
            self.freed()
        give_up = self.below.call(attempt, told)
        if attempt.give_up is not None:
            attempt.give_up = give_up
        if self.slots:
            self.work()

    def freed(self) -> None:
        """A core is free."""
        self.running -= 1
        self.busy_until.remove(min(self.busy_until))

    def finish(self, attempt: Attempt, how: str = "served") -> None:
        """The answer is ready; it goes out as the faults of the moment let it."""
        if attempt.done:
            return
        name = attempt.visitor.id
        for coming in self.steps:
            if coming.kind == "drain-answering":
                at = self.begin + coming.at
                if at - HELD_BEFORE <= self.queue.now < at:
                    self.queue.at(at, self.finish, attempt, how)
                    return
        step = self.touched("stall", "stall-head", "stall-body", "drip", "reset-answer", "error", name=name)
        if step is None or how != "served":
            self.reply(attempt, how)
            return
        end = self.begin + step.end
        if step.kind not in ("stall", "error"):
            self.note(Begun(self.queue.now, self.plan.id, attempt.number, name, 1))
        if step.kind == "error":
            self.reply(attempt, "error")
        elif step.kind == "reset-answer":
            self.queue.after(CUT, self.reset, attempt.link)
        elif step.kind == "drip":
            self.queue.at(min(end, self.queue.now + DRIP * ANSWER_BYTES), self.reply, attempt, how)
        else:
            self.queue.at(end, self.reply, attempt, how)

    def reply(self, attempt: Attempt, how: str) -> None:
        """The last byte of the answer is written."""
        if attempt.done:
            return
        attempt.done = True
        self.open.discard(attempt)
        link, node = attempt.link, attempt.link.node
        link.holds = None
        self.note(Replied(self.queue.now, self.plan.id, attempt.number, attempt.visitor.id, how))
        # Kept, it would go on serving as if the port were shut or the process gone.
        keep = self.alive and not link.limited and self.fault(*SHUT) is None
        if not self.unheard(node):
            self.queue.after(self.way(node), attempt.visitor.answered, how, keep)
        if not keep:
            link.shut = True
            self.links.pop(link, None)

    def left(self, attempt: Attempt, by: str) -> None:
        """The connection has ended before the whole answer; what waits for a core is dropped."""
        if attempt.done:
            return
        attempt.done = True
        attempt.link.holds = None
        self.open.discard(attempt)
        self.note(Closed(self.queue.now, self.plan.id, attempt.number, attempt.visitor.id, by))
        give_up, attempt.give_up = attempt.give_up, None
        if give_up is not None:
            give_up()
            if by == "node":
                if self.slots:
                    self.inside -= 1
                else:
                    self.freed()
                self.work()
