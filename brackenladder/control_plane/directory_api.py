"""The directory: tells clients which gateways they may connect to."""

from __future__ import annotations

import json
from collections.abc import Callable
from http import HTTPStatus

from aiohttp import web

from brackenladder.control_plane.http_server import not_found, unavailable
from brackenladder.registry.directory import ClientPlace, Offer

RESOLVE_PATH = "/-/resolve"
NEAR_TIME_TO_LIVE = 1  # seconds
# A client without a gateway in its region has hardly a living directory there either: it waits a second in
# vain before each of its look-ups.
FAR_TIME_TO_LIVE = 4

Resolve = Callable[[ClientPlace], Offer]


class DirectoryApi:
    """Handles calls of `Listen.Directory`."""

    def __init__(self, resolve: Resolve, longest_time_to_live: float) -> None:
        self._resolve = resolve
        self._longest = longest_time_to_live  # seconds that count at most

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """`GET /-/resolve?Name=&Region=&Zone=`."""
        if request.method != "GET" or request.rel_url.raw_path != RESOLVE_PATH:
            return not_found(request.rel_url.raw_path)
        query = request.rel_url.query
        client = ClientPlace(query.get("Name", ""), query.get("Region", ""), query.get("Zone", ""))
        offer = self._resolve(client)
        if not offer.addresses:
            return unavailable("no gateway is ready")
        time_to_live = min(NEAR_TIME_TO_LIVE if offer.near else FAR_TIME_TO_LIVE, self._longest)
        body = json.dumps({"Addresses": offer.addresses, "TtlS": time_to_live}).encode()
        return web.Response(status=HTTPStatus.OK, body=body, content_type="application/json")
