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


class HttpListener:
    """An HTTP server at one address, which passes its requests to a handler."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._protocols: web.Server | None = None
        self._server: asyncio.Server | None = None

    async def listen(self, address: str) -> None:
        """Binds the address and accepts connections; retries for `BIND_TIMEOUT_SECONDS` if it is in use."""
        self._protocols = web.Server(
            self._handle,
            request_factory=self._make_request,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=KEEPALIVE_SECONDS,
        )
        self._server = await self._bind(address, self._protocols)

    async def close(self, grace_seconds: float) -> None:
        """Accepts no more connections; open requests have `grace_seconds` to finish, then are cancelled."""
        if self._server is not None:
            self._server.close()
        if self._protocols is not None:
            self._protocols.pre_shutdown()
            await self._protocols.shutdown(max(grace_seconds, MIN_GRACE_SECONDS) / SHUTDOWN_STEPS)

    async def _bind(self, address: str, protocols: web.Server) -> asyncio.Server:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        deadline = loop.time() + BIND_TIMEOUT_SECONDS
        while True:
            try:
                return await loop.create_server(
                    protocols, host, int(port), reuse_address=True, backlog=BACKLOG
                )
            except OSError as error:
                if error.errno != errno.EADDRINUSE or loop.time() >= deadline:
                    raise
            await asyncio.sleep(BIND_RETRY_SECONDS)

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
        return web.BaseRequest(message, payload, protocol, writer, task, loop, client_max_size=MAX_BODY_BYTES)
