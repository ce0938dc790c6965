"""Keeps a TCP link to one address: dials, waits while the link stands, dials again."""

from __future__ import annotations

import asyncio
import socket
from random import Random

from brackenladder.transport.address import Address
from brackenladder.transport.errors import LinkClosed
from brackenladder.transport.keepalive import MICROSECONDS
from brackenladder.transport.link import LinkHandler, LinkTiming, OnRefused
from brackenladder.transport.tcp_link import LinkSettings, TcpLink, set_options


class BackOff:
    """Pauses between attempts: doubling up to a bound, each shortened by up to a half at random."""

    def __init__(self, timing: LinkTiming, random: Random) -> None:
        self._timing = timing
        self._random = random
        self._next = timing.retry_min
        self._refusals = 0

    def pause(self, refused: bool = False) -> int:
        """Microseconds to wait before the next attempt. `refused`: the host answered that nobody listens."""
        longest = self._next
        self._refusals = self._refusals + 1 if refused else 0
        if 0 < self._refusals <= self._timing.refused_tries:
            longest = min(longest, self._timing.refused_pause)
        else:
            self._next = min(2 * longest, self._timing.retry_max)
        return round(longest * self._random.uniform(0.5, 1.0))

    def reset(self) -> None:
        """The next pause is the shortest again."""
        self._next = self._timing.retry_min
        self._refusals = 0


class TcpDialer:
    """A `Dialer`; one task, one attempt at a time."""

    def __init__(
        self,
        settings: LinkSettings,
        address: Address,
        handler: LinkHandler,
        random: Random,
        on_refused: OnRefused,
    ) -> None:
        self.address = str(address)
        self.last_reason: LinkClosed | None = None
        self.attempts = 0
        self._settings = settings
        self._target = address
        self._handler = handler
        self._back_off = BackOff(settings.timing, random)
        self._link: TcpLink | None = None
        self._on_refused = on_refused
        self._closed = False
        self._refused = False  # by the host, at the last attempt
        self._link_ended = asyncio.Event()
        self._task = settings.loop.create_task(self._keep())

    @property
    def link(self) -> TcpLink | None:
        """The link that stands now."""
        link = self._link
        return link if link is not None and link.opened_at is not None else None

    @property
    def done(self) -> bool:
        """It has been closed, and its link is gone."""
        return self._closed and self._link is None

    def close(self) -> None:
        """Stops dialling and closes the link."""
        self._closed = True
        self._task.cancel()
        if self._link is not None:
            self._link.close()

    def abort(self) -> None:
        """Ends at once, dropping what the link has queued."""
        self.close()
        if self._link is not None:
            self._link.abort(LinkClosed.LOCAL)

    async def wait_closed(self) -> None:
        """Returns when the task and the link have ended."""
        await asyncio.gather(self._task, return_exceptions=True)
        if self._link is not None:
            await self._link_ended.wait()

    async def _keep(self) -> None:
        while not self._closed:
            self.attempts += 1
            if await self._connect():
                await self._link_ended.wait()
            await asyncio.sleep(self._back_off.pause(self._refused) / MICROSECONDS)

    async def _connect(self) -> bool:
        """Makes a connection and starts its handshake; False if there is none in time."""
        self._refused = False
        try:
            async with asyncio.timeout(self._settings.timing.connect_timeout / MICROSECONDS):
                connection = await self._open_socket()
        except OSError as error:  # TimeoutError among them
            self._refused = isinstance(error, ConnectionRefusedError)
            self.last_reason = LinkClosed.UNREACHABLE
            return False
        self._link_ended.clear()
        self._link = TcpLink(self._settings, self._handler, self._ended)
        made = self._link
        await self._settings.loop.create_connection(lambda: made, sock=connection)
        return True

    async def _open_socket(self) -> socket.socket:
        connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        try:
            set_options(connection, self._settings.timing)
            await self._settings.loop.sock_connect(connection, (self._target.ip, self._target.port))
            if connection.getsockname() == connection.getpeername():
                raise ConnectionRefusedError("connected to itself")
        except BaseException:
            connection.close()
            raise
        return connection

    def _ended(self, link: TcpLink, reason: LinkClosed) -> None:
        self.last_reason = reason
        self._link = None
        self._link_ended.set()
        if link.opened_at is None:
            self._on_refused(self.address, reason)
        elif self._settings.loop.time() - link.opened_at >= self._settings.timing.stable_after / MICROSECONDS:
            self._back_off.reset()
