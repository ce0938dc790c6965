"""A gateway reports a new configuration revision to its other control nodes."""

from __future__ import annotations

import unittest
from random import Random
from typing import Any, cast

from attrs import define, field

from brackenladder.delivery.messages import Ack, CatalogUpdate, UpdateKind
from brackenladder.delivery.presence import Presence
from brackenladder.delivery.subscriber import Subscriber
from brackenladder.node.control_links import ControlLinks
from brackenladder.prefix_cache.relay_choice import RelayChoice
from brackenladder.transport.link import Link, Transport

DOCUMENT = b'{"Version":1,"Routes":[],"Services":[]}'


@define
class RecordingLink:
    """A link that records the messages sent over it."""

    sent: list[object] = field(factory=list)

    def send(self, message: object) -> bool:
        self.sent.append(message)
        return True


class _NoTransport:
    """A transport that must not dial."""

    def dial(self, *_: Any) -> None:
        raise AssertionError("dialled without seeds")


class ControlLinksTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 1_000_000
        self.links = ControlLinks(
            cast(Transport, _NoTransport()),
            Subscriber(),
            Presence("gateway-1", "127.0.0.1:8144", "hall-1", "north", 1),
            lambda: self.now,
            Random(1),
            RelayChoice("gateway-1", "hall-1", {"hall-1": "north"}),
            lambda _: None,
        )
        self.by_address = {address: RecordingLink() for address in ("10.0.0.1:1", "10.0.0.2:1")}
        for address, link in self.by_address.items():
            self.links.link_up(address, cast(Link, link))
            link.sent.clear()

    def receive(self, address: str, message: object) -> None:
        self.links.received(address, cast(Link, self.by_address[address]), message)

    def test_other_control_nodes_get_an_ack_of_the_new_revision(self) -> None:
        self.receive("10.0.0.1:1", CatalogUpdate(7, 7, DOCUMENT))
        self.assertEqual(self.by_address["10.0.0.2:1"].sent, [Ack(UpdateKind.CATALOG, 7)])

    def test_no_ack_when_they_send_the_same_revision(self) -> None:
        self.receive("10.0.0.1:1", CatalogUpdate(7, 7, DOCUMENT))
        self.by_address["10.0.0.1:1"].sent.clear()
        self.receive("10.0.0.2:1", CatalogUpdate(7, 7))
        self.assertEqual(self.by_address["10.0.0.1:1"].sent, [])
