"""The node's side towards servers: connections, their pool, and exchanges (attempts and probes) on them.

Nothing is sent again by itself, and every exchange ends exactly once.
"""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from time import monotonic
from typing import cast

import httptools

from brackenladder.http.bulk import LARGE
from brackenladder.http.relay import LARGEST_ANSWER as LONGEST
from brackenladder.http.relay import Relay
from brackenladder.interface import Outcome
from brackenladder.membership.stall import BEAT, FIRST, Stall

OK = Outcome.OK  # an enumeration's members are slow to look up, and this one is for every answer
IDLE_MARGIN = 0.3  # seconds before the server would close an idle connection
SWEEP = 0.5  # seconds between two looks at idle connections
AFTER_ANSWER = 0.05  # a close within so many seconds of an answer tells nothing of the time to idle
LEAST_IDLE = 0.1  # seconds that connections may idle, however soon servers close them
IDLE_REGAIN = 1.02  # what was learned of it fades by so much at each look
LARGEST_HEAD = 32768  # bytes of an answer's head, and of all interim answers before it
LARGEST_LINES = 128  # header lines of the same, and trailers
LARGEST_ANSWER = LARGEST_HEAD + 8 * LARGE  # bytes of one that is not relayed, with the framing of chunks


@dataclass(slots=True)
class Answer:
    """A server's whole answer."""

    status: int
    body: bytes
    content_type: bytes
    rejected: bool
    report: bytes
    relay: Relay | None = None  # brings the rest of the body, if this is not all of it


Compose = Callable[[], Sequence[bytes] | None]
Done = Callable[[Outcome, Answer | None, Sequence[float]], None]  # outcome, answer, load report
Report = Callable[[Answer], Sequence[float]]  # what an answer says of its server's load


class Spoilt(Exception):
    """An answer that cannot be used, whatever may follow."""


class Endpoint:
    """One server's address and this node's connections to it."""

    __slots__ = ("host", "port", "started", "ready", "idle", "busy")

    def __init__(self, host: str, port: int, started: int) -> None:
        self.host = host
        self.port = port
        self.started = started
        self.ready = False
        self.idle: list[Connection] = []  # the most recently used last
        self.busy = 0  # exchanges that have begun and not ended

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

    def __init__(self, pool: Pool, endpoint: Endpoint) -> None:
        self.pool = pool
        self.endpoint = endpoint
        self.exchange: Exchange | None = None
        self.idle_since = 0.0
        self.relay: Relay | None = None
        self.unsent = False  # part of the request is still in this process
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
        self.unsent = True

    def resume_writing(self) -> None:
        self.unsent = False

    def begin(self, exchange: Exchange, data: Sequence[bytes]) -> None:
        """Writes the exchange's request."""
        self.exchange = exchange
        self.status = 0
        self.body = b""
        self.content_type = b""
        self.rejected = False
        self.report = b""
        self.complete = self.stray = self.keep = False
        self.headed = False  # the final answer's head has come whole
        self.size = self.lines = 0
        self.length: int | None = None
        self.chunked = False
        for part in data:
            if not self.transport.is_closing():
                self.transport.write(part)
        if self.transport.is_closing():
            # It was lost before the write or by it, so the server cannot have got the whole request.
            self.unsent = True
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
            self.stray = True
        if self.relay is not None:
            if self.complete or self.stray:
                self.relayed()
            return
        self.size += len(data)
        if self.size > (LARGEST_ANSWER if self.headed else LARGEST_HEAD):
            self.stray = True
        self.conclude()

    def eof_received(self) -> None:
        """The server has ended the connection in order, which also ends an answer that has no other end.

        Failure prevented: a served request counts as one that may have run, and fails or runs again. A server
        that dies resets its connections, so what is cut off that way is not taken for whole.
        """
        open_ended = self.headed and self.length is None and not self.chunked
        if not open_ended or self.complete or (self.exchange is None and self.relay is None):
            return
        self.status, self.keep, self.complete = self.parser.get_status_code(), False, True
        if self.relay is not None:
            self.relayed()
        else:
            self.conclude()

    def conclude(self) -> None:
        """Ends the exchange if its answer is whole, or cannot be used."""
        if self.complete:
            # Failure prevented: a whole answer is thrown away for the noise behind it, and fails a request
            # that has run. What follows it belongs to nobody, so the connection is of no further use.
            answer = Answer(self.status, self.body, self.content_type, self.rejected, self.report)
            self.finish(
                OK if self.status == 200 else outcome_of(answer), answer, self.keep and not self.stray
            )
        elif self.stray:
            self.finish(Outcome.CONNECT_FAILED if self.unsent else Outcome.RESET, None, reuse=False)

    def on_message_begin(self) -> None:
        self.stray = self.complete
        if not self.complete:  # what an interim answer said is not the final one's
            self.content_type = self.report = b""
            self.rejected = False

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.complete:
            return
        self.lines += 1
        if self.lines > LARGEST_LINES:
            raise Spoilt
        if self.headed:  # a trailer
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
                raise Spoilt  # coded: the body as it comes is not the answer's

    def on_headers_complete(self) -> None:
        if self.parser.get_status_code() < 200:
            self.length, self.chunked = None, False
            return
        self.headed = True
        if self.unsent and self.parser.get_status_code() == 200:
            # Failure prevented: an earlier request's second answer is taken for this one's. A server begins
            # a request when its last byte has come, and that is still in this process.
            raise Spoilt
        if self.length is not None and self.length > LARGE:
            self.large()

    def on_body(self, body: bytes) -> None:
        if self.complete:
            return
        if self.relay is not None:
            self.relay.data(body)
            return
        self.body += body
        if len(self.body) > LARGE:
            self.large()

    def large(self) -> None:
        """An answer that is not held whole. The exchange ends here; what is left is the relay's.

        Failure prevented: many large answers at a time end the process for its memory.
        """
        status, exchange = self.parser.get_status_code(), self.exchange
        if status != 200:  # it says all that is wanted of it
            self.status, self.body, self.complete = status, b"", True
            return
        too_long = self.length is not None and self.length > LONGEST
        if exchange is None or not exchange.relays or too_long:
            raise Spoilt
        self.relay = Relay(self.pool.loop, self, self.length)
        body, self.body = self.body, b""
        self.exchange = None
        exchange.end(OK, Answer(status, body, self.content_type, False, self.report, self.relay))
        if self.relay is not None and self.relay.caller is None:  # nobody waits for it any more
            self.relay = None
            raise Spoilt

    def relayed(self) -> None:
        """The relay's end, whole or not."""
        relay, self.relay = self.relay, None
        if relay is None:
            return
        if not self.complete:
            relay.stop()
            return
        relay.whole()
        if self.keep and not self.stray and self.endpoint.ready and not self.transport.is_closing():
            self.transport.resume_reading()
            self.pool.keep(self)
        else:
            self.close()

    def on_message_complete(self) -> None:
        status = self.parser.get_status_code()
        if self.complete or status < 200:  # stray bytes, or an interim answer
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
            self.relayed()
        if self.exchange is not None:
            self.finish(Outcome.CONNECT_FAILED if self.unsent else Outcome.RESET, None, reuse=False)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.endpoint.ready and self in self.endpoint.idle:
            self.pool.closed_idle(self.pool.loop.time() - self.idle_since)
        self.pool.lost(self)
        self.broken()

    def spoken_to(self) -> bool:
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


