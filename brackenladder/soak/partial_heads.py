"""Server connections that take the end of a connection for the end of a request's head.

Python's own HTTP server does this. Whatever is written to such a server before its connection is closed is a
request if it holds a request line and whole header lines.
"""

from __future__ import annotations

import asyncio
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


TakePartialHead = Callable[[PartialHead], None]


def partial_head(received: bytes) -> PartialHead | None:
    """The head that a connection's input ends with, if it lacks nothing but its last line end."""
    start = received.rfind(METHOD)
    if start < 0 or END_OF_HEAD in received[start:] or not received.endswith(END_OF_LINE):
        return None
    first, *lines = received[start:].decode("latin-1").split("\r\n")[:-1]
    pairs = [line.partition(": ") for line in lines]
    return PartialHead(first.split(" ")[1], {name.lower(): value for name, _, value in pairs})


class PartialHeadHandler(RequestHandler):
    """A server connection that reports a head which ends with it."""

    __slots__ = ("_received", "_take")

    def __init__(self, manager: web.Server, take: TakePartialHead, **arguments: Any) -> None:
        super().__init__(manager, loop=asyncio.get_running_loop(), **arguments)
        self._take = take
        self._received = b""

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
    """Creates connections that report heads which end with them."""

    def __init__(self, handler: Any, take: TakePartialHead, **arguments: Any) -> None:
        super().__init__(handler, handler_cancellation=True)
        self._take = take
        self._arguments = arguments

    def __call__(self) -> RequestHandler:
        """A new connection."""
        return PartialHeadHandler(self, self._take, **self._arguments)
