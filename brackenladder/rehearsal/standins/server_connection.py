"""A connection to a stand-in server, and the requests that are open on it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol, cast

from brackenladder.rehearsal.events import Event, Partial, now
from brackenladder.rehearsal.plan import ServerPlan, Step
from brackenladder.rehearsal.standins.codecs import Garbled, Request, server_codec
from brackenladder.rehearsal.standins.process import reset
from brackenladder.rehearsal.standins.server_context import ServerContext


class RequestHandler(Protocol):
    """What a connection needs of its server."""

    context: ServerContext
    plan: ServerPlan
    loop: asyncio.AbstractEventLoop
    note: Callable[[Event], None]
    connections: set[Connection]
    queued: bool

    def fault(self, *kinds: str) -> Step | None:
        """The fault of these kinds that is on now."""

    def arrived(self, connection: Connection, first: int, request: Request) -> None:
        """A request's last byte has come."""

    def probed(self, connection: Connection, path: str) -> None:
        """A probe has come."""

    def abandoned(self, attempt: Attempt, by: str) -> None:
        """The connection has ended before the answer was whole."""


class Attempt:
    """A request that has come whole. `ref`: what its answer must carry."""

    __slots__ = ("number", "id", "ref", "connection", "work", "done")

    def __init__(self, number: int, name: str, ref: int, connection: Connection, work: int) -> None:
        self.number = number
        self.id = name
        self.ref = ref
        self.connection = connection
        self.work = work
        self.done = False  # its answer is out, or its connection has ended


class Connection(asyncio.Protocol):
    """A connection to a server."""

    def __init__(self, server: RequestHandler) -> None:
        self.server = server
        self.transport: asyncio.Transport = cast(asyncio.Transport, None)
        self.codec = server_codec(server.context.scenario)
        self.first = 0  # when the first byte of the request came that has not come whole
        self.asked = False
        self.open: list[Attempt] = []
        self.partway: Attempt | None = None  # whose answer has begun: all others wait behind it
        self.behind: list[tuple[Attempt, bytes]] = []
        self.idle_since = 0.0
        self.ignoring = False
        self.queued = server.queued
        self.limited = False
        self.early = False  # reset once its first bytes are read, of which the socket holds few

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.idle_since = self.server.loop.time()
        self.limited = len(self.server.connections) >= self.server.context.scenario.servers.connections
        self.server.connections.add(self)
        self.early = self.server.fault("reset-early") is not None

    def data_received(self, data: bytes) -> None:
        if self.ignoring:
            return
        moment = now()
        self.first = self.first or moment
        try:
            requests = self.codec.feed(data)
        except Garbled:
            self.ignoring = True
            self.transport.write(self.codec.bad(400))
            self.transport.close()
            return
        for request in requests:
            if not self.transport.is_closing():
                self.request_received(request)
            self.first = moment  # of the next one, if it has begun
        if self.codec.partial() is None:
            self.first = 0
        if self.early:
            self.ignoring = True
            for attempt in list(self.open):  # small enough to come whole: it may have run
                self.server.abandoned(attempt, "server")
            reset(self.transport)

    def request_received(self, request: Request) -> None:
        if request.probe:
            self.server.probed(self, request.probe)
        elif not request.id or request.klass not in self.server.context.classes:
            self.transport.write(self.codec.bad(404))
        else:
            self.server.arrived(self, self.first, request)

    def write(self, attempt: Attempt, data: bytes, whole: bool) -> None:
        """Writes an answer or a part of it. What others answer waits behind one that has begun."""
        if self.partway is not None and self.partway is not attempt:
            self.behind.append((attempt, data))
            return
        self.transport.write(data)
        self.partway = None if whole else attempt
        while self.partway is None and self.behind:
            _, data = self.behind.pop(0)
            self.transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.connections.discard(self)
        partial = self.codec.partial()
        if partial:
            self.server.note(Partial(now(), self.server.plan.id, partial))
        for attempt in list(self.open):
            self.server.abandoned(attempt, "node")