class Exchange:
    """One request to one server, which ends exactly once by calling `done`.

    `compose` is asked for the bytes just before they are written; None says that nothing may be written.
    `report`: how an answer's load report is read, if it is wanted. `relays`: a large answer ends it as well.
    """

    __slots__ = (
        "pool",
        "endpoint",
        "compose",
        "done",
        "report",
        "relays",
        "over",
        "connection",
        "connecting",
        "timer",
    )

    def __init__(
        self,
        pool: Pool,
        endpoint: Endpoint,
        compose: Compose,
        done: Done,
        report: Report | None = None,
        relays: bool = False,
    ) -> None:
        self.pool = pool
        self.endpoint = endpoint
        self.compose = compose
        self.done = done
        self.report = report
        self.relays = relays
        self.over = False
        self.connection: Connection | None = None
        self.connecting: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None
        endpoint.busy += 1

    def start(self, timeout: float) -> None:
        """Takes an idle connection or opens one; the whole exchange may take `timeout` seconds."""
        self.timer = self.pool.loop.call_later(timeout, self.expire)
        self.choose()

    def choose(self) -> None:
        """Takes the connection that the request goes out on."""
        connection = self.pool.take(self.endpoint)
        if connection is not None:
            self.use(connection)
        elif self.pool.has_room():
            self.connecting = self.pool.loop.create_task(self.connect())
        else:
            self.end(Outcome.CONNECT_FAILED, None)

    async def connect(self) -> None:
        """Opens a connection within the connect time-out."""
        pool = self.pool
        connection = Connection(pool, self.endpoint)
        pool.opened(connection)
        limit = pool.loop.call_later(pool.connect_timeout, self.not_up, connection)
        try:
            await pool.loop.create_connection(lambda: connection, self.endpoint.host, self.endpoint.port)
        except (OSError, UnicodeError):  # the latter for a name that cannot be one of a host
            pool.lost(connection)
            self.end(Outcome.CONNECT_FAILED, None)
            return
        except asyncio.CancelledError:
            pool.lost(connection)
            if connection.transport is not None:
                connection.close()
            raise
        finally:
            limit.cancel()
        self.connecting = None
        self.use(connection)

    def not_up(self, connection: Connection) -> None:
        """The connect time-out; one that is up by then is used, however late the loop comes to it."""
        if connection.transport is None:
            self.stop(Outcome.CONNECT_FAILED)

    def use(self, connection: Connection) -> None:
        """Writes the request, once news of the list that may be waiting has been read."""
        if self.pool.stall.wary(monotonic()):
            self.pool.loop.call_later(FIRST, self.look, connection)
        else:
            self.write(connection)

    def look(self, connection: Connection) -> None:
        """After that wait: the connection may have ended during it, and is then another's turn.

        Failure prevented: what is lost with it counts against its server, and fails the request.
        """
        if not self.over and self.endpoint.ready and connection.spoken_to():
            connection.close()
            self.choose()
        else:
            self.write(connection)

    def write(self, connection: Connection) -> None:
        """Writes the request, if it may still be written: the connection may have taken its time."""
        data = None if self.over or not self.endpoint.ready else self.compose()
        if data is None:
            if self.endpoint.ready:
                self.pool.keep(connection)
            else:
                connection.close()
            self.end(Outcome.NOT_SENT, None)
        else:
            self.connection = connection
            connection.begin(self, data)

    def expire(self) -> None:
        """The time is up. A connection that never came up has carried nothing."""
        self.stop(Outcome.CONNECT_FAILED if self.connection is None else Outcome.TIMEOUT)

    def stop(self, outcome: Outcome) -> None:
        """Gives the exchange up; its connection is closed, so that no late answer meets another request."""
        if self.over:
            return
        if self.connection is not None:
            self.connection.exchange = None
            self.connection.close()
        elif self.connecting is not None:
            self.connecting.cancel()
        self.end(outcome, None)

    def end(self, outcome: Outcome, answer: Answer | None) -> None:
        if self.over:
            return
        self.over = True
        self.endpoint.busy -= 1
        if self.timer is not None:
            self.timer.cancel()
        self.done(outcome, answer, self.report(answer) if self.report and answer is not None else ())


