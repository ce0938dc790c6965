"""A server's address, one connection to it, and the answer that comes on it."""

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

OK = Outcome.OK  # an enumeration's members are slow to look up, and this one is for every answer
LARGEST_HEAD = 32768  # bytes of an answer's head, and of all interim answers before it
LARGEST_LINES = 128  # header lines of the same, and trailers
LARGEST_ANSWER = LARGEST_HEAD + 8 * LARGE_BODY  # bytes of one that is not relayed, with the framing of chunks


@dataclass(slots=True)
class Answer:
    """A server's whole answer."""

    status: int
    body: bytes
    content_type: bytes
    rejected: bool
    report: bytes
    relay: Relay | None = None  # brings the rest of the body, if this is not all of it


class OpenExchange(Protocol):
    """The exchange that a connection carries, as the connection sees it."""

    accepts_relay: bool

    def end(self, outcome: Outcome, answer: Answer | None) -> None:
        """It is over."""


class ConnectionPool(Protocol):
    """The pool that a connection belongs to, as connections and exchanges see it."""

    loop: asyncio.AbstractEventLoop
    connect_timeout: float
    stall: StallDetector

    def take(self, endpoint: Endpoint) -> Connection | None:
        """The most recently used idle connection that is still good."""

    def keep(self, connection: Connection) -> None:
        """Puts a connection among the idle ones."""

    def closed_idle(self, age: float) -> None:
        """A server has closed a connection that was idle for `age` seconds."""

    def has_room(self) -> bool:
        """Whether one more connection fits the budget."""

    def opened(self, connection: Connection) -> None:
        """Counts a connection that is being opened."""

    def lost(self, connection: Connection) -> None:
        """Counts a connection's end, once."""


class UnusableAnswer(Exception):
    """An answer that cannot be used, whatever may follow."""


class Endpoint:
    """One server's address and this node's connections to it."""

    __slots__ = ("host", "port", "started", "ready", "idle", "open_exchanges")

    def __init__(self, host: str, port: int, started: int) -> None:
        self.host = host
        self.port = port
        self.started = started
        self.ready = False
        self.idle: list[Connection] = []  # the most recently used last
        self.open_exchanges = 0  # exchanges that have begun and not ended

    def retire(self) -> None:
        """Nothing new goes here; what is out may finish."""
        self.ready = False
        self.close_idle()

    def close_idle(self) -> None:
        """Closes the connections that carry nothing."""
        for connection in self.idle:
            connection.close()
        self.idle.clear()


