"""Parsing and formatting of MessagePack-RPC messages, with limits and without I/O.

The format is the published one: request `[0, msgid, method, params]`, response `[1, msgid, error, result]`,
notification `[2, method, params]`. Values that are only forwarded are kept as the received bytes, so that
floats and extension types are not changed by decoding and encoding them.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgpack

REQUEST, RESPONSE, NOTIFICATION = 0, 1, 2
LENGTHS = {REQUEST: 4, RESPONSE: 4, NOTIFICATION: 3}
MAX_MSGID = (1 << 32) - 1
NIL = b"\xc0"


@dataclass(frozen=True)
class MessageLimits:
    """Limits of a message: its size in bytes, the nesting of containers, the length of the method's name."""

    message: int = 65536 + 1024
    nesting: int = 32
    method: int = 256


class ProtocolError(Exception):
    """The stream is malformed and can't be read any further. The text is one line."""


@dataclass(frozen=True)
class Request:
    """A call. `raw` has the received bytes of `params`."""

    msgid: int
    method: str
    params: list[Any]
    raw: bytes


@dataclass(frozen=True)
class Notification:
    """A call without a response."""

    method: str
    params: list[Any]
    raw: bytes


@dataclass(frozen=True)
class Response:
    """A response. `raw_error` and `raw_result` are received bytes, `error` is the decoded error or None."""

    msgid: int
    error: Any
    raw_error: bytes
    raw_result: bytes


Message = Request | Notification | Response


class MessageReader:
    """Splits a stream into messages.

    `feed` returns the complete messages. If the stream is malformed, it returns the messages before the
    fault, sets `error` and ignores further bytes. The owner of the connection then answers these messages and
    closes it.
    """

    def __init__(self, limits: MessageLimits) -> None:
        self.limits = limits
        self.error = ""
        self.buffer = bytearray()
        self.skipper = self.new_skipper()
        self.skipper_bytes = 0  # how many bytes of `buffer` have been passed to the skipper

    def new_skipper(self) -> msgpack.Unpacker:
        """Returns an Unpacker that finds the end of a message and can resume when more bytes arrive."""
        return msgpack.Unpacker(max_buffer_size=0, strict_map_key=False)

    def feed(self, data: bytes) -> list[Message]:
        """Adds received bytes and returns the messages that are now complete, in order."""
        messages: list[Message] = []
        if self.error:
            return messages
        self.buffer += data
        try:
            while True:
                size = self.message_size()
                if not size:
                    break
                message = parse_message(bytes(memoryview(self.buffer)[:size]), self.limits)
                del self.buffer[:size]
                messages.append(message)
        except ProtocolError as e:
            self.error = str(e)
            self.buffer.clear()
        return messages

    def message_size(self) -> int:
        """Returns the size of the first message in the buffer, or 0 if it is incomplete.

        Raises ProtocolError if it is too long.
        """
        limit = self.limits.message
        if self.skipper_bytes < len(self.buffer):
            upto = min(len(self.buffer), limit + 1)
            self.skipper.feed(bytes(memoryview(self.buffer)[self.skipper_bytes : upto]))
            self.skipper_bytes = upto
        try:
            self.skipper.skip()
        except msgpack.OutOfData:
            if self.skipper_bytes > limit:
                raise ProtocolError(f"a message of over {limit} bytes") from None
            return 0
        except (ValueError, msgpack.UnpackException, RecursionError) as e:
            raise ProtocolError(f"not MessagePack: {type(e).__name__}") from None
        size = int(self.skipper.tell())  # bytes of this message only: each message has its own skipper
        if size > limit:
            raise ProtocolError(f"a message of over {limit} bytes")
        # The old skipper may have read bytes of the next message, so the new one gets those bytes again.
        self.skipper = self.new_skipper()
        self.skipper_bytes = 0
        return size

    def buffered(self) -> int:
        """Returns the number of bytes of an incomplete message."""
        return len(self.buffer)


def parse_message(data: bytes, limits: MessageLimits) -> Message:
    """Parses one message. Raises ProtocolError if it is malformed or exceeds the limits."""
    parts = msgpack.Unpacker(max_buffer_size=0, strict_map_key=False, unicode_errors="surrogateescape")
    parts.feed(data)
    try:
        length = parts.read_array_header()
        if not length:
            raise ProtocolError("a message of no parts")
        kind = parts.unpack()
        if type(kind) is not int or LENGTHS.get(kind) != length:
            raise ProtocolError("not a request, a response or a notification")
        if kind == NOTIFICATION:
            method, params, raw = parse_call(parts, data, limits)
            return Notification(method, params, raw)
        msgid = parts.unpack()
        if type(msgid) is not int or not 0 <= msgid <= MAX_MSGID:
            raise ProtocolError("a msgid that is no 32-bit unsigned number")
        if kind == REQUEST:
            method, params, raw = parse_call(parts, data, limits)
            return Request(msgid, method, params, raw)
        start = parts.tell()
        error = parts.unpack()
        middle = parts.tell()
        parts.skip()
        if not nested_at_most(error, limits.nesting):
            raise ProtocolError(f"an error nested over {limits.nesting} deep")
        return Response(msgid, error, data[start:middle], data[middle : parts.tell()])
    except (ValueError, msgpack.UnpackException, RecursionError, OverflowError, TypeError) as e:
        raise ProtocolError(f"not MessagePack: {type(e).__name__}") from None


def parse_call(parts: msgpack.Unpacker, data: bytes, limits: MessageLimits) -> tuple[str, list[Any], bytes]:
    """Parses the method and the params of a call. Also returns the params' bytes."""
    method = parts.unpack()
    if isinstance(method, bytes):  # from clients that don't use MessagePack's string type
        method = method.decode(errors="surrogateescape")
    if not isinstance(method, str) or len(method) > limits.method:
        raise ProtocolError(f"a method that is no name of at most {limits.method} characters")
    start = parts.tell()
    params = parts.unpack()
    if not isinstance(params, list):
        raise ProtocolError("params that are no array")
    if not nested_at_most(params, limits.nesting):
        raise ProtocolError(f"params nested over {limits.nesting} deep")
    return method, params, data[start : parts.tell()]


def nested_at_most(value: Any, limit: int) -> bool:
    """Whether containers are nested at most `limit` deep."""
    level: list[Any] = [value]
    depth = 0
    while level := [item for item in level if isinstance(item, (list, dict))]:
        depth += 1
        if depth > limit:
            return False
        level = [x for item in level for x in (item.values() if isinstance(item, dict) else item)]
    return True


PACK: Callable[[Any], bytes] = msgpack.Packer(use_bin_type=True, unicode_errors="surrogateescape").pack


def request(msgid: int, method: str, raw_params: bytes) -> bytes:
    """Formats a request."""
    return b"\x94\x00" + PACK(msgid) + PACK(method) + raw_params


def notification(method: str, raw_params: bytes) -> bytes:
    """Formats a notification."""
    return b"\x93\x02" + PACK(method) + raw_params


def response(msgid: int, raw_error: bytes, raw_result: bytes) -> bytes:
    """Formats a response."""
    return b"\x94\x01" + PACK(msgid) + raw_error + raw_result
