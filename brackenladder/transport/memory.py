"""Links within one process, for tests. Events happen only when the test delivers them, in a fixed order."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from attrs import frozen

from brackenladder.transport.address import Address, parse_address
from brackenladder.transport.codec import Codec
from brackenladder.transport.errors import LinkClosed, ListenError, TransportError
from brackenladder.transport.link import LinkHandler, LinkLimits, OnRefused, ProtocolVersions
from brackenladder.transport.memory_link import Ending, Event, MemoryLink, Opening

FIRST_FREE_PORT = 20_000  # first port given to a listener on port 0
FIRST_DIALING_PORT = 40_000  # first port given to the dialling end of a link
EVENT_LIMIT = 100_000  # a `run` that delivers more events raises RunawayNetwork


class RunawayNetwork(TransportError):
    """The nodes send messages without end, so `run` would not return."""


@frozen
class Listener:
    """A bound address and the handler of the links accepted there."""

    address: Address
    transport: MemoryTransport
    handler: LinkHandler


class MemoryNetwork:
    """Carries the events between memory transports. A node has the name of its transport.

    `run` delivers everything that can be delivered, `deliver` a single event. A cut (a network partition)
    delays everything sent across it until it is healed; the order stays. Links across a cut end only at
    `expire_silent`. With a codec, messages are encoded to bytes, as over TCP.
    """

    def __init__(self, codec: Codec | None = None) -> None:
        self.codec = codec
        self._events: deque[Event] = deque()
        self._delayed: list[Event] = []  # events that wait until a simulated partition is healed
        self._cuts: set[tuple[str, str]] = set()
        self._listeners: dict[str, Listener] = {}
        self._dialers: list[MemoryDialer] = []
        self._links: list[MemoryLink] = []
        self._powered_off_links: set[MemoryLink] = set()  # link ends on nodes that lost power
        self._next_port = FIRST_FREE_PORT
        self._next_dialing_port = FIRST_DIALING_PORT

    # event delivery

    @property
    def pending(self) -> int:
        """The number of undelivered events, including those delayed by cuts."""
        return len(self._events) + len(self._delayed)

    def deliver(self, count: int = 1) -> int:
        """Delivers up to `count` events, oldest first.

        Events across a cut are set aside and not counted. Returns the number of delivered events.
        """
        done = 0
        while done < count and self._events:
            event = self._events.popleft()
            if (event.sender, event.receiver) in self._cuts:
                self._delayed.append(event)
                continue
            event.happen()
            done += 1
        return done

    def run(self, redial: bool = True) -> int:
        """Lets each dialer without a link try once, then delivers all events. Returns how many."""
        if redial:
            self.redial()
        done = self.deliver(EVENT_LIMIT)
        if self._events:
            raise RunawayNetwork(f"events are still pending after {done}")
        return done

    def redial(self) -> None:
        """Queues one connection attempt for each dialer without a link."""
        for dialer in self._dialers:
            dialer.try_again()

    # faults

    def cut(self, one: str, other: str) -> None:
        """Delays all traffic between two nodes, in both directions."""
        self.cut_one_way(one, other)
        self.cut_one_way(other, one)

    def cut_one_way(self, sender: str, receiver: str) -> None:
        """Delays all traffic from one node to another."""
        self._cuts.add((sender, receiver))

    def heal(self, one: str, other: str) -> None:
        """Ends the cuts between two nodes. Events that the cuts delayed are then the next to be delivered."""
        self._cuts -= {(one, other), (other, one)}
        self._release()

    def heal_all(self) -> None:
        """Ends all cuts. Events that the cuts delayed are then the next to be delivered."""
        self._cuts.clear()
        self._release()

    def expire_silent(self) -> None:
        """Simulates the silence timeout at link ends that receive nothing due to a cut or a power loss."""
        for link in self._open_links():
            if link.other in self._powered_off_links or (link.peer, link.owner) in self._cuts:
                link.abort(LinkClosed.SILENT)

    def lose_links(self, one: str, other: str) -> None:
        """Resets the links between two nodes. Messages in transit are lost."""
        for link in self._open_links():
            if link.owner == one and link.peer == other:
                link.abort(LinkClosed.LOST)
                link.other.abort(LinkClosed.LOST)

    def power_off(self, name: str) -> None:
        """Simulates a power loss: the node gets no more events, and others notice only at `expire_silent`."""
        for link in self._open_links():
            if link.owner == name:
                link.drop_silently()
                self._powered_off_links.add(link)
        self._forget(name)

    def kill(self, name: str) -> None:
        """Simulates a killed process: the node gets no more events, and its links are reset."""
        for link in self._open_links():
            if link.owner == name:
                link.drop_silently()
                self.queue(Ending(link.owner, link.peer, link.other, LinkClosed.LOST))
        self._forget(name)

    # called by the transports

    def queue(self, event: Event) -> None:
        """Queues an event for delivery."""
        self._events.append(event)

    def bind(self, address: Address, transport: MemoryTransport, handler: LinkHandler) -> Address:
        """Binds an address. Port 0 means any free port. Raises ListenError if the address is in use."""
        if address.port == 0:
            address = Address(address.ip, self._next_port)
            self._next_port += 1
        if str(address) in self._listeners:
            raise ListenError(f"{address}: Address already in use")
        self._listeners[str(address)] = Listener(address, transport, handler)
        return address

    def unbind(self, address: Address) -> None:
        """Releases an address."""
        self._listeners.pop(str(address), None)

    def add_dialer(self, dialer: MemoryDialer) -> None:
        """Registers a dialer, so that `redial` includes it."""
        self._dialers.append(dialer)

    def discard_dialer(self, dialer: MemoryDialer) -> None:
        """Removes a closed dialer."""
        if dialer in self._dialers:
            self._dialers.remove(dialer)

    def links_of(self, name: str) -> tuple[MemoryLink, ...]:
        """Returns the link ends at a node that are still open."""
        return tuple(link for link in self._open_links() if link.owner == name)

    def connect(self, dialer: MemoryDialer) -> MemoryLink | LinkClosed:
        """Establishes a link for a dialer, or returns the reason why it can't."""
        listener = self._listeners.get(dialer.address)
        if listener is None or self._is_cut(dialer.transport.name, listener.transport.name):
            return LinkClosed.UNREACHABLE
        near, far = dialer.transport, listener.transport
        if far.incoming >= far.limits.incoming:
            far.refused(near.name, LinkClosed.TOO_MANY_CONNECTIONS)
            return LinkClosed.LOST
        version = near.versions.common(far.versions.lowest, far.versions.highest)
        if version is None:
            far.refused(near.name, LinkClosed.INCOMPATIBLE)
            return LinkClosed.INCOMPATIBLE
        return self._create_link(dialer, listener, version)

    # internals

    def _create_link(self, dialer: MemoryDialer, listener: Listener, version: int) -> MemoryLink:
        near = dialer.transport.make_link(dialer.handler, dialer.ended)
        far = listener.transport.make_link(listener.handler, listener.transport.incoming_ended)
        listener.transport.incoming += 1
        dialing = Address(listener.address.ip, self._next_dialing_port)
        self._next_dialing_port += 1
        near.attach(far, str(listener.address), version)
        far.attach(near, str(dialing), version)
        self._links += (near, far)
        self.queue(Opening(near.owner, far.owner, far))
        self.queue(Opening(far.owner, near.owner, near))
        return near

    def _open_links(self) -> list[MemoryLink]:
        self._links = [link for link in self._links if not link.ended]
        return list(self._links)

    def _is_cut(self, one: str, other: str) -> bool:
        return (one, other) in self._cuts or (other, one) in self._cuts

    def _release(self) -> None:
        delayed, self._delayed = self._delayed, []
        self._events.extendleft(reversed(delayed))

    def _forget(self, name: str) -> None:
        self._dialers = [each for each in self._dialers if each.transport.name != name]
        self._listeners = {
            address: each for address, each in self._listeners.items() if each.transport.name != name
        }


