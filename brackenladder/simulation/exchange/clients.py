"""Simulated clients. They send requests in portions, reuse connections, pipeline and sometimes give up."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

from brackenladder.simulation.exchange.answer_reader import AnswerReader, NoAnswer
from brackenladder.simulation.exchange.gateways import GatewayMachine
from brackenladder.simulation.exchange.history import History, Request, RequestOutcome
from brackenladder.simulation.exchange.site import FRONT_PORT, HOST, NOT_RUN_STATUSES, ROUTES, SECOND
from brackenladder.simulation.streams import StreamEnd, StreamHost, StreamNetwork

CONNECT_SECONDS = 1.0
GIVE_UP_SHARE = 0.08  # fraction of the requests that their clients give up early
INCOMPLETE_SHARE = 0.03  # fraction of the requests that are never sent completely
KEPT_SHARE = 0.8  # fraction of the answered requests after which the connection is kept
PIPELINED_SHARE = 0.1  # fraction of the requests that are followed by a pipelined one
PATIENCE_SECONDS = 2.0  # seconds past its last time limit after which a request counts as unanswered
MOST_IDLE_SECONDS = 3.0  # maximum idle time of a connection that is reused
DEADLINES_MS = (300, 800, 2_000, 4_000)
BODY_BYTES = (0, 5, 400, 20_000)
RETRY_SHARE = 0.9  # fraction of the refused requests that are sent again with the same id
SAME_GATEWAY_SHARE = 0.8  # fraction of the retries that go to the gateway that refused the request
MOST_RETRIES = 3
RETRY_PAUSES = (0.0, 0.005, 0.05, 0.3)  # seconds
LONGEST_BODY_PAUSE = 40_000  # microseconds between two portions of a request

Fail = Callable[[str, str], None]


class Clients:
    """All clients of a run: draws requests and sends them."""

    def __init__(
        self,
        streams: StreamNetwork,
        gateways: list[GatewayMachine],
        history: History,
        random: Random,
        fail: Fail,
    ) -> None:
        """`fail` takes the name of a broken rule and a description."""
        self.streams = streams
        self.gateways = gateways
        self.history = history
        self.random = random
        self.fail = fail
        self.host: StreamHost = streams.add_host("10.9.0.1", "clients")
        self.idle: list[ClientConnection] = []
        self.active = True
        self.open = 0  # requests and connection attempts in progress
        self._number = 0

    async def run(self, pause: float) -> None:
        """Sends a request about every `pause` seconds until `active` is cleared."""
        while self.active:
            self.send()
            await asyncio.sleep(pause * self.random.uniform(0.2, 1.8))

    def send(self) -> Request:
        """Sends one request on an idle connection or a new one."""
        kept = self._take_idle()
        if kept is not None:
            request = self._request(kept.gateway)
            kept.begin(request)
            return request
        gateway = self.random.choice(self.gateways)
        request = self._request(gateway)
        self.open += 1
        asyncio.get_running_loop().create_task(self._connect(request, gateway))
        return request

    def retry(self, request: Request) -> None:
        """Sends a refused request again, with the same id and on a new connection."""
        gateway = self.gateways[request.gateway]
        if self.random.random() >= SAME_GATEWAY_SHARE:
            gateway = self.random.choice(self.gateways)
        request.begin_again(self.streams.loop.microseconds, gateway.number)
        asyncio.get_running_loop().create_task(self._connect(request, gateway))

    def next_pipelined(self, gateway: GatewayMachine) -> Request:
        """Creates a request to be pipelined after another one."""
        return self._request(gateway)

    def _take_idle(self) -> ClientConnection | None:
        now = self.streams.loop.time()
        usable = [connection for connection in self.idle if now - connection.idle_since < MOST_IDLE_SECONDS]
        self.idle = usable
        if not usable or self.random.random() < 0.3:
            return None
        return usable.pop(self.random.randrange(len(usable)))

    def _request(self, gateway: GatewayMachine) -> Request:
        random = self.random
        self._number += 1
        route = random.choice(ROUTES)
        method = random.choice(("GET", "POST")) if route.kind == "safe" else "POST"
        size = 0 if method == "GET" else random.choice(BODY_BYTES)
        request = Request(
            id=f"q{self._number}",
            route=route,
            method=method,
            target=f"{route.prefix}{self._number}?x=1",
            body=(f"{self._number};".encode() * size)[:size],
            gateway=gateway.number,
            deadline_ms=random.choice(DEADLINES_MS),
            event_count=random.randint(1, 12) if route.streaming else 0,
            started_at=self.streams.loop.microseconds,
        )
        self.history.requests[request.id] = request
        return request

    async def _connect(self, request: Request, gateway: GatewayMachine) -> None:
        connection = ClientConnection(self, gateway)
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                end = await self.streams.connect(self.host, gateway.ip, FRONT_PORT)
        except OSError:
            request.outcome = RequestOutcome.REFUSED
            request.ended_at = self.streams.loop.microseconds
            self.open -= 1
            return
        self.open -= 1
        end.process = None
        end.attach(connection)
        connection.begin(request)


class ClientConnection(asyncio.Protocol):
    """A client's connection to a gateway, with one request at a time or two pipelined ones."""

    def __init__(self, clients: Clients, gateway: GatewayMachine) -> None:
        self.clients = clients
        self.gateway = gateway
        self.idle_since = 0.0
        self.end: StreamEnd
        self._start = gateway.starts
        self._reader = AnswerReader()
        self._requests: list[Request] = []  # requests sent and not yet answered
        self._loop = clients.streams.loop
        self._random = clients.random
        self._left = False

    def begin(self, request: Request) -> None:
        """Sends a request completely or in part, sometimes followed by a pipelined one."""
        self._add(request)
        data = _encode(request)
        if self._random.random() < INCOMPLETE_SHARE:
            self._write_parts(request, data[: self._random.randrange(1, len(data))], complete=False)
        elif self._random.random() < PIPELINED_SHARE:
            second = self.clients.next_pipelined(self.gateway)
            second.queued_behind = request
            self._add(second)
            self.end.write(data + _encode(second))
            request.sent_at = second.sent_at = self._loop.microseconds
        else:
            self._write_parts(request, data, complete=True)

    def _add(self, request: Request) -> None:
        self.clients.open += 1
        self._requests.append(request)
        request.gateway_start = self._start
        longest = max(request.deadline_ms, request.route.timeout_ms) / 1000 + PATIENCE_SECONDS
        self._loop.call_later(longest, self._unanswered, request)
        if self._random.random() < GIVE_UP_SHARE:
            after = self._random.uniform(0.0, 0.3)
            self._loop.call_later(after, self._give_up, request)

    def _write_parts(self, request: Request, data: bytes, complete: bool) -> None:
        """Writes data in portions. With `complete`, the request has been sent when all of it is written."""
        if request.outcome is not RequestOutcome.OPEN or self.end.is_closing():
            return
        size = len(data) if self._random.random() < 0.7 else self._random.randint(1, len(data))
        self.end.write(data[:size])
        if size < len(data):
            pause = self._random.randrange(LONGEST_BODY_PAUSE) / SECOND
            self._loop.call_later(pause, self._write_parts, request, data[size:], complete)
        elif complete:
            request.sent_at = self._loop.microseconds

    # ---- asyncio.Protocol -----------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See `asyncio.Protocol`."""
        assert isinstance(transport, StreamEnd)
        self.end = transport

    def data_received(self, data: bytes) -> None:
        """See `asyncio.Protocol`."""
        if self._left:
            return
        if not self._requests:
            if self.idle_since:
                self.clients.fail("mixed", f"bytes without a request: {data[:60]!r}")
            return
        request = self._requests[0]
        request.first_byte_at = request.first_byte_at or self._loop.microseconds
        try:
            self._reader.feed(data)
        except NoAnswer as error:
            self.clients.fail("mixed", f"{request.id} gets no answer in the protocol: {error}")
            return
        while self._reader.complete and self._requests:
            self._answered()

    def connection_lost(self, exc: Exception | None) -> None:
        """See `asyncio.Protocol`."""
        if self in self.clients.idle:
            self.clients.idle.remove(self)
        if self._requests and exc is None and self._reader.ended():
            self._answered()
        for request in self._requests:
            first = request is self._requests[0]
            self._end(
                request, RequestOutcome.BROKEN if first and self._reader.started else RequestOutcome.CLOSED
            )
        self._requests.clear()

    # ---- ends of requests -----------------------------------------------------------------------------

    def _answered(self) -> None:
        reader = self._reader
        request = self._requests.pop(0)
        request.status = reader.status
        request.signature = reader.headers.get("x-brackenladder-response-signature", "")
        request.answer = reader.body
        received_id = reader.headers.get("x-brackenladder-request-id")
        if received_id is not None and received_id != request.id:
            self.clients.fail("mixed", f"{request.id} gets the answer of {received_id}")
        closes = reader.headers.get("connection", "").lower() == "close"
        reader.next()
        self._end(request, RequestOutcome.ANSWERED)
        self._retry_if_refused(request)
        if self._requests:
            reader.feed(b"")
        elif closes or not request.sent_at or self._random.random() >= KEPT_SHARE:
            self.end.close()
        elif not self.end.is_closing():
            self.idle_since = self._loop.time()
            self.clients.idle.append(self)

    def _retry_if_refused(self, request: Request) -> None:
        clients = self.clients
        if request.status not in NOT_RUN_STATUSES or not request.sent_at or not clients.active:
            return
        if len(request.refusals) < MOST_RETRIES and self._random.random() < RETRY_SHARE:
            clients.open += 1
            self._loop.call_later(self._random.choice(RETRY_PAUSES), clients.retry, request)

    def _give_up(self, request: Request) -> None:
        if request.outcome is RequestOutcome.OPEN and request in self._requests:
            self._end(request, RequestOutcome.GIVEN_UP)
            self._requests.remove(request)
            self._leave()

    def _unanswered(self, request: Request) -> None:
        if request.outcome is RequestOutcome.OPEN and request in self._requests:
            self._end(request, RequestOutcome.UNANSWERED)
            self._requests.remove(request)
            self._leave()

    def _leave(self) -> None:
        self._left = True
        for other in self._requests:
            other.excused = True
        if self._random.random() < 0.3:
            self.end.reset_by_network()
        else:
            self.end.abort()

    def _end(self, request: Request, outcome: RequestOutcome) -> None:
        request.outcome = outcome
        request.ended_at = self._loop.microseconds
        self.clients.open -= 1


def _encode(request: Request) -> bytes:
    lines = [
        f"{request.method} {request.target} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Brackenladder-Request-Id: {request.id}",
        f"X-Brackenladder-Request-Deadline-Ms: {request.deadline_ms}",
        f"X-Pieces: {request.event_count}",
    ]
    if request.body or request.method == "POST":
        lines.append(f"Content-Length: {len(request.body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + request.body
