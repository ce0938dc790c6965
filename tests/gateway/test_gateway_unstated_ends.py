"""Responses without a length: the end of the connection ends them, whether or not the server was done."""

from __future__ import annotations

import asyncio

from gateway_loopback import (
    PATIENCE,
    GatewayTest,
    Received,
    event,
    post,
    stream_head,
)

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