@frozen(eq=False)
class Attempt(Event):
    """A dialer's connection attempt. Its sender and receiver are the same node, so no cut delays it."""

    dialer: MemoryDialer

    def happen(self) -> None:
        """Lets the dialer try to connect, unless it has been closed."""
        self.dialer.attempt()


class MemoryDialer:
    """A `Dialer` that tries to connect at once, and again at each `MemoryNetwork.redial`."""

    def __init__(self, transport: MemoryTransport, address: str, handler: LinkHandler) -> None:
        self.transport = transport
        self.address = address
        self.handler = handler
        self.last_reason: LinkClosed | None = None
        self.attempts = 0
        self._link: MemoryLink | None = None
        self._attempt_queued = False
        self._closed = False
        transport.network.add_dialer(self)
        self.try_again()

    @property
    def link(self) -> MemoryLink | None:
        """The open link, or None."""
        return self._link if self._link is not None and self._link.opened else None

    def close(self) -> None:
        """Stops connecting and closes the link."""
        self._closed = True
        self.transport.network.discard_dialer(self)
        if self._link is not None:
            self._link.close()

    def try_again(self) -> None:
        """Queues an attempt unless there is a link or a queued attempt."""
        if self._link is None and not self._attempt_queued and not self._closed:
            self._attempt_queued = True
            name = self.transport.name
            self.transport.network.queue(Attempt(name, name, self))

    def attempt(self) -> None:
        """Tries to connect; does nothing after `close`."""
        self._attempt_queued = False
        if self._closed:
            return
        self.attempts += 1
        result = self.transport.network.connect(self)
        if isinstance(result, MemoryLink):
            self._link = result
            return
        self.last_reason = result
        if result is not LinkClosed.UNREACHABLE:
            self.transport.refused(self.address, result)

    def ended(self, link: MemoryLink, reason: LinkClosed) -> None:
        """Handles the end of the link."""
        self._link = None
        self.last_reason = reason
        if not link.opened:
            self.transport.refused(self.address, reason)


