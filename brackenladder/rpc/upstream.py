"""The upstream that speaks MessagePack-RPC: many calls on a connection, answers in any order.

What may have run is told by what was handed to the system. A connection's calls go out one write each, and
while the system does not take a write whole, no further one begins: the calls behind it wait here, and have
not been sent. So when a connection breaks, the calls that wait and the last one whose write was not taken
whole cannot have run, and all others may have.
"""

from __future__ import annotations

import asyncio
import select
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from time import monotonic
from typing import cast

from brackenladder.core.call import Attempt, Call, Done, Probed
from brackenladder.interface import ListKind, Outcome, State
from brackenladder.membership.listing import Line
from brackenladder.membership.stall import BEAT_INTERVAL, READ_FIRST_DELAY, StallDetector
from brackenladder.rpc.call import Reply, RpcCall, outcome_of
from brackenladder.rpc.codec import MOST_MSGID, Bounds, Reader, Response, notification, request

SWEEP = 0.25  # seconds between two looks at connections that say nothing


@dataclass(frozen=True)
class UpstreamLimits:
    """`pipeline`: calls that one connection carries; `connections`: to one server; `all`: in all."""

    bounds: Bounds
    pipeline: int
    connections: int
    all: int
    connect_timeout: float  # seconds
    idle: float  # seconds after which a connection that carries nothing is closed, before its server does


class Endpoint:
    """One server's address and this node's connections to it."""

    __slots__ = ("host", "port", "started", "ready", "links", "queue")

    def __init__(self, host: str, port: int, started: int) -> None:
        self.host = host
        self.port = port
        self.started = started
        self.ready = True
        self.links: list[Link] = []
        self.queue: deque[Exchange] = deque()  # that no connection has room for yet

    def retire(self) -> None:
        """Nothing new is written here; what was written may finish, then the connections close.

        Failure prevented: what waits is given back before the module has the new list, and comes again.
        """
        self.ready = False
        queue, self.queue = self.queue, deque()
        for exchange in queue:
            exchange.upstream.loop.call_soon(exchange.end, Outcome.NOT_SENT)
        for link in list(self.links):
            link.retire()


