"""Which updates a control node sends to a gateway, and when."""

from __future__ import annotations

import unittest
import zlib

from delivery.delivery_samples import AT, FRESH, MessageCollector, subscribe
from registry.registry_samples import SECOND, SILENCE, deregistered, draining, server

from brackenladder.delivery.documents import COMPRESS_ABOVE
from brackenladder.delivery.messages import (
    UNKNOWN_AGE,
    Ack,
    CatalogUpdate,
    ControlNodes,
    Freshness,
    GatewayCount,
    ServersUpdate,
    UpdateKind,
)
from brackenladder.delivery.publisher import MAX_RECORDS, Publisher
from brackenladder.delivery.subscriptions import STANDBY_TIME
from brackenladder.registry.registry import TOMBSTONE_LIFETIME, ServerRegistry

NO_ZONES: frozenset[str] = frozenset()


class PublisherTest(unittest.TestCase):
    def setUp(self) -> None:
        self.servers = ServerRegistry(SILENCE)
        self.publisher = Publisher(self.servers)
        self.gateway = MessageCollector(self.publisher)

    def acknowledge_all(self, messages: list[object]) -> None:
        for message in messages:
            match message:
                case CatalogUpdate():
                    self.gateway.acknowledge(Ack(UpdateKind.CATALOG, message.revision))
                case ServersUpdate():
                    self.gateway.acknowledge(Ack(UpdateKind.SERVERS, message.sequence))
                case ControlNodes():
                    self.gateway.acknowledge(Ack(UpdateKind.CONTROL_NODES, message.revision))
                case GatewayCount():
                    self.gateway.acknowledge(Ack(UpdateKind.GATEWAY_COUNT, message.sequence))

    def settle(self) -> None:
        self.publisher.subscribed("gateway", subscribe())
        self.acknowledge_due()

    def acknowledge_due(self) -> None:
        while messages := self.gateway.take():
            self.acknowledge_all(messages)


class FirstUpdateTest(PublisherTest):
    def test_a_new_subscriber_receives_everything(self) -> None:
        self.publisher.set_catalog(7, b"{}", frozenset({"hall-b", "hall-a"}))
        self.publisher.set_control_nodes(3, ("10.0.0.1:7660",))
        self.publisher.set_gateways(4)
        self.servers.heartbeat(AT, server(cold_for=SECOND))
        self.publisher.subscribed("gateway", subscribe())
        self.assertEqual(
            self.gateway.take(AT),
            [
                CatalogUpdate(7, 7, b"{}", False, ("hall-a", "hall-b"), FRESH),
                ServersUpdate(self.servers.version, True, (server(cold_for=SECOND),), FRESH),
                ControlNodes(3, ("10.0.0.1:7660",)),
                GatewayCount(1, 4),
            ],
        )
        self.assertEqual(self.gateway.take(AT), [])

    def test_no_catalog_is_sent_while_it_may_be_outdated(self) -> None:
        self.publisher.set_catalog(7, b"{}", NO_ZONES)
        self.publisher.subscribed("gateway", subscribe())
        held = self.publisher.take_messages(AT, FRESH, may_send_catalog=False)
        self.assertEqual([type(each.message) for each in held], [ServersUpdate])
        sent = self.publisher.take_messages(AT, FRESH, may_send_catalog=True)
        self.assertEqual([type(each.message) for each in sent], [CatalogUpdate])

    def test_empty_updates_are_sent_while_nothing_is_known(self) -> None:
        self.publisher.subscribed("gateway", subscribe())
        self.assertEqual(
            self.gateway.take(),
            [CatalogUpdate(0, 0, leader_contact_age=FRESH), ServersUpdate(0, True, (), FRESH)],
        )

    def test_a_document_that_the_subscriber_has_is_omitted(self) -> None:
        self.publisher.set_catalog(7, b"{}", NO_ZONES)
        self.publisher.subscribed("gateway", subscribe(have_revision=7))
        catalog = self.gateway.take()[0]
        self.assertEqual((catalog.revision, catalog.document_revision, catalog.document), (7, 7, b""))

    def test_a_long_document_is_compressed(self) -> None:
        document = b"x" * (COMPRESS_ABOVE + 1)
        self.publisher.set_catalog(1, document, NO_ZONES)
        self.publisher.subscribed("gateway", subscribe())
        catalog = self.gateway.take()[0]
        self.assertTrue(catalog.compressed)
        self.assertEqual(zlib.decompress(catalog.document), document)

    def test_long_server_updates_are_split(self) -> None:
        for number in range(2 * MAX_RECORDS + 1):
            self.servers.heartbeat(AT, server(f"i-{number}"))
        self.publisher.subscribed("gateway", subscribe())
        parts = [one for one in self.gateway.take() if isinstance(one, ServersUpdate)]
        self.assertEqual([len(one.records) for one in parts], [MAX_RECORDS, MAX_RECORDS, 1])
        self.assertEqual(
            [(one.first, one.last) for one in parts], [(True, False), (False, False), (False, True)]
        )
        self.assertEqual({one.sequence for one in parts}, {self.servers.version})

    def test_subscribers_that_need_the_same_update_share_a_message(self) -> None:
        self.publisher.set_catalog(1, b"{}", NO_ZONES)
        self.publisher.subscribed("one", subscribe())
        self.publisher.subscribed("other", subscribe())
        deliveries = self.publisher.take_messages(AT, FRESH)
        ones = [delivery.message for delivery in deliveries if delivery.subscriber == "one"]
        others = [delivery.message for delivery in deliveries if delivery.subscriber == "other"]
        for one, other in zip(ones, others, strict=True):
            self.assertIs(one, other)


