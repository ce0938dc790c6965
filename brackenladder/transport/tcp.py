"""The transport over TCP, on the running event loop."""

from __future__ import annotations

import asyncio
import errno
import socket
from random import Random

from brackenladder.transport.address import Address, parse_address
from brackenladder.transport.codec import Codec
from brackenladder.transport.dialer import TcpDialer
from brackenladder.transport.errors import LinkClosed, ListenError
from brackenladder.transport.keepalive import MICROSECONDS, Keepalive
from brackenladder.transport.link import LinkHandler, LinkLimits, LinkTiming, OnRefused, ProtocolVersions
from brackenladder.transport.tcp_link import LinkSettings, RefusedConnection, TcpLink

BACKLOG = 512  # connections that the kernel queues until they are accepted


class TcpTransport:
    """A `Transport`. It has to be created and used in one running event loop."""

    def __init__(
        self,
        codec: Codec,
        timing: LinkTiming,
        random: Random,
        *,
        name: str = "",
        versions: ProtocolVersions | None = None,
        limits: LinkLimits | None = None,
        on_refused: OnRefused | None = None,
    ) -> None:
        loop = asyncio.get_running_loop()
        self._settings = LinkSettings(
            loop=loop,
            codec=codec,
            timing=timing,
            limits=limits or LinkLimits(),
            versions=versions or ProtocolVersions(),
            name=name,
            keepalive=Keepalive(loop, timing),
        )
        self._random = random
        self._on_refused = on_refused
        self._servers: list[asyncio.Server] = []
        self._bound: list[Address] = []
        self._incoming: set[TcpLink] = set()
        self._dialers: list[TcpDialer] = []
        self._all_ended = asyncio.Event()
        self._closed = False

    @property
    def listening(self) -> tuple[str, ...]:
        """The bound addresses, in the order of the calls of `listen`."""
        return tuple(str(each) for each in self._bound)

    async def listen(self, address: str, handler: LinkHandler) -> None:
        """Accepts links at "ip:port". While the address is in use, retries for up to `listen_timeout`."""
        listener = await self._bind(parse_address(address))
        ip, port = listener.getsockname()
        server = await self._settings.loop.create_server(
            lambda: self._accept(handler), sock=listener, backlog=BACKLOG
        )
        self._servers.append(server)
        self._bound.append(Address(ip, port))

    def dial(self, address: str, handler: LinkHandler) -> TcpDialer:
        """Keeps a link to `address` until the dialer is closed. A closed transport closes it at once."""
        self._dialers = [each for each in self._dialers if not each.done]
        target = parse_address(address)
        dialer = TcpDialer(self._settings, target, handler, self._random, self._refused)
        self._dialers.append(dialer)
        if self._closed:
            dialer.close()
        return dialer

    async def close(self) -> None:
        """Closes listeners, dialers and links. Queued messages have `close_grace` to be sent."""
        self._closed = True
        for server in self._servers:
            server.close()
        for dialer in self._dialers:
            dialer.close()
        for link in tuple(self._incoming):
            link.close()
        try:
            async with asyncio.timeout(self._settings.timing.close_grace / MICROSECONDS):
                await self._wait_ended()
        except TimeoutError:
            self._abort_all()
            await self._wait_ended()

    def _accept(self, handler: LinkHandler) -> asyncio.Protocol:
        if len(self._incoming) >= self._settings.limits.incoming:
            return RefusedConnection(self._refused)
        link = TcpLink(self._settings, handler, self._incoming_ended)
        self._incoming.add(link)
        return link

    def _incoming_ended(self, link: TcpLink, reason: LinkClosed) -> None:
        self._incoming.discard(link)
        if not self._incoming:
            self._all_ended.set()
        if link.opened_at is None:
            self._refused(link.remote, reason)

    def _refused(self, remote: str, reason: LinkClosed) -> None:
        if self._on_refused is not None:
            self._on_refused(remote, reason)

    async def _bind(self, address: Address) -> socket.socket:
        timing, loop = self._settings.timing, self._settings.loop
        deadline = loop.time() + timing.listen_timeout / MICROSECONDS
        while not self._closed:
            try:
                return _bound_socket(address)
            except OSError as fault:
                if fault.errno != errno.EADDRINUSE or loop.time() >= deadline:
                    raise ListenError(f"{address}: {fault.strerror}") from fault
            await asyncio.sleep(timing.listen_retry / MICROSECONDS)
        raise ListenError(f"{address}: the transport is closed")

    async def _wait_ended(self) -> None:
        for dialer in self._dialers:
            await dialer.wait_closed()
        while self._incoming:
            self._all_ended.clear()
            await self._all_ended.wait()

    def _abort_all(self) -> None:
        for dialer in self._dialers:
            dialer.abort()
        for link in tuple(self._incoming):
            link.abort(LinkClosed.LOCAL)
            if not link.connected:
                # If a connection is accepted in the loop iteration in which the listener closes, asyncio
                # drops it without calling its protocol. Waiting for its end would never return.
                self._incoming.discard(link)


def _bound_socket(address: Address) -> socket.socket:
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((address.ip, address.port))
        listener.listen(BACKLOG)
    except BaseException:
        listener.close()
        raise
    return listener
