"""Opens the gateway's client socket before the rest of the program is imported."""

from __future__ import annotations

import socket

BACKLOG = 1024  # connections that the kernel queues until the gateway accepts them


def open_early(address: str) -> socket.socket | None:
    """Listens at "ip:port". Returns None if that fails; the gateway then tries again once it is loaded.

    Importing the gateway takes about half a second. Without this socket, clients that connect in that time
    (for example after all processes were killed) would be refused, retry at once and use up their attempts.
    With it, their connections wait in the kernel's queue.
    """
    host, _, port = address.rpartition(":")
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, int(port)))
        listener.listen(BACKLOG)
    except (OSError, ValueError, OverflowError):
        listener.close()
        return None
    listener.setblocking(False)
    return listener
