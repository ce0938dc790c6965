"""Shared by the tests of endings: sockets that act between two loop iterations, and delayed connects."""

from __future__ import annotations

import asyncio
import select
import socket
import struct
from typing import Any

LEAVES = ("fin", "rst")


def leave(sock: socket.socket, how: str) -> None:
    """Closes a connection at once, normally or with a reset."""
    if how == "rst":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


class Raw:
    """A client with a blocking socket: what it does reaches the node's socket before the loop runs again."""

    def __init__(self, port: int, data: bytes = b"") -> None:
        self.sock = socket.create_connection(("127.0.0.1", port))
        self.sock.settimeout(20)
        self.send(data)

    def send(self, data: bytes) -> None:
        self.sock.sendall(data)

    def leave(self, how: str) -> None:
        leave(self.sock, how)

    async def answer(self, size: int = 65536) -> bytes:
        """Receives the next bytes while the loop runs."""
        return await asyncio.get_running_loop().run_in_executor(None, self.sock.recv, size)


class HeldConnects:
    """A loop that connects at once but reports it only once `go` is set, so that tests can act in between."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.go = asyncio.Event()
        self.up = 0
        self.last: Any = None  # the transport of the last connection

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)

    async def create_connection(self, *args: Any, **kwargs: Any) -> Any:
        pair = await self.loop.create_connection(*args, **kwargs)
        self.last = pair[0]
        self.up += 1
        await self.go.wait()
        return pair

    def wait_for_its_end(self) -> None:
        """Blocks the loop until the other side's close is in the socket, which takes time under load."""
        poll = select.poll()
        poll.register(self.last.get_extra_info("socket").fileno(), select.POLLRDHUP)
        assert poll.poll(20_000)


def hold_connects(bench: Any) -> HeldConnects:
    """Delays the node's connects to servers from now on."""
    pool = bench.pool.upstream.pool
    pool.loop = connects = HeldConnects(pool.loop)
    return connects
