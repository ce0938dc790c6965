"""Event streams through a gateway: whole events, visible breaks, resumption at another server."""

from __future__ import annotations

import asyncio

from attrs import evolve
from gateway_loopback import (
    LAST_CHUNK,
    PATIENCE,
    RESUMABLE,
    ROUTES,
    STREAM,
    ClientAnswer,
    GatewayTest,
    Received,
    chunk,
    event,
    post,
    reject_request,
    serve_ok,
    silent,
    stream_head,
)


def events(*numbers: int) -> bytes:
    return b"".join(event(number) for number in numbers)


def send_events(*numbers: int, stamp: str = "stamp.1", end: bytes = LAST_CHUNK):  # type: ignore[no-untyped-def]
    """A server that sends these events and then `end`.

    Without an end it resets the connection as soon as the client has received an event.
    """

    async def behaviour(request: Received) -> None:
        request.write(stream_head(request.id, stamp))
        for number in numbers:
            request.write(chunk(event(number)))
        request.write(end)
        await request.writer.drain()
        if end:
            return
        if numbers:
            await request.client_read.wait()
        request.reset()

    return behaviour


class Streams(GatewayTest):
    async def test_events_are_forwarded_as_they_arrive(self) -> None:
        more = asyncio.Event()

        async def paced(request: Received) -> None:
            request.write(stream_head(request.id) + chunk(event(1)[:5]))
            request.write(chunk(event(1)[5:] + event(2) + event(3)[:4]))
            await more.wait()
            request.write(chunk(event(3)[4:]) + LAST_CHUNK)

        self.play(paced)
        client = await self.client()
        client.send(post("/stream/x"))
        status, headers = await asyncio.wait_for(client.head(), PATIENCE)
        self.assertEqual((status, headers["content-type"]), (200, "text/event-stream"))
        self.assertEqual(headers["x-brackenladder-response-signature"], "stamp.1")
        got = await asyncio.wait_for(client.read_chunk(), PATIENCE)
        self.assertEqual(got, events(1, 2))
        more.set()
        self.assertEqual(await asyncio.wait_for(client.read_chunk(), PATIENCE), event(3))
        self.assertEqual(await asyncio.wait_for(client.read_chunk(), PATIENCE), b"")
        self.play(send_events(7))
        got = await asyncio.wait_for(client.ask(post("/stream/x", "r2")), PATIENCE)
        self.assertEqual((got.body, got.whole), (event(7), True))
        self.assertLessEqual(sum(stand_in.connections for stand_in in self.stand_ins), 2)

    async def test_bytes_after_the_last_event_are_part_of_the_body(self) -> None:
        async def odd(request: Received) -> None:
            request.write(stream_head(request.id) + chunk(event(1) + b": rest") + LAST_CHUNK)

        for path in ("/stream/x", "/resumable/x"):
            self.play(odd)
            got = await self.ask(post(path))
            self.assertEqual((got.body, got.whole), (event(1) + b": rest", True))

    async def test_the_response_begins_with_the_first_event(self) -> None:
        self.play(send_events(end=b""), send_events(1, 2))
        got = await self.ask(post("/resumable/x"))
        self.assertEqual((got.status, got.body, got.whole), (200, events(1, 2), True))
        self.play(send_events(end=b""))
        got = await self.ask(post("/stream/x"))
        self.assertEqual((got.status, got.whole), (502, True))

    async def test_a_rejected_stream_is_sent_to_another_server(self) -> None:
        self.play(reject_request, send_events(1))
        self.assertEqual((await self.ask(post("/stream/x"))).body, event(1))

    async def test_a_broken_stream_is_visible_and_not_retried(self) -> None:
        self.play(send_events(1, 2, end=b""))
        got = await self.ask(post("/stream/x"))
        self.assertEqual((got.status, got.whole), (200, False))
        self.assertIn(got.body, (events(1), events(1, 2)))
        self.assertEqual(len(self.script.requests), 1)

    async def test_a_malformed_chunk_breaks_the_response(self) -> None:
        self.play(send_events(1, end=b"nonsense\r\n"))
        got = await self.ask(post("/stream/x"))
        self.assertIn((got.status, got.whole), ((502, True), (200, False)))
        read = asyncio.Event()

        async def late(request: Received) -> None:
            request.write(stream_head(request.id) + chunk(event(1)))
            await read.wait()
            request.write(b"nonsense\r\n")

        self.play(late)
        client = await self.client()
        client.send(post("/stream/x", "r2"))
        await asyncio.wait_for(client.head(), PATIENCE)
        self.assertEqual(await asyncio.wait_for(client.read_chunk(), PATIENCE), event(1))
        read.set()
        self.assertTrue(await asyncio.wait_for(client.at_end(), PATIENCE))

    async def test_a_disconnecting_client_frees_its_server(self) -> None:
        async def endless(request: Received) -> None:
            request.write(stream_head(request.id) + chunk(event(1)))
            await request.client_closed()

        self.play(endless)
        client = await self.client()
        client.send(post("/stream/x"))
        request = await self.next_request()
        await asyncio.wait_for(client.head(), PATIENCE)
        client.close()
        await asyncio.wait_for(request.closed.wait(), PATIENCE)

    async def test_a_stream_ends_at_the_clients_deadline(self) -> None:
        async def endless(request: Received) -> None:
            request.write(stream_head(request.id) + chunk(event(1)))
            await request.client_closed()

        self.play(endless)
        got = await self.ask(post("/stream/x", deadline_ms=300))
        self.assertEqual((got.body, got.whole), (event(1), False))