class ChangesTest(PublisherTest):
    def setUp(self) -> None:
        super().setUp()
        self.publisher.set_catalog(7, b"{}", NO_ZONES)
        self.servers.heartbeat(AT, server("i-1"))
        self.servers.heartbeat(AT, server("i-2"))
        self.settle()

    def test_only_changed_servers_are_sent(self) -> None:
        self.servers.heartbeat(AT, draining("i-2", seq=2))
        (update,) = self.gateway.take()
        self.assertEqual(update, ServersUpdate(self.servers.version, False, (draining("i-2", seq=2),), FRESH))

    def test_tombstones_are_sent(self) -> None:
        self.servers.deregister(AT, "i-2")
        (update,) = self.gateway.take()
        self.assertEqual(update.records, (deregistered("i-2"),))

    def test_unchanged_heartbeats_are_not_sent(self) -> None:
        self.servers.heartbeat(AT, server("i-1", seq=2))
        self.assertEqual(self.gateway.take(), [])

    def test_presence_alone_gets_no_answer(self) -> None:
        self.publisher.subscribed("gateway", subscribe(have_revision=7, seq=2))
        self.assertEqual(self.gateway.take(), [])

    def test_an_evacuation_does_not_send_the_document_again(self) -> None:
        self.publisher.set_catalog(8, b"{}", frozenset({"hall-a"}))
        (update,) = self.gateway.take()
        self.assertEqual(update, CatalogUpdate(8, 7, b"", False, ("hall-a",), FRESH))

    def test_an_older_catalog_is_ignored(self) -> None:
        self.publisher.set_catalog(6, b"{1}", NO_ZONES)
        self.publisher.set_catalog(7, b"{1}", NO_ZONES)
        self.assertEqual(self.gateway.take(), [])

    def test_unchanged_control_nodes_at_a_later_index_are_not_sent_again(self) -> None:
        self.publisher.set_control_nodes(0, ("a", "b"))
        self.acknowledge_all(self.gateway.take())
        self.publisher.set_control_nodes(9, ("a", "b"))
        self.assertEqual(self.gateway.take(), [])
        self.publisher.set_control_nodes(10, ("a", "c"))
        self.assertEqual(self.gateway.take(), [ControlNodes(10, ("a", "c"))])

    def test_a_changed_number_of_gateways_is_sent(self) -> None:
        self.publisher.set_gateways(3)
        self.acknowledge_all(self.gateway.take())
        self.publisher.set_gateways(3)
        self.assertEqual(self.gateway.take(), [])
        self.publisher.set_gateways(2)
        self.assertEqual(self.gateway.take(), [GatewayCount(2, 2)])

    def test_the_number_of_gateways_is_sent_again_once_it_is_settled(self) -> None:
        self.publisher.set_gateways(3, settled=False)
        self.acknowledge_all(self.gateway.take())
        self.publisher.set_gateways(3)
        self.assertEqual(self.gateway.take(), [GatewayCount(2, 3, settled=True)])

    def test_a_full_update_is_sent_once_a_tombstone_that_it_missed_is_removed(self) -> None:
        self.servers.heartbeat(AT, draining("i-2", seq=2))
        self.gateway.take()
        in_flight = self.servers.version
        self.servers.deregister(AT, "i-1")
        self.servers.expire(AT + TOMBSTONE_LIFETIME + 1, in_touch=False)
        self.gateway.acknowledge(Ack(UpdateKind.SERVERS, in_flight))
        (update,) = self.gateway.take()
        self.assertTrue(update.full)

    def test_a_disconnected_subscriber_gets_nothing_until_it_subscribes_again(self) -> None:
        self.publisher.disconnected("gateway")
        self.publisher.set_catalog(8, b"{8}", NO_ZONES)
        self.assertEqual(self.gateway.take(), [])
        self.publisher.subscribed("gateway", subscribe(have_revision=7))
        self.assertEqual([type(one) for one in self.gateway.take()], [CatalogUpdate, ServersUpdate])


