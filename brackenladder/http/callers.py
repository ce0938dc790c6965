"""The node's side towards its callers: the listener, their connections, and `/ready`."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections import deque
from typing import Protocol, cast

import httptools

from brackenladder.core.ending import HANDOVER, TAKING
from brackenladder.http.bulk import LARGE, LARGEST_BODY, LEAST_RATE, Claim, Room, next_step, too_slow
from brackenladder.http.relay import Relay
from brackenladder.operations.pause import Service
from brackenladder.sockets.listener import LINGER, Address, Guest, Listener

LARGEST_HEAD = 32768
SLICE = 8192  # bytes parsed in one go while a head may be among them...
BODY_SLICE = 65536  # ...and in the middle of a body
LARGEST_LINES = 128  # header lines of one request
FRAMING = 8  # times the bytes of a body may come, with the framing of chunks
PIPELINED = 8  # whole requests that wait on one connection while an earlier one is open
REFUSING = 16  # connections at most, of the budget, that are open only to be told that it is spent
FLUSH = 30.0  # seconds in which a client may take the end of a large last answer
SWEEP = 0.25  # seconds between two looks at who is slow
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
SINGLE = frozenset((b"host", b"x-call-id", b"idempotency-key", b"x-budget-ms", b"x-caller", b"x-again"))


class Message:
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
        "claim",
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
        self.size = 0  # bytes that count as held while it waits or is open
        self.claim: Claim | None = None  # the room of a large body, counted apart
        self.chunks = True  # its client understands them


class Handler(Protocol):
    """What a connection hands its requests to."""

    def message(self, caller: Caller, message: Message) -> None:
        """A whole request; `caller.answer` must be called once for it."""

    def beyond(self, caller: Caller) -> None:
        """A request for which there is no room; `caller.answer` must be called once for it."""

    def left(self, caller: Caller) -> None:
        """The client went away while its request was open."""


class Caller(Guest):
    """A client's connection. One request is open at a time; the next ones wait their turn."""

    def __init__(self, owner: Callers, refusing: bool) -> None:
        super().__init__(owner.loop.time())
        self.owner = owner
        self.refusing = refusing
        self.parser = httptools.HttpRequestParser(self)
        self.partial: Message | None = None
        self.headed = False  # the head has come whole
        self.bytes = 0  # of the request that has begun
        self.waiting: deque[Message] = deque()
        self.open: Message | None = None
        self.deaf = False  # nothing further is read from this client
        self.full = False  # it does not read its answers
        self.relay: Relay | None = None  # of a large answer that is on its way
        self.chunks = True  # the client of the open request understands them
        self.turns = 0  # requests that were handed on
        self.paused = False
        self.lost = False

    # ---- reading --------------------------------------------------------------------------------------

    def occupied(self) -> bool:
        return bool(self.open or self.waiting or self.deaf)

    def halfway(self) -> bool:
        return self.partial is not None

    def data_received(self, data: bytes) -> None:
        self.active = self.owner.loop.time()
        start = 0
        while start < len(data) and not self.deaf:
            size = SLICE
            if self.partial is not None and self.headed:
                size = max(SLICE, min(BODY_SLICE, self.partial.announced - self.partial.length))
            self.feed(data if len(data) <= size and not start else data[start : start + size])
            start += size
        if self.waiting and self.open is None:
            self.next(waited=not self.turns)  # the first one may have waited where nobody listened

    def eof_received(self) -> None:
        """The client has gone, though answers that it has not taken may be on their way to it."""
        self.deaf = True
        self.abandon()
        self.forget()
        self.drop()
        if self.unflushed():
            self.owner.loop.call_later(LINGER, self.leave, self.owner.loop.time() + FLUSH)

    def feed(self, data: bytes) -> None:
        """Parses a slice, small beside the bound on a head, which is measured in whole slices."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The offer of another protocol is passed over, but the parser reads nothing after it.
            self.deaf = True
            last = self.waiting[-1] if self.waiting else self.open
            if last is not None:
                last.keep = False
        except httptools.HttpParserError:
            self.reject(400)
        if self.partial is not None:
            self.bytes += len(data)
            if not self.headed and (self.bytes > LARGEST_HEAD or len(self.partial.lines) > LARGEST_LINES):
                self.reject(431)
            elif self.bytes > LARGEST_HEAD + FRAMING * (LARGE + self.partial.length):
                self.reject(413)

    def on_message_begin(self) -> None:
        self.partial = Message()
        self.headed = False
        self.bytes = 0
        if self.asked:
            self.since = self.active  # its first byte has just come

    def on_url(self, url: bytes) -> None:
        if self.partial is not None:
            self.partial.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        message = self.partial
        if message is None or self.headed:  # trailers go no further
            return
        key = name.lower()
        headers = message.headers
        message.lines.append((key, name, value))  # a slice may bring more than there may be
        message.size += len(name) + len(value)
        if key not in headers:
            headers[key] = value
        elif key in SINGLE:
            self.reject(400)

    def on_headers_complete(self) -> None:
        self.headed = True
        if self.partial is None:
            return
        if len(self.partial.lines) > LARGEST_LINES:
            self.reject(431)
            return
        headers = self.partial.headers
        coding = headers.get(b"transfer-encoding")
        chunked = coding is not None and coding.strip().lower() == b"chunked"
        if coding is not None and not (chunked and self.parser.get_http_version() == "1.1"):
            # Failure prevented: where a body ends is a matter of opinion, and a request hides in it.
            self.reject(400)
        elif b"content-length" in headers:
            self.partial.announced = int(headers[b"content-length"])
            if self.partial.announced > LARGE:
                self.claim(self.partial, self.partial.announced)
        if not self.deaf and b"expect" in headers and self.open is None:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        message = self.partial
        if message is None or self.deaf:
            return
        message.parts.append(body)
        message.length += len(body)
        room = LARGE if message.claim is None else message.claim.asked
        if message.length > room and message.claim not in self.owner.claims:
            self.claim(message, next_step(room) if room < LARGEST_BODY else LARGEST_BODY + 1)

    def claim(self, message: Message, size: int) -> None:
        """Asks for a large body's room; it is not read on until there is some."""
        room = self.owner.room
        if not room.possible(size):
            self.reject(413)
            return
        if message.claim is None:
            message.claim = Claim()
        if not room.ask(message.claim, size, self.active):
            self.owner.claims[message.claim] = self
            self.transport.pause_reading()

    def granted(self) -> None:
        """There is room for the body that is being read."""
        self.since = max(self.since, self.owner.loop.time() - self.bytes / LEAST_RATE)
        if not self.paused and not self.transport.is_closing():
            self.transport.resume_reading()

    def on_message_complete(self) -> None:
        message, self.partial = self.partial, None
        if message is None:
            return
        if self.deaf:
            self.owner.release(message)
            return
        self.asked = True
        message.method = self.parser.get_method()
        message.keep = self.parser.should_keep_alive()
        message.chunks = self.parser.get_http_version() == "1.1"
        message.size += len(message.target) + (message.length if message.claim is None else 0)
        if self.owner.held + message.size > self.owner.most_held:
            # Failure prevented: many clients that send large requests ahead end the process for its memory.
            self.deaf = True
            self.owner.release(message)
            self.waiting.append(Message(503))
            return
        self.owner.held += message.size
        self.waiting.append(message)
        if len(self.waiting) >= PIPELINED and not self.paused:
            self.paused = True
            self.transport.pause_reading()

    def reject(self, status: int) -> None:
        """Answers at once with an error and reads no further, whatever else is open or waits here.

        Failure prevented: a request of the wrong length is passed on before what follows it shows that
        nothing on this connection can be told apart; or the error waits for as long as that request takes.
        """
        if self.deaf:
            return
        self.deaf = True
        self.abandon()
        self.forget()
        if self.relay is not None and self.open is not None:
            self.open.keep = False  # half of its answer is out: an error would be taken for the rest
            return
        self.drop()
        self.open = Message(status)
        self.answer(status)

    def next(self, waited: bool = True) -> None:
        """Hands on the request that waits, once nothing is in its way.

        `waited`: it did not come just now, so its client may have left since. Nothing is read while many
        requests wait, so that nobody may have been told.
        """
        if self.open is not None or self.full or self.lost or not self.waiting:
            return
        if waited and self.gone():
            self.hang_up()
            return
        self.turns += 1
        self.open = message = self.waiting.popleft()
        if self.paused:
            self.paused = False
            if self.partial is None or self.partial.claim not in self.owner.claims:
                self.transport.resume_reading()
        self.chunks = message.chunks
        handler = self.owner.handler
        if self.refusing or message.error or self.owner.turning_away:
            handler.beyond(self)
        else:
            handler.message(self, message)

    # ---- answering ------------------------------------------------------------------------------------

    def answer(self, status: int, body: bytes = b"", headers: bytes = b"") -> None:
        """The one answer to the open request. `headers` are whole lines."""
        message, self.open = self.open, None
        if message is None:
            return
        self.owner.held -= message.size
        self.owner.release(message)
        if self.transport.is_closing():
            return
        close = self.closes(message)
        data = b"%b%bContent-Length: %d\r\n%b\r\n%b" % (
            STATUS_LINES[status],
            headers,
            len(body),
            b"Connection: close\r\n" if close else b"",
            body,
        )
        self.active = self.owner.loop.time()
        self.transport.write(data)
        if close:
            self.finish()
        elif self.waiting:
            self.owner.loop.call_soon(self.next)

    def closes(self, message: Message) -> bool:
        """Whether this answer is the connection's last. Where it is to end, what waits is answered first.

        Failure prevented: whole requests that wait behind a last answer vanish.
        """
        if not message.keep:
            return True
        if not self.refusing and not self.owner.closing:
            return False
        if self.waiting:
            self.deaf = True  # or it never ends
            self.abandon()
        return not self.waiting

    def head(self, status: int, headers: bytes, close: bool) -> None:
        """The head of an answer that a relay brings. The request stays open until it is through."""
        message = self.open
        if message is None or self.transport.is_closing():
            return
        self.owner.release(message)  # nothing is sent again any more
        message.parts.clear()
        message.keep = not close and not self.closes(message)
        ending = b"" if message.keep else b"Connection: close\r\n"
        self.active = self.owner.loop.time()
        self.transport.write(b"%b%b%b\r\n" % (STATUS_LINES[status], headers, ending))

    def passed_on(self) -> None:
        """The relay has brought the whole answer."""
        message, self.open = self.open, None
        self.active = self.owner.loop.time()
        if message is None:
            return
        self.owner.held -= message.size
        if not message.keep:
            self.finish()
        elif self.waiting:
            self.owner.loop.call_soon(self.next)

    def cut(self) -> None:
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

    def finish(self) -> None:
        """Closes after the last answer.

        Failure prevented: closing while the client still sends resets the connection, and the answer is
        lost on its way. Our end is closed first, and the rest is read and thrown away.
        """
        self.deaf = True
        self.forget()
        if self.transport.is_closing():
            return
        self.transport.write_eof()
        self.owner.loop.call_later(LINGER, self.leave, self.owner.loop.time() + FLUSH)

    def leave(self, latest: float) -> None:
        """Failure prevented: a client that takes a large answer slowly loses the end of it."""
        if self.transport.get_write_buffer_size() and self.owner.loop.time() < latest:
            self.owner.loop.call_later(LINGER, self.leave, latest)
        else:
            self.transport.abort()

    def pause_writing(self) -> None:
        self.full = True
        if self.relay is not None:
            self.relay.full(True)

    def resume_writing(self) -> None:
        self.full = False
        if self.relay is not None:
            self.relay.full(False)
        self.next()

    # ---- ends -----------------------------------------------------------------------------------------

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost = True
        self.abandon()
        self.forget()
        self.drop()
        self.owner.listener.left(self)

    def drop(self) -> None:
        """Gives the open request up: nobody waits for its answer."""
        if self.open is not None:
            self.owner.held -= self.open.size
            self.owner.release(self.open)
            self.open = None
            if self.relay is not None:
                self.relay.stop()
            else:
                self.owner.handler.left(self)

    def abandon(self) -> None:
        """Gives up the request that has begun and not come whole."""
        message, self.partial = self.partial, None
        if message is not None:
            self.owner.release(message)

    def forget(self) -> None:
        """Throws away the requests that wait: they get no answer."""
        for message in self.waiting:
            self.owner.held -= message.size
            self.owner.release(message)
        self.waiting.clear()


