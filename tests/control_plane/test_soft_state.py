"""What a control node tells gateways and clients by its catalog, while it knows that to be the newest."""

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
    """A node without other control nodes."""

    def link(self, replica_id: str) -> None:
        return None

    def broadcast(self, message: object) -> None:
        pass


class GatewayLink:
    """The link of one gateway; keeps what is sent."""

    silence = 0

    def __init__(self) -> None:
        self.sent: list[object] = []

    def send(self, message: object) -> bool:
        self.sent.append(message)
        return True

    def of(self, kind: type) -> list[object]:
        return [message for message in self.sent if isinstance(message, kind)]


class CatalogAgeTest(TestCase):
    """The node is in contact with its leader all the while."""

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

    def test_a_catalog_that_may_be_old_is_told_to_nobody(self) -> None:
        self.assertTrue(self.state.in_touch)
        self.assertEqual(self.link.of(CatalogUpdate), [])
        self.age = IN_TOUCH_AGE
        self.state.tick()
        [update] = self.link.of(CatalogUpdate)
        assert isinstance(update, CatalogUpdate)
        self.assertEqual(update.revision, 5)

    def test_nor_does_it_make_a_gateway_ready(self) -> None:
        self.now += 2 * HEARTBEAT
        late = GatewayLink()
        self.state.gateway_received(
            late, Subscribe("gateway-2", 1, FRONT, "hall-1", "north", GatewayState.STARTING, 1)
        )
        [update] = late.of(ServersUpdate)
        assert isinstance(update, ServersUpdate)
        self.assertGreater(update.leader_contact_age, FRESH_AGE)

    def test_nor_does_it_lead_clients_out_of_their_region(self) -> None:
        self.now += SETTLE_TIME
        self.state.gateway_received(
            self.link, Subscribe("gateway-1", 1, FRONT, "hall-1", "north", GatewayState.READY, 2)
        )
        host = self.catalog.configuration.routes[0].host if self.catalog.configuration else ""
        client = ClientLocation(host, "south", "hall-2")
        self.assertEqual(self.state.resolve(client).proximity, Proximity.NOWHERE)
        self.age = 0
        self.assertEqual(self.state.resolve(client).proximity, Proximity.ELSEWHERE)
