"""Operators' orders and reads through any control node."""

from __future__ import annotations

from http import HTTPStatus
from unittest import IsolatedAsyncioTestCase

from control_cluster import ControlCluster, configuration

REPLACE = "/-/Config.Replace"
UPDATE = "/-/Config.Update"
LARGE_BYTES = 3 << 20


class OrdersTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.cluster = await self.enterAsyncContext(ControlCluster())
        self.leader = await self.cluster.leader()
        self.followers = [number for number in range(3) if number != self.leader]

    async def test_order_through_any_node_is_visible_on_all(self) -> None:
        first = configuration(3, "a")
        for number, base, document in (
            (self.followers[0], 0, first),
            (self.leader, 3, configuration(5, "b")),
        ):
            answer = await self.cluster.post_until_answered(number, REPLACE, document, base)
            self.assertEqual(answer.status, HTTPStatus.OK)
        for number in range(3):
            fetched = await self.cluster.fetch(number)
            self.assertEqual((fetched.status, fetched.document), (HTTPStatus.OK, configuration(5, "b")))

    async def test_fetch_before_the_first_configuration(self) -> None:
        for number in range(3):
            self.assertEqual((await self.cluster.fetch(number)).status, HTTPStatus.NOT_FOUND)

    async def test_update_by_item_name(self) -> None:
        await self.cluster.post_until_answered(self.leader, REPLACE, configuration(1, "a", "b"), 0)
        change = {
            "Version": 2,
            "Upsert": {"Routes": configuration(0, "c")["Routes"]},
            "Remove": {"Routes": ["a"]},
        }
        answer = await self.cluster.post_until_answered(self.followers[0], UPDATE, change, 1)
        self.assertEqual(answer.status, HTTPStatus.OK)
        fetched = (await self.cluster.fetch(self.followers[1])).document
        self.assertEqual(sorted(route["Name"] for route in fetched["Routes"]), ["b", "c"])

    async def test_repeated_order_is_accepted_by_any_node(self) -> None:
        first = configuration(1, "a")
        for number in (self.leader, *self.followers):
            self.assertEqual(
                (await self.cluster.post_until_answered(number, REPLACE, first, 0)).status, HTTPStatus.OK
            )
        await self.cluster.post_until_answered(self.leader, REPLACE, configuration(2, "b"), 1)
        self.assertEqual(
            (await self.cluster.post_until_answered(self.followers[0], REPLACE, first, 0)).status,
            HTTPStatus.OK,
        )

    async def test_refused_orders(self) -> None:
        await self.cluster.post_until_answered(self.leader, REPLACE, configuration(4, "a"), 0)
        unknown_service = configuration(6, "a")
        unknown_service["Services"] = []
        for number in range(3):
            for document, base, status in (
                (configuration(6, "b"), 0, HTTPStatus.PRECONDITION_FAILED),
                (unknown_service, 4, HTTPStatus.BAD_REQUEST),
                (b'{"Version": 6', 4, HTTPStatus.BAD_REQUEST),
                (configuration(6, "b"), None, HTTPStatus.BAD_REQUEST),
                (b" " * (9 << 20), 4, HTTPStatus.REQUEST_ENTITY_TOO_LARGE),
            ):
                answer = await self.cluster.post_until_answered(number, REPLACE, document, base)
                self.assertEqual(answer.status, status)
        self.assertEqual((await self.cluster.fetch(self.leader)).document, configuration(4, "a"))

    async def test_only_one_order_per_base_is_accepted(self) -> None:
        answers = [
            await self.cluster.post_until_answered(number, REPLACE, configuration(2, f"r{number}"), 0)
            for number in range(3)
        ]
        self.assertEqual(sorted(answer.status for answer in answers), [200, 412, 412])

    async def test_large_configuration(self) -> None:
        large = {**configuration(1, "a"), "Remark": "x" * LARGE_BYTES}
        answer = await self.cluster.post_until_answered(self.followers[0], REPLACE, large, 0)
        self.assertEqual(answer.status, HTTPStatus.OK)
        for number in range(3):
            self.assertEqual((await self.cluster.fetch(number)).document, large)

    async def test_evacuations(self) -> None:
        for call, zones in (("Begin", {"hall-2"}), ("Finish", set())):
            path = f"/-/Evacuations.{call}/hall-2"
            for number in range(3):
                self.assertEqual((await self.cluster.post_until_answered(number, path)).status, HTTPStatus.OK)
            await self.cluster.until(
                lambda zones=zones: all(
                    self.cluster.node(number).catalog.evacuated == zones for number in range(3)
                )
            )
        unknown = await self.cluster.post_until_answered(self.leader, "/-/Evacuations.Begin/hall-9")
        self.assertEqual(unknown.status, HTTPStatus.NOT_FOUND)

    async def test_unknown_paths(self) -> None:
        for path in ("/", "/-/Config", "/x/Config.Replace", "/-/Config.Fetch"):
            self.assertEqual((await self.cluster.post(self.leader, path)).status, HTTPStatus.NOT_FOUND)
