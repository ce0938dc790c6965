"""HTTP interface of a control node for operators and servers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Collection
from http import HTTPStatus
from typing import Protocol
from urllib.parse import unquote

from aiohttp import web
from returns.result import Failure, Success

from brackenladder.catalog.orders import (
    BeginEvacuation,
    ConfigurationOrder,
    FinishEvacuation,
    ReplaceConfiguration,
    UpdateConfiguration,
    encode_order,
)
from brackenladder.control_plane.connection import FencedRequest, fence_of
from brackenladder.control_plane.http_server import json_response, not_found, unavailable, written_again
from brackenladder.control_plane.instances import parse_heartbeat
from brackenladder.control_plane.messages import OrderOutcome, OrderReply
from brackenladder.control_plane.orders import OrderService
from brackenladder.control_plane.status import ControlStatus, status_document
from brackenladder.registry.records import ServerRecord

BASE_VERSION_HEADER = "X-Brackenladder-Base-Version"

Call = Callable[[web.BaseRequest, str], Awaitable[web.Response]]


class ServerEvents(Protocol):
    """Handles servers' reports about themselves.

    The methods return False if the node has lost contact with the quorum and must not acknowledge the report.
    """

    async def heartbeat(self, record: ServerRecord) -> bool:
        """Handles a server's heartbeat; it has been sent to all connected nodes when this returns."""

    async def deregister(self, server_id: str) -> bool:
        """Removes a server; this has been sent to all connected nodes when this returns."""


class OperatorApi:
    """Handles the requests at the address `Listen.Control`."""

    def __init__(
        self,
        orders: OrderService,
        servers: ServerEvents,
        zones: Callable[[], Collection[str]],
        status: Callable[[], ControlStatus],
    ) -> None:
        self._orders = orders
        self._servers = servers
        self._zones = zones
        self._read_status = status
        self._calls: dict[tuple[str, str], Call] = {
            ("POST", "Instances.Heartbeat"): self._heartbeat,
            ("POST", "Instances.Deregister"): self._deregister,
            ("POST", "Config.Replace"): self._replace,
            ("POST", "Config.Update"): self._update,
            ("GET", "Config.Fetch"): self._fetch,
            ("POST", "Evacuations.Begin"): self._begin_evacuation,
            ("POST", "Evacuations.Finish"): self._finish_evacuation,
            ("GET", "Status"): self._status,
        }

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handles a request. Paths are `/-/CALL` or `/-/CALL/NAME`."""
        path = request.rel_url.raw_path
        prefix, _, rest = path[1:].partition("/")
        name, _, subject = rest.partition("/")
        call = self._calls.get((request.method, name))
        if prefix != "-" or call is None:
            return not_found(path)
        return await call(request, unquote(subject))

    async def _heartbeat(self, request: web.BaseRequest, server_id: str) -> web.Response:
        if isinstance(request, FencedRequest):
            request.is_report()
        match parse_heartbeat(server_id, await request.read()):
            case Success(record) if server_id:
                acknowledged = await self._servers.heartbeat(record)
            case Failure(fault):
                return json_response(HTTPStatus.BAD_REQUEST, {"Error": str(fault)})
            case _:
                return not_found("a server without an id")
        return json_response(HTTPStatus.OK, {}) if acknowledged else unavailable("out of touch")

    async def _deregister(self, request: web.BaseRequest, server_id: str) -> web.Response:
        await request.read()
        if not await self._servers.deregister(server_id):
            return unavailable("out of touch")
        return json_response(HTTPStatus.OK, {})

    async def _replace(self, request: web.BaseRequest, _subject: str) -> web.Response:
        return await self._change(request, ReplaceConfiguration)

    async def _update(self, request: web.BaseRequest, _subject: str) -> web.Response:
        return await self._change(request, UpdateConfiguration)

    async def _change(
        self, request: web.BaseRequest, order: type[ReplaceConfiguration | UpdateConfiguration]
    ) -> web.Response:
        base = _base_version(request)
        body = await request.read()
        if base is None:
            return _bad_base()
        return await self._submit(order(base, body))

    async def _begin_evacuation(self, request: web.BaseRequest, zone: str) -> web.Response:
        return await self._evacuate(request, BeginEvacuation(zone))

    async def _finish_evacuation(self, request: web.BaseRequest, zone: str) -> web.Response:
        return await self._evacuate(request, FinishEvacuation(zone))

    async def _evacuate(
        self, request: web.BaseRequest, order: BeginEvacuation | FinishEvacuation
    ) -> web.Response:
        await request.read()
        if order.zone not in self._zones():
            return not_found(f"zone {order.zone}")
        reply = await self._orders.submit_evacuation(order, fence_of(request))
        if reply.outdated:
            return written_again(request)
        return _order_response(reply)

    async def _fetch(self, request: web.BaseRequest, _subject: str) -> web.Response:
        match await self._orders.fetch():
            case Success(document) if document.body:
                return web.Response(body=document.body, content_type="application/json")
            case Success(_):
                return not_found("no configuration yet")
            case Failure(reason):
                return unavailable(reason.value)
        raise AssertionError("a result is a success or a failure")

    async def _status(self, _request: web.BaseRequest, _subject: str) -> web.Response:
        return json_response(HTTPStatus.OK, status_document(self._read_status()))

    async def _submit(self, order: ConfigurationOrder) -> web.Response:
        return _order_response(await self._orders.submit(encode_order(order)))


def _order_response(reply: OrderReply) -> web.Response:
    match reply.outcome:
        case OrderOutcome.ACCEPTED:
            return json_response(HTTPStatus.OK, {"Version": reply.version})
        case OrderOutcome.INVALID:
            return json_response(HTTPStatus.BAD_REQUEST, {"Error": list(reply.faults)})
        case OrderOutcome.CONFLICT:
            return json_response(HTTPStatus.PRECONDITION_FAILED, {"Version": reply.version})
        case _:
            return unavailable("no clear answer in time")


def _base_version(request: web.BaseRequest) -> int | None:
    text = request.headers.get(BASE_VERSION_HEADER, "").strip()
    return int(text) if text.isdecimal() else None


def _bad_base() -> web.Response:
    return json_response(HTTPStatus.BAD_REQUEST, {"Error": f"{BASE_VERSION_HEADER}: not a whole number"})