class Pool:
    """All connections to servers, within a budget of descriptors."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, most: int, connect_timeout: float, idle_time: float
    ) -> None:
        self.loop = loop
        self.most = most
        self.connect_timeout = connect_timeout
        self.most_idle = self.idle_time = max(idle_time - IDLE_MARGIN, idle_time / 2)
        self.open = 0
        self.endpoints: dict[int, Endpoint] = {}
        self.sweeping = False
        self.stall = Stall(monotonic())
        loop.call_later(BEAT, self.beat)

    def beat(self) -> None:
        self.stall.beat(monotonic())
        self.loop.call_later(BEAT, self.beat)

    def take(self, endpoint: Endpoint) -> Connection | None:
        """The most recently used idle connection that is still good."""
        now = self.loop.time()
        while endpoint.idle:
            connection = endpoint.idle.pop()
            if now - connection.idle_since < self.idle_time and not connection.spoken_to():
                return connection
            connection.close()
        return None

    def keep(self, connection: Connection) -> None:
        """Puts a connection among the idle ones."""
        connection.idle_since = self.loop.time()
        connection.endpoint.idle.append(connection)
        if not self.sweeping:
            self.sweeping = True
            self.loop.call_later(SWEEP, self.sweep)

    def sweep(self) -> None:
        """Closes what has stood idle for long, before the server does."""
        now = self.loop.time()
        self.sweeping = False
        self.idle_time = min(self.most_idle, self.idle_time * IDLE_REGAIN)
        most = max(self.idle_time - SWEEP, self.idle_time / 2)
        for endpoint in self.endpoints.values():
            while endpoint.idle and now - endpoint.idle[0].idle_since > most:
                endpoint.idle.pop(0).close()
            self.sweeping = self.sweeping or bool(endpoint.idle)
        if self.sweeping:
            self.loop.call_later(SWEEP, self.sweep)

    def closed_idle(self, age: float) -> None:
        """A server has closed a connection that was idle for `age` seconds.

        Failure prevented: servers close sooner than the settings say; a request that is written as they do
        is reset, counts as one that may have run, and such losses are taken for overload.
        """
        if age > AFTER_ANSWER:
            self.idle_time = max(LEAST_IDLE, min(self.idle_time, age / 2))

    def has_room(self) -> bool:
        """Whether one more connection fits the budget; the one that was idle longest makes room."""
        if self.open < self.most:
            return True
        held = [e for e in self.endpoints.values() if e.idle]
        if held:
            oldest = min(held, key=lambda e: e.idle[0].idle_since)
            connection = oldest.idle.pop(0)
            connection.close()
            self.lost(connection)
        return bool(held)

    def opened(self, connection: Connection) -> None:
        """Counts a connection that is being opened."""
        connection.counted = True
        self.open += 1

    def lost(self, connection: Connection) -> None:
        """Counts a connection's end, once."""
        if connection.counted:
            connection.counted = False
            self.open -= 1
        if connection in connection.endpoint.idle:
            connection.endpoint.idle.remove(connection)


def outcome_of(answer: Answer) -> Outcome:
    """What an answer says of the attempt. A 503 or 504 without the mark may come from a tier behind."""
    if answer.status == 200:
        return OK
    if answer.status in (503, 504) and answer.rejected:
        return Outcome.REJECTED
    return Outcome.ERROR
