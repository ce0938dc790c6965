"""A server's address, a connection to it, and the response that is read from it."""

from __future__ import annotations

import asyncio
import select
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol, cast

import httptools

from brackenladder.http.large_bodies import LARGE_BODY
from brackenladder.http.relay import LARGEST_ANSWER as MAX_RELAYED
from brackenladder.http.relay import Relay
from brackenladder.interface import Outcome
from brackenladder.membership.stall import StallDetector

OK = Outcome.OK  # a constant of its own, as looking up an enum member for each response would be slow
LARGEST_HEAD = 32768  # bytes of a response's head, including all interim responses before it
LARGEST_LINES = 128  # header lines of a response, including interim responses and trailers
# Bytes of a response that is not relayed, including chunk framing.
LARGEST_ANSWER = LARGEST_HEAD + 8 * LARGE_BODY


@dataclass(slots=True)
class Answer:
    """A server's response."""

    status: int
    body: bytes
    content_type: bytes
    rejected: bool
    report: bytes
    relay: Relay | None = None  # delivers the rest of the body, if `body` is not all of it


class OpenExchange(Protocol):
    """The exchange in progress on a connection."""

    accepts_relay: bool

    def end(self, outcome: Outcome, answer: Answer | None) -> None:
        """Ends the exchange."""


class ConnectionPool(Protocol):
    """The part of a pool's interface that its connections and exchanges use."""

    loop: asyncio.AbstractEventLoop
    connect_timeout: float
    stall: StallDetector

    def take(self, endpoint: Endpoint) -> Connection | None:
        """Takes the most recently used idle connection that can still be used."""

    def keep(self, connection: Connection) -> None:
        """Puts a connection back among the idle ones, for reuse."""

    def closed_idle(self, age: float) -> None:
        """Notes that a server closed a connection that had been idle for `age` seconds."""

    def has_room(self) -> bool:
        """Whether one more connection may be opened."""

    def opened(self, connection: Connection) -> None:
        """Counts a connection that is being opened."""

    def lost(self, connection: Connection) -> None:
        """Counts a connection's end; does nothing if it is called for the same connection again."""


STATUS_LINE = b"HTTP/1."  # the beginning of a status line


class UnusableAnswer(Exception):
    """A response that can't be used, whatever follows."""


class Endpoint:
    """One server's address and this node's idle connections to it."""

    __slots__ = ("host", "port", "started", "ready", "idle", "open_exchanges")

    def __init__(self, host: str, port: int, started: int) -> None:
        self.host = host
        self.port = port
        self.started = started
        self.ready = False
        self.idle: list[Connection] = []  # the most recently used one last
        self.open_exchanges = 0  # number of exchanges in progress

    def retire(self) -> None:
        """Stops new requests to this server and closes idle connections; open exchanges may finish."""
        self.ready = False
        self.close_idle()

    def close_idle(self) -> None:
        """Closes the idle connections."""
        for connection in self.idle:
            connection.close()
        self.idle.clear()


