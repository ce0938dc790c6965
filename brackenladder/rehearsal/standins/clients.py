"""Stand-in clients, spread over the nodes as by a load balancer; they send at planned times (open loop)."""

from __future__ import annotations

import asyncio
from typing import Any, cast

from brackenladder.rehearsal.events import Again, Answered, Broken, Fault, GaveUp, Sent, Unreached, now
from brackenladder.rehearsal.plan import RequestPlan, node_name
from brackenladder.rehearsal.standins.codecs import RPC, Answer, MalformedStream, Outgoing, client_codec
from brackenladder.rehearsal.standins.process import Host, report, reset

LATE_ANSWER_GRACE = 1_000_000  # microseconds a client waits past the limit, so that a late answer is seen
LOOKAHEAD = 50_000  # microseconds of the schedule for which timers are set at a time
CONNECT_TIME = 2.0
COUNTS = 0.5  # seconds between two reports of the request counts


class Try:
    """A first send or a retry of a request by its client; each try has an id of its own."""

    def __init__(self, plan: RequestPlan, number: int, began: int) -> None:
        self.plan = plan
        self.number = number
        self.began = began  # when the first try was due, by the clock of the events
        self.id = f"{(int(plan.id, 16) + number) & 0xFFFFFFFFFFFFFFFF:016x}"
        self.due = 0
        self.resent = False
        self.budget = 0
        self.sent = 0
        self.reused = False  # whether the try's connection had carried a request before
        self.timer: asyncio.TimerHandle | None = None

    def stop(self) -> None:
        """Cancels the timeout."""
        if self.timer is not None:
            self.timer.cancel()


class Connection(asyncio.Protocol):
    """A connection to a node; its codec limits how many requests are open on it at once."""

    def __init__(self, clients: Clients, node: str) -> None:
        self.clients = clients
        self.node = node
        self.transport: asyncio.Transport = cast(asyncio.Transport, None)
        self.codec = client_codec(clients.host.scenario)
        self.open: dict[str, Try] = {}  # tries without an answer, by id, the oldest first
        self.last = ""  # the id of the latest try
        self.used = 0
        self.unwritten: list[Try] = []  # tries whose last byte the kernel has not accepted yet
        self.writing = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=0)

    def has_room(self) -> bool:
        return len(self.open) < self.codec.calls and not self.transport.is_closing()

    def send(self, attempt: Try, call: Outgoing) -> None:
        self.open[attempt.id] = attempt
        self.last = attempt.id
        self.used += 1
        attempt.reused = self.used > 1
        self.unwritten.append(attempt)
        self.transport.write(self.codec.request(call))
        if not self.writing:
            self.written()

    def pause_writing(self) -> None:
        self.writing = True

    def resume_writing(self) -> None:
        if self.writing:
            self.writing = False
            self.written()

    def written(self) -> None:
        """Called once the kernel has accepted all written bytes; records the connection's tries as sent."""
        unwritten, self.unwritten = self.unwritten, []
        for attempt in unwritten:
            if self.open.get(attempt.id) is attempt:
                self.sent(attempt)

    def sent(self, attempt: Try) -> None:
        attempt.sent = now()
        c = self.clients
        c.host.journal.add(
            Sent(
                attempt.sent,
                attempt.id,
                self.node,
                attempt.plan.klass,
                attempt.budget,
                attempt.due,
                attempt.reused,
            )
        )
        early = attempt.plan.leave if not attempt.number else 0
        time = early or attempt.budget + c.margin
        attempt.timer = c.host.loop.call_later(time / 1e6, self.give_up, attempt, bool(early))

    def give_up(self, attempt: Try, early: bool) -> None:
        """Resets the connection, since a try can't be cancelled alone; other tries on it are given up too."""
        if self.open.get(attempt.id) is not attempt:
            return
        given_up, self.open = self.open, {}
        reset(self.transport)
        for other in given_up.values():
            other.stop()
            if other.sent:
                self.clients.host.journal.add(GaveUp(now(), other.id, early or other is not attempt))
                self.clients.finish_try(other, 0)
            else:
                self.unreached(other)

    def unreached(self, attempt: Try) -> None:
        """Records that the node never got the whole request."""
        self.clients.host.journal.add(Unreached(now(), attempt.id, self.node))
        self.clients.finish_try(attempt, -1)

    def data_received(self, data: bytes) -> None:
        if not self.open:
            # A second answer, or extra bytes after the first.
            self.clients.host.journal.add(Again(now(), self.last))
            reset(self.transport)
            return
        try:
            answers = self.codec.feed(data)
        except MalformedStream:
            reset(self.transport)
            return
        for answer in answers:
            name = answer.id or next(iter(self.open), "")
            if name in self.open:
                self.answered(self.open.pop(name), answer)
            else:
                self.clients.host.journal.add(Again(now(), name or self.last))
        if not self.open and self.codec.begun():
            self.clients.host.journal.add(Again(now(), self.last))

    def answered(self, attempt: Try, answer: Answer) -> None:
        """Handles a complete answer."""
        attempt.stop()
        own = answer.status != 200 or attempt.id.encode() in answer.body
        c = self.clients
        c.host.journal.add(Answered(now(), attempt.id, answer.status, own, answer.retry_after))
        free = c.free.setdefault(self.node, [])
        if answer.keep and not (attempt.plan.drop and not self.open):
            if self not in free:
                free.append(self)
        else:
            if self in free:
                free.remove(self)
            c.host.loop.call_later(0.05, self.transport.close)
        c.finish_try(attempt, answer.status, answer.retry_after)

    def connection_lost(self, exc: Exception | None) -> None:
        free = self.clients.free.get(self.node, [])
        if self in free:
            free.remove(self)
        left, self.open = self.open, {}
        for attempt in left.values():
            attempt.stop()
            self.ended_with_connection(attempt, self.codec.ended() if exc is None else None)

    def ended_with_connection(self, attempt: Try, answer: Answer | None) -> None:
        """Handles a try that was open when its connection ended."""
        c = self.clients
        if answer is not None:
            self.answered(attempt, answer)  # the answer was delimited by the end of the connection
            return
        if not attempt.sent:
            self.unreached(attempt)
            return
        begun = self.codec.calls == 1 and self.codec.begun()
        c.host.journal.add(Broken(now(), attempt.id, begun))
        crossed = attempt.reused and not begun and now() - attempt.sent < c.slack
        if crossed and not attempt.resent:
            c.resend(attempt)  # sent as the node closed the idle connection, so it is sent once more
        else:
            c.finish_try(attempt, 0)


