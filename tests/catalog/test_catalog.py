"""The catalog: accepted, refused and repeated orders, evacuations, and snapshots."""

from __future__ import annotations

import json
import unittest
from typing import Any

import msgpack
from catalog_samples import Document, full_configuration, replace, route, text, update

from brackenladder.catalog.accepted_orders import MAX_REMEMBERED_ORDERS
from brackenladder.catalog.catalog import Catalog, SnapshotError
from brackenladder.catalog.configuration import parse_configuration
from brackenladder.catalog.faults import FaultKind
from brackenladder.catalog.orders import (
    Accepted,
    BeginEvacuation,
    Conflict,
    FinishEvacuation,
    Invalid,
    Order,
    Outcome,
    Outdated,
    ReplaceConfiguration,
    UpdateConfiguration,
    encode_order,
)


class CatalogTest(unittest.TestCase):
    """Base class with a catalog, and helpers that order orders to it as log entries."""

    def setUp(self) -> None:
        self.catalog = Catalog()
        self.index = 0

    def apply(self, order: Order) -> Outcome:
        """Applies an order. `check` must predict the outcome without changing the catalog."""
        before = self.catalog.snapshot()
        checked = self.catalog.check(order)
        self.assertEqual(self.catalog.snapshot(), before)
        self.index += 1
        outcome = self.catalog.apply(self.index, encode_order(order))
        self.assertEqual(checked, outcome)
        return outcome

    def assert_accepted(self, order: Order, version: int) -> None:
        self.assertEqual(self.apply(order), Accepted(version))

    def assert_unchanged_by(self, order: Order) -> Outcome:
        before = self.catalog.snapshot()
        outcome = self.apply(order)
        self.assertEqual(self.catalog.snapshot(), before)
        return outcome

    def assert_invalid(self, order: Order, kind: FaultKind) -> None:
        outcome = self.assert_unchanged_by(order)
        assert isinstance(outcome, Invalid), outcome
        self.assertEqual({fault.kind for fault in outcome.faults}, {kind})

    def assert_conflict(self, order: Order, current: int) -> None:
        self.assertEqual(self.assert_unchanged_by(order), Conflict(current))

    def read_back(self) -> Any:
        return json.loads(self.catalog.document)


class Replace(CatalogTest):
    def test_empty_catalog(self) -> None:
        self.assertEqual(self.catalog.document, b"")
        self.assertIsNone(self.catalog.configuration)
        self.assertEqual(self.catalog.evacuated, frozenset())
        self.assertEqual(self.catalog.revision, 0)

    def test_first_configuration_needs_base_0(self) -> None:
        self.assert_conflict(replace(1, full_configuration()), 0)
        self.assert_accepted(replace(0, full_configuration()), 7)
        self.assertEqual(self.catalog.configuration, parse_configuration(text(full_configuration())).unwrap())
        self.assertEqual(self.catalog.revision, 2)

    def test_document_is_returned_as_sent(self) -> None:
        document = full_configuration(Remark={"b": 1.50, "a": [None, "\u00e9"]})
        document["Routes"][0]["Colour"] = "red"
        order = replace(0, document)
        self.assert_accepted(order, 7)
        self.assertEqual(self.catalog.document, order.body)

    def test_versions_may_skip_numbers(self) -> None:
        self.assert_accepted(replace(0, full_configuration()), 7)
        self.assert_accepted(replace(7, full_configuration(version=900)), 900)
        self.assertEqual(self.read_back()["Version"], 900)

    def test_version_must_increase(self) -> None:
        self.assert_invalid(replace(0, full_configuration(version=0)), FaultKind.STALE_VERSION)
        self.assert_accepted(replace(0, full_configuration()), 7)
        for version in (1, 6, 7):
            document = full_configuration(version=version, Remark="other")
            self.assert_invalid(replace(7, document), FaultKind.STALE_VERSION)

    def test_wrong_base_is_a_conflict(self) -> None:
        self.assert_accepted(replace(0, full_configuration()), 7)
        self.assert_accepted(replace(7, full_configuration(version=9)), 9)
        for base in (0, 6, 7, 8, 10, -5, 10**30):
            self.assert_conflict(replace(base, full_configuration(version=11)), 9)

    def test_invalid_configurations_change_nothing(self) -> None:
        self.assert_accepted(replace(0, full_configuration()), 7)
        self.assert_invalid(
            ReplaceConfiguration(7, text(full_configuration(version=9))[:-1]), FaultKind.MALFORMED
        )
        self.assert_invalid(ReplaceConfiguration(7, b""), FaultKind.MALFORMED)
        self.assert_invalid(replace(7, [full_configuration(version=9)]), FaultKind.MALFORMED)
        self.assert_invalid(replace(7, full_configuration(version=9, Services=[])), FaultKind.UNKNOWN_SERVICE)
        no_timeout = full_configuration(version=9, Routes=[route("r", TimeoutMs=0)])
        self.assert_invalid(replace(7, no_timeout), FaultKind.OUT_OF_RANGE)

    def test_corrected_configuration_may_reuse_the_version(self) -> None:
        self.assert_accepted(replace(0, full_configuration()), 7)
        self.assert_invalid(replace(7, full_configuration(version=9, Services=[])), FaultKind.UNKNOWN_SERVICE)
        self.assert_accepted(replace(7, full_configuration(version=9)), 9)

    def test_duplicate_key_is_invalid(self) -> None:
        body = text(full_configuration())[:-1] + b', "Version": 8}'
        self.assert_invalid(ReplaceConfiguration(0, body), FaultKind.MALFORMED)

    def test_returned_values_do_not_change(self) -> None:
        self.assert_accepted(replace(0, full_configuration()), 7)
        configuration = self.catalog.configuration
        document = self.catalog.document
        self.assert_accepted(update(7, 9, remove={"Routes": ["r-chat"]}), 9)
        self.assertEqual(configuration, parse_configuration(text(full_configuration())).unwrap())
        self.assertEqual(json.loads(document), full_configuration())


