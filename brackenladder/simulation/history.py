"""Records what operators, servers and gateways did and observed in a run, in order of time."""

from __future__ import annotations

from enum import Enum, auto

from attrs import define, field, frozen

from brackenladder.catalog.orders import Order
from brackenladder.simulation.machines import ViewSeen


class Outcome(Enum):
    """The result of an order as its operator knows it."""

    UNCLEAR = auto()  # the order may or may not be applied, now or later
    ACKNOWLEDGED = auto()
    CONFLICT = auto()
    INVALID = auto()


@define
class OrderRecord:
    """One order, however often it was sent. Times are in microseconds since the start of the run."""

    number: int
    operator: str
    order: Order
    version: int  # the configuration version that it creates; 0 for orders that are no configuration
    invoked_at: int
    valid: bool = True
    outcome: Outcome = Outcome.UNCLEAR
    ended_at: int | None = None
    reply_version: int = 0  # the version in the reply
    answered_by: str = ""
    answered_at: int = 0  # time at which the node decided on its reply
    calls: int = 0
    sent_to: str = ""  # the machine of the latest call
    applied_index: int = 0  # of an acknowledged order: an index by which it was applied
    given_up_at: int | None = None  # time at which the operator stopped sending it without an answer

    @property
    def last_sent_before(self) -> int | None:
        """The time at which the operator was done with it; None if it never was."""
        return self.given_up_at if self.ended_at is None else self.ended_at

    @property
    def acknowledged(self) -> bool:
        """Whether the order has certainly been applied."""
        return self.outcome is Outcome.ACKNOWLEDGED

    @property
    def refused(self) -> bool:
        """Whether the order will certainly never be applied."""
        return self.outcome in (Outcome.CONFLICT, Outcome.INVALID)


@frozen
class ReadRecord:
    """A configuration that an operator read back."""

    operator: str
    invoked_at: int
    ended_at: int
    version: int
    order: int
    answered_by: str
    answered_at: int


@frozen
class ServerAck:
    """A control node's acknowledgement of a server's heartbeat or deregistration."""

    server: str
    draining: bool  # the server had reported that it drains or ends
    answered_by: str
    answered_at: int
    received_at: int


@frozen
class ZoneSeen:
    """The state of a zone after an accepted evacuation order, and when a node was first seen to have it."""

    evacuated: bool
    at: int


@define
class History:
    """The orders, reads, acknowledgements to servers and gateway states recorded in a run."""

    orders: list[OrderRecord] = field(factory=list)
    reads: list[ReadRecord] = field(factory=list)
    acks: list[ServerAck] = field(factory=list)
    views: list[ViewSeen] = field(factory=list)
    # By the zone and the log index of an accepted evacuation order for it.
    evacuations: dict[tuple[str, int], ZoneSeen] = field(factory=dict)

    def order(self, number: int) -> OrderRecord | None:
        """Returns the order with this number; None for 0, which means no order."""
        return self.orders[number - 1] if 0 < number <= len(self.orders) else None
