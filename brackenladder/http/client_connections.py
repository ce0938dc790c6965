"""The node's side towards its callers: the listener, their connections, and `/ready`."""

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
from brackenladder.operations.pause import Service
from brackenladder.sockets.listener import LINGER, AcceptedConnection, Address, Listener

LARGEST_HEAD = 32768
PARSE_SLICE = 8192  # bytes parsed in one go while a head may be among them...
BODY_SLICE = 65536  # ...and in the middle of a body
LARGEST_LINES = 128  # header lines of one request
MAX_FRAMING_FACTOR = 8  # times the bytes of a body may come, with the framing of chunks
MAX_PIPELINED = 8  # whole requests that wait on one connection while an earlier one is open
REFUSING_CONNECTIONS = (
    16  # connections at most, of the budget, that are open only to be told that it is spent
)
FLUSH_TIMEOUT = 30.0  # seconds in which a client may take the end of a large last answer
SWEEP_INTERVAL = 0.25  # seconds between two looks at who is slow
SETTLE = 0.2  # seconds in which a connection that was just taken or used may bring its request

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


# Failure prevented: of two values this node goes by one, and whoever comes behind by the other.
SINGLE_VALUED = frozenset(
    (b"host", b"x-call-id", b"idempotency-key", b"x-budget-ms", b"x-caller", b"x-again")
)


class HttpRequest:
    """A request as it came, or why it could not be read (`error`, a status)."""

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
        self.headers: dict[bytes, bytes] = {}  # by lower-case name; of several the first
        self.parts: list[bytes] = []  # of the body
        self.length = 0  # of the body, in bytes
        self.announced = 0  # by Content-Length
        self.keep = error == 0
        self.size = 0  # bytes that count as held_bytes while it waits or is open
        self.reservation: BodyReservation | None = None  # the room of a large body, counted apart
        self.chunks = True  # its client understands them


class Handler(Protocol):
    """What a connection hands its requests to."""

    def handle_request(self, connection: ClientConnection, request: HttpRequest) -> None:
        """A whole request; `connection.answer` must be called once for it."""

    def refuse_request(self, connection: ClientConnection) -> None:
        """A request for which there is no room; `connection.answer` must be called once for it."""

    def client_left(self, connection: ClientConnection) -> None:
        """The client went away while its request was open."""


