"""Forwards a large response from a server's connection to a client's, at the speed of the slower one."""

from __future__ import annotations

import asyncio
from typing import Protocol

STALLED = 30.0  # seconds without progress after which the relay is aborted
LARGEST_ANSWER = 1 << 30  # bytes of a relayed response's body


class ServerSide(Protocol):
    """The server's connection, as the relay uses it."""

    transport: asyncio.Transport

    def close(self) -> None: ...


class ClientSide(Protocol):
    """The client's connection, as the relay uses it."""

    transport: asyncio.Transport
    chunks: bool
    relay: Relay | None

    def head(self, status: int, headers: bytes, close: bool) -> None: ...

    def relay_finished(self) -> None: ...

    def cut_answer(self) -> None: ...


class Relay:
    """Forwards the body of a large response; its call was already concluded when the first bytes arrived.

    If either side breaks, the client's connection is cut, so that the client can tell that the response is
    incomplete. `length` is the length of the body, if the server announced it; otherwise the client gets
    chunks.
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
        """Sends the head and the part of the body that was received so far."""
        self.client = client
        client.relay = self
        self.chunked = self.length is None and client.chunks
        framing = b"Transfer-Encoding: chunked\r\n" if self.chunked else b""
        if self.length is not None:
            framing = b"Content-Length: %d\r\n" % self.length
        client.head(status, headers + framing, close=self.length is None and not self.chunked)
        self.timer = self.loop.call_later(STALLED, self.check_stalled)
        self.forward(body)

    def forward(self, body: bytes) -> None:
        """Forwards more of the body."""
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
        """Aborts the relay if neither side made progress for `STALLED` seconds.

        The client's timeout does not apply: a large response is timed by its first bytes, and must not be cut
        off while the server still sends.
        """
        left = self.last_progress + STALLED - self.loop.time()
        if left > 0:
            self.timer = self.loop.call_later(left, self.check_stalled)
        else:
            self.stop()

    def set_client_paused(self, paused: bool) -> None:
        """Pauses or resumes reading from the server when the client's write buffer is full or has drained."""
        self.last_progress = self.loop.time()
        if self.connection is not None and not self.connection.transport.is_closing():
            if paused:
                self.connection.transport.pause_reading()
            else:
                self.connection.transport.resume_reading()

    def complete(self) -> None:
        """Ends the relay after the whole body was forwarded."""
        client = self.end()
        if client is not None:
            if self.chunked:
                client.transport.write(b"0\r\n\r\n")
            client.relay_finished()

    def stop(self) -> None:
        """Aborts the relay and the connections on both sides."""
        connection = self.connection
        client = self.end()
        if connection is not None:
            connection.close()
        if client is not None:
            client.cut_answer()

    def end(self) -> ClientSide | None:
        """Detaches both sides; returns the client's connection, if it was still attached."""
        client, self.client, self.connection = self.client, None, None
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if client is not None:
            client.relay = None
        return client
