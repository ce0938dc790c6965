"""Nodes in virtual time: the core's own Host, and with it its Balancer, and what a process goes through."""

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

BOOT = 300_000  # microseconds from a process's start until it is ready
LOOK = 20_000  # between two looks of a node that ends at what is left
MOST_READ = 64  # lists that are kept as read
RESERVED = 64  # descriptors that are neither clients' nor servers'
STATUS = {Failure.GIVEN_UP: 502, Failure.EXPIRED: 504, Failure.FAULT: 500}

Module = Callable[[Settings, int, Actions], Events]


class VirtualClock(Clock):
    """The queue's time."""

    def __init__(self, queue: Queue) -> None:
        self.queue = queue

    def now(self) -> int:
        return self.queue.now


class FleetCall(Call):
    """A client's try at its node. `told` hears of its one conclusion: a status and advice in seconds.

    `broken` hears instead that the node was killed.
    """

    __slots__ = ("name", "told", "broken")

    def __init__(
        self,
        name: str,
        klass: int,
        tenant: int,
        left: int,
        repeat: bool,
        told: Callable[[int, float], None],
        broken: Callable[[], None],
    ) -> None:
        super().__init__(klass, tenant, left, repeat)
        self.name = name
        self.told = told
        self.broken = broken

    def served(self, answer: object) -> None:
        self.told(200, 0.0)

    def refused(self, retry_after: int) -> None:
        self.told(503, max(0, retry_after) / 1e6)

    def failed(self, why: Failure) -> None:
        self.told(STATUS[why], 0.0)


Read = tuple[Mapping[int, Line], Sequence[ServerEntry]]


class SharedRoster(Roster):
    """Reads each list once for all nodes, whose zones and kinds have the same numbers."""

    def __init__(
        self, host: Host, upstream: Links, zones: Sequence[str], known: dict[int, tuple[Listing, Read]]
    ) -> None:
        super().__init__(host, upstream, zones, ("std",))
        self.known = known

    def read(self, listing: Listing) -> Read:
        found = self.known.get(id(listing))
        if found is None or found[0] is not listing:
            if len(self.known) >= MOST_READ:
                self.known.clear()
            found = self.known[id(listing)] = listing, super().read(listing)
        return found[1]


class Surroundings:
    """What all nodes of a run share."""

    def __init__(
        self,
        queue: Queue,
        note: Callable[[Event], None],
        standing: Mapping[str, Server],
        zones: Sequence[str],
        way: Callable[[str, str], int],
        numbers: Callable[[], int],
        tell: Callable[[Node, int, bytes], None],
    ) -> None:
        self.queue = queue
        self.note = note
        self.standing = standing
        self.zones = zones
        self.way = way
        self.numbers = numbers
        self.tell = tell
        self.read: dict[int, tuple[Listing, Read]] = {}  # lists by their identity


