"""Client connections: aiohttp's low-level server, with bounds on heads that come slowly."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web
from aiohttp.http_exceptions import LineTooLong
from aiohttp.web_protocol import RequestHandler

from brackenladder.catalog.configuration import Limits
from brackenladder.gateway.answers import Status, own_answer

LONGEST_HEAD_FIELD = 65_536  # bytes; the configured bound on the whole head is lower
MOST_HEADERS = 256
LINGER_SECONDS = 1.0  # how long the rest of a body that is not wanted is read
UNREAD_SECONDS = 30.0  # for so long a client may take no byte of an answer; as the node's door has it
MS_PER_S = 1000.0

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

_silent_logger = logging.getLogger("brackenladder.gateway.aiohttp")
_silent_logger.addHandler(logging.NullHandler())
_silent_logger.propagate = False


class ClientProtocol(RequestHandler):
    """One client connection."""

    __slots__ = ("_head_seconds", "_head_timer", "_unread_timer")

    def __init__(self, manager: ClientServer, limits: Limits, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(
            manager,
            loop=loop,
            keepalive_timeout=limits.idle_timeout_ms / MS_PER_S,
            tcp_keepalive=False,
            logger=_silent_logger,
            access_log=None,  # type: ignore[arg-type]  # as aiohttp's own runner passes it
            max_line_size=LONGEST_HEAD_FIELD,
            max_field_size=LONGEST_HEAD_FIELD,
            max_headers=MOST_HEADERS,
            lingering_time=LINGER_SECONDS,
            auto_decompress=False,
        )
        self._head_seconds = limits.header_timeout_ms / MS_PER_S
        self._head_timer: asyncio.TimerHandle | None = None
        self._unread_timer: asyncio.TimerHandle | None = None

    @property
    def idle(self) -> bool:
        """Whether no request is being served or read."""
        return self._waits and self._head_timer is None

    def data_received(self, data: bytes) -> None:
        """Read on; a head that is begun must be whole within its time."""
        super().data_received(data)
        if self._waits:
            if self._head_timer is None and data:
                self._head_timer = self._loop.call_later(self._head_seconds, self._head_too_slow)
        elif self._head_timer is not None:
            self._stop_timer()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Free the connection."""
        self._stop_timer()
        self._stop_unread_timer()
        super().connection_lost(exc)

    def pause_writing(self) -> None:
        """The client takes nothing of what is written to it.

        Failure prevented: it stays connected and never reads, and its answer is held for ever.
        """
        super().pause_writing()
        self._stop_unread_timer()
        self._unread_timer = self._loop.call_later(UNREAD_SECONDS, self._never_read)

    def resume_writing(self) -> None:
        """It reads again."""
        self._stop_unread_timer()
        super().resume_writing()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being served or read."""
        if self.idle:
            self.force_close()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = Status.BAD_REQUEST,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """The answer to what is no proper request; the connection ends with it."""
        if request.writer.output_size > 0:
            raise ConnectionError("an answer has begun")
        answer = Status.BAD_REQUEST if status == Status.BAD_REQUEST else Status.BAD_GATEWAY
        if isinstance(exc, LineTooLong):
            answer = Status.HEADER_TOO_LARGE
        response = own_answer(answer)
        response.force_close()
        return response

    @property
    def _waits(self) -> bool:
        """Whether the connection waits for a whole head."""
        waiter = self._waiter
        return waiter is not None and not waiter.done() and not self._messages

    def _head_too_slow(self) -> None:
        self._head_timer = None
        if self._waits:
            self.force_close()

    def _never_read(self) -> None:
        self._unread_timer = None
        if self.transport is not None:
            self.transport.abort()

    def _stop_unread_timer(self) -> None:
        if self._unread_timer is not None:
            self._unread_timer.cancel()
            self._unread_timer = None

    def _stop_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None


class ClientServer(web.Server):
    """Makes the connections; a handler is cancelled when its client has gone."""

    def __init__(self, handler: Handler, limits: Callable[[], Limits]) -> None:
        super().__init__(handler, handler_cancellation=True)
        self._limits = limits

    def __call__(self) -> RequestHandler:
        """A new connection, under the limits of this moment."""
        return ClientProtocol(self, self._limits(), asyncio.get_running_loop())

    def close_idle(self) -> None:
        """Close the connections on which nothing is being read or served."""
        for connection in self.connections:
            if isinstance(connection, ClientProtocol):
                connection.close_if_idle()

    def busy(self) -> bool:
        """Whether a connection is left."""
        return bool(self.connections)

    def abort_all(self) -> None:
        """Break off what is left."""
        for connection in self.connections:
            transport: Any = connection.transport
            if transport is not None:
                transport.abort()
