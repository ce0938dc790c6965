"""The catalog: what is taken, what is refused, what comes again, and what a snapshot keeps."""

from __future__ import annotations

import json
import unittest
from typing import Any

import msgpack
from catalog_samples import Document, replace, route, text, update, whole

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
    """A catalog and the log that feeds it."""

    def setUp(self) -> None:
        self.catalog = Catalog()
        self.index = 0

    def order(self, order: Order) -> Outcome:
        """Applies an order; what `check` says just before must be the outcome, and must change nothing."""
        before = self.catalog.snapshot()
        checked = self.catalog.check(order)
        self.assertEqual(self.catalog.snapshot(), before)
        self.index += 1
        outcome = self.catalog.apply(self.index, encode_order(order))
        self.assertEqual(checked, outcome)
        return outcome

    def assert_accepted(self, order: Order, version: int) -> None:
        self.assertEqual(self.order(order), Accepted(version))

    def assert_unchanged_by(self, order: Order) -> Outcome:
        before = self.catalog.snapshot()
        outcome = self.order(order)
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
    def test_an_empty_catalog(self) -> None:
        self.assertEqual(self.catalog.document, b"")
        self.assertIsNone(self.catalog.configuration)
        self.assertEqual(self.catalog.evacuated, frozenset())
        self.assertEqual(self.catalog.revision, 0)

    def test_the_first_is_taken_on_base_0(self) -> None:
        self.assert_conflict(replace(1, whole()), 0)
        self.assert_accepted(replace(0, whole()), 7)
        self.assertEqual(self.catalog.configuration, parse_configuration(text(whole())).unwrap())
        self.assertEqual(self.catalog.revision, 2)

    def test_it_reads_back_as_it_was_sent(self) -> None:
        document = whole(Remark={"b": 1.50, "a": [None, "\u00e9"]})
        document["Routes"][0]["Colour"] = "red"
        order = replace(0, document)
        self.assert_accepted(order, 7)
        self.assertEqual(self.catalog.document, order.body)

    def test_versions_may_leap(self) -> None:
        self.assert_accepted(replace(0, whole()), 7)
        self.assert_accepted(replace(7, whole(version=900)), 900)
        self.assertEqual(self.read_back()["Version"], 900)

    def test_the_version_must_be_above_the_current_one(self) -> None:
        self.assert_invalid(replace(0, whole(version=0)), FaultKind.STALE_VERSION)
        self.assert_accepted(replace(0, whole()), 7)
        for version in (1, 6, 7):
            document = whole(version=version, Remark="other")
            self.assert_invalid(replace(7, document), FaultKind.STALE_VERSION)

    def test_an_older_base_is_a_conflict(self) -> None:
        self.assert_accepted(replace(0, whole()), 7)
        self.assert_accepted(replace(7, whole(version=9)), 9)
        for base in (0, 6, 7, 8, 10, -5, 10**30):
            self.assert_conflict(replace(base, whole(version=11)), 9)

    def test_invalid_ones_change_nothing(self) -> None:
        self.assert_accepted(replace(0, whole()), 7)
        self.assert_invalid(ReplaceConfiguration(7, text(whole(version=9))[:-1]), FaultKind.MALFORMED)
        self.assert_invalid(ReplaceConfiguration(7, b""), FaultKind.MALFORMED)
        self.assert_invalid(replace(7, [whole(version=9)]), FaultKind.MALFORMED)
        self.assert_invalid(replace(7, whole(version=9, Services=[])), FaultKind.UNKNOWN_SERVICE)
        no_timeout = whole(version=9, Routes=[route("r", TimeoutMs=0)])
        self.assert_invalid(replace(7, no_timeout), FaultKind.OUT_OF_RANGE)

    def test_an_invalid_one_may_be_mended_under_its_number(self) -> None:
        self.assert_accepted(replace(0, whole()), 7)
        self.assert_invalid(replace(7, whole(version=9, Services=[])), FaultKind.UNKNOWN_SERVICE)
        self.assert_accepted(replace(7, whole(version=9)), 9)

    def test_a_key_that_stands_twice_is_invalid(self) -> None:
        body = text(whole())[:-1] + b', "Version": 8}'
        self.assert_invalid(ReplaceConfiguration(0, body), FaultKind.MALFORMED)

    def test_what_was_given_out_stays_as_it_is(self) -> None:
        self.assert_accepted(replace(0, whole()), 7)
        configuration = self.catalog.configuration
        document = self.catalog.document
        self.assert_accepted(update(7, 9, remove={"Routes": ["r-chat"]}), 9)
        self.assertEqual(configuration, parse_configuration(text(whole())).unwrap())
        self.assertEqual(json.loads(document), whole())


