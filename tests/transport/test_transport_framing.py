"""Tests of splitting a byte stream into frames."""

from __future__ import annotations

from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from brackenladder.transport.errors import FrameTooLarge, MessageTooLarge
from brackenladder.transport.framing import PING, FrameReader, frame

LIMIT = 100


class FramingTest(TestCase):
    def bodies(self, reader: FrameReader) -> list[bytes]:
        return list(iter(reader.next_body, None))

    @settings(deadline=None)
    @given(st.lists(st.binary(max_size=LIMIT)), st.data())
    def test_bodies_come_out_however_the_stream_is_cut(self, bodies, data):
        stream = b"".join(frame(body, LIMIT) for body in bodies)
        reader, found = FrameReader(LIMIT), []
        while stream:
            size = data.draw(st.integers(1, len(stream)))
            reader.feed(stream[:size])
            stream = stream[size:]
            found += self.bodies(reader)
        self.assertEqual(found, bodies)

    def test_a_ping_is_an_empty_body(self):
        self.assertEqual(frame(b"", LIMIT), PING)
        reader = FrameReader(LIMIT)
        reader.feed(PING + PING)
        self.assertEqual(self.bodies(reader), [b"", b""])

    def test_a_frame_over_the_limit_is_refused_at_its_prefix(self):
        reader = FrameReader(LIMIT)
        reader.feed((LIMIT + 1).to_bytes(4, "big"))
        with self.assertRaises(FrameTooLarge):
            reader.next_body()
        with self.assertRaises(MessageTooLarge):
            frame(bytes(LIMIT + 1), LIMIT)

    def test_the_limit_may_change_between_frames(self):
        reader = FrameReader(1)
        reader.feed(frame(b"a", LIMIT) + frame(b"bb", LIMIT))
        self.assertEqual(reader.next_body(), b"a")
        reader.limit = 2
        self.assertEqual(reader.next_body(), b"bb")

    @settings(deadline=None)
    @given(st.binary())
    def test_any_bytes_give_bodies_or_too_large(self, data):
        reader = FrameReader(LIMIT)
        reader.feed(data)
        try:
            bodies = self.bodies(reader)
        except FrameTooLarge:
            return
        self.assertTrue(all(len(body) <= LIMIT for body in bodies))
