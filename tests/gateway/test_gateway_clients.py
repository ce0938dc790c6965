"""Client connections of a gateway: limits, malformed requests, readiness checks and shutdown."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from unittest.mock import AsyncMock, Mock

from attrs import evolve
from gateway_loopback import (
    LAST_CHUNK,
    PATIENCE,
    PLAIN,
    GatewayTest,
    RawClient,
    Received,
    answer,
    chunk,
    event,
    post,
    silent,
    stream_head,
)

from brackenladder.catalog.configuration import Limits
from brackenladder.gateway.clients import UNREAD_SECONDS, ClientProtocol, ClientServer
from brackenladder.gateway.server import give_up_seconds, intake_seconds
from brackenladder.simulation.virtual_loop import VirtualEventLoop


class Malformed(GatewayTest):
    async def test_conflicting_lengths_are_refused_and_nothing_is_smuggled(self) -> None:
        inner = post("/plain/smuggled", "evil", b"")
        both = post("/plain/x", body=b"", extra=["Content-Length: 4", "Transfer-Encoding: chunked"])
        two = post("/plain/x", body=b"", extra=["Content-Length: 4", "Content-Length: 5"])
        odd = post("/plain/x", body=b"", extra=["Transfer-Encoding: chunked, identity"])
        space = post("/plain/x", body=b"", extra=["Content-Length : 4"])
        for head in (both, two, odd, space):
            with self.subTest(head):
                client = await self.client()
                client.send(head + b"0\r\n\r\n" + inner)
                got = await asyncio.wait_for(client.read(), PATIENCE)
                self.assertEqual(got.status, 400)
                self.assertTrue(await asyncio.wait_for(client.at_end(), PATIENCE))
        self.assertEqual(self.script.requests, [])

    async def test_a_body_with_malformed_chunks(self) -> None:
        client = await self.client()
        chunked = post("/plain/x", body=b"", extra=["Transfer-Encoding: chunked"])
        client.send(chunked + b"5\r\nhello\r\n")
        client.send(b"nonsense\r\n")
        self.assertEqual((await asyncio.wait_for(client.read(), PATIENCE)).status, 400)
        self.assertTrue(await asyncio.wait_for(client.at_end(), PATIENCE))
        self.assertEqual(self.script.requests, [])

    async def test_bytes_that_are_no_request(self) -> None:
        client = await self.client()
        client.send(b"\x16\x03\x01\x00 nonsense\r\n\r\n")
        self.assertEqual((await asyncio.wait_for(client.read(), PATIENCE)).status, 400)
        self.assertTrue(await asyncio.wait_for(client.at_end(), PATIENCE))

    async def test_an_upgrade_is_ignored(self) -> None:
        client = await self.client()
        upgrade = ["Connection: Upgrade", "Upgrade: websocket"]
        client.send(post("/plain/x", "a", b"body", extra=upgrade) + post("/plain/x", "b"))
        for name in ("a", "b"):
            got = await asyncio.wait_for(client.read(), PATIENCE)
            self.assertEqual((got.status, got.headers["x-brackenladder-request-id"]), (200, name))
        self.assertEqual([r.body for r in self.script.requests], [b"body", b"hello"])
        self.assertIsNone(self.script.requests[0].header("Upgrade"))

    async def test_absolute_targets(self) -> None:
        got = await self.ask(post("http://shop.example/plain/x?q"))
        self.assertEqual((got.status, self.script.requests[0].target), (200, "/plain/x?q"))
        self.assertEqual((await self.ask(post("*", method="OPTIONS"))).status, 400)


class LimitsTest(GatewayTest):
    limits = Limits(max_header_bytes=400, max_body_bytes=10, header_timeout_ms=50, idle_timeout_ms=600)

    async def test_bodies_over_the_limit(self) -> None:
        self.assertEqual((await self.ask(post("/plain/x", body=b"0123456789"))).status, 200)
        self.assertEqual((await self.ask(post("/plain/x", body=b"0123456789a"))).status, 413)
        chunked = post("/plain/x", body=b"", extra=["Transfer-Encoding: chunked"])
        got = await self.ask(chunked + b"6\r\n012345\r\n6\r\n012345\r\n0\r\n\r\n")
        self.assertEqual(got.status, 413)
        self.assertEqual(len(self.script.requests), 1)

    async def test_heads_over_the_limit(self) -> None:
        self.assertEqual((await self.ask(post("/plain/x", extra=["X: " + "x" * 400]))).status, 431)

    async def test_a_slow_head_ends_the_connection(self) -> None:
        client = await self.client()
        client.send(b"POST /plain/x HTT")
        self.assertTrue(await asyncio.wait_for(client.at_end(), PATIENCE))
        self.assertEqual(self.script.requests, [])

    async def test_a_missing_body_leads_to_408(self) -> None:
        client = await self.client()
        client.send(post("/plain/x", body=b"", extra=["Content-Length: 5"], deadline_ms=40))
        self.assertEqual((await asyncio.wait_for(client.read(), PATIENCE)).status, 408)
        self.assertEqual(self.script.requests, [])

    async def test_a_body_is_waited_for_no_longer_than_the_routes_timeout(self) -> None:
        quick = evolve(PLAIN, name="quick", prefix="/quick/", timeout_ms=40)
        self.configure((quick,))
        client = await self.client()
        client.send(post("/quick/x", body=b"", extra=["Content-Length: 5"], deadline_ms=60_000))
        self.assertEqual((await asyncio.wait_for(client.read(), PATIENCE)).status, 408)
        self.assertEqual(self.script.requests, [])

    async def test_an_idle_connection_is_closed(self) -> None:
        client = await self.client()
        await asyncio.wait_for(client.ask(post("/plain/x")), PATIENCE)
        self.assertTrue(await asyncio.wait_for(client.at_end(), PATIENCE))


class UnreadAnswers(unittest.TestCase):
    """A client that stays connected and does not read its response."""

    def setUp(self) -> None:
        self.loop = VirtualEventLoop()
        self.addCleanup(self.loop.close)
        self.transport = Mock(spec=asyncio.Transport)
        self.transport.get_extra_info.return_value = None
        self.transport.is_closing.return_value = False

    def play(self, work: Callable[[ClientProtocol], Awaitable[None]]) -> None:
        async def main() -> None:
            server = ClientServer(AsyncMock(), lambda: Limits(idle_timeout_ms=1e9))
            protocol = server()
            assert isinstance(protocol, ClientProtocol)
            protocol.connection_made(self.transport)
            await work(protocol)
            protocol.connection_lost(None)
            await asyncio.sleep(0)

        self.loop.run_until_complete(main())

    def test_is_aborted_after_a_while(self) -> None:
        async def stays(protocol: ClientProtocol) -> None:
            protocol.pause_writing()
            await asyncio.sleep(UNREAD_SECONDS - 0.1)
            self.transport.abort.assert_not_called()
            await asyncio.sleep(0.2)
            self.transport.abort.assert_called_once()

        self.play(stays)

    def test_continues_if_it_reads_now_and_then(self) -> None:
        async def reads(protocol: ClientProtocol) -> None:
            for _ in range(4):
                protocol.pause_writing()
                await asyncio.sleep(UNREAD_SECONDS - 0.1)
                protocol.resume_writing()
            await asyncio.sleep(2 * UNREAD_SECONDS)
            self.transport.abort.assert_not_called()

        self.play(reads)

    def test_its_end_leaves_no_timer(self) -> None:
        async def leaves(protocol: ClientProtocol) -> None:
            protocol.pause_writing()

        self.play(leaves)
        self.loop.run_for(int(2e6 * UNREAD_SECONDS))
        self.transport.abort.assert_not_called()


class ReadinessAndDrain(GatewayTest):
    async def check_ready(self) -> int:
        client = await RawClient.connect(self.check, self.script)
        self.clients.append(client)
        got = await asyncio.wait_for(client.ask(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n"), PATIENCE)
        return got.status

    async def test_readiness_follows_the_role(self) -> None:
        self.assertEqual(await self.check_ready(), 503)
        self.gateway.ready = True
        self.assertEqual(await self.check_ready(), 200)

    async def test_metrics_are_served_at_the_readiness_address(self) -> None:
        client = await RawClient.connect(self.check, self.script)
        self.clients.append(client)
        got = await asyncio.wait_for(client.ask(b"GET /-/metrics HTTP/1.1\r\nHost: x\r\n\r\n"), PATIENCE)
        self.assertEqual(got.status, 200)

    async def test_drain_lets_open_requests_finish(self) -> None:
        go = asyncio.Event()

        async def wait(request: Received) -> None:
            await go.wait()
            request.write(stream_head(request.id) + chunk(event(1)) + LAST_CHUNK)

        self.play(wait)
        self.gateway.ready = True
        idle = await self.client()
        self.play(respond_at_once, wait)
        await asyncio.wait_for(idle.ask(post("/plain/x", "r0")), PATIENCE)
        busy = await self.client()
        busy.send(post("/stream/x"))
        await self.next_request()
        await self.next_request()
        ended = asyncio.ensure_future(self.gateway.drain(1.5))
        self.assertTrue(await asyncio.wait_for(idle.at_end(), PATIENCE))
        self.assertEqual(await self.check_ready(), 503)
        with self.assertRaises(ConnectionRefusedError):
            await RawClient.connect(self.front, self.script)
        go.set()
        got = await asyncio.wait_for(busy.read(), PATIENCE)
        self.assertEqual((got.body, got.whole, got.headers["connection"]), (event(1), True, "close"))
        await asyncio.wait_for(ended, PATIENCE)

    async def test_drain_still_accepts_requests_at_first(self) -> None:
        ended = asyncio.ensure_future(self.gateway.drain(1.0))
        got = await self.ask(post("/plain/x"))
        self.assertEqual((got.status, got.headers["connection"]), (200, "close"))
        await asyncio.wait_for(ended, PATIENCE)

    async def test_requests_open_after_the_grace_period_get_502_or_a_broken_response(self) -> None:
        async def begin(request: Received) -> None:
            request.write(stream_head(request.id) + chunk(event(1)))
            await request.client_closed()

        self.play(silent, begin)
        unanswered, begun = await self.client(), await self.client()
        unanswered.send(post("/plain/x", "r0"))
        await self.next_request()
        begun.send(post("/stream/x"))
        await self.next_request()
        await asyncio.wait_for(self.gateway.drain(0.8), PATIENCE)
        got = await asyncio.wait_for(unanswered.read(), PATIENCE)
        self.assertEqual((got.status, got.whole, got.headers["connection"]), (502, True, "close"))
        self.assertNotIn("x-brackenladder-response-signature", got.headers)
        self.assertTrue(await asyncio.wait_for(unanswered.at_end(), PATIENCE))
        got = await asyncio.wait_for(begun.read(), PATIENCE)
        self.assertEqual((got.body, got.whole), (event(1), False))

    async def test_requests_unsent_at_the_end_of_the_grace_period_get_503(self) -> None:
        for stand_in in self.stand_ins:
            stand_in.hang_connects()
        client = await self.client()
        client.send(post("/plain/x"))
        await self.until_open()
        await asyncio.wait_for(self.gateway.drain(0.3), PATIENCE)
        got = await asyncio.wait_for(client.read(), PATIENCE)
        self.assertEqual((got.status, got.whole, got.headers["connection"]), (503, True, "close"))
        self.assertEqual(self.script.requests, [])

    async def test_requests_read_after_the_intake_get_503(self) -> None:
        idle, late = await self.client(), await self.client()
        await asyncio.wait_for(idle.ask(post("/plain/x", "r0")), PATIENCE)
        request = post("/plain/x", "r1", b"hello")
        late.send(request[:-2])
        await self.until_open()
        ended = asyncio.ensure_future(self.gateway.drain(1.0))
        self.assertTrue(await asyncio.wait_for(idle.at_end(), PATIENCE))
        late.send(request[-2:])
        got = await asyncio.wait_for(late.read(), PATIENCE)
        self.assertEqual((got.status, got.whole, got.headers["connection"]), (503, True, "close"))
        await asyncio.wait_for(ended, PATIENCE)
        self.assertEqual([one.id for one in self.script.requests], ["r0"])

    async def test_a_stream_begun_before_the_drain_ends_with_its_connection(self) -> None:
        go = asyncio.Event()

        async def begin(request: Received) -> None:
            request.write(stream_head(request.id) + chunk(event(1)))
            await go.wait()
            request.write(chunk(event(2)) + LAST_CHUNK)

        self.play(begin, respond_at_once)
        client = await self.client()
        client.send(post("/stream/x"))
        await client.head()
        ended = asyncio.ensure_future(self.gateway.drain(30.0))
        self.addCleanup(ended.cancel)
        await self.next_request()
        go.set()
        got = await asyncio.wait_for(client.read_body(), PATIENCE)
        self.assertEqual((got.body, got.whole), (event(1) + event(2), True))
        self.assertTrue(await asyncio.wait_for(client.at_end(), PATIENCE))
        # Other requests are still accepted.
        self.assertEqual((await self.ask(post("/plain/x", "r2"))).status, 200)

    def test_the_phases_of_the_grace_period(self) -> None:
        for grace in (1.0, 3.0, 6.0, 8.0, 30.0):
            with self.subTest(grace=grace):
                self.assertLess(intake_seconds(grace), min(3.0, grace / 2))
                self.assertLess(give_up_seconds(grace), grace / 6)
                self.assertGreaterEqual(give_up_seconds(grace), min(0.5, grace / 10))

    async def until_open(self) -> None:
        """Return once the gateway has read everything that was sent to it before."""
        await asyncio.wait_for(self.ask(post("/none/x", "r9")), PATIENCE)


class Split(GatewayTest):
    routes = (evolve(PLAIN, split=(evolve(PLAIN.split[0], weight=0.0), PLAIN.split[0])),)

    async def test_targets_without_weight_get_no_requests(self) -> None:
        self.assertEqual((await self.ask(post("/plain/x"))).status, 200)


async def respond_at_once(request: Received) -> None:
    request.write(answer(request.id))


class PipelinedRequests(GatewayTest):
    """Pipelined requests that wait for an earlier one on their connection."""

    async def test_time_spent_waiting_behind_another_request_counts(self) -> None:
        """The deadline sent to a server must count from the request's arrival, not from its processing."""
        waited = 0.3  # seconds

        async def late(request: Received) -> None:
            asyncio.get_running_loop().call_later(waited, request.write, answer(request.id))

        self.script.behaviours = [late, late]
        client = await self.client()
        client.send(
            post("/plain/x", "first", deadline_ms=8000) + post("/plain/x", "second", deadline_ms=5000)
        )
        for name in ("first", "second"):
            got = await asyncio.wait_for(client.read(), PATIENCE)
            self.assertEqual(got.headers["x-brackenladder-request-id"], name)
        told = [int(r.header("X-Brackenladder-Request-Deadline-Ms") or "0") for r in self.script.requests]
        self.assertLessEqual(told[1], 5000 - waited * 1000)
        self.assertGreater(told[0], 8000 - waited * 1000)
