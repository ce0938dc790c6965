"""What a gateway makes of the words of several control nodes."""

from __future__ import annotations

import unittest
import zlib

from delivery.delivery_samples import AT, FRESH, UNREADABLE, parse
from registry.registry_samples import SECOND, deregistered, draining, server, silent

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
from brackenladder.delivery.omitted_servers import DISOWNED_TIME, UNTOLD_TIME
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

    def told(self, message: object, control_node: str = "a", now: int = AT) -> tuple[object, ...]:
        return self.subscriber.receive(now, control_node, message)


class CatalogTest(SubscriberTest):
    def test_a_catalog_is_taken_and_acknowledged(self) -> None:
        self.assertEqual(self.told(catalog(3, zones="hall-a")), (Ack(UpdateKind.CATALOG, 3),))
        self.assertEqual((self.view.revision, self.view.configuration), (3, b"{3}"))
        self.assertEqual(self.view.evacuated, frozenset({"hall-a"}))
        self.assertEqual(self.changes, [ViewChange.CATALOG])

    def test_it_never_goes_back(self) -> None:
        self.told(catalog(3))
        self.assertEqual(self.told(catalog(2), "b"), (Ack(UpdateKind.CATALOG, 2),))
        self.assertEqual((self.view.revision, self.view.configuration), (3, b"{3}"))

    def test_the_same_revision_from_another_node_changes_nothing(self) -> None:
        self.told(catalog(3))
        self.told(catalog(3), "b")
        self.assertEqual(self.changes, [ViewChange.CATALOG])

    def test_a_compressed_document(self) -> None:
        document = b"x" * 9999
        self.told(CatalogUpdate(1, 1, zlib.compress(document), True))
        self.assertEqual(self.view.configuration, document)

    def test_an_evacuation_without_the_document(self) -> None:
        self.told(catalog(3))
        self.told(CatalogUpdate(4, 3, b"", False, ("hall-a",)))
        self.assertEqual((self.view.revision, self.view.configuration), (4, b"{3}"))
        self.assertEqual(self.view.evacuated, frozenset({"hall-a"}))

    def test_a_document_that_it_lacks_is_asked_for(self) -> None:
        self.told(catalog(3))
        reply = self.told(CatalogUpdate(5, 4, b"", False, ("hall-a",)))
        self.assertEqual(reply, (Ack(UpdateKind.CATALOG, 5, taken=False),))
        self.assertEqual(self.view.revision, 3)

    def test_control_nodes_that_date_the_document_differently(self) -> None:
        self.told(CatalogUpdate(20, 15, b"{15}"))
        self.assertEqual(self.told(CatalogUpdate(21, 20, b""), "b"), (Ack(UpdateKind.CATALOG, 21),))
        self.assertEqual((self.view.revision, self.view.configuration), (21, b"{15}"))

    def test_an_older_word_does_not_make_it_forget_what_it_has(self) -> None:
        self.told(catalog(5))
        self.told(catalog(2), "b")
        self.assertEqual(self.told(CatalogUpdate(6, 5, b"")), (Ack(UpdateKind.CATALOG, 6),))
        self.assertEqual((self.view.revision, self.view.configuration), (6, b"{5}"))

    def test_a_document_that_cannot_be_read_leaves_the_configuration(self) -> None:
        self.told(catalog(3))
        self.assertEqual(self.told(catalog(4, UNREADABLE, zones="hall-a")), (Ack(UpdateKind.CATALOG, 4),))
        self.assertEqual((self.view.revision, self.view.configuration), (4, b"{3}"))
        self.assertEqual(self.view.evacuated, frozenset({"hall-a"}))
        self.assertEqual(self.subscriber.unreadable_revision, 4)
        self.told(CatalogUpdate(5, 5, b"no zlib", True))
        self.assertEqual((self.view.revision, self.view.configuration), (5, b"{3}"))
        self.told(catalog(6))
        self.assertEqual(self.view.configuration, b"{6}")

    def test_orders_are_not_taken_yet(self) -> None:
        reply = self.told(CatalogChange(3, 4, (b"order",)))
        self.assertEqual(reply, (Ack(UpdateKind.CATALOG, 4, taken=False),))


