"""Connections between a node and servers in virtual time, and attempts on them.

Each side sees a close by the other side one network delay later. Data sent while a cut is active is lost, but
closes get through, so that two concurrent attempts are always the node's fault and not the cut's.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import cast

from brackenladder.core.call import Call, Done, Probed
from brackenladder.fleet.queue import Queue, Timer
from brackenladder.fleet.servers import Server
from brackenladder.interface import ListKind, Outcome, State
from brackenladder.membership.listing import Line

IDLE_CLOSE_MARGIN = 300_000  # a node closes an idle connection this many microseconds before the server would
SWEEP_INTERVAL = 500_000  # microseconds between two checks of idle connections
OUTCOMES = {"served": Outcome.OK, "error": Outcome.ERROR, "rejected": Outcome.REJECTED}


class Endpoint:
    """A server process as a node knows it, with the node's idle connections to it."""

    __slots__ = ("server", "started", "ready", "idle", "delay")

    def __init__(self, server: Server, started: int, delay: int) -> None:
        self.server = server
        self.started = started
        self.ready = True
        self.idle: list[Link] = []  # idle connections, the most recently used last
        self.delay = delay


class Link:
    """A connection that carries one request at a time.

    `closed_at_node`: the node knows that it is closed; `closed_at_server`: the server does.
    """

    __slots__ = (
        "links",
        "endpoint",
        "exchange",
        "closed_at_node",
        "closed_at_server",
        "over_limit",
        "reset_on_request",
        "attempt_open",
        "idle_since",
    )

    def __init__(self, links: Links, endpoint: Endpoint) -> None:
        self.links = links
        self.endpoint = endpoint
        self.exchange: Exchange | None = None
        self.closed_at_node = False
        self.closed_at_server = False
        self.over_limit = False  # opened beyond the server's connection limit, so its requests are rejected
        self.reset_on_request = False  # whether the server resets the connection on its first request
        self.attempt_open: object = None  # the attempt that is open on this connection at the server
        self.idle_since = 0

    @property
    def node(self) -> str:
        return self.links.node

    def close(self) -> None:
        """Closes the connection from the node's side."""
        if not self.closed_at_node:
            self.closed_at_node = True
            self.links.open -= 1
            self.links.queue.after(self.endpoint.delay, self.endpoint.server.client_closed, self)

    def closed_by_server(self) -> None:
        """Handles the server's close, once the node sees it."""
        if self.closed_at_node:
            return
        self.closed_at_node = True
        self.links.open -= 1
        if self in self.endpoint.idle:
            self.endpoint.idle.remove(self)
        if self.exchange is not None:
            self.exchange.end(Outcome.RESET)


class Exchange:
    """An attempt at a server; it ends exactly once."""

    __slots__ = (
        "links",
        "endpoint",
        "id",
        "klass",
        "call",
        "expires",
        "done",
        "ended",
        "link",
        "connecting",
        "timer",
        "connect_timer",
    )

    def __init__(self, links: Links, endpoint: Endpoint, call: Call, expires: int, done: Done) -> None:
        self.links = links
        self.endpoint = endpoint
        self.id: str = call.name  # type: ignore[attr-defined]  # a FleetCall, as this model feeds its hosts
        self.klass = call.klass
        self.call = call
        self.expires = expires
        self.done = done
        self.ended = False
        self.link: Link | None = None
        self.connecting: Link | None = None  # connection that is being established
        self.timer: Timer | None = None
        self.connect_timer: Timer | None = None  # connect timeout

    def start(self, timeout: float) -> None:
        links = self.links
        self.timer = links.queue.call_later(timeout, self.expire)
        link = links.take_idle(self.endpoint)
        if link is not None:
            self.send_request(link)
        elif links.make_room():
            links.open += 1
            links.handshakes += 1
            link = self.connecting = Link(links, self.endpoint)
            self.connect_timer = links.queue.after(links.connect_time, self.connect_timed_out)
            links.queue.after(self.endpoint.delay, self.handshake_arrived, link)
        else:
            self.end(Outcome.CONNECT_FAILED)

    def handshake_arrived(self, link: Link) -> None:
        """The first packet of the handshake has reached the server."""
        answer = None if link.closed_at_node else self.endpoint.server.accept(link)
        if answer is True:
            self.links.queue.after(self.endpoint.delay, self.connected, link)
        elif answer is False:
            self.links.queue.after(self.endpoint.delay, self.refused, link)

    def connected(self, link: Link) -> None:
        if not link.closed_at_node:
            self.connecting = None
            self.send_request(link)

    def refused(self, link: Link) -> None:
        self.connecting = None
        link.closed_by_server()
        self.end(Outcome.CONNECT_FAILED)

    def connect_timed_out(self) -> None:
        """Ends the attempt as failed to connect when the connect timeout has passed."""
        self.end(Outcome.CONNECT_FAILED)

    def send_request(self, link: Link) -> None:
        """Sends the request, unless the call has ended, the server is not ready or the time has passed."""
        if self.connect_timer is not None:
            self.connect_timer.cancel()
        now = self.links.queue.now
        if not self.endpoint.ready or not self.call.open or self.expires <= now:
            self.links.keep_idle(link)
            self.end(Outcome.NOT_SENT)
            return
        self.link = link
        link.exchange = self
        self.links.queue.after(self.endpoint.delay, self.endpoint.server.receive, link, self)

    def expire(self) -> None:
        """The attempt timed out; without an established connection nothing was sent."""
        self.stop(Outcome.CONNECT_FAILED if self.link is None else Outcome.TIMEOUT)

    def stop(self, outcome: Outcome) -> None:
        """Aborts the attempt and closes its connection, so that a late answer can't reach another request."""
        if self.ended:
            return
        if self.link is not None:
            self.link.exchange = None
            self.link.close()
        self.end(outcome)

    def answered(self, how: str, keep_idle: bool) -> None:
        """The last byte of the answer has arrived."""
        link = self.link
        if self.ended or link is None or link.closed_at_node:
            return
        link.exchange = None
        if keep_idle:
            self.links.keep_idle(link)
        else:
            link.close()
        self.end(OUTCOMES[how])

    def end(self, outcome: Outcome) -> None:
        if self.ended:
            return
        self.discard()
        self.links.schedule_event(self.done, outcome, None, ())

    def discard(self) -> None:
        """Ends the attempt without reporting an outcome."""
        self.ended = True
        for timer in (self.timer, self.connect_timer):
            if timer is not None:
                timer.cancel()
        if self.connecting is not None:
            self.connecting.close()