class StandbyTest(PublisherTest):
    """A control node that is not the gateway's nearest one sends a changed document only after a delay."""

    def setUp(self) -> None:
        super().setUp()
        self.publisher.disconnected("gateway")
        self.publisher.subscribed("gateway", subscribe(have_revision=3, relay=False))
        self.publisher.set_catalog(3, b"{3}", NO_ZONES)
        self.acknowledge_due()
        self.publisher.set_catalog(7, b"{7}", NO_ZONES)

    def catalogs(self, now: int) -> list[CatalogUpdate]:
        return [one for one in self.gateway.take(now) if isinstance(one, CatalogUpdate)]

    def test_it_is_sent_if_the_nearest_has_not_delivered_it(self) -> None:
        self.assertEqual(self.catalogs(AT), [])
        self.assertEqual(self.catalogs(AT + STANDBY_TIME - 1), [])
        (update,) = self.catalogs(AT + STANDBY_TIME)
        self.assertEqual((update.revision, update.document), (7, b"{7}"))

    def test_it_is_omitted_once_the_gateway_has_it(self) -> None:
        self.assertEqual(self.catalogs(AT), [])
        self.gateway.acknowledge(Ack(UpdateKind.CATALOG, 7))
        (update,) = self.catalogs(AT + 1)
        self.assertEqual((update.revision, update.document), (7, b""))

    def test_a_further_change_does_not_extend_the_delay(self) -> None:
        self.assertEqual(self.catalogs(AT), [])
        self.publisher.set_catalog(8, b"{8}", NO_ZONES)
        (update,) = self.catalogs(AT + STANDBY_TIME)
        self.assertEqual((update.revision, update.document), (8, b"{8}"))

    def test_it_is_sent_at_once_by_a_node_that_becomes_the_nearest(self) -> None:
        self.assertEqual(self.catalogs(AT), [])
        self.publisher.subscribed("gateway", subscribe(have_revision=3, seq=2))
        (update,) = self.catalogs(AT + 1)
        self.assertEqual(update.document, b"{7}")

    def test_an_evacuation_is_sent_at_once(self) -> None:
        self.gateway.acknowledge(Ack(UpdateKind.CATALOG, 7))
        self.acknowledge_due()
        self.publisher.set_catalog(8, b"{7}", frozenset({"hall-a"}))
        (update,) = self.catalogs(AT + 2)
        self.assertEqual((update.document, update.evacuated), (b"", ("hall-a",)))

    def test_a_gateway_without_any_configuration_gets_it_at_once(self) -> None:
        self.publisher.disconnected("gateway")
        self.publisher.subscribed("gateway", subscribe(relay=False))
        (update,) = self.catalogs(AT)
        self.assertEqual(update.document, b"{7}")


