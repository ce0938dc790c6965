"""Stand-in clients behind a front: they send at set times whatever the answers."""

from __future__ import annotations

import asyncio
from typing import Any, cast

import httptools

from brackenladder.rehearsal.events import Again, Answered, Broken, Fault, GaveUp, Sent, Unreached, now
from brackenladder.rehearsal.plan import RequestPlan, node_name
from brackenladder.rehearsal.standins.process import Host, report, reset

PATIENCE = 1_000_000  # microseconds after an answer's last moment, so that a late one can be told from none
LARGEST_ANSWER = 1 << 20
AHEAD = 50_000  # microseconds of the schedule that are handed to the event loop at once
CONNECT_TIME = 2.0
COUNTS = 0.5  # seconds between two reports of the counts
ADVICE_MOST = 5.0  # seconds of Retry-After that a client obeys


class Try:
    """One try of a request: an id of its own."""

    def __init__(self, plan: RequestPlan, number: int, began: int) -> None:
        self.plan = plan
        self.number = number
        self.began = began  # when the first try was due, in the events' clock
        self.id = f"{(int(plan.id, 16) + number) & 0xFFFFFFFFFFFFFFFF:016x}"
        self.due = 0
        self.resent = False
        self.budget = 0
        self.sent = 0


class Connection(asyncio.Protocol):
    """A connection to a node: one request at a time."""

    def __init__(self, clients: Clients, node: str) -> None:
        self.clients = clients
        self.node = node
        self.transport: asyncio.Transport = cast(asyncio.Transport, None)
        self.parser = httptools.HttpResponseParser(self)
        self.open: Try | None = None
        self.last = ""  # the id of the latest request
        self.used = 0
        self.begun = False
        self.body = b""
        self.framed = False
        self.retry_after = 0.0
        self.timer: asyncio.TimerHandle | None = None
        self.writing = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=0)

    def send(self, attempt: Try, data: bytes) -> None:
        self.open = attempt
        self.last = attempt.id
        self.begun = False
        self.used += 1
        self.writing = False
        self.transport.write(data)
        if not self.writing:
            self.written()

    def pause_writing(self) -> None:
        self.writing = True

    def resume_writing(self) -> None:
        if self.writing:
            self.writing = False
            self.written()

    def written(self) -> None:
        """The last byte is with the system: the node's time runs."""
        attempt = self.open
        if attempt is None or attempt.sent:
            return
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
                self.used > 1,
            )
        )
        early = attempt.plan.leave if not attempt.number else 0
        time = early or attempt.budget + c.margin
        self.timer = c.host.loop.call_later(time / 1e6, self.give_up, bool(early))

    def give_up(self, early: bool) -> None:
        attempt, self.open = self.open, None
        if attempt is not None:
            self.clients.host.journal.add(GaveUp(now(), attempt.id, early))
            reset(self.transport)
            self.clients.over(attempt, 0)

    def data_received(self, data: bytes) -> None:
        if self.open is None:
            # A second answer, or more of the first.
            self.clients.host.journal.add(Again(now(), self.last))
            reset(self.transport)
            return
        self.begun = True
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            reset(self.transport)

    def on_message_begin(self) -> None:
        self.body = b""
        self.framed = False
        self.retry_after = 0.0
        if self.open is None:
            self.clients.host.journal.add(Again(now(), self.last))

    def on_header(self, name: bytes, value: bytes) -> None:
        key = name.lower()
        if key in (b"content-length", b"transfer-encoding"):
            self.framed = True
        elif key == b"retry-after":
            try:
                self.retry_after = min(ADVICE_MOST, max(0.0, float(value)))
            except ValueError:
                self.retry_after = 0.0

    def on_body(self, body: bytes) -> None:
        if len(self.body) < LARGEST_ANSWER:
            self.body += body

    def on_message_complete(self) -> None:
        status = self.parser.get_status_code()
        if status >= 200 and self.open is not None:
            self.whole(status, self.parser.should_keep_alive())

    def whole(self, status: int, keep: bool) -> None:
        """The last byte of an answer has come."""
        attempt, self.open = self.open, None
        assert attempt is not None
        if self.timer is not None:
            self.timer.cancel()
        own = status != 200 or attempt.id.encode() in self.body
        c = self.clients
        c.host.journal.add(Answered(now(), attempt.id, status, own, self.retry_after))
        if keep and not attempt.plan.drop:
            c.idle.setdefault(self.node, []).append(self)
        else:
            c.host.loop.call_later(0.05, self.transport.close)
        c.over(attempt, status, self.retry_after)

    def connection_lost(self, exc: Exception | None) -> None:
        pool = self.clients.idle.get(self.node, [])
        if self in pool:
            pool.remove(self)
        attempt = self.open
        if attempt is None:
            return
        if self.begun and not self.framed and exc is None and self.parser.get_status_code():
            self.whole(self.parser.get_status_code(), False)  # the end was the framing
            return
        self.open = None
        if self.timer is not None:
            self.timer.cancel()
        c = self.clients
        if not attempt.sent:  # the node never had it whole
            c.host.journal.add(Unreached(now(), attempt.id, self.node))
            c.over(attempt, -1)
            return
        c.host.journal.add(Broken(now(), attempt.id, self.begun))
        crossed = self.used > 1 and not self.begun and now() - attempt.sent < c.slack
        if crossed and not attempt.resent:
            c.again(attempt)  # it crossed the connection's end, so it goes out once more
        else:
            c.over(attempt, 0)


