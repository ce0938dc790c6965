"""The gateway's listeners for clients (`Front`) and readiness checks (`Ready`), and its shutdown."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from socket import socket

import logbook
from aiohttp import web

from brackenladder.delivery.view import SystemView
from brackenladder.gateway.answers import Status, own_answer
from brackenladder.gateway.clients import ClientServer
from brackenladder.gateway.connections import OpenSocket, ServerConnections, server_socket
from brackenladder.gateway.context import GatewayContext
from brackenladder.gateway.exchange import Exchange
from brackenladder.gateway.failures import FailureLog
from brackenladder.gateway.metrics import METRICS_PATH, metrics_text
from brackenladder.gateway.pools import PoolFactory, ServicePools, pool_factory
from brackenladder.gateway.promises import PromiseLog
from brackenladder.gateway.start_gate import StartGate
from brackenladder.invariants import VIOLATIONS
from brackenladder.platform_settings import Platform
from brackenladder.prefix_cache.announcer import PrefixAnnouncer
from brackenladder.prefix_cache.messages import PrefixNotices

READY_PATH = "/-/readyz"
BACKLOG = 1024  # connections that wait to be accepted
# Fraction of the grace period in which new requests are accepted, since clients may still use an outdated
# directory response.
INTAKE_FRACTION = 0.4
# A request that was sent later than this after SIGTERM has to be answered fully, however long it takes. One
# that was sent earlier may be aborted at the end of the grace period (rule LOST of the soak test).
LATEST_EXCUSED_SECONDS = 3.0
MAX_INTAKE_SECONDS = LATEST_EXCUSED_SECONDS - 0.3  # 0.3 s for requests that are still accepted to arrive
# Fraction of the grace period, at its end, in which open calls are given up. The soak test's rules excuse a
# server that is aborted in the last sixth of the period.
GIVE_UP_FRACTION = 1 / 10
MAX_GIVE_UP_SECONDS = 0.7
DRAIN_STEP_SECONDS = 0.1

log = logbook.Logger("gateway")


def _discard_notices() -> None:
    """Ignores notices of prefixes that servers have cached, for a gateway that has no peers."""


class Gateway:
    """Serves clients, with the configuration and the servers that the view holds."""

    def __init__(
        self,
        platform: Platform,
        view: SystemView,
        clock: Callable[[], int],
        random: Random,
        announcer: PrefixAnnouncer | None = None,
        make_pool: PoolFactory | None = None,
        front: socket | None = None,
        open_socket: OpenSocket = server_socket,
    ) -> None:
        """`announcer` is told which prefixes servers are sent; `front` is a listening socket for clients.

        `open_socket` creates the sockets of connections to servers.
        """
        self._ready = False
        self._start_gate: StartGate
        self._platform = platform
        self._view = view
        self._clock = clock
        self._random = random
        self._announcer = announcer or PrefixAnnouncer(_discard_notices)
        self._make_pool = make_pool
        self._front = front
        self._open_socket = open_socket
        self._failures = FailureLog(log, clock)
        self._listeners: list[asyncio.Server] = []
        self._clients: ClientServer
        self._connections: ServerConnections
        self._context: GatewayContext

    async def start(self) -> None:
        """Start listening. Raises OSError if an address can't be bound."""
        loop = asyncio.get_running_loop()
        make_pool = self._make_pool or pool_factory(
            self._view, self._platform, self._clock, self._random, self._announcer, log.info
        )
        self._connections = ServerConnections(loop, self._open_socket)
        pools = ServicePools(
            self._view, self._connections, self._clock, self._random, self._failures, make_pool
        )
        self._start_gate = StartGate(self._view)
        promises = PromiseLog(self._clock)
        self._context = GatewayContext(self._clock, pools, self._failures, self._start_gate, promises)
        self._clients = ClientServer(self._handle, lambda: pools.limits)
        readiness = web.Server(self._serve_check, access_log=None)
        listen = self._platform.listen
        if self._front is not None:
            self._listeners.append(await loop.create_server(self._clients, sock=self._front, backlog=BACKLOG))
        else:
            await self._listen(listen.front, self._clients)
        await self._listen(listen.ready, readiness)

    async def drain(self, grace_s: float) -> None:
        """Shut down within the grace period: accept requests a while longer, then finish the open ones."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        self.ready = False
        self._context.draining = True
        await self._drained(began + intake_seconds(grace_s), until_idle=False)
        self._context.intake_closed = True
        self._listeners[0].close()
        if not await self._drained(began + grace_s - give_up_seconds(grace_s), until_idle=True):
            await self._give_up()

    async def _give_up(self) -> None:
        """Answer all requests that have no response yet, and abort the responses that have begun.

        Without this, a request that is queued or whose server is silent would only see its connection closed.
        """
        self._failures("aborted at the end of the grace period", str(len(self._clients.connections)))
        self._context.pools.give_up()
        await asyncio.sleep(DRAIN_STEP_SECONDS)
        self._clients.abort_all()

    async def close(self) -> None:
        """Close all listeners and connections at once."""
        for listener in self._listeners:
            listener.close()
        self._clients.abort_all()
        self._context.pools.close()
        await self._connections.close()

    def check_held_calls(self) -> None:
        """Count the calls that are held beyond their time limits; has to be called periodically."""
        self._context.held_calls.check_limits(self._clock())

    @property
    def ready(self) -> bool:
        """Whether readiness checks succeed."""
        return self._ready

    @ready.setter
    def ready(self, ready: bool) -> None:
        self._ready = ready
        if ready:
            self._start_gate.open()

    def receive_prefix_notices(self, message: PrefixNotices) -> None:
        """Pass on the notices of other gateways about prefixes that servers have been sent."""
        now = self._clock()
        for notice in message.notices:
            self._announcer.record_received(now, notice)
        self._context.pools.receive_prefix_notices(now, message.notices)

    @property
    def addresses(self) -> list[tuple[str, int]]:
        """The addresses that the gateway listens on: for clients and for readiness checks."""
        return [listener.sockets[0].getsockname()[:2] for listener in self._listeners]

    async def _listen(self, address: str, factory: Callable[[], asyncio.BaseProtocol]) -> None:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(factory, host, int(port), backlog=BACKLOG, reuse_address=True)
        self._listeners.append(listener)

    async def _drained(self, until: float, until_idle: bool) -> bool:
        """Wait for the time `until`, or with `until_idle` for the last connection; True if none is left."""
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            if until_idle:
                self._clients.close_idle()
                if not self._clients.busy():
                    return True
            await asyncio.sleep(min(DRAIN_STEP_SECONDS, max(0.0, until - loop.time())))
        return not self._clients.busy()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        try:
            return await Exchange(self._context, request).handle()
        except Exception as error:  # an exception of any kind affects only this request
            self._failures(f"fault in a request: {type(error).__name__}", repr(error))
            if request.writer.output_size > 0:
                self._abort(request)
            return own_answer(Status.BAD_GATEWAY)

    def _abort(self, request: web.BaseRequest) -> None:
        if request.transport is not None:
            request.transport.abort()

    async def _serve_check(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == METRICS_PATH:
            counters, violations = self._context.pools.counters(), VIOLATIONS.violations()
            return web.Response(text=metrics_text(counters, self._context.promises.lines(), violations))
        if request.path != READY_PATH:
            return own_answer(Status.NOT_FOUND)
        return web.Response(status=200) if self.ready else own_answer(Status.UNAVAILABLE)


def intake_seconds(grace_s: float) -> float:
    """How many seconds after SIGTERM new requests are accepted."""
    return min(grace_s * INTAKE_FRACTION, MAX_INTAKE_SECONDS)


def give_up_seconds(grace_s: float) -> float:
    """How many seconds before the end of the grace period the open calls are given up."""
    return min(grace_s * GIVE_UP_FRACTION, MAX_GIVE_UP_SECONDS)
