"""The HTTP answers of the directory."""

from __future__ import annotations

import json
import unittest
from http import HTTPStatus

from aiohttp import web
from aiohttp.test_utils import make_mocked_request

from brackenladder.control_plane.directory_api import (
    FAR_TIME_TO_LIVE,
    MAX_HOLD_FACTOR,
    NEAR_TIME_TO_LIVE,
    RESOLVE_PATH,
    DirectoryApi,
)
from brackenladder.platform_settings import Bounds
from brackenladder.registry.directory import NO_GATEWAYS, ClientLocation, Proximity, ResolvedGateways

BOUNDS = Bounds(ttl_max_s=5, config_ms=12_000)


class DirectoryApiTest(unittest.IsolatedAsyncioTestCase):
    async def ask(
        self, offer: ResolvedGateways, bounds: Bounds = BOUNDS, path: str = RESOLVE_PATH
    ) -> web.Response:
        api = DirectoryApi(lambda client: self.resolve(client, offer), bounds)
        request = make_mocked_request("GET", f"{path}?Name=a.example&Region=north&Zone=hall-a")
        answer = await api.handle(request)
        assert isinstance(answer, web.Response)
        return answer

    def resolve(self, client: ClientLocation, offer: ResolvedGateways) -> ResolvedGateways:
        self.assertEqual(client, ClientLocation("a.example", "north", "hall-a"))
        return offer

    async def answer_document(self, offer: ResolvedGateways, bounds: Bounds = BOUNDS) -> dict[str, object]:
        answer = await self.ask(offer, bounds)
        assert isinstance(answer.body, bytes)
        content: dict[str, object] = json.loads(answer.body)
        return content

    async def test_short_ttl_for_gateways_in_the_region(self) -> None:
        document = await self.answer_document(ResolvedGateways(("10.1.0.1:80",), Proximity.ZONE))
        self.assertEqual(document, {"Addresses": ["10.1.0.1:80"], "TtlS": NEAR_TIME_TO_LIVE})

    async def test_longer_ttl_for_other_regions(self) -> None:
        document = await self.answer_document(ResolvedGateways(("10.1.0.1:80",), Proximity.ELSEWHERE))
        self.assertEqual(document["TtlS"], FAR_TIME_TO_LIVE)

    async def test_ttl_is_limited_by_the_configuration_deadline(self) -> None:
        document = await self.answer_document(
            ResolvedGateways(("10.1.0.1:80",), Proximity.ELSEWHERE), bounds=Bounds(config_ms=3000)
        )
        self.assertEqual(document["TtlS"], 3.0 / MAX_HOLD_FACTOR)

    async def test_ttl_is_limited_by_its_maximum(self) -> None:
        document = await self.answer_document(
            ResolvedGateways(("10.1.0.1:80",), Proximity.ELSEWHERE),
            bounds=Bounds(ttl_max_s=2, config_ms=12_000),
        )
        self.assertEqual(document["TtlS"], 2.0)

    async def test_no_gateway(self) -> None:
        answer = await self.ask(NO_GATEWAYS)
        self.assertEqual(answer.status, HTTPStatus.SERVICE_UNAVAILABLE)
        self.assertGreater(float(answer.headers["Retry-After"]), 0)

    async def test_unknown_path(self) -> None:
        answer = await self.ask(ResolvedGateways(("10.1.0.1:80",), Proximity.ZONE), path="/-/other")
        self.assertEqual(answer.status, HTTPStatus.NOT_FOUND)
