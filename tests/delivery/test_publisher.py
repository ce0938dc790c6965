"""What a control node tells a gateway, and when."""

from __future__ import annotations

import unittest
import zlib

from delivery.delivery_samples import AT, FRESH, Delivered, subscribe
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
from brackenladder.delivery.publisher import MOST_RECORDS, Publisher
from brackenladder.delivery.subscriptions import STANDBY_TIME
from brackenladder.registry.registry import TOMBSTONE_LIFETIME, ServerRegistry

NO_ZONES: frozenset[str] = frozenset()


class PublisherTest(unittest.TestCase):
    def setUp(self) -> None:
        self.servers = ServerRegistry(SILENCE)
        self.publisher = Publisher(self.servers)
        self.gateway = Delivered(self.publisher)

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


class FirstTellingTest(PublisherTest):
    def test_a_subscriber_is_told_all(self) -> None:
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

    def test_the_catalog_is_held_back_while_it_may_be_an_old_one(self) -> None:
        self.publisher.set_catalog(7, b"{}", NO_ZONES)
        self.publisher.subscribed("gateway", subscribe())
        held = self.publisher.take_messages(AT, FRESH, tells_catalog=False)
        self.assertEqual([type(each.message) for each in held], [ServersUpdate])
        told = self.publisher.take_messages(AT, FRESH, tells_catalog=True)
        self.assertEqual([type(each.message) for each in told], [CatalogUpdate])

    def test_it_is_told_also_that_there_is_nothing_yet(self) -> None:
        self.publisher.subscribed("gateway", subscribe())
        self.assertEqual(
            self.gateway.take(),
            [CatalogUpdate(0, 0, leader_contact_age=FRESH), ServersUpdate(0, True, (), FRESH)],
        )

    def test_a_document_that_it_has_is_left_out(self) -> None:
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

    def test_many_servers_come_in_parts(self) -> None:
        for number in range(2 * MOST_RECORDS + 1):
            self.servers.heartbeat(AT, server(f"i-{number}"))
        self.publisher.subscribed("gateway", subscribe())
        parts = [one for one in self.gateway.take() if isinstance(one, ServersUpdate)]
        self.assertEqual([len(one.records) for one in parts], [MOST_RECORDS, MOST_RECORDS, 1])
        self.assertEqual(
            [(one.first, one.last) for one in parts], [(True, False), (False, False), (False, True)]
        )
        self.assertEqual({one.sequence for one in parts}, {self.servers.version})

    def test_subscribers_that_lack_the_same_share_a_message(self) -> None:
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

    def test_only_servers_that_changed_are_told(self) -> None:
        self.servers.heartbeat(AT, draining("i-2", seq=2))
        (update,) = self.gateway.take()
        self.assertEqual(update, ServersUpdate(self.servers.version, False, (draining("i-2", seq=2),), FRESH))

    def test_ends_are_told(self) -> None:
        self.servers.deregister(AT, "i-2")
        (update,) = self.gateway.take()
        self.assertEqual(update.records, (deregistered("i-2"),))

    def test_routine_heartbeats_are_not_told(self) -> None:
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

    def test_the_same_control_nodes_at_a_later_index_are_not_told_again(self) -> None:
        self.publisher.set_control_nodes(0, ("a", "b"))
        self.acknowledge_all(self.gateway.take())
        self.publisher.set_control_nodes(9, ("a", "b"))
        self.assertEqual(self.gateway.take(), [])
        self.publisher.set_control_nodes(10, ("a", "c"))
        self.assertEqual(self.gateway.take(), [ControlNodes(10, ("a", "c"))])

    def test_the_number_of_gateways_is_told_as_it_changes(self) -> None:
        self.publisher.set_gateways(3)
        self.acknowledge_all(self.gateway.take())
        self.publisher.set_gateways(3)
        self.assertEqual(self.gateway.take(), [])
        self.publisher.set_gateways(2)
        self.assertEqual(self.gateway.take(), [GatewayCount(2, 2)])

    def test_and_once_all_of_them_had_time_to_be_heard(self) -> None:
        self.publisher.set_gateways(3, settled=False)
        self.acknowledge_all(self.gateway.take())
        self.publisher.set_gateways(3)
        self.assertEqual(self.gateway.take(), [GatewayCount(2, 3, settled=True)])

    def test_all_is_told_again_once_an_end_is_forgotten_that_it_missed(self) -> None:
        self.servers.heartbeat(AT, draining("i-2", seq=2))
        self.gateway.take()
        in_flight = self.servers.version
        self.servers.deregister(AT, "i-1")
        self.servers.expire(AT + TOMBSTONE_LIFETIME + 1, trusted=False)
        self.gateway.acknowledge(Ack(UpdateKind.SERVERS, in_flight))
        (update,) = self.gateway.take()
        self.assertTrue(update.full)

    def test_a_lost_subscriber_is_told_nothing_until_it_subscribes_again(self) -> None:
        self.publisher.disconnected("gateway")
        self.publisher.set_catalog(8, b"{8}", NO_ZONES)
        self.assertEqual(self.gateway.take(), [])
        self.publisher.subscribed("gateway", subscribe(have_revision=7))
        self.assertEqual([type(one) for one in self.gateway.take()], [CatalogUpdate, ServersUpdate])


