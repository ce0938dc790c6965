"""The directory: tells clients which gateways they may connect to."""

from __future__ import annotations

import json
from collections.abc import Callable
from http import HTTPStatus

from aiohttp import web

from brackenladder.control_plane.http_server import not_found, unavailable
from brackenladder.platform_settings import Bounds
from brackenladder.registry.directory import ClientLocation, ResolvedGateways

RESOLVE_PATH = "/-/resolve"
NEAR_TIME_TO_LIVE = 1  # seconds
# A client without a gateway in its region has hardly a living directory there either: it waits a second in
# vain before each of its look-ups.
FAR_TIME_TO_LIVE = 4.0  # seconds, at most
MAX_HOLD_FACTOR = 3  # times the time to live: so long do clients hold an answer while they can get a new one
MILLISECONDS_PER_SECOND = 1000

Resolve = Callable[[ClientLocation], ResolvedGateways]


class DirectoryApi:
    """Handles calls of `Listen.Directory`."""

    def __init__(self, resolve: Resolve, bounds: Bounds) -> None:
        """`bounds` tells how long an answer counts, and within what time a configuration is in force."""
        self._resolve = resolve
        self._near_ttl = min(NEAR_TIME_TO_LIVE, bounds.ttl_max_s)
        # Homes may change: whoever was led out of its region asks again within the time that a change has.
        in_force = bounds.config_ms / MILLISECONDS_PER_SECOND
        self._far_ttl = min(FAR_TIME_TO_LIVE, in_force / MAX_HOLD_FACTOR, bounds.ttl_max_s)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """`GET /-/resolve?Name=&Region=&Zone=`."""
        if request.method != "GET" or request.rel_url.raw_path != RESOLVE_PATH:
            return not_found(request.rel_url.raw_path)
        query = request.rel_url.query
        client = ClientLocation(query.get("Name", ""), query.get("Region", ""), query.get("Zone", ""))
        offer = self._resolve(client)
        if not offer.addresses:
            return unavailable("no gateway that the client may be led to is ready")
        time_to_live = self._near_ttl if offer.in_client_region else self._far_ttl
        body = json.dumps({"Addresses": offer.addresses, "TtlS": time_to_live}).encode()
        return web.Response(status=HTTPStatus.OK, body=body, content_type="application/json")