class Update(CatalogTest):
    def setUp(self) -> None:
        super().setUp()
        self.assert_accepted(replace(0, whole(Remark="kept")), 7)

    def assert_reads_back(self, document: Document) -> None:
        self.assertEqual(json.dumps(self.read_back()), json.dumps(document))
        self.assertEqual(self.catalog.configuration, parse_configuration(text(document)).unwrap())

    def test_items_by_name(self) -> None:
        changed = route("r-chat", TimeoutMs=44, Colour="red")
        upsert = {"Routes": [route("new"), changed]}
        self.assert_accepted(update(7, 9, upsert, {"Routes": ["r-bulk"]}), 9)
        self.assert_reads_back(whole(version=9, Remark="kept", Routes=[changed, route("new")]))

    def test_one_on_top_of_another(self) -> None:
        expected = whole(version=7, Remark="kept")
        for version in range(8, 40):
            new = route(f"r{version}")
            self.assert_accepted(update(version - 1, version, {"Routes": [new]}), version)
            expected |= {"Version": version, "Routes": [*expected["Routes"], new]}
        self.assert_reads_back(expected)

    def test_a_route_may_go_and_leave_its_place(self) -> None:
        upsert = {"Routes": [route("r-chat2", PathPrefix="/pufi791/")]}
        self.assert_invalid(update(7, 9, upsert), FaultKind.SAME_PLACE)
        self.assert_accepted(update(7, 9, upsert, {"Routes": ["r-chat"]}), 9)

    def test_routes_may_change_places(self) -> None:
        first, second = whole()["Routes"]
        first["PathPrefix"], second["PathPrefix"] = second["PathPrefix"], first["PathPrefix"]
        self.assert_accepted(update(7, 9, {"Routes": [first, second]}), 9)

    def test_limits_are_kept_or_replaced(self) -> None:
        self.assert_accepted(update(7, 9, {"Routes": [route("new")]}), 9)
        self.assertEqual(self.read_back()["Limits"], whole()["Limits"])
        limits = whole()["Limits"] | {"IdleTimeoutMs": 500}
        self.assert_accepted(update(9, 10, {"Limits": limits}), 10)
        self.assertEqual(self.read_back()["Limits"], limits)
        assert self.catalog.configuration is not None
        self.assertEqual(self.catalog.configuration.limits.idle_timeout_ms, 500)

    def test_the_outcome_must_be_proper(self) -> None:
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

    def test_a_service_may_come_with_its_route(self) -> None:
        upsert = {"Routes": [route("x", Backend="new")], "Services": [{"Name": "new"}]}
        self.assert_accepted(update(7, 9, upsert), 9)

    def test_base_and_version(self) -> None:
        self.assert_conflict(update(0, 9), 7)
        self.assert_invalid(update(7, 7), FaultKind.STALE_VERSION)
        self.assert_invalid(update(7, 6), FaultKind.STALE_VERSION)
        self.assert_invalid(UpdateConfiguration(7, b'{"Upsert":{}}'), FaultKind.MISSING)
        self.assert_accepted(update(7, 8), 8)

    def test_a_whole_one_after_it(self) -> None:
        self.assert_accepted(update(7, 9, {"Routes": [route("new")]}), 9)
        self.assert_accepted(replace(9, whole(version=10)), 10)
        self.assert_reads_back(whole(version=10))


