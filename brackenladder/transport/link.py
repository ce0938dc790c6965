"""The interface of all transports: links, their handlers, dialers, timing and limits.

Every transport keeps these rules:

- A handler's methods are called in the event loop, one at a time. `connected` is called first, and `closed`
  exactly once and last. `closed` is never called from inside `Link.close`.
- After `Link.close` no more messages are passed to the handler.
- Messages arrive once each and in the order in which they were sent. When a link ends, those in transit are
  lost.
- A link that fails before or during its handshake is not reported to the handler. The reason is available as
  `Dialer.last_reason` and is passed to the transport's `on_refused`.
- A message with an unknown tag comes from a newer node and is ignored. Any other fault in a frame ends the
  link.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from attrs import frozen

from brackenladder.transport.errors import LinkClosed as LinkClosed

PROTOCOL_MIN = 1
PROTOCOL_MAX = 1

OnRefused = Callable[[str, LinkClosed], None]  # called with the remote "ip:port" and the reason


@frozen
class LinkTiming:
    """Timing of links. All times are in microseconds."""

    ping_every: int = 500_000  # a link that has sent nothing for this long sends a ping
    silence_timeout: int = 1_600_000  # a link that has received nothing for this long is closed
    connect_timeout: int = 700_000  # limit for establishing a TCP connection
    retry_min: int = 50_000  # first pause between connection attempts; doubles with each failure
    retry_max: int = 500_000  # longest pause between two attempts to connect
    refused_pause: int = 60_000  # longest pause after ECONNREFUSED, as the process is probably restarting
    refused_tries: int = 25  # refusals in a row with the short pause; then it grows up to `retry_max`
    stable_after: int = 1_000_000  # a link open for this long resets the retry pause to `retry_min`
    listen_timeout: int = 10_000_000  # how long binding is retried while the address is in use
    listen_retry: int = 100_000  # pause between two attempts to bind a listener's address
    close_grace: int = 500_000  # time that links have to send queued messages while their transport closes


@frozen
class LinkLimits:
    """Limits on the memory and connections that links may use."""

    queue_bytes: int = 8 << 20  # most bytes on one link that wait to be written to its socket
    frame_bytes: int = 16 << 20  # most bytes in the body of a frame
    hello_bytes: int = 1 << 10  # most bytes in the body of the hello frame
    incoming: int = 512  # accepted connections of a transport that may be open at the same time


@frozen
class ProtocolVersions:
    """The inclusive range of protocol versions that a node supports."""

    lowest: int = PROTOCOL_MIN
    highest: int = PROTOCOL_MAX

    def common(self, lowest: int, highest: int) -> int | None:
        """Returns the highest version that the other side supports too, or None."""
        version = min(self.highest, highest)
        return version if version >= max(self.lowest, lowest) else None


class Link(Protocol):
    """One established connection."""

    @property
    def remote(self) -> str:
        """The address of the other end, "ip:port"."""

    @property
    def peer(self) -> str:
        """The other node's name, from its hello."""

    @property
    def version(self) -> int:
        """The protocol version negotiated in the handshake."""

    @property
    def time_since_receive(self) -> int:
        """Microseconds since the last bytes were received, pings included."""

    def send(self, message: object) -> bool:
        """Queues a message without blocking. Returns False if the link is closed or the queue is full.

        A message larger than the queue limit is accepted if nothing else is queued. Raises EncodeError if the
        message can't be encoded, MessageTooLarge if its frame would be over the limit.
        """

    def close(self) -> None:
        """Closes the link after the queued messages have been sent."""


class LinkHandler(Protocol):
    """Called when a link opens, receives a message or ends."""

    def connected(self, link: Link) -> None:
        """Called when the handshake is complete."""

    def received(self, link: Link, message: object) -> None:
        """Called for each received message."""

    def closed(self, link: Link, reason: LinkClosed) -> None:
        """Called once when the link has ended, with the reason."""


class Dialer(Protocol):
    """Keeps one link to an address and reconnects whenever the link has ended."""

    @property
    def address(self) -> str:
        """The address that the dialer connects to."""

    @property
    def link(self) -> Link | None:
        """The open link, or None."""

    @property
    def last_reason(self) -> LinkClosed | None:
        """Why the last link ended or the last attempt failed."""

    def close(self) -> None:
        """Stops connecting and closes the link."""


class Transport(Protocol):
    """Accepts and establishes links."""

    async def listen(self, address: str, handler: LinkHandler) -> None:
        """Accepts links at "ip:port". Port 0 means any free port, see `listening`.

        Raises ListenError if the address can't be bound.
        """

    @property
    def listening(self) -> tuple[str, ...]:
        """The bound addresses, in the order of the calls of `listen`."""

    def dial(self, address: str, handler: LinkHandler) -> Dialer:
        """Keeps a link to `address` until the dialer is closed. Raises AddressError if it isn't "ip:port"."""

    async def close(self) -> None:
        """Closes listeners, dialers and links, and returns when all of them have ended."""
