"""Frames on a byte stream: four bytes of length (big-endian), then the body. An empty body is a ping."""

from __future__ import annotations

from brackenladder.transport.errors import FrameTooLarge, MessageTooLarge

PREFIX_BYTES = 4
PING = bytes(PREFIX_BYTES)


def frame(body: bytes, limit: int) -> bytes:
    """The body with its prefix; MessageTooLarge over the limit."""
    if len(body) > limit:
        raise MessageTooLarge(f"{len(body)} bytes, the limit is {limit}")
    return len(body).to_bytes(PREFIX_BYTES, "big") + body


class FrameReader:
    """Cuts what arrives into bodies. `limit` may be changed between frames."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._buffer = bytearray()
        self._wanted = PREFIX_BYTES  # bytes of the buffer without which there is nothing to do

    def feed(self, data: bytes) -> None:
        """Takes bytes that have arrived."""
        self._buffer += data

    def next_body(self) -> bytes | None:
        """The next whole body (empty: a ping); None until it is there. FrameTooLarge over the limit."""
        buffer = self._buffer
        if len(buffer) < self._wanted:
            return None
        length = int.from_bytes(buffer[:PREFIX_BYTES], "big")
        if length > self.limit:
            raise FrameTooLarge(f"{length} bytes, the limit is {self.limit}")
        end = PREFIX_BYTES + length
        if len(buffer) < end:
            self._wanted = end
            return None
        body = bytes(buffer[PREFIX_BYTES:end])
        del buffer[:end]
        self._wanted = PREFIX_BYTES
        return body