class ClientConnection(AcceptedConnection):
    """A client's connection. One request is open at a time; the next ones wait their turn."""

    def __init__(self, owner: ClientConnections, refusing: bool) -> None:
        super().__init__(owner.loop.time())
        self.owner = owner
        self.refusing = refusing
        self.parser = httptools.HttpRequestParser(self)
        self.partial_request: HttpRequest | None = None
        self.head_complete = False  # the head has come whole
        self.request_bytes = 0  # of the request that has begun
        self.waiting: deque[HttpRequest] = deque()
        self.open_request: HttpRequest | None = None
        self.reading_stopped = False  # nothing further is read from this client
        self.write_paused = False  # it does not read its answers
        self.relay: Relay | None = None  # of a large answer that is on its way
        self.chunks = True  # the client of the open request understands them
        self.requests_started = 0  # requests that were handed on
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
            self.start_next(
                waited=not self.requests_started
            )  # the first one may have waited where nobody listened

    def eof_received(self) -> None:
        """The client has gone, though answers that it has not taken may be on their way to it."""
        self.reading_stopped = True
        self.discard_partial()
        self.discard_waiting()
        self.drop_open_request()
        if self.has_unsent_output():
            self.owner.loop.call_later(
                LINGER, self.close_when_flushed, self.owner.loop.time() + FLUSH_TIMEOUT
            )

    def feed(self, data: bytes) -> None:
        """Parses a slice, small beside the bound on a head, which is measured in whole slices."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The offer of another protocol is passed over, but the parser reads nothing after it.
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
            self.request_since = self.last_active  # its first byte has just come

    def on_url(self, url: bytes) -> None:
        if self.partial_request is not None:
            self.partial_request.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        request = self.partial_request
        if request is None or self.head_complete:  # trailers go no further
            return
        key = name.lower()
        headers = request.headers
        request.lines.append((key, name, value))  # a slice may bring more than there may be
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
            # Failure prevented: where a body ends is a matter of opinion, and a request hides in it.
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
        room = LARGE_BODY if request.reservation is None else request.reservation.requested_bytes
        if request.length > room and request.reservation not in self.owner.waiting_reservations:
            self.reserve(request, next_step(room) if room < LARGEST_BODY else LARGEST_BODY + 1)

    def reserve(self, request: HttpRequest, size: int) -> None:
        """Asks for a large body's room; it is not read on until there is some."""
        room = self.owner.body_budget
        if not room.can_fit(size):
            self.reject(413)
            return
        if request.reservation is None:
            request.reservation = BodyReservation()
        if not room.request(request.reservation, size, self.last_active):
            self.owner.waiting_reservations[request.reservation] = self
            self.transport.pause_reading()

    def reservation_granted(self) -> None:
        """There is room for the body that is being read."""
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
            # Failure prevented: many clients that send large requests ahead end the process for its memory.
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
        """Answers at once with an error and reads no further, whatever else is open or waits here.

        Failure prevented: a request of the wrong length is passed on before what follows it shows that
        nothing on this connection can be told apart; or the error waits for as long as that request takes.
        """
        if self.reading_stopped:
            return
        self.reading_stopped = True
        self.discard_partial()
        self.discard_waiting()
        if self.relay is not None and self.open_request is not None:
            self.open_request.keep = False  # half of its answer is out: an error would be taken for the rest
            return
        self.drop_open_request()
        self.open_request = HttpRequest(status)
        self.answer(status)

    def start_next(self, waited: bool = True) -> None:
        """Hands on the request that waits, once nothing is in its way.

        `waited`: it did not come just now, so its client may have left since. Nothing is read while many
        requests wait, so that nobody may have been told.
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

    # ---- answering ------------------------------------------------------------------------------------

    def answer(self, status: int, body: bytes = b"", headers: bytes = b"") -> None:
        """The one answer to the open request. `headers` are whole lines."""
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
        """Whether this answer is the connection's last. Where it is to end, what waits is answered first.

        Failure prevented: whole requests that wait behind a last answer vanish.
        """
        if not request.keep:
            return True
        if not self.refusing and not self.owner.closing:
            return False
        if self.waiting:
            self.reading_stopped = True  # or it never ends
            self.discard_partial()
        return not self.waiting

    def head(self, status: int, headers: bytes, close: bool) -> None:
        """The head of an answer that a relay brings. The request stays open until it is through."""
        request = self.open_request
        if request is None or self.transport.is_closing():
            return
        self.owner.release(request)  # nothing is sent again any more
        request.parts.clear()
        request.keep = not close and not self.is_last_answer(request)
        ending = b"" if request.keep else b"Connection: close\r\n"
        self.last_active = self.owner.loop.time()
        self.transport.write(b"%b%b%b\r\n" % (STATUS_LINES[status], headers, ending))

    def relay_finished(self) -> None:
        """The relay has brought the whole answer."""
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
        """The answer that has begun will not come whole.

        Failure prevented: a client that knows no chunks takes an end in order for the answer's end.
        """
        if not self.chunks and not self.transport.is_closing():
            reset = struct.pack("ii", 1, 0)
            self.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset)
        self.transport.abort()

    def hang_up(self) -> None:
        """The client has gone: nothing is owed."""
        self.eof_received()
        self.transport.abort()

    def close_after_answer(self) -> None:
        """Closes after the last answer.

        Failure prevented: closing while the client still sends resets the connection, and the answer is
        lost on its way. Our end is closed first, and the rest is read and thrown away.
        """
        self.reading_stopped = True
        self.discard_waiting()
        if self.transport.is_closing():
            return
        self.transport.write_eof()
        self.owner.loop.call_later(LINGER, self.close_when_flushed, self.owner.loop.time() + FLUSH_TIMEOUT)

    def close_when_flushed(self, latest: float) -> None:
        """Failure prevented: a client that takes a large answer slowly loses the end of it."""
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

    # ---- ends -----------------------------------------------------------------------------------------

    def connection_lost(self, exc: Exception | None) -> None:
        self.connection_closed = True
        self.discard_partial()
        self.discard_waiting()
        self.drop_open_request()
        self.owner.listener.connection_ended(self)

    def drop_open_request(self) -> None:
        """Gives the open request up: nobody waits for its answer."""
        if self.open_request is not None:
            self.owner.held_bytes -= self.open_request.size
            self.owner.release(self.open_request)
            self.open_request = None
            if self.relay is not None:
                self.relay.stop()
            else:
                self.owner.handler.client_left(self)

    def discard_partial(self) -> None:
        """Gives up the request that has begun and not come whole."""
        request, self.partial_request = self.partial_request, None
        if request is not None:
            self.owner.release(request)

    def discard_waiting(self) -> None:
        """Throws away the requests that wait: they get no answer."""
        for request in self.waiting:
            self.owner.held_bytes -= request.size
            self.owner.release(request)
        self.waiting.clear()


class ClientConnections:
    """The listener and its connections, within a budget of descriptors."""

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
        self.handover = HANDOVER  # seconds that connections stay open to further requests at the end
        self.draining = False  # `/ready` says no
        self.closing = False  # no connection outlives its answer
        self.refusing_requests = False  # whatever still comes is refused
        self.max_held_bytes = max_held_bytes  # bytes of the whole requests that wait or are open
        self.held_bytes = 0
        self.body_budget = BodyBudget(max_large_body_bytes)  # for large bodies
        self.waiting_reservations: dict[BodyReservation, ClientConnection] = {}  # those that wait for room
        self.listener = Listener(loop, max_connections, self.new_connection)

    @property
    def connections(self) -> set[ClientConnection]:
        return cast(set[ClientConnection], self.listener.connections)

    def start(self, address: Address) -> None:
        """Binds and listens. An OSError if the address cannot be had."""
        self.listener.start(address)
        self.loop.call_later(SWEEP_INTERVAL, self.sweep)

    def adopt(self, number: int) -> None:
        """Listens on a socket that was handed down. An OSError if it is no such socket."""
        self.listener.adopt(number)
        self.loop.call_later(SWEEP_INTERVAL, self.sweep)

    def new_connection(self) -> ClientConnection:
        """The protocol of a connection that is being taken."""
        if len(self.connections) >= self.max_connections:
            self.listener.evict_one()
        return ClientConnection(self, refusing=len(self.connections) >= self.max_connections)

    def release(self, request: HttpRequest) -> None:
        """A large body's room is free again: whoever waits for it is read on."""
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
        """Ends what has not brought a whole request in its time; a client that has asked may stay idle."""
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

    def attend(self, service: Service) -> None:
        """An operator's pause: connections end at their answers, at last also those that bring nothing."""
        self.draining = service >= Service.PAUSED
        self.closing = service >= Service.CLOSING
        self.refusing_requests = service >= Service.REFUSING
        if service < Service.REFUSING:
            return
        now = self.loop.time()
        for connection in list(self.connections):
            if connection.transport is None:
                continue
            if now - connection.last_active > SETTLE and connection.idle():
                connection.transport.abort()
            elif (
                service >= Service.ENDING
                and connection.partial_request is not None
                and not connection.open_request
            ):
                connection.reject(408)

    async def drain(self) -> None:
        """Ends the service: all that was taken is answered, then no connection outlives its answer.

        Failure prevented: in a rolling restart the clients of a node that closes at once, while the one
        before it is not back yet, find nobody. They use the connections that they have for a while.
        """
        self.draining = not self.listener.shared  # the node goes on, in its successor

        def look(since: float) -> None:
            now = self.loop.time()
            # Whoever connects anew to a shared socket finds the successor.
            self.closing = self.closing or since >= self.handover or self.listener.shared
            if since < self.handover:
                return
            for connection in list(self.connections):
                if connection.transport is None:
                    continue
                settled = now - connection.last_active > SETTLE
                # A request that has not come whole long after the last connection was taken is not ours. An
                # answer that its client has not taken is, and so is what waits behind it.
                owed = connection.open_request or connection.has_unsent_output()
                latest = FLUSH_TIMEOUT if owed else max(TAKING, self.handover) + LINGER
                if (
                    settled
                    and connection.idle()
                    or since > latest
                    and (not connection.open_request or connection.write_paused)
                ):
                    connection.transport.abort()

        await self.listener.drain(look)