class BackPressureTest(PublisherTest):
    """One update of each kind is in flight; changes made meanwhile are sent as one update."""

    def setUp(self) -> None:
        super().setUp()
        self.settle()

    def test_catalogs_coalesce(self) -> None:
        for revision in range(1, 6):
            self.publisher.set_catalog(revision, b"{%d}" % revision, NO_ZONES)
            sent = self.gateway.take()
            self.assertEqual([one.revision for one in sent], [1] if revision == 1 else [])
        self.gateway.acknowledge(Ack(UpdateKind.CATALOG, 1))
        (update,) = self.gateway.take()
        self.assertEqual((update.revision, update.document), (5, b"{5}"))

    def test_servers_coalesce(self) -> None:
        self.servers.heartbeat(AT, server("i-1"))
        first = self.gateway.take()[0].sequence
        self.servers.heartbeat(AT, draining("i-1", seq=2))
        self.servers.heartbeat(AT, server("i-2"))
        self.servers.deregister(AT, "i-1")
        self.assertEqual(self.gateway.take(), [])
        self.gateway.acknowledge(Ack(UpdateKind.SERVERS, first))
        (update,) = self.gateway.take()
        self.assertEqual(set(update.records), {deregistered("i-1", seq=2), server("i-2")})

    def test_kinds_do_not_wait_for_one_another(self) -> None:
        self.publisher.set_catalog(1, b"{}", NO_ZONES)
        self.gateway.take()
        self.servers.heartbeat(AT, server())
        self.assertEqual([type(one) for one in self.gateway.take()], [ServersUpdate])

    def test_an_ack_for_another_update_is_ignored(self) -> None:
        self.publisher.set_catalog(1, b"{}", NO_ZONES)
        self.gateway.take()
        self.publisher.set_catalog(2, b"{2}", NO_ZONES)
        self.gateway.acknowledge(Ack(UpdateKind.CATALOG, 0), Ack(UpdateKind.SERVERS, 1))
        self.assertEqual(self.gateway.take(), [])

    def test_a_rejected_update_is_followed_by_a_full_one(self) -> None:
        self.publisher.set_catalog(1, b"{}", NO_ZONES)
        self.acknowledge_all(self.gateway.take())
        self.publisher.set_catalog(2, b"{}", frozenset({"hall-a"}))
        self.assertEqual(self.gateway.take()[0].document, b"")
        self.gateway.acknowledge(Ack(UpdateKind.CATALOG, 2, taken=False))
        self.assertEqual(self.gateway.take()[0].document, b"{}")

    def test_a_subscriber_that_never_acknowledges_gets_one_update_of_each_kind(self) -> None:
        sent = []
        for second in range(20):
            self.publisher.set_catalog(second + 1, b"{%d}" % second, NO_ZONES)
            self.publisher.set_gateways(second + 1)
            self.servers.heartbeat(AT, server(seq=second + 1, address=f"10.0.0.{second}:1"))
            sent.extend(self.gateway.take())
        self.assertEqual([type(one) for one in sent], [CatalogUpdate, ServersUpdate, GatewayCount])


class FreshnessTest(PublisherTest):
    def test_a_change_of_freshness_is_sent(self) -> None:
        self.publisher.subscribed("gateway", subscribe())
        self.acknowledge_all(self.gateway.take(age=UNKNOWN_AGE))
        self.assertEqual(self.gateway.take(age=UNKNOWN_AGE), [])
        self.assertEqual(self.gateway.take(age=FRESH), [Freshness(FRESH)])
        self.assertEqual(self.gateway.take(age=2 * FRESH), [])
        self.assertEqual(self.gateway.take(age=2 * SECOND), [Freshness(2 * SECOND)])

    def test_freshness_is_not_sent_before_the_updates_are_acknowledged(self) -> None:
        self.publisher.subscribed("gateway", subscribe())
        stale = self.gateway.take(age=UNKNOWN_AGE)
        self.publisher.set_catalog(3, b"{}", NO_ZONES)
        self.assertEqual(self.gateway.take(age=FRESH), [])
        self.acknowledge_all(stale)
        (catalog,) = self.gateway.take(age=FRESH)
        self.assertEqual(catalog.revision, 3)
        self.acknowledge_all([catalog])
        self.assertEqual(self.gateway.take(age=FRESH), [Freshness(FRESH)])