class Update(CatalogTest):
    def setUp(self) -> None:
        super().setUp()
        self.assert_accepted(replace(0, full_configuration(Remark="kept")), 7)

    def assert_reads_back(self, document: Document) -> None:
        self.assertEqual(json.dumps(self.read_back()), json.dumps(document))
        self.assertEqual(self.catalog.configuration, parse_configuration(text(document)).unwrap())

    def test_items_are_matched_by_name(self) -> None:
        changed = route("r-chat", TimeoutMs=44, Colour="red")
        upsert = {"Routes": [route("new"), changed]}
        self.assert_accepted(update(7, 9, upsert, {"Routes": ["r-bulk"]}), 9)
        self.assert_reads_back(full_configuration(version=9, Remark="kept", Routes=[changed, route("new")]))

    def test_successive_updates(self) -> None:
        expected = full_configuration(version=7, Remark="kept")
        for version in range(8, 40):
            new = route(f"r{version}")
            self.assert_accepted(update(version - 1, version, {"Routes": [new]}), version)
            expected |= {"Version": version, "Routes": [*expected["Routes"], new]}
        self.assert_reads_back(expected)

    def test_prefix_of_a_removed_route_may_be_reused(self) -> None:
        upsert = {"Routes": [route("r-chat2", PathPrefix="/pufi791/")]}
        self.assert_invalid(update(7, 9, upsert), FaultKind.SAME_PLACE)
        self.assert_accepted(update(7, 9, upsert, {"Routes": ["r-chat"]}), 9)

    def test_routes_may_swap_prefixes(self) -> None:
        first, second = full_configuration()["Routes"]
        first["PathPrefix"], second["PathPrefix"] = second["PathPrefix"], first["PathPrefix"]
        self.assert_accepted(update(7, 9, {"Routes": [first, second]}), 9)

    def test_limits_are_kept_unless_replaced(self) -> None:
        self.assert_accepted(update(7, 9, {"Routes": [route("new")]}), 9)
        self.assertEqual(self.read_back()["Limits"], full_configuration()["Limits"])
        limits = full_configuration()["Limits"] | {"IdleTimeoutMs": 500}
        self.assert_accepted(update(9, 10, {"Limits": limits}), 10)
        self.assertEqual(self.read_back()["Limits"], limits)
        assert self.catalog.configuration is not None
        self.assertEqual(self.catalog.configuration.limits.idle_timeout_ms, 500)

    def test_updated_configuration_must_be_valid(self) -> None:
        cases: tuple[tuple[Document, Document, FaultKind], ...] = (
            ({"Routes": [route("x", Backend="gone")]}, {}, FaultKind.UNKNOWN_SERVICE),
            ({}, {"Services": ["cards"]}, FaultKind.UNKNOWN_SERVICE),
            ({"Routes": [route("x", PathPrefix="/lohu930/")]}, {}, FaultKind.SAME_PLACE),
            ({"Routes": [route("x", TimeoutMs=0)]}, {}, FaultKind.OUT_OF_RANGE),
            ({"Routes": [route("x"), route("x")]}, {}, FaultKind.DUPLICATE_NAME),
            ({"Routes": [{"Backend": "cards"}]}, {}, FaultKind.MISSING),
            ({"Services": "cards"}, {}, FaultKind.WRONG_TYPE),
        )
        for upsert, remove, kind in cases:
            self.assert_invalid(update(7, 9, upsert, remove), kind)
        split = [{"Backend": "model", "Weight": 0}]
        self.assert_invalid(update(7, 9, {"Routes": [route("x", TrafficSplit=split)]}), FaultKind.NO_WEIGHT)

    def test_service_and_its_route_in_one_update(self) -> None:
        upsert = {"Routes": [route("x", Backend="new")], "Services": [{"Name": "new"}]}
        self.assert_accepted(update(7, 9, upsert), 9)

    def test_base_and_version_of_updates(self) -> None:
        self.assert_conflict(update(0, 9), 7)
        self.assert_invalid(update(7, 7), FaultKind.STALE_VERSION)
        self.assert_invalid(update(7, 6), FaultKind.STALE_VERSION)
        self.assert_invalid(UpdateConfiguration(7, b'{"Upsert":{}}'), FaultKind.MISSING)
        self.assert_accepted(update(7, 8), 8)

    def test_replace_after_update(self) -> None:
        self.assert_accepted(update(7, 9, {"Routes": [route("new")]}), 9)
        self.assert_accepted(replace(9, full_configuration(version=10)), 10)
        self.assert_reads_back(full_configuration(version=10))


