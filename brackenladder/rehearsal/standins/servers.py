"""Stand-in servers: cores, a queue, a cold start, limits on connections, load reports, and faults."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from itertools import count
from random import Random
from typing import Any, cast

import httptools

from brackenladder.rehearsal.events import Arrived, Begun, Closed, Down, Partial, Replied, Up, now
from brackenladder.rehearsal.plan import MICRO, ServerPlan, Step
from brackenladder.rehearsal.standins.process import Host, listener, named, reset

LARGEST_REQUEST = 256 << 10  # bytes of a head and its body
PADDING = 512  # bytes of an answer's body at the least, so that it has a middle
DRIP = 0.02  # seconds between two bytes
SWEEP = 0.1  # seconds between two looks at idle connections
FINISH = 3.0  # seconds that a drained server has for what it still holds
CUT = 0.005  # seconds in which the first part of an answer may go out before the reset
FILLERS = 8  # connections that fill a backlog
SETTLE = 0.1  # seconds after a backlog's end in which what comes may have waited in it
HELD_BEFORE = 300_000  # microseconds before a drain that answers are held back for


class Attempt:
    """A request that has come whole."""

    __slots__ = ("number", "id", "connection", "work", "done")

    def __init__(self, number: int, name: str, connection: Connection, work: int) -> None:
        self.number = number
        self.id = name
        self.connection = connection
        self.work = work
        self.done = False  # its answer is out, or its connection has ended


class Connection(asyncio.Protocol):
    """A connection to a server: one request at a time."""

    def __init__(self, box: Box) -> None:
        self.box = box
        self.transport: asyncio.Transport = cast(asyncio.Transport, None)
        self.parser = httptools.HttpRequestParser(self)
        self.first = 0  # when the first byte of the request came
        self.bytes = 0
        self.id = ""
        self.path = ""
        self.attempt: Attempt | None = None
        self.idle_since = 0.0
        self.deaf = False
        self.queued = box.queued
        self.limited = False
        self.early = False  # reset once its first bytes are read, of which the socket holds few

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.idle_since = self.box.loop.time()
        self.limited = len(self.box.connections) >= self.box.part.scenario.servers.connections
        self.box.connections.add(self)
        self.early = self.box.fault("reset-early") is not None

    def data_received(self, data: bytes) -> None:
        if self.deaf:
            return
        if not self.first:
            self.first = now()
        self.bytes += len(data)
        if self.bytes > LARGEST_REQUEST:
            self.deaf = True
            reset(self.transport)
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.deaf = True
            self.transport.write(
                b"HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
            )
            self.transport.close()
        if self.early:
            self.deaf = True
            if self.attempt is not None:  # it was small enough to come whole: it may have run
                self.box.abandoned(self.attempt, "server")
            reset(self.transport)

    def on_message_begin(self) -> None:
        self.id, self.path = "", ""
        self.first = self.first or now()

    def on_url(self, url: bytes) -> None:
        self.path += url.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"x-call-id":
            self.id = value.decode("latin-1")

    def on_message_complete(self) -> None:
        first, self.first, self.bytes = self.first, 0, 0
        path = self.path.partition("?")[0]
        if path in ("/health", "/status/load"):
            self.box.probed(self, path)
        elif not self.id or path.split("/")[1] not in self.box.part.classes:
            self.transport.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
        else:
            self.box.arrived(self, first, path.split("/")[1])

    def connection_lost(self, exc: Exception | None) -> None:
        self.box.connections.discard(self)
        if self.attempt is not None:
            self.box.abandoned(self.attempt, "node")
        elif self.first and self.id:
            self.box.note(Partial(now(), self.box.plan.id, self.id))


class Box:
    """One server's process, from its start to its end."""

    def __init__(self, part: Servers, plan: ServerPlan, cold_since: int) -> None:
        self.part = part
        self.plan = plan
        self.loop = part.host.loop
        self.note = part.host.journal.add
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
        self.server: asyncio.Server | None = None
        self.sock: socket.socket | None = None
        self.fillers: list[socket.socket] = []

    # ---- life -----------------------------------------------------------------------------------------

    async def rise(self) -> None:
        """Starts to serve."""
        s = self.part.scenario.servers
        self.alive = True
        cold = self.cold_since >= 0
        self.note(
            Up(
                now(),
                self.plan.id,
                self.part.pod(self.plan),
                self.part.host.started_ms(self.cold_since),
                self.plan.cores * self.plan.speed,
                s.cold_share if cold else 1.0,
                round(s.warm_s * MICRO) if cold else 0,
            )
        )
        await self.listen()

    async def listen(self) -> None:
        """Opens the port."""
        self.sock = listener(self.part.places[self.plan.place], small=self.fault("reset-early") is not None)
        self.server = await self.loop.create_server(lambda: Connection(self), sock=self.sock)

    def shut(self) -> None:
        """Closes the port, but no connection."""
        if self.server is not None:
            self.server.close()
            self.server = None
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
            if connection.attempt is not None:
                self.abandoned(connection.attempt, "server")
            reset(connection.transport)
        self.waiting.clear()

    async def retire(self) -> None:
        """Ends as a server that has drained: what it holds is finished first."""
        self.alive = False
        self.shut()
        self.note(Down(now(), self.plan.id))
        until = self.loop.time() + FINISH
        while any(c.attempt is not None for c in self.connections) and self.loop.time() < until:
            await asyncio.sleep(0.01)
        for connection in list(self.connections):
            connection.transport.close()

    def fault(self, *kinds: str) -> Step | None:
        """The fault of these kinds that is on at this server now."""
        time = self.part.host.time()
        for step in self.part.steps.get(self.plan.id, ()):
            if step.kind in kinds and step.at <= time < step.end:
                return step
        return None

    def touched(self, step: Step, name: str) -> bool:
        """Whether a fault that touches a share of the answers touches this one."""
        return step.share >= 1 or Random(f"{step.at} {name}").random() < step.share

    # ---- requests -------------------------------------------------------------------------------------

    def speed(self) -> float:
        """Of a core now, against the standard one."""
        s = self.part.scenario.servers
        if self.cold_since < 0 or not s.warm_s:
            return self.plan.speed
        warm = min(1.0, (self.part.host.time() - self.cold_since) / (s.warm_s * MICRO))
        return self.plan.speed * (s.cold_share + (1 - s.cold_share) * max(0.0, warm))

    def arrived(self, connection: Connection, first: int, klass: str) -> None:
        """A request's last byte has come."""
        name = connection.id
        low, high = self.part.classes[klass]
        work = round(1000 * Random(f"work {name}").uniform(low, high))
        attempt = Attempt(next(self.part.numbers), name, connection, work)
        connection.attempt = attempt
        self.note(Arrived(now(), first, self.plan.id, attempt.number, name, work, connection.queued))
        connection.queued = False
        late = self.fault("reset-late")
        reject = self.fault("reject")
        if (late is not None and self.touched(late, name)) or not self.alive:
            self.abandoned(attempt, "server")
            reset(connection.transport)
        elif (
            (reject is not None and self.touched(reject, name))
            or connection.limited
            or len(self.waiting) >= self.part.scenario.servers.queue
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
        time = self.part.host.time()
        for coming in self.part.steps.get(self.plan.id, ()):
            if coming.kind == "drain-answering" and coming.at - HELD_BEFORE <= time < coming.at:
                self.part.host.at(coming.at, self.finish, attempt)
                return
        step = self.fault("stall", "stall-head", "stall-body", "drip", "reset-answer", "error")
        if step is None or not self.touched(step, attempt.id):
            self.reply(attempt, "served")
            return
        if step.kind == "error":
            self.reply(attempt, "error")
            return
        data = answer_of(self.plan.id, attempt.id, "served")
        head = data.index(b"\r\n\r\n") + 4
        middle = head + (len(data) - head) // 2
        cut = {"stall": 0, "stall-head": head // 2, "drip": 0}.get(step.kind, middle)
        write = attempt.connection.transport.write
        if cut:
            self.note(Begun(now(), self.plan.id, attempt.number, attempt.id, cut))
            write(data[:cut])
        if step.kind == "reset-answer":
            self.loop.call_later(CUT, self.cut, attempt)
        elif step.kind == "drip":
            self.drip(attempt, data, step)
        else:
            self.part.host.at(step.end, self.rest, attempt, data[cut:])

    def cut(self, attempt: Attempt) -> None:
        if not attempt.done:
            self.abandoned(attempt, "server")
            reset(attempt.connection.transport)

    def drip(self, attempt: Attempt, data: bytes, step: Step) -> None:
        """A byte now; all that is left when the fault is over."""
        if attempt.done:
            return
        if self.part.host.time() >= step.end or len(data) == 1:
            self.rest(attempt, data)
        else:
            if data.startswith(b"HTTP"):
                self.note(Begun(now(), self.plan.id, attempt.number, attempt.id, 1))
            attempt.connection.transport.write(data[:1])
            self.loop.call_later(DRIP, self.drip, attempt, data[1:], step)

    def reply(self, attempt: Attempt, how: str) -> None:
        self.rest(attempt, answer_of(self.plan.id, attempt.id, how), how)

    def rest(self, attempt: Attempt, data: bytes, how: str = "served") -> None:
        """Writes the last part of an answer."""
        if attempt.done:
            return
        attempt.done = True
        self.errors += how != "served"
        connection = attempt.connection
        connection.attempt = None
        connection.idle_since = self.loop.time()
        # Noted before the write: the node may act on the answer before this process runs again.
        self.note(Replied(now(), self.plan.id, attempt.number, attempt.id, how))
        connection.transport.write(data)
        if not self.alive or connection.limited or self.fault("closed", "backlog", "reset-early") is not None:
            connection.transport.close()  # kept, it would go on serving as if the port were open

    def abandoned(self, attempt: Attempt, by: str) -> None:
        """The connection has ended before the answer was whole."""
        if not attempt.done:
            attempt.done = True
            attempt.connection.attempt = None
            self.note(Closed(now(), self.plan.id, attempt.number, attempt.id, by))

    def probed(self, connection: Connection, path: str) -> None:
        """Answers a probe: what it reports is refreshed now and then only."""
        moment = self.loop.time()
        if moment >= self.reported_at:
            low, high = self.part.scenario.servers.report_ms
            held = self.running + len(self.waiting)
            body = f"inflight={held},latency_ms={self.latency:.1f},eps={self.errors}"
            self.reported, self.errors = body.encode(), 0
            self.reported_at = moment + self.part.rng.uniform(low, high) / 1000
        body_bytes = self.reported if path == "/status/load" else b""
        if self.fault("stall", "stall-head", "drip") is None:
            connection.transport.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body_bytes), body_bytes)
            )
        connection.idle_since = moment

    def sweep(self) -> None:
        """Closes connections that have stood idle too long."""
        limit = self.loop.time() - self.part.scenario.servers.idle_s
        for connection in list(self.connections):
            if connection.attempt is None and not connection.first and connection.idle_since < limit:
                connection.transport.close()

    # ---- faults of the port ---------------------------------------------------------------------------

    def block(self) -> None:
        """Takes no connections: the backlog is filled, and nobody accepts."""
        self.shut()
        self.drop_idle()
        self.sock = listener(self.part.places[self.plan.place], backlog=0)
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
        self.server = await self.loop.create_server(lambda: Connection(self), sock=self.sock)
        self.loop.call_later(SETTLE, setattr, self, "queued", False)

    async def reopen(self) -> None:
        if self.alive and self.server is None:
            await self.listen()

    def drop_idle(self) -> None:
        for connection in list(self.connections):
            if connection.attempt is None:
                connection.transport.close()


