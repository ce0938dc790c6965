"""Updates of a configuration document by item name."""

from __future__ import annotations

import copy
import json
import unittest
from typing import Any

from catalog_samples import Document, full_configuration, route
from hypothesis import given
from hypothesis import strategies as st

from brackenladder.catalog.faults import FaultKind
from brackenladder.catalog.update import empty_document, merge_update


def merged(update: Document, current: Document | None = None) -> Document:
    return merge_update(full_configuration() if current is None else current, update).unwrap()


def fault_locations(update: Document) -> dict[str, FaultKind]:
    return {fault.location: fault.kind for fault in merge_update(full_configuration(), update).failure()}


def names(document: Document, part: str = "Routes") -> list[str]:
    return [item["Name"] for item in document[part]]


class MergeUpdate(unittest.TestCase):
    def test_item_is_replaced_in_place(self) -> None:
        change = route("r-chat", TimeoutMs=1)
        document = merged({"Version": 9, "Upsert": {"Routes": [change]}})
        self.assertEqual(document["Routes"], [change, full_configuration()["Routes"][1]])

    def test_new_items_are_appended_in_order(self) -> None:
        upsert = {"Routes": [route("z"), route("r-bulk"), route("a")]}
        self.assertEqual(names(merged({"Version": 9, "Upsert": upsert})), ["r-chat", "r-bulk", "z", "a"])

    def test_other_content_is_kept(self) -> None:
        current = full_configuration(Tenants=[{"Name": "t"}], Remark=None)
        document = merged({"Version": 9, "Remove": {"Routes": ["r-bulk"]}}, current)
        self.assertEqual(document, current | {"Version": 9, "Routes": current["Routes"][:1]})

    def test_update_of_the_version_only(self) -> None:
        for extra in ({}, {"Upsert": None, "Remove": None}, {"Upsert": {}, "Remove": {}}):
            self.assertEqual(merged({"Version": 9, **extra}), full_configuration(version=9))

    def test_missing_version_stays_missing(self) -> None:
        self.assertNotIn("Version", merged({"Upsert": {}}))

    def test_services_are_updated_by_name(self) -> None:
        upsert = {"Services": [{"Name": "new"}, {"Name": "model"}]}
        document = merged({"Version": 9, "Upsert": upsert, "Remove": {"Services": ["cards"]}})
        self.assertEqual(document["Services"], [{"Name": "model"}, {"Name": "new"}])

    def test_limits_are_replaced_as_a_whole(self) -> None:
        document = merged({"Version": 9, "Upsert": {"Limits": {"IdleTimeoutMs": 5}}})
        self.assertEqual(document["Limits"], {"IdleTimeoutMs": 5})

    def test_unknown_names_may_be_removed(self) -> None:
        remove = {"Routes": ["r-old", "r-old"], "Quotas": ["q"], "Limits": ["x"]}
        self.assertEqual(merged({"Version": 9, "Remove": remove}), full_configuration(version=9))

    def test_item_that_is_removed_and_upserted_is_appended(self) -> None:
        change = route("r-chat")
        update = {"Version": 9, "Upsert": {"Routes": [change]}, "Remove": {"Routes": ["r-chat"]}}
        self.assertEqual(merged(update)["Routes"], [full_configuration()["Routes"][1], change])

    def test_other_named_lists_are_updated_too(self) -> None:
        current = full_configuration(Tenants=[{"Name": "a", "Quota": 1}, {"Name": "b", "Quota": 2}])
        upsert = {"Tenants": [{"Name": "b", "Quota": 3}], "Quotas": [{"Name": "q"}], "Marks": [1, 2]}
        document = merged({"Version": 9, "Upsert": upsert, "Remove": {"Tenants": ["a"]}}, current)
        self.assertEqual(document["Tenants"], [{"Name": "b", "Quota": 3}])
        self.assertEqual(document["Quotas"], [{"Name": "q"}])
        self.assertEqual(document["Marks"], [1, 2])

    def test_update_of_an_empty_document(self) -> None:
        upsert = {"Routes": [route("r")], "Services": [{"Name": "cards"}]}
        document = merged({"Version": 1, "Upsert": upsert}, empty_document())
        self.assertEqual(document, {"Version": 1, **upsert})

    def test_faults(self) -> None:
        wrong, duplicate = FaultKind.WRONG_TYPE, FaultKind.DUPLICATE_NAME
        cases: tuple[tuple[Document, str, FaultKind], ...] = (
            ({"Upsert": []}, "Upsert", wrong),
            ({"Upsert": "x"}, "Upsert", wrong),
            ({"Remove": ["r-chat"]}, "Remove", wrong),
            ({"Upsert": {"Routes": {}}}, "Upsert.Routes", wrong),
            ({"Upsert": {"Routes": None}}, "Upsert.Routes", wrong),
            ({"Upsert": {"Services": ["x"]}}, "Upsert.Services[0]", FaultKind.MISSING),
            ({"Upsert": {"Routes": [route("a"), {"Name": 3}]}}, "Upsert.Routes[1]", FaultKind.MISSING),
            ({"Upsert": {"Routes": [route("a"), route("a")]}}, "Upsert.Routes[1].Name", duplicate),
            ({"Upsert": {"Version": 9}}, "Upsert.Version", wrong),
            ({"Remove": {"Routes": "r-chat"}}, "Remove.Routes", wrong),
            ({"Remove": {"Routes": [{"Name": "r-chat"}]}}, "Remove.Routes", wrong),
        )
        for update, location, kind in cases:
            self.assertEqual(fault_locations({"Version": 9} | update), {location: kind}, update)

    def test_all_faults_are_reported(self) -> None:
        update = {"Upsert": {"Routes": [3, route("a"), None]}, "Remove": {"Services": {}}}
        self.assertEqual(
            set(fault_locations(update)), {"Upsert.Routes[0]", "Upsert.Routes[2]", "Remove.Services"}
        )


NAMES = st.sampled_from(["r-chat", "r-bulk", "a", "b", "c"])
ROUTES = st.lists(st.builds(route, NAMES, TimeoutMs=st.integers(1, 9)), unique_by=lambda item: item["Name"])


class Properties(unittest.TestCase):
    @given(upsert=ROUTES, remove=st.lists(NAMES))
    def test_against_a_dictionary_model(self, upsert: list[Document], remove: list[str]) -> None:
        update: dict[str, Any] = {"Version": 9, "Upsert": {"Routes": upsert}, "Remove": {"Routes": remove}}
        current = full_configuration()
        before = copy.deepcopy(current)
        document = merged(update, current)
        expected = {item["Name"]: item for item in before["Routes"] if item["Name"] not in remove}
        expected |= {item["Name"]: item for item in upsert}
        self.assertEqual(document["Routes"], list(expected.values()))
        self.assertEqual(json.dumps(current), json.dumps(before))