class Connection(asyncio.Protocol):
    """A connection to a server, which carries one exchange at a time."""

    def __init__(self, pool: ConnectionPool, endpoint: Endpoint) -> None:
        self.pool = pool
        self.endpoint = endpoint
        self.exchange: OpenExchange | None = None
        self.idle_since = 0.0
        self.relay: Relay | None = None
        self.request_unsent = False  # part of the request has not been handed to the kernel yet
        self.counted = False
        self.transport: asyncio.Transport = cast(asyncio.Transport, None)
        self.parser = httptools.HttpResponseParser(self)  # replaced after each complete response
        self.poll = select.poll()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        # With no write buffer allowed, pause_writing is called at once if a request could not be written
        # whole.
        self.transport.set_write_buffer_limits(high=0)
        self.poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)

    def pause_writing(self) -> None:
        self.request_unsent = True

    def resume_writing(self) -> None:
        self.request_unsent = False

    def begin(self, exchange: OpenExchange, data: Sequence[bytes]) -> None:
        """Writes the request of an exchange."""
        self.exchange = exchange
        self.status = 0
        self.body = b""
        self.content_type = b""
        self.rejected = False
        self.joined = False  # the head may be the start of one response and the head of another
        self.report = b""
        self.complete = self.unexpected_input = self.keep = False
        self.head_complete = False  # the head of the final response is complete
        self.size = self.lines = 0
        self.length: int | None = None
        self.chunked = False
        for part in data:
            if not self.transport.is_closing():
                self.transport.write(part)
        if self.transport.is_closing():
            # The connection was lost before or during the write, so the server can't have received the whole
            # request.
            self.request_unsent = True
            self.broken()

    def data_received(self, data: bytes) -> None:
        exchange = self.exchange
        if exchange is None and self.relay is None:
            # Otherwise these unexpected bytes would be taken for the response to the next request.
            self.close()
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.unexpected_input = True
        if self.relay is not None:
            if self.complete or self.unexpected_input:
                self.finish_relay()
            return
        self.size += len(data)
        if self.size > (LARGEST_ANSWER if self.head_complete else LARGEST_HEAD):
            self.unexpected_input = True
        self.conclude()

    def eof_received(self) -> None:
        """The server closed its side, which also ends a response without a length.

        Otherwise a request that was served would count as one that may have run, and would fail or be
        repeated. The connections of a process that dies may end in the same way, so a response that its crash
        cut short is taken for a complete one.
        """
        open_ended = self.head_complete and self.length is None and not self.chunked
        if not open_ended or self.complete or (self.exchange is None and self.relay is None):
            return
        self.status, self.keep, self.complete = self.parser.get_status_code(), False, True
        if self.relay is not None:
            self.finish_relay()
        else:
            self.conclude()

    def conclude(self) -> None:
        """Ends the exchange if its response is complete or can't be used."""
        if self.complete:
            # A complete response is used even if surplus bytes follow it: otherwise a request that has run
            # would fail. After surplus bytes the connection is not reused.
            rejected = self.rejected and not self.joined
            answer = Answer(self.status, self.body, self.content_type, rejected, self.report)
            self.finish(
                OK if self.status == 200 else outcome_of(answer),
                answer,
                self.keep and not self.unexpected_input,
            )
        elif self.unexpected_input:
            self.finish(Outcome.CONNECT_FAILED if self.request_unsent else Outcome.RESET, None, reuse=False)

    def on_message_begin(self) -> None:
        self.unexpected_input = self.complete
        if not self.complete:  # headers of an interim response do not belong to the final one
            self.content_type = self.report = b""
            self.rejected = self.joined = False

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.complete:
            return
        self.lines += 1
        if self.lines > LARGEST_LINES:
            raise UnusableAnswer
        if self.head_complete:  # a trailer
            return
        if STATUS_LINE in value:
            self.joined = True
        key = name.lower()
        if key == b"content-type":
            self.content_type = value
        elif key == b"x-rejected":
            self.rejected = value.strip() == b"1"
        elif key == b"x-load-report":
            self.report = value
        elif key == b"content-length":
            self.length = int(value)
        elif key == b"transfer-encoding":
            self.chunked = value.strip().lower() == b"chunked"
            if not self.chunked:
                raise UnusableAnswer  # with another coding, the received body is not the content

    def on_headers_complete(self) -> None:
        if self.parser.get_status_code() < 200:
            self.length, self.chunked = None, False
            return
        self.head_complete = True
        if self.request_unsent and self.parser.get_status_code() == 200:
            # This must be the response to an earlier request that the server answers a second time: a server
            # begins a request at its last byte, which has not been sent yet.
            raise UnusableAnswer
        if self.length is not None and self.length > LARGE_BODY:
            self.begin_relay()

    def on_body(self, body: bytes) -> None:
        if self.complete:
            return
        if self.relay is not None:
            self.relay.forward(body)
            return
        self.body += body
        if len(self.body) > LARGE_BODY:
            self.begin_relay()

    def begin_relay(self) -> None:
        """Turns the response into a relayed one: the exchange ends here, and the relay forwards the rest.

        Held in memory, many large responses at a time would exhaust the process's memory.
        """
        status, exchange = self.parser.get_status_code(), self.exchange
        if status != 200:  # the body of an error response is not needed
            self.status, self.body, self.complete = status, b"", True
            return
        too_long = self.length is not None and self.length > MAX_RELAYED
        if exchange is None or not exchange.accepts_relay or too_long:
            raise UnusableAnswer
        self.relay = Relay(self.pool.loop, self, self.length)
        body, self.body = self.body, b""
        self.exchange = None
        exchange.end(OK, Answer(status, body, self.content_type, False, self.report, self.relay))
        if self.relay is not None and self.relay.client is None:  # the client has disconnected
            self.relay = None
            raise UnusableAnswer

    def finish_relay(self) -> None:
        """Ends the relay, whether the response was complete or not."""
        relay, self.relay = self.relay, None
        if relay is None:
            return
        if not self.complete:
            relay.stop()
            return
        relay.complete()
        if (
            self.keep
            and not self.unexpected_input
            and self.endpoint.ready
            and not self.transport.is_closing()
        ):
            self.transport.resume_reading()
            self.pool.keep(self)
        else:
            self.close()

    def on_message_complete(self) -> None:
        status = self.parser.get_status_code()
        if self.complete or status < 200:  # surplus bytes, or an interim response
            return
        self.status = status
        # This has to be read here, before the parser is reset for the next response.
        self.keep = self.parser.should_keep_alive()
        self.complete = True

    def finish(self, outcome: Outcome, answer: Answer | None, reuse: bool) -> None:
        exchange, self.exchange = self.exchange, None
        if reuse and self.endpoint.ready and not self.transport.is_closing():
            self.pool.keep(self)
        else:
            self.close()
        if exchange is not None:
            exchange.end(outcome, answer)

    def broken(self) -> None:
        """Ends the exchange after the connection was lost; the request may have run if it was sent fully."""
        if self.relay is not None:
            self.finish_relay()
        if self.exchange is not None:
            self.finish(Outcome.CONNECT_FAILED if self.request_unsent else Outcome.RESET, None, reuse=False)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.endpoint.ready and self in self.endpoint.idle:
            self.pool.closed_idle(self.pool.loop.time() - self.idle_since)
        self.pool.lost(self)
        self.broken()

    def has_input(self) -> bool:
        """Whether an idle connection has been closed by the server or has received unexpected bytes.

        The socket is polled, as the event loop may not have reported it yet. A request written to a closed
        connection would count as one that may have run.
        """
        if self.transport.is_closing():
            return True
        return bool(self.poll.poll(0))

    def close(self) -> None:
        """Closes the connection at once, without flushing."""
        self.transport.abort()


def outcome_of(answer: Answer) -> Outcome:
    """The outcome for a response. A 503 or 504 without `X-Rejected` may come from a later tier."""
    if answer.status == 200:
        return OK
    if answer.status in (503, 504) and answer.rejected:
        return Outcome.REJECTED
    return Outcome.ERROR
