"""A listening socket: what waits in its backlog becomes connections, while there is room for them."""

from __future__ import annotations

import asyncio
import errno
import fcntl
import select
import socket
import termios
from collections.abc import Callable
from contextlib import suppress
from typing import cast

from brackenladder.core.ending import TAKING

BACKLOG = 512
ACCEPTS = 64  # connections taken in one go
FRESH = 0.05  # seconds after the accept in which a client may bring its first bytes undisturbed
STALLED = 0.5  # seconds after which an incomplete request may be given up for want of room
LINGER = 1.0  # seconds in which the client may read a last answer while it is still sending
LOOK = 0.02

Address = tuple[str, int]


class Guest(asyncio.Protocol):
    """A client's connection. `asked`: a request has come whole; `since`: the accept, or the first byte of the
    request that has begun; `active`: the last moment at which something came or went."""

    LEAVES = select.POLLRDHUP  # what of its end waits in the socket says that it has left

    def __init__(self, now: float) -> None:
        self.transport: asyncio.Transport = cast(asyncio.Transport, None)
        self.asked = False
        self.since = now
        self.active = now

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def occupied(self) -> bool:
        """Whether requests are open here or wait, or nothing more is read."""
        raise NotImplementedError

    def halfway(self) -> bool:
        """Whether a request has begun and not come whole."""
        raise NotImplementedError

    def unread(self) -> bool:
        """Whether bytes wait in the socket: closing now would reset a client that has just sent."""
        if self.transport is None or self.transport.is_closing():
            return False
        number = self.transport.get_extra_info("socket").fileno()
        return any(fcntl.ioctl(number, termios.FIONREAD, b"\0\0\0\0"))

    def unflushed(self) -> bool:
        """Whether part of an answer is still in this process: closing now would cut it off."""
        return bool(self.transport is not None and self.transport.get_write_buffer_size())

    def gone(self) -> bool:
        """Whether the client's end waits in the socket."""
        if self.transport is None or self.transport.is_closing():
            return True
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), self.LEAVES)
        return bool(poll.poll(0))

    def idle(self) -> bool:
        """Whether no request is open, has begun or waits in the socket, and every answer is on its way."""
        return not self.occupied() and not self.halfway() and not self.unflushed() and not self.unread()


class Listener:
    """`most`: connections in all. `make` gives the protocol of one that is being taken."""

    def __init__(self, loop: asyncio.AbstractEventLoop, most: int, make: Callable[[], Guest]) -> None:
        self.loop = loop
        self.most = most
        self.make = make
        self.guests: set[Guest] = set()
        self.sock: socket.socket | None = None
        self.shared = False  # the socket is also our predecessor's, and our successor's
        self.on = False
        self.look: asyncio.TimerHandle | None = None  # at who may have become spare
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
        self.listen()

    def adopt(self, number: int) -> None:
        """Listens on a socket that was handed down as a descriptor. An OSError if it is no such socket."""
        sock = socket.socket(fileno=number)
        if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            raise OSError(errno.EINVAL, "the passed descriptor is no listening socket")
        sock.setblocking(False)
        self.sock = sock
        self.shared = True
        self.listen()

    def listen(self) -> None:
        """Takes connections while there is room for them, or while room can be made.

        Failure prevented: once silent connections have taken every place, nobody is let in until the slow
        ones are swept, and requests wait unseen in the backlog beyond their time.
        """
        if self.sock is None:
            return
        room = len(self.guests) < self.most or self.spare() is not None
        self.turn(room)
        if not room and self.look is None:
            self.look = self.loop.call_later(FRESH, self.look_again)

    def look_again(self) -> None:
        """Those who have just come may have become spare."""
        self.look = None
        self.listen()

    def spare(self) -> Guest | None:
        """A connection to close for another: one that never asked, else an idle one, else one that stalls.

        Of each sort the one that has been so longest. Failure prevented: hundreds that connect and say
        nothing, or half of something, push out clients that are served, or one that was just let in.
        """
        now = self.loop.time()
        spare = [
            g
            for g in self.guests
            if g.transport is not None
            and not g.occupied()
            and (g.asked or now - g.since > FRESH)
            and (not g.halfway() or now - g.since > STALLED)
            and (now - g.active > LINGER or not g.unflushed())
        ]
        spare.sort(key=lambda g: (g.halfway(), g.asked, g.active))
        return next((g for g in spare if not g.unread()), None)

    def make_room(self) -> bool:
        """Closes a spare connection; whether there was one."""
        guest = self.spare()
        if guest is None:
            return False
        self.guests.discard(guest)
        guest.transport.abort()
        return True

    def left(self, guest: Guest) -> None:
        """A connection has ended."""
        self.guests.discard(guest)
        self.listen()

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
        """Takes what waits in the backlog."""
        for _ in range(ACCEPTS):
            if self.sock is None or not (len(self.guests) < self.most or self.make_room()):
                break
            try:
                connection, _ = self.sock.accept()
            except OSError:  # none waits, or the one that waited has gone
                break
            self.take(connection)
        self.listen()

    def take(self, connection: socket.socket) -> None:
        """Makes a connection one of ours."""
        connection.setblocking(False)
        guest = self.make()
        self.guests.add(guest)
        task = self.loop.create_task(self.attach(guest, connection))
        self.taking.add(task)  # the loop keeps none: one that nobody holds may be collected half-way
        task.add_done_callback(self.taking.discard)

    async def attach(self, guest: Guest, connection: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: guest, connection)
        except OSError:  # gone already
            connection.close()
            self.guests.discard(guest)

    def stop(self) -> None:
        """Takes all that waits in the backlog and closes. What waits on a shared socket is the successor's.

        Failure prevented: whoever connects between the last accept and the close is reset, so nothing is
        done in between.
        """
        if self.sock is None:
            return
        self.turn(False)
        sock, self.sock = self.sock, None
        waiting: list[socket.socket] = []
        with suppress(OSError):  # none waits any more
            while not self.shared and len(self.guests) + len(waiting) < self.most:
                waiting.append(sock.accept()[0])
        sock.close()
        for connection in waiting:
            self.take(connection)

    async def drain(self, look: Callable[[float], None]) -> None:
        """Ends the service once it has been handed over.

        After TAKING seconds nobody listens any more. `look` is called again and again with the seconds since
        the beginning, and closes what may be closed, until no connection is left.
        """
        start = self.loop.time()
        while self.sock is not None or self.guests:
            since = self.loop.time() - start
            if since >= TAKING or self.shared:
                self.stop()
            look(since)
            await asyncio.sleep(LOOK)