class FirstUpdate(CatalogTest):
    def test_update_without_configuration(self) -> None:
        upsert = {"Routes": [route("r")], "Services": [{"Name": "cards"}]}
        self.assert_accepted(update(0, 3, upsert), 3)
        self.assertEqual(self.read_back(), {"Version": 3, **upsert})


class ConcurrentOrders(CatalogTest):
    def test_only_one_order_per_base_is_accepted(self) -> None:
        self.assert_accepted(replace(0, full_configuration()), 7)
        self.assert_accepted(replace(7, full_configuration(version=9, Remark="first")), 9)
        self.assert_conflict(replace(7, full_configuration(version=9, Remark="second")), 9)
        self.assert_conflict(replace(7, full_configuration(version=12, Remark="third")), 9)
        self.assert_conflict(update(7, 12, {"Routes": [route("x")]}), 9)
        self.assertEqual(self.read_back()["Remark"], "first")

    def test_conflicting_order_stays_refused(self) -> None:
        self.assert_accepted(replace(0, full_configuration()), 7)
        loser = replace(7, full_configuration(version=9, Remark="second"))
        self.assert_accepted(replace(7, full_configuration(version=9, Remark="first")), 9)
        self.assert_conflict(loser, 9)
        self.assert_accepted(replace(9, full_configuration(version=11)), 11)
        self.assert_conflict(loser, 11)

    def test_refused_update_may_be_sent_with_a_new_base(self) -> None:
        self.assert_accepted(replace(0, full_configuration()), 7)
        self.assert_accepted(update(7, 9, {"Routes": [route("a")]}), 9)
        self.assert_conflict(update(7, 10, {"Routes": [route("b")]}), 9)
        self.assert_accepted(update(9, 10, {"Routes": [route("b")]}), 10)


