"""The node's HTTP server: the connections of clients, their requests and the responses to them."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections import deque
from typing import Protocol, cast

import httptools

from brackenladder.core.ending import HANDOVER, TAKING
from brackenladder.http.large_bodies import (
    LARGE_BODY,
    LARGEST_BODY,
    MIN_BODY_RATE,
    BodyBudget,
    BodyReservation,
    next_step,
    too_slow,
)
from brackenladder.http.relay import Relay
from brackenladder.operations.pause import ServiceStage
from brackenladder.sockets.listener import LINGER, AcceptedConnection, Address, Listener

LARGEST_HEAD = 32768
PARSE_SLICE = 8192  # bytes parsed in one go while they may contain a head
BODY_SLICE = 65536  # bytes parsed in one go in the middle of a body
LARGEST_LINES = 128  # header lines of one request
# The bytes received for a body may be this many times its length, because of chunk framing.
MAX_FRAMING_FACTOR = 8
MAX_PIPELINED = 8  # complete requests that may wait on one connection behind an open one
# Number of connections, within the limit, that are only used to answer 503 when all others are taken.
REFUSING_CONNECTIONS = 16
FLUSH_TIMEOUT = 30.0  # seconds in which a client may read the rest of a large last response
SWEEP_INTERVAL = 0.25  # seconds between two checks for slow clients
SETTLE = 0.2  # seconds in which a connection that was just accepted or used may bring its next request

REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    429: b"Too Many Requests",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
STATUS_LINES = {status: b"HTTP/1.1 %d %b\r\n" % (status, reason) for status, reason in REASONS.items()}


# Requests with several values of these headers are refused: this node and the servers might each use a
# different one.
SINGLE_VALUED = frozenset(
    (b"host", b"x-call-id", b"idempotency-key", b"x-budget-ms", b"x-caller", b"x-again")
)


class HttpRequest:
    """A parsed request, or the status of the error that makes it invalid (`error`)."""

    __slots__ = (
        "error",
        "method",
        "target",
        "lines",
        "headers",
        "parts",
        "length",
        "announced",
        "keep",
        "size",
        "reservation",
        "chunks",
    )

    def __init__(self, error: int = 0) -> None:
        self.error = error
        self.method = b""
        self.target = b""
        self.lines: list[tuple[bytes, bytes, bytes]] = []  # headers: lower-case name, name, value
        self.headers: dict[bytes, bytes] = {}  # by lower-case name; the first value counts
        self.parts: list[bytes] = []  # pieces of the body
        self.length = 0  # bytes of the body received so far
        self.announced = 0  # value of the Content-Length header
        self.keep = error == 0
        self.size = 0  # bytes that count towards the limit of held requests while it waits or is open
        # Memory reserved for a large body; it counts towards `body_budget`.
        self.reservation: BodyReservation | None = None
        self.chunks = True  # whether the client understands chunked encoding


class Handler(Protocol):
    """Receives the requests of a connection."""

    def handle_request(self, connection: ClientConnection, request: HttpRequest) -> None:
        """Handles a complete request. `connection.answer` must be called once for it."""

    def refuse_request(self, connection: ClientConnection) -> None:
        """Refuses a request for which there is no room. `connection.answer` must be called once for it."""

    def client_left(self, connection: ClientConnection) -> None:
        """The client disconnected while its request was open."""


class ClientConnection(AcceptedConnection):
    """A client's connection. One request is open at a time; pipelined ones wait for it."""

    def __init__(self, owner: ClientConnections, refusing: bool) -> None:
        super().__init__(owner.loop.time())
        self.owner = owner
        self.refusing = refusing
        self.parser = httptools.HttpRequestParser(self)
        self.partial_request: HttpRequest | None = None
        self.head_complete = False  # the head of the partial request has been read
        self.request_bytes = 0  # bytes received of the partial request
        self.waiting: deque[HttpRequest] = deque()
        self.open_request: HttpRequest | None = None
        self.reading_stopped = False  # nothing more is read from this client
        self.write_paused = False  # the client does not read its responses
        self.relay: Relay | None = None  # the relay of a large response that is being sent
        self.chunks = True  # whether the client of the open request understands chunked encoding
        self.requests_started = 0  # requests that were passed to the handler
        self.paused = False
        self.connection_closed = False

    # ---- reading --------------------------------------------------------------------------------------

    def is_busy(self) -> bool:
        return bool(self.open_request or self.waiting or self.reading_stopped)

    def has_partial_request(self) -> bool:
        return self.partial_request is not None

    def data_received(self, data: bytes) -> None:
        self.last_active = self.owner.loop.time()
        start = 0
        while start < len(data) and not self.reading_stopped:
            size = PARSE_SLICE
            if self.partial_request is not None and self.head_complete:
                size = max(
                    PARSE_SLICE, min(BODY_SLICE, self.partial_request.announced - self.partial_request.length)
                )
            self.feed(data if len(data) <= size and not start else data[start : start + size])
            start += size
        if self.waiting and self.open_request is None:
            # The first request of a connection may have waited in the backlog before the accept.
            self.start_next(waited=not self.requests_started)

    def eof_received(self) -> None:
        """Drops the requests of a client that closed its side; what was already written is still sent."""
        self.reading_stopped = True
        self.discard_partial()
        self.discard_waiting()
        self.drop_open_request()
        if self.has_unsent_output():
            self.owner.loop.call_later(
                LINGER, self.close_when_flushed, self.owner.loop.time() + FLUSH_TIMEOUT
            )

    def feed(self, data: bytes) -> None:
        """Parses a slice of the received bytes.

        The limits of a head are checked after each slice, so slices are small compared to them.
        """
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The request is served without the upgrade, but the parser reads nothing after it.
            self.reading_stopped = True
            last = self.waiting[-1] if self.waiting else self.open_request
            if last is not None:
                last.keep = False
        except httptools.HttpParserError:
            self.reject(400)
        if self.partial_request is not None:
            self.request_bytes += len(data)
            if not self.head_complete and (
                self.request_bytes > LARGEST_HEAD or len(self.partial_request.lines) > LARGEST_LINES
            ):
                self.reject(431)
            elif self.request_bytes > LARGEST_HEAD + MAX_FRAMING_FACTOR * (
                LARGE_BODY + self.partial_request.length
            ):
                self.reject(413)

    def on_message_begin(self) -> None:
        self.partial_request = HttpRequest()
        self.head_complete = False
        self.request_bytes = 0
        if self.got_request:
            self.request_since = self.last_active  # its first byte has just arrived

    def on_url(self, url: bytes) -> None:
        if self.partial_request is not None:
            self.partial_request.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        request = self.partial_request
        if request is None or self.head_complete:  # trailers are not forwarded
            return
        key = name.lower()
        headers = request.headers
        # `feed` checks the limit on lines after each slice of input, so one slice may exceed it.
        request.lines.append((key, name, value))
        request.size += len(name) + len(value)
        if key not in headers:
            headers[key] = value
        elif key in SINGLE_VALUED:
            self.reject(400)

    def on_headers_complete(self) -> None:
        self.head_complete = True
        if self.partial_request is None:
            return
        if len(self.partial_request.lines) > LARGEST_LINES:
            self.reject(431)
            return
        headers = self.partial_request.headers
        coding = headers.get(b"transfer-encoding")
        chunked = coding is not None and coding.strip().lower() == b"chunked"
        if coding is not None and not (chunked and self.parser.get_http_version() == "1.1"):
            # With any other transfer coding, the end of the body is ambiguous, and a request could be
            # smuggled in it.
            self.reject(400)
        elif b"content-length" in headers:
            self.partial_request.announced = int(headers[b"content-length"])
            if self.partial_request.announced > LARGE_BODY:
                self.reserve(self.partial_request, self.partial_request.announced)
        if not self.reading_stopped and b"expect" in headers and self.open_request is None:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        request = self.partial_request
        if request is None or self.reading_stopped:
            return
        request.parts.append(body)
        request.length += len(body)
        limit = LARGE_BODY if request.reservation is None else request.reservation.requested_bytes
        if request.length > limit and request.reservation not in self.owner.waiting_reservations:
            self.reserve(request, next_step(limit) if limit < LARGEST_BODY else LARGEST_BODY + 1)

    def reserve(self, request: HttpRequest, size: int) -> None:
        """Reserves memory for a large body. The connection is not read until the reservation is granted."""
        budget = self.owner.body_budget
        if not budget.can_fit(size):
            self.reject(413)
            return
        if request.reservation is None:
            request.reservation = BodyReservation()
        if not budget.request(request.reservation, size, self.last_active):
            self.owner.waiting_reservations[request.reservation] = self
            self.transport.pause_reading()

    def reservation_granted(self) -> None:
        """Continues reading the body: its memory is reserved."""
        self.request_since = max(
            self.request_since, self.owner.loop.time() - self.request_bytes / MIN_BODY_RATE
        )
        if not self.paused and not self.transport.is_closing():
            self.transport.resume_reading()

    def on_message_complete(self) -> None:
        request, self.partial_request = self.partial_request, None
        if request is None:
            return
        if self.reading_stopped:
            self.owner.release(request)
            return
        self.got_request = True
        request.method = self.parser.get_method()
        request.keep = self.parser.should_keep_alive()
        request.chunks = self.parser.get_http_version() == "1.1"
        request.size += len(request.target) + (request.length if request.reservation is None else 0)
        if self.owner.held_bytes + request.size > self.owner.max_held_bytes:
            # Without this limit, many clients that pipeline large requests would exhaust the process's
            # memory.
            self.reading_stopped = True
            self.owner.release(request)
            self.waiting.append(HttpRequest(503))
            return
        self.owner.held_bytes += request.size
        self.waiting.append(request)
        if len(self.waiting) >= MAX_PIPELINED and not self.paused:
            self.paused = True
            self.transport.pause_reading()

    def reject(self, status: int) -> None:
        """Responds with an error at once and reads no further, even if a request is open or others wait.

        After malformed input the boundaries of earlier requests are in doubt as well, so an open request is
        given up; and the error must not wait for the response to that request.
        """
        if self.reading_stopped:
            return
        self.reading_stopped = True
        self.discard_partial()
        self.discard_waiting()
        if self.relay is not None and self.open_request is not None:
            # Part of the response was sent: the client would take an error response for the rest of it.
            self.open_request.keep = False
            return
        self.drop_open_request()
        self.open_request = HttpRequest(status)
        self.answer(status)

    def start_next(self, waited: bool = True) -> None:
        """Passes the next waiting request to the handler, if none is open.

        `waited`: the request did not arrive just now, so the client may have disconnected since. This has to
        be checked, as nothing is read from the socket, not even the end of the connection, while many
        requests wait.
        """
        if self.open_request is not None or self.write_paused or self.connection_closed or not self.waiting:
            return
        if waited and self.gone():
            self.hang_up()
            return
        self.requests_started += 1
        self.open_request = request = self.waiting.popleft()
        if self.paused:
            self.paused = False
            if (
                self.partial_request is None
                or self.partial_request.reservation not in self.owner.waiting_reservations
            ):
                self.transport.resume_reading()
        self.chunks = request.chunks
        handler = self.owner.handler
        if self.refusing or request.error or self.owner.refusing_requests:
            handler.refuse_request(self)
        else:
            handler.handle_request(self, request)

    # ---- responding -----------------------------------------------------------------------------------

    def answer(self, status: int, body: bytes = b"", headers: bytes = b"") -> None:
        """Sends the response to the open request. `headers` are complete lines."""
        request, self.open_request = self.open_request, None
        if request is None:
            return
        self.owner.held_bytes -= request.size
        self.owner.release(request)
        if self.transport.is_closing():
            return
        close = self.is_last_answer(request)
        data = b"%b%bContent-Length: %d\r\n%b\r\n%b" % (
            STATUS_LINES[status],
            headers,
            len(body),
            b"Connection: close\r\n" if close else b"",
            body,
        )
        self.last_active = self.owner.loop.time()
        self.transport.write(data)
        if close:
            self.close_after_answer()
        elif self.waiting:
            self.owner.loop.call_soon(self.start_next)

    def is_last_answer(self, request: HttpRequest) -> bool:
        """Whether this response is the connection's last.

        While the node shuts down, the complete requests that wait behind this one are answered first, and
        reading stops.
        """
        if not request.keep:
            return True
        if not self.refusing and not self.owner.closing:
            return False
        if self.waiting:
            # Otherwise a client that keeps sending could delay the shutdown for ever.
            self.reading_stopped = True
            self.discard_partial()
        return not self.waiting

    def head(self, status: int, headers: bytes, close: bool) -> None:
        """Sends the head of a relayed response. The request stays open until the relay has finished."""
        request = self.open_request
        if request is None or self.transport.is_closing():
            return
        self.owner.release(request)  # the request will not be sent again
        request.parts.clear()
        request.keep = not close and not self.is_last_answer(request)
        ending = b"" if request.keep else b"Connection: close\r\n"
        self.last_active = self.owner.loop.time()
        self.transport.write(b"%b%b%b\r\n" % (STATUS_LINES[status], headers, ending))

    def relay_finished(self) -> None:
        """Concludes the request whose response was relayed completely."""
        request, self.open_request = self.open_request, None
        self.last_active = self.owner.loop.time()
        if request is None:
            return
        self.owner.held_bytes -= request.size
        if not request.keep:
            self.close_after_answer()
        elif self.waiting:
            self.owner.loop.call_soon(self.start_next)

    def cut_answer(self) -> None:
        """Breaks off a response that can't be completed.

        A client that does not know chunked encoding would take a regular close for the end of the response,
        so its connection is reset.
        """
        if not self.chunks and not self.transport.is_closing():
            reset = struct.pack("ii", 1, 0)
            self.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset)
        self.transport.abort()

    def hang_up(self) -> None:
        """Drops the requests and the connection of a client that has disconnected."""
        self.eof_received()
        self.transport.abort()

    def close_after_answer(self) -> None:
        """Closes the connection after its last response.

        Closing it while the client still sends would cause a reset, and the response could be lost. So only
        the sending side is closed, and what still arrives is discarded for a while.
        """
        self.reading_stopped = True
        self.discard_waiting()
        if self.transport.is_closing():
            return
        self.transport.write_eof()
        self.owner.loop.call_later(LINGER, self.close_when_flushed, self.owner.loop.time() + FLUSH_TIMEOUT)

    def close_when_flushed(self, latest: float) -> None:
        """Aborts the connection once its output is sent, so that slow clients get all of a large response."""
        if self.transport.get_write_buffer_size() and self.owner.loop.time() < latest:
            self.owner.loop.call_later(LINGER, self.close_when_flushed, latest)
        else:
            self.transport.abort()

    def pause_writing(self) -> None:
        self.write_paused = True
        if self.relay is not None:
            self.relay.set_client_paused(True)

    def resume_writing(self) -> None:
        self.write_paused = False
        if self.relay is not None:
            self.relay.set_client_paused(False)
        self.start_next()

    # ---- closing --------------------------------------------------------------------------------------

    def connection_lost(self, exc: Exception | None) -> None:
        self.connection_closed = True
        self.discard_partial()
        self.discard_waiting()
        self.drop_open_request()
        self.owner.listener.connection_ended(self)

    def drop_open_request(self) -> None:
        """Gives up the open request, as nobody waits for its response."""
        if self.open_request is not None:
            self.owner.held_bytes -= self.open_request.size
            self.owner.release(self.open_request)
            self.open_request = None
            if self.relay is not None:
                self.relay.stop()
            else:
                self.owner.handler.client_left(self)

    def discard_partial(self) -> None:
        """Discards the request that has arrived only in part."""
        request, self.partial_request = self.partial_request, None
        if request is not None:
            self.owner.release(request)

    def discard_waiting(self) -> None:
        """Discards the waiting requests; they get no response."""
        for request in self.waiting:
            self.owner.held_bytes -= request.size
            self.owner.release(request)
        self.waiting.clear()