class Link(asyncio.Protocol):
    """A connection to a server."""

    def __init__(self, upstream: RpcUpstream, endpoint: Endpoint) -> None:
        self.upstream = upstream
        self.endpoint = endpoint
        self.transport: asyncio.Transport = cast(asyncio.Transport, None)
        self.reader = Reader(upstream.limits.bounds)
        self.up = False
        self.over = False
        self.retired = False
        self.out: dict[int, Exchange | None] = {}  # by msgid; None: given up, and the msgid stays unused
        self.quiet_since: float | None = None  # when a call was given up, if nothing has come since
        self.unwhole: Exchange | None = None  # its write is not with the system whole
        self.paused = False
        self.last_msgid = 0
        self.heard = upstream.loop.time()
        self.connecting: asyncio.Task[None] | None = None

    # ---- life -----------------------------------------------------------------------------------------

    async def connect(self) -> None:
        loop = self.upstream.loop
        limit = loop.call_later(self.upstream.limits.connect_timeout, self.not_up)
        try:
            await loop.create_connection(lambda: self, self.endpoint.host, self.endpoint.port)
        except (OSError, UnicodeError):  # the latter for a name that cannot be one of a host
            self.gone(Outcome.CONNECT_FAILED)
        finally:
            limit.cancel()
            self.connecting = None

    def not_up(self) -> None:
        """The connect time-out.

        Failure prevented: it comes up, calls are written, and as the loop is late with all that it is taken
        for one that never came up.
        """
        if not self.up:
            self.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        # With no buffer allowed, pause_writing says that a write was not taken whole.
        self.transport.set_write_buffer_limits(high=0)
        self.up = True
        self.heard = self.upstream.loop.time()
        self.upstream.feed(self.endpoint)
        self.settle()

    def pause_writing(self) -> None:
        self.paused = True

    def resume_writing(self) -> None:
        self.paused = False
        self.unwhole = None
        self.upstream.feed(self.endpoint)

    def connection_lost(self, exc: Exception | None) -> None:
        self.gone(Outcome.CONNECT_FAILED)

    def gone(self, unsent: Outcome) -> None:
        """The connection has ended: what was handed over whole may have run."""
        if self.over:
            return
        self.over = True
        if self in self.endpoint.links:
            self.endpoint.links.remove(self)
        self.upstream.open -= 1
        out, self.out = self.out, {}
        for exchange in out.values():
            if exchange is not None:
                never = self.paused and exchange is self.unwhole
                exchange.end(unsent if never else Outcome.RESET)
        self.upstream.orphaned(self.endpoint, failed=not self.up)

    def abort(self) -> None:
        if self.connecting is not None:
            self.connecting.cancel()
        if self.transport is not None:
            self.transport.abort()
        self.gone(Outcome.CONNECT_FAILED)

    def retire(self) -> None:
        self.retired = True
        self.settle()

    def settle(self) -> None:
        """Closes a retired connection once nobody waits for anything on it."""
        if self.retired and not self.waited_for():
            self.abort()

    def waited_for(self) -> bool:
        """Whether somebody waits for an answer here."""
        return any(exchange is not None for exchange in self.out.values())

    def suspect(self) -> bool:
        """Whether it may be cut off: a call was given up a while ago, and nothing has come since.

        Failure prevented: what is written to a machine that has vanished waits in vain. Those that wait here
        already are left alone: a server that is slow, or one client's short time, must not cost them theirs.
        """
        if self.quiet_since is None:
            return False
        patience = max(self.upstream.limits.connect_timeout, SWEEP)
        return self.upstream.loop.time() - self.quiet_since > patience

    # ---- calls ----------------------------------------------------------------------------------------

    def room(self) -> bool:
        """Whether a further call may be written now.

        A connection with an answer that has stopped partway takes none: they would wait behind it.
        """
        if self.suspect():
            return False
        if not self.up or self.over or self.retired or self.paused or self.transport.is_closing():
            return False
        if not self.out and self.spoken_to():
            self.abort()
            return False
        return len(self.out) < self.upstream.limits.pipeline and not self.stuck()

    def spoken_to(self) -> bool:
        """Whether the end of a connection that carries nothing, or stray bytes, wait in the socket.

        Failure prevented: the server has closed it, and a call that is written there may have run.
        """
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def stuck(self) -> bool:
        """Whether half an answer has come, and nothing since."""
        late = self.upstream.loop.time() - self.heard
        return self.reader.waiting() > 0 and late > self.upstream.limits.connect_timeout

    def write(self, exchange: Exchange) -> None:
        """Writes a call, whose last byte is with the system once `paused` is False."""
        call = exchange.call
        if call.msgid is None:
            self.transport.write(notification(call.name, call.raw))
            exchange.end(Outcome.CANCELLED)  # it may have run, and nobody will say
            return
        msgid = self.msgid()
        self.out[msgid] = exchange
        exchange.link, exchange.msgid = self, msgid
        self.unwhole = exchange
        self.transport.write(request(msgid, call.name, call.raw))

    def msgid(self) -> int:
        """The next one that no call of this connection has, open or given up."""
        while True:
            self.last_msgid = 0 if self.last_msgid >= MOST_MSGID else self.last_msgid + 1
            if self.last_msgid not in self.out:
                return self.last_msgid

    def still_out(self, msgid: int) -> bool:
        """Whether a call that was given up may still run here. A connection with nothing else is closed.

        Failure prevented: its next attempt goes to another server while this one is out, two at once.
        """
        if self.over or msgid not in self.out:
            return False
        if self.waited_for():
            return True
        self.abort()
        return False

    def give_up(self, msgid: int) -> None:
        """Nobody waits for this call any more; its neighbours lose nothing, and its msgid stays unused."""
        self.out[msgid] = None
        if self.quiet_since is None:
            self.quiet_since = self.upstream.loop.time()
        self.settle()

    def data_received(self, data: bytes) -> None:
        self.heard = self.upstream.loop.time()
        self.quiet_since = None
        for message in self.reader.feed(data):
            if not isinstance(message, Response) or message.msgid not in self.out:
                # Of a stream that answers what was not asked, no further answer can be believed.
                self.upstream.log(f"rpc server {self.endpoint.host}:{self.endpoint.port}: a stray message")
                self.abort()
                return
            exchange = self.out.pop(message.msgid)
            if exchange is not None:
                exchange.answered(message)
            if self.over:
                return
        if self.reader.broken:
            self.upstream.log(
                f"rpc server {self.endpoint.host}:{self.endpoint.port}: broken off: {self.reader.broken}"
            )
            self.abort()
            return
        self.settle()
        self.upstream.feed(self.endpoint)


class Exchange:
    """An attempt: it ends exactly once."""

    def __init__(self, upstream: RpcUpstream, endpoint: Endpoint, call: RpcCall, done: Done) -> None:
        self.upstream = upstream
        self.endpoint = endpoint
        self.call = call
        self.done = done
        self.over = False
        self.link: Link | None = None
        self.msgid = 0
        self.timer: asyncio.TimerHandle | None = None

    def start(self, timeout: float) -> None:
        """Waits for a connection with room, and is written there."""
        self.timer = self.upstream.loop.call_later(timeout, self.expire)
        self.endpoint.queue.append(self)
        self.upstream.feed(self.endpoint)

    def expire(self) -> None:
        self.stop(Outcome.TIMEOUT)

    def stop(self, outcome: Outcome) -> None:
        """Gives it up. What has not been written cannot have run."""
        if self.over:
            return
        if self.link is not None:
            # First out of the connection: the module may send the call on as it hears of the end.
            self.call.given_up = self
            if not self.link.over:
                self.link.give_up(self.msgid)
            self.end(outcome)
        else:
            self.end(Outcome.CONNECT_FAILED if outcome == Outcome.TIMEOUT else Outcome.NOT_SENT)

    def ended(self) -> bool:
        """Whether an attempt that was given up is over at its server."""
        return self.link is None or not self.link.still_out(self.msgid)

    def answered(self, message: Response) -> None:
        outcome = outcome_of(message.error, self.call.method)
        if outcome == Outcome.ERROR:
            self.call.last_error = message.raw_error
        self.end(outcome, Reply(message.raw_error, message.raw_result))

    def end(self, outcome: Outcome, reply: Reply | None = None) -> None:
        if self.over:
            return
        self.over = True
        if self.timer is not None:
            self.timer.cancel()
        if self.link is None and self in self.endpoint.queue:
            self.endpoint.queue.remove(self)
        self.done(outcome, reply, ())


