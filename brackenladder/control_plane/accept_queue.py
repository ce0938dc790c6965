"""A listening socket whose connections know their fence (see `fences`)."""

from __future__ import annotations

import select
import socket
from typing import Any

from brackenladder.control_plane.fences import AcceptFence, NewestIndex


class AcceptQueue(socket.socket):
    """A listening socket that notes the fence of each connection at the moment it is accepted.

    asyncio creates a connection's protocol some time after it has accepted the connection. By then the fence
    of connections that are still to be accepted may have risen.
    """

    def __init__(self, address: str, newest_index: NewestIndex) -> None:
        """Binds the address "ip:port". Raises OSError if it can't be bound."""
        host, _, port = address.rpartition(":")
        super().__init__(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
        self._fence = AcceptFence(newest_index)
        self._accepted: dict[int, int] = {}  # fences of connections without a protocol, by descriptor
        self._poll = select.poll()
        try:
            self.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.setblocking(False)
            self.bind((host, int(port)))
        except OSError:
            self.close()
            raise
        self._poll.register(self.fileno(), select.POLLIN)

    def accept(self) -> tuple[socket.socket, Any]:
        """See `socket.socket.accept`."""
        try:
            connection, address = super().accept()
        except BlockingIOError:
            self._fence.found_empty()
            raise
        self._accepted[connection.fileno()] = self._fence.index
        return connection, address

    def take_fence(self, descriptor: int) -> int:
        """The fence of the accepted connection with this descriptor."""
        return self._accepted.pop(descriptor)

    def check_empty(self) -> None:
        """Raises the fence if no connection waits; to be called when the newest known index has risen."""
        if not self._poll.poll(0):
            self._fence.found_empty()