class Node:
    """A node and its processes, one after another; `host` is the present one's.

    `sources`: the discoveries of the tier that it sends to. `sockets`, `connect_time`, `idle_time`,
    `event_us`, `line_us`: what it is allowed, and what its processor takes.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        settings: Settings,
        seeds: Random,
        around: Surroundings,
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
        self.seeds = seeds
        self.around = around
        self.queue = around.queue
        self.sources = sources
        self.source = 0
        self.known = known  # what a process begins with: the list as the node last had it
        self.kept, self.kept_of = LatestList(known), sources[0].number
        self.module = module
        self.most = (sockets - RESERVED) // 2
        self.connect_time = connect_time
        self.idle_time = idle_time
        self.event_us = event_us
        self.line_us = line_us
        self.busy_until = 0  # of the processor
        self.faults: list[str] = []
        self.up = False
        self.ended = False  # and no further process has been made
        self.closing = False  # SIGTERM came so long ago that connections close with their answer
        self.starts = 0
        self.host: Host
        self.watch: Watch
        self.make()

    # ---- processes ------------------------------------------------------------------------------------

    def make(self) -> None:
        """A new process. Its configuration gives the list as the node last had it."""
        self.up, self.ended, self.closing = False, False, False
        self.known = self.kept.merged()
        self.starts += 1
        self.upstream = Links(
            self.name,
            self.zone,
            self.queue,
            self.around.standing,
            self.around.way,
            self.most,
            self.connect_time,
            self.idle_time,
            self.turn,
        )
        loop = cast("asyncio.AbstractEventLoop", self.queue)  # of which the Host asks for call_later alone
        seed = self.seeds.getrandbits(64)
        clock = VirtualClock(self.queue)
        self.host = Host(self.settings, seed, loop, self.upstream, self.log, clock, self.module)
        self.roster = SharedRoster(self.host, self.upstream, self.around.zones, self.around.read)
        source = self.sources[self.source]
        way = self.around.way(self.zone, self.zone)
        self.watch = Watch(
            self.name,
            source,
            self.known,
            self.settings.instances,
            way,
            self.queue,
            self.told,
            self.handed,
            self.around.numbers,
        )
        self.host.directory = self.watch
        self.host.messenger = self

    def start(self) -> None:
        """The process is ready."""
        self.up = True
        self.around.note(NodeUp(self.queue.now, self.name))
        self.host.start()
        self.told(self.known)

    def boot(self) -> None:
        """A further process starts, and is ready some time later."""
        self.make()
        self.queue.after(BOOT, self.start)

    def kill(self) -> None:
        """The process ends at once, with all that it holds."""
        if not self.up:
            return
        self.signal("kill")
        self.end(-9)

    def signal(self, name: str) -> None:
        self.around.note(NodeSignal(self.queue.now, self.name, name))

    def end(self, code: int) -> None:
        """The process has ended. What it held is its clients' to hear of."""
        self.up, self.ended = False, True
        self.around.note(NodeEnded(self.queue.now, self.name, code, True))
        host = self.host
        calls = [call for call in host.calls.values() if call.open]
        self.upstream.die(
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
            cast(FleetCall, call).broken()

    def terminate(self, ended: Callable[[], None]) -> None:
        """SIGTERM: what is taken is answered, then the process ends, or is killed when its time is over."""
        if not self.up:
            ended()
            return
        self.signal("term")
        self.host.conclude_by = last_moment(self.queue.now, self.settings.classes)
        by = self.queue.now + kill_after(self.settings.classes)
        closes = self.queue.now + round(handover(self.settings.classes) * MICRO)

        def look() -> None:
            if not self.up:
                ended()
                return
            self.closing = self.queue.now >= closes
            if self.queue.now >= by:
                self.kill()
                ended()
            elif self.closing and not any(call.open for call in self.host.calls.values()):
                self.end(0)
                ended()
            else:
                self.queue.after(LOOK, look)

        look()

    def move(self) -> None:
        """SIGHUP, with the other discovery in its configuration."""
        self.source = (self.source + 1) % len(self.sources)
        if self.up:
            self.signal("hup")
            self.watch.move(self.sources[self.source])

    # ---- events ---------------------------------------------------------------------------------------

    def turn(self, action: Callable[..., None], *args: Any, cost: float = 0.0) -> None:
        """An event comes to the node, which handles it when its processor gets there."""
        took = self.event_us + cost
        if not took:
            action(*args)
            return
        self.busy_until = max(self.queue.now, self.busy_until) + round(took)
        self.queue.at(self.busy_until, self.handle, self.host, action, args)

    def handle(self, host: Host, action: Callable[..., None], args: tuple[Any, ...]) -> None:
        if host is self.host and self.up:
            action(*args)

    def take(self, call: FleetCall) -> None:
        """A client's request has come whole."""
        if self.up:
            self.turn(self.host.take, call)
        else:
            call.broken()

    def left(self, call: Call) -> None:
        """A client has gone."""
        if self.up:
            self.turn(self.host.client_left, call)

    def handed(self, source: int, listing: Listing) -> None:
        """A source has written a list to the node; the highest version holds, as for the checker."""
        if source != self.kept_of or listing.version >= self.kept.version:
            self.kept_of = source
            self.kept.apply(listing)

    def told(self, listing: Listing | None) -> None:
        """News from discovery."""
        if self.up:
            cost = self.line_us * len(self.upstream.endpoints) if listing is not None else 0.0
            self.turn(self.roster.apply_listing, listing, cost=cost)

    def tell(self, peer: int, data: bytes) -> None:
        """A message to the others, from the host."""
        self.around.tell(self, peer, data)

    def log(self, text: str) -> None:
        """What the host catches so that other calls go on is a fault of the run."""
        if "Error" in text or "guard" in text:
            self.faults.append(text)


class Caller:
    """A server's calls to the next tier, through its own node. They are judged as any client's are."""

    def __init__(self, node: Node, note: Callable[[Event], None]) -> None:
        self.node = node
        self.note = note
        self.queue = node.queue

    def call(self, attempt: Attempt, told: Callable[[bool], None]) -> Callable[[], None]:
        """Passes a request on, with the time that is left of it."""
        visitor = attempt.visitor
        left = max(0, visitor.expires - self.queue.now) // 1000 * 1000
        # An id of its own, of which server and client can both say whose it is.
        name = f"{attempt.number:x}.{visitor.id}"
        over = False

        def answered(status: int, advice: float) -> None:
            nonlocal over
            if not over:
                over = True
                self.note(Answered(self.queue.now, name, status, True, advice))
                told(status == 200)

        def broken() -> None:
            """The node dies with its server."""
            nonlocal over
            over = True

        def give_up() -> None:
            nonlocal over
            if not over:
                over = True
                self.note(GaveUp(self.queue.now, name, True))
                self.node.left(call)

        call = FleetCall(name, visitor.klass, 0, left, False, answered, broken)
        self.note(Sent(self.queue.now, name, self.node.name, visitor.klass, left, self.queue.now, False))
        self.node.take(call)
        return give_up
