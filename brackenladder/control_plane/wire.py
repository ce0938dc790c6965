"""The codecs of node-to-node messages.

The tag of a message must never change: new message types are added at the end of a block.
"""

from __future__ import annotations

from brackenladder.control_plane import messages
from brackenladder.delivery.messages import MESSAGE_TYPES as DELIVERY_TYPES
from brackenladder.transport.codec import Codec

CONSENSUS_BLOCK = 1
DELIVERY_BLOCK = 64
CONTROL_BLOCK = 128


def gateway_codec() -> Codec:
    """The codec for messages between gateways and control nodes."""
    codec = Codec()
    _register(codec, DELIVERY_BLOCK, DELIVERY_TYPES)
    return codec


def control_codec() -> Codec:
    """The codec for messages between control nodes, and between them and gateways."""
    from brackenladder.consensus.messages import MESSAGE_TYPES as CONSENSUS_TYPES

    codec = gateway_codec()
    _register(codec, CONSENSUS_BLOCK, CONSENSUS_TYPES)
    _register(codec, CONTROL_BLOCK, messages.MESSAGE_TYPES)
    return codec


def _register(codec: Codec, first_tag: int, message_types: tuple[type, ...]) -> None:
    for offset, message_type in enumerate(message_types):
        codec.register(first_tag + offset, message_type)
