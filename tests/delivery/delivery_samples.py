"""Sample messages, a parser and a message collector for the tests of delivery."""

from __future__ import annotations

from typing import Any

from registry.registry_samples import SECOND
from returns.result import Failure, Result, Success

from brackenladder.delivery.messages import Ack, Subscribe
from brackenladder.delivery.publisher import Publisher
from brackenladder.registry.gateways import GatewayState

AT = 100 * SECOND
FRESH = 100_000  # microseconds since leader contact
UNREADABLE = b"unreadable"


def parse(document: bytes) -> Result[Any, object]:
    """A parser that returns the document itself as the configuration."""
    return Failure("unreadable") if document == UNREADABLE else Success(document)


def subscribe(have_revision: int = 0, seq: int = 1, relay: bool = True) -> Subscribe:
    """A gateway's presence message, by default to its nearest control node."""
    return Subscribe(
        node="front-1",
        incarnation=1,
        front_address="front-1:8144",
        zone="hall-a",
        region="north",
        state=GatewayState.STARTING,
        seq=seq,
        have_revision=have_revision,
        relay=relay,
    )


class MessageCollector:
    """Collects the messages of a publisher to one subscriber."""

    def __init__(self, publisher: Publisher, name: str = "gateway") -> None:
        self._publisher = publisher
        self._name = name

    def take(self, now: int = AT, age: int = FRESH) -> list[Any]:
        return [
            one.message for one in self._publisher.take_messages(now, age) if one.subscriber == self._name
        ]

    def acknowledge(self, *acks: Ack) -> None:
        for ack in acks:
            self._publisher.acknowledged(self._name, ack)
