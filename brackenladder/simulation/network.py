"""The simulated network: latency, bandwidth, cuts in one or both directions and silent connections.

It carries links of the memory transport. As over TCP, messages delayed by a cut arrive when the cut ends,
unless the sender has reset the link. A link that receives nothing for too long is closed.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from brackenladder.simulation.virtual_loop import Process, ProcessState, VirtualEventLoop
from brackenladder.transport.codec import Codec
from brackenladder.transport.errors import LinkClosed
from brackenladder.transport.link import LinkHandler, LinkTiming
from brackenladder.transport.memory import MemoryDialer, MemoryNetwork, MemoryTransport
from brackenladder.transport.memory_link import Delivery, Event, MemoryLink

SWEEP_SECONDS = 0.1  # interval between checks for silent links and disconnected dialers
BITS_PER_BYTE = 8
PACKET_BYTES = 60  # size of an event that carries no message
OTHER_REGION_LATENCY = 35_000  # one-way latency in microseconds between regions
SAME_REGION_LATENCY = 900


class TimedLink(MemoryLink):
    """A link end that records when it last heard from the other end."""

    last_received_at = 0
    clock: Callable[[], int]

    @property
    def time_since_receive(self) -> int:
        """See `Link.time_since_receive`."""
        return self.clock() - self.last_received_at


class Endpoint:
    """A named machine or actor on the network."""

    def __init__(self, name: str, region: str, megabits: float) -> None:
        self.name = name
        self.region = region
        self.megabits = megabits
        self.process: Process | None = None
        self.send_queue_empty_at = 0  # time at which all bytes sent so far have left the machine

    @property
    def frozen(self) -> bool:
        """Whether its process is frozen."""
        return self.process is not None and self.process.state is ProcessState.FROZEN


class HostEvent(Event):
    """An event that the host of the receiver notices at once, whether or not its process is frozen."""

    def reach_host(self) -> None:
        """Called when the event arrives; `happen` is called once the process runs."""
        raise NotImplementedError


class SimulatedNetwork(MemoryNetwork):
    """A `MemoryNetwork` whose events take time. Each endpoint runs at most one process at a time."""

    def __init__(self, loop: VirtualEventLoop, codec: Codec, timing: LinkTiming | None = None) -> None:
        super().__init__(codec)
        self.loop = loop
        self.timing = timing or LinkTiming()
        self.endpoints: dict[str, Endpoint] = {}
        self.bytes_sent = 0
        self.delivered = 0
        # called with a description of a call that did not end in time
        self.report_held_call: Callable[[str], None] = _ignore_held_call
        self._latest_arrivals: dict[tuple[str, str], int] = {}  # latest arrival time, by (sender, receiver)
        self._held_events: dict[tuple[str, str], deque[Event]] = {}
        loop.call_later(SWEEP_SECONDS, self._sweep)

    def add_endpoint(self, name: str, region: str, megabits: float) -> Endpoint:
        """Adds a machine or an actor."""
        endpoint = Endpoint(name, region, megabits)
        self.endpoints[name] = endpoint
        return endpoint

    def transport(self, name: str, codec: Codec) -> SimulatedTransport:
        """Returns a transport for the process that now runs on an endpoint."""
        return SimulatedTransport(self, name, codec=codec)

    def latency(self, one: str, other: str) -> int:
        """Returns the microseconds that a packet takes between two endpoints."""
        if one == other:
            return 0
        same = self.endpoints[one].region == self.endpoints[other].region
        return SAME_REGION_LATENCY if same else OTHER_REGION_LATENCY

    def is_cut(self, sender: str, receiver: str) -> bool:
        """Whether a cut stops everything sent from one endpoint to another."""
        return (sender, receiver) in self._cuts

    # -- events

    def queue(self, event: Event) -> None:
        """Schedules an event after its transmission time and latency."""
        direction = (event.sender, event.receiver)
        if event.sender == event.receiver:
            self.loop.call_external(self.loop.microseconds, self._deliver, event)
            return
        arrival = self._arrival(direction, event.size if isinstance(event, Delivery) else PACKET_BYTES)
        self.loop.call_external(arrival, self._arrive, direction, event)

    def _arrival(self, direction: tuple[str, str], size: int) -> int:
        sender = self.endpoints[direction[0]]
        now = self.loop.microseconds
        self.bytes_sent += size
        begins = max(now, sender.send_queue_empty_at)
        sender.send_queue_empty_at = begins + int(size * BITS_PER_BYTE / sender.megabits)
        arrival = sender.send_queue_empty_at + self.latency(*direction)
        arrival = max(arrival, self._latest_arrivals.get(direction, 0) + 1)
        self._latest_arrivals[direction] = arrival
        return arrival

    def _arrive(self, direction: tuple[str, str], event: Event) -> None:
        held_events = self._held_events.get(direction)
        if held_events is not None:
            held_events.append(event)
        elif direction in self._cuts:
            self._held_events[direction] = deque([event])
        else:
            self._deliver(event)

    def _deliver(self, event: Event) -> None:
        process = self.endpoints[event.receiver].process
        if process is not None:
            self.delivered += 1
            if isinstance(event, HostEvent):
                event.reach_host()
            process.when_running(lambda: process.run(event.happen))

    # -- faults

    def heal(self, one: str, other: str) -> None:
        """Ends the cuts between two endpoints in both directions; messages held back now travel on."""
        self._cuts -= {(one, other), (other, one)}
        self._release_held_up()

    def heal_all(self) -> None:
        """Ends all cuts; messages that they held back now travel on."""
        self._cuts.clear()
        self._release_held_up()

    def _release_held_up(self) -> None:
        for direction in [each for each in self._held_events if each not in self._cuts]:
            events = self._held_events.pop(direction)
            for event in events:
                arrival = self._arrival(direction, PACKET_BYTES)
                self.loop.call_external(arrival, self._arrive, direction, event)

    # -- time

    def _sweep(self) -> None:
        self.loop.call_later(SWEEP_SECONDS, self._sweep)
        now = self.loop.microseconds
        for link in self._open_links():
            if isinstance(link, TimedLink):
                self._check_silence(now, link)
        for dialer in list(self._dialers):
            process = self.endpoints[dialer.transport.name].process
            if process is not None and process.running:
                dialer.try_again()

    def _check_silence(self, now: int, link: TimedLink) -> None:
        if self.endpoints[link.owner].frozen or self._receives(link):
            link.last_received_at = now
        elif now - link.last_received_at >= self.timing.silence_timeout:
            process = self.endpoints[link.owner].process
            if process is not None:
                process.run(link.abort, LinkClosed.SILENT)

    def _receives(self, link: TimedLink) -> bool:
        other = link.other
        cut = (other.owner, link.owner) in self._cuts
        return not cut and other not in self._powered_off_links and not self.endpoints[other.owner].frozen

    def connect(self, dialer: MemoryDialer) -> MemoryLink | LinkClosed:
        """See `MemoryNetwork.connect`; a frozen machine accepts no connections."""
        listener = self._listeners.get(dialer.address)
        if listener is not None and self.endpoints[listener.transport.name].frozen:
            return LinkClosed.UNREACHABLE
        return super().connect(dialer)


def _ignore_held_call(_detail: str) -> None:
    """Does nothing; used until a handler is set."""


class SimulatedTransport(MemoryTransport):
    """A `MemoryTransport` whose links have the latency, bandwidth and cuts of a `SimulatedNetwork`."""

    network: SimulatedNetwork

    def make_link(self, handler: LinkHandler, ended: Callable[[MemoryLink, LinkClosed], None]) -> MemoryLink:
        """Creates one end of a new link."""
        network = self.network
        link = TimedLink(self.name, self._codec, self.limits, handler, network.queue, ended)
        link.clock = lambda: network.loop.microseconds
        link.last_received_at = network.loop.microseconds
        return link
