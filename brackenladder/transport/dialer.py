"""Keeps a TCP link to one address: connects, waits until the link ends, and reconnects."""

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
    """Computes the pause between connection attempts: exponential back-off with up to 50% jitter."""

    def __init__(self, timing: LinkTiming, random: Random) -> None:
        self._timing = timing
        self._random = random
        self._next = timing.retry_min
        self._refusals = 0

    def pause(self, refused: bool = False) -> int:
        """Returns the microseconds to wait before the next attempt.

        `refused` says that the last attempt ended with ECONNREFUSED: the host is up but no process listens on
        the port. The process is probably restarting, so the pauses after the first `refused_tries` refusals
        in a row stay short.
        """
        longest = self._next
        self._refusals = self._refusals + 1 if refused else 0
        if 0 < self._refusals <= self._timing.refused_tries:
            longest = min(longest, self._timing.refused_pause)
        else:
            self._next = min(2 * longest, self._timing.retry_max)
        return round(longest * self._random.uniform(0.5, 1.0))

    def reset(self) -> None:
        """Makes the next pause the shortest again."""
        self._next = self._timing.retry_min
        self._refusals = 0


class TcpDialer:
    """A `Dialer` that runs one task and makes one attempt at a time."""

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
        self._refused = False  # whether the last attempt ended with ECONNREFUSED
        self._link_ended = asyncio.Event()
        self._task = settings.loop.create_task(self._keep())

    @property
    def link(self) -> TcpLink | None:
        """The open link, or None."""
        link = self._link
        return link if link is not None and link.opened_at is not None else None

    @property
    def done(self) -> bool:
        """Whether the dialer is closed and its link has ended."""
        return self._closed and self._link is None

    def close(self) -> None:
        """Stops connecting and closes the link."""
        self._closed = True
        self._task.cancel()
        if self._link is not None:
            self._link.close()

    def abort(self) -> None:
        """Closes at once and drops the messages queued on the link."""
        self.close()
        if self._link is not None:
            self._link.abort(LinkClosed.LOCAL)

    async def wait_closed(self) -> None:
        """Waits until the task and the link have ended."""
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
        """Connects and starts the handshake. Returns False if connecting failed or timed out."""
        self._refused = False
        try:
            async with asyncio.timeout(self._settings.timing.connect_timeout / MICROSECONDS):
                connection = await self._open_socket()
        except OSError as error:  # includes TimeoutError
            self._refused = isinstance(error, ConnectionRefusedError)
            self.last_reason = LinkClosed.UNREACHABLE
            return False
        self._link_ended.clear()
        self._link = TcpLink(self._settings, self._handler, self._ended)
        link = self._link
        await self._settings.loop.create_connection(lambda: link, sock=connection)
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
