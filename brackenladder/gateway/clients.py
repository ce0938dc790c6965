"""Client connections: aiohttp's low-level server, with timeouts for slow heads and unread responses."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

from aiohttp import web
from aiohttp.http_exceptions import LineTooLong
from aiohttp.web_protocol import RequestHandler

from brackenladder.catalog.configuration import Limits
from brackenladder.gateway.answers import Status, own_answer
from brackenladder.gateway.promises import ClientPlace

# Bytes of the request line, or of one header field; the configured limit of the whole head is lower.
MAX_HEAD_FIELD = 65_536
MAX_HEADERS = 256
LINGER_SECONDS = 1.0  # how long the rest of an unwanted request body is read before the connection is closed
UNREAD_SECONDS = 30.0  # how long a client may read nothing of its response; the HTTP node uses the same limit
MS_PER_S = 1000.0

if TYPE_CHECKING:
    from aiohttp.abc import AbstractStreamWriter
    from aiohttp.http_parser import RawRequestMessage
    from aiohttp.streams import StreamReader

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

_silent_logger = logging.getLogger("brackenladder.gateway.aiohttp")
_silent_logger.addHandler(logging.NullHandler())
_silent_logger.propagate = False


class ClientProtocol(RequestHandler):
    """One client connection."""

    __slots__ = ("_arrivals", "_head_seconds", "_head_timer", "_number", "_requests", "_unread_timer")

    def __init__(
        self, manager: ClientServer, limits: Limits, loop: asyncio.AbstractEventLoop, number: int
    ) -> None:
        """`number`: of the connection, among all that this gateway has accepted."""
        super().__init__(
            manager,
            loop=loop,
            keepalive_timeout=limits.idle_timeout_ms / MS_PER_S,
            tcp_keepalive=False,
            logger=_silent_logger,
            access_log=None,  # type: ignore[arg-type]  # aiohttp's own runner passes None as well
            max_line_size=MAX_HEAD_FIELD,
            max_field_size=MAX_HEAD_FIELD,
            max_headers=MAX_HEADERS,
            lingering_time=LINGER_SECONDS,
            auto_decompress=False,
        )
        self._number = number
        self._requests = 0  # requests that were begun on this connection
        self._arrivals: deque[float] = deque()  # when each waiting request was read, by the loop's clock
        self._head_seconds = limits.header_timeout_ms / MS_PER_S
        self._head_timer: asyncio.TimerHandle | None = None
        self._unread_timer: asyncio.TimerHandle | None = None

    @property
    def idle(self) -> bool:
        """Whether no request is being served or read."""
        return self._awaiting_head and self._head_timer is None

    def data_received(self, data: bytes) -> None:
        """Feed the parser, and start the timeout of a request head that has begun to arrive."""
        known = len(self._messages)
        super().data_received(data)
        self._arrivals.extend([self._loop.time()] * (len(self._messages) - known))
        if self._awaiting_head:
            if self._head_timer is None and data:
                self._head_timer = self._loop.call_later(self._head_seconds, self._head_too_slow)
        elif self._head_timer is not None:
            self._stop_head_timer()

    def next_arrival(self) -> float:
        """When the head of the request that is served next was read, by the loop's clock.

        A pipelined request's deadline counts from this moment. If it counted from the start of its
        processing, servers would be told more time than the client has left.
        """
        return self._arrivals.popleft() if self._arrivals else self._loop.time()

    def next_place(self) -> ClientPlace:
        """The place of the request that is served next."""
        self._requests += 1
        return ClientPlace(self._number, self._requests)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop the timers."""
        self._stop_head_timer()
        self._stop_unread_timer()
        super().connection_lost(exc)

    def pause_writing(self) -> None:
        """Start the timeout of a client that does not read its response.

        Without it, a client that stays connected and never reads would keep its response in memory for ever.
        """
        super().pause_writing()
        self._stop_unread_timer()
        self._unread_timer = self._loop.call_later(UNREAD_SECONDS, self._abort_unread)

    def resume_writing(self) -> None:
        """Stop the timeout that `pause_writing` started: the client reads again."""
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
        """The response to an unparsable request; the connection is closed after it."""
        if request.writer.output_size > 0:
            raise ConnectionError("the response has already begun")
        answer = Status.BAD_REQUEST if status == Status.BAD_REQUEST else Status.BAD_GATEWAY
        if isinstance(exc, LineTooLong):
            answer = Status.HEADER_TOO_LARGE
        response = own_answer(answer)
        response.force_close()
        return response

    @property
    def _awaiting_head(self) -> bool:
        """Whether the connection is waiting for a complete request head."""
        waiter = self._waiter
        return waiter is not None and not waiter.done() and not self._messages

    def _head_too_slow(self) -> None:
        self._head_timer = None
        if self._awaiting_head:
            self.force_close()

    def _abort_unread(self) -> None:
        self._unread_timer = None
        if self.transport is not None:
            self.transport.abort()

    def _stop_unread_timer(self) -> None:
        if self._unread_timer is not None:
            self._unread_timer.cancel()
            self._unread_timer = None

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None


class ClientRequest(web.BaseRequest):
    """A request that knows its place on its connection, and how long it waited behind earlier ones."""

    def __init__(
        self,
        message: RawRequestMessage,
        payload: StreamReader,
        protocol: RequestHandler,
        payload_writer: AbstractStreamWriter,
        task: asyncio.Task[None],
    ) -> None:
        loop = asyncio.get_running_loop()
        super().__init__(message, payload, protocol, payload_writer, task, loop)
        assert isinstance(protocol, ClientProtocol)
        self.place = protocol.next_place()
        self.waited = loop.time() - protocol.next_arrival()  # seconds behind earlier requests


class ClientServer(web.Server):
    """Creates the client connections; a request's handler is cancelled when its client disconnects."""

    def __init__(self, handler: Handler, limits: Callable[[], Limits]) -> None:
        super().__init__(handler, request_factory=ClientRequest, handler_cancellation=True)
        self._limits = limits
        self._accepted = 0  # connections accepted so far

    def __call__(self) -> RequestHandler:
        """A new connection, with the limits that are configured now."""
        self._accepted += 1
        return ClientProtocol(self, self._limits(), asyncio.get_running_loop(), self._accepted)

    def close_idle(self) -> None:
        """Close the connections on which no request is being read or served."""
        for connection in self.connections:
            if isinstance(connection, ClientProtocol):
                connection.close_if_idle()

    def busy(self) -> bool:
        """Whether any connection is open."""
        return bool(self.connections)

    def abort_all(self) -> None:
        """Abort all open connections."""
        for connection in self.connections:
            transport: Any = connection.transport
            if transport is not None:
                transport.abort()
