"""Property tests: replicas with the same log are equal, for any orders and any point of a snapshot."""

from __future__ import annotations

import json
import unittest
from typing import Any

from catalog_samples import Document, full_configuration, replace, route, text, update
from hypothesis import given, settings
from hypothesis import strategies as st

from brackenladder.catalog.catalog import Catalog
from brackenladder.catalog.configuration import parse_configuration
from brackenladder.catalog.orders import (
    Accepted,
    BeginEvacuation,
    FinishEvacuation,
    Order,
    Outcome,
    ReplaceConfiguration,
    UpdateConfiguration,
    encode_order,
)

VERSIONS = st.integers(0, 6)
NAMES = st.sampled_from(["r-chat", "r-bulk", "a", "b"])
BACKENDS = st.sampled_from(["cards", "model", "new"])
ROUTES = st.lists(
    st.builds(route, NAMES, Backend=BACKENDS, TimeoutMs=st.integers(0, 4).map(lambda n: n * 100)),
    max_size=3,
)
PARTS = st.fixed_dictionaries(
    {}, optional={"Routes": ROUTES, "Services": st.just([{"Name": "new"}]), "Limits": st.just({})}
)
REMOVED = st.fixed_dictionaries(
    {}, optional={"Routes": st.lists(NAMES, max_size=2), "Services": st.just(["new"])}
)
ORDERS: st.SearchStrategy[Order] = st.one_of(
    st.builds(replace, VERSIONS, st.builds(full_configuration, VERSIONS)),
    st.builds(replace, VERSIONS, st.builds(full_configuration, VERSIONS, Routes=ROUTES)),
    st.builds(update, VERSIONS, VERSIONS, PARTS, REMOVED),
    st.builds(ReplaceConfiguration, VERSIONS, st.binary(max_size=8)),
    st.builds(BeginEvacuation, st.sampled_from("abc")),
    st.builds(FinishEvacuation, st.sampled_from("abc")),
)
LOGS = st.lists(ORDERS, max_size=25)


def apply_all(catalog: Catalog, orders: list[Order], start: int = 1) -> list[Outcome]:
    return [catalog.apply(index, encode_order(order)) for index, order in enumerate(orders, start)]


def state(catalog: Catalog) -> tuple[Any, ...]:
    visible = (catalog.document, catalog.configuration, catalog.evacuated, catalog.revision)
    return (*visible, catalog.snapshot())


class Determinism(unittest.TestCase):
    @given(LOGS)
    def test_replicas_with_the_same_log_are_equal(self, log: list[Order]) -> None:
        one, other = Catalog(), Catalog()
        for index, order in enumerate(log, 1):
            other.check(order)  # a check on one replica must not change it
            data = encode_order(order)
            self.assertEqual(one.apply(index, data), other.apply(index, data))
            self.assertEqual(state(one), state(other))

    @given(LOGS, st.integers(0, 25))
    def test_replica_started_from_a_snapshot_is_equal(self, log: list[Order], cut: int) -> None:
        complete, restored = Catalog(), Catalog()
        apply_all(complete, log[:cut])
        restored.restore(complete.snapshot())
        self.assertEqual(state(restored), state(complete))
        rest = apply_all(complete, log[cut:], cut + 1)
        self.assertEqual(apply_all(restored, log[cut:], cut + 1), rest)
        self.assertEqual(state(restored), state(complete))


class Rules(unittest.TestCase):
    @given(LOGS)
    def test_accepted_order_stays_accepted(self, log: list[Order]) -> None:
        catalog = Catalog()
        outcomes = apply_all(catalog, log)
        before = catalog.snapshot()
        for order, outcome in zip(log, outcomes, strict=True):
            if isinstance(outcome, Accepted) and isinstance(
                order, ReplaceConfiguration | UpdateConfiguration
            ):
                self.assertEqual(catalog.check(order), outcome)
                self.assertEqual(catalog.apply(len(log) + 1, encode_order(order)), outcome)
        self.assertEqual(catalog.snapshot(), before)

    @given(LOGS)
    def test_only_one_change_per_base_version(self, log: list[Order]) -> None:
        catalog = Catalog()
        accepted: dict[int, Order] = {}
        version = 0
        for index, order in enumerate(log, 1):
            before = catalog.snapshot()
            outcome = catalog.apply(index, encode_order(order))
            if isinstance(order, BeginEvacuation | FinishEvacuation):
                continue
            if isinstance(outcome, Accepted) and catalog.snapshot() != before:
                self.assertNotIn(order.base, accepted)
                self.assertEqual(order.base, version)
                self.assertGreater(outcome.version, version)
                accepted[order.base] = order
                version = outcome.version
            else:
                self.assertEqual(catalog.snapshot(), before)

    @given(LOGS)
    def test_document_matches_the_configuration(self, log: list[Order]) -> None:
        catalog = Catalog()
        apply_all(catalog, log)
        if catalog.document:
            self.assertEqual(parse_configuration(catalog.document).unwrap(), catalog.configuration)
        else:
            self.assertIsNone(catalog.configuration)

    @given(LOGS)
    def test_order_committed_twice_applies_once(self, log: list[Order]) -> None:
        """The log has each configuration order a second time, after the next entry."""
        catalog, doubled = Catalog(), Catalog()
        last: Order | None = None
        for index, order in enumerate(log, 1):
            outcome = catalog.apply(index, encode_order(order))
            self.assertEqual(doubled.apply(index, encode_order(order)), outcome)
            if isinstance(last, ReplaceConfiguration | UpdateConfiguration):
                was_accepted = isinstance(catalog.check(last), Accepted)
                again = doubled.check(last)
                self.assertEqual(isinstance(again, Accepted), was_accepted)
                if was_accepted:
                    doubled.apply(index, encode_order(last))
                    catalog.apply(index, encode_order(last))
            last = order
            self.assertEqual(doubled.snapshot(), catalog.snapshot())


class Documents(unittest.TestCase):
    @settings(max_examples=50)
    @given(st.lists(st.tuples(PARTS, REMOVED), max_size=8))
    def test_updates_equal_whole_configurations(self, changes: list[tuple[Document, Document]]) -> None:
        """An update has the same result as a whole configuration with the changed items."""
        catalog = Catalog()
        current = full_configuration(version=1)
        apply_all(catalog, [replace(0, current)])
        for version, (upsert, remove) in enumerate(changes, 2):
            outcome = catalog.apply(
                version, encode_order(update(current["Version"], version, upsert, remove))
            )
            if isinstance(outcome, Accepted):
                current = self.expected_document(current, upsert, remove) | {"Version": version}
            self.assertEqual(json.loads(catalog.document), current)
            self.assertEqual(catalog.configuration, parse_configuration(text(current)).unwrap())

    def expected_document(self, current: Document, upsert: Document, remove: Document) -> Document:
        result = dict(current)
        for part in ("Routes", "Services"):
            items = {item["Name"]: item for item in current[part]}
            for name in remove.get(part, ()):
                items.pop(name, None)
            items |= {item["Name"]: item for item in upsert.get(part, ())}
            result[part] = list(items.values())
        return result | {key: upsert[key] for key in ("Limits",) if key in upsert}