class SilentClient(asyncio.Protocol):
    """A connection that sends nothing; the node may close it."""

    def __init__(self, held: set[asyncio.Transport]) -> None:
        self.held = held

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.held.add(self.transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.held.discard(self.transport)


class Clients:
    """The role `clients`: all clients, and the choice of a node for each try."""

    def __init__(self, host: Host) -> None:
        self.host = host
        s = host.scenario
        self.classes = s.classes
        self.slack = round(s.rules.slack_ms * 1000)
        self.margin = round((s.rules.answer_ms + s.rules.slack_ms) * 1000) + LATE_ANSWER_GRACE
        self.free: dict[
            str, list[Connection]
        ] = {}  # by node: connections that can take another request, the most recently used last
        self.address: dict[str, tuple[str, int]] = {}
        self.accepting: dict[str, bool] = {}  # by node: whether clients may open connections to it
        self.unfinished = 0  # requests in progress
        self.counts = {"sent": 0, "served": 0, "refused": 0, "failed": 0, "unreached": 0}
        self.next = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.body = b"." * s.clients.body_bytes
        self.held: set[asyncio.Transport] = set()

    async def open(self) -> dict[str, Any]:
        """Opens nothing, since clients do not listen."""
        return {}

    def order(self, order: dict[str, Any]) -> None:
        """Handles a change of a node: `up` at an address, or `closed` for new connections."""
        name = order["node"]
        if "address" in order:
            host, _, port = order["address"].rpartition(":")
            self.address[name] = (host, int(port))
        self.accepting[name] = order["state"] == "up"

    def start(self) -> None:
        for name, address in self.host.brief.address.items():
            kind, _, node = name.partition(" ")
            if kind == "node":
                self.order({"node": node, "address": address, "state": "up"})
        for step in self.host.plan.steps:
            if step.kind == "silent-clients":
                self.host.at(step.at, self.hold_silent_connections, step.target, step.count, step.end)
        self.feed()
        self.report_counts()

    def feed(self) -> None:
        """Sets timers for the next part of the schedule; tells the runner when the last request has ended."""
        plans = self.host.plan.requests
        until = self.host.time() + 2 * LOOKAHEAD
        while self.next < len(plans) and plans[self.next].at < until:
            plan = plans[self.next]
            self.next += 1
            self.unfinished += 1
            self.host.at(plan.at, self.start_first_try, plan)
        if self.next < len(plans) or self.unfinished:
            self.host.loop.call_later(LOOKAHEAD / 1e6, self.feed)
        else:
            report({"done": True, **self.counts})

    def report_counts(self) -> None:
        report({"counts": self.counts, "open": self.unfinished})
        self.host.loop.call_later(COUNTS, self.report_counts)

    # ---- tries ----------------------------------------------------------------------------------------

    def start_first_try(self, plan: RequestPlan) -> None:
        due = self.host.begin + plan.at
        self.host.note_lag(now() - due - 2_000)
        self.start_try(Try(plan, 0, due), due)

    def start_try(self, attempt: Try, due: int) -> None:
        """Sends a try on an open connection to its node, or on a new one."""
        attempt.due = due
        node = self.choose_node(attempt)
        free = self.free.get(node, [])
        # A client that will disconnect early gets its own connection: disconnecting ends all tries on it.
        alone = attempt.resent or (
            attempt.plan.leave and not attempt.number and self.host.scenario.transport == RPC
        )
        while free and not alone:
            connection = free[-1]
            if not connection.has_room():
                free.pop()
                continue
            self.send(connection, attempt)
            return
        task = self.host.loop.create_task(self.connect(node, attempt))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def choose_node(self, attempt: Try) -> str:
        """The node for a try: the planned one, or else the next that accepts connections."""
        nodes = self.host.scenario.nodes
        for offset in range(nodes):
            name = node_name((attempt.plan.node + attempt.number + offset) % nodes)
            if self.accepting.get(name) or (self.free.get(name) and not attempt.resent):
                return name
        return node_name(attempt.plan.node)

    async def connect(self, node: str, attempt: Try) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIME):
                _, connection = await self.host.loop.create_connection(
                    lambda: Connection(self, node), *self.address[node]
                )
        except (OSError, TimeoutError):
            self.host.journal.add(Unreached(now(), attempt.id, node))
            self.finish_try(attempt, -1)
            return
        self.send(connection, attempt)

    def send(self, connection: Connection, attempt: Try) -> None:
        plan = attempt.plan
        klass = self.classes[plan.klass]
        left = attempt.began + round(klass.deadline_ms * 1000) - now()
        attempt.budget = min(plan.budgets[min(attempt.number, len(plan.budgets) - 1)], left) // 1000 * 1000
        free = self.free.setdefault(connection.node, [])
        if attempt.budget > 0:
            self.counts["sent"] += 1
            connection.send(
                attempt,
                Outgoing(
                    id=attempt.id,
                    klass=klass.name,
                    effect=klass.effect,
                    tenant=self.host.scenario.tenants[plan.tenant],
                    object=plan.object,
                    budget=attempt.budget // 1000,
                    again=attempt.number > 0,
                    key=f"{plan.id}{plan.object}" if klass.effect == "keyed" else "",
                    body=self.body,
                ),
            )
        if connection.has_room() and connection not in free:
            free.append(connection)
        elif not connection.has_room() and connection in free:
            free.remove(connection)
        if attempt.budget <= 0:
            self.finish_try(attempt, 0)

    def resend(self, attempt: Try) -> None:
        """Sends a try once more, with a new id, on a new connection."""
        new = Try(attempt.plan, attempt.number, attempt.began)
        new.id = f"{int(attempt.id, 16) ^ (1 << 63):016x}"
        new.resent = True
        self.start_try(new, now())

    def finish_try(self, attempt: Try, status: int, advice: float = 0.0) -> None:
        """Counts a try that has ended, and starts a retry if that is allowed.

        `status`: of the answer; 0: broken or given up; -1: the node was not reached.
        """
        effect = self.classes[attempt.plan.klass].effect
        refused = status in (429, 503)
        left = attempt.plan.leave and not attempt.number and status == 0
        harmless = refused or status == -1 or (effect == "safe" and status != 200 and not left)
        key = (
            "served" if status == 200 else "refused" if refused else "unreached" if status == -1 else "failed"
        )
        self.counts[key] += 1
        if harmless and attempt.number < self.host.scenario.clients.retries:
            wait = round(advice * 1e6) or attempt.plan.waits[attempt.number]
            deadline = attempt.began + round(self.classes[attempt.plan.klass].deadline_ms * 1000)
            if now() + wait < deadline:
                following = Try(attempt.plan, attempt.number + 1, attempt.began)
                self.host.loop.call_later(wait / 1e6, self.start_try, following, now() + wait)
                return
        self.unfinished -= 1

    # ---- silent clients -------------------------------------------------------------------------------

    def hold_silent_connections(self, node: str, connections: int, end: int) -> None:
        """Holds `connections` silent connections to a node until `end`, reopening those that it closes."""
        self.host.journal.add(Fault(now(), self.host.begin + end, "silent-clients", node))

        async def hold() -> None:
            while self.host.time() < end:
                for _ in range(min(50, connections - len(self.held))):
                    try:
                        async with asyncio.timeout(CONNECT_TIME):
                            await self.host.loop.create_connection(
                                lambda: SilentClient(self.held), *self.address[node]
                            )
                    except (OSError, TimeoutError):
                        break
                await asyncio.sleep(0.02)
            for transport in list(self.held):
                transport.abort()

        task = self.host.loop.create_task(hold())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def finish(self) -> None:
        for task in list(self.tasks):
            task.cancel()
