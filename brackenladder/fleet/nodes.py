"""Nodes in virtual time: real request handling (Host) and server selection in simulated processes."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from random import Random
from typing import TYPE_CHECKING, Any, cast

from brackenladder.core.call import Call, Failure
from brackenladder.core.clock import Clock
from brackenladder.core.ending import handover, kill_after, last_moment
from brackenladder.core.host import Host
from brackenladder.core.roster import Roster
from brackenladder.fleet.discovery import Source, Watch
from brackenladder.fleet.links import Links, exchange_of
from brackenladder.fleet.queue import Queue
from brackenladder.fleet.servers import Attempt, Server
from brackenladder.interface import Actions, Events, ServerEntry, Settings
from brackenladder.membership.latest_list import LatestList
from brackenladder.membership.listing import Line, Listing
from brackenladder.policy.balancer import Balancer
from brackenladder.rehearsal.events import Answered, Event, GaveUp, NodeEnded, NodeSignal, NodeUp, Sent
from brackenladder.rehearsal.plan import MICRO

if TYPE_CHECKING:
    import asyncio

START_TIME = 300_000  # microseconds from the start of a process until it is ready
EXIT_POLL_INTERVAL = 20_000  # microseconds between two checks of a terminating node for open calls
MAX_PARSED_LISTS = 64  # parsed lists that are cached
RESERVED_DESCRIPTORS = 64  # file descriptors that are not for client or server connections
STATUS = {Failure.GIVEN_UP: 502, Failure.EXPIRED: 504, Failure.FAULT: 500}

Module = Callable[[Settings, int, Actions], Events]


class VirtualClock(Clock):
    """Clock that returns the queue's time."""

    def __init__(self, queue: Queue) -> None:
        self.queue = queue

    def now(self) -> int:
        return self.queue.now


class FleetCall(Call):
    """A client's try at its node.

    Exactly one callback is called: `on_result` with a status and a retry-after in seconds, or `on_broken` if
    the node was killed.
    """

    __slots__ = ("name", "on_result", "on_broken")

    def __init__(
        self,
        name: str,
        klass: int,
        tenant: int,
        left: int,
        repeat: bool,
        on_result: Callable[[int, float], None],
        on_broken: Callable[[], None],
    ) -> None:
        super().__init__(klass, tenant, left, repeat)
        self.name = name
        self.on_result = on_result
        self.on_broken = on_broken

    def served(self, answer: object) -> None:
        self.on_result(200, 0.0)

    def refused(self, retry_after: int) -> None:
        self.on_result(503, max(0, retry_after) / 1e6)

    def failed(self, why: Failure) -> None:
        self.on_result(STATUS[why], 0.0)


ParsedList = tuple[Mapping[int, Line], Sequence[ServerEntry]]


class SharedRoster(Roster):
    """Parses each list once for all nodes, since all nodes number zones and server kinds alike."""

    def __init__(
        self, host: Host, upstream: Links, zones: Sequence[str], parsed: dict[int, tuple[Listing, ParsedList]]
    ) -> None:
        super().__init__(host, upstream, zones, ("std",))
        self.parsed = parsed

    def read(self, listing: Listing) -> ParsedList:
        found = self.parsed.get(id(listing))
        if found is None or found[0] is not listing:
            if len(self.parsed) >= MAX_PARSED_LISTS:
                self.parsed.clear()
            found = self.parsed[id(listing)] = listing, super().read(listing)
        return found[1]


class RunContext:
    """State and functions shared by all nodes of a run."""

    def __init__(
        self,
        queue: Queue,
        record: Callable[[Event], None],
        servers_by_id: Mapping[str, Server],
        zones: Sequence[str],
        delay: Callable[[str, str], int],
        call_numbers: Callable[[], int],
        send_datagram: Callable[[Node, int, bytes], None],
    ) -> None:
        self.queue = queue
        self.record = record
        self.servers_by_id = servers_by_id
        self.zones = zones
        self.delay = delay
        self.call_numbers = call_numbers
        self.send_datagram = send_datagram
        self.parsed_lists: dict[int, tuple[Listing, ParsedList]] = {}  # parsed lists by `id` of the list


