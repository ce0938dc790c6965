"""Encoding and decoding of every message type."""

from __future__ import annotations

import unittest

from delivery.delivery_samples import subscribe
from registry.registry_samples import deregistered, draining, expired, gateway, server

from brackenladder.delivery.messages import (
    MESSAGE_TYPES,
    UNKNOWN_AGE,
    Ack,
    CatalogChange,
    CatalogUpdate,
    ControlNodes,
    Freshness,
    GatewayCount,
    ServersUpdate,
    UpdateKind,
)
from brackenladder.prefix_cache.messages import PrefixNotice, PrefixNotices
from brackenladder.registry.gateways import HeardGateway
from brackenladder.registry.messages import GatewaysTold, ServersHeard, ServersTold, ServersWanted
from brackenladder.registry.records import HeardServer
from brackenladder.transport.codec import Codec

RECORDS = (server(cold_for=5, remaining=0), draining(seq=1 << 60), deregistered(), expired())
HEARTBEATS = (HeardServer("i-1", 3, 400_000, 1),)
MESSAGES = (
    subscribe(have_revision=3),
    Ack(UpdateKind.SERVERS, 4, taken=False),
    CatalogUpdate(5, 4, b"\x00\xff", True, ("hall-a",), UNKNOWN_AGE),
    CatalogChange(4, 5, (b"order",), 3),
    ServersUpdate(9, True, RECORDS, 3, False, True),
    Freshness(UNKNOWN_AGE),
    ControlNodes(0, ("10.0.0.1:7660",), ("hall-a",)),
    GatewayCount(1, 7),
    ServersTold(RECORDS, HEARTBEATS),
    ServersHeard(HEARTBEATS),
    ServersWanted(("i-1",)),
    GatewaysTold((HeardGateway(gateway(), 5),), settled=True),
    PrefixNotices((PrefixNotice(1 << 63, (1, (1 << 64) - 1), (20, 300), 4_000, 7),)),
)


class DeliveryMessagesTest(unittest.TestCase):
    def test_every_message_survives_encoding_and_decoding(self) -> None:
        codec = Codec()
        codec.register_all(0, MESSAGE_TYPES)
        self.assertEqual([type(message) for message in MESSAGES], list(MESSAGE_TYPES))
        for message in MESSAGES:
            self.assertEqual(codec.decode(codec.encode(message)), message)

    def test_the_order_of_the_types_is_fixed(self) -> None:
        self.assertEqual(
            [message_type.__name__ for message_type in MESSAGE_TYPES],
            [
                "Subscribe",
                "Ack",
                "CatalogUpdate",
                "CatalogChange",
                "ServersUpdate",
                "Freshness",
                "ControlNodes",
                "GatewayCount",
                "ServersTold",
                "ServersHeard",
                "ServersWanted",
                "GatewaysTold",
                "PrefixNotices",
            ],
        )
