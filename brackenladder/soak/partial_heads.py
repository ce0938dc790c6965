"""Server connections that take the end of a connection for the end of a request's head.

Python's own HTTP server does this. Whatever is written to such a server before its connection is closed is a
request if it holds a request line and whole header lines.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from typing import Any

from aiohttp import web
from aiohttp.web_protocol import RequestHandler
from attrs import frozen

END_OF_LINE = b"\r\n"
END_OF_HEAD = END_OF_LINE * 2
LONGEST_HEAD = 65_536  # bytes; the part of a connection's input that is kept
METHOD = b"POST "  # the method of all requests of the soak


@frozen
class PartialHead:
    """The lines of a head that ended with its connection."""

    path: str
    headers: dict[str, str]  # names in lower case


RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER value that makes a close send a reset

TakePartialHead = Callable[[PartialHead], None]
AdmitConnection = Callable[[], bool]


def reset(transport: asyncio.WriteTransport) -> None:
    """Reset a connection."""
    connection = transport.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    transport.abort()


def partial_head(received: bytes) -> PartialHead | None:
    """The head that a connection's input ends with, if it lacks nothing but its last line end."""
    start = received.rfind(METHOD)
    if start < 0 or END_OF_HEAD in received[start:] or not received.endswith(END_OF_LINE):
        return None
    first, *lines = received[start:].decode("latin-1").split("\r\n")[:-1]
    pairs = [line.partition(": ") for line in lines]
    return PartialHead(first.split(" ")[1], {name.lower(): value for name, _, value in pairs})


class PartialHeadHandler(RequestHandler):
    """A server connection that reports a head which ends with it, and is reset at once if not admitted."""

    __slots__ = ("_admitted", "_received", "_take")

    def __init__(self, manager: web.Server, take: TakePartialHead, admitted: bool, **arguments: Any) -> None:
        super().__init__(manager, loop=asyncio.get_running_loop(), **arguments)
        self._take = take
        self._admitted = admitted
        self._received = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Reset the connection if it is not admitted."""
        super().connection_made(transport)
        if not self._admitted and isinstance(transport, asyncio.WriteTransport):
            reset(transport)

    def data_received(self, data: bytes) -> None:
        """Keep the latest input, and pass it on."""
        self._received = (self._received + data)[-LONGEST_HEAD:]
        super().data_received(data)

    def eof_received(self) -> None:
        """Report a head that ends here."""
        head = partial_head(self._received)
        if head is not None:
            self._take(head)
        super().eof_received()


class PartialHeadServer(web.Server):
    """Creates connections that report heads which end with them; `admit` is asked for each of them."""

    def __init__(self, handler: Any, take: TakePartialHead, admit: AdmitConnection, **arguments: Any) -> None:
        super().__init__(handler, handler_cancellation=True)
        self._take = take
        self._admit = admit
        self._arguments = arguments

    def __call__(self) -> RequestHandler:
        """A new connection."""
        return PartialHeadHandler(self, self._take, self._admit(), **self._arguments)