class ClientConnections:
    """The listener for clients and its connections, limited by the file descriptors available to them."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        max_connections: int,
        max_held_bytes: int,
        max_large_body_bytes: int,
        handler: Handler,
    ) -> None:
        self.loop = loop
        self.refusing = min(REFUSING_CONNECTIONS, max_connections // 4)
        self.max_connections = max_connections - self.refusing
        self.handler = handler
        # Seconds after the start of a shutdown in which connections stay open to further requests.
        self.handover = HANDOVER
        self.draining = False  # `/ready` answers 503
        self.closing = False  # each connection ends after its next response
        self.refusing_requests = False  # all further requests are refused
        self.max_held_bytes = max_held_bytes  # limit on `held_bytes`
        self.held_bytes = 0  # bytes of the complete requests that wait or are open
        self.body_budget = BodyBudget(max_large_body_bytes)  # for large bodies
        # Reservations that are not granted yet.
        self.waiting_reservations: dict[BodyReservation, ClientConnection] = {}
        self.listener = Listener(loop, max_connections, self.new_connection)

    @property
    def connections(self) -> set[ClientConnection]:
        return cast(set[ClientConnection], self.listener.connections)

    def start(self, address: Address) -> None:
        """Binds and listens. Raises OSError if the address can't be bound."""
        self.listener.start(address)
        self.loop.call_later(SWEEP_INTERVAL, self.sweep)

    def adopt(self, number: int) -> None:
        """Listens on an inherited socket. Raises OSError if it is not a listening socket."""
        self.listener.adopt(number)
        self.loop.call_later(SWEEP_INTERVAL, self.sweep)

    def new_connection(self) -> ClientConnection:
        """The protocol of a connection that is being accepted; beyond the limit it only refuses requests."""
        if len(self.connections) >= self.max_connections:
            self.listener.evict_one()
        return ClientConnection(self, refusing=len(self.connections) >= self.max_connections)

    def release(self, request: HttpRequest) -> None:
        """Frees the memory reserved for a request, and grants waiting reservations that now fit."""
        reservation, request.reservation = request.reservation, None
        if reservation is None:
            return
        self.waiting_reservations.pop(reservation, None)
        self.notify_granted(self.body_budget.release(reservation))

    def notify_granted(self, waiting_reservations: list[BodyReservation]) -> None:
        for reservation in waiting_reservations:
            connection = self.waiting_reservations.pop(reservation, None)
            if connection is not None:
                connection.reservation_granted()

    def sweep(self) -> None:
        """Ends connections whose request arrives too slowly, and those that have sent no request in time."""
        now = self.loop.time()
        for reservation in self.body_budget.overdue(now):
            connection = self.waiting_reservations.get(reservation)
            if connection is not None:
                connection.reject(503)
        for connection in list(self.connections):
            if connection.open_request or connection.waiting or connection.reading_stopped:
                continue
            request = connection.partial_request
            if not too_slow(
                now - connection.request_since,
                connection.head_complete,
                request.length if request is not None else 0,
            ):
                continue
            if request is not None:
                if request.reservation not in self.waiting_reservations:
                    connection.reject(408)
            elif (
                (connection.refusing or not connection.got_request)
                and connection.transport is not None
                and connection.idle()
            ):
                connection.transport.abort()
        self.loop.call_later(SWEEP_INTERVAL, self.sweep)

    def set_service_stage(self, service: ServiceStage) -> None:
        """Applies the stage that an operator's pause of this node has reached."""
        self.draining = service >= ServiceStage.PAUSED
        self.closing = service >= ServiceStage.CLOSING
        self.refusing_requests = service >= ServiceStage.REFUSING
        if service < ServiceStage.REFUSING:
            return
        now = self.loop.time()
        for connection in list(self.connections):
            if connection.transport is None:
                continue
            if now - connection.last_active > SETTLE and connection.idle():
                connection.transport.abort()
            elif (
                service >= ServiceStage.ENDING
                and connection.partial_request is not None
                and not connection.open_request
            ):
                connection.reject(408)

    async def drain(self) -> None:
        """Shuts down: open requests are answered, then connections close after their responses.

        In a rolling restart, clients would find no node if this one closed at once while the one restarted
        before it is not back yet. So they may use their existing connections for a while.
        """
        # On a shared socket the successor process keeps serving, so `/ready` must not change.
        self.draining = not self.listener.shared

        def close_finished(seconds: float) -> None:
            now = self.loop.time()
            # On a shared socket, new connections are accepted by the successor process.
            self.closing = self.closing or seconds >= self.handover or self.listener.shared
            if seconds < self.handover:
                return
            for connection in list(self.connections):
                if connection.transport is None:
                    continue
                settled = now - connection.last_active > SETTLE
                # A request that is still incomplete long after the last accept is dropped. A response that
                # its client has not read yet is still owed, and so are the requests behind it.
                owed = connection.open_request or connection.has_unsent_output()
                latest = FLUSH_TIMEOUT if owed else max(TAKING, self.handover) + LINGER
                if (
                    settled
                    and connection.idle()
                    or seconds > latest
                    and (not connection.open_request or connection.write_paused)
                ):
                    connection.transport.abort()

        await self.listener.drain(close_finished)
