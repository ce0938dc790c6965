"""Connections between a node and servers in virtual time, and attempts on them.

Each side learns of the other's end one way later. What is sent over a cut is lost; ends of connections get
through, so that two attempts at once are the node's doing and not the cut's.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import cast

from brackenladder.core.call import Call, Done, Probed
from brackenladder.fleet.queue import Queue, Timer
from brackenladder.fleet.servers import Server
from brackenladder.interface import ListKind, Outcome, State
from brackenladder.membership.listing import Line

IDLE_MARGIN = 300_000  # microseconds before the server would close an idle connection
SWEEP = 500_000  # between two looks at idle connections
OUTCOMES = {"served": Outcome.OK, "error": Outcome.ERROR, "rejected": Outcome.REJECTED}


class Endpoint:
    """One process of a server as a node knows it, and the node's idle connections there."""

    __slots__ = ("server", "started", "ready", "idle", "way")

    def __init__(self, server: Server, started: int, way: int) -> None:
        self.server = server
        self.started = started
        self.ready = True
        self.idle: list[Link] = []  # the most recently used last
        self.way = way


class Link:
    """A connection: one request at a time.

    `gone`: its end is known at the node; `shut`: it is over at the server.
    """

    __slots__ = ("links", "endpoint", "exchange", "gone", "shut", "limited", "early", "holds", "idle_since")

    def __init__(self, links: Links, endpoint: Endpoint) -> None:
        self.links = links
        self.endpoint = endpoint
        self.exchange: Exchange | None = None
        self.gone = False
        self.shut = False
        self.limited = False  # beyond what the server takes: it turns away what comes
        self.early = False  # reset as soon as something comes
        self.holds: object = None  # the server's attempt on it
        self.idle_since = 0

    @property
    def node(self) -> str:
        return self.links.node

    def close(self) -> None:
        """The node ends it."""
        if not self.gone:
            self.gone = True
            self.links.open -= 1
            self.links.queue.after(self.endpoint.way, self.endpoint.server.hung_up, self)

    def lost(self) -> None:
        """The server's end has come here."""
        if self.gone:
            return
        self.gone = True
        self.links.open -= 1
        if self in self.endpoint.idle:
            self.endpoint.idle.remove(self)
        if self.exchange is not None:
            self.exchange.end(Outcome.RESET)


class Exchange:
    """An attempt: it ends exactly once."""

    __slots__ = (
        "links",
        "endpoint",
        "id",
        "klass",
        "call",
        "expires",
        "done",
        "over",
        "link",
        "opening",
        "timer",
        "up",
    )

    def __init__(self, links: Links, endpoint: Endpoint, call: Call, expires: int, done: Done) -> None:
        self.links = links
        self.endpoint = endpoint
        self.id: str = call.name  # type: ignore[attr-defined]  # a FleetCall, as this model feeds its hosts
        self.klass = call.klass
        self.call = call
        self.expires = expires
        self.done = done
        self.over = False
        self.link: Link | None = None
        self.opening: Link | None = None  # that has not come up
        self.timer: Timer | None = None
        self.up: Timer | None = None  # by when a connection must have come up

    def start(self, timeout: float) -> None:
        links = self.links
        self.timer = links.queue.call_later(timeout, self.expire)
        link = links.take(self.endpoint)
        if link is not None:
            self.use(link)
        elif links.has_room():
            links.open += 1
            links.handshakes += 1
            link = self.opening = Link(links, self.endpoint)
            self.up = links.queue.after(links.connect_time, self.not_up)
            links.queue.after(self.endpoint.way, self.knock, link)
        else:
            self.end(Outcome.CONNECT_FAILED)

    def knock(self, link: Link) -> None:
        """The handshake's first part has come to the server."""
        answer = None if link.gone else self.endpoint.server.accept(link)
        if answer is True:
            self.links.queue.after(self.endpoint.way, self.came_up, link)
        elif answer is False:
            self.links.queue.after(self.endpoint.way, self.refused, link)

    def came_up(self, link: Link) -> None:
        if not link.gone:
            self.opening = None
            self.use(link)

    def refused(self, link: Link) -> None:
        self.opening = None
        link.lost()
        self.end(Outcome.CONNECT_FAILED)

    def not_up(self) -> None:
        """The connect time-out."""
        self.end(Outcome.CONNECT_FAILED)

    def use(self, link: Link) -> None:
        """Writes the request, if it may still be written."""
        if self.up is not None:
            self.up.cancel()
        now = self.links.queue.now
        if not self.endpoint.ready or not self.call.open or self.expires <= now:
            self.links.keep(link)
            self.end(Outcome.NOT_SENT)
            return
        self.link = link
        link.exchange = self
        self.links.queue.after(self.endpoint.way, self.endpoint.server.heard, link, self)

    def expire(self) -> None:
        """The time is up. A connection that never came up has carried nothing."""
        self.stop(Outcome.CONNECT_FAILED if self.link is None else Outcome.TIMEOUT)

    def stop(self, outcome: Outcome) -> None:
        """Gives it up, and with it the connection, so that no late answer meets another request."""
        if self.over:
            return
        if self.link is not None:
            self.link.exchange = None
            self.link.close()
        self.end(outcome)

    def answered(self, how: str, keep: bool) -> None:
        """The last byte of the answer has come."""
        link = self.link
        if self.over or link is None or link.gone:
            return
        link.exchange = None
        if keep:
            self.links.keep(link)
        else:
            link.close()
        self.end(OUTCOMES[how])

    def end(self, outcome: Outcome) -> None:
        if self.over:
            return
        self.drop()
        self.links.turn(self.done, outcome, None, ())

    def drop(self) -> None:
        """Nothing more comes of it."""
        self.over = True
        for timer in (self.timer, self.up):
            if timer is not None:
                timer.cancel()
        if self.opening is not None:
            self.opening.close()


