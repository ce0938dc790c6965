"""Responses without a length: the end of the connection ends them, whether or not the server was done."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from attrs import evolve
from gateway_loopback import (
    PATIENCE,
    SERVICE,
    Behaviour,
    GatewayTest,
    Received,
    answer,
    event,
    microseconds,
    post,
    serve_ok,
    stream_head,
)

from brackenladder.gateway.upstream import MAX_BUFFERED_BODY
from brackenladder.registry.records import ServerRecord, ServerState

CHUNKED = b"Transfer-Encoding: chunked\r\nKeep-Alive: timeout=5\r\n"


def unframed_stream_head(request_id: str) -> bytes:
    """The head of an event stream without a length."""
    return stream_head(request_id).replace(CHUNKED, b"Connection: close\r\n")


def send_unframed(body: bytes, awaits_client: bool = False):  # type: ignore[no-untyped-def]
    """A server that sends this body and then closes the connection with a FIN, as a crash does too."""

    async def behaviour(request: Received) -> None:
        request.write(unframed_stream_head(request.id) + body)
        await request.writer.drain()
        if awaits_client:
            await request.client_read.wait()
        request.writer.write_eof()
        await request.client_closed()

    return behaviour


class PartialEvents(GatewayTest):
    """ORDER: a stream that a crash cut within an event must not look complete."""

    servers = 3
    cuts = (1, 9, len(event(2)) - 2, len(event(2)) - 1)  # bytes of the second event that were sent

    async def test_a_stream_cut_within_an_event_is_broken_off(self) -> None:
        """Guards against a stream that a crash cut within an event, and that ended as complete (ORDER)."""
        for cut in self.cuts:
            with self.subTest(cut=cut):
                self.play(send_unframed(event(1) + event(2)[:cut], awaits_client=True))
                got = await self.ask(post("/stream/x"))
                self.assertEqual((got.status, got.body, got.whole), (200, event(1), False))

    async def test_a_resumable_stream_cut_within_an_event_is_resumed(self) -> None:
        for cut in self.cuts:
            with self.subTest(cut=cut):
                self.play(
                    send_unframed(event(1) + event(2)[:cut], awaits_client=True),
                    send_unframed(event(2) + event(3)),
                )
                got = await self.ask(post("/resumable/x"))
                self.assertEqual((got.body, got.whole), (event(1) + event(2) + event(3), True))
                self.assertEqual(self.script.requests[-1].header("Last-Event-Id"), "1")

    async def test_a_successor_cut_within_an_event_is_no_end_either(self) -> None:
        self.play(
            send_unframed(event(1) + event(2)[:5], awaits_client=True),
            send_unframed(event(2) + event(3)[:5]),
        )
        got = await self.ask(post("/resumable/x"))
        self.assertEqual(got.whole, False)
        self.assertIn(got.body, (event(1), event(1) + event(2)))

    async def test_a_cut_within_the_first_event_is_no_response(self) -> None:
        self.play(send_unframed(event(1)[:5]))
        got = await self.ask(post("/stream/x"))
        self.assertEqual((got.status, got.whole), (502, True))
        self.play(send_unframed(event(1)[:5]), send_unframed(event(1)))
        got = await self.ask(post("/resumable/x"))
        self.assertEqual((got.status, got.body, got.whole), (200, event(1), True))

    async def test_a_whole_stream_without_a_length_is_complete(self) -> None:
        for body in (event(1) + event(2), event(1) + event(2) + b"\n", b""):
            with self.subTest(body=body):
                self.play(send_unframed(body))
                got = await asyncio.wait_for(self.ask(post("/stream/x")), PATIENCE)
                self.assertEqual((got.status, got.body, got.whole), (200, body, True))


class CrashesAtWholeEvents(GatewayTest):
    """ORDER, MIXED: a body without a length that ends because its server's process died is not complete."""

    servers = 3

    def crash_after(self, body: bytes, head: Behaviour, awaits_client: bool = False) -> Behaviour:
        """A server whose process dies after this body: its listening socket and connections are closed."""

        async def behaviour(request: Received) -> None:
            await head(request)
            request.write(body)
            await request.writer.drain()
            if awaits_client:
                await request.client_read.wait()
            self.close_listener(request)
            request.writer.write_eof()
            await request.client_closed()

        return behaviour

    def close_listener(self, request: Received) -> None:
        """Close the listening socket of the server that received the request."""
        stand_in = next(one for one in self.stand_ins if one.name == request.server)
        stand_in.stop_listening()

    def report_gone(self, name: str, expired: bool) -> None:
        """Report that a server has timed out (`expired`) or deregistered."""
        stand_in = next(one for one in self.stand_ins if one.name == name)
        record = ServerRecord(name, SERVICE, stand_in.address, "za", 16, ServerState.GONE, 2, expired=expired)
        self.view.merge_servers(microseconds(), [record])

    def announce(self, names: Iterable[str], remaining: int = -1) -> None:
        """Report these servers as draining; they end after `remaining` microseconds, if it is not -1."""
        records = [
            ServerRecord(one.name, SERVICE, one.address, "za", 16, ServerState.DRAINING, 2)
            for one in self.stand_ins
            if one.name in names
        ]
        self.view.merge_servers(microseconds(), [evolve(one, remaining=remaining) for one in records])

    async def test_a_stream_cut_between_events_is_broken_off(self) -> None:
        """Guards against a stream cut between two events by a crash, and that ended as complete (ORDER)."""
        self.play(self.crash_after(event(1) + event(2), stream_start, awaits_client=True))
        got = await self.ask(post("/stream/x"))
        self.assertEqual((got.status, got.whole), (200, False))

    async def test_a_resumable_stream_cut_between_events_is_resumed(self) -> None:
        self.play(
            self.crash_after(event(1), stream_start, awaits_client=True), send_unframed(event(2) + event(3))
        )
        got = await self.ask(post("/resumable/x"))
        self.assertEqual((got.body, got.whole), (event(1) + event(2) + event(3), True))

    async def test_another_body_cut_by_a_crash_is_no_success(self) -> None:
        """Guards against a body without a length that a crash cut, and that looked complete (MIXED)."""
        for size in (0, 10, 100_000):
            with self.subTest(size=size):
                self.play(self.crash_after(b"x" * size, body_start), serve_ok)
                got = await self.ask(post("/plain/x"))
                self.assertEqual((got.status, got.whole), (502, True))
                self.assertNotIn("x-brackenladder-response-signature", got.headers)

    async def test_a_safe_request_goes_to_another_server(self) -> None:
        self.play(self.crash_after(b"half", body_start), serve_ok)
        got = await self.ask(post("/safe/x"))
        self.assertEqual((got.status, got.body), (200, b"ok"))

    async def test_a_large_body_cut_by_a_crash_is_broken_off(self) -> None:
        self.play(self.crash_after(b"x" * (MAX_BUFFERED_BODY + 10), body_start))
        got = await self.ask(post("/plain/x"))
        self.assertEqual((got.status, got.whole), (200, False))

    async def test_a_server_that_drains_may_have_closed_its_listener(self) -> None:
        async def start_and_drain(request: Received) -> None:
            await stream_start(request)
            self.announce([request.server])

        self.play(self.crash_after(event(1), start_and_drain))
        got = await self.ask(post("/stream/x"))
        self.assertEqual((got.status, got.body, got.whole), (200, event(1), True))

    async def test_a_server_whose_crash_is_noticed_has_not_announced_its_end(self) -> None:
        async def start_and_time_out(request: Received) -> None:
            await stream_start(request)
            self.report_gone(request.server, expired=True)

        self.play(self.crash_after(event(1), start_and_time_out, awaits_client=True))
        got = await self.ask(post("/stream/x"))
        self.assertEqual((got.status, got.whole), (200, False))

    async def test_a_server_that_has_deregistered_may_have_closed_its_listener(self) -> None:
        async def start_and_deregister(request: Received) -> None:
            await stream_start(request)
            self.report_gone(request.server, expired=False)

        self.play(self.crash_after(event(1), start_and_deregister))
        got = await self.ask(post("/stream/x"))
        self.assertEqual((got.status, got.body, got.whole), (200, event(1), True))

    async def test_a_server_that_was_replaced_at_its_address_has_crashed(self) -> None:
        async def start_and_be_replaced(request: Received) -> None:
            await stream_start(request)
            request.write(event(1))
            await request.client_read.wait()
            successor = next(one for one in self.stand_ins if one.name == request.server)
            record = ServerRecord("new", SERVICE, successor.address, "za", 16, ServerState.READY, 1)
            self.view.merge_servers(microseconds(), [record])
            request.writer.write_eof()  # the address still accepts connections
            await request.client_closed()

        self.play(start_and_be_replaced)
        got = await self.ask(post("/stream/x"))
        self.assertEqual((got.status, got.whole), (200, False))

    async def test_a_server_that_is_terminated_is_not_expected_to_finish(self) -> None:
        async def start_and_announce(request: Received) -> None:
            await stream_start(request)
            self.announce([request.server], remaining=2_000_000)

        self.play(self.crash_after(event(1), start_and_announce, awaits_client=True))
        got = await self.ask(post("/stream/x"))
        self.assertEqual((got.status, got.whole), (200, False))

    async def test_a_server_that_cannot_be_reached_is_believed(self) -> None:
        async def behaviour(request: Received) -> None:
            next(one for one in self.stand_ins if one.name == request.server).hang_connects()
            request.write(unframed_stream_head(request.id) + event(1))
            request.writer.write_eof()
            await request.client_closed()

        self.play(behaviour)
        got = await self.ask(post("/stream/x"))
        self.assertEqual((got.status, got.body, got.whole), (200, event(1), True))


async def stream_start(request: Received) -> None:
    """Send the head of a stream without a length."""
    request.write(unframed_stream_head(request.id))


async def body_start(request: Received) -> None:
    """Send the head of a response without a length that is no stream."""
    request.write(answer(request.id, b"").replace(b"Content-Length: 0\r\n", b"Connection: close\r\n"))
