"""SoftState publishes its catalog, and uses it for the directory, only while it is known to be current."""

from __future__ import annotations

import json
from unittest import TestCase

from control_cluster import configuration

from brackenladder.catalog.catalog import Catalog
from brackenladder.catalog.orders import ReplaceConfiguration, encode_order
from brackenladder.consensus.messages import UNKNOWN_AGE
from brackenladder.control_plane.soft_state import IN_TOUCH_AGE, SoftState
from brackenladder.delivery.messages import FRESH_AGE, CatalogUpdate, ServersUpdate, Subscribe
from brackenladder.registry.directory import ClientLocation, Proximity
from brackenladder.registry.gateways import SETTLE_TIME, GatewayState

HEARTBEAT = 1_200_000
START = 100_000_000
FRONT = "127.0.0.1:8144"


class NoPeers:
    """`PeerLinks` of a node without other control nodes."""

    def link(self, replica_id: str) -> None:
        return None

    def broadcast(self, message: object) -> None:
        pass


class GatewayLink:
    """The link of a gateway, which records the messages sent over it."""

    time_since_receive = 0

    def __init__(self) -> None:
        self.sent: list[object] = []

    def send(self, message: object) -> bool:
        self.sent.append(message)
        return True

    def messages(self, kind: type) -> list[object]:
        return [message for message in self.sent if isinstance(message, kind)]


class CatalogAgeTest(TestCase):
    """Catalogs of different ages. The test case itself is the `ReplicatedStateAge`; contact is constant."""

    def contact_age(self) -> int:
        return 0

    def catalog_age(self) -> int:
        return self.age

    def lacks_committed(self) -> bool:
        return self.age > IN_TOUCH_AGE

    def setUp(self) -> None:
        self.now = START
        self.age = UNKNOWN_AGE
        self.state = SoftState(lambda: self.now, self, NoPeers(), HEARTBEAT, "north")
        self.catalog = Catalog()
        body = json.dumps(configuration(7, "a")).encode()
        self.catalog.apply(5, encode_order(ReplaceConfiguration(0, body)))
        self.state.catalog_changed(self.catalog)
        self.link = GatewayLink()
        self.state.gateway_received(
            self.link, Subscribe("gateway-1", 1, FRONT, "hall-1", "north", GatewayState.READY, 1)
        )

    def test_outdated_catalog_is_not_published(self) -> None:
        self.assertTrue(self.state.in_touch)
        self.assertEqual(self.link.messages(CatalogUpdate), [])
        self.age = IN_TOUCH_AGE
        self.state.tick()
        [update] = self.link.messages(CatalogUpdate)
        assert isinstance(update, CatalogUpdate)
        self.assertEqual(update.revision, 5)

    def test_outdated_catalog_makes_no_gateway_ready(self) -> None:
        self.now += 2 * HEARTBEAT
        second_link = GatewayLink()
        self.state.gateway_received(
            second_link, Subscribe("gateway-2", 1, FRONT, "hall-1", "north", GatewayState.STARTING, 1)
        )
        [update] = second_link.messages(ServersUpdate)
        assert isinstance(update, ServersUpdate)
        self.assertGreater(update.leader_contact_age, FRESH_AGE)

    def test_outdated_catalog_keeps_clients_in_their_region(self) -> None:
        self.now += SETTLE_TIME
        self.state.gateway_received(
            self.link, Subscribe("gateway-1", 1, FRONT, "hall-1", "north", GatewayState.READY, 2)
        )
        host = self.catalog.configuration.routes[0].host if self.catalog.configuration else ""
        client = ClientLocation(host, "south", "hall-2")
        self.assertEqual(self.state.resolve(client).proximity, Proximity.NOWHERE)
        self.age = 0
        self.assertEqual(self.state.resolve(client).proximity, Proximity.ELSEWHERE)