class MemoryTransport:
    """A `Transport` on a `MemoryNetwork`. `codec` overrides the network's codec."""

    def __init__(
        self,
        network: MemoryNetwork,
        name: str,
        *,
        codec: Codec | None = None,
        versions: ProtocolVersions | None = None,
        limits: LinkLimits | None = None,
        on_refused: OnRefused | None = None,
    ) -> None:
        self.network = network
        self.name = name
        self.versions = versions or ProtocolVersions()
        self.limits = limits or LinkLimits()
        self.incoming = 0
        self._codec = codec or network.codec
        self._on_refused = on_refused
        self._bound: list[Address] = []
        self._dialers: list[MemoryDialer] = []

    @property
    def listening(self) -> tuple[str, ...]:
        """The bound addresses, in the order of the calls of `listen`."""
        return tuple(str(each) for each in self._bound)

    async def listen(self, address: str, handler: LinkHandler) -> None:
        """Accepts links at "ip:port". Raises ListenError at once if the address is in use."""
        self._bound.append(self.network.bind(parse_address(address), self, handler))

    def dial(self, address: str, handler: LinkHandler) -> MemoryDialer:
        """Keeps a link to `address` until the dialer is closed."""
        dialer = MemoryDialer(self, str(parse_address(address)), handler)
        self._dialers.append(dialer)
        return dialer

    async def close(self) -> None:
        """Closes listeners, dialers and links. Other nodes notice when events are delivered."""
        for address in self._bound:
            self.network.unbind(address)
        for dialer in self._dialers:
            dialer.close()
        for link in self.network.links_of(self.name):
            link.close()
            link.finish(LinkClosed.LOCAL)

    def make_link(self, handler: LinkHandler, ended: Callable[[MemoryLink, LinkClosed], None]) -> MemoryLink:
        """Creates one end of a new link."""
        return MemoryLink(self.name, self._codec, self.limits, handler, self.network.queue, ended)

    def incoming_ended(self, link: MemoryLink, reason: LinkClosed) -> None:
        """Handles the end of an accepted link."""
        self.incoming -= 1
        if not link.opened:
            self.refused(link.remote, reason)

    def refused(self, remote: str, reason: LinkClosed) -> None:
        """Reports a connection that failed before its handshake was complete."""
        if self._on_refused is not None:
            self._on_refused(remote, reason)
