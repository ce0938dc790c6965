"""How a gateway merges the updates of several control nodes."""

from __future__ import annotations

import unittest
import zlib

from delivery.delivery_samples import AT, FRESH, UNREADABLE, parse
from registry.registry_samples import SECOND, deregistered, draining, expired, server

from brackenladder.delivery.gateway_count import HOLD_TIME
from brackenladder.delivery.messages import (
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
from brackenladder.delivery.omitted_servers import OMITTED_TIMEOUT, RETRACTED_TIMEOUT
from brackenladder.delivery.subscriber import READY_TIMEOUT, Subscriber
from brackenladder.delivery.view import ViewChange
from brackenladder.registry.records import ServerRecord


def catalog(revision: int, document: bytes | None = None, age: int = FRESH, zones: str = "") -> CatalogUpdate:
    content = b"{%d}" % revision if document is None else document
    return CatalogUpdate(revision, revision, content, False, tuple(zones.split()), age)


def servers(
    *records: ServerRecord, full: bool = False, age: int = FRESH, first: bool = True, last: bool = True
) -> ServersUpdate:
    return ServersUpdate(1, full, records, age, first, last)


class SubscriberTest(unittest.TestCase):
    def setUp(self) -> None:
        self.subscriber = Subscriber(parse)
        self.view = self.subscriber.view
        self.changes: list[ViewChange] = []
        self.view.subscribe(self.changes.append)
        for control_node in "ab":
            self.subscriber.connected(AT, control_node)

    def receive(self, message: object, control_node: str = "a", now: int = AT) -> tuple[object, ...]:
        return self.subscriber.receive(now, control_node, message)


class CatalogTest(SubscriberTest):
    def test_a_catalog_is_applied_and_acknowledged(self) -> None:
        self.assertEqual(self.receive(catalog(3, zones="hall-a")), (Ack(UpdateKind.CATALOG, 3),))
        self.assertEqual((self.view.revision, self.view.configuration), (3, b"{3}"))
        self.assertEqual(self.view.evacuated, frozenset({"hall-a"}))
        self.assertEqual(self.changes, [ViewChange.CATALOG])

    def test_the_revision_never_decreases(self) -> None:
        self.receive(catalog(3))
        self.assertEqual(self.receive(catalog(2), "b"), (Ack(UpdateKind.CATALOG, 2),))
        self.assertEqual((self.view.revision, self.view.configuration), (3, b"{3}"))

    def test_the_same_revision_from_another_node_changes_nothing(self) -> None:
        self.receive(catalog(3))
        self.receive(catalog(3), "b")
        self.assertEqual(self.changes, [ViewChange.CATALOG])

    def test_a_compressed_document(self) -> None:
        document = b"x" * 9999
        self.receive(CatalogUpdate(1, 1, zlib.compress(document), True))
        self.assertEqual(self.view.configuration, document)

    def test_an_evacuation_without_the_document(self) -> None:
        self.receive(catalog(3))
        self.receive(CatalogUpdate(4, 3, b"", False, ("hall-a",)))
        self.assertEqual((self.view.revision, self.view.configuration), (4, b"{3}"))
        self.assertEqual(self.view.evacuated, frozenset({"hall-a"}))

    def test_an_omitted_document_that_is_missing_is_requested(self) -> None:
        self.receive(catalog(3))
        reply = self.receive(CatalogUpdate(5, 4, b"", False, ("hall-a",)))
        self.assertEqual(reply, (Ack(UpdateKind.CATALOG, 5, taken=False),))
        self.assertEqual(self.view.revision, 3)

    def test_control_nodes_with_different_document_revisions(self) -> None:
        self.receive(CatalogUpdate(20, 15, b"{15}"))
        self.assertEqual(self.receive(CatalogUpdate(21, 20, b""), "b"), (Ack(UpdateKind.CATALOG, 21),))
        self.assertEqual((self.view.revision, self.view.configuration), (21, b"{15}"))

    def test_an_older_catalog_does_not_discard_the_document(self) -> None:
        self.receive(catalog(5))
        self.receive(catalog(2), "b")
        self.assertEqual(self.receive(CatalogUpdate(6, 5, b"")), (Ack(UpdateKind.CATALOG, 6),))
        self.assertEqual((self.view.revision, self.view.configuration), (6, b"{5}"))

    def test_a_document_that_cannot_be_read_leaves_the_configuration(self) -> None:
        self.receive(catalog(3))
        self.assertEqual(self.receive(catalog(4, UNREADABLE, zones="hall-a")), (Ack(UpdateKind.CATALOG, 4),))
        self.assertEqual((self.view.revision, self.view.configuration), (4, b"{3}"))
        self.assertEqual(self.view.evacuated, frozenset({"hall-a"}))
        self.assertEqual(self.subscriber.unreadable_revision, 4)
        self.receive(CatalogUpdate(5, 5, b"no zlib", True))
        self.assertEqual((self.view.revision, self.view.configuration), (5, b"{3}"))
        self.receive(catalog(6))
        self.assertEqual(self.view.configuration, b"{6}")

    def test_catalog_changes_are_not_supported_yet(self) -> None:
        reply = self.receive(CatalogChange(3, 4, (b"order",)))
        self.assertEqual(reply, (Ack(UpdateKind.CATALOG, 4, taken=False),))


class ServersTest(SubscriberTest):
    def test_servers_of_all_control_nodes_are_merged(self) -> None:
        self.assertEqual(self.receive(servers(server("i-1"))), (Ack(UpdateKind.SERVERS, 1),))
        self.receive(servers(server("i-2")), "b")
        self.assertEqual(set(self.view.servers), {"i-1", "i-2"})
        self.assertEqual(self.changes, [ViewChange.SERVERS] * 2)

    def test_the_newest_record_wins_whichever_node_sends_it(self) -> None:
        self.receive(servers(draining(seq=5)))
        self.receive(servers(server(seq=4)), "b")
        self.assertEqual(self.view.servers["i-1"], draining(seq=5))
        self.assertEqual(self.changes, [ViewChange.SERVERS])

    def test_a_deregistered_server_is_removed_for_good(self) -> None:
        self.receive(servers(server(seq=4)))
        self.receive(servers(deregistered(seq=4)), "b")
        self.receive(servers(server(seq=5)))
        self.assertEqual(dict(self.view.servers), {})

    def test_a_silent_server_comes_back_with_a_newer_seq(self) -> None:
        self.receive(servers(server(seq=4)))
        self.receive(servers(expired(seq=4)))
        self.assertEqual(dict(self.view.servers), {})
        self.receive(servers(server(seq=5)), "b")
        self.assertEqual(set(self.view.servers), {"i-1"})

    def test_cold_time_and_end_are_converted_to_this_hosts_clock(self) -> None:
        self.receive(servers(server(cold_for=2 * SECOND, remaining=9 * SECOND)))
        self.assertEqual(self.view.cold_until("i-1"), AT + 2 * SECOND)
        self.assertEqual(self.view.ends_at("i-1"), AT + 9 * SECOND)
        self.assertEqual(self.view.cold_until("i-2"), 0)
        self.assertEqual(self.view.ends_at("i-2"), 0)

    def test_the_later_of_two_cold_times_holds(self) -> None:
        self.receive(servers(server(cold_for=2 * SECOND)))
        self.receive(servers(server(cold_for=SECOND)), "b")
        self.assertEqual(self.view.cold_until("i-1"), AT + 2 * SECOND)

    def test_a_server_is_dropped_once_its_announced_end_has_passed(self) -> None:
        self.receive(servers(server(remaining=SECOND)))
        self.subscriber.tick(AT + SECOND)
        self.assertEqual(set(self.view.servers), {"i-1"})
        self.subscriber.tick(AT + 2 * SECOND)
        self.assertEqual(set(self.view.servers), set())

    def test_a_split_update_is_acknowledged_after_its_last_part(self) -> None:
        self.assertEqual(self.receive(servers(server("i-1"), full=True, last=False)), ())
        reply = self.receive(servers(server("i-2"), full=True, first=False))
        self.assertEqual(reply, (Ack(UpdateKind.SERVERS, 1),))
        self.assertEqual(set(self.view.servers), {"i-1", "i-2"})


class OmittedServersTest(SubscriberTest):
    """A server missing from updates is kept until all control nodes have omitted it for long enough."""

    def setUp(self) -> None:
        super().setUp()
        self.receive(servers(server("i-1"), server("i-2"), full=True), "a")

    def is_known_at(self, now: int) -> bool:
        self.subscriber.tick(now)
        return "i-1" in self.view.servers

    def restart(self, control_node: str, *records: ServerRecord, now: int = AT) -> None:
        self.subscriber.disconnected(now, control_node)
        self.subscriber.connected(now, control_node)
        self.receive(servers(*records, full=True), control_node, now)

    def test_a_restart_of_a_control_node_removes_no_server(self) -> None:
        self.receive(servers(server("i-1"), server("i-2"), full=True), "b")
        self.restart("a")
        self.assertTrue(self.is_known_at(AT + 10 * OMITTED_TIMEOUT))

    def test_it_is_removed_once_all_have_omitted_it_for_long_enough(self) -> None:
        self.receive(servers(full=True), "b")
        self.restart("a", server("i-2"))
        self.assertTrue(self.is_known_at(AT + RETRACTED_TIMEOUT))
        self.assertFalse(self.is_known_at(AT + RETRACTED_TIMEOUT + 1))
        self.assertIn("i-2", self.view.servers)

    def test_it_is_kept_if_a_control_node_lists_it_again(self) -> None:
        self.restart("a")
        self.receive(servers(server("i-1", seq=2)), "b", AT + SECOND)
        self.receive(servers(server("i-1", seq=2)), "a", AT + SECOND)
        self.assertTrue(self.is_known_at(AT + RETRACTED_TIMEOUT + 1))
        self.assertTrue(self.is_known_at(AT + OMITTED_TIMEOUT + 1))

    def test_the_parts_of_an_update_are_one_list(self) -> None:
        self.subscriber.disconnected(AT, "a")
        self.subscriber.connected(AT, "a")
        self.receive(servers(server("i-1"), full=True, last=False), "a")
        self.receive(servers(server("i-2"), full=True, first=False), "a")
        self.assertTrue(self.is_known_at(AT + OMITTED_TIMEOUT + 1))

    def test_removal_takes_longer_if_the_node_never_listed_it(self) -> None:
        self.subscriber.disconnected(AT, "a")
        self.receive(servers(full=True), "b")
        self.assertTrue(self.is_known_at(AT + RETRACTED_TIMEOUT + 1))
        self.assertTrue(self.is_known_at(AT + OMITTED_TIMEOUT))
        self.assertFalse(self.is_known_at(AT + OMITTED_TIMEOUT + 1))

    def test_nothing_is_removed_without_any_control_node(self) -> None:
        self.restart("a")
        self.subscriber.disconnected(AT, "a")
        self.subscriber.disconnected(AT, "b")
        self.assertTrue(self.is_known_at(AT + 10 * OMITTED_TIMEOUT))

    def test_a_server_that_returns_after_its_removal_is_added(self) -> None:
        self.restart("a")
        self.assertFalse(self.is_known_at(AT + RETRACTED_TIMEOUT + 1))
        self.receive(servers(server("i-1", seq=1)), "a", AT + RETRACTED_TIMEOUT + SECOND)
        self.assertTrue(self.is_known_at(AT + RETRACTED_TIMEOUT + SECOND))


class GatewayCountTest(SubscriberTest):
    def count(self, now: int = AT) -> int:
        self.subscriber.tick(now)
        return self.view.gateways

    def test_the_highest_reported_number_counts(self) -> None:
        self.assertEqual(self.count(), 1)
        self.assertEqual(self.receive(GatewayCount(1, 5), "a"), (Ack(UpdateKind.GATEWAY_COUNT, 1),))
        self.receive(GatewayCount(1, 3), "b")
        self.assertEqual(self.view.gateways, 5)
        self.assertEqual(self.changes, [ViewChange.GATEWAYS])

    def test_it_is_known_once_a_settled_control_node_reports_it(self) -> None:
        self.assertFalse(self.view.gateways_known)
        self.receive(GatewayCount(1, 5, settled=False), "a")
        self.assertEqual((self.view.gateways, self.view.gateways_known), (5, False))
        self.receive(GatewayCount(1, 4), "b")
        self.assertEqual((self.view.gateways, self.view.gateways_known), (5, True))
        self.receive(GatewayCount(2, 1, settled=False), "b")
        self.assertTrue(self.view.gateways_known)

    def test_it_falls_with_a_delay(self) -> None:
        self.receive(GatewayCount(1, 5), "a")
        self.receive(GatewayCount(2, 4), "a", AT + SECOND)
        self.assertEqual(self.count(AT + HOLD_TIME), 5)
        self.assertEqual(self.count(AT + SECOND + HOLD_TIME), 4)

    def test_a_restart_of_a_control_node_does_not_lower_it_at_once(self) -> None:
        self.receive(GatewayCount(1, 5), "a")
        self.subscriber.disconnected(AT, "a")
        self.subscriber.connected(AT, "a")
        self.receive(GatewayCount(1, 1), "a")
        self.assertEqual(self.count(AT + HOLD_TIME - 1), 5)
        self.assertEqual(self.count(AT + HOLD_TIME), 1)

    def test_it_stays_without_any_control_node(self) -> None:
        self.receive(GatewayCount(1, 5), "a")
        self.subscriber.disconnected(AT, "a")
        self.assertEqual(self.count(AT + 10 * HOLD_TIME), 5)


class ControlNodesTest(SubscriberTest):
    def test_the_newest_addresses_win(self) -> None:
        self.assertEqual(self.receive(ControlNodes(0, ("a",))), (Ack(UpdateKind.CONTROL_NODES, 0),))
        self.receive(ControlNodes(5, ("a", "b")))
        self.receive(ControlNodes(4, ("c",)), "b")
        self.assertEqual(self.subscriber.control_nodes, ("a", "b"))


class CompleteTest(SubscriberTest):
    def test_one_fresh_node_has_to_send_both(self) -> None:
        self.receive(catalog(1), "a")
        self.receive(servers(full=True), "b")
        self.assertFalse(self.subscriber.complete)
        self.receive(servers(full=True), "a")
        self.assertTrue(self.subscriber.complete)

    def test_a_part_is_not_enough(self) -> None:
        self.receive(catalog(1))
        self.receive(servers(full=True, last=False))
        self.assertFalse(self.subscriber.complete)

    def test_a_stale_node_is_not_enough(self) -> None:
        self.receive(catalog(1, age=UNKNOWN_AGE))
        self.receive(servers(full=True, age=2 * SECOND))
        self.assertFalse(self.subscriber.complete)

    def test_a_stale_node_that_becomes_fresh_is_enough(self) -> None:
        self.receive(catalog(1, age=UNKNOWN_AGE))
        self.receive(servers(full=True, age=UNKNOWN_AGE))
        self.receive(Freshness(2 * SECOND))
        self.assertFalse(self.subscriber.complete)
        self.receive(Freshness(FRESH))
        self.assertTrue(self.subscriber.complete)

    def test_freshness_alone_is_not_enough(self) -> None:
        self.receive(Freshness(FRESH))
        self.assertFalse(self.subscriber.complete)

    def test_an_empty_catalog_is_not_enough(self) -> None:
        self.receive(CatalogUpdate(0, 0, leader_contact_age=FRESH), "a")
        self.receive(servers(full=True), "a")
        self.assertFalse(self.subscriber.complete)
        self.receive(catalog(1), "a")
        self.assertTrue(self.subscriber.complete)

    def test_once_complete_it_stays_so(self) -> None:
        self.receive(catalog(1))
        self.receive(servers(full=True))
        self.subscriber.disconnected(AT, "a")
        self.assertTrue(self.subscriber.complete)

    def test_after_the_timeout_any_configuration_is_enough(self) -> None:
        self.assertFalse(self.subscriber.complete_or_timed_out(AT + READY_TIMEOUT))
        self.receive(CatalogUpdate(0, 0), now=AT)
        self.assertFalse(self.subscriber.complete_or_timed_out(AT + READY_TIMEOUT))
        self.receive(catalog(1, age=UNKNOWN_AGE), now=AT + SECOND)
        self.assertFalse(self.subscriber.complete_or_timed_out(AT + READY_TIMEOUT))
        self.assertTrue(self.subscriber.complete_or_timed_out(AT + SECOND + READY_TIMEOUT))
        self.assertFalse(self.subscriber.complete)


class OtherMessagesTest(SubscriberTest):
    def test_unknown_messages_are_ignored(self) -> None:
        self.assertEqual(self.receive(object()), ())

    def test_a_listener_can_unsubscribe(self) -> None:
        notified: list[ViewChange] = []
        unsubscribe = self.view.subscribe(notified.append)
        unsubscribe()
        unsubscribe()
        self.receive(catalog(1))
        self.assertEqual(notified, [])
