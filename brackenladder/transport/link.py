"""What every transport offers: links, their handler, dialers, and the timing and limits they keep to.

Rules that hold for all of them: a handler's methods are called in the event loop, one at a time. `connected`
comes first, `closed` exactly once and last, with nothing after it; `closed` is never called from inside
`Link.close`. After `Link.close` no more messages are handed over. Messages arrive in the order in which
they were sent, once each; those still under way when a link ends are lost. A link that fails before or
in its handshake is not shown to the handler: `Dialer.last_reason` and the transport's `on_refused` tell why.
A message whose tag this node does not know comes from a newer node and is passed over; any other fault in a
frame ends the link.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from attrs import frozen

from brackenladder.transport.errors import LinkClosed as LinkClosed

PROTOCOL_MIN = 1
PROTOCOL_MAX = 1

OnRefused = Callable[[str, LinkClosed], None]  # remote "ip:port" and the reason


@frozen
class LinkTiming:
    """Times in microseconds."""

    ping_every: int = 500_000  # a link that has sent nothing for so long sends a ping
    silence_timeout: int = 1_600_000  # a link that has heard nothing for so long is closed
    connect_timeout: int = 700_000  # a connection that hangs is given up
    retry_min: int = 50_000  # first pause between attempts to connect; doubles
    retry_max: int = 500_000  # longest pause between attempts
    refused_pause: int = 60_000  # longest pause after a refusal: the host lives, its process restarts
    refused_tries: int = 25  # in a row; from then on a refusal is like any other failure
    stable_after: int = 1_000_000  # a link that stood so long resets the pause
    listen_timeout: int = 10_000_000  # how long an address that is in use is tried
    listen_retry: int = 100_000  # pause between these tries
    close_grace: int = 500_000  # what a closing transport leaves its links to send what is queued


@frozen
class LinkLimits:
    """Bounds on what links may hold."""

    queue_bytes: int = 8 << 20  # queued and not yet taken by the kernel, a link
    frame_bytes: int = 16 << 20  # a frame's body
    hello_bytes: int = 1 << 10  # the body of a link's first frame
    incoming: int = 512  # connections that a transport accepts at a time


@frozen
class ProtocolVersions:
    """The versions of the protocol that a node speaks, both included."""

    lowest: int = PROTOCOL_MIN
    highest: int = PROTOCOL_MAX

    def common(self, lowest: int, highest: int) -> int | None:
        """The highest version that the other side speaks too."""
        version = min(self.highest, highest)
        return version if version >= max(self.lowest, lowest) else None


class Link(Protocol):
    """One established connection."""

    @property
    def remote(self) -> str:
        """Address of the other end, "ip:port"."""

    @property
    def peer(self) -> str:
        """The other node's name, as it gave it in the handshake."""

    @property
    def version(self) -> int:
        """The protocol version that both sides speak."""

    @property
    def time_since_receive(self) -> int:
        """Microseconds since anything was heard from the other end, pings included."""

    def send(self, message: object) -> bool:
        """Queues a message; never blocks. False when closed or when the queue would exceed its bound.

        A message larger than the bound is taken when nothing else is queued. EncodeError (MessageTooLarge,
        if its frame is over the limit) when the message has no encoding.
        """

    def close(self) -> None:
        """Ends the link once what is queued has been sent."""


class LinkHandler(Protocol):
    """Who uses links: told of all that happens to them."""

    def connected(self, link: Link) -> None:
        """The link stands: both sides have named themselves."""

    def received(self, link: Link, message: object) -> None:
        """A message has arrived."""

    def closed(self, link: Link, reason: LinkClosed) -> None:
        """The link has ended."""


class Dialer(Protocol):
    """Keeps one link to an address, dialling again whenever it has ended."""

    @property
    def address(self) -> str:
        """Where it dials."""

    @property
    def link(self) -> Link | None:
        """The link that stands now."""

    @property
    def last_reason(self) -> LinkClosed | None:
        """Why the last link ended or the last attempt failed."""

    def close(self) -> None:
        """Stops dialling and closes the link."""


class Transport(Protocol):
    """Makes links."""

    async def listen(self, address: str, handler: LinkHandler) -> None:
        """Accepts links at "ip:port" (port 0: any free one, see `listening`). ListenError if it cannot."""

    @property
    def listening(self) -> tuple[str, ...]:
        """The addresses bound, in the order of the calls of `listen`."""

    def dial(self, address: str, handler: LinkHandler) -> Dialer:
        """Keeps a link to `address` until the dialer is closed. AddressError if it is none."""

    async def close(self) -> None:
        """Ends listeners, dialers and links, and returns when all is closed."""
