"""The directory: tells clients which gateways they may connect to."""

from __future__ import annotations

import json
from collections.abc import Callable
from http import HTTPStatus

from aiohttp import web

from brackenladder.control_plane.http_server import not_found, unavailable

RESOLVE_PATH = "/-/resolve"
TIME_TO_LIVE_SECONDS = 1

Resolve = Callable[[str, str], tuple[str, ...]]


class DirectoryApi:
    """Handles calls of `Listen.Directory`."""

    def __init__(self, resolve: Resolve) -> None:
        self._resolve = resolve  # region, zone -> front addresses, nearest first

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """`GET /-/resolve?Name=&Region=&Zone=`."""
        if request.method != "GET" or request.rel_url.raw_path != RESOLVE_PATH:
            return not_found(request.rel_url.raw_path)
        query = request.rel_url.query
        addresses = self._resolve(query.get("Region", ""), query.get("Zone", ""))
        if not addresses:
            return unavailable("no gateway is ready")
        body = json.dumps({"Addresses": addresses, "TtlS": TIME_TO_LIVE_SECONDS}).encode()
        return web.Response(status=HTTPStatus.OK, body=body, content_type="application/json")
