"""A proxy before one stand-in server: the network of its host. SIGUSR1 takes the host off the network.

From then on it answers no new connection, as a machine without power: connection attempts hang. Connections
that exist end in order when their process dies, as a kernel ends them.
"""

from __future__ import annotations

import asyncio
import signal
import socket
import sys
from contextlib import suppress

LEAST_BACKLOG = 1
FILLING_CONNECTIONS = 8  # more than the queue of the listening socket holds, so that it drops what follows
READ_BYTES = 65536


class HostNetwork:
    """Passes connections on to the server's process until the host goes off the network."""

    def __init__(self, ip: str, port: int, own_port: int) -> None:
        self.ip = ip
        self.port = port
        self.own_port = own_port
        self.off = False
        self._filling: list[socket.socket] = []
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((ip, port))
        self._listener.listen(64)
        self._listener.setblocking(False)

    async def run(self) -> None:
        """Accept connections until the host goes off, then none."""
        loop = asyncio.get_running_loop()
        accepting = asyncio.create_task(self._accept(loop))
        loop.add_signal_handler(signal.SIGUSR1, self._go_off, accepting)
        await asyncio.Event().wait()

    async def _accept(self, loop: asyncio.AbstractEventLoop) -> None:
        tasks: set[asyncio.Task[None]] = set()
        while True:
            connection, _ = await loop.sock_accept(self._listener)
            task = loop.create_task(self._pass_on(connection))
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    async def _pass_on(self, connection: socket.socket) -> None:
        reader, writer = await asyncio.open_connection(sock=connection)
        with suppress(OSError):
            server_reader, server_writer = await asyncio.open_connection(self.ip, self.own_port)
            await asyncio.gather(_copy(reader, server_writer), _copy(server_reader, writer))
        writer.close()

    def _go_off(self, accepting: asyncio.Task[None]) -> None:
        accepting.cancel()
        self.off = True
        self._listener.listen(LEAST_BACKLOG)
        for _ in range(FILLING_CONNECTIONS):
            filling = socket.socket()
            filling.setblocking(False)
            with suppress(BlockingIOError):
                filling.connect((self.ip, self.port))
            self._filling.append(filling)


async def _copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Copy until the end, and end the other side in the same way: in order, or with a reset."""
    try:
        while data := await reader.read(READ_BYTES):
            writer.write(data)
            await writer.drain()
        writer.close()
    except OSError:
        writer.transport.abort()


if __name__ == "__main__":
    asyncio.run(HostNetwork(sys.argv[1], int(sys.argv[2]), int(sys.argv[3])).run())
