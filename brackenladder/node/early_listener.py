"""The gateway's socket for clients, opened before the rest of the program is loaded."""

from __future__ import annotations

import socket

BACKLOG = 1024  # connections that wait to be accepted


def open_early(address: str) -> socket.socket | None:
    """Listen at "ip:port"; None if that is not possible now, and the gateway tries again once it is loaded.

    Failure prevented: all processes were killed, and for the half second in which a gateway loads its modules
    clients are refused the connection, come again at once, and have used up their tries. Connections that are
    made meanwhile wait in the kernel's queue.
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
