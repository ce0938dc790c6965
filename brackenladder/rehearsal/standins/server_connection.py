"""A connection to a simulated server, and the requests that are open on it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol, cast

from brackenladder.rehearsal.events import Event, Partial, now
from brackenladder.rehearsal.plan import ServerPlan, Step
from brackenladder.rehearsal.standins.codecs import MalformedStream, Request, server_codec
from brackenladder.rehearsal.standins.process import reset
from brackenladder.rehearsal.standins.server_context import ServerContext


class RequestHandler(Protocol):
    """The interface of a server that its connections use."""

    context: ServerContext
    plan: ServerPlan
    loop: asyncio.AbstractEventLoop
    note: Callable[[Event], None]
    connections: set[Connection]
    queued: bool

    def fault(self, *kinds: str) -> Step | None:
        """The active fault of one of these kinds, if any."""

    def arrived(self, connection: Connection, first: int, request: Request) -> None:
        """Handles a complete request; `first`: when its first byte came."""

    def probed(self, connection: Connection, path: str) -> None:
        """Handles a health or load probe."""

    def abandoned(self, attempt: Attempt, by: str) -> None:
        """Handles the end of a connection before its answer was complete."""


class Attempt:
    """A complete request. `ref`: the id that its answer must carry, if the transport has ids."""

    __slots__ = ("number", "id", "ref", "connection", "work", "done")

    def __init__(self, number: int, name: str, ref: int, connection: Connection, work: int) -> None:
        self.number = number
        self.id = name
        self.ref = ref
        self.connection = connection
        self.work = work
        self.done = False  # true once its answer is written or its connection has ended


class Connection(asyncio.Protocol):
    """A node's connection to a simulated server: reads requests and writes one answer at a time."""

    def __init__(self, server: RequestHandler) -> None:
        self.server = server
        self.transport: asyncio.Transport = cast(asyncio.Transport, None)
        self.codec = server_codec(server.context.scenario)
        self.first = 0  # when the first byte of the incomplete request arrived; 0: there is no such request
        self.asked = False
        self.open: list[Attempt] = []
        self.answering: Attempt | None = None  # attempt whose answer is partly written; others must wait
        self.queued_answers: list[tuple[Attempt, bytes]] = []
        self.idle_since = 0.0
        self.ignoring = False
        self.queued = server.queued
        self.over_limit = False
        self.reset_early = False  # reset after the first read; a small receive buffer keeps it short

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.idle_since = self.server.loop.time()
        self.over_limit = len(self.server.connections) >= self.server.context.scenario.servers.connections
        self.server.connections.add(self)
        self.reset_early = self.server.fault("reset-early") is not None

    def data_received(self, data: bytes) -> None:
        if self.ignoring:
            return
        moment = now()
        self.first = self.first or moment
        try:
            requests = self.codec.feed(data)
        except MalformedStream:
            self.ignoring = True
            self.transport.write(self.codec.bad(400))
            self.transport.close()
            return
        for request in requests:
            if not self.transport.is_closing():
                self.request_received(request)
            self.first = moment  # this data may also hold the first bytes of the next request
        if self.codec.partial() is None:
            self.first = 0
        if self.reset_early:
            self.ignoring = True
            for attempt in list(self.open):  # this request was complete in the first read, so it may have run
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
        """Writes an answer or a part of it; queues it while another answer is partly written."""
        if self.answering is not None and self.answering is not attempt:
            self.queued_answers.append((attempt, data))
            return
        self.transport.write(data)
        self.answering = None if whole else attempt
        while self.answering is None and self.queued_answers:
            _, data = self.queued_answers.pop(0)
            self.transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.connections.discard(self)
        partial = self.codec.partial()
        if partial:
            self.server.note(Partial(now(), self.server.plan.id, partial))
        for attempt in list(self.open):
            self.server.abandoned(attempt, "node")
