"""What operators, servers and gateways of a run have done and seen, in the order in which it happened."""

from __future__ import annotations

from enum import Enum, auto

from attrs import define, field, frozen

from brackenladder.catalog.orders import Order
from brackenladder.simulation.machines import ViewSeen


class Outcome(Enum):
    """How an operator's order has ended for its operator."""

    UNCLEAR = auto()  # it may be in force or not, now or later
    ACKNOWLEDGED = auto()
    CONFLICT = auto()
    INVALID = auto()


@define
class OrderRecord:
    """One order, however often it was sent. Times are microseconds of the run."""

    number: int
    operator: str
    order: Order
    version: int  # that it would put in force; 0: it is no configuration
    invoked_at: int
    valid: bool = True
    outcome: Outcome = Outcome.UNCLEAR
    ended_at: int | None = None
    reply_version: int = 0  # by the answer
    answered_by: str = ""
    answered_at: int = 0  # when the node decided on its answer
    calls: int = 0

    @property
    def acknowledged(self) -> bool:
        """Whether it is in force for certain."""
        return self.outcome is Outcome.ACKNOWLEDGED

    @property
    def refused(self) -> bool:
        """Whether it is certain never to come into force."""
        return self.outcome in (Outcome.CONFLICT, Outcome.INVALID)


@frozen
class ReadRecord:
    """A configuration that was read back."""

    operator: str
    invoked_at: int
    ended_at: int
    version: int
    order: int
    answered_by: str
    answered_at: int


@frozen
class ServerAck:
    """A control node has acknowledged a server's word."""

    server: str
    draining: bool  # it said that it drains, or has ended
    answered_by: str
    answered_at: int
    received_at: int


@define
class History:
    """All of it."""

    orders: list[OrderRecord] = field(factory=list)
    reads: list[ReadRecord] = field(factory=list)
    acks: list[ServerAck] = field(factory=list)
    views: list[ViewSeen] = field(factory=list)

    def order(self, number: int) -> OrderRecord | None:
        """The order with this number; 0 stands for none."""
        return self.orders[number - 1] if 0 < number <= len(self.orders) else None
