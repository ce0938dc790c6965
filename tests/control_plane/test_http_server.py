"""The HTTP listener of a control node: clients that send an incomplete request, or none."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from unittest import IsolatedAsyncioTestCase
from unittest.mock import patch

from aiohttp import web

from brackenladder.control_plane import http_server
from brackenladder.control_plane.http_server import HttpListener

PATIENCE = 20.0  # seconds; test timeout, reached only on failure
SHORT = 0.05  # seconds, in place of the real timeout
HEAD = b"POST /-/x HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\n"


class HttpListenerTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        short_timeout = patch.object(http_server, "KEEPALIVE_SECONDS", SHORT)
        short_timeout.start()
        self.addCleanup(short_timeout.stop)
        self.handled: list[bytes] = []
        self.listener = HttpListener(self.handle)
        await self.listener.listen("127.0.0.1:0")
        self.addAsyncCleanup(self.listener.close, 0.0)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.handled.append(await request.read())
        return web.Response(text="done")

    async def call(self, data: bytes) -> bytes:
        """Sends `data`; returns all that is received until the listener closes the connection."""
        assert self.listener._server is not None
        reader, writer = await asyncio.open_connection(*self.listener._server.sockets[0].getsockname())
        writer.write(data)
        async with asyncio.timeout(PATIENCE):
            response = await reader.read()
        writer.close()
        return response

    async def test_complete_body_is_passed_to_the_handler(self) -> None:
        self.assertIn(b"done", await self.call(HEAD + b"hello"))
        self.assertEqual(self.handled, [b"hello"])

    async def test_incomplete_body_gets_408(self) -> None:
        response = await self.call(HEAD + b"hel")
        self.assertIn(b" %d " % HTTPStatus.REQUEST_TIMEOUT, response.split(b"\r\n")[0])
        self.assertEqual(self.handled, [])

    async def test_connection_without_a_request_is_closed(self) -> None:
        self.assertEqual(await self.call(b""), b"")
        self.assertEqual(await self.call(b"POST /-/x HT"), b"")
        self.assertEqual(self.handled, [])
