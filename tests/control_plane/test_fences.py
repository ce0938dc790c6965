"""Fences: what a connection proves about when its requests were written."""

from __future__ import annotations

import asyncio
import socket
from unittest import IsolatedAsyncioTestCase, TestCase

from aiohttp import web

from brackenladder.control_plane.connection import FencedRequest, fence_of
from brackenladder.control_plane.fences import AcceptFence, ConnectionFence
from brackenladder.control_plane.http_server import HttpListener

PATIENCE = 20.0  # seconds; test timeout, reached only on failure
REQUEST = b"POST /-/x HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
REPORT = REQUEST.replace(b"/x", b"/report")
SLOW = REQUEST.replace(b"/x", b"/slow")


class FenceTest(TestCase):
    def test_accept_fence_rises_only_while_no_connection_waits(self) -> None:
        newest = [3]
        fence = AcceptFence(lambda: newest[0])
        newest[0] = 5
        self.assertEqual(fence.index, 3)
        fence.found_empty()
        self.assertEqual(fence.index, 5)

    def test_response_raises_the_fence(self) -> None:
        fence = ConnectionFence(3)
        fence.response_written(7)
        self.assertEqual(fence.index, 7)
        fence.response_written(6)
        self.assertEqual(fence.index, 7)

    def test_responses_prove_nothing_about_a_caller_that_does_not_wait_for_them(self) -> None:
        fence = ConnectionFence(3)
        fence.request_read_ahead()
        fence.response_written(7)
        self.assertEqual(fence.index, 3)


class ListenerFenceTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.newest = 1
        self.fences: list[int] = []
        self.finish = asyncio.Event()
        self.listener = HttpListener(self.handle, lambda: self.newest)
        await self.listener.listen("127.0.0.1:0")
        self.addAsyncCleanup(self.listener.close, 0.0)
        assert self.listener._server is not None
        self.address = self.listener._server.sockets[0].getsockname()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.fences.append(fence_of(request))
        if request.path == "/-/report":
            assert isinstance(request, FencedRequest)
            request.is_report()
        if request.path == "/-/slow":
            await self.finish.wait()
        return web.Response(text="done")

    def rise(self, newest: int) -> None:
        """Learns of a commit, as from a link."""
        self.newest = newest
        self.listener.newest_index_risen()

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """A connection that the listener has accepted."""
        reader, writer = await asyncio.open_connection(*self.address)
        self.addCleanup(writer.close)
        assert self.listener._protocols is not None
        async with asyncio.timeout(PATIENCE):
            while writer.get_extra_info("sockname") not in [
                connection.transport.get_extra_info("peername")
                for connection in self.listener._protocols.connections
                if connection.transport is not None
            ]:
                await asyncio.sleep(0.001)
        return reader, writer

    async def ask(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, request: bytes) -> None:
        writer.write(request)
        async with asyncio.timeout(PATIENCE):
            await reader.readuntil(b"done")

    async def test_fence_of_a_kept_connection_is_that_of_its_latest_response(self) -> None:
        reader, writer = await self.connect()
        self.rise(2)
        await self.ask(reader, writer, REQUEST)
        self.rise(5)
        await self.ask(reader, writer, REQUEST)
        await self.ask(reader, writer, REQUEST)
        self.assertEqual(self.fences, [1, 2, 5])

    async def test_fence_of_a_new_connection_is_the_newest_index(self) -> None:
        for newest in (1, 4, 9):
            self.rise(newest)
            await self.ask(*await self.connect(), REQUEST)
        self.assertEqual(self.fences, [1, 4, 9])

    async def test_connection_that_waited_while_the_process_stood_still(self) -> None:
        """Guards against a fence that rose between a connection's completion and its acceptance (EVAC)."""
        with socket.create_connection(self.address) as early:  # blocks this process, as if it stood still
            early.sendall(REQUEST)
            self.rise(2)  # links are read first when it continues
            early.setblocking(False)
            async with asyncio.timeout(PATIENCE):
                await asyncio.get_running_loop().sock_recv(early, 1000)
        await self.ask(*await self.connect(), REQUEST)
        self.assertEqual(self.fences, [1, 2])

    async def test_second_of_two_requests_that_came_at_once(self) -> None:
        """Guards against a fence by a response that the caller did not wait for (EVAC)."""
        reader, writer = await self.connect()
        writer.write(REQUEST + REQUEST)
        self.newest = 3
        async with asyncio.timeout(PATIENCE):
            await reader.readuntil(b"done")
            await reader.readuntil(b"done")
        await self.ask(reader, writer, REQUEST)
        self.assertEqual(self.fences, [1, 1, 1])

    async def test_request_that_came_while_the_one_before_it_was_served(self) -> None:
        reader, writer = await self.connect()
        writer.write(SLOW)
        async with asyncio.timeout(PATIENCE):
            while not self.fences:
                await asyncio.sleep(0.001)
        writer.write(REQUEST)
        await writer.drain()
        await asyncio.sleep(0)
        self.newest = 3
        self.finish.set()
        async with asyncio.timeout(PATIENCE):
            await reader.readuntil(b"done")
            await reader.readuntil(b"done")
        self.assertEqual(self.fences, [1, 1])

    async def test_outdated_idle_connections_are_closed(self) -> None:
        unused, _ = await self.connect()
        outdated = await self.connect()
        await self.ask(*outdated, REQUEST)
        self.rise(2)
        current = await self.connect()
        await self.ask(*current, REQUEST)
        reports = await self.connect()
        await self.ask(*reports, REPORT)
        busy = await self.connect()
        busy[1].write(SLOW)
        self.rise(3)
        await self.ask(*current, REQUEST)
        async with asyncio.timeout(PATIENCE):
            while len(self.fences) < 5:
                await asyncio.sleep(0.001)
        self.listener.close_outdated(3)
        for reader in (unused, outdated[0]):
            async with asyncio.timeout(PATIENCE):
                self.assertEqual(await reader.read(), b"")
        self.finish.set()
        async with asyncio.timeout(PATIENCE):
            await busy[0].readuntil(b"done")
        for reader, writer in (current, reports):
            await self.ask(reader, writer, REQUEST)
