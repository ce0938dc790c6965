"""Tests of a TCP link on a simulated connection."""

from __future__ import annotations

import asyncio
from unittest import IsolatedAsyncioTestCase

from transport.support import Note, Recorder, next_iteration, note_codec

from brackenladder.transport.errors import LinkClosed
from brackenladder.transport.framing import PING, frame
from brackenladder.transport.handshake import encode_hello
from brackenladder.transport.keepalive import Keepalive
from brackenladder.transport.link import LinkLimits, LinkTiming, ProtocolVersions
from brackenladder.transport.tcp_link import LinkSettings, TcpLink

LIMIT = 16 << 20


class FakeConnection(asyncio.Transport):
    """Records what is written. `buffered` simulates the number of bytes that the kernel hasn't taken."""

    def __init__(self) -> None:
        super().__init__({"peername": ("127.0.0.1", 7)})
        self.written: list[bytes] = []
        self.buffered = 0
        self.ended = ""

    def write(self, data: bytes) -> None:
        self.written.append(bytes(data))

    def get_write_buffer_size(self) -> int:
        return self.buffered

    def is_closing(self) -> bool:
        return bool(self.ended)

    def close(self) -> None:
        self.ended = "closed"

    def abort(self) -> None:
        self.ended = "aborted"


class TcpLinkTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        loop, timing = asyncio.get_running_loop(), LinkTiming()
        self.settings = LinkSettings(
            loop=loop,
            codec=note_codec(),
            timing=timing,
            limits=LinkLimits(queue_bytes=1_000),
            versions=ProtocolVersions(),
            name="near",
            keepalive=Keepalive(loop, timing),
        )
        self.side, self.ends = Recorder(), []
        self.link = TcpLink(self.settings, self.side, lambda link, reason: self.ends.append(reason))
        self.connection = FakeConnection()
        self.link.connection_made(self.connection)
        self.addCleanup(self.settings.keepalive.discard, self.link)

    def receive_hello(self) -> None:
        self.link.data_received(frame(encode_hello(ProtocolVersions(), "far"), LIMIT))

    async def test_it_sends_only_its_hello_before_it_receives_one(self):
        self.assertEqual(self.connection.written, [frame(encode_hello(ProtocolVersions(), "near"), LIMIT)])
        self.assertFalse(self.link.send(Note(1)))
        self.receive_hello()
        self.assertEqual((self.link.peer, self.link.remote), ("far", "127.0.0.1:7"))

    async def test_messages_of_one_iteration_are_one_write(self):
        self.receive_hello()
        self.connection.written.clear()
        notes = [Note(number) for number in range(5)]
        for note in notes:
            self.link.send(note)
        self.assertEqual(self.connection.written, [])
        await next_iteration()
        expected = b"".join(frame(note_codec().encode(note), LIMIT) for note in notes)
        self.assertEqual(self.connection.written, [expected])
        self.assertEqual(self.link.queued_bytes, 0)

    async def test_bytes_buffered_in_the_connection_count_for_the_queue_limit(self):
        self.receive_hello()
        self.connection.buffered = 990
        self.assertTrue(self.link.send(Note(1)))
        self.assertFalse(self.link.send(Note(2, body=bytes(10))))

    async def test_a_ping_is_not_sent_behind_other_bytes(self):
        self.receive_hello()
        self.connection.written.clear()
        self.connection.buffered = 1
        self.link.ping(5.0)
        self.assertEqual((self.connection.written, self.link.last_sent_at), ([], 5.0))
        self.connection.buffered = 0
        self.link.ping(6.0)
        self.assertEqual(self.connection.written, [PING])

    async def test_pings_are_not_passed_to_the_handler(self):
        self.receive_hello()
        self.link.data_received(PING + frame(note_codec().encode(Note(1)), LIMIT) + PING)
        self.assertEqual(self.side.messages, [Note(1)])

    async def test_the_first_reason_is_reported(self):
        self.receive_hello()
        self.link.on_silence_timeout()
        self.link.close()
        self.link.data_received(b"\0\0\0\1\xc1")
        self.assertEqual((self.connection.ended, self.side.reasons), ("aborted", []))
        self.link.connection_lost(None)
        self.assertEqual((self.side.reasons, self.ends), ([LinkClosed.SILENT], [LinkClosed.SILENT]))

    async def test_a_closing_link_that_stays_silent_is_aborted(self):
        self.receive_hello()
        self.link.close()
        self.assertEqual(self.connection.ended, "closed")
        self.link.on_silence_timeout()
        self.assertEqual(self.connection.ended, "aborted")
        self.link.connection_lost(None)
        self.assertEqual(self.side.reasons, [LinkClosed.LOCAL])

    async def test_a_batch_is_written_before_a_close(self):
        self.receive_hello()
        self.connection.written.clear()
        self.link.send(Note(1))
        self.link.close()
        self.assertEqual(self.connection.written, [frame(note_codec().encode(Note(1)), LIMIT)])
        await next_iteration()
        self.assertEqual(len(self.connection.written), 1)

    async def test_a_link_closed_before_its_connection_is_made_sends_nothing(self):
        link = TcpLink(self.settings, self.side, lambda link, reason: self.ends.append(reason))
        link.close()
        connection = FakeConnection()
        link.connection_made(connection)
        self.assertEqual((connection.written, connection.ended), ([], "aborted"))
        link.connection_lost(None)
        self.assertEqual((self.side.calls, self.ends), ([], [LinkClosed.LOCAL]))

    async def test_an_error_of_the_connection_is_a_loss(self):
        self.receive_hello()
        self.link.connection_lost(ConnectionResetError())
        self.assertEqual(self.side.reasons, [LinkClosed.LOST])
        self.assertFalse(self.link.send(Note(1)))