class FirstUpdate(CatalogTest):
    def test_an_update_may_come_first(self) -> None:
        upsert = {"Routes": [route("r")], "Services": [{"Name": "cards"}]}
        self.assert_accepted(update(0, 3, upsert), 3)
        self.assertEqual(self.read_back(), {"Version": 3, **upsert})


class Races(CatalogTest):
    def test_one_of_two_wins(self) -> None:
        self.assert_accepted(replace(0, whole()), 7)
        self.assert_accepted(replace(7, whole(version=9, Remark="first")), 9)
        self.assert_conflict(replace(7, whole(version=9, Remark="second")), 9)
        self.assert_conflict(replace(7, whole(version=12, Remark="third")), 9)
        self.assert_conflict(update(7, 12, {"Routes": [route("x")]}), 9)
        self.assertEqual(self.read_back()["Remark"], "first")

    def test_the_loser_stays_refused(self) -> None:
        self.assert_accepted(replace(0, whole()), 7)
        loser = replace(7, whole(version=9, Remark="second"))
        self.assert_accepted(replace(7, whole(version=9, Remark="first")), 9)
        self.assert_conflict(loser, 9)
        self.assert_accepted(replace(9, whole(version=11)), 11)
        self.assert_conflict(loser, 11)

    def test_a_loser_may_be_made_anew_on_top(self) -> None:
        self.assert_accepted(replace(0, whole()), 7)
        self.assert_accepted(update(7, 9, {"Routes": [route("a")]}), 9)
        self.assert_conflict(update(7, 10, {"Routes": [route("b")]}), 9)
        self.assert_accepted(update(9, 10, {"Routes": [route("b")]}), 10)


class TakenAgain(CatalogTest):
    def test_at_once(self) -> None:
        for order, version in ((replace(0, whole()), 7), (update(7, 9, {"Routes": [route("a")]}), 9)):
            self.assert_accepted(order, version)
            self.assertEqual(self.assert_unchanged_by(order), Accepted(version))

    def test_after_other_changes(self) -> None:
        orders = (replace(0, whole()), update(7, 9, {"Routes": [route("a")]}), replace(9, whole(version=20)))
        for order, version in zip(orders, (7, 9, 20), strict=True):
            self.assert_accepted(order, version)
        for order, version in zip(orders, (7, 9, 20), strict=True):
            self.assertEqual(self.assert_unchanged_by(order), Accepted(version))

    def test_in_other_words(self) -> None:
        self.assert_accepted(replace(0, whole()), 7)
        shuffled = dict(reversed(whole().items()))
        body = json.dumps(shuffled, indent=3).encode()
        self.assertEqual(self.assert_unchanged_by(ReplaceConfiguration(0, body)), Accepted(7))

    def test_the_content_decides(self) -> None:
        self.assert_accepted(replace(0, whole()), 7)
        other = whole()
        other["Routes"].reverse()
        self.assert_conflict(replace(0, other), 7)

    def test_the_base_decides(self) -> None:
        self.assert_accepted(replace(0, whole()), 7)
        self.assert_accepted(replace(7, whole(version=9)), 9)
        self.assert_conflict(replace(0, whole(version=9)), 9)
        self.assert_invalid(replace(9, whole(version=9)), FaultKind.STALE_VERSION)

    def test_the_kind_decides(self) -> None:
        self.assert_accepted(replace(0, whole()), 7)
        self.assert_conflict(UpdateConfiguration(0, text(whole())), 7)

    def test_what_was_refused_was_not_taken(self) -> None:
        stale = replace(5, whole())
        self.assert_conflict(stale, 0)
        self.assert_conflict(stale, 0)
        self.assert_accepted(replace(0, whole(version=5)), 5)
        self.assert_accepted(stale, 7)

    def test_the_oldest_are_forgotten(self) -> None:
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
    def test_begin_and_finish(self) -> None:
        self.assert_accepted(BeginEvacuation("a"), 0)
        self.assert_accepted(BeginEvacuation("b"), 0)
        self.assertEqual(self.catalog.evacuated, {"a", "b"})
        self.assert_accepted(FinishEvacuation("a"), 0)
        self.assertEqual(self.catalog.evacuated, {"b"})

    def test_again_changes_nothing(self) -> None:
        self.assert_accepted(BeginEvacuation("a"), 0)
        self.assertEqual(self.assert_unchanged_by(BeginEvacuation("a")), Accepted(0))
        self.assertEqual(self.assert_unchanged_by(FinishEvacuation("b")), Accepted(0))
        self.assertEqual(self.catalog.revision, 1)

    def test_a_configuration_leaves_them(self) -> None:
        self.assert_accepted(BeginEvacuation("a"), 0)
        self.assert_accepted(replace(0, whole()), 7)
        self.assertEqual(self.catalog.evacuated, {"a"})
        self.assert_accepted(FinishEvacuation("a"), 7)
        self.assertEqual(self.read_back(), whole())

    def test_one_that_is_late_changes_nothing(self) -> None:
        self.assert_accepted(BeginEvacuation("a", seen_revision=0), 0)
        self.assert_accepted(FinishEvacuation("a", seen_revision=1), 0)
        self.assertEqual(self.assert_unchanged_by(BeginEvacuation("a", seen_revision=1)), Outdated())
        self.assertEqual(self.catalog.check(BeginEvacuation("a", seen_revision=1)), Outdated())
        self.assert_accepted(BeginEvacuation("a", seen_revision=2), 0)

    def test_one_that_is_late_and_says_what_holds_is_accepted(self) -> None:
        self.assert_accepted(BeginEvacuation("a", seen_revision=0), 0)
        self.assertEqual(self.assert_unchanged_by(BeginEvacuation("a", seen_revision=0)), Accepted(0))

    def test_a_change_of_another_zone_makes_none_late(self) -> None:
        self.assert_accepted(BeginEvacuation("a", seen_revision=0), 0)
        self.assert_accepted(BeginEvacuation("b", seen_revision=0), 0)
        self.assertEqual(self.catalog.evacuated, {"a", "b"})

    def test_they_count_as_changes(self) -> None:
        for revision, order in enumerate(
            (replace(0, whole()), BeginEvacuation("a"), FinishEvacuation("a")), 1
        ):
            self.order(order)
            self.assertEqual(self.catalog.revision, revision)


