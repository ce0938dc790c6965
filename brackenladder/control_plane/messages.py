"""Messages between control nodes, except those of consensus and delivery."""

from __future__ import annotations

from enum import IntEnum

from attrs import frozen

UNKNOWN_ORDER = 1 << 62  # in place of a log index, from nodes of earlier versions that report none


class OrderOutcome(IntEnum):
    """The outcome of an operator's order: a change of the configuration or of the evacuated zones."""

    ACCEPTED = 0  # committed, now or earlier
    INVALID = 1
    CONFLICT = 2  # the base version of the order is not the current version
    UNAVAILABLE = 3  # unknown: it may or may not have been committed


@frozen
class Hello:
    """The first message on a link between control nodes, in both directions."""

    replica_id: str
    address: str  # "ip:port" on which it accepts links of other nodes
    zone: str = ""
    region: str = ""
    neighbours: tuple[str, ...] = ()  # addresses of the control nodes it is connected to
    newest_order: int = UNKNOWN_ORDER  # index of the newest order in its log, committed or not


@frozen
class ForwardOrder:
    """An encoded order that a node forwards to the leader."""

    request: int
    order: bytes


@frozen
class OrderReply:
    """The leader's answer to `ForwardOrder`: what became of the operator's order."""

    request: int
    outcome: OrderOutcome
    version: int = 0  # ACCEPTED: the resulting version; CONFLICT: the current one
    faults: tuple[str, ...] = ()
    # UNAVAILABLE: the order was overtaken by a later one or its fence is too low, so it never takes effect.
    outdated: bool = False
    applied_index: int = 0  # log index up to which the leader had applied the log; 0: not reported


@frozen
class OrderPart:
    """A part of an encoded order that is too large for one message. Parts are sent in sequence."""

    request: int
    offset: int
    total: int  # size of the whole order in bytes
    data: bytes


@frozen
class OrderPartReceived:
    """The leader's acknowledgement of the first `received` bytes of an order in parts."""

    request: int
    received: int


@frozen
class ForwardRead:
    """Asks the leader for its newest catalog revision and, if `document` is set, the configuration."""

    request: int
    revision: int  # revision of the sender's catalog
    # Whether the reply must include the configuration if its revision differs from `revision`; this program
    # version always sends False.
    document: bool = True


@frozen
class ReadReply:
    """The leader's answer to `ForwardRead`: the current revision and, if asked, configuration."""

    request: int
    confirmed: bool  # False: the sender could not confirm that it still leads
    revision: int = 0
    # The configuration; empty if it was not requested, or if the requesting node already has it.
    document: bytes = b""


MESSAGE_TYPES: tuple[type, ...] = (
    Hello,
    ForwardOrder,
    OrderReply,
    ForwardRead,
    ReadReply,
    OrderPart,
    OrderPartReceived,
)