class Connection(asyncio.Protocol):
    """A connection to a server: one exchange at a time."""

    def __init__(self, pool: ConnectionPool, endpoint: Endpoint) -> None:
        self.pool = pool
        self.endpoint = endpoint
        self.exchange: OpenExchange | None = None
        self.idle_since = 0.0
        self.relay: Relay | None = None
        self.request_unsent = False  # part of the request is still in this process
        self.counted = False
        self.transport: asyncio.Transport = cast(asyncio.Transport, None)
        self.parser = httptools.HttpResponseParser(self)  # afresh after each whole answer
        self.poll = select.poll()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        # With no buffer allowed, pause_writing says at once that a request has not gone out whole.
        self.transport.set_write_buffer_limits(high=0)
        self.poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)

    def pause_writing(self) -> None:
        self.request_unsent = True

    def resume_writing(self) -> None:
        self.request_unsent = False

    def begin(self, exchange: OpenExchange, data: Sequence[bytes]) -> None:
        """Writes the exchange's request."""
        self.exchange = exchange
        self.status = 0
        self.body = b""
        self.content_type = b""
        self.rejected = False
        self.report = b""
        self.complete = self.unexpected_input = self.keep = False
        self.head_complete = False  # the final answer's head has come whole
        self.size = self.lines = 0
        self.length: int | None = None
        self.chunked = False
        for part in data:
            if not self.transport.is_closing():
                self.transport.write(part)
        if self.transport.is_closing():
            # It was lost before the write or by it, so the server cannot have got the whole request.
            self.request_unsent = True
            self.broken()

    def data_received(self, data: bytes) -> None:
        exchange = self.exchange
        if exchange is None and self.relay is None:
            # Failure prevented: bytes that nobody asked for would be taken for the next answer.
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
        """The server has ended the connection in order, which also ends an answer that has no other end.

        Failure prevented: a served request counts as one that may have run, and fails or runs again. A server
        that dies resets its connections, so what is cut off that way is not taken for whole.
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
        """Ends the exchange if its answer is whole, or cannot be used."""
        if self.complete:
            # Failure prevented: a whole answer is thrown away for the noise behind it, and fails a request
            # that has run. What follows it belongs to nobody, so the connection is of no further use.
            answer = Answer(self.status, self.body, self.content_type, self.rejected, self.report)
            self.finish(
                OK if self.status == 200 else outcome_of(answer),
                answer,
                self.keep and not self.unexpected_input,
            )
        elif self.unexpected_input:
            self.finish(Outcome.CONNECT_FAILED if self.request_unsent else Outcome.RESET, None, reuse=False)

    def on_message_begin(self) -> None:
        self.unexpected_input = self.complete
        if not self.complete:  # what an interim answer said is not the final one's
            self.content_type = self.report = b""
            self.rejected = False

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.complete:
            return
        self.lines += 1
        if self.lines > LARGEST_LINES:
            raise UnusableAnswer
        if self.head_complete:  # a trailer
            return
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
                raise UnusableAnswer  # coded: the body as it comes is not the answer's

    def on_headers_complete(self) -> None:
        if self.parser.get_status_code() < 200:
            self.length, self.chunked = None, False
            return
        self.head_complete = True
        if self.request_unsent and self.parser.get_status_code() == 200:
            # Failure prevented: an earlier request's second answer is taken for this one's. A server begins
            # a request when its last byte has come, and that is still in this process.
            raise UnusableAnswer
        if self.length is not None and self.length > LARGE_BODY:
            self.begin_relay()

    def on_body(self, body: bytes) -> None:
        if self.complete:
            return
        if self.relay is not None:
            self.relay.data(body)
            return
        self.body += body
        if len(self.body) > LARGE_BODY:
            self.begin_relay()

    def begin_relay(self) -> None:
        """An answer that is not held whole. The exchange ends here; what is left is the relay's.

        Failure prevented: many large answers at a time end the process for its memory.
        """
        status, exchange = self.parser.get_status_code(), self.exchange
        if status != 200:  # it says all that is wanted of it
            self.status, self.body, self.complete = status, b"", True
            return
        too_long = self.length is not None and self.length > MAX_RELAYED
        if exchange is None or not exchange.accepts_relay or too_long:
            raise UnusableAnswer
        self.relay = Relay(self.pool.loop, self, self.length)
        body, self.body = self.body, b""
        self.exchange = None
        exchange.end(OK, Answer(status, body, self.content_type, False, self.report, self.relay))
        if self.relay is not None and self.relay.client is None:  # nobody waits for it any more
            self.relay = None
            raise UnusableAnswer

    def finish_relay(self) -> None:
        """The relay's end, whole or not."""
        relay, self.relay = self.relay, None
        if relay is None:
            return
        if not self.complete:
            relay.stop()
            return
        relay.whole()
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
        if self.complete or status < 200:  # unexpected_input bytes, or an interim answer
            return
        self.status = status
        self.keep = self.parser.should_keep_alive()  # known here only: the parser then starts afresh
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
        """The connection ended; whether the request may have run depends on what was written."""
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
        """Whether an idle connection's end, or bytes that nobody asked for, wait in the socket.

        Failure prevented: the server has closed it, the event loop has not come to that yet, and a request
        that may not be repeated is written to it and counts as one that may have run.
        """
        if self.transport.is_closing():
            return True
        return bool(self.poll.poll(0))

    def close(self) -> None:
        """Ends the connection at once, with no wait for what the other side has not read."""
        self.transport.abort()


def outcome_of(answer: Answer) -> Outcome:
    """What an answer says of the attempt. A 503 or 504 without the mark may come from a tier behind."""
    if answer.status == 200:
        return OK
    if answer.status in (503, 504) and answer.rejected:
        return Outcome.REJECTED
    return Outcome.ERROR
