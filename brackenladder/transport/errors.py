"""What can go wrong between two nodes: typed errors, and the reasons why a link ended."""

from __future__ import annotations

from enum import Enum, unique


@unique
class LinkClosed(Enum):
    """Why a link ended, or why an attempt to make one came to nothing."""

    LOCAL = "closed by this node"
    REMOTE = "closed by the other node"
    LOST = "the connection broke"
    SILENT = "nothing was heard for too long"
    MALFORMED = "a frame could not be read"
    OVERSIZED = "a frame was announced that is larger than the limit"
    INCOMPATIBLE = "no protocol version in common"
    UNREACHABLE = "the connection could not be made"
    TOO_MANY_CONNECTIONS = "too many incoming connections"


@unique
class DecodeFault(Enum):
    """What is wrong with bytes that should have been a message."""

    NOT_MSGPACK = "not one msgpack value within the limits"
    NOT_A_MESSAGE = "not an array that begins with a tag"
    UNKNOWN_TAG = "no message type has this tag"
    MISSING_FIELD = "a field without a default is missing"
    WRONG_TYPE = "a field has another type than the message declares"
    REFUSED_VALUE = "the message type does not accept a value"


class TransportError(Exception):
    """Base class of what the transport raises."""


class DecodeError(TransportError):
    """Bytes from another node that are no message."""

    def __init__(self, fault: DecodeFault, detail: str = "") -> None:
        super().__init__(f"{fault.value}: {detail}" if detail else fault.value)
        self.fault = fault
        self.detail = detail


class EncodeError(TransportError):
    """A message that cannot be sent: its class is not registered, or a value has no encoding."""


class MessageTooLarge(EncodeError):
    """A message whose frame would be over the limit."""


class UnsupportedType(TransportError):
    """A message class with a field that the codec has no encoding for, or a tag that is taken."""


class FrameTooLarge(TransportError):
    """The other side announces a frame over the limit."""


class AddressError(TransportError):
    """Text that is no "ip:port"."""


class ListenError(TransportError):
    """The address could not be bound."""
