"""The MessagePack-RPC upstream: many calls share a connection, and responses come in any order.

Whether a call may have run depends on what the kernel has taken. Each call is one write, and no further one
begins until the kernel has taken the last write completely. So when a connection breaks, the calls that still
wait here and the one whose write is incomplete can't have run; all others may have.
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
from brackenladder.rpc.codec import MAX_MSGID, MessageLimits, MessageReader, Response, notification, request

SWEEP_INTERVAL = 0.25  # seconds between two checks for idle and silent connections


@dataclass(frozen=True)
class UpstreamLimits:
    """Limits: `pipeline` calls per connection, `connections` to one server, `all` connections in total."""

    message_limits: MessageLimits
    pipeline: int
    connections: int
    all: int
    connect_timeout: float  # seconds to establish a connection
    idle: float  # seconds until an unused connection is closed, which should be before its server closes it


class Endpoint:
    """One server's address and this node's connections to it."""

    __slots__ = ("host", "port", "started", "ready", "links", "queue")

    def __init__(self, host: str, port: int, started: int) -> None:
        self.host = host
        self.port = port
        self.started = started
        self.ready = True
        self.links: list[Link] = []
        self.queue: deque[Exchange] = deque()  # calls that wait for a connection to this server

    def retire(self) -> None:
        """Stops new calls. Written calls may finish, then the connections close.

        Calls not written yet are returned to the pool's Balancer in the next loop iteration, when it has the
        new server list. Before that, it could choose this server for them again.
        """
        self.ready = False
        queue, self.queue = self.queue, deque()
        for exchange in queue:
            exchange.upstream.loop.call_soon(exchange.end, Outcome.NOT_SENT)
        for link in list(self.links):
            link.retire()


class Link(asyncio.Protocol):
    """A connection to a server, on which several calls may be open."""

    def __init__(self, upstream: RpcUpstream, endpoint: Endpoint) -> None:
        self.upstream = upstream
        self.endpoint = endpoint
        self.transport: asyncio.Transport = cast(asyncio.Transport, None)
        self.reader = MessageReader(upstream.limits.message_limits)
        self.connected = False
        self.closed = False
        self.retired = False
        self.open_exchanges: dict[
            int, Exchange | None
        ] = {}  # by msgid; None for a call that was given up, whose msgid stays reserved
        self.silent_since: float | None = None  # when a call was first given up since the last received bytes
        self.partially_written: Exchange | None = None  # its write was not taken completely by the kernel
        self.paused = False
        self.last_msgid = 0
        self.last_received = upstream.loop.time()
        self.connecting: asyncio.Task[None] | None = None

    # ---- connection -----------------------------------------------------------------------------------

    async def connect(self) -> None:
        loop = self.upstream.loop
        limit = loop.call_later(self.upstream.limits.connect_timeout, self.on_connect_timeout)
        try:
            await loop.create_connection(lambda: self, self.endpoint.host, self.endpoint.port)
        except (OSError, UnicodeError):  # UnicodeError: invalid host name
            self.on_closed(Outcome.CONNECT_FAILED)
        finally:
            limit.cancel()
            self.connecting = None

    def on_connect_timeout(self) -> None:
        """Aborts a connection that isn't established in time.

        If the loop is late, the connection may be established already and carry calls; it is then kept.
        """
        if not self.connected:
            self.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        # With a limit of 0, asyncio calls pause_writing if the kernel didn't take a write completely.
        self.transport.set_write_buffer_limits(high=0)
        self.connected = True
        self.last_received = self.upstream.loop.time()
        self.upstream.dispatch(self.endpoint)
        self.close_if_retired()

    def pause_writing(self) -> None:
        self.paused = True

    def resume_writing(self) -> None:
        self.paused = False
        self.partially_written = None
        self.upstream.dispatch(self.endpoint)

    def connection_lost(self, exc: Exception | None) -> None:
        self.on_closed(Outcome.CONNECT_FAILED)

    def on_closed(self, unsent: Outcome) -> None:
        """Ends the open calls when the connection closes. `unsent`: the outcome of a partly written call."""
        if self.closed:
            return
        self.closed = True
        if self in self.endpoint.links:
            self.endpoint.links.remove(self)
        self.upstream.open -= 1
        open_exchanges, self.open_exchanges = self.open_exchanges, {}
        for exchange in open_exchanges.values():
            if exchange is not None:
                not_sent = self.paused and exchange is self.partially_written
                exchange.end(unsent if not_sent else Outcome.RESET)
        self.upstream.on_connection_ended(self.endpoint, failed=not self.connected)

    def abort(self) -> None:
        if self.connecting is not None:
            self.connecting.cancel()
        if self.transport is not None:
            self.transport.abort()
        self.on_closed(Outcome.CONNECT_FAILED)

    def retire(self) -> None:
        self.retired = True
        self.close_if_retired()

    def close_if_retired(self) -> None:
        """Closes a retired connection once no call waits for a response on it."""
        if self.retired and not self.has_waiters():
            self.abort()

    def has_waiters(self) -> bool:
        """Whether any call waits for a response on this connection."""
        return any(exchange is not None for exchange in self.open_exchanges.values())

    def may_be_dead(self) -> bool:
        """Whether the server may be unreachable: nothing was received since a call was given up a while ago.

        New calls then use other connections. Calls that already wait here are kept: the server may just be
        slow, and the call may have been given up only because its client set a short budget.
        """
        if self.silent_since is None:
            return False
        patience = max(self.upstream.limits.connect_timeout, SWEEP_INTERVAL)
        return self.upstream.loop.time() - self.silent_since > patience

    # ---- calls ----------------------------------------------------------------------------------------

    def has_room(self) -> bool:
        """Whether another call may be written now.

        False also while a response has stopped partway, as further responses would have to wait for its rest.
        """
        if self.may_be_dead():
            return False
        if not self.connected or self.closed or self.retired or self.paused or self.transport.is_closing():
            return False
        if not self.open_exchanges and self.has_unexpected_input():
            self.abort()
            return False
        return len(self.open_exchanges) < self.upstream.limits.pipeline and not self.response_stalled()

    def has_unexpected_input(self) -> bool:
        """Whether a connection without calls has unread input: stray bytes or the server's close.

        A call written to a connection that the server has closed would count as one that may have run.
        """
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def response_stalled(self) -> bool:
        """Whether part of a response has arrived and then nothing for some time."""
        silence = self.upstream.loop.time() - self.last_received
        return self.reader.buffered() > 0 and silence > self.upstream.limits.connect_timeout

    def write(self, exchange: Exchange) -> None:
        """Writes a call. The kernel has taken it completely once `paused` is False."""
        call = exchange.call
        if call.msgid is None:
            self.transport.write(notification(call.name, call.raw_params))
            exchange.end(Outcome.CANCELLED)  # a notification gets no response, and it may have run
            return
        msgid = self.msgid()
        self.open_exchanges[msgid] = exchange
        exchange.link, exchange.msgid = self, msgid
        self.partially_written = exchange
        self.transport.write(request(msgid, call.name, call.raw_params))

    def msgid(self) -> int:
        """Returns the next msgid that no call of this connection uses, open or given up."""
        while True:
            self.last_msgid = 0 if self.last_msgid >= MAX_MSGID else self.last_msgid + 1
            if self.last_msgid not in self.open_exchanges:
                return self.last_msgid

    def may_still_run(self, msgid: int) -> bool:
        """Whether a call that was given up may still run. Closes the connection if no other call uses it.

        While it may run, the next attempt must not start, or two would run at the same time.
        """
        if self.closed or msgid not in self.open_exchanges:
            return False
        if self.has_waiters():
            return True
        self.abort()
        return False

    def give_up(self, msgid: int) -> None:
        """Stops waiting for a call. Other calls are not affected, and the msgid stays reserved."""
        self.open_exchanges[msgid] = None
        if self.silent_since is None:
            self.silent_since = self.upstream.loop.time()
        self.close_if_retired()

    def data_received(self, data: bytes) -> None:
        self.last_received = self.upstream.loop.time()
        self.silent_since = None
        for message in self.reader.feed(data):
            if not isinstance(message, Response) or message.msgid not in self.open_exchanges:
                # A response to no open call: the server's later responses can't be trusted either.
                self.upstream.log(f"rpc server {self.endpoint.host}:{self.endpoint.port}: unexpected message")
                self.abort()
                return
            exchange = self.open_exchanges.pop(message.msgid)
            if exchange is not None:
                exchange.on_response(message)
            if self.closed:
                return
        if self.reader.error:
            self.upstream.log(
                f"rpc server {self.endpoint.host}:{self.endpoint.port}: malformed stream: {self.reader.error}"
            )
            self.abort()
            return
        self.close_if_retired()
        self.upstream.dispatch(self.endpoint)


class Exchange:
    """One attempt to send a call to a server. It ends exactly once."""

    def __init__(self, upstream: RpcUpstream, endpoint: Endpoint, call: RpcCall, done: Done) -> None:
        self.upstream = upstream
        self.endpoint = endpoint
        self.call = call
        self.done = done
        self.closed = False
        self.link: Link | None = None
        self.msgid = 0
        self.timer: asyncio.TimerHandle | None = None

    def start(self, timeout: float) -> None:
        """Queues the call for a connection that can take it."""
        self.timer = self.upstream.loop.call_later(timeout, self.expire)
        self.endpoint.queue.append(self)
        self.upstream.dispatch(self.endpoint)

    def expire(self) -> None:
        self.stop(Outcome.TIMEOUT)

    def stop(self, outcome: Outcome) -> None:
        """Gives up the attempt. If its call wasn't written yet, the call can't have run."""
        if self.closed:
            return
        if self.link is not None:
            # The connection is updated first: the Balancer may retry the call within `end`.
            self.call.given_up = self
            if not self.link.closed:
                self.link.give_up(self.msgid)
            self.end(outcome)
        else:
            self.end(Outcome.CONNECT_FAILED if outcome == Outcome.TIMEOUT else Outcome.NOT_SENT)

    def ended(self) -> bool:
        """See `AbandonedAttempt.ended`."""
        return self.link is None or not self.link.may_still_run(self.msgid)

    def on_response(self, message: Response) -> None:
        outcome = outcome_of(message.error, self.call.method)
        if outcome == Outcome.ERROR:
            self.call.last_error = message.raw_error
        self.end(outcome, Reply(message.raw_error, message.raw_result))

    def end(self, outcome: Outcome, reply: Reply | None = None) -> None:
        if self.closed:
            return
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
        if self.link is None and self in self.endpoint.queue:
            self.endpoint.queue.remove(self)
        self.done(outcome, reply, ())


class RpcUpstream:
    """Sends calls to the servers of a pool, over connections that it opens, shares and closes."""

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
        self.now = now  # the clock of the pool's host
        self.endpoints: dict[int, Endpoint] = {}
        self.open = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.stall = StallDetector(monotonic())
        self.loop.call_later(SWEEP_INTERVAL, self.sweep)
        self.loop.call_later(BEAT_INTERVAL, self.beat)

    def beat(self) -> None:
        self.stall.beat(monotonic())
        self.loop.call_later(BEAT_INTERVAL, self.beat)

    # ---- server list ----------------------------------------------------------------------------------

    def update(self, kind: ListKind, latest: Mapping[int, Line]) -> None:
        """Applies a full list or changes. `latest` has the last line of each server."""
        if kind != ListKind.CHANGES:
            for number in [n for n in self.endpoints if n not in latest]:
                self.endpoints.pop(number).retire()
        for number, line in latest.items():
            endpoint = self.endpoints.get(number)
            if line.state != State.READY:
                if endpoint is not None:
                    self.endpoints.pop(number).retire()
                continue
            identity = (line.host, line.port, line.started)
            if endpoint is None or (endpoint.host, endpoint.port, endpoint.started) != identity:
                if endpoint is not None:
                    endpoint.retire()
                self.endpoints[number] = Endpoint(*identity)

    # ---- Upstream -------------------------------------------------------------------------------------

    def attempt(self, server: int, call: Call, expires: int, done: Done) -> Attempt | None:
        """Returns an attempt at a server, or None if it isn't ready or an earlier attempt may still run."""
        endpoint = self.endpoints.get(server)
        call = cast(RpcCall, call)
        if endpoint is None or (call.given_up is not None and not call.given_up.ended()):
            return None
        return Exchange(self, endpoint, call, done)

    def probe(self, server: int, done: Probed) -> None:
        """Fails at once: the protocol has no probes, and the pool's settings disable them."""
        done(False, ())

    def close_idle(self, server: int) -> None:
        """Closes the unused connections to a server."""
        endpoint = self.endpoints.get(server)
        for link in list(endpoint.links) if endpoint is not None else ():
            if link.connected and not link.open_exchanges:
                link.abort()

    # ---- connections ----------------------------------------------------------------------------------

    def dispatch(self, endpoint: Endpoint) -> None:
        """Writes waiting calls.

        If the process has just been stalled, they are written a little later, so that updates of the server
        list which arrived during the stall are read first.
        """
        if self.stall.must_read_first(monotonic()):
            self.loop.call_later(READ_FIRST_DELAY, self.write, endpoint)
        else:
            self.write(endpoint)

    def write(self, endpoint: Endpoint) -> None:
        """Writes waiting calls to the least busy connections, or opens another one if none can take them."""
        while endpoint.queue and endpoint.ready:
            links = [link for link in endpoint.links if link.has_room()]
            if not links:
                break
            exchange = endpoint.queue.popleft()
            if exchange.call.may_be_written(self.now()):
                min(links, key=lambda link: len(link.open_exchanges)).write(exchange)
            else:
                exchange.end(Outcome.NOT_SENT)
        connecting = sum(not link.connected for link in endpoint.links)
        if endpoint.queue and endpoint.ready and not connecting:
            if len(endpoint.links) < self.limits.connections and self.open < self.limits.all:
                self.connect(endpoint)
            elif not endpoint.links:
                endpoint.queue.popleft().end(Outcome.CONNECT_FAILED)  # the limits allow no more connections

    def connect(self, endpoint: Endpoint) -> None:
        link = Link(self, endpoint)
        endpoint.links.append(link)
        self.open += 1
        link.connecting = task = self.loop.create_task(link.connect())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def on_connection_ended(self, endpoint: Endpoint, failed: bool) -> None:
        """Dispatches waiting calls again after a connection to their server has ended.

        If it couldn't be established (`failed`) and the server has no other established connection, the
        waiting calls fail.
        """
        if failed and not any(link.connected for link in endpoint.links):
            queue, endpoint.queue = endpoint.queue, deque()
            for exchange in queue:
                exchange.end(Outcome.CONNECT_FAILED)
        elif endpoint.queue:
            self.dispatch(endpoint)

    def sweep(self) -> None:
        """Closes idle connections, and unresponsive ones whose calls have all been given up."""
        now = self.loop.time()
        for endpoint in list(self.endpoints.values()):
            for link in list(endpoint.links):
                if link.connected and not link.open_exchanges and now - link.last_received > self.limits.idle:
                    link.abort()
                    continue
                if link.may_be_dead() and not link.has_waiters():
                    link.abort()
            if endpoint.queue:
                self.dispatch(endpoint)
        self.loop.call_later(SWEEP_INTERVAL, self.sweep)
