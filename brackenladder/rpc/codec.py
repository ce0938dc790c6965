"""MessagePack-RPC as a state machine without sockets: bytes in, messages out, within bounds.

The form is the published one: request `[0, msgid, method, params]`, response `[1, msgid, error, result]`,
notification `[2, method, params]`. What is only passed on is kept as the bytes that came, so that a float or
an extension arrives as it was sent, whatever this library would make of it.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgpack

REQUEST, RESPONSE, NOTIFICATION = 0, 1, 2
LENGTHS = {REQUEST: 4, RESPONSE: 4, NOTIFICATION: 3}
MOST_MSGID = (1 << 32) - 1
NIL = b"\xc0"


@dataclass(frozen=True)
class Bounds:
    """What one side may send.

    `message`: bytes; `nesting`: containers in one another; `method`: characters.
    """

    message: int = 65536 + 1024
    nesting: int = 32
    method: int = 256


class Broken(Exception):
    """The stream cannot be read any further; the text says why, in one line."""


@dataclass(frozen=True)
class Request:
    """A call: `params` as decoded, and `raw`, its bytes as they came."""

    msgid: int
    method: str
    params: list[Any]
    raw: bytes


@dataclass(frozen=True)
class Notification:
    """A call that nobody waits for."""

    method: str
    params: list[Any]
    raw: bytes


@dataclass(frozen=True)
class Response:
    """An answer: `error` as decoded (None: there is none); `raw_error` and `raw_result` as they came."""

    msgid: int
    error: Any
    raw_error: bytes
    raw_result: bytes


Message = Request | Notification | Response


class Reader:
    """Cuts a stream into messages.

    `feed` gives what has come whole. Once the stream is broken, the messages before the fault have been
    given, `broken` says why, and nothing more is read: whoever holds the connection answers what it has, and
    ends it.
    """

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.broken = ""
        self.buffer = bytearray()
        self.skipper = self.fresh()
        self.fed = 0  # bytes of the buffer that the skipper has

    def fresh(self) -> msgpack.Unpacker:
        """An Unpacker that only looks for a message's end, and goes on where it stopped for want of bytes."""
        return msgpack.Unpacker(max_buffer_size=0, strict_map_key=False)

    def feed(self, data: bytes) -> list[Message]:
        """The messages that these bytes complete, in their order."""
        messages: list[Message] = []
        if self.broken:
            return messages
        self.buffer += data
        try:
            while True:
                size = self.whole()
                if not size:
                    break
                message = read(bytes(memoryview(self.buffer)[:size]), self.bounds)
                del self.buffer[:size]
                messages.append(message)
        except Broken as e:
            self.broken = str(e)
            self.buffer.clear()
        return messages

    def whole(self) -> int:
        """Bytes of the first message in the buffer; 0 if it has not come whole. Broken if it is too long."""
        room = self.bounds.message
        if self.fed < len(self.buffer):
            upto = min(len(self.buffer), room + 1)
            self.skipper.feed(bytes(memoryview(self.buffer)[self.fed : upto]))
            self.fed = upto
        try:
            self.skipper.skip()
        except msgpack.OutOfData:
            if self.fed > room:
                raise Broken(f"a message of over {room} bytes") from None
            return 0
        except (ValueError, msgpack.UnpackException, RecursionError) as e:
            raise Broken(f"not MessagePack: {type(e).__name__}") from None
        size = int(self.skipper.tell())  # of this message alone: each has a skipper of its own
        if size > room:
            raise Broken(f"a message of over {room} bytes")
        # What it was fed of the next message is fed again, to one that begins there.
        self.skipper = self.fresh()
        self.fed = 0
        return size

    def waiting(self) -> int:
        """Bytes of a message that has not come whole."""
        return len(self.buffer)


def read(data: bytes, bounds: Bounds) -> Message:
    """The message that these bytes are. Broken if it is none, or beyond the bounds."""
    parts = msgpack.Unpacker(max_buffer_size=0, strict_map_key=False, unicode_errors="surrogateescape")
    parts.feed(data)
    try:
        length = parts.read_array_header()
        if not length:
            raise Broken("a message of no parts")
        kind = parts.unpack()
        if type(kind) is not int or LENGTHS.get(kind) != length:
            raise Broken("not a request, a response or a notification")
        if kind == NOTIFICATION:
            method, params, raw = call(parts, data, bounds)
            return Notification(method, params, raw)
        msgid = parts.unpack()
        if type(msgid) is not int or not 0 <= msgid <= MOST_MSGID:
            raise Broken("a msgid that is no 32-bit unsigned number")
        if kind == REQUEST:
            method, params, raw = call(parts, data, bounds)
            return Request(msgid, method, params, raw)
        start = parts.tell()
        error = parts.unpack()
        middle = parts.tell()
        parts.skip()
        if not shallow(error, bounds.nesting):
            raise Broken(f"an error nested over {bounds.nesting} deep")
        return Response(msgid, error, data[start:middle], data[middle : parts.tell()])
    except (ValueError, msgpack.UnpackException, RecursionError, OverflowError, TypeError) as e:
        raise Broken(f"not MessagePack: {type(e).__name__}") from None


def call(parts: msgpack.Unpacker, data: bytes, bounds: Bounds) -> tuple[str, list[Any], bytes]:
    """Method and params of a call, and the params' bytes."""
    method = parts.unpack()
    if isinstance(method, bytes):  # of clients that know no strings
        method = method.decode(errors="surrogateescape")
    if not isinstance(method, str) or len(method) > bounds.method:
        raise Broken(f"a method that is no name of at most {bounds.method} characters")
    start = parts.tell()
    params = parts.unpack()
    if not isinstance(params, list):
        raise Broken("params that are no array")
    if not shallow(params, bounds.nesting):
        raise Broken(f"params nested over {bounds.nesting} deep")
    return method, params, data[start : parts.tell()]


def shallow(value: Any, most: int) -> bool:
    """Whether no more than `most` containers stand in one another."""
    level: list[Any] = [value]
    depth = 0
    while level := [item for item in level if isinstance(item, (list, dict))]:
        depth += 1
        if depth > most:
            return False
        level = [x for item in level for x in (item.values() if isinstance(item, dict) else item)]
    return True


PACK: Callable[[Any], bytes] = msgpack.Packer(use_bin_type=True, unicode_errors="surrogateescape").pack


def request(msgid: int, method: str, raw_params: bytes) -> bytes:
    """A request's bytes."""
    return b"\x94\x00" + PACK(msgid) + PACK(method) + raw_params


def notification(method: str, raw_params: bytes) -> bytes:
    """A notification's bytes."""
    return b"\x93\x02" + PACK(method) + raw_params


def response(msgid: int, raw_error: bytes, raw_result: bytes) -> bytes:
    """A response's bytes."""
    return b"\x94\x01" + PACK(msgid) + raw_error + raw_result
