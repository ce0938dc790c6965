"""Updates by name on a document."""

from __future__ import annotations

import copy
import json
import unittest
from typing import Any

from catalog_samples import Document, route, whole
from hypothesis import given
from hypothesis import strategies as st

from brackenladder.catalog.faults import FaultKind
from brackenladder.catalog.update import empty_document, merge_update


def merged(update: Document, current: Document | None = None) -> Document:
    return merge_update(whole() if current is None else current, update).unwrap()


def places(update: Document) -> dict[str, FaultKind]:
    return {fault.location: fault.kind for fault in merge_update(whole(), update).failure()}


def names(document: Document, part: str = "Routes") -> list[str]:
    return [item["Name"] for item in document[part]]


class MergeUpdate(unittest.TestCase):
    def test_an_item_is_replaced_whole_and_in_place(self) -> None:
        change = route("r-chat", TimeoutMs=1)
        document = merged({"Version": 9, "Upsert": {"Routes": [change]}})
        self.assertEqual(document["Routes"], [change, whole()["Routes"][1]])

    def test_new_items_follow_in_their_sequence(self) -> None:
        upsert = {"Routes": [route("z"), route("r-bulk"), route("a")]}
        self.assertEqual(names(merged({"Version": 9, "Upsert": upsert})), ["r-chat", "r-bulk", "z", "a"])

    def test_all_the_rest_is_kept(self) -> None:
        current = whole(Tenants=[{"Name": "t"}], Remark=None)
        document = merged({"Version": 9, "Remove": {"Routes": ["r-bulk"]}}, current)
        self.assertEqual(document, current | {"Version": 9, "Routes": current["Routes"][:1]})

    def test_nothing_but_a_version(self) -> None:
        for extra in ({}, {"Upsert": None, "Remove": None}, {"Upsert": {}, "Remove": {}}):
            self.assertEqual(merged({"Version": 9, **extra}), whole(version=9))

    def test_without_a_version_there_is_none(self) -> None:
        self.assertNotIn("Version", merged({"Upsert": {}}))

    def test_services_too(self) -> None:
        upsert = {"Services": [{"Name": "new"}, {"Name": "model"}]}
        document = merged({"Version": 9, "Upsert": upsert, "Remove": {"Services": ["cards"]}})
        self.assertEqual(document["Services"], [{"Name": "model"}, {"Name": "new"}])

    def test_limits_are_replaced_whole(self) -> None:
        document = merged({"Version": 9, "Upsert": {"Limits": {"IdleTimeoutMs": 5}}})
        self.assertEqual(document["Limits"], {"IdleTimeoutMs": 5})

    def test_a_name_that_is_not_there_may_be_removed(self) -> None:
        remove = {"Routes": ["r-old", "r-old"], "Quotas": ["q"], "Limits": ["x"]}
        self.assertEqual(merged({"Version": 9, "Remove": remove}), whole(version=9))

    def test_what_is_removed_and_sent_is_there_at_the_end(self) -> None:
        change = route("r-chat")
        update = {"Version": 9, "Upsert": {"Routes": [change]}, "Remove": {"Routes": ["r-chat"]}}
        self.assertEqual(merged(update)["Routes"], [whole()["Routes"][1], change])

    def test_lists_of_other_names_are_changed_alike(self) -> None:
        current = whole(Tenants=[{"Name": "a", "Quota": 1}, {"Name": "b", "Quota": 2}])
        upsert = {"Tenants": [{"Name": "b", "Quota": 3}], "Quotas": [{"Name": "q"}], "Marks": [1, 2]}
        document = merged({"Version": 9, "Upsert": upsert, "Remove": {"Tenants": ["a"]}}, current)
        self.assertEqual(document["Tenants"], [{"Name": "b", "Quota": 3}])
        self.assertEqual(document["Quotas"], [{"Name": "q"}])
        self.assertEqual(document["Marks"], [1, 2])

    def test_on_nothing(self) -> None:
        upsert = {"Routes": [route("r")], "Services": [{"Name": "cards"}]}
        document = merged({"Version": 1, "Upsert": upsert}, empty_document())
        self.assertEqual(document, {"Version": 1, **upsert})

    def test_faults(self) -> None:
        wrong, doubled = FaultKind.WRONG_TYPE, FaultKind.DUPLICATE_NAME
        cases: tuple[tuple[Document, str, FaultKind], ...] = (
            ({"Upsert": []}, "Upsert", wrong),
            ({"Upsert": "x"}, "Upsert", wrong),
            ({"Remove": ["r-chat"]}, "Remove", wrong),
            ({"Upsert": {"Routes": {}}}, "Upsert.Routes", wrong),
            ({"Upsert": {"Routes": None}}, "Upsert.Routes", wrong),
            ({"Upsert": {"Services": ["x"]}}, "Upsert.Services[0]", FaultKind.MISSING),
            ({"Upsert": {"Routes": [route("a"), {"Name": 3}]}}, "Upsert.Routes[1]", FaultKind.MISSING),
            ({"Upsert": {"Routes": [route("a"), route("a")]}}, "Upsert.Routes[1].Name", doubled),
            ({"Upsert": {"Version": 9}}, "Upsert.Version", wrong),
            ({"Remove": {"Routes": "r-chat"}}, "Remove.Routes", wrong),
            ({"Remove": {"Routes": [{"Name": "r-chat"}]}}, "Remove.Routes", wrong),
        )
        for update, location, kind in cases:
            self.assertEqual(places({"Version": 9} | update), {location: kind}, update)

    def test_every_fault_is_told(self) -> None:
        update = {"Upsert": {"Routes": [3, route("a"), None]}, "Remove": {"Services": {}}}
        self.assertEqual(set(places(update)), {"Upsert.Routes[0]", "Upsert.Routes[2]", "Remove.Services"})


NAMES = st.sampled_from(["r-chat", "r-bulk", "a", "b", "c"])
ROUTES = st.lists(st.builds(route, NAMES, TimeoutMs=st.integers(1, 9)), unique_by=lambda item: item["Name"])


class Properties(unittest.TestCase):
    @given(upsert=ROUTES, remove=st.lists(NAMES))
    def test_against_a_dictionary(self, upsert: list[Document], remove: list[str]) -> None:
        update: dict[str, Any] = {"Version": 9, "Upsert": {"Routes": upsert}, "Remove": {"Routes": remove}}
        current = whole()
        before = copy.deepcopy(current)
        document = merged(update, current)
        expected = {item["Name"]: item for item in before["Routes"] if item["Name"] not in remove}
        expected |= {item["Name"]: item for item in upsert}
        self.assertEqual(document["Routes"], list(expected.values()))
        self.assertEqual(json.dumps(current), json.dumps(before))
