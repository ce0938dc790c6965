"""Bytes from servers that belong to no request, or to a different one."""

from __future__ import annotations

import asyncio
from unittest.mock import patch

from gateway_loopback import (
    LAST_CHUNK,
    PATIENCE,
    GatewayTest,
    Received,
    answer,
    chunk,
    event,
    post,
    serve_ok,
    stream_head,
)

from brackenladder.gateway import server_protocol


class SurplusBytes(GatewayTest):
    servers = 1

    async def test_a_response_to_another_request_is_skipped(self) -> None:
        async def late(request: Received) -> None:
            request.write(answer("other", b"wrong") + answer(request.id, b"right"))

        self.play(late, serve_ok)
        got = await self.ask(post("/plain/x"))
        self.assertEqual((got.status, got.body), (200, b"right"))
        self.assertEqual((await self.ask(post("/plain/x", "r2"))).body, b"ok")
        self.assertEqual([r.connection for r in self.script.requests], [1, 2])

    async def test_only_a_response_to_another_request_leads_to_502(self) -> None:
        async def wrong(request: Received) -> None:
            request.write(answer("other", b"wrong"))
            await request.writer.drain()
            request.writer.write_eof()
            await request.client_closed()

        self.play(wrong)
        got = await self.ask(post("/plain/x"))
        self.assertEqual((got.status, got.body), (502, b""))

    async def test_a_response_without_an_id_leads_to_502(self) -> None:
        async def nameless(request: Received) -> None:
            request.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

        self.play(nameless)
        self.assertEqual((await self.ask(post("/plain/x"))).status, 502)

    async def test_bytes_after_a_response_end_the_connection(self) -> None:
        surplus = (
            answer("r1", b"again"),
            answer("r1", b"again")[:30],
            b"garbage",
            b"\r\n",
            stream_head("r1") + chunk(event(9)) + LAST_CHUNK,
        )
        for number, extra in enumerate(surplus):
            with self.subTest(extra):

                async def more(request: Received, extra: bytes = extra) -> None:
                    request.write(answer(request.id, b"right") + extra)

                self.play(more, serve_ok)
                got = await self.ask(post("/plain/x", f"a{number}"))
                self.assertEqual((got.status, got.body), (200, b"right"))
                self.assertEqual((await self.ask(post("/plain/x", f"b{number}"))).body, b"ok")
        connections = [r.connection for r in self.script.requests]
        for first, second in zip(connections[::2], connections[1::2], strict=True):
            self.assertNotEqual(first, second)

    async def test_bytes_on_an_idle_connection_end_it(self) -> None:
        go = asyncio.Event()

        async def later(request: Received) -> None:
            request.write(answer(request.id, b"right"))
            await go.wait()
            request.write(answer("r1", b"surplus"))
            await request.client_closed()

        self.play(later, serve_ok)
        self.assertEqual((await self.ask(post("/plain/x"))).body, b"right")
        request = self.script.requests[0]
        go.set()
        await asyncio.wait_for(request.closed.wait(), PATIENCE)
        self.assertEqual((await self.ask(post("/plain/x", "r2"))).body, b"ok")

    async def test_a_connection_that_the_server_closes_is_not_reused(self) -> None:
        async def last(request: Received) -> None:
            request.write(answer(request.id, b"bye", extra=["Connection: close"]))
            await request.client_closed()

        self.play(last, serve_ok)
        got = await self.ask(post("/plain/x"))
        self.assertEqual(got.body, b"bye")
        self.assertNotIn("connection", got.headers)
        self.assertEqual((await self.ask(post("/plain/x", "r2"))).body, b"ok")
        self.assertEqual([r.connection for r in self.script.requests], [1, 2])


class KeptConnections(GatewayTest):
    servers = 1

    async def connections_of(self, *request_ids: str) -> list[int]:
        """The numbers of the connections on which a server gets these requests."""
        for request_id in request_ids:
            self.assertEqual((await self.ask(post("/plain/x", request_id))).status, 200)
        return [request.connection for request in self.script.requests]

    async def test_an_id_that_comes_back_gets_another_connection(self) -> None:
        self.assertEqual(await self.connections_of("r1", "r2", "r1", "r2", "r3"), [1, 1, 2, 2, 2])

    async def test_a_connection_carries_a_limited_number_of_requests(self) -> None:
        with patch.object(server_protocol, "MAX_REQUESTS", 2):
            self.assertEqual(await self.connections_of("r1", "r2", "r3", "r4", "r5"), [1, 1, 2, 2, 3])


class ConnectionLimit(GatewayTest):
    servers = 1
    max_connections = 5  # this gateway's share of them is four

    async def test_no_more_connections_than_this_gateways_share(self) -> None:
        go = asyncio.Event()

        async def wait(request: Received) -> None:
            await go.wait()
            request.write(answer(request.id))

        self.play(wait)
        clients = [await self.client() for _ in range(4)]
        for number, client in enumerate(clients):
            client.send(post("/safe/x", f"r{number}"))
        refused = self.ask(post("/safe/x", "r9"))
        for _ in range(3):
            await self.next_request()
        got = await refused
        if len(self.script.requests) == 4:
            self.assertEqual(got.status, 503)
        go.set()
        for client in clients:
            await asyncio.wait_for(client.read(), PATIENCE)
        self.assertLessEqual(self.stand_ins[0].connections, 4)
