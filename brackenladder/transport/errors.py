"""Errors of the transport, and the reasons why a link ended."""

from __future__ import annotations

from enum import Enum, unique


@unique
class LinkClosed(Enum):
    """Why a link ended or why an attempt to establish one failed."""

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
    """Why received bytes could not be decoded as a message."""

    NOT_MSGPACK = "not one msgpack value within the limits"
    NOT_A_MESSAGE = "not an array that begins with a tag"
    UNKNOWN_TAG = "no message type has this tag"
    MISSING_FIELD = "a field without a default is missing"
    WRONG_TYPE = "a field has another type than the message declares"
    REFUSED_VALUE = "the message type does not accept a value"


class TransportError(Exception):
    """Base class of the transport's exceptions."""


class DecodeError(TransportError):
    """Bytes received from another node can't be decoded."""

    def __init__(self, fault: DecodeFault, detail: str = "") -> None:
        super().__init__(f"{fault.value}: {detail}" if detail else fault.value)
        self.fault = fault
        self.detail = detail


class EncodeError(TransportError):
    """A message can't be encoded: its class isn't registered, or the encoding doesn't support a value."""


class MessageTooLarge(EncodeError):
    """A message's frame would exceed the size limit."""


class UnsupportedType(TransportError):
    """A message class can't be registered: a field's type isn't supported, or the tag is taken."""


class FrameTooLarge(TransportError):
    """A received length prefix announces a frame over the size limit."""


class AddressError(TransportError):
    """A text isn't of the form "ip:port"."""


class ListenError(TransportError):
    """A listening socket could not be bound to the address."""