class StandbyTest(PublisherTest):
    """A control node that is not the gateway's nearest leaves a changed document to that one for a moment."""

    def setUp(self) -> None:
        super().setUp()
        self.publisher.disconnected("gateway")
        self.publisher.subscribed("gateway", subscribe(have_revision=3, relay=False))
        self.publisher.set_catalog(3, b"{3}", NO_ZONES)
        self.acknowledge_due()
        self.publisher.set_catalog(7, b"{7}", NO_ZONES)

    def catalogs(self, now: int) -> list[CatalogUpdate]:
        return [one for one in self.gateway.take(now) if isinstance(one, CatalogUpdate)]

    def test_it_is_sent_once_the_nearest_has_not_brought_it(self) -> None:
        self.assertEqual(self.catalogs(AT), [])
        self.assertEqual(self.catalogs(AT + STANDBY_TIME - 1), [])
        (update,) = self.catalogs(AT + STANDBY_TIME)
        self.assertEqual((update.revision, update.document), (7, b"{7}"))

    def test_it_is_left_out_once_the_gateway_has_it(self) -> None:
        self.assertEqual(self.catalogs(AT), [])
        self.gateway.acknowledge(Ack(UpdateKind.CATALOG, 7))
        (update,) = self.catalogs(AT + 1)
        self.assertEqual((update.revision, update.document), (7, b""))

    def test_a_further_change_is_not_held_for_longer(self) -> None:
        self.assertEqual(self.catalogs(AT), [])
        self.publisher.set_catalog(8, b"{8}", NO_ZONES)
        (update,) = self.catalogs(AT + STANDBY_TIME)
        self.assertEqual((update.revision, update.document), (8, b"{8}"))

    def test_who_becomes_the_nearest_is_told_at_once(self) -> None:
        self.assertEqual(self.catalogs(AT), [])
        self.publisher.subscribed("gateway", subscribe(have_revision=3, seq=2))
        (update,) = self.catalogs(AT + 1)
        self.assertEqual(update.document, b"{7}")

    def test_an_evacuation_is_told_at_once(self) -> None:
        self.gateway.acknowledge(Ack(UpdateKind.CATALOG, 7))
        self.acknowledge_due()
        self.publisher.set_catalog(8, b"{7}", frozenset({"hall-a"}))
        (update,) = self.catalogs(AT + 2)
        self.assertEqual((update.document, update.evacuated), (b"", ("hall-a",)))

    def test_a_gateway_without_any_configuration_is_told_at_once(self) -> None:
        self.publisher.disconnected("gateway")
        self.publisher.subscribed("gateway", subscribe(relay=False))
        (update,) = self.catalogs(AT)
        self.assertEqual(update.document, b"{7}")


class BackPressureTest(PublisherTest):
    """One update of a kind is in flight; what changes meanwhile goes out as one."""

    def setUp(self) -> None:
        super().setUp()
        self.settle()

    def test_catalogs_coalesce(self) -> None:
        for revision in range(1, 6):
            self.publisher.set_catalog(revision, b"{%d}" % revision, NO_ZONES)
            told = self.gateway.take()
            self.assertEqual([one.revision for one in told], [1] if revision == 1 else [])
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

    def test_an_ack_of_something_else_frees_nothing(self) -> None:
        self.publisher.set_catalog(1, b"{}", NO_ZONES)
        self.gateway.take()
        self.publisher.set_catalog(2, b"{2}", NO_ZONES)
        self.gateway.acknowledge(Ack(UpdateKind.CATALOG, 0), Ack(UpdateKind.SERVERS, 1))
        self.assertEqual(self.gateway.take(), [])

    def test_a_subscriber_that_could_not_take_it_is_sent_the_whole(self) -> None:
        self.publisher.set_catalog(1, b"{}", NO_ZONES)
        self.acknowledge_all(self.gateway.take())
        self.publisher.set_catalog(2, b"{}", frozenset({"hall-a"}))
        self.assertEqual(self.gateway.take()[0].document, b"")
        self.gateway.acknowledge(Ack(UpdateKind.CATALOG, 2, taken=False))
        self.assertEqual(self.gateway.take()[0].document, b"{}")

    def test_a_subscriber_that_never_acknowledges_costs_one_update_a_kind(self) -> None:
        told = []
        for second in range(20):
            self.publisher.set_catalog(second + 1, b"{%d}" % second, NO_ZONES)
            self.publisher.set_gateways(second + 1)
            self.servers.heartbeat(AT, server(seq=second + 1, address=f"10.0.0.{second}:1"))
            told.extend(self.gateway.take())
        self.assertEqual([type(one) for one in told], [CatalogUpdate, ServersUpdate, GatewayCount])


class FreshnessTest(PublisherTest):
    def test_a_node_that_becomes_fresh_says_so(self) -> None:
        self.publisher.subscribed("gateway", subscribe())
        self.acknowledge_all(self.gateway.take(age=UNKNOWN_AGE))
        self.assertEqual(self.gateway.take(age=UNKNOWN_AGE), [])
        self.assertEqual(self.gateway.take(age=FRESH), [Freshness(FRESH)])
        self.assertEqual(self.gateway.take(age=2 * FRESH), [])
        self.assertEqual(self.gateway.take(age=2 * SECOND), [Freshness(2 * SECOND)])

    def test_it_does_not_say_so_before_what_it_has_is_taken(self) -> None:
        self.publisher.subscribed("gateway", subscribe())
        stale = self.gateway.take(age=UNKNOWN_AGE)
        self.publisher.set_catalog(3, b"{}", NO_ZONES)
        self.assertEqual(self.gateway.take(age=FRESH), [])
        self.acknowledge_all(stale)
        (catalog,) = self.gateway.take(age=FRESH)
        self.assertEqual(catalog.revision, 3)
        self.acknowledge_all([catalog])
        self.assertEqual(self.gateway.take(age=FRESH), [Freshness(FRESH)])
