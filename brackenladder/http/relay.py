"""A large answer on its way from a server's connection to a client's, as fast as the slower of the two."""

from __future__ import annotations

import asyncio
from typing import Protocol

STALLED = 30.0  # seconds without a byte from the server, or to the client, after which it is cut off
LARGEST_ANSWER = 1 << 30  # bytes


class ServerSide(Protocol):
    """A server's connection, as far as a relay uses it."""

    transport: asyncio.Transport

    def close(self) -> None: ...


class ClientSide(Protocol):
    """A client's connection, as far as a relay uses it."""

    transport: asyncio.Transport
    chunks: bool
    relay: Relay | None

    def head(self, status: int, headers: bytes, close: bool) -> None: ...

    def relay_finished(self) -> None: ...

    def cut_answer(self) -> None: ...


class Relay:
    """The call is concluded when this begins: the first bytes are the answer's time. What breaks it then cuts
    the client's connection, so that it can tell the answer from a whole one.

    `length`: the body's, if the server told it; else the client gets chunks.
    """

    __slots__ = (
        "loop",
        "connection",
        "length",
        "client",
        "chunked",
        "relayed_bytes",
        "timer",
        "last_progress",
    )

    def __init__(self, loop: asyncio.AbstractEventLoop, connection: ServerSide, length: int | None) -> None:
        self.loop = loop
        self.connection: ServerSide | None = connection
        self.length = length
        self.client: ClientSide | None = None
        self.chunked = False
        self.relayed_bytes = 0
        self.last_progress = loop.time()
        self.timer: asyncio.TimerHandle | None = None

    def begin(self, client: ClientSide, status: int, headers: bytes, body: bytes) -> None:
        """Writes the head and what has come so far."""
        self.client = client
        client.relay = self
        self.chunked = self.length is None and client.chunks
        framing = b"Transfer-Encoding: chunked\r\n" if self.chunked else b""
        if self.length is not None:
            framing = b"Content-Length: %d\r\n" % self.length
        client.head(status, headers + framing, close=self.length is None and not self.chunked)
        self.timer = self.loop.call_later(STALLED, self.check_stalled)
        self.data(body)

    def data(self, body: bytes) -> None:
        """More of the body from the server."""
        if self.client is None or not body:
            return
        self.last_progress = self.loop.time()
        self.relayed_bytes += len(body)
        if self.relayed_bytes > LARGEST_ANSWER:
            self.stop()
            return
        if self.chunked:
            body = b"%x\r\n%b\r\n" % (len(body), body)
        self.client.transport.write(body)

    def check_stalled(self) -> None:
        """Cuts off what has not last_progress for long, whoever is the cause.

        The client's time is no bound: a large answer is timed by its first bytes, and what the server still
        gives may not be cut off.
        """
        left = self.last_progress + STALLED - self.loop.time()
        if left > 0:
            self.timer = self.loop.call_later(left, self.check_stalled)
        else:
            self.stop()

    def set_client_paused(self, paused: bool) -> None:
        """The client takes no more for now, or takes more again."""
        self.last_progress = self.loop.time()
        if self.connection is not None and not self.connection.transport.is_closing():
            if paused:
                self.connection.transport.pause_reading()
            else:
                self.connection.transport.resume_reading()

    def whole(self) -> None:
        """The server has given all of it."""
        client = self.end()
        if client is not None:
            if self.chunked:
                client.transport.write(b"0\r\n\r\n")
            client.relay_finished()

    def stop(self) -> None:
        """It will not come whole: whichever side is left is cut off."""
        connection = self.connection
        client = self.end()
        if connection is not None:
            connection.close()
        if client is not None:
            client.cut_answer()

    def end(self) -> ClientSide | None:
        """Nothing more passes; the client's connection, if there is one."""
        client, self.client, self.connection = self.client, None, None
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if client is not None:
            client.relay = None
        return client