class ServersTest(SubscriberTest):
    def test_servers_of_all_control_nodes_are_merged(self) -> None:
        self.assertEqual(self.told(servers(server("i-1"))), (Ack(UpdateKind.SERVERS, 1),))
        self.told(servers(server("i-2")), "b")
        self.assertEqual(set(self.view.servers), {"i-1", "i-2"})
        self.assertEqual(self.changes, [ViewChange.SERVERS] * 2)

    def test_the_newest_word_holds_whoever_tells_it(self) -> None:
        self.told(servers(draining(seq=5)))
        self.told(servers(server(seq=4)), "b")
        self.assertEqual(self.view.servers["i-1"], draining(seq=5))
        self.assertEqual(self.changes, [ViewChange.SERVERS])

    def test_a_deregistered_server_is_removed_for_good(self) -> None:
        self.told(servers(server(seq=4)))
        self.told(servers(deregistered(seq=4)), "b")
        self.told(servers(server(seq=5)))
        self.assertEqual(dict(self.view.servers), {})

    def test_a_silent_server_comes_back_with_a_newer_seq(self) -> None:
        self.told(servers(server(seq=4)))
        self.told(servers(silent(seq=4)))
        self.assertEqual(dict(self.view.servers), {})
        self.told(servers(server(seq=5)), "b")
        self.assertEqual(set(self.view.servers), {"i-1"})

    def test_cold_and_end_are_moments_of_this_host(self) -> None:
        self.told(servers(server(cold_for=2 * SECOND, remaining=9 * SECOND)))
        self.assertEqual(self.view.cold_until("i-1"), AT + 2 * SECOND)
        self.assertEqual(self.view.ends_at("i-1"), AT + 9 * SECOND)
        self.assertEqual(self.view.cold_until("i-2"), 0)
        self.assertEqual(self.view.ends_at("i-2"), 0)

    def test_the_later_of_two_cold_times_holds(self) -> None:
        self.told(servers(server(cold_for=2 * SECOND)))
        self.told(servers(server(cold_for=SECOND)), "b")
        self.assertEqual(self.view.cold_until("i-1"), AT + 2 * SECOND)

    def test_a_server_is_dropped_once_its_announced_end_has_passed(self) -> None:
        self.told(servers(server(remaining=SECOND)))
        self.subscriber.tick(AT + SECOND)
        self.assertEqual(set(self.view.servers), {"i-1"})
        self.subscriber.tick(AT + 2 * SECOND)
        self.assertEqual(set(self.view.servers), set())

    def test_an_update_in_parts_is_acknowledged_at_its_end(self) -> None:
        self.assertEqual(self.told(servers(server("i-1"), full=True, last=False)), ())
        reply = self.told(servers(server("i-2"), full=True, first=False))
        self.assertEqual(reply, (Ack(UpdateKind.SERVERS, 1),))
        self.assertEqual(set(self.view.servers), {"i-1", "i-2"})


