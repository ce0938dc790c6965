"""One stand-in server: cores, a queue, a cold start, limits on connections, load reports, and faults."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from random import Random

from brackenladder.rehearsal.events import Arrived, Begun, Closed, Down, Event, Replied, Up, now
from brackenladder.rehearsal.plan import MICRO, ServerPlan, Step, work_of
from brackenladder.rehearsal.standins.codecs import Request, middle_of
from brackenladder.rehearsal.standins.process import listener, reset
from brackenladder.rehearsal.standins.server_connection import Attempt, Connection
from brackenladder.rehearsal.standins.server_context import ServerContext

DRIP = 0.02  # seconds between two bytes
FINISH = 3.0  # seconds that a drained server has for what it still holds
CUT = 0.005  # seconds in which the first part of an answer may go out before the reset
FILLERS = 8  # connections that fill a backlog
SETTLE = 0.1  # seconds after a backlog's end in which what comes may have waited in it
HELD_BEFORE = 300_000  # microseconds before a drain that answers are held back for


class SimulatedServer:
    """One server's process, from its start to its end."""

    def __init__(self, context: ServerContext, plan: ServerPlan, cold_since: int) -> None:
        self.context = context
        self.plan = plan
        self.loop = context.host.loop
        self.note: Callable[[Event], None] = context.host.journal.add
        self.cold_since = cold_since  # -1: warm
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
        """Starts to serve."""
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
        """Opens the port."""
        self.sock = listener(
            self.context.places[self.plan.place], small=self.fault("reset-early") is not None
        )
        self.listening = await self.loop.create_server(lambda: Connection(self), sock=self.sock)

    def shut(self) -> None:
        """Closes the port, but no connection."""
        if self.listening is not None:
            self.listening.close()
            self.listening = None
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()

    def die(self) -> None:
        """The process ends: every connection is reset."""
        if not self.alive:
            return
        self.alive = False
        self.shut()
        self.note(Down(now(), self.plan.id))
        for connection in list(self.connections):
            for attempt in list(connection.open):
                self.abandoned(attempt, "server")
            reset(connection.transport)
        self.waiting.clear()

    async def retire(self) -> None:
        """Ends as a server that has drained: what it holds is finished first."""
        self.alive = False
        self.shut()
        self.note(Down(now(), self.plan.id))
        until = self.loop.time() + FINISH
        while any(c.open for c in self.connections) and self.loop.time() < until:
            await asyncio.sleep(0.01)
        for connection in list(self.connections):
            connection.transport.close()

    def fault(self, *kinds: str) -> Step | None:
        """The fault of these kinds that is on at this server now."""
        time = self.context.host.time()
        for step in self.context.steps.get(self.plan.id, ()):
            if step.kind in kinds and step.at <= time < step.end:
                return step
        return None

    def touched(self, step: Step, name: str) -> bool:
        """Whether a fault that touches a share of the answers touches this one."""
        return step.share >= 1 or Random(f"{step.at} {name}").random() < step.share

    # ---- requests -------------------------------------------------------------------------------------

    def speed(self) -> float:
        """Of a core now, against the standard one."""
        s = self.context.scenario.servers
        if self.cold_since < 0 or not s.warm_s:
            return self.plan.speed
        warm = min(1.0, (self.context.host.time() - self.cold_since) / (s.warm_s * MICRO))
        return self.plan.speed * (s.cold_share + (1 - s.cold_share) * max(0.0, warm))

    def arrived(self, connection: Connection, first: int, request: Request) -> None:
        """A request's last byte has come."""
        name = request.id
        work = work_of(self.context.classes[request.klass], name)
        attempt = Attempt(next(self.context.numbers), name, request.ref, connection, work)
        connection.open.append(attempt)
        self.note(Arrived(now(), first, self.plan.id, attempt.number, name, work, connection.queued))
        connection.queued = False
        late = self.fault("reset-late")
        reject = self.fault("reject")
        if (late is not None and self.touched(late, name)) or not self.alive:
            self.cut(attempt)
        elif (
            (reject is not None and self.touched(reject, name))
            or connection.limited
            or len(self.waiting) >= self.context.scenario.servers.queue
        ):
            self.reply(attempt, "rejected")
        else:
            self.waiting.append(attempt)
            self.work()

    def work(self) -> None:
        """Gives waiting requests to free cores."""
        while self.waiting and self.running < self.plan.cores:
            attempt = self.waiting.popleft()
            if attempt.done:
                continue  # its node has gone: waiting work is dropped
            self.running += 1
            time = attempt.work / self.speed()
            self.loop.call_later(time / MICRO, self.worked, attempt, time)

    def worked(self, attempt: Attempt, time: float) -> None:
        """A core is free."""
        if not self.alive and not self.connections:
            return
        self.running -= 1
        self.latency += 0.2 * (time / 1000 - self.latency)
        if not attempt.done:
            self.finish(attempt)
        self.work()

    def finish(self, attempt: Attempt) -> None:
        """The answer is ready; it goes out as the faults of the moment let it."""
        if attempt.done:
            return
        time = self.context.host.time()
        for coming in self.context.steps.get(self.plan.id, ()):
            if coming.kind == "drain-answering" and coming.at - HELD_BEFORE <= time < coming.at:
                self.context.host.at(coming.at, self.finish, attempt)
                return
        step = self.fault("stall", "stall-head", "stall-body", "drip", "reset-answer", "error")
        if step is None or not self.touched(step, attempt.id):
            self.reply(attempt, "served")
            return
        if step.kind == "error":
            self.reply(attempt, "error")
            return
        connection = attempt.connection
        data = connection.codec.answer(attempt.ref, self.plan.id, attempt.id, "served")
        part = "head" if step.kind == "stall-head" else "body"
        cut = 0 if step.kind in ("stall", "drip") else middle_of(data, part)
        if connection.partway is not None:
            cut = 0  # it waits behind another answer, whole
        if cut:
            self.note(Begun(now(), self.plan.id, attempt.number, attempt.id, cut))
            connection.write(attempt, data[:cut], whole=False)
        if step.kind == "reset-answer":
            self.loop.call_later(CUT, self.cut, attempt)
        elif step.kind == "drip":
            self.drip(attempt, data, step, True)
        else:
            self.context.host.at(step.end, self.rest, attempt, data[cut:])

    def cut(self, attempt: Attempt) -> None:
        """Resets the connection, and with it all that is open there."""
        if not attempt.done:
            for other in list(attempt.connection.open):
                self.abandoned(other, "server")
            reset(attempt.connection.transport)

    def drip(self, attempt: Attempt, data: bytes, step: Step, first: bool) -> None:
        """A byte now; all that is left when the fault is over."""
        if attempt.done:
            return
        connection = attempt.connection
        blocked = connection.partway not in (None, attempt)
        if self.context.host.time() >= step.end or len(data) == 1 or blocked:
            self.rest(attempt, data)
        else:
            if first:
                self.note(Begun(now(), self.plan.id, attempt.number, attempt.id, 1))
            connection.write(attempt, data[:1], whole=False)
            self.loop.call_later(DRIP, self.drip, attempt, data[1:], step, False)

    def reply(self, attempt: Attempt, how: str) -> None:
        data = attempt.connection.codec.answer(attempt.ref, self.plan.id, attempt.id, how)
        self.rest(attempt, data, how)

    def rest(self, attempt: Attempt, data: bytes, how: str = "served") -> None:
        """Writes the last part of an answer."""
        if attempt.done:
            return
        attempt.done = True
        self.errors += how != "served"
        connection = attempt.connection
        connection.open.remove(attempt)
        connection.idle_since = self.loop.time()
        # Noted before the write: the node may act on the answer before this process runs again.
        self.note(Replied(now(), self.plan.id, attempt.number, attempt.id, how))
        connection.write(attempt, data, whole=True)
        shut = self.fault("closed", "backlog", "reset-early") is not None
        if (not self.alive or connection.limited or shut) and not connection.open:
            connection.transport.close()  # kept, it would go on serving as if the port were open

    def abandoned(self, attempt: Attempt, by: str) -> None:
        """The connection has ended before the answer was whole."""
        if not attempt.done:
            attempt.done = True
            attempt.connection.open.remove(attempt)
            self.note(Closed(now(), self.plan.id, attempt.number, attempt.id, by))

    def probed(self, connection: Connection, path: str) -> None:
        """Answers a probe: what it reports is refreshed now and then only."""
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
        """Closes connections that have stood idle too long."""
        limit = self.loop.time() - self.context.scenario.servers.idle_s
        for connection in list(self.connections):
            if not connection.open and not connection.first and connection.idle_since < limit:
                connection.transport.close()

    # ---- faults of the port ---------------------------------------------------------------------------

    def block(self) -> None:
        """Takes no connections: the backlog is filled, and nobody accepts."""
        self.shut()
        self.drop_idle()
        self.sock = listener(self.context.places[self.plan.place], backlog=0)
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.sock.getsockname())
            self.fillers.append(filler)

    async def unblock(self) -> None:
        """Accepts again; what waited in the backlog is read late."""
        if not self.alive or self.sock is None:
            return
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        self.queued = True
        self.sock.listen(512)
        self.listening = await self.loop.create_server(lambda: Connection(self), sock=self.sock)
        self.loop.call_later(SETTLE, setattr, self, "queued", False)

    async def reopen(self) -> None:
        if self.alive and self.listening is None:
            await self.listen()

    def drop_idle(self) -> None:
        for connection in list(self.connections):
            if not connection.open:
                connection.transport.close()
