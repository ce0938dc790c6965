"""Servers in virtual time, like the stand-ins: cores, a bounded queue, cold starts, faults and shutdown.

A server with a next tier occupies its core while it calls that tier through its own node. With slots it
occupies a slot instead: a core does half of the work before the call and half after it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from heapq import heapify, heapreplace
from random import Random
from typing import Protocol

from brackenladder.fleet.overload import OverloadState
from brackenladder.fleet.queue import Queue
from brackenladder.rehearsal.checker import capacity_between
from brackenladder.rehearsal.events import Arrived, Begun, Closed, Down, Event, Replied, Up
from brackenladder.rehearsal.plan import MICRO, ServerPlan, Step, work_of
from brackenladder.rehearsal.scenario import Class, Rules
from brackenladder.rehearsal.scenario import Servers as ServerSettings

RESET_DELAY = 5_000  # microseconds from the first part of an answer to the reset of its connection
DRIP_INTERVAL = 20_000  # microseconds between two bytes of a slowly dripping answer
ANSWER_BYTES = 180  # size of an answer of the stand-ins
HELD_BEFORE_DRAIN = 300_000  # microseconds; answers due shortly before a drain-answering fault wait for it
REFUSING_FAULTS = ("closed", "backlog", "reset-early")


class Connection(Protocol):
    """A node's connection as seen by the server; see `Link`."""

    closed_at_server: bool
    over_limit: bool
    reset_on_request: bool
    attempt_open: object

    @property
    def node(self) -> str:
        """Name of the node that opened the connection."""

    def closed_by_server(self) -> None:
        """Tells the node that the server has closed the connection."""


class IncomingRequest(Protocol):
    """A node's attempt as seen by the server; see `Exchange`."""

    id: str
    klass: int
    expires: int

    def answered(self, how: str, keep: bool) -> None:
        """Delivers the answer: served, error or rejected. `keep`: the connection stays open."""


class NextTier(Protocol):
    """Access to the next tier through the server's own node."""

    def call(self, attempt: Attempt, on_result: Callable[[bool], None]) -> Callable[[], None]:
        """Calls the next tier; `on_result` is called once with whether it was served.

        The returned function cancels the call.
        """


class Attempt:
    """A request that the server has received completely."""

    __slots__ = ("number", "request", "link", "work", "done", "give_up", "next_tier_answered")

    def __init__(self, number: int, request: IncomingRequest, link: Connection, work: int) -> None:
        self.number = number
        self.request = request
        self.link = link
        self.work = work
        self.done = False
        self.next_tier_answered = False  # whether the call to the next tier has succeeded
        self.give_up: Callable[[], None] | None = None  # cancels its call to the next tier


