"""A listening socket: what waits in its backlog becomes connections, while their owner has room."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress

BACKLOG = 512
ACCEPTS = 64  # connections taken in one go
TAKING = 0.5  # seconds after SIGTERM in which new connections are still taken
HANDOVER = 2.0  # seconds after SIGTERM in which connections stay open to further calls
LOOK = 0.02

Address = tuple[str, int]


class Listener:
    """`admit`: whether one more may be taken now, for which it may make room. `make`: its protocol, counted.

    `lost` hears of a protocol whose connection had gone before it could be attached.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        admit: Callable[[], bool],
        make: Callable[[], asyncio.Protocol],
        lost: Callable[[asyncio.Protocol], None],
    ) -> None:
        self.loop = loop
        self.admit = admit
        self.make = make
        self.lost = lost
        self.sock: socket.socket | None = None
        self.on = False
        self.taking: set[asyncio.Task[None]] = set()

    def start(self, address: Address) -> None:
        """Binds and listens. An OSError if the address cannot be had."""
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind(address)
        sock.listen(BACKLOG)
        self.sock = sock

    def turn(self, on: bool) -> None:
        """Looks at the backlog from now on, or no more."""
        if self.sock is None or on == self.on:
            return
        self.on = on
        if on:
            self.loop.add_reader(self.sock.fileno(), self.accept)
        else:
            self.loop.remove_reader(self.sock.fileno())

    def accept(self) -> None:
        """Takes what waits in the backlog; without room for it, looks no more."""
        for _ in range(ACCEPTS):
            if self.sock is None:
                return
            if not self.admit():
                self.turn(False)
                return
            try:
                connection, _ = self.sock.accept()
            except OSError:  # none waits, or the one that waited has gone
                return
            self.take(connection)

    def take(self, connection: socket.socket) -> None:
        """Makes a connection one of ours."""
        connection.setblocking(False)
        protocol = self.make()
        task = self.loop.create_task(self.attach(protocol, connection))
        self.taking.add(task)  # the loop keeps none: one that nobody holds may be collected half-way
        task.add_done_callback(self.taking.discard)

    async def attach(self, protocol: asyncio.Protocol, connection: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: protocol, connection)
        except OSError:  # gone already
            connection.close()
            self.lost(protocol)

    def stop(self, most: int) -> None:
        """Takes all that waits in the backlog, so many at most, and closes.

        Failure prevented: whoever connects between the last accept and the close is reset, so nothing is
        done in between.
        """
        if self.sock is None:
            return
        self.turn(False)
        sock, self.sock = self.sock, None
        waiting: list[socket.socket] = []
        with suppress(OSError):  # none waits any more
            while len(waiting) < most:
                waiting.append(sock.accept()[0])
        sock.close()
        for connection in waiting:
            self.take(connection)

    async def drain(self, stop: Callable[[], None], look: Callable[[float], bool]) -> None:
        """Ends the service once it has been handed over.

        After TAKING seconds `stop` ends the listening. `look` is called again and again with the seconds
        since the beginning, until it finds no connection left and nobody listens any more.
        """
        start = self.loop.time()
        while look(self.loop.time() - start) or self.sock is not None:
            if self.sock is not None and self.loop.time() >= start + TAKING:
                stop()
            await asyncio.sleep(LOOK)