class LeftOutTest(SubscriberTest):
    """A server that is merely left out stays, until all control nodes leave it out for long."""

    def setUp(self) -> None:
        super().setUp()
        self.told(servers(server("i-1"), server("i-2"), full=True), "a")

    def is_known(self, now: int) -> bool:
        self.subscriber.tick(now)
        return "i-1" in self.view.servers

    def restart(self, control_node: str, *records: ServerRecord, now: int = AT) -> None:
        self.subscriber.disconnected(now, control_node)
        self.subscriber.connected(now, control_node)
        self.told(servers(*records, full=True), control_node, now)

    def test_a_control_node_that_restarts_removes_nobody(self) -> None:
        self.told(servers(server("i-1"), server("i-2"), full=True), "b")
        self.restart("a")
        self.assertTrue(self.is_known(AT + 10 * UNTOLD_TIME))

    def test_it_is_given_up_once_all_have_left_it_out_for_long(self) -> None:
        self.told(servers(full=True), "b")
        self.restart("a", server("i-2"))
        self.assertTrue(self.is_known(AT + DISOWNED_TIME))
        self.assertFalse(self.is_known(AT + DISOWNED_TIME + 1))
        self.assertIn("i-2", self.view.servers)

    def test_a_control_node_that_learns_of_it_keeps_it(self) -> None:
        self.restart("a")
        self.told(servers(server("i-1", seq=2)), "b", AT + SECOND)
        self.told(servers(server("i-1", seq=2)), "a", AT + SECOND)
        self.assertTrue(self.is_known(AT + DISOWNED_TIME + 1))
        self.assertTrue(self.is_known(AT + UNTOLD_TIME + 1))

    def test_parts_of_an_update_count_together(self) -> None:
        self.subscriber.disconnected(AT, "a")
        self.subscriber.connected(AT, "a")
        self.told(servers(server("i-1"), full=True, last=False), "a")
        self.told(servers(server("i-2"), full=True, first=False), "a")
        self.assertTrue(self.is_known(AT + UNTOLD_TIME + 1))

    def test_one_that_never_told_it_takes_longer_to_remove_it(self) -> None:
        self.subscriber.disconnected(AT, "a")
        self.told(servers(full=True), "b")
        self.assertTrue(self.is_known(AT + DISOWNED_TIME + 1))
        self.assertTrue(self.is_known(AT + UNTOLD_TIME))
        self.assertFalse(self.is_known(AT + UNTOLD_TIME + 1))

    def test_without_any_control_node_nothing_is_removed(self) -> None:
        self.restart("a")
        self.subscriber.disconnected(AT, "a")
        self.subscriber.disconnected(AT, "b")
        self.assertTrue(self.is_known(AT + 10 * UNTOLD_TIME))

    def test_a_server_that_comes_back_after_its_removal_is_taken(self) -> None:
        self.restart("a")
        self.assertFalse(self.is_known(AT + DISOWNED_TIME + 1))
        self.told(servers(server("i-1", seq=1)), "a", AT + DISOWNED_TIME + SECOND)
        self.assertTrue(self.is_known(AT + DISOWNED_TIME + SECOND))


class GatewayCountTest(SubscriberTest):
    def count(self, now: int = AT) -> int:
        self.subscriber.tick(now)
        return self.view.gateways

    def test_the_highest_number_told_counts(self) -> None:
        self.assertEqual(self.count(), 1)
        self.assertEqual(self.told(GatewayCount(1, 5), "a"), (Ack(UpdateKind.GATEWAY_COUNT, 1),))
        self.told(GatewayCount(1, 3), "b")
        self.assertEqual(self.view.gateways, 5)
        self.assertEqual(self.changes, [ViewChange.GATEWAYS])

    def test_it_is_known_once_a_control_node_has_told_it_that_heard_all(self) -> None:
        self.assertFalse(self.view.gateways_known)
        self.told(GatewayCount(1, 5, settled=False), "a")
        self.assertEqual((self.view.gateways, self.view.gateways_known), (5, False))
        self.told(GatewayCount(1, 4), "b")
        self.assertEqual((self.view.gateways, self.view.gateways_known), (5, True))
        self.told(GatewayCount(2, 1, settled=False), "b")
        self.assertTrue(self.view.gateways_known)

    def test_it_falls_late(self) -> None:
        self.told(GatewayCount(1, 5), "a")
        self.told(GatewayCount(2, 4), "a", AT + SECOND)
        self.assertEqual(self.count(AT + HOLD_TIME), 5)
        self.assertEqual(self.count(AT + SECOND + HOLD_TIME), 4)

    def test_a_control_node_that_restarts_does_not_lower_it_at_once(self) -> None:
        self.told(GatewayCount(1, 5), "a")
        self.subscriber.disconnected(AT, "a")
        self.subscriber.connected(AT, "a")
        self.told(GatewayCount(1, 1), "a")
        self.assertEqual(self.count(AT + HOLD_TIME - 1), 5)
        self.assertEqual(self.count(AT + HOLD_TIME), 1)

    def test_without_any_control_node_it_stays(self) -> None:
        self.told(GatewayCount(1, 5), "a")
        self.subscriber.disconnected(AT, "a")
        self.assertEqual(self.count(AT + 10 * HOLD_TIME), 5)


