"""The first frame each way: who speaks, and which versions of the protocol it speaks."""

from __future__ import annotations

from attrs import frozen

from brackenladder.transport.codec import Codec
from brackenladder.transport.errors import DecodeError, DecodeFault
from brackenladder.transport.link import ProtocolVersions

HELLO_TAG = 0


@frozen
class Hello:
    """Its fields keep their places in all versions of the protocol."""

    lowest: int
    highest: int
    name: str = ""


_CODEC = Codec()
_CODEC.register(HELLO_TAG, Hello)


def encode_hello(versions: ProtocolVersions, name: str) -> bytes:
    """The body of this node's first frame."""
    return _CODEC.encode(Hello(versions.lowest, versions.highest, name))


def decode_hello(body: bytes) -> Hello:
    """The other side's hello; DecodeError if the frame is none."""
    hello = _CODEC.decode(body)
    if not isinstance(hello, Hello):
        raise DecodeError(DecodeFault.NOT_A_MESSAGE)
    return hello