class RpcUpstream:
    """The servers of the pool by number, and the connections to them."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        limits: UpstreamLimits,
        log: Callable[[str], None],
        now: Callable[[], int],
    ) -> None:
        self.loop = loop
        self.limits = limits
        self.log = log
        self.now = now  # the core's clock
        self.endpoints: dict[int, Endpoint] = {}
        self.open = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.stall = StallDetector(monotonic())
        self.loop.call_later(SWEEP, self.sweep)
        self.loop.call_later(BEAT_INTERVAL, self.beat)

    def beat(self) -> None:
        self.stall.beat(monotonic())
        self.loop.call_later(BEAT_INTERVAL, self.beat)

    # ---- the list -------------------------------------------------------------------------------------

    def update(self, kind: ListKind, latest: Mapping[int, Line]) -> None:
        """Takes note of a list or its changes, each server once."""
        if kind != ListKind.CHANGES:
            for number in [n for n in self.endpoints if n not in latest]:
                self.endpoints.pop(number).retire()
        for number, line in latest.items():
            endpoint = self.endpoints.get(number)
            if line.state != State.READY:
                if endpoint is not None:
                    self.endpoints.pop(number).retire()
                continue
            place = (line.host, line.port, line.started)
            if endpoint is None or (endpoint.host, endpoint.port, endpoint.started) != place:
                if endpoint is not None:
                    endpoint.retire()
                self.endpoints[number] = Endpoint(*place)

    # ---- Upstream -------------------------------------------------------------------------------------

    def attempt(self, server: int, call: Call, expires: int, done: Done) -> Attempt | None:
        """An exchange with a server; None if it is not ready, or an earlier one may still run."""
        endpoint = self.endpoints.get(server)
        call = cast(RpcCall, call)
        if endpoint is None or (call.given_up is not None and not call.given_up.ended()):
            return None
        return Exchange(self, endpoint, call, done)

    def probe(self, server: int, done: Probed) -> None:
        """There are no probes in this protocol, and the pool's settings ask for none."""
        done(False, ())

    def close_idle(self, server: int) -> None:
        """Closes the connections to a server that carry nothing."""
        endpoint = self.endpoints.get(server)
        for link in list(endpoint.links) if endpoint is not None else ():
            if link.up and not link.out:
                link.abort()

    # ---- connections ----------------------------------------------------------------------------------

    def feed(self, endpoint: Endpoint) -> None:
        """Writes what waits, once news of the list that may be waiting has been read."""
        if self.stall.must_read_first(monotonic()):
            self.loop.call_later(READ_FIRST_DELAY, self.write, endpoint)
        else:
            self.write(endpoint)

    def write(self, endpoint: Endpoint) -> None:
        """Writes what waits to connections with room, the least busy first; opens another if none has."""
        while endpoint.queue and endpoint.ready:
            links = [link for link in endpoint.links if link.room()]
            if not links:
                break
            exchange = endpoint.queue.popleft()
            if exchange.call.may_be_written(self.now()):
                min(links, key=lambda link: len(link.out)).write(exchange)
            else:
                exchange.end(Outcome.NOT_SENT)
        coming = sum(not link.up for link in endpoint.links)
        if endpoint.queue and endpoint.ready and not coming:
            if len(endpoint.links) < self.limits.connections and self.open < self.limits.all:
                self.connect(endpoint)
            elif not endpoint.links:
                endpoint.queue.popleft().end(Outcome.CONNECT_FAILED)  # no descriptor for this server at all

    def connect(self, endpoint: Endpoint) -> None:
        link = Link(self, endpoint)
        endpoint.links.append(link)
        self.open += 1
        link.connecting = task = self.loop.create_task(link.connect())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def orphaned(self, endpoint: Endpoint, failed: bool) -> None:
        """A connection has ended, or never came up: what waits for one goes to another, or has failed."""
        if failed and not any(link.up for link in endpoint.links):
            queue, endpoint.queue = endpoint.queue, deque()
            for exchange in queue:
                exchange.end(Outcome.CONNECT_FAILED)
        elif endpoint.queue:
            self.feed(endpoint)

    def sweep(self) -> None:
        """Closes connections that stand idle, and those that have said nothing since a call was given up."""
        now = self.loop.time()
        for endpoint in list(self.endpoints.values()):
            for link in list(endpoint.links):
                if link.up and not link.out and now - link.heard > self.limits.idle:
                    link.abort()
                    continue
                if link.suspect() and not link.waited_for():
                    link.abort()
            if endpoint.queue:
                self.feed(endpoint)
        self.loop.call_later(SWEEP, self.sweep)
