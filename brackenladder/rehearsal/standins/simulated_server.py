"""A simulated server with cores, a queue, cold start, connection limit, load reports and injected faults."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from random import Random

from brackenladder.rehearsal.events import Arrived, Begun, Closed, Down, Event, Replied, Up, now
from brackenladder.rehearsal.plan import MICRO, ServerPlan, Step, work_of
from brackenladder.rehearsal.standins.codecs import Request, cut_position
from brackenladder.rehearsal.standins.process import listener, reset
from brackenladder.rehearsal.standins.server_connection import Attempt, Connection
from brackenladder.rehearsal.standins.server_context import ServerContext

DRIP_INTERVAL = 0.02  # seconds between two bytes of the fault `drip`
DRAIN_TIMEOUT = 3.0  # seconds that a drained server has to finish its requests
RESET_DELAY = 0.005  # seconds from the first part of an answer to the reset, so that the part is sent
FILLERS = 8  # connections that fill the backlog
BACKLOG_SETTLE = 0.1  # seconds; connections accepted this soon after the fault may have waited
# Answers that are ready up to this many microseconds before the fault `drain-answering` are held until it
# begins.
HOLD_BEFORE_DRAIN = 300_000


class SimulatedServer:
    """One process of a server, from start to end."""

    def __init__(self, context: ServerContext, plan: ServerPlan, cold_since: int) -> None:
        self.context = context
        self.plan = plan
        self.loop = context.host.loop
        self.note: Callable[[Event], None] = context.host.journal.add
        self.cold_since = cold_since  # start time of a cold start; -1: warm
        self.connections: set[Connection] = set()
        self.running = 0
        self.waiting: deque[Attempt] = deque()
        self.latency = 0.0  # milliseconds, smoothed
        self.errors = 0
        self.reported = b""
        self.reported_at = -1.0
        self.queued = False
        self.alive = False
        self.listening: asyncio.Server | None = None
        self.sock: socket.socket | None = None
        self.fillers: list[socket.socket] = []

    # ---- start and end --------------------------------------------------------------------------------

    async def start(self) -> None:
        """Records the start and opens the port."""
        s = self.context.scenario.servers
        self.alive = True
        cold = self.cold_since >= 0
        self.note(
            Up(
                now(),
                self.plan.id,
                self.context.pod(self.plan),
                self.context.host.started_ms(self.cold_since),
                self.plan.cores * self.plan.speed,
                s.cold_share if cold else 1.0,
                round(s.warm_s * MICRO) if cold else 0,
            )
        )
        await self.listen()

    async def listen(self) -> None:
        """Opens the port; accepted connections get a small receive buffer during the fault `reset-early`."""
        self.sock = listener(
            self.context.places[self.plan.place], small=self.fault("reset-early") is not None
        )
        self.listening = await self.loop.create_server(lambda: Connection(self), sock=self.sock)

    def close_port(self) -> None:
        """Closes the port; connections stay open."""
        if self.listening is not None:
            self.listening.close()
            self.listening = None
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()

    def die(self) -> None:
        """Simulates a crash: every connection is reset."""
        if not self.alive:
            return
        self.alive = False
        self.close_port()
        self.note(Down(now(), self.plan.id))
        for connection in list(self.connections):
            for attempt in list(connection.open):
                self.abandoned(attempt, "server")
            reset(connection.transport)
        self.waiting.clear()

    async def retire(self) -> None:
        """Stops after a drain; requests in progress are finished first."""
        self.alive = False
        self.close_port()
        self.note(Down(now(), self.plan.id))
        until = self.loop.time() + DRAIN_TIMEOUT
        while any(c.open for c in self.connections) and self.loop.time() < until:
            await asyncio.sleep(0.01)
        for connection in list(self.connections):
            connection.transport.close()

    def fault(self, *kinds: str) -> Step | None:
        """The active fault of one of these kinds at this server, if any."""
        time = self.context.host.time()
        for step in self.context.steps.get(self.plan.id, ()):
            if step.kind in kinds and step.at <= time < step.end:
                return step
        return None

    def affects(self, step: Step, name: str) -> bool:
        """Whether a fault that affects only a share of the answers affects this one."""
        return step.share >= 1 or Random(f"{step.at} {name}").random() < step.share

    # ---- requests -------------------------------------------------------------------------------------

    def speed(self) -> float:
        """The current speed of a core, relative to the standard core."""
        s = self.context.scenario.servers
        if self.cold_since < 0 or not s.warm_s:
            return self.plan.speed
        warm = min(1.0, (self.context.host.time() - self.cold_since) / (s.warm_s * MICRO))
        return self.plan.speed * (s.cold_share + (1 - s.cold_share) * max(0.0, warm))

    def arrived(self, connection: Connection, first: int, request: Request) -> None:
        """Handles a complete request: rejects, resets or queues it."""
        name = request.id
        work = work_of(self.context.classes[request.klass], name)
        attempt = Attempt(next(self.context.numbers), name, request.ref, connection, work)
        connection.open.append(attempt)
        self.note(Arrived(now(), first, self.plan.id, attempt.number, name, work, connection.queued))
        connection.queued = False
        late = self.fault("reset-late")
        reject = self.fault("reject")
        if (late is not None and self.affects(late, name)) or not self.alive:
            self.reset_connection(attempt)
        elif (
            (reject is not None and self.affects(reject, name))
            or connection.over_limit
            or len(self.waiting) >= self.context.scenario.servers.queue
        ):
            self.reply(attempt, "rejected")
        else:
            self.waiting.append(attempt)
            self.start_waiting()

    def start_waiting(self) -> None:
        """Starts waiting requests on free cores."""
        while self.waiting and self.running < self.plan.cores:
            attempt = self.waiting.popleft()
            if attempt.done:
                continue  # the request's connection has ended, so the request isn't run
            self.running += 1
            time = attempt.work / self.speed()
            self.loop.call_later(time / MICRO, self.work_done, attempt, time)

    def work_done(self, attempt: Attempt, time: float) -> None:
        """Answers a request whose work is done, and gives its core to the next."""
        if not self.alive and not self.connections:
            return
        self.running -= 1
        self.latency += 0.2 * (time / 1000 - self.latency)
        if not attempt.done:
            self.finish(attempt)
        self.start_waiting()

    def finish(self, attempt: Attempt) -> None:
        """Sends the answer as the active faults require: held back, cut, slowly, or as an error."""
        if attempt.done:
            return
        time = self.context.host.time()
        for coming in self.context.steps.get(self.plan.id, ()):
            if coming.kind == "drain-answering" and coming.at - HOLD_BEFORE_DRAIN <= time < coming.at:
                self.context.host.at(coming.at, self.finish, attempt)
                return
        step = self.fault("stall", "stall-head", "stall-body", "drip", "reset-answer", "error")
        if step is None or not self.affects(step, attempt.id):
            self.reply(attempt, "served")
            return
        if step.kind == "error":
            self.reply(attempt, "error")
            return
        connection = attempt.connection
        data = connection.codec.answer(attempt.ref, self.plan.id, attempt.id, "served")
        part = "head" if step.kind == "stall-head" else "body"
        cut = 0 if step.kind in ("stall", "drip") else cut_position(data, part)
        if connection.answering is not None:
            cut = 0  # another answer is partly written, so this one can only be sent whole
        if cut:
            self.note(Begun(now(), self.plan.id, attempt.number, attempt.id, cut))
            connection.write(attempt, data[:cut], whole=False)
        if step.kind == "reset-answer":
            self.loop.call_later(RESET_DELAY, self.reset_connection, attempt)
        elif step.kind == "drip":
            self.drip(attempt, data, step, True)
        else:
            self.context.host.at(step.end, self.write_rest, attempt, data[cut:])

    def reset_connection(self, attempt: Attempt) -> None:
        """Resets the connection, which abandons all requests on it."""
        if not attempt.done:
            for other in list(attempt.connection.open):
                self.abandoned(other, "server")
            reset(attempt.connection.transport)

    def drip(self, attempt: Attempt, data: bytes, step: Step, first: bool) -> None:
        """Sends one byte and schedules the next; sends all that is left once the fault is over."""
        if attempt.done:
            return
        connection = attempt.connection
        blocked = connection.answering not in (None, attempt)
        if self.context.host.time() >= step.end or len(data) == 1 or blocked:
            self.write_rest(attempt, data)
        else:
            if first:
                self.note(Begun(now(), self.plan.id, attempt.number, attempt.id, 1))
            connection.write(attempt, data[:1], whole=False)
            self.loop.call_later(DRIP_INTERVAL, self.drip, attempt, data[1:], step, False)

    def reply(self, attempt: Attempt, how: str) -> None:
        data = attempt.connection.codec.answer(attempt.ref, self.plan.id, attempt.id, how)
        self.write_rest(attempt, data, how)

    def write_rest(self, attempt: Attempt, data: bytes, how: str = "served") -> None:
        """Writes the last part of an answer, or all of it."""
        if attempt.done:
            return
        attempt.done = True
        self.errors += how != "served"
        connection = attempt.connection
        connection.open.remove(attempt)
        connection.idle_since = self.loop.time()
        # Recorded before the write, since the node may act on the answer before this process runs again.
        self.note(Replied(now(), self.plan.id, attempt.number, attempt.id, how))
        connection.write(attempt, data, whole=True)
        shut = self.fault("closed", "backlog", "reset-early") is not None
        if (not self.alive or connection.over_limit or shut) and not connection.open:
            # Over a kept connection, a node could still reach a server whose port is closed.
            connection.transport.close()

    def abandoned(self, attempt: Attempt, by: str) -> None:
        """Records the end of a connection before the answer was complete."""
        if not attempt.done:
            attempt.done = True
            attempt.connection.open.remove(attempt)
            self.note(Closed(now(), self.plan.id, attempt.number, attempt.id, by))

    def probed(self, connection: Connection, path: str) -> None:
        """Answers a probe; the load report is refreshed only every `report_ms`."""
        moment = self.loop.time()
        if moment >= self.reported_at:
            low, high = self.context.scenario.servers.report_ms
            held = self.running + len(self.waiting)
            body = f"inflight={held},latency_ms={self.latency:.1f},eps={self.errors}"
            self.reported, self.errors = body.encode(), 0
            self.reported_at = moment + self.context.rng.uniform(low, high) / 1000
        body_bytes = self.reported if path == "/status/load" else b""
        if self.fault("stall", "stall-head", "drip") is None:
            connection.transport.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body_bytes), body_bytes)
            )
        connection.idle_since = moment

    def sweep(self) -> None:
        """Closes connections that were idle too long."""
        limit = self.loop.time() - self.context.scenario.servers.idle_s
        for connection in list(self.connections):
            if not connection.open and not connection.first and connection.idle_since < limit:
                connection.transport.close()

    # ---- faults of the port ---------------------------------------------------------------------------

    def block(self) -> None:
        """Makes new connections hang: fills the backlog and stops accepting."""
        self.close_port()
        self.drop_idle()
        self.sock = listener(self.context.places[self.plan.place], backlog=0)
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.sock.getsockname())
            self.fillers.append(filler)

    async def unblock(self) -> None:
        """Accepts again; connections that waited in the backlog are marked `queued`."""
        if not self.alive or self.sock is None:
            return
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        self.queued = True
        self.sock.listen(512)
        self.listening = await self.loop.create_server(lambda: Connection(self), sock=self.sock)
        self.loop.call_later(BACKLOG_SETTLE, setattr, self, "queued", False)

    async def reopen(self) -> None:
        if self.alive and self.listening is None:
            await self.listen()

    def drop_idle(self) -> None:
        for connection in list(self.connections):
            if not connection.open:
                connection.transport.close()
