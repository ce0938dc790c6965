"""Serves one client request: reads it, finds its route, passes it to a pool and returns the response."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import TYPE_CHECKING, TypeVar

from aiohttp import web
from attrs import evolve
from returns.result import Failure, Result, Success

from brackenladder.catalog.configuration import Limits, Route, RouteKind
from brackenladder.gateway.answers import (
    FAULT_STATUS,
    NOT_RUN_STATUSES,
    Failed,
    Refused,
    RequestFault,
    WholeAnswer,
    own_answer,
    unserved_answer,
)
from brackenladder.gateway.calls import GatewayCall
from brackenladder.gateway.clients import ClientRequest
from brackenladder.gateway.headers import (
    CONTENT_LENGTH,
    EXPECT,
    HOST,
    LAST_EVENT_ID,
    REQUEST_ID,
    forwarded_lines,
    header_bytes,
)
from brackenladder.gateway.hints import is_idempotent, read_deadline_ms, read_traits
from brackenladder.gateway.open_answer import OpenAnswer
from brackenladder.gateway.outcomes import may_be_passed_on
from brackenladder.gateway.promises import AttemptRecord, ClientPlace, OwnAnswer
from brackenladder.gateway.relay import DEADLINE_MARGIN, Relay
from brackenladder.gateway.start_gate import MAX_HOLD
from brackenladder.held_calls import HeldCall
from brackenladder.placement.traits import CallTraits
from brackenladder.placement.urgency import urgency_of

if TYPE_CHECKING:
    from brackenladder.gateway.context import GatewayContext
    from brackenladder.placement.pool import ServicePool

US_PER_MS = 1000
US_PER_S = 1e6
MIN_SILENCE = 2_000_000  # microseconds; clients wait at least this long for the next event
SILENCE_LATENCY_TARGETS = 4
SILENCE_EVENT_GAPS = 8
DEFAULT_TIMEOUT_MS = 1000  # the timeout assumed for a client that announces none

Response = TypeVar("Response", bound=web.StreamResponse)

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Exchange:
    """Handles one request from its head to the end of its response."""

    def __init__(self, context: GatewayContext, request: web.BaseRequest) -> None:
        self.context = context
        self.request = request
        self.began = context.now() - int(waited_seconds(request) * US_PER_S)
        message = request._message
        self.method = message.method
        self.target = origin_form(message.path)
        self.request_id = ""
        self.route: Route
        self.body = b""
        self.prompt_tokens = 0
        self.client_deadline = 0  # end of the client's timeout; like all times here, by the gateway's clock
        self.servers: set[str] = set()  # the servers that may have run the request
        self._cached_lines: bytes | None = None
        self._held_call: HeldCall

    async def handle(self) -> web.StreamResponse:
        """Serve the request. The returned response has been sent already, or is sent by the caller."""
        with self.context.held_calls.track(f"request for {self.target}", self.began + MAX_HOLD) as held:
            self._held_call = held
            return await self._serve()

    async def _serve(self) -> web.StreamResponse:
        await self._wait_for_start()
        read = await self._read()
        if isinstance(read, Failure):
            return self._reject(read.failure())
        if self.context.intake_closed:
            return self._reject(RequestFault.LEAVING)
        self.prompt_tokens = read.unwrap().prompt_tokens
        pool = self.context.pools.choose(self.route, read.unwrap().parts)
        if pool is None:
            return self._reject(RequestFault.NOT_CONFIGURED)
        call = self._first_call(pool, read.unwrap())
        conclusion = await call.drive()
        if isinstance(conclusion, WholeAnswer):
            call.end_stream()
            return self._whole_response(conclusion)
        if isinstance(conclusion, OpenAnswer):
            self._held_call.limit = self.client_deadline + DEADLINE_MARGIN
            return await Relay(self, call, conclusion, self.successor_call).run()
        return self._unserved_response(call, conclusion)

    async def _wait_for_start(self) -> None:
        gate = self.context.start_gate
        if not gate.is_open:
            announced_ms = read_deadline_ms(self.request.headers)
            await gate.wait((announced_ms or DEFAULT_TIMEOUT_MS) * US_PER_MS)

    # ---- reading --------------------------------------------------------------------------------------

    async def _read(self) -> Result[CallTraits, RequestFault]:
        """Check the head, find the route, read the body.

        Until a configuration is known, the request is answered 503. Checked against default limits, it could
        be rejected for good although the configured limits allow it.
        """
        request = self.request
        headers = request.headers
        if not self.target or self.method == "CONNECT":
            return Failure(RequestFault.MALFORMED)
        if not self.context.pools.configured:
            return Failure(RequestFault.NOT_CONFIGURED)
        limits = self.context.pools.limits
        if header_bytes(request.raw_headers, self.target) > limits.max_header_bytes:
            return Failure(RequestFault.HEADER_TOO_LARGE)
        ids = headers.getall(REQUEST_ID, ())
        if len(ids) != 1 or not ids[0]:
            return Failure(RequestFault.NO_REQUEST_ID)
        self.request_id = ids[0]
        route = self.context.pools.routes.find(headers.get(HOST, ""), self.target)
        if route is None:
            return Failure(RequestFault.NO_ROUTE)
        self.route = route
        self._set_deadlines()
        fault = await self._read_body(limits)
        if fault is not None:
            return Failure(fault)
        return Success(read_traits(headers, route, request_bytes=len(self.body)))

    def _set_deadlines(self) -> None:
        announced_ms = read_deadline_ms(self.request.headers)
        wait_ms = self.route.timeout_ms if announced_ms is None else announced_ms
        self.client_deadline = self.began + wait_ms * US_PER_MS
        self._held_call.limit = min(self.client_deadline, self.began + self.route.timeout_ms * US_PER_MS)

    async def _read_body(self, limits: Limits) -> RequestFault | None:
        content = self.request.content
        length = self.request.headers.get(CONTENT_LENGTH)
        if length is not None and int(length) > limits.max_body_bytes:
            return RequestFault.BODY_TOO_LARGE
        if self.request.headers.get(EXPECT, "").lower() == "100-continue" and not content.is_eof():
            self._send_continue()
        if content.is_eof():
            self.body = content.read_nowait(-1)
            return RequestFault.BODY_TOO_LARGE if len(self.body) > limits.max_body_bytes else None
        try:
            async with asyncio.timeout((self._held_call.limit - self.context.now()) / US_PER_S):
                return await self._read_slow_body(limits.max_body_bytes)
        except TimeoutError:
            return RequestFault.BODY_TOO_SLOW
        except web.RequestPayloadError:
            return RequestFault.MALFORMED

    async def _read_slow_body(self, max_bytes: int) -> RequestFault | None:
        parts: list[bytes] = []
        size = 0
        while True:
            data = await self.request.content.readany()
            if not data:
                break
            parts.append(data)
            size += len(data)
            if size > max_bytes:
                return RequestFault.BODY_TOO_LARGE
        self.body = b"".join(parts)
        return None

    def _send_continue(self) -> None:
        transport = self.request.transport
        if transport is not None:
            transport.write(CONTINUE)

    # ---- requests to servers --------------------------------------------------------------------------

    def _first_call(self, pool: ServicePool, traits: CallTraits) -> GatewayCall:
        now = self.context.now()
        streaming = self.route.kind is RouteKind.STREAMING
        timeout = self.began + self.route.timeout_ms * US_PER_MS
        deadline = min(self.client_deadline, timeout)
        server_deadline = self.client_deadline if streaming else deadline
        if streaming:
            deadline = min(deadline, self.began + self.max_silence)
        return GatewayCall(self, pool, traits, max(0, deadline - now), server_deadline)

    def successor_call(self, broken: GatewayCall, last_event_id: int, left: int) -> GatewayCall:
        """A call that resumes the stream after `last_event_id`, at a server that has not run the request."""
        traits = evolve(broken.traits, exclude=frozenset(self.servers))
        return GatewayCall(self, broken.pool, traits, left, self.client_deadline, last_event_id)

    def newest_route(self) -> Route | None:
        """The route that the request matches now; None if it is unchanged or was removed.

        A configuration may come into force while a request is read or between its attempts. The next attempt
        must respect the new route if it allows fewer regions or servers.
        """
        newest = self.context.pools.routes.find(self.request.headers.get(HOST, ""), self.target)
        return None if newest is self.route or newest == self.route else newest

    def _binding_routes(self) -> tuple[Route, ...]:
        """The routes that apply: the one matched on reading the request, and the current one if different."""
        newest = self.newest_route()
        return (self.route,) if newest is None else (self.route, newest)

    def may_resume(self) -> bool:
        """Whether all routes that apply allow the request's stream to be resumed at one more server."""
        return all(route.resumable for route in self._binding_routes()) and self._has_attempts()

    def _has_attempts(self) -> bool:
        return len(self.servers) < min([route.max_attempts for route in self._binding_routes()])

    @property
    def max_silence(self) -> int:
        """The microseconds without an event after which the client gives up a stream."""
        route = self.route
        aims = SILENCE_LATENCY_TARGETS * route.target_latency_ms * US_PER_MS
        gaps = SILENCE_EVENT_GAPS * route.gap_aim_ms * US_PER_MS
        return max(MIN_SILENCE, aims, gaps)

    def may_be_sent_to(self, server_id: str) -> bool:
        """Whether the request may go to this server, given the attempts that the routes allow.

        A server that may have run the request already does not count as a further attempt.
        """
        if server_id in self.servers or not self.servers:
            return True
        return self._has_attempts() and all(is_idempotent(route) for route in self._binding_routes())

    def sent_to(self, server_id: str) -> None:
        """Note that the request was written to a server."""
        self.servers.add(server_id)

    def rejected_by(self, server_id: str) -> None:
        """Note that a server rejected the request without running it."""
        self.servers.discard(server_id)

    def compose(self, server_id: str, left_ms: int, last_event_id: int | None) -> bytes:
        """The request as it is sent to a server."""
        lines = self._forwarded_lines(last_event_id is not None)
        target = self.target.encode("utf-8", "surrogateescape")
        urgency = urgency_of(self.route, self.prompt_tokens, resumed=last_event_id is not None)
        resumed = b"" if last_event_id is None else b"Last-Event-Id: %d\r\n" % last_event_id
        has_length = self.body or CONTENT_LENGTH in self.request.headers or self.method not in ("GET", "HEAD")
        length = b"Content-Length: %d\r\n" % len(self.body) if has_length else b""
        return (
            b"%b %b HTTP/1.1\r\n%b%b%bX-Brackenladder-Request-Deadline-Ms: %d\r\n"
            b"X-Brackenladder-Expected-Instance: %b\r\nPriority: %d\r\n\r\n%b"
        ) % (
            self.method.encode(),
            target,
            lines,
            resumed,
            length,
            left_ms,
            server_id.encode(),
            urgency,
            self.body,
        )

    def _forwarded_lines(self, resumed: bool) -> bytes:
        raw_headers = self.request.raw_headers
        if resumed:
            return forwarded_lines(raw_headers, (LAST_EVENT_ID.lower().encode(),))
        if self._cached_lines is None:
            self._cached_lines = forwarded_lines(raw_headers)
        return self._cached_lines

    # ---- responses to the client ----------------------------------------------------------------------

    def _reject(self, fault: RequestFault) -> web.Response:
        response = own_answer(FAULT_STATUS[fault])
        if response.status in NOT_RUN_STATUSES:
            self._record_answer(response, ())
        if fault in (RequestFault.MALFORMED, RequestFault.BODY_TOO_SLOW):
            response.force_close()
        return self.finished(response)

    def _whole_response(self, answer: WholeAnswer) -> web.Response:
        response = web.Response(
            status=answer.status, reason=answer.reason, headers=answer.headers, body=answer.body
        )
        return self.finished(response)

    def _unserved_response(self, call: GatewayCall, ending: Refused | Failed) -> web.Response:
        failure = call.failure
        if failure is not None and may_be_passed_on(failure.status):
            return self._whole_response(failure)
        response = unserved_answer(ending, call.may_have_run, call.timed_out)
        self._record_answer(response, call.ended_attempts)
        return self.finished(response)

    def _record_answer(self, response: web.Response, attempts: Sequence[AttemptRecord]) -> None:
        """Note what an answer of the gateway's own rests on."""
        place = client_place(self.request)
        answer = OwnAnswer(self.request_id, response.status, attempts, place, self.context.draining)
        self.context.promises.answered(answer)

    def finished(self, response: Response) -> Response:
        """The response, with `Connection: close` if the gateway is draining."""
        if self.context.draining:
            response.force_close()
        return response


def waited_seconds(request: web.BaseRequest) -> float:
    """How long the request waited behind earlier ones on its connection."""
    return request.waited if isinstance(request, ClientRequest) else 0.0


def client_place(request: web.BaseRequest) -> ClientPlace:
    """The client's connection, and the place of the request in the order of its requests."""
    return request.place if isinstance(request, ClientRequest) else ClientPlace()


def origin_form(target: str) -> str:
    """The path and query of a request target; empty if it has no path."""
    if target.startswith("/"):
        return target
    scheme, separator, rest = target.partition("://")
    if not separator or not scheme.isalpha():
        return ""
    slash = rest.find("/")
    return rest[slash:] if slash >= 0 else ""
