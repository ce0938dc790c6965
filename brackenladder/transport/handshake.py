"""The hello frame that each side sends first: its name and the protocol versions that it supports."""

from __future__ import annotations

from attrs import frozen

from brackenladder.transport.codec import Codec
from brackenladder.transport.errors import DecodeError, DecodeFault
from brackenladder.transport.link import ProtocolVersions

HELLO_TAG = 0


@frozen
class Hello:
    """The first message on a link. Its field order is the same in all protocol versions."""

    lowest: int
    highest: int
    name: str = ""


_CODEC = Codec()
_CODEC.register(HELLO_TAG, Hello)


def encode_hello(versions: ProtocolVersions, name: str) -> bytes:
    """Encodes the body of this node's hello frame."""
    return _CODEC.encode(Hello(versions.lowest, versions.highest, name))


def decode_hello(body: bytes) -> Hello:
    """Decodes the other side's hello. Raises DecodeError if the body isn't one."""
    hello = _CODEC.decode(body)
    if not isinstance(hello, Hello):
        raise DecodeError(DecodeFault.NOT_A_MESSAGE)
    return hello
