"""What the tests of endings share: sockets that act between two turns of the loop, and connects that wait."""

from __future__ import annotations

import asyncio
import select
import socket
import struct
from typing import Any

LEAVES = ("fin", "rst")


def leave(sock: socket.socket, how: str) -> None:
    """Ends a connection in order or by a reset, at once."""
    if how == "rst":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


class Raw:
    """A client whose bytes and whose end are in the node's socket when this returns: the loop has not run."""

    def __init__(self, port: int, data: bytes = b"") -> None:
        self.sock = socket.create_connection(("127.0.0.1", port))
        self.sock.settimeout(20)
        self.send(data)

    def send(self, data: bytes) -> None:
        self.sock.sendall(data)

    def leave(self, how: str) -> None:
        leave(self.sock, how)

    async def answer(self, size: int = 65536) -> bytes:
        """What comes next, with the loop running."""
        return await asyncio.get_running_loop().run_in_executor(None, self.sock.recv, size)


class HeldConnects:
    """A loop whose connects are up, and told of at `go`: what happens meanwhile crosses their coming up."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.go = asyncio.Event()
        self.up = 0
        self.last: Any = None  # the transport that came up last

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)

    async def create_connection(self, *args: Any, **kwargs: Any) -> Any:
        pair = await self.loop.create_connection(*args, **kwargs)
        self.last = pair[0]
        self.up += 1
        await self.go.wait()
        return pair

    def wait_for_its_end(self) -> None:
        """Until the other side's end is in the socket: a busy machine is late with it. The loop stands."""
        poll = select.poll()
        poll.register(self.last.get_extra_info("socket").fileno(), select.POLLRDHUP)
        assert poll.poll(20_000)


def hold_connects(bench: Any) -> HeldConnects:
    """From now on the node's connects to servers wait."""
    pool = bench.pool.upstream.pool
    pool.loop = held = HeldConnects(pool.loop)
    return held
