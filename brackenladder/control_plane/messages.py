"""Messages of the control nodes among themselves, beside those of consensus and delivery."""

from __future__ import annotations

from enum import IntEnum

from attrs import frozen

UNKNOWN_ORDER = 1 << 62  # a node of an earlier version does not tell


class OrderOutcome(IntEnum):
    """What became of an operator's order."""

    ACCEPTED = 0  # committed, now or earlier
    INVALID = 1
    CONFLICT = 2  # it builds on another version than the current one
    UNAVAILABLE = 3  # no clear answer: it may have been committed or not


@frozen
class Hello:
    """The first message on a link between control nodes, in both directions."""

    replica_id: str
    address: str  # "ip:port" where it listens for other nodes
    zone: str = ""
    region: str = ""
    neighbours: tuple[str, ...] = ()  # addresses of the control nodes that it is connected to
    newest_order: int = UNKNOWN_ORDER  # index of the newest order in its log, committed or not


@frozen
class ForwardOrder:
    """An encoded order that a node hands on to the leader."""

    request: int
    order: bytes


@frozen
class OrderReply:
    """The leader's answer to `ForwardOrder`."""

    request: int
    outcome: OrderOutcome
    version: int = 0  # ACCEPTED: the version in force; CONFLICT: the current one
    faults: tuple[str, ...] = ()


@frozen
class OrderPart:
    """A part of an encoded order that is too large for one message; parts come in sequence."""

    request: int
    offset: int
    total: int  # bytes of the whole order
    data: bytes


@frozen
class OrderPartReceived:
    """The leader's node has the first `received` bytes of an order and waits for the rest."""

    request: int
    received: int


@frozen
class ForwardRead:
    """Asks the leader for the newest configuration document."""

    request: int
    revision: int  # of the document that the asking node holds
    document: bool = True  # the reply is to bring a newer one along; nodes of this version wait for it


@frozen
class ReadReply:
    """The leader's answer to `ForwardRead`."""

    request: int
    confirmed: bool  # False: this node could not confirm that it still leads
    revision: int = 0
    document: bytes = b""  # empty if the asking node's revision is the newest


MESSAGE_TYPES: tuple[type, ...] = (
    Hello,
    ForwardOrder,
    OrderReply,
    ForwardRead,
    ReadReply,
    OrderPart,
    OrderPartReceived,
)
