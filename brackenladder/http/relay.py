"""A large answer on its way from a server's connection to a client's, as fast as the slower of the two."""

from __future__ import annotations

import asyncio
from typing import Protocol

STALLED = 30.0  # seconds without a byte from the server, or to the client, after which it is cut off
LARGEST_ANSWER = 1 << 30  # bytes


class Giver(Protocol):
    """A server's connection, as far as a relay uses it."""

    transport: asyncio.Transport

    def close(self) -> None: ...


class Taker(Protocol):
    """A client's connection, as far as a relay uses it."""

    transport: asyncio.Transport
    chunks: bool
    relay: Relay | None

    def head(self, status: int, headers: bytes, close: bool) -> None: ...

    def passed_on(self) -> None: ...

    def cut(self) -> None: ...


class Relay:
    """The call is concluded when this begins: the first bytes are the answer's time. What breaks it then cuts
    the client's connection, so that it can tell the answer from a whole one.

    `length`: the body's, if the server told it; else the client gets chunks.
    """

    __slots__ = ("loop", "connection", "length", "caller", "chunked", "passed", "timer", "moved")

    def __init__(self, loop: asyncio.AbstractEventLoop, connection: Giver, length: int | None) -> None:
        self.loop = loop
        self.connection: Giver | None = connection
        self.length = length
        self.caller: Taker | None = None
        self.chunked = False
        self.passed = 0
        self.moved = loop.time()
        self.timer: asyncio.TimerHandle | None = None

    def begin(self, caller: Taker, status: int, headers: bytes, body: bytes) -> None:
        """Writes the head and what has come so far."""
        self.caller = caller
        caller.relay = self
        self.chunked = self.length is None and caller.chunks
        framing = b"Transfer-Encoding: chunked\r\n" if self.chunked else b""
        if self.length is not None:
            framing = b"Content-Length: %d\r\n" % self.length
        caller.head(status, headers + framing, close=self.length is None and not self.chunked)
        self.timer = self.loop.call_later(STALLED, self.look)
        self.data(body)

    def data(self, body: bytes) -> None:
        """More of the body from the server."""
        if self.caller is None or not body:
            return
        self.moved = self.loop.time()
        self.passed += len(body)
        if self.passed > LARGEST_ANSWER:
            self.stop()
            return
        if self.chunked:
            body = b"%x\r\n%b\r\n" % (len(body), body)
        self.caller.transport.write(body)

    def look(self) -> None:
        """Cuts off what has not moved for long, whoever is the cause.

        The client's time is no bound: a large answer is timed by its first bytes, and what the server still
        gives may not be cut off.
        """
        left = self.moved + STALLED - self.loop.time()
        if left > 0:
            self.timer = self.loop.call_later(left, self.look)
        else:
            self.stop()

    def full(self, on: bool) -> None:
        """The client takes no more for now, or takes more again."""
        self.moved = self.loop.time()
        if self.connection is not None and not self.connection.transport.is_closing():
            if on:
                self.connection.transport.pause_reading()
            else:
                self.connection.transport.resume_reading()

    def whole(self) -> None:
        """The server has given all of it."""
        caller = self.end()
        if caller is not None:
            if self.chunked:
                caller.transport.write(b"0\r\n\r\n")
            caller.passed_on()

    def stop(self) -> None:
        """It will not come whole: whichever side is left is cut off."""
        connection = self.connection
        caller = self.end()
        if connection is not None:
            connection.close()
        if caller is not None:
            caller.cut()

    def end(self) -> Taker | None:
        """Nothing more passes; the client's connection, if there is one."""
        caller, self.caller, self.connection = self.caller, None, None
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if caller is not None:
            caller.relay = None
        return caller
