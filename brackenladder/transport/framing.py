"""Frames on a byte stream: a four-byte big-endian length, then the body. An empty body is a ping."""

from __future__ import annotations

from brackenladder.transport.errors import FrameTooLarge, MessageTooLarge

PREFIX_BYTES = 4
PING = bytes(PREFIX_BYTES)


def frame(body: bytes, limit: int) -> bytes:
    """Prefixes a body with its length. Raises MessageTooLarge if the body is longer than `limit`."""
    if len(body) > limit:
        raise MessageTooLarge(f"{len(body)} bytes, the limit is {limit}")
    return len(body).to_bytes(PREFIX_BYTES, "big") + body


class FrameReader:
    """Splits a received byte stream into frame bodies. `limit` may be changed between frames."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._buffer = bytearray()
        self._needed = PREFIX_BYTES  # buffered bytes needed before the next parsing step

    def feed(self, data: bytes) -> None:
        """Adds received bytes."""
        self._buffer += data

    def next_body(self) -> bytes | None:
        """Returns the next complete body (empty for a ping), or None if none has been received completely.

        Raises FrameTooLarge as soon as a length prefix exceeds the limit.
        """
        buffer = self._buffer
        if len(buffer) < self._needed:
            return None
        length = int.from_bytes(buffer[:PREFIX_BYTES], "big")
        if length > self.limit:
            raise FrameTooLarge(f"{length} bytes, the limit is {self.limit}")
        end = PREFIX_BYTES + length
        if len(buffer) < end:
            self._needed = end
            return None
        body = bytes(buffer[PREFIX_BYTES:end])
        del buffer[:end]
        self._needed = PREFIX_BYTES
        return body