class Links:
    """The servers that a node has been told of, and its connections there: the core's upstream."""

    def __init__(
        self,
        node: str,
        zone: str,
        queue: Queue,
        standing: Mapping[str, Server],
        way: Callable[[str, str], int],
        most: int,
        connect_time: int,
        idle_time: int,
        turn: Callable[..., None],
    ) -> None:
        self.node = node
        self.zone = zone
        self.queue = queue
        self.standing = standing  # all processes by their id
        self.way = way
        self.most = most
        self.connect_time = connect_time
        self.idle_time = max(idle_time - IDLE_MARGIN, idle_time // 2)
        self.turn = turn  # the node's processor: what it does with an event
        self.endpoints: dict[int, Endpoint] = {}
        self.open = 0
        self.handshakes = 0
        self.sweeping = False
        self.dead = False

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
                server = self.standing[line.id]
                way = self.way(self.zone, server.plan.zone)
                self.endpoints[number] = Endpoint(server, line.started, way)

    def retire(self, number: int) -> None:
        """Nothing new goes there; what is out may finish."""
        endpoint = self.endpoints.pop(number, None)
        if endpoint is not None:
            endpoint.ready = False
            self.drop(endpoint)

    def drop(self, endpoint: Endpoint) -> None:
        for link in endpoint.idle:
            link.close()
        endpoint.idle.clear()

    # ---- connections ----------------------------------------------------------------------------------

    def take(self, endpoint: Endpoint) -> Link | None:
        """The most recently used idle connection that is still good."""
        while endpoint.idle:
            link = endpoint.idle.pop()
            if self.queue.now - link.idle_since < self.idle_time:
                return link
            link.close()
        return None

    def keep(self, link: Link) -> None:
        if self.dead or not link.endpoint.ready:
            link.close()
            return
        link.idle_since = self.queue.now
        link.endpoint.idle.append(link)
        if not self.sweeping:
            self.sweeping = True
            self.queue.after(SWEEP, self.sweep)

    def sweep(self) -> None:
        """Closes what has stood idle for long, before the server does."""
        most = self.queue.now - max(self.idle_time - SWEEP, self.idle_time // 2)
        self.sweeping = False
        for endpoint in self.endpoints.values():
            while endpoint.idle and endpoint.idle[0].idle_since < most:
                endpoint.idle.pop(0).close()
            self.sweeping = self.sweeping or bool(endpoint.idle)
        if self.sweeping:
            self.queue.after(SWEEP, self.sweep)

    def has_room(self) -> bool:
        """Whether one more fits; the one that was idle longest makes room."""
        if self.open < self.most:
            return True
        held = [e for e in self.endpoints.values() if e.idle]
        if held:
            min(held, key=lambda e: e.idle[0].idle_since).idle.pop(0).close()
        return bool(held)

    # ---- the core's upstream --------------------------------------------------------------------------

    def attempt(self, server: int, call: Call, expires: int, done: Done) -> Exchange | None:
        endpoint = self.endpoints.get(server)
        if endpoint is None or self.dead:
            return None
        return Exchange(self, endpoint, call, expires, done)

    def probe(self, server: int, done: Probed) -> None:
        endpoint = self.endpoints.get(server)
        way = endpoint.way if endpoint is not None else 0
        self.queue.after(2 * way, done, endpoint is not None and endpoint.server.alive, ())

    def close_idle(self, server: int) -> None:
        endpoint = self.endpoints.get(server)
        if endpoint is not None:
            self.drop(endpoint)

    def die(self, out: list[Exchange]) -> None:
        """The process is killed: the system closes its connections, and nobody hears of what was out."""
        self.dead = True
        for exchange in out:
            exchange.drop()
            if exchange.link is not None:
                exchange.link.close()
        for number in list(self.endpoints):
            self.retire(number)


def exchange_of(attempt: object) -> Exchange:
    """A call's attempt as this model made it."""
    return cast(Exchange, attempt)