class Silent(asyncio.Protocol):
    """A client that connects and says nothing; the node may close it."""

    def __init__(self, held: set[asyncio.Transport]) -> None:
        self.held = held

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.held.add(self.transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.held.discard(self.transport)


class Clients:
    """All clients, and the front that deals them out among the nodes."""

    def __init__(self, host: Host) -> None:
        self.host = host
        s = host.scenario
        self.classes = s.classes
        self.slack = round(s.rules.slack_ms * 1000)
        self.margin = round((s.rules.answer_ms + s.rules.slack_ms) * 1000) + PATIENCE
        self.idle: dict[str, list[Connection]] = {}
        self.address: dict[str, tuple[str, int]] = {}
        self.taking: dict[str, bool] = {}  # nodes that the front gives new connections to
        self.left = 0  # requests that are not over
        self.counts = {"sent": 0, "served": 0, "refused": 0, "failed": 0, "unreached": 0}
        self.next = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.body = b"." * s.clients.body_bytes
        self.held: set[asyncio.Transport] = set()

    async def open(self) -> dict[str, Any]:
        """Clients listen nowhere."""
        return {}

    def order(self, order: dict[str, Any]) -> None:
        """`node` is `up` at an address, or `closed` to new connections."""
        name = order["node"]
        if "address" in order:
            host, _, port = order["address"].rpartition(":")
            self.address[name] = (host, int(port))
        self.taking[name] = order["state"] == "up"

    def start(self) -> None:
        for name, address in self.host.brief.address.items():
            kind, _, node = name.partition(" ")
            if kind == "node":
                self.order({"node": node, "address": address, "state": "up"})
        for step in self.host.plan.steps:
            if step.kind == "silent-clients":
                self.host.at(step.at, self.silence, step.target, step.count, step.end)
        self.feed()
        self.tell()

    def feed(self) -> None:
        """Hands the next stretch of the schedule to the event loop."""
        plans = self.host.plan.requests
        until = self.host.time() + 2 * AHEAD
        while self.next < len(plans) and plans[self.next].at < until:
            plan = plans[self.next]
            self.next += 1
            self.left += 1
            self.host.at(plan.at, self.first, plan)
        if self.next < len(plans) or self.left:
            self.host.loop.call_later(AHEAD / 1e6, self.feed)
        else:
            report({"done": True, **self.counts})

    def tell(self) -> None:
        report({"counts": self.counts, "open": self.left})
        self.host.loop.call_later(COUNTS, self.tell)

    # ---- tries ----------------------------------------------------------------------------------------

    def first(self, plan: RequestPlan) -> None:
        due = self.host.begin + plan.at
        self.host.late(now() - due - 2_000)
        self.go(Try(plan, 0, due), due)

    def go(self, attempt: Try, due: int) -> None:
        """Sends a try on a kept connection of its node, or on a new one."""
        attempt.due = due
        node = self.deal(attempt)
        pool = self.idle.get(node, [])
        while pool and not attempt.resent:
            connection = pool.pop()
            if not connection.transport.is_closing():
                self.send(connection, attempt)
                return
        task = self.host.loop.create_task(self.connect(node, attempt))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def deal(self, attempt: Try) -> str:
        """The node that a try goes to: the plan's, or the next one that is taken in."""
        nodes = self.host.scenario.nodes
        for offset in range(nodes):
            name = node_name((attempt.plan.node + attempt.number + offset) % nodes)
            if self.taking.get(name) or (self.idle.get(name) and not attempt.resent):
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
            self.over(attempt, -1)
            return
        self.send(connection, attempt)

    def send(self, connection: Connection, attempt: Try) -> None:
        plan = attempt.plan
        klass = self.classes[plan.klass]
        left = attempt.began + round(klass.deadline_ms * 1000) - now()
        attempt.budget = min(plan.budgets[min(attempt.number, len(plan.budgets) - 1)], left) // 1000 * 1000
        if attempt.budget <= 0:
            self.idle.setdefault(connection.node, []).append(connection)
            self.over(attempt, 0)
            return
        lines = [
            f"{'GET' if klass.effect == 'safe' else 'POST'} /{klass.name}?obj={plan.object} HTTP/1.1",
            "Host: app.test",
            f"X-Call-Id: {attempt.id}",
            f"X-Caller: {self.host.scenario.tenants[plan.tenant]}",
            f"X-Budget-Ms: {attempt.budget // 1000}",
        ]
        if attempt.number:
            lines.append("X-Again: 1")
        body = b""
        if klass.effect != "safe":
            body = self.body
            lines.append(f"Content-Length: {len(body)}")
        if klass.effect == "keyed":
            lines.append(f"Idempotency-Key: {plan.id}{plan.object}")
        self.counts["sent"] += 1
        connection.send(attempt, "\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def again(self, attempt: Try) -> None:
        """Sends a try once more, with an id of its own, on a new connection."""
        new = Try(attempt.plan, attempt.number, attempt.began)
        new.id = f"{int(attempt.id, 16) ^ (1 << 63):016x}"
        new.resent = True
        self.go(new, now())

    def over(self, attempt: Try, status: int, advice: float = 0.0) -> None:
        """A try has ended: 0 broken or given up, -1 the node was not reached. Perhaps there is another."""
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
                self.host.loop.call_later(wait / 1e6, self.go, following, now() + wait)
                return
        self.left -= 1

    # ---- silent clients -------------------------------------------------------------------------------

    def silence(self, node: str, connections: int, end: int) -> None:
        """Opens connections that say nothing, again and again as the node closes them."""
        self.host.journal.add(Fault(now(), self.host.begin + end, "silent-clients", node))

        async def hold() -> None:
            while self.host.time() < end:
                for _ in range(min(50, connections - len(self.held))):
                    try:
                        async with asyncio.timeout(CONNECT_TIME):
                            await self.host.loop.create_connection(
                                lambda: Silent(self.held), *self.address[node]
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