class Server:
    """A server and its successive processes; `incarnation` changes with each start and end."""

    def __init__(
        self,
        plan: ServerPlan,
        settings: ServerSettings,
        rules: Rules,
        classes: Sequence[Class],
        steps: list[Step],
        queue: Queue,
        begin: int,
        record: Callable[[Event], None],
        number: Callable[[], int],
        delay_to: Callable[[str], int],
        on_overloaded: Callable[[ServerPlan], None],
    ) -> None:
        self.plan = plan
        self.settings = settings
        self.rules = rules
        self.classes = classes
        self.steps = steps
        self.queue = queue
        self.begin = begin
        self.record = record
        self.number = number
        self.delay_to = delay_to  # network delay in microseconds to a node, by name
        self.on_overloaded = on_overloaded
        self.next_tier: NextTier | None = None
        self.alive = False  # whether the server accepts connections
        self.vanished = False
        self.incarnation = 0
        self.cold_since = -1
        self.up_event: Up | None = None
        self.busy_cores = 0
        self.slow = False
        self.overload: OverloadState | None = None
        self.slots = settings.slots
        self.slots_taken = 0  # number of occupied slots
        self.slot_queue: deque[Attempt] = deque()  # attempts that hold a slot and wait for a core
        self.busy_until: list[int] = []  # time at which each busy core becomes free
        self.waiting: deque[Attempt] = deque()
        self.open_attempts: set[Attempt] = set()
        self.links: dict[Connection, None] = {}
        self.cold_arrivals: deque[tuple[int, int]] = deque()  # recent arrivals while cold: time and work
        self.cold_arrived_work = 0
        self.cut_faults = [step for step in steps if step.kind == "cut"]

    # ---- processes ------------------------------------------------------------------------------------

    def start(self, started_ms: int, cold: bool) -> None:
        """Starts a new process with no requests in progress; with `cold`, it first has to warm up."""
        self.alive, self.vanished, self.slow = True, False, False
        self.incarnation += 1
        self.cold_since = self.queue.now if cold else -1
        self.busy_cores = self.slots_taken = 0
        self.busy_until.clear()
        if self.settings.choke is not None:
            self.overload = OverloadState(self.settings.choke, self.plan.cores, self.queue.now)
        self.cold_arrivals.clear()
        self.cold_arrived_work = 0
        warm = round(self.settings.warm_s * MICRO)
        tier = f"t{self.plan.tier}" * (self.plan.tier > 0)
        self.up_event = Up(
            self.queue.now,
            self.plan.id,
            f"{tier}{self.plan.zone}/{self.plan.cell}",
            started_ms,
            self.plan.cores * self.plan.speed,
            self.settings.cold_share if cold else 1.0,
            warm if cold else 0,
        )
        self.record(self.up_event)

    def crash(self) -> None:
        """Ends the process and resets all its connections."""
        if not self.alive:
            return
        self.end()
        for link in list(self.links):
            self.reset(link)

    def vanish(self) -> None:
        """Simulates a lost machine: connections are not reset and packets get no reply."""
        if self.alive:
            self.end()
            self.vanished = True
            for attempt in sorted(self.open_attempts, key=lambda a: a.number):
                self.abort(attempt, "server")
            self.links.clear()

    def end(self) -> None:
        self.alive = False
        self.incarnation += 1
        self.waiting.clear()
        self.slot_queue.clear()
        self.record(Down(self.queue.now, self.plan.id))

    def stop_accepting(self) -> None:
        """Accepts no more connections, and finishes open requests."""
        if self.alive:
            self.alive = False
            self.record(Down(self.queue.now, self.plan.id))
            self.reset_idle()

    # ---- faults ---------------------------------------------------------------------------------------

    def active_fault(self, *kinds: str) -> Step | None:
        """The active fault of these kinds, or None."""
        if not self.steps:
            return None
        time = self.queue.now - self.begin
        for step in self.steps:
            if step.kind in kinds and step.at <= time < step.end:
                return step
        return None

    def fault_hitting(self, *kinds: str, name: str) -> Step | None:
        """The active fault of these kinds if it affects this request; chosen as in the stand-ins."""
        step = self.active_fault(*kinds)
        if step is not None and (step.share >= 1 or Random(f"{step.at} {name}").random() < step.share):
            return step
        return None

    def cut_from(self, node: str) -> bool:
        """Whether a cut currently separates this server from a node."""
        time = self.queue.now - self.begin
        return any(
            step.at <= time < step.end and Random(f"{step.at} {node}").random() < step.share
            for step in self.cut_faults
        )

    def unreachable_from(self, node: str) -> bool:
        return self.vanished or bool(self.cut_faults and self.cut_from(node))

    # ---- speed ----------------------------------------------------------------------------------------

    def speed(self) -> float:
        """Current speed of a core; 1 is the standard."""
        settings = self.settings
        speed = self.plan.speed * (settings.slow_speed if self.slow else 1.0)
        if self.overload is not None:
            speed *= self.overload.speed
        step = self.active_fault("slow")
        if step is not None:
            speed *= step.share
        if self.cold_since < 0 or not settings.warm_s:
            return speed
        warm = min(1.0, (self.queue.now - self.cold_since) / (settings.warm_s * MICRO))
        return speed * (settings.cold_share + (1 - settings.cold_share) * warm)

    def time_to_core(self) -> int:
        """Microseconds until a core is free for a request that arrives now, at the current speed."""
        speed = self.speed()
        free = [0] * (self.plan.cores - len(self.busy_until))
        free += [max(0, until - self.queue.now) for until in self.busy_until]
        heapify(free)
        for attempt in (*self.slot_queue, *self.waiting):
            if not attempt.done:
                heapreplace(free, free[0] + round(attempt.work / speed))
        return free[0]

    def room(self, share: float) -> bool:
        """Whether the server holds fewer requests than this share of its overload threshold."""
        return self.overload is None or len(self.open_attempts) < share * self.overload.threshold

    def work_for(self, klass: int, name: str) -> int:
        """Work of a request in microseconds on a standard core, equal to that in the stand-ins."""
        work, parts = work_of(self.classes[klass], name), self.settings.tier_work
        return round(work * parts[self.plan.tier]) if parts else work

    # ---- connections ----------------------------------------------------------------------------------

    def accept(self, link: Connection) -> bool | None:
        """Handles a handshake: True if accepted, False if refused, None if unanswered."""
        if self.unreachable_from(link.node):
            return None
        if not self.alive:
            return False
        step = self.active_fault(*REFUSING_FAULTS)
        if step is not None and step.kind != "reset-early":
            return None if step.kind == "backlog" else False
        link.reset_on_request = step is not None
        link.over_limit = len(self.links) >= self.settings.connections
        self.links[link] = None
        return True

    def client_closed(self, link: Connection) -> None:
        """Handles a connection that its node closed: aborts the open attempt on it."""
        if not link.closed_at_server:
            link.closed_at_server = True
            self.links.pop(link, None)
            if isinstance(link.attempt_open, Attempt):
                self.abort(link.attempt_open, "node")

    def reset(self, link: Connection) -> None:
        """Resets a connection and aborts its open attempt."""
        if not link.closed_at_server:
            link.closed_at_server = True
            self.links.pop(link, None)
            if isinstance(link.attempt_open, Attempt):
                self.abort(link.attempt_open, "server")
            self.queue.after(self.delay_to(link.node), link.closed_by_server)

    def reset_idle(self) -> None:
        for link in [link for link in self.links if link.attempt_open is None]:
            self.reset(link)

    # ---- requests -------------------------------------------------------------------------------------

    def receive(self, link: Connection, request: IncomingRequest) -> None:
        """Receives a request, unless the node is unreachable."""
        if self.unreachable_from(link.node):
            return
        if link.closed_at_server:
            self.queue.after(self.delay_to(link.node), link.closed_by_server)
            return
        work = self.work_for(request.klass, request.id)
        attempt = Attempt(self.number(), request, link, work)
        link.attempt_open = attempt
        self.open_attempts.add(attempt)
        now = self.queue.now
        self.record(Arrived(now, now, self.plan.id, attempt.number, request.id, work, False))
        if link.reset_on_request or not self.alive or self.fault_hitting("reset-late", name=request.id):
            self.reset(link)
        elif (
            self.fault_hitting("reject", name=request.id)
            or link.over_limit
            or len(self.waiting) >= self.settings.queue
        ):
            self.reply(attempt, "rejected")
        else:
            self.waiting.append(attempt)
            if self.settings.slow_queue and len(self.waiting) >= self.settings.slow_queue:
                self.slow = True
            self.dispatch()
        if self.settings.falls and self.cold_since >= 0 and self.alive:
            self.check_cold_overload(work)

    def check_cold_overload(self, work: int) -> None:
        """Crashes a cold process that got more work than the rule on cold servers allows."""
        assert self.up_event is not None
        now, span = self.queue.now, round(self.rules.fall_s * MICRO)
        self.cold_arrivals.append((now, work))
        self.cold_arrived_work += work
        while self.cold_arrivals[0][0] < now - span:
            self.cold_arrived_work -= self.cold_arrivals.popleft()[1]
        start = max(self.up_event.t, now - span)
        warming = now - span < self.up_event.t + self.up_event.warm
        multiple = self.rules.fall_multiple
        if warming and self.cold_arrived_work > work + multiple * capacity_between(
            self.up_event, start, start + span
        ):
            self.crash()
            self.on_overloaded(self.plan)

    def dispatch(self) -> None:
        """Assigns waiting requests to free slots and cores."""
        if self.slots:
            while self.waiting and self.slots_taken < self.slots:
                attempt = self.waiting.popleft()
                if not attempt.done:
                    self.slots_taken += 1
                    self.slot_queue.append(attempt)
        queue = self.slot_queue if self.slots else self.waiting
        while queue and self.busy_cores < self.plan.cores:
            attempt = queue.popleft()
            if attempt.done:
                self.slots_taken -= self.slots > 0
            else:
                self.busy_cores += 1
                # Half of the work is done before the call to the next tier, half after it.
                part = 2 if self.slots and self.next_tier is not None else 1
                time = round(attempt.work / part / self.speed())
                self.busy_until.append(self.queue.now + time)
                self.queue.after(time, self.core_done, attempt, self.incarnation)
        if not self.waiting:
            self.slow = False
        if self.overload is not None:
            self.overload.observe(self.queue.now, len(self.open_attempts), self.busy_cores)

    def core_done(self, attempt: Attempt, incarnation: int) -> None:
        """Handles a core that finished its part of an attempt; ignored if the process has ended since."""
        if incarnation != self.incarnation:
            return
        if self.next_tier is None or attempt.done or attempt.next_tier_answered:
            self.release_core()
            self.slots_taken -= self.slots > 0
            if not attempt.done:
                self.finish(attempt)
            self.dispatch()
            return

        def on_result(served: bool) -> None:
            if incarnation != self.incarnation or attempt.give_up is None:
                return
            attempt.give_up = None
            if not self.slots:
                self.release_core()
            elif served and not attempt.done:
                attempt.next_tier_answered = True
                self.slot_queue.append(attempt)
                self.dispatch()
                return
            else:
                self.slots_taken -= 1
            if not attempt.done:
                self.finish(attempt, "served" if served else "error")
            self.dispatch()

        attempt.give_up = lambda: None  # a placeholder, since the call may end before it returns
        if self.slots:
            self.release_core()
        give_up = self.next_tier.call(attempt, on_result)
        if attempt.give_up is not None:
            attempt.give_up = give_up
        if self.slots:
            self.dispatch()

    def release_core(self) -> None:
        """Frees one core."""
        self.busy_cores -= 1
        self.busy_until.remove(min(self.busy_until))

    def finish(self, attempt: Attempt, how: str = "served") -> None:
        """Sends an answer that is ready, as the active faults require."""
        if attempt.done:
            return
        name = attempt.request.id
        for coming in self.steps:
            if coming.kind == "drain-answering":
                at = self.begin + coming.at
                if at - HELD_BEFORE_DRAIN <= self.queue.now < at:
                    self.queue.at(at, self.finish, attempt, how)
                    return
        step = self.fault_hitting(
            "stall", "stall-head", "stall-body", "drip", "reset-answer", "error", name=name
        )
        if step is None or how != "served":
            self.reply(attempt, how)
            return
        end = self.begin + step.end
        if step.kind not in ("stall", "error"):
            self.record(Begun(self.queue.now, self.plan.id, attempt.number, name, 1))
        if step.kind == "error":
            self.reply(attempt, "error")
        elif step.kind == "reset-answer":
            self.queue.after(RESET_DELAY, self.reset, attempt.link)
        elif step.kind == "drip":
            self.queue.at(min(end, self.queue.now + DRIP_INTERVAL * ANSWER_BYTES), self.reply, attempt, how)
        else:
            self.queue.at(end, self.reply, attempt, how)

    def reply(self, attempt: Attempt, how: str) -> None:
        """Writes the last byte of the answer."""
        if attempt.done:
            return
        attempt.done = True
        self.open_attempts.discard(attempt)
        link, node = attempt.link, attempt.link.node
        link.attempt_open = None
        self.record(Replied(self.queue.now, self.plan.id, attempt.number, attempt.request.id, how))
        # A kept connection would let a server with a closed port or an ended process go on serving.
        keep = self.alive and not link.over_limit and self.active_fault(*REFUSING_FAULTS) is None
        if not self.unreachable_from(node):
            self.queue.after(self.delay_to(node), attempt.request.answered, how, keep)
        if not keep:
            link.closed_at_server = True
            self.links.pop(link, None)

    def abort(self, attempt: Attempt, by: str) -> None:
        """Ends an attempt whose connection ended before the answer was complete; it does no more work."""
        if attempt.done:
            return
        attempt.done = True
        attempt.link.attempt_open = None
        self.open_attempts.discard(attempt)
        self.record(Closed(self.queue.now, self.plan.id, attempt.number, attempt.request.id, by))
        give_up, attempt.give_up = attempt.give_up, None
        if give_up is not None:
            give_up()
            if by == "node":
                if self.slots:
                    self.slots_taken -= 1
                else:
                    self.release_core()
                self.dispatch()