class Node:
    """A node and its successive processes; `host` belongs to the current one.

    `sources`: the discovery services of the tier that it sends to. `sockets`: limit of descriptors;
    `connect_time`, `idle_time`: connection timeouts; `event_us`, `line_us`: processor time per event and per
    list line.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        settings: Settings,
        seed_source: Random,
        context: RunContext,
        sources: Sequence[Source],
        known: Listing,
        module: Module = Balancer,
        sockets: int = 1024,
        connect_time: int = 250_000,
        idle_time: int = 5_000_000,
        event_us: float = 0.0,
        line_us: float = 0.0,
    ) -> None:
        self.name = name
        self.zone = zone
        self.settings = settings
        self.seed_source = seed_source
        self.context = context
        self.queue = context.queue
        self.sources = sources
        self.source = 0
        self.known = known  # list with which a new process starts: the last one that the node received
        self.stored_list, self.stored_list_source = LatestList(known), sources[0].number
        self.module = module
        self.max_connections = (sockets - RESERVED_DESCRIPTORS) // 2
        self.connect_time = connect_time
        self.idle_time = idle_time
        self.event_us = event_us
        self.line_us = line_us
        self.busy_until = 0  # time until which the processor is busy
        self.faults: list[str] = []
        self.up = False
        self.ended = False  # whether the last process has ended and none has been created since
        self.closing = False  # whether the process terminates, so that connections close after their answer
        self.starts = 0
        self.host: Host
        self.watch: Watch
        self.new_process()

    # ---- processes ------------------------------------------------------------------------------------

    def new_process(self) -> None:
        """Creates a new process, configured with the last list the node had."""
        self.up, self.ended, self.closing = False, False, False
        self.known = self.stored_list.merged()
        self.starts += 1
        self.upstream = Links(
            self.name,
            self.zone,
            self.queue,
            self.context.servers_by_id,
            self.context.delay,
            self.max_connections,
            self.connect_time,
            self.idle_time,
            self.schedule_event,
        )
        loop = cast("asyncio.AbstractEventLoop", self.queue)  # the Host calls nothing but call_later
        seed = self.seed_source.getrandbits(64)
        clock = VirtualClock(self.queue)
        self.host = Host(self.settings, seed, loop, self.upstream, self.log, clock, self.module)
        self.roster = SharedRoster(self.host, self.upstream, self.context.zones, self.context.parsed_lists)
        source = self.sources[self.source]
        delay = self.context.delay(self.zone, self.zone)
        self.watch = Watch(
            self.name,
            source,
            self.known,
            self.settings.instances,
            delay,
            self.queue,
            self.list_received,
            self.list_written,
            self.context.call_numbers,
        )
        self.host.directory = self.watch
        self.host.messenger = self

    def start(self) -> None:
        """Marks the process as ready and gives it the server list that it already knows."""
        self.up = True
        self.context.record(NodeUp(self.queue.now, self.name))
        self.host.start()
        self.list_received(self.known)

    def boot(self) -> None:
        """Starts a new process, which is ready after START_TIME."""
        self.new_process()
        self.queue.after(START_TIME, self.start)

    def kill(self) -> None:
        """Kills the process with all its calls."""
        if not self.up:
            return
        self.signal("kill")
        self.process_ended(-9)

    def signal(self, name: str) -> None:
        self.context.record(NodeSignal(self.queue.now, self.name, name))

    def process_ended(self, code: int) -> None:
        """Ends the process; the clients of its open calls are notified."""
        self.up, self.ended = False, True
        self.context.record(NodeEnded(self.queue.now, self.name, code, True))
        host = self.host
        calls = [call for call in host.calls.values() if call.open]
        self.upstream.kill(
            [
                exchange_of(call.current_attempt)
                for call in host.calls.values()
                if call.current_attempt is not None
            ]
        )
        self.watch.close()
        host.calls.clear()
        for call in calls:
            call.open = False
            cast(FleetCall, call).on_broken()

    def terminate(self, ended: Callable[[], None]) -> None:
        """Simulates SIGTERM: answers accepted calls, then exits; a process that takes too long is killed."""
        if not self.up:
            ended()
            return
        self.signal("term")
        self.host.conclude_by = last_moment(self.queue.now, self.settings.classes)
        by = self.queue.now + kill_after(self.settings.classes)
        closes_at = self.queue.now + round(handover(self.settings.classes) * MICRO)

        def look() -> None:
            if not self.up:
                ended()
                return
            self.closing = self.queue.now >= closes_at
            if self.queue.now >= by:
                self.kill()
                ended()
            elif self.closing and not any(call.open for call in self.host.calls.values()):
                self.process_ended(0)
                ended()
            else:
                self.queue.after(EXIT_POLL_INTERVAL, look)

        look()

    def reload_other_source(self) -> None:
        """Simulates SIGHUP after the configuration was changed to the other discovery service."""
        self.source = (self.source + 1) % len(self.sources)
        if self.up:
            self.signal("hup")
            self.watch.switch_source(self.sources[self.source])

    # ---- events ---------------------------------------------------------------------------------------

    def schedule_event(self, action: Callable[..., None], *args: Any, cost: float = 0.0) -> None:
        """Queues an event for the node's processor, which handles events one after another."""
        took = self.event_us + cost
        if not took:
            action(*args)
            return
        self.busy_until = max(self.queue.now, self.busy_until) + round(took)
        self.queue.at(self.busy_until, self.run_event, self.host, action, args)

    def run_event(self, host: Host, action: Callable[..., None], args: tuple[Any, ...]) -> None:
        if host is self.host and self.up:
            action(*args)

    def receive_call(self, call: FleetCall) -> None:
        """Receives a complete request of a client."""
        if self.up:
            self.schedule_event(self.host.take, call)
        else:
            call.on_broken()

    def client_left(self, call: Call) -> None:
        """Tells the node that the client of a call has disconnected; ignored while the node is down."""
        if self.up:
            self.schedule_event(self.host.client_left, call)

    def list_written(self, source: int, listing: Listing) -> None:
        """Stores a list written to the node if its version is the highest; the checker assumes the same."""
        if source != self.stored_list_source or listing.version >= self.stored_list.version:
            self.stored_list_source = source
            self.stored_list.apply(listing)

    def list_received(self, listing: Listing | None) -> None:
        """Handles a list from discovery; None stands for a failed call."""
        if self.up:
            cost = self.line_us * len(self.upstream.endpoints) if listing is not None else 0.0
            self.schedule_event(self.roster.apply_listing, listing, cost=cost)

    def tell(self, peer: int, data: bytes) -> None:
        """Sends a message from the host to one or all other nodes."""
        self.context.send_datagram(self, peer, data)

    def log(self, text: str) -> None:
        """Records an error that the node's Host caught; each such error counts as a fault of the run."""
        if "Error" in text or "guard" in text:
            self.faults.append(text)