class Links:
    """The servers that a node knows and its connections to them; implements the core's `Upstream`."""

    def __init__(
        self,
        node: str,
        zone: str,
        queue: Queue,
        servers_by_id: Mapping[str, Server],
        delay: Callable[[str, str], int],
        max_connections: int,
        connect_time: int,
        idle_time: int,
        schedule_event: Callable[..., None],
    ) -> None:
        self.node = node
        self.zone = zone
        self.queue = queue
        self.servers_by_id = servers_by_id  # all server processes by id
        self.delay = delay
        self.max_connections = max_connections
        self.connect_time = connect_time
        self.idle_time = max(idle_time - IDLE_CLOSE_MARGIN, idle_time // 2)
        self.schedule_event = schedule_event  # queues an event for the node's processor
        self.endpoints: dict[int, Endpoint] = {}
        self.open = 0
        self.handshakes = 0
        self.sweep_scheduled = False
        self.killed = False

    # ---- the list -------------------------------------------------------------------------------------

    def update(self, kind: ListKind, latest: Mapping[int, Line]) -> None:
        if kind != ListKind.CHANGES:
            for number in [n for n in self.endpoints if n not in latest]:
                self.retire(number)
        for number, line in latest.items():
            known = self.endpoints.get(number)
            if line.state != State.READY:
                self.retire(number)
            elif known is None or known.started != line.started:
                self.retire(number)
                server = self.servers_by_id[line.id]
                delay = self.delay(self.zone, server.plan.zone)
                self.endpoints[number] = Endpoint(server, line.started, delay)

    def retire(self, number: int) -> None:
        """Starts no new attempts at a server; open ones may finish."""
        endpoint = self.endpoints.pop(number, None)
        if endpoint is not None:
            endpoint.ready = False
            self.discard(endpoint)

    def discard(self, endpoint: Endpoint) -> None:
        for link in endpoint.idle:
            link.close()
        endpoint.idle.clear()

    # ---- connections ----------------------------------------------------------------------------------

    def take_idle(self, endpoint: Endpoint) -> Link | None:
        """The most recently used idle connection that is still usable, or None."""
        while endpoint.idle:
            link = endpoint.idle.pop()
            if self.queue.now - link.idle_since < self.idle_time:
                return link
            link.close()
        return None

    def keep_idle(self, link: Link) -> None:
        if self.killed or not link.endpoint.ready:
            link.close()
            return
        link.idle_since = self.queue.now
        link.endpoint.idle.append(link)
        if not self.sweep_scheduled:
            self.sweep_scheduled = True
            self.queue.after(SWEEP_INTERVAL, self.close_expired)

    def close_expired(self) -> None:
        """Closes connections that the server would soon close because they are idle."""
        max_connections = self.queue.now - max(self.idle_time - SWEEP_INTERVAL, self.idle_time // 2)
        self.sweep_scheduled = False
        for endpoint in self.endpoints.values():
            while endpoint.idle and endpoint.idle[0].idle_since < max_connections:
                endpoint.idle.pop(0).close()
            self.sweep_scheduled = self.sweep_scheduled or bool(endpoint.idle)
        if self.sweep_scheduled:
            self.queue.after(SWEEP_INTERVAL, self.close_expired)

    def make_room(self) -> bool:
        """Whether one more connection is allowed; closes the longest idle one if necessary."""
        if self.open < self.max_connections:
            return True
        held = [e for e in self.endpoints.values() if e.idle]
        if held:
            min(held, key=lambda e: e.idle[0].idle_since).idle.pop(0).close()
        return bool(held)

    # ---- the core's upstream --------------------------------------------------------------------------

    def attempt(self, server: int, call: Call, expires: int, done: Done) -> Exchange | None:
        endpoint = self.endpoints.get(server)
        if endpoint is None or self.killed:
            return None
        return Exchange(self, endpoint, call, expires, done)

    def probe(self, server: int, done: Probed) -> None:
        endpoint = self.endpoints.get(server)
        delay = endpoint.delay if endpoint is not None else 0
        self.queue.after(2 * delay, done, endpoint is not None and endpoint.server.alive, ())

    def close_idle(self, server: int) -> None:
        endpoint = self.endpoints.get(server)
        if endpoint is not None:
            self.discard(endpoint)

    def kill(self, out: list[Exchange]) -> None:
        """The process is killed: its connections are closed, and open attempts report nothing."""
        self.killed = True
        for exchange in out:
            exchange.discard()
            if exchange.link is not None:
                exchange.link.close()
        for number in list(self.endpoints):
            self.retire(number)


def exchange_of(attempt: object) -> Exchange:
    """Casts a call's attempt to this model's type."""
    return cast(Exchange, attempt)