class RepeatedOrders(CatalogTest):
    def test_repeated_immediately(self) -> None:
        for order, version in (
            (replace(0, full_configuration()), 7),
            (update(7, 9, {"Routes": [route("a")]}), 9),
        ):
            self.assert_accepted(order, version)
            self.assertEqual(self.assert_unchanged_by(order), Accepted(version))

    def test_repeated_after_other_changes(self) -> None:
        orders = (
            replace(0, full_configuration()),
            update(7, 9, {"Routes": [route("a")]}),
            replace(9, full_configuration(version=20)),
        )
        for order, version in zip(orders, (7, 9, 20), strict=True):
            self.assert_accepted(order, version)
        for order, version in zip(orders, (7, 9, 20), strict=True):
            self.assertEqual(self.assert_unchanged_by(order), Accepted(version))

    def test_repeated_with_other_formatting(self) -> None:
        self.assert_accepted(replace(0, full_configuration()), 7)
        shuffled = dict(reversed(full_configuration().items()))
        body = json.dumps(shuffled, indent=3).encode()
        self.assertEqual(self.assert_unchanged_by(ReplaceConfiguration(0, body)), Accepted(7))

    def test_different_content_is_no_repetition(self) -> None:
        self.assert_accepted(replace(0, full_configuration()), 7)
        other = full_configuration()
        other["Routes"].reverse()
        self.assert_conflict(replace(0, other), 7)

    def test_different_base_is_no_repetition(self) -> None:
        self.assert_accepted(replace(0, full_configuration()), 7)
        self.assert_accepted(replace(7, full_configuration(version=9)), 9)
        self.assert_conflict(replace(0, full_configuration(version=9)), 9)
        self.assert_invalid(replace(9, full_configuration(version=9)), FaultKind.STALE_VERSION)

    def test_different_kind_is_no_repetition(self) -> None:
        self.assert_accepted(replace(0, full_configuration()), 7)
        self.assert_conflict(UpdateConfiguration(0, text(full_configuration())), 7)

    def test_refused_order_is_not_remembered(self) -> None:
        stale = replace(5, full_configuration())
        self.assert_conflict(stale, 0)
        self.assert_conflict(stale, 0)
        self.assert_accepted(replace(0, full_configuration(version=5)), 5)
        self.assert_accepted(stale, 7)

    def test_oldest_orders_are_forgotten(self) -> None:
        first = update(0, 1)
        self.catalog.apply(1, encode_order(first))
        for version in range(1, MAX_REMEMBERED_ORDERS):
            outcome = self.catalog.apply(version + 1, encode_order(update(version, version + 1)))
            self.assertEqual(outcome, Accepted(version + 1))
        self.assert_accepted(first, 1)
        self.assert_accepted(
            update(MAX_REMEMBERED_ORDERS, MAX_REMEMBERED_ORDERS + 1), MAX_REMEMBERED_ORDERS + 1
        )
        self.assert_conflict(first, MAX_REMEMBERED_ORDERS + 1)
        self.assert_accepted(update(1, 2), 2)
        self.assertLess(len(self.catalog.snapshot()), MAX_REMEMBERED_ORDERS * 17)


class Evacuations(CatalogTest):
    def assert_accepted_without_effect(self, order: BeginEvacuation | FinishEvacuation) -> None:
        """The order is accepted, outdates earlier orders for its zone, and changes nothing else."""
        before = (self.catalog.evacuated, self.catalog.revision, self.catalog.document)
        indexes = dict(self.catalog.zone_indexes)
        self.assert_accepted(order, 0)
        self.assertEqual((self.catalog.evacuated, self.catalog.revision, self.catalog.document), before)
        self.assertEqual(self.catalog.zone_indexes, {**indexes, order.zone: self.index})

    def test_begin_and_finish(self) -> None:
        self.assert_accepted(BeginEvacuation("a"), 0)
        self.assert_accepted(BeginEvacuation("b"), 0)
        self.assertEqual(self.catalog.evacuated, {"a", "b"})
        self.assert_accepted(FinishEvacuation("a"), 0)
        self.assertEqual(self.catalog.evacuated, {"b"})

    def test_repeated_evacuation_changes_nothing(self) -> None:
        self.assert_accepted(BeginEvacuation("a"), 0)
        self.assert_accepted_without_effect(BeginEvacuation("a"))
        self.assert_accepted_without_effect(FinishEvacuation("b"))
        self.assertEqual(self.catalog.revision, 1)

    def test_configuration_keeps_evacuations(self) -> None:
        self.assert_accepted(BeginEvacuation("a"), 0)
        self.assert_accepted(replace(0, full_configuration()), 7)
        self.assertEqual(self.catalog.evacuated, {"a"})
        self.assert_accepted(FinishEvacuation("a"), 7)
        self.assertEqual(self.read_back(), full_configuration())

    def test_outdated_order_changes_nothing(self) -> None:
        self.assert_accepted(BeginEvacuation("a", seen_index=0), 0)
        self.assert_accepted(FinishEvacuation("a", seen_index=1), 0)
        self.assertEqual(self.assert_unchanged_by(BeginEvacuation("a", seen_index=1)), Outdated())
        self.assertEqual(self.catalog.check(BeginEvacuation("a", seen_index=1)), Outdated())
        self.assert_accepted(BeginEvacuation("a", seen_index=2), 0)

    def test_outdated_order_without_effect_is_accepted(self) -> None:
        self.assert_accepted(BeginEvacuation("a", seen_index=0), 0)
        self.assert_accepted_without_effect(BeginEvacuation("a", seen_index=0))

    def test_order_is_outdated_by_a_later_one_without_effect(self) -> None:
        """Guards against an order that was given up and undid a later one of no effect (EVAC)."""
        self.assert_accepted(BeginEvacuation("a", seen_index=0), 0)
        self.assert_accepted_without_effect(BeginEvacuation("a", seen_index=1))
        self.assertEqual(self.assert_unchanged_by(FinishEvacuation("a", seen_index=1)), Outdated())
        self.assert_accepted(FinishEvacuation("a", seen_index=2), 0)

    def test_change_of_another_zone_outdates_nothing(self) -> None:
        self.assert_accepted(BeginEvacuation("a", seen_index=0), 0)
        self.assert_accepted(BeginEvacuation("b", seen_index=0), 0)
        self.assertEqual(self.catalog.evacuated, {"a", "b"})

    def test_evacuations_change_the_revision(self) -> None:
        for revision, order in enumerate(
            (replace(0, full_configuration()), BeginEvacuation("a"), FinishEvacuation("a")), 1
        ):
            self.apply(order)
            self.assertEqual(self.catalog.revision, revision)