class Callers:
    """The listener and its connections, within a budget of descriptors."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, most: int, most_held: int, most_bulk: int, handler: Handler
    ) -> None:
        self.loop = loop
        self.refusing = min(REFUSING, most // 4)
        self.most = most - self.refusing
        self.handler = handler
        self.handover = HANDOVER  # seconds that connections stay open to further requests at the end
        self.draining = False  # `/ready` says no
        self.closing = False  # no connection outlives its answer
        self.turning_away = False  # whatever still comes is refused
        self.most_held = most_held  # bytes of the whole requests that wait or are open
        self.held = 0
        self.room = Room(most_bulk)  # for large bodies
        self.claims: dict[Claim, Caller] = {}  # those that wait for room
        self.listener = Listener(loop, most, self.caller)

    @property
    def callers(self) -> set[Caller]:
        return cast(set[Caller], self.listener.guests)

    def start(self, address: Address) -> None:
        """Binds and listens. An OSError if the address cannot be had."""
        self.listener.start(address)
        self.loop.call_later(SWEEP, self.sweep)

    def adopt(self, number: int) -> None:
        """Listens on a socket that was handed down. An OSError if it is no such socket."""
        self.listener.adopt(number)
        self.loop.call_later(SWEEP, self.sweep)

    def caller(self) -> Caller:
        """The protocol of a connection that is being taken."""
        if len(self.callers) >= self.most:
            self.listener.make_room()
        return Caller(self, refusing=len(self.callers) >= self.most)

    def release(self, message: Message) -> None:
        """A large body's room is free again: whoever waits for it is read on."""
        claim, message.claim = message.claim, None
        if claim is None:
            return
        self.claims.pop(claim, None)
        self.grant(self.room.release(claim))

    def grant(self, claims: list[Claim]) -> None:
        for claim in claims:
            caller = self.claims.pop(claim, None)
            if caller is not None:
                caller.granted()

    def sweep(self) -> None:
        """Ends what has not brought a whole request in its time; a client that has asked may stay idle."""
        now = self.loop.time()
        for claim in self.room.overdue(now):
            caller = self.claims.get(claim)
            if caller is not None:
                caller.reject(503)
        for caller in list(self.callers):
            if caller.open or caller.waiting or caller.deaf:
                continue
            message = caller.partial
            if not too_slow(now - caller.since, caller.headed, message.length if message is not None else 0):
                continue
            if message is not None:
                if message.claim not in self.claims:
                    caller.reject(408)
            elif (caller.refusing or not caller.asked) and caller.transport is not None and caller.idle():
                caller.transport.abort()
        self.loop.call_later(SWEEP, self.sweep)

    def attend(self, service: Service) -> None:
        """An operator's pause: connections end at their answers, at last also those that bring nothing."""
        self.draining = service >= Service.PAUSED
        self.closing = service >= Service.CLOSING
        self.turning_away = service >= Service.REFUSING
        if service < Service.REFUSING:
            return
        now = self.loop.time()
        for caller in list(self.callers):
            if caller.transport is None:
                continue
            if now - caller.active > SETTLE and caller.idle():
                caller.transport.abort()
            elif service >= Service.ENDING and caller.partial is not None and not caller.open:
                caller.reject(408)

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
            for caller in list(self.callers):
                if caller.transport is None:
                    continue
                settled = now - caller.active > SETTLE
                # A request that has not come whole long after the last connection was taken is not ours. An
                # answer that its client has not taken is, and so is what waits behind it.
                owed = caller.open or caller.unflushed()
                latest = FLUSH if owed else max(TAKING, self.handover) + LINGER
                if settled and caller.idle() or since > latest and (not caller.open or caller.full):
                    caller.transport.abort()

        await self.listener.drain(look)