class Resumption(GatewayTest):
    servers = 3

    async def ask_stream(self, *extra: str) -> ClientAnswer:
        return await self.ask(post("/resumable/x", extra=extra))

    async def test_a_broken_stream_is_resumed_within_the_same_response(self) -> None:
        self.play(send_events(1, 2, end=b""), send_events(2, 3, 4, stamp="stamp.2"))
        client = await self.client()
        got = await asyncio.wait_for(client.ask(post("/resumable/x", extra=["Last-Event-Id: 0"])), PATIENCE)
        first, second = self.script.requests
        self.assertEqual(first.header("Last-Event-Id"), "0")
        last = int(second.header("Last-Event-Id") or 0)
        self.assertIn(last, (1, 2))
        self.assertNotEqual(first.server, second.server)
        self.assertEqual(second.id, "r1")
        self.assertEqual(
            (first.method, first.target, first.body), (second.method, second.target, second.body)
        )
        self.assertEqual(second.header("X-Brackenladder-Expected-Instance"), second.server)
        if last == 2:
            self.assertEqual((got.body, got.whole), (events(1, 2, 3, 4), True))
        self.assertEqual(got.headers["x-brackenladder-response-signature"], "stamp.1")
        got = await asyncio.wait_for(client.ask(post("/resumable/x", "r2")), PATIENCE)
        self.assertEqual(got.status, 200)

    async def test_events_already_forwarded_are_dropped(self) -> None:
        broken = asyncio.Event()

        async def two_then_reset(request: Received) -> None:
            request.write(stream_head(request.id) + chunk(events(1, 2)))
            await broken.wait()
            request.reset()

        self.play(two_then_reset, send_events(1, 2, 3, 4))
        client = await self.client()
        client.send(post("/resumable/x"))
        await asyncio.wait_for(client.head(), PATIENCE)
        self.assertEqual(await asyncio.wait_for(client.read_chunk(), PATIENCE), events(1, 2))
        broken.set()
        self.assertEqual(await asyncio.wait_for(client.read_chunk(), PATIENCE), events(3, 4))
        self.assertEqual(await asyncio.wait_for(client.read_chunk(), PATIENCE), b"")

    async def test_no_more_servers_than_the_route_allows(self) -> None:
        self.play(send_events(1, end=b""), send_events(2, end=b""), send_events(3))
        got = await self.ask_stream()
        self.assertFalse(got.whole)
        self.assertEqual(len(self.script.requests), 2)

    async def test_a_successor_that_is_no_stream_breaks_the_response(self) -> None:
        for other in (serve_ok, reject_request):
            with self.subTest(other.__name__):
                self.play(send_events(1, end=b""), other)
                got = await self.ask_stream()
                self.assertEqual((got.whole, got.body), (False, event(1)))

    async def test_a_break_before_an_event_with_an_id_cannot_be_resumed(self) -> None:
        async def no_id(request: Received) -> None:
            request.write(stream_head(request.id) + chunk(b"data: x\n\n"))
            await request.client_read.wait()
            request.reset()

        self.play(no_id, send_events(1))
        got = await self.ask_stream()
        self.assertEqual((got.whole, len(self.script.requests)), (False, 1))


class StalledStreams(GatewayTest):
    routes = (
        *ROUTES[:2],
        evolve(STREAM, gap_aim_ms=1),
        evolve(RESUMABLE, gap_aim_ms=1, target_latency_ms=40),
    )

    async def test_a_stalled_stream_is_resumed_elsewhere(self) -> None:
        async def stall(request: Received) -> None:
            request.write(stream_head(request.id) + chunk(event(1)))
            await request.client_closed()

        self.play(stall, send_events(2, 3))
        got = await self.ask(post("/resumable/x"))
        self.assertEqual((got.body, got.whole), (events(1, 2, 3), True))
        await asyncio.wait_for(self.script.requests[0].closed.wait(), PATIENCE)

    async def test_a_stalled_stream_without_a_successor_is_waited_for(self) -> None:
        again = asyncio.Event()

        async def stall(request: Received) -> None:
            request.write(stream_head(request.id) + chunk(event(1)))
            await again.wait()
            request.write(chunk(event(2)) + LAST_CHUNK)

        async def refuse(request: Received) -> None:
            await reject_request(request)
            again.set()

        self.play(stall, refuse)
        got = await self.ask(post("/resumable/x"))
        self.assertEqual((got.body, got.whole), (events(1, 2), True))

    async def test_silence_before_the_first_event_is_retried_elsewhere(self) -> None:
        self.play(silent, send_events(1))
        got = await self.ask(post("/resumable/x", deadline_ms=1000))
        self.assertEqual((got.status, got.body), (200, event(1)))