class Caller:
    """A server's calls to the next tier through its own node; the checker treats them like clients' calls."""

    def __init__(self, node: Node, record: Callable[[Event], None]) -> None:
        self.node = node
        self.record = record
        self.queue = node.queue

    def call(self, attempt: Attempt, on_result: Callable[[bool], None]) -> Callable[[], None]:
        """Calls the next tier for a request, with its remaining time."""
        request = attempt.request
        left = max(0, request.expires - self.queue.now) // 1000 * 1000
        # A unique id that both sides can derive from the request's id.
        name = f"{attempt.number:x}.{request.id}"
        over = False

        def answered(status: int, advice: float) -> None:
            nonlocal over
            if not over:
                over = True
                self.record(Answered(self.queue.now, name, status, True, advice))
                on_result(status == 200)

        def on_broken() -> None:
            """Ends the call without a result: its node is killed only together with the server that calls."""
            nonlocal over
            over = True

        def give_up() -> None:
            nonlocal over
            if not over:
                over = True
                self.record(GaveUp(self.queue.now, name, True))
                self.node.client_left(call)

        call = FleetCall(name, request.klass, 0, left, False, answered, on_broken)
        self.record(Sent(self.queue.now, name, self.node.name, request.klass, left, self.queue.now, False))
        self.node.receive_call(call)
        return give_up