class ControlNodesTest(SubscriberTest):
    def test_the_newest_word_holds(self) -> None:
        self.assertEqual(self.told(ControlNodes(0, ("a",))), (Ack(UpdateKind.CONTROL_NODES, 0),))
        self.told(ControlNodes(5, ("a", "b")))
        self.told(ControlNodes(4, ("c",)), "b")
        self.assertEqual(self.subscriber.control_nodes, ("a", "b"))


class CompleteTest(SubscriberTest):
    def test_one_fresh_node_has_to_tell_both(self) -> None:
        self.told(catalog(1), "a")
        self.told(servers(full=True), "b")
        self.assertFalse(self.subscriber.complete)
        self.told(servers(full=True), "a")
        self.assertTrue(self.subscriber.complete)

    def test_a_part_is_not_enough(self) -> None:
        self.told(catalog(1))
        self.told(servers(full=True, last=False))
        self.assertFalse(self.subscriber.complete)

    def test_a_stale_node_is_not_enough(self) -> None:
        self.told(catalog(1, age=UNKNOWN_AGE))
        self.told(servers(full=True, age=2 * SECOND))
        self.assertFalse(self.subscriber.complete)

    def test_a_stale_node_that_becomes_fresh_is(self) -> None:
        self.told(catalog(1, age=UNKNOWN_AGE))
        self.told(servers(full=True, age=UNKNOWN_AGE))
        self.told(Freshness(2 * SECOND))
        self.assertFalse(self.subscriber.complete)
        self.told(Freshness(FRESH))
        self.assertTrue(self.subscriber.complete)

    def test_freshness_alone_is_not_enough(self) -> None:
        self.told(Freshness(FRESH))
        self.assertFalse(self.subscriber.complete)

    def test_an_empty_catalog_is_not_enough(self) -> None:
        self.told(CatalogUpdate(0, 0, leader_contact_age=FRESH), "a")
        self.told(servers(full=True), "a")
        self.assertFalse(self.subscriber.complete)
        self.told(catalog(1), "a")
        self.assertTrue(self.subscriber.complete)

    def test_once_complete_it_stays_so(self) -> None:
        self.told(catalog(1))
        self.told(servers(full=True))
        self.subscriber.disconnected(AT, "a")
        self.assertTrue(self.subscriber.complete)

    def test_after_a_while_any_configuration_has_to_do(self) -> None:
        self.assertFalse(self.subscriber.complete_or_timed_out(AT + READY_TIMEOUT))
        self.told(CatalogUpdate(0, 0), now=AT)
        self.assertFalse(self.subscriber.complete_or_timed_out(AT + READY_TIMEOUT))
        self.told(catalog(1, age=UNKNOWN_AGE), now=AT + SECOND)
        self.assertFalse(self.subscriber.complete_or_timed_out(AT + READY_TIMEOUT))
        self.assertTrue(self.subscriber.complete_or_timed_out(AT + SECOND + READY_TIMEOUT))
        self.assertFalse(self.subscriber.complete)


class OtherMessagesTest(SubscriberTest):
    def test_what_it_does_not_know_is_ignored(self) -> None:
        self.assertEqual(self.told(object()), ())

    def test_a_listener_can_leave(self) -> None:
        heard: list[ViewChange] = []
        unsubscribe = self.view.subscribe(heard.append)
        unsubscribe()
        unsubscribe()
        self.told(catalog(1))
        self.assertEqual(heard, [])
