"""Whether a connection's socket holds input that the process has not read."""

from __future__ import annotations

import asyncio
import fcntl
import termios


def has_unread_input(transport: asyncio.BaseTransport | None) -> bool:
    """Whether unread bytes are in the socket; False for a connection that is closing or closed."""
    if transport is None or transport.is_closing():
        return False
    descriptor = transport.get_extra_info("socket").fileno()
    return any(fcntl.ioctl(descriptor, termios.FIONREAD, b"\0\0\0\0"))
