"""One end of a link within one process, and the events between the two ends."""

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
    """An event that happens when the test delivers it. Cuts don't delay events from a node to itself."""

    sender: str  # name of the node that caused the event
    receiver: str  # name of the node where the event takes effect

    @property
    def direction(self) -> tuple[str, str]:
        """Sender and receiver of the event. Events with the same two happen in the order they were queued."""
        return self.sender, self.receiver

    def happen(self) -> None:
        """Called when the test network delivers the event, to carry out its effect."""
        raise NotImplementedError


class EndState(Enum):
    """The state of one end of a link."""

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
        self.was_reset = False  # if true, messages in transit from this end are lost
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
        """Always 0: what is sent arrives, or the link ends, so there is no silence to measure."""
        return 0

    def attach(self, other: MemoryLink, remote: str, version: int) -> None:
        """Sets the other end. Called on both ends before the first event of the link."""
        self._other = other
        self.remote = remote
        self.peer = other.owner
        self.version = version

    @property
    def other(self) -> MemoryLink:
        """The end of this link at the other node."""
        assert self._other is not None
        return self._other

    @property
    def ended(self) -> bool:
        """Whether this end is closed and takes no more events."""
        return self._state is EndState.CLOSED

    def send(self, message: object) -> bool:
        """See `Link.send`."""
        if self._state is not EndState.OPEN:
            return False
        size = 0
        payload: object = message
        if self._codec is not None:
            payload = frame(self._codec.encode(message), self._limits.frame_bytes)
            size = len(payload)
        if self.queued_bytes and self.queued_bytes + size > self._limits.queue_bytes:
            return False
        self.queued_bytes += size
        self._queue(Delivery(self.owner, self.peer, self, payload, size))
        return True

    def close(self) -> None:
        """See `Link.close`."""
        if self._state in (EndState.HANDSHAKE, EndState.OPEN):
            self._state = EndState.CLOSING
            self._queue(Ending(self.owner, self.owner, self, LinkClosed.LOCAL))
            self._queue(Ending(self.owner, self.peer, self.other, LinkClosed.REMOTE))

    def abort(self, reason: LinkClosed) -> None:
        """Resets the link: messages in transit from this end are lost, and the other end sees a reset."""
        if self._state is EndState.CLOSED or self.was_reset:
            return
        self._state = EndState.CLOSING
        self.was_reset = True
        self._queue(Ending(self.owner, self.owner, self, reason))
        self._queue(Ending(self.owner, self.peer, self.other, LinkClosed.LOST))

    def open(self) -> None:
        """Completes the handshake at this end."""
        if self._state is EndState.HANDSHAKE:
            self._state = EndState.OPEN
            self.opened = True
            self._handler.connected(self)

    def receive(self, payload: object) -> None:
        """Passes an arriving message to the handler."""
        if self._state is not EndState.OPEN:
            return
        try:
            message = self._decode(payload)
        except DecodeError as fault:
            if fault.fault is not DecodeFault.UNKNOWN_TAG:
                self.abort(LinkClosed.MALFORMED)
            return
        self._handler.received(self, message)

    def finish(self, reason: LinkClosed) -> None:
        """Closes this end. The handler is called if the link was open."""
        if self._state is EndState.CLOSED:
            return
        self._state = EndState.CLOSED
        try:
            if self.opened:
                self._handler.closed(self, reason)
        finally:
            self._ended(self, reason)

    def drop_silently(self) -> None:
        """Closes this end without calling the handler, as when its node loses power."""
        self._state = EndState.CLOSED
        self.was_reset = True

    def _decode(self, payload: object) -> object:
        if self._codec is None or not isinstance(payload, bytes):
            return payload
        return self._codec.decode(payload[PREFIX_BYTES:])


@frozen(eq=False)
class Opening(Event):
    """The handshake is complete at `link`, one of the two ends."""

    link: MemoryLink

    def happen(self) -> None:
        """Opens the link at this end."""
        self.link.open()


@frozen(eq=False)
class Delivery(Event):
    """A message sent by the end `source` arrives at the other end."""

    source: MemoryLink
    payload: object
    size: int

    def happen(self) -> None:
        """Delivers the message unless its sender has reset the link."""
        self.source.queued_bytes -= self.size
        if not self.source.was_reset:
            self.source.other.receive(self.payload)


@frozen(eq=False)
class Ending(Event):
    """The link closes at `link`, one of the two ends."""

    link: MemoryLink
    reason: LinkClosed

    def happen(self) -> None:
        """Closes the link at this end."""
        self.link.finish(self.reason)
