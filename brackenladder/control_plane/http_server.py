"""An HTTP listener on aiohttp's low-level server, for the interfaces of a control node."""

from __future__ import annotations

import asyncio
import errno
import json
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import TYPE_CHECKING, Protocol

import logbook
from aiohttp import web

from brackenladder.control_plane.accept_queue import AcceptQueue
from brackenladder.control_plane.connection import CallerConnection, FencedRequest
from brackenladder.control_plane.fences import NewestIndex

if TYPE_CHECKING:
    from aiohttp.abc import AbstractStreamWriter
    from aiohttp.http_parser import RawRequestMessage
    from aiohttp.streams import StreamReader
    from aiohttp.web_protocol import RequestHandler

MAX_BODY_BYTES = 8 * 1024 * 1024
BACKLOG = 512
# Longest wait for the first or next request of a connection, and for a complete body.
KEEPALIVE_SECONDS = 30.0
RETRY_AFTER_SECONDS = "0.2"
# Seconds for which binding is retried if a killed process still holds the address.
BIND_TIMEOUT_SECONDS = 10.0
BIND_RETRY_SECONDS = 0.1  # seconds between two attempts to bind the address
MIN_GRACE_SECONDS = 0.02  # aiohttp treats 0 as no limit
SHUTDOWN_STEPS = 2  # aiohttp waits twice for a handler: once to finish, and again after cancelling it

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

log = logbook.Logger("http")


def json_response(status: HTTPStatus, document: object) -> web.Response:
    """A response with a JSON body."""
    return web.Response(status=status, body=json.dumps(document).encode(), content_type="application/json")


def unavailable(reason: str) -> web.Response:
    """A 503 response: there is no definite answer, and the caller may repeat the call on any node."""
    response = json_response(HTTPStatus.SERVICE_UNAVAILABLE, {"Error": reason})
    response.headers["Retry-After"] = RETRY_AFTER_SECONDS
    return response


def written_again(request: web.BaseRequest) -> web.Response:
    """A 307 response that asks the caller to send the same request to this node once more.

    Without a `Host` header, the address under which the caller reaches this node is not known: 503.
    """
    host = request.headers.get("Host")
    if not host:
        return unavailable("overtaken by another order")
    response = web.Response(status=HTTPStatus.TEMPORARY_REDIRECT)
    response.headers["Location"] = f"http://{host}{request.raw_path}"
    return response


def not_found(what: str) -> web.Response:
    """A 404 response: the call does not exist, or names something unknown."""
    return json_response(HTTPStatus.NOT_FOUND, {"Error": f"unknown: {what}"})


async def _read_body(request: web.BaseRequest) -> bool:
    """Reads the body into the request's buffer; False if it is not complete in time.

    Otherwise the request of a caller that stops sending in the middle of its body waits until the caller
    disconnects.
    """
    try:
        async with asyncio.timeout(KEEPALIVE_SECONDS):
            await request.read()
    except TimeoutError:
        return False
    return True


def _body_timeout() -> web.Response:
    response = json_response(HTTPStatus.REQUEST_TIMEOUT, {"Error": "the body did not arrive in time"})
    response.force_close()
    return response


class Listener(Protocol):
    """Serves one address."""

    async def listen(self, address: str) -> None:
        """Binds the address and accepts connections."""

    async def close(self, grace_seconds: float) -> None:
        """Accepts no more connections; open requests have `grace_seconds` to finish."""

    def newest_index_risen(self) -> None:
        """Notes that the newest index that this node knows has risen."""

    def close_outdated(self, index: int) -> None:
        """Closes idle connections whose next request would have a fence below `index`.

        Otherwise an operator who keeps a connection to each node would have its next order on each of them
        turned away once.
        """


class HttpListener:
    """An HTTP server at one address, which passes its requests to a handler.

    `newest_index` is the highest log index that this node knows to be committed, for the requests' fences.
    """

    def __init__(self, handler: Handler, newest_index: NewestIndex = lambda: 0) -> None:
        self._handler = handler
        self._newest_index = newest_index
        self._queue: AcceptQueue | None = None
        self._protocols: _CallerServer | None = None
        self._server: asyncio.Server | None = None

    async def listen(self, address: str) -> None:
        """Binds the address and accepts connections; retries for `BIND_TIMEOUT_SECONDS` if it is in use."""
        self._queue = await self._bind(address)
        self._protocols = _CallerServer(self._handle, self._make_request, self._make_connection)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._protocols, sock=self._queue, backlog=BACKLOG)

    def newest_index_risen(self) -> None:
        """See `Listener`."""
        if self._queue is not None and self._queue.fileno() >= 0:
            self._queue.check_empty()

    def close_outdated(self, index: int) -> None:
        """See `Listener`."""
        for connection in self._protocols.connections if self._protocols is not None else ():
            if isinstance(connection, CallerConnection):
                connection.close_if_outdated(index)

    async def close(self, grace_seconds: float) -> None:
        """Accepts no more connections; open requests have `grace_seconds` to finish, then are cancelled."""
        if self._server is not None:
            self._server.close()
        if self._protocols is not None:
            self._protocols.pre_shutdown()
            await self._protocols.shutdown(max(grace_seconds, MIN_GRACE_SECONDS) / SHUTDOWN_STEPS)

    async def _bind(self, address: str) -> AcceptQueue:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + BIND_TIMEOUT_SECONDS
        while True:
            try:
                return AcceptQueue(address, self._newest_index)
            except OSError as error:
                if error.errno != errno.EADDRINUSE or loop.time() >= deadline:
                    raise
            await asyncio.sleep(BIND_RETRY_SECONDS)

    def _make_connection(self, server: web.Server) -> CallerConnection:
        assert self._queue is not None
        return CallerConnection(server, self._queue.take_fence, self._newest_index, KEEPALIVE_SECONDS)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        try:
            if not await _read_body(request):
                return _body_timeout()
            return await self._handler(request)
        except web.HTTPRequestEntityTooLarge:
            return json_response(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, {"Error": "body too large"})

    def _make_request(
        self,
        message: RawRequestMessage,
        payload: StreamReader,
        protocol: RequestHandler,
        writer: AbstractStreamWriter,
        task: asyncio.Task[None],
    ) -> web.BaseRequest:
        loop = asyncio.get_running_loop()
        return FencedRequest(message, payload, protocol, writer, task, loop, client_max_size=MAX_BODY_BYTES)


class _CallerServer(web.Server):
    """Creates the connections; a request's handler is cancelled when its caller disconnects."""

    def __init__(
        self,
        handler: Handler,
        request_factory: Callable[..., web.BaseRequest],
        make_connection: Callable[[web.Server], CallerConnection],
    ) -> None:
        super().__init__(handler, request_factory=request_factory, handler_cancellation=True)
        self._make_connection = make_connection

    def __call__(self) -> RequestHandler:
        """A new connection."""
        return self._make_connection(self)
