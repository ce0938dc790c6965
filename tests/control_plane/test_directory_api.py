"""What the directory answers to clients."""

from __future__ import annotations

import json
import unittest
from http import HTTPStatus

from aiohttp import web
from aiohttp.test_utils import make_mocked_request

from brackenladder.control_plane.directory_api import (
    FAR_TIME_TO_LIVE,
    NEAR_TIME_TO_LIVE,
    RESOLVE_PATH,
    DirectoryApi,
)
from brackenladder.registry.directory import NO_OFFER, ClientPlace, Offer, Reach

LONGEST = 5.0  # seconds


class DirectoryApiTest(unittest.IsolatedAsyncioTestCase):
    async def ask(self, offer: Offer, longest: float = LONGEST, path: str = RESOLVE_PATH) -> web.Response:
        api = DirectoryApi(lambda client: self.asked_for(client, offer), longest)
        request = make_mocked_request("GET", f"{path}?Name=a.example&Region=north&Zone=hall-a")
        answer = await api.handle(request)
        assert isinstance(answer, web.Response)
        return answer

    def asked_for(self, client: ClientPlace, offer: Offer) -> Offer:
        self.assertEqual(client, ClientPlace("a.example", "north", "hall-a"))
        return offer

    async def told(self, offer: Offer, longest: float = LONGEST) -> dict[str, object]:
        answer = await self.ask(offer, longest)
        assert isinstance(answer.body, bytes)
        content: dict[str, object] = json.loads(answer.body)
        return content

    async def test_near_gateways_are_told_for_a_short_time(self) -> None:
        told = await self.told(Offer(("10.1.0.1:80",), Reach.ZONE))
        self.assertEqual(told, {"Addresses": ["10.1.0.1:80"], "TtlS": NEAR_TIME_TO_LIVE})

    async def test_far_ones_are_told_for_longer(self) -> None:
        told = await self.told(Offer(("10.1.0.1:80",), Reach.ELSEWHERE))
        self.assertEqual(told["TtlS"], FAR_TIME_TO_LIVE)

    async def test_never_for_longer_than_counts(self) -> None:
        told = await self.told(Offer(("10.1.0.1:80",), Reach.ELSEWHERE), longest=2.0)
        self.assertEqual(told["TtlS"], 2.0)

    async def test_no_gateway(self) -> None:
        answer = await self.ask(NO_OFFER)
        self.assertEqual(answer.status, HTTPStatus.SERVICE_UNAVAILABLE)

    async def test_another_path(self) -> None:
        answer = await self.ask(Offer(("10.1.0.1:80",), Reach.ZONE), path="/-/other")
        self.assertEqual(answer.status, HTTPStatus.NOT_FOUND)