class Entries(CatalogTest):
    def test_an_entry_that_is_no_order_changes_nothing(self) -> None:
        self.assert_accepted(replace(0, whole()), 7)
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

    def test_an_empty_one(self) -> None:
        copy = self.restored()
        self.assertEqual((copy.document, copy.configuration, copy.revision), (b"", None, 0))

    def test_all_is_kept(self) -> None:
        first = replace(0, whole())
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

    def test_one_of_an_earlier_version(self) -> None:
        self.catalog.restore(msgpack.packb([1, 5, b"", ["a"], b""]))
        self.assertEqual((self.catalog.evacuated, self.catalog.revision), ({"a"}, 5))
        self.assert_accepted(FinishEvacuation("a", seen_revision=5), 0)

    def test_late_evacuations_are_known_after_a_snapshot(self) -> None:
        self.assert_accepted(BeginEvacuation("a", seen_revision=0), 0)
        self.assert_accepted(FinishEvacuation("a", seen_revision=1), 0)
        self.assertEqual(self.restored().check(BeginEvacuation("a", seen_revision=0)), Outdated())

    def test_it_takes_the_place_of_what_was(self) -> None:
        snapshot = Catalog().snapshot()
        self.assert_accepted(replace(0, whole()), 7)
        self.assert_accepted(BeginEvacuation("a"), 7)
        self.catalog.restore(snapshot)
        self.assertEqual(self.catalog.snapshot(), snapshot)
        self.assert_conflict(replace(7, whole(version=9)), 0)

    def test_bytes_that_are_no_snapshot(self) -> None:
        self.assert_accepted(replace(0, whole()), 7)
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
            msgpack.packb([1, 0, text(whole(Services=[])), [], b""]),
            msgpack.packb({}),
        )
        for data in broken:
            with self.assertRaises(SnapshotError):
                self.catalog.restore(data)
            self.assertEqual(self.catalog.snapshot(), snapshot)