def answer_of(server: str, name: str, how: str) -> bytes:
    """An answer's bytes; the body names server and request."""
    body = f"{server} {name}\n".encode().ljust(PADDING, b".")
    if how == "served":
        return b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%b" % (
            len(body),
            body,
        )
    if how == "rejected":
        return b"HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
    return b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"


class Servers:
    """The servers that one process hosts."""

    def __init__(self, host: Host) -> None:
        self.host = host
        self.scenario = host.scenario
        self.classes = {c.name: c.work_ms for c in host.scenario.classes}
        self.rng = Random(f"reports {host.brief.seed} {host.brief.number}")
        self.numbers = count(host.brief.number << 40)
        self.mine = [s for s in host.plan.servers if s.process == host.brief.number]
        self.places: dict[int, str] = {}
        self.boxes: dict[str, Box] = {}
        self.steps: dict[str, list[Step]] = {}
        for step in host.plan.steps:
            self.steps.setdefault(step.target, []).append(step)
        self.tasks: set[asyncio.Task[None]] = set()
        self.held: dict[int, socket.socket] = {}

    def pod(self, plan: ServerPlan) -> str:
        """The group that shares keys: the cell."""
        return f"{plan.zone}/{plan.cell}"

    async def open(self) -> dict[str, Any]:
        for place in sorted({s.place for s in self.mine}):
            # Bound for the whole run, so that nobody else gets the port while the server is away.
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(("127.0.0.1", 0))
            self.held[place] = sock
            self.places[place] = named(sock)
        for server in self.mine:
            if server.born < 0:
                await self.raise_box(server, -1)
        return {"places": {str(k): v for k, v in self.places.items()}}

    async def raise_box(self, plan: ServerPlan, cold_since: int) -> None:
        box = self.boxes[plan.id] = Box(self, plan, cold_since)
        await box.rise()

    def run(self, coroutine: Any) -> None:
        task = self.host.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.ended)

    def ended(self, task: asyncio.Task[None]) -> None:
        """A failure goes on to the loop's handler at once, not when the task is collected."""
        self.tasks.discard(task)
        if not task.cancelled():
            task.result()

    def start(self) -> None:
        plans = {s.id: s for s in self.mine}
        for server in self.mine:
            if server.born >= 0:
                self.host.at(server.born, self.later, server, server.born)
        for step in self.host.plan.steps:
            if step.target in plans:
                self.host.at(step.at, self.begin, step, plans[step.target])
        self.sweep()

    def later(self, plan: ServerPlan, cold_since: int) -> None:
        self.run(self.raise_box(plan, cold_since))

    def begin(self, step: Step, plan: ServerPlan) -> None:
        """A step's time has come."""
        self.host.fault(step)
        box = self.boxes[plan.id]
        if step.kind in ("restart", "replace"):
            box.die()
            if step.kind == "restart":
                self.host.at(step.end, self.later, plan, step.end)
        elif step.kind in ("drain", "drain-answering"):
            self.host.at(step.end, lambda: self.run(box.retire()))
        elif step.kind in ("closed", "reset-early"):
            box.shut()
            box.drop_idle()
            if step.kind == "reset-early":
                self.run(box.reopen())  # the new socket holds few bytes
                self.host.at(step.end, box.shut)
            self.host.at(step.end, lambda: self.run(box.reopen()))
        elif step.kind == "backlog":
            box.block()
            self.host.at(step.end, lambda: self.run(box.unblock()))

    def sweep(self) -> None:
        for box in self.boxes.values():
            box.sweep()
        self.host.loop.call_later(SWEEP, self.sweep)

    def order(self, order: dict[str, Any]) -> None:
        """Servers get no further orders."""

    async def finish(self) -> None:
        for box in self.boxes.values():
            box.shut()
        for sock in self.held.values():
            sock.close()