class Entries(CatalogTest):
    def test_undecodable_entry_changes_nothing(self) -> None:
        self.assert_accepted(replace(0, full_configuration()), 7)
        before = self.catalog.snapshot()
        for data in (b"", b"\xc1", msgpack.packb([99, "later"]), msgpack.packb([1, 7])):
            outcome = self.catalog.apply(9, data)
            assert isinstance(outcome, Invalid)
            self.assertIs(outcome.faults[0].kind, FaultKind.MALFORMED)
        self.assertEqual(self.catalog.snapshot(), before)


class Snapshots(CatalogTest):
    def restored(self) -> Catalog:
        catalog = Catalog()
        catalog.restore(self.catalog.snapshot())
        return catalog

    def test_empty_catalog_round_trip(self) -> None:
        copy = self.restored()
        self.assertEqual((copy.document, copy.configuration, copy.revision), (b"", None, 0))

    def test_snapshot_keeps_everything(self) -> None:
        first = replace(0, full_configuration())
        self.assert_accepted(first, 7)
        self.assert_accepted(BeginEvacuation("b"), 7)
        self.assert_accepted(BeginEvacuation("a"), 7)
        self.assert_accepted(update(7, 9, {"Routes": [route("x")]}), 9)
        copy = self.restored()
        self.assertEqual(copy.snapshot(), self.catalog.snapshot())
        self.assertEqual(copy.document, self.catalog.document)
        self.assertEqual(copy.configuration, self.catalog.configuration)
        self.assertEqual(copy.evacuated, {"a", "b"})
        self.assertEqual(copy.revision, 4)
        self.assertEqual(copy.check(first), Accepted(7))
        self.assertEqual(copy.check(update(9, 10, remove={"Routes": ["x"]})), Accepted(10))

    def test_snapshot_of_an_earlier_version(self) -> None:
        self.catalog.restore(msgpack.packb([1, 5, b"", ["a"], b""]))
        self.assertEqual((self.catalog.evacuated, self.catalog.revision), ({"a"}, 5))
        self.assert_accepted(FinishEvacuation("a", seen_index=5), 0)

    def test_outdated_orders_are_detected_after_restore(self) -> None:
        self.assert_accepted(BeginEvacuation("a", seen_index=0), 0)
        self.assert_accepted(FinishEvacuation("a", seen_index=1), 0)
        self.assertEqual(self.restored().check(BeginEvacuation("a", seen_index=0)), Outdated())

    def test_restore_replaces_the_state(self) -> None:
        snapshot = Catalog().snapshot()
        self.assert_accepted(replace(0, full_configuration()), 7)
        self.assert_accepted(BeginEvacuation("a"), 7)
        self.catalog.restore(snapshot)
        self.assertEqual(self.catalog.snapshot(), snapshot)
        self.assert_conflict(replace(7, full_configuration(version=9)), 0)

    def test_invalid_snapshots_are_refused(self) -> None:
        self.assert_accepted(replace(0, full_configuration()), 7)
        snapshot = self.catalog.snapshot()
        broken = (
            b"",
            snapshot[:-1],
            snapshot + b"\0",
            msgpack.packb([2, 0, b"", [], b""]),
            msgpack.packb([2, 0, b"", [], b"", [["a"]]]),
            msgpack.packb([2, 0, b"", [], b"", [["a", "b"]]]),
            msgpack.packb([2, 0, b"", [], b"", 7]),
            msgpack.packb([3, 0, b"", [], b"", []]),
            msgpack.packb([1, 0, b"{", [], b""]),
            msgpack.packb([1, 0, text(full_configuration(Services=[])), [], b""]),
            msgpack.packb({}),
        )
        for data in broken:
            with self.assertRaises(SnapshotError):
                self.catalog.restore(data)
            self.assertEqual(self.catalog.snapshot(), snapshot)
