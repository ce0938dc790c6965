"""HTTP interface of the directory: tells clients which gateways to connect to."""

from __future__ import annotations

import json
from collections.abc import Callable
from http import HTTPStatus

from aiohttp import web

from brackenladder.control_plane.http_server import not_found, unavailable
from brackenladder.platform_settings import Bounds
from brackenladder.registry.directory import ClientLocation, ResolvedGateways

RESOLVE_PATH = "/-/resolve"
NEAR_TIME_TO_LIVE = 1  # seconds; for answers within the client's region
# If a client's region has no gateway, its directory is probably down too, and each lookup first waits in vain
# for a second. A longer time to live makes such lookups rarer.
FAR_TIME_TO_LIVE = 4.0  # seconds, at most; for answers with gateways of other regions
# A client that can reach a directory replaces an answer within this multiple of the answer's time to live.
MAX_HOLD_FACTOR = 3
MILLISECONDS_PER_SECOND = 1000

Resolve = Callable[[ClientLocation], ResolvedGateways]


class DirectoryApi:
    """Handles the requests at the address `Listen.Directory`."""

    def __init__(self, resolve: Resolve, bounds: Bounds) -> None:
        """`bounds` limits the time to live, and the time until a new configuration takes effect."""
        self._resolve = resolve
        self._near_ttl = min(NEAR_TIME_TO_LIVE, bounds.ttl_max_s)
        # Home regions may change. Clients that were directed to another region must ask again in time to
        # observe a new configuration within its deadline.
        config_seconds = bounds.config_ms / MILLISECONDS_PER_SECOND
        self._far_ttl = min(FAR_TIME_TO_LIVE, config_seconds / MAX_HOLD_FACTOR, bounds.ttl_max_s)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handles a request. The only call is `GET /-/resolve?Name=&Region=&Zone=`."""
        if request.method != "GET" or request.rel_url.raw_path != RESOLVE_PATH:
            return not_found(request.rel_url.raw_path)
        query = request.rel_url.query
        client = ClientLocation(query.get("Name", ""), query.get("Region", ""), query.get("Zone", ""))
        offer = self._resolve(client)
        if not offer.addresses:
            return unavailable("no gateway that this client may use is ready")
        time_to_live = self._near_ttl if offer.in_client_region else self._far_ttl
        body = json.dumps({"Addresses": offer.addresses, "TtlS": time_to_live}).encode()
        return web.Response(status=HTTPStatus.OK, body=body, content_type="application/json")
