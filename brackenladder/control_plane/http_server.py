"""A small HTTP listener on aiohttp's low-level server, for the interfaces of a control node."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import TYPE_CHECKING

import logbook
from aiohttp import web

if TYPE_CHECKING:
    from aiohttp.abc import AbstractStreamWriter
    from aiohttp.http_parser import RawRequestMessage
    from aiohttp.streams import StreamReader
    from aiohttp.web_protocol import RequestHandler

MAX_BODY_BYTES = 8 * 1024 * 1024
BACKLOG = 512
KEEPALIVE_SECONDS = 30.0
RETRY_AFTER_SECONDS = "0.2"

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

log = logbook.Logger("http")


def json_response(status: HTTPStatus, document: object) -> web.Response:
    """An answer with a JSON body."""
    return web.Response(status=status, body=json.dumps(document).encode(), content_type="application/json")


def unavailable(reason: str) -> web.Response:
    """No clear answer: whoever asks may ask again, here or elsewhere."""
    response = json_response(HTTPStatus.SERVICE_UNAVAILABLE, {"Error": reason})
    response.headers["Retry-After"] = RETRY_AFTER_SECONDS
    return response


def not_found(what: str) -> web.Response:
    """There is no such call, or it names something unknown."""
    return json_response(HTTPStatus.NOT_FOUND, {"Error": f"unknown: {what}"})


class HttpListener:
    """Serves one address until it is closed."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._protocols: web.Server | None = None
        self._server: asyncio.Server | None = None

    async def listen(self, address: str) -> None:
        """Binds the address and accepts connections."""
        host, _, port = address.rpartition(":")
        self._protocols = web.Server(
            self._handle,
            request_factory=self._make_request,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=KEEPALIVE_SECONDS,
        )
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._protocols, host, int(port), reuse_address=True, backlog=BACKLOG
        )

    async def close(self, grace_seconds: float) -> None:
        """Accepts nothing more and gives requests under way a moment to end."""
        if self._server is not None:
            self._server.close()
        if self._protocols is not None:
            self._protocols.pre_shutdown()
            await self._protocols.shutdown(grace_seconds)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        try:
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
