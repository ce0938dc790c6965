"""A link over one TCP connection: handshake, framing and batched writes."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from enum import Enum, auto

from attrs import frozen

from brackenladder.transport.address import Address
from brackenladder.transport.codec import Codec
from brackenladder.transport.errors import DecodeError, DecodeFault, FrameTooLarge, LinkClosed
from brackenladder.transport.framing import PING, FrameReader, frame
from brackenladder.transport.handshake import decode_hello, encode_hello
from brackenladder.transport.keepalive import Keepalive
from brackenladder.transport.link import LinkHandler, LinkLimits, LinkTiming, OnRefused, ProtocolVersions

MICROSECONDS_PER_MILLISECOND = 1_000
MICROSECONDS_PER_SECOND = 1_000_000


class LinkState(Enum):
    """How far a link is between its handshake and its end."""

    HANDSHAKE = auto()  # the other side's hello hasn't arrived yet
    OPEN = auto()
    CLOSING = auto()  # no more messages are sent or delivered; the connection is being closed
    CLOSED = auto()


@frozen
class LinkSettings:
    """Settings and services shared by all links of a transport."""

    loop: asyncio.AbstractEventLoop
    codec: Codec
    timing: LinkTiming
    limits: LinkLimits
    versions: ProtocolVersions
    name: str
    keepalive: Keepalive


class TcpLink(asyncio.Protocol):
    """A `Link`. `ended` is called once when the connection has ended, even without a completed handshake."""

    def __init__(
        self, settings: LinkSettings, handler: LinkHandler, ended: Callable[[TcpLink, LinkClosed], None]
    ) -> None:
        self.remote = ""
        self.peer = ""
        self.version = 0
        self.last_sent_at = self.last_received_at = settings.loop.time()
        self.grace_given = False
        self.opened_at: float | None = None  # loop time at which the handshake was completed
        self._settings = settings
        self._handler = handler
        self._ended = ended
        self._state = LinkState.HANDSHAKE
        self._reason: LinkClosed | None = None
        self._transport: asyncio.Transport | None = None
        self._reader = FrameReader(settings.limits.hello_bytes)
        self._batch: list[bytes] = []
        self._batch_bytes = 0

    # methods of the `Link` interface

    def send(self, message: object) -> bool:
        """See `Link.send`."""
        if self._state is not LinkState.OPEN:
            return False
        limits = self._settings.limits
        data = frame(self._settings.codec.encode(message), limits.frame_bytes)
        queued = self.queued_bytes
        if queued and queued + len(data) > limits.queue_bytes:
            return False
        self._queue(data)
        return True

    def close(self) -> None:
        """See `Link.close`."""
        if self._state in (LinkState.HANDSHAKE, LinkState.OPEN):
            self._flush()
            self._end(LinkClosed.LOCAL, graceful=True)

    @property
    def queued_bytes(self) -> int:
        """Bytes accepted by `send` that the kernel hasn't taken yet."""
        buffered = 0 if self._transport is None else self._transport.get_write_buffer_size()
        return buffered + self._batch_bytes

    @property
    def connected(self) -> bool:
        """Whether a connection was ever made."""
        return self._transport is not None

    # called by the keepalive timer

    def ping(self, now: float) -> None:
        """See `WatchedLink.ping`."""
        self.last_sent_at = now
        if self._transport is not None and not self.queued_bytes and not self._transport.is_closing():
            self._transport.write(PING)

    def on_silence_timeout(self) -> None:
        """See `WatchedLink.on_silence_timeout`."""
        self.abort(LinkClosed.SILENT)

    def abort(self, reason: LinkClosed) -> None:
        """Closes the link at once and drops the queued messages."""
        self._end(reason, graceful=False)

    @property
    def time_since_receive(self) -> int:
        """See `Link.time_since_receive`."""
        return max(0, int((self._settings.loop.time() - self.last_received_at) * MICROSECONDS_PER_SECOND))

    # called by asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends this node's hello."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.remote = remote_of(transport)
        connection = transport.get_extra_info("socket")
        if connection is not None:
            set_options(connection, self._settings.timing)
        self._settings.keepalive.add(self)
        if self._state is LinkState.CLOSING:
            transport.abort()
            return
        hello = encode_hello(self._settings.versions, self._settings.name)
        transport.write(frame(hello, self._settings.limits.hello_bytes))

    def data_received(self, data: bytes) -> None:
        """Passes the complete messages to the handler."""
        self.last_received_at = self._settings.loop.time()
        self.grace_given = False
        self._reader.feed(data)
        try:
            self._process_frames()
        except FrameTooLarge:
            self.abort(LinkClosed.OVERSIZED)
        except DecodeError:
            self.abort(LinkClosed.MALFORMED)

    def connection_lost(self, exc: Exception | None) -> None:
        """Reports the end of the connection."""
        was_open = self.opened_at is not None
        self._state = LinkState.CLOSED
        self._batch.clear()
        self._batch_bytes = 0
        self._settings.keepalive.discard(self)
        reason = self._reason or (LinkClosed.REMOTE if exc is None else LinkClosed.LOST)
        try:
            if was_open:
                self._handler.closed(self, reason)
        finally:
            self._ended(self, reason)

    # internals

    def _process_frames(self) -> None:
        while self._state in (LinkState.HANDSHAKE, LinkState.OPEN):
            body = self._reader.next_body()
            if body is None:
                return
            if self._state is LinkState.HANDSHAKE:
                self._on_hello(body)
            elif body:
                self._on_message(body)

    def _on_hello(self, body: bytes) -> None:
        hello = decode_hello(body)
        version = self._settings.versions.common(hello.lowest, hello.highest)
        if version is None:
            self._end(LinkClosed.INCOMPATIBLE, graceful=True)
            return
        self.peer = hello.name
        self.version = version
        self._reader.limit = self._settings.limits.frame_bytes
        self._state = LinkState.OPEN
        self.opened_at = self._settings.loop.time()
        self._handler.connected(self)

    def _on_message(self, body: bytes) -> None:
        try:
            message = self._settings.codec.decode(body)
        except DecodeError as fault:
            if fault.fault is DecodeFault.UNKNOWN_TAG:
                return  # an unknown message type, sent by a newer node, is ignored
            raise
        self._handler.received(self, message)

    def _queue(self, data: bytes) -> None:
        if not self._batch:
            self._settings.loop.call_soon(self._flush)
        self._batch.append(data)
        self._batch_bytes += len(data)

    def _flush(self) -> None:
        """Writes all messages sent in this loop iteration with one call."""
        if not self._batch or self._transport is None:
            return
        batch, self._batch = self._batch, []
        self._batch_bytes = 0
        if self._transport.is_closing():
            return
        self.last_sent_at = self._settings.loop.time()
        self._transport.write(batch[0] if len(batch) == 1 else b"".join(batch))

    def _end(self, reason: LinkClosed, graceful: bool) -> None:
        if self._state is LinkState.CLOSED:
            return
        self._state = LinkState.CLOSING
        self._reason = self._reason or reason
        if self._transport is None:
            return  # `connection_made` will abort it
        if graceful:
            self._transport.close()
        else:
            self._transport.abort()


class RefusedConnection(asyncio.Protocol):
    """The protocol of an accepted connection over the limit. It aborts the connection at once."""

    def __init__(self, refused: OnRefused) -> None:
        self._refused = refused

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Aborts the connection."""
        assert isinstance(transport, asyncio.Transport)
        transport.abort()
        self._refused(remote_of(transport), LinkClosed.TOO_MANY_CONNECTIONS)


def remote_of(transport: asyncio.Transport) -> str:
    """Returns the other end's "ip:port", or "" if the connection has already ended."""
    peername = transport.get_extra_info("peername")
    return str(Address(peername[0], peername[1])) if peername else ""


def set_options(connection: socket.socket, timing: LinkTiming) -> None:
    """Disables Nagle's algorithm, and makes the kernel end connections whose data isn't acknowledged."""
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    option = getattr(socket, "TCP_USER_TIMEOUT", None)
    if option is None:
        return
    try:
        connection.setsockopt(
            socket.IPPROTO_TCP, option, timing.silence_timeout // MICROSECONDS_PER_MILLISECOND
        )
    except OSError:
        return  # not supported on this system; the keepalive timer closes silent links
