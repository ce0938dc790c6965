"""One end of a link inside a process, and what travels between the ends."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, auto

from attrs import frozen

from brackenladder.transport.codec import Codec
from brackenladder.transport.errors import DecodeError, DecodeFault, LinkClosed
from brackenladder.transport.framing import PREFIX_BYTES, frame
from brackenladder.transport.link import LinkHandler, LinkLimits


@frozen(eq=False)
class Event:
    """Something that happens when the test lets it. The sender's own events (to itself) pass any cut."""

    sender: str  # name of the node from which it comes
    receiver: str  # name of the node at which it happens

    @property
    def direction(self) -> tuple[str, str]:
        """Sender and receiver: events of one direction happen in their order."""
        return self.sender, self.receiver

    def happen(self) -> None:
        """Delivers it."""
        raise NotImplementedError


class EndState(Enum):
    """Where one end of a link stands."""

    HANDSHAKE = auto()
    OPEN = auto()
    CLOSING = auto()
    CLOSED = auto()


class MemoryLink:
    """A `Link`: one of the two ends."""

    def __init__(
        self,
        owner: str,
        codec: Codec | None,
        limits: LinkLimits,
        handler: LinkHandler,
        queue: Callable[[Event], None],
        ended: Callable[[MemoryLink, LinkClosed], None],
    ) -> None:
        self.owner = owner
        self.remote = ""
        self.peer = ""
        self.version = 0
        self.opened = False
        self.was_reset = False  # what it has sent and nobody has received is lost
        self.queued_bytes = 0
        self._codec = codec
        self._limits = limits
        self._handler = handler
        self._queue = queue
        self._ended = ended
        self._other: MemoryLink | None = None
        self._state = EndState.HANDSHAKE

    @property
    def time_since_receive(self) -> int:
        """Always 0: what is sent arrives, or the link ends."""
        return 0

    def attach(self, other: MemoryLink, remote: str, version: int) -> None:
        """Names the other end; both ends are told before anything happens on the link."""
        self._other = other
        self.remote = remote
        self.peer = other.owner
        self.version = version

    @property
    def other(self) -> MemoryLink:
        """The other end."""
        assert self._other is not None
        return self._other

    @property
    def ended(self) -> bool:
        """Nothing happens at this end any more."""
        return self._state is EndState.CLOSED

    def send(self, message: object) -> bool:
        """See `Link.send`."""
        if self._state is not EndState.OPEN:
            return False
        size = 0
        carried: object = message
        if self._codec is not None:
            carried = frame(self._codec.encode(message), self._limits.frame_bytes)
            size = len(carried)
        if self.queued_bytes and self.queued_bytes + size > self._limits.queue_bytes:
            return False
        self.queued_bytes += size
        self._queue(Delivery(self.owner, self.peer, self, carried, size))
        return True

    def close(self) -> None:
        """See `Link.close`."""
        if self._state in (EndState.HANDSHAKE, EndState.OPEN):
            self._state = EndState.CLOSING
            self._queue(Ending(self.owner, self.owner, self, LinkClosed.LOCAL))
            self._queue(Ending(self.owner, self.peer, self.other, LinkClosed.REMOTE))

    def abort(self, reason: LinkClosed) -> None:
        """Ends at once; what is under way from here is lost, and the other end learns of a reset."""
        if self._state is EndState.CLOSED or self.was_reset:
            return
        self._state = EndState.CLOSING
        self.was_reset = True
        self._queue(Ending(self.owner, self.owner, self, reason))
        self._queue(Ending(self.owner, self.peer, self.other, LinkClosed.LOST))

    def open(self) -> None:
        """The handshake is done at this end."""
        if self._state is EndState.HANDSHAKE:
            self._state = EndState.OPEN
            self.opened = True
            self._handler.connected(self)

    def receive(self, carried: object) -> None:
        """A message arrives at this end."""
        if self._state is not EndState.OPEN:
            return
        try:
            message = self._decoded(carried)
        except DecodeError as fault:
            if fault.fault is not DecodeFault.UNKNOWN_TAG:
                self.abort(LinkClosed.MALFORMED)
            return
        self._handler.received(self, message)

    def finish(self, reason: LinkClosed) -> None:
        """The link has ended here; the handler is told if it knew of the link."""
        if self._state is EndState.CLOSED:
            return
        self._state = EndState.CLOSED
        try:
            if self.opened:
                self._handler.closed(self, reason)
        finally:
            self._ended(self, reason)

    def drop_silently(self) -> None:
        """The node of this end is gone without a word; nobody is told."""
        self._state = EndState.CLOSED
        self.was_reset = True

    def _decoded(self, carried: object) -> object:
        if self._codec is None or not isinstance(carried, bytes):
            return carried
        return self._codec.decode(carried[PREFIX_BYTES:])


@frozen(eq=False)
class Opening(Event):
    """The handshake ends at `link`."""

    link: MemoryLink

    def happen(self) -> None:
        """Opens the link at this end."""
        self.link.open()


@frozen(eq=False)
class Delivery(Event):
    """A message from `source` reaches the other end."""

    source: MemoryLink
    carried: object
    size: int

    def happen(self) -> None:
        """Hands the message over, unless its sender has reset the link."""
        self.source.queued_bytes -= self.size
        if not self.source.was_reset:
            self.source.other.receive(self.carried)


@frozen(eq=False)
class Ending(Event):
    """`link` ends."""

    link: MemoryLink
    reason: LinkClosed

    def happen(self) -> None:
        """Ends the link at this end."""
        self.link.finish(self.reason)
