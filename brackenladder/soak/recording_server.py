"""A stand-in server that records its requests, and spoils its answers in the ways that PROTOCOL allows."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from random import Random
from time import monotonic
from typing import Any
from weakref import WeakKeyDictionary

from aiohttp import web

from brackenladder.rehearsal.standins.model_clients import DEADLINE
from brackenladder.rehearsal.standins.model_server import (
    EXPECTED_INSTANCE,
    KEEP_ALIVE_SECONDS,
    REQUEST_ID,
    ModelServer,
    ServerSettings,
)
from brackenladder.soak.answer_faults import (
    GARBLED_ANSWERS,
    NO_FAULTS,
    REJECTION_STATUSES,
    UNPROVEN_STATUSES,
    BreakOff,
    encode_response,
)
from brackenladder.soak.events import Arrived, Handled, Record, now
from brackenladder.soak.partial_heads import END_OF_HEAD, PartialHead, PartialHeadServer, reset

MILLISECONDS = 1000
REJECTED_AT_DEADLINE_SHARE = 0.5  # of the requests whose deadline passes at a server
UNFRAMED_SHARE = 0.5  # share of the streams without a length
STALL_SECONDS = 1.5  # how much later an event of a preempted stream comes
PART_SHARE = 0.5  # time between the two parts of an event, as a share of that between two events


class UnframedResponse(web.StreamResponse):
    """A response without a length or chunks, which ends with its connection."""

    _length_check = False

    def __init__(self, headers: dict[str, str]) -> None:
        super().__init__(headers=headers)
        self.force_close()


class RecordingServer(ModelServer):
    """A stand-in server that records each request and whether it ran."""

    def __init__(self, settings: ServerSettings, record: Record, cold_until: float) -> None:
        super().__init__(settings)
        self._record = record
        self._cold_until = cold_until
        self.faults = NO_FAULTS
        self._random = Random(settings.id)
        self._protocols = PartialHeadServer(
            self._handle,
            self._take_partial_head,
            self._admits_connection,
            access_log=None,
            keepalive_timeout=KEEP_ALIVE_SECONDS,
        )
        self._held_copies: WeakKeyDictionary[Any, bytes] = WeakKeyDictionary()  # by connection

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        transport = request.transport
        if transport is None:
            return await super()._serve(request)
        copy = self._held_copies.pop(transport, b"")
        response = await self._answer_or_reject(request)
        if copy and not isinstance(response, UnframedResponse):  # its body would include the copy
            transport.write(copy)
        if isinstance(response, web.Response) and self._random.random() < self.faults.repeated:
            self._held_copies[transport] = self._copy(response)
        return response

    def _copy(self, response: web.Response) -> bytes:
        """The bytes of a response that is sent again, whole or cut short within its head."""
        copy = encode_response(response)
        if self._random.random() >= self.faults.cut:
            return copy
        return copy[: self._random.randrange(1, copy.index(END_OF_HEAD))]

    async def _answer_or_reject(self, request: web.BaseRequest) -> web.StreamResponse:
        request_id = request.headers.get(REQUEST_ID, "")
        faults = self.faults
        shares = (faults.rejected, faults.failed, faults.expired, faults.broken_off)
        drawn = self._random.choices(
            (self._reject, self._fail, self._expire, self._break_off, None), (*shares, 1.0 - sum(shares))
        )
        return await super()._serve(request) if drawn[0] is None else await drawn[0](request, request_id)

    async def _reject(self, _request: web.BaseRequest, request_id: str) -> web.Response:
        """Rejects a request: it has not run."""
        return self._refused(request_id, self._random.choice(REJECTION_STATUSES))

    async def _fail(self, _request: web.BaseRequest, request_id: str) -> web.Response:
        """Ends a request before its work begins, without saying that it has not run."""
        self.ended_unproven(request_id)
        return web.Response(status=HTTPStatus.INTERNAL_SERVER_ERROR, headers=self._headers(request_id))

    async def _expire(self, request: web.BaseRequest, request_id: str) -> web.Response:
        """Holds a request until its deadline has passed, as in a long queue."""
        await asyncio.sleep(int(request.headers.get(DEADLINE, "0")) / MILLISECONDS)
        if self._random.random() < REJECTED_AT_DEADLINE_SHARE:
            return self._refused(request_id, HTTPStatus.SERVICE_UNAVAILABLE)
        self.ended_unproven(request_id)
        return web.Response(status=HTTPStatus.GATEWAY_TIMEOUT, headers=self._headers(request_id))

    async def _break_off(self, request: web.BaseRequest, request_id: str) -> web.Response:
        """Ends a request before its work begins, without a whole answer."""
        self.ended_unproven(request_id)
        response = web.Response(headers=self._headers(request_id), body=b"{}")
        transport = request.transport
        if transport is not None:
            self._end_connection(transport, encode_response(response))
        return response  # is not sent: the connection is closing

    def _end_connection(self, transport: asyncio.Transport, whole: bytes) -> None:
        match self._random.choice(tuple(BreakOff)):
            case BreakOff.RESET:
                reset(transport)
                return
            case BreakOff.GARBLED:
                transport.write(self._random.choice(GARBLED_ANSWERS))
            case BreakOff.CUT:
                transport.write(whole[: self._random.randrange(1, len(whole))])
        transport.close()

    def _admits_connection(self) -> bool:
        """Whether a new connection stays open; the others are reset, as beyond `MaxConnections`."""
        return self._random.random() >= self.faults.connections_reset

    def _headers(self, request_id: str) -> dict[str, str]:
        headers = super()._headers(request_id)
        if self._random.random() < self.faults.closing:
            headers["Connection"] = "close"
        return headers

    def _take_partial_head(self, head: PartialHead) -> None:
        """Begins a request whose head ended with its connection, if it is meant for this server."""
        if head.headers.get(EXPECTED_INSTANCE.lower()) == self.settings.id:
            request_id = head.headers.get(REQUEST_ID.lower(), "")
            self.arrived(request_id, head.path)
            self.ended_unproven(request_id)

    def ended_unproven(self, request_id: str) -> None:
        """Records a request that ended without a word that it has not run, so that it counts as run."""
        self._record(Handled(now(), request_id, self.settings.id))

    async def _answer(self, request_id: str) -> web.Response:
        response = await super()._answer(request_id)
        if self._random.random() < self.faults.unproven:
            status = self._random.choice(UNPROVEN_STATUSES)
            return web.Response(status=status, headers=self._headers(request_id))
        return response

    def new_stream(self, headers: dict[str, str]) -> web.StreamResponse:
        """The response of a stream, for some without a length."""
        if self._random.random() >= UNFRAMED_SHARE:
            return super().new_stream(headers)
        return UnframedResponse(headers=headers | {"Connection": "close"})

    async def write_event(self, answer: web.StreamResponse, event: bytes) -> None:
        """Writes an event, of a stream without a length in two parts; now and then it comes late."""
        if self._random.random() < self.faults.stalled:
            await asyncio.sleep(STALL_SECONDS)
        if not isinstance(answer, UnframedResponse):
            await super().write_event(answer, event)
            return
        middle = self._random.randrange(1, len(event))
        await answer.write(event[:middle])
        await asyncio.sleep(self._pace() * PART_SHARE)
        await answer.write(event[middle:])

    async def crash(self) -> None:
        """Ends at once, as when the kernel closes the sockets of a killed process: in order, with a FIN."""
        if self._listener is not None:
            self._listener.close()
        for protocol in self._protocols.connections:
            if protocol.transport is not None:
                protocol.transport.close()
        await self._end(0.0)

    def arrived(self, request_id: str, path: str) -> None:
        """Records a request before its body is read."""
        own = self.settings
        self._record(Arrived(now(), request_id, own.id, own.service, own.zone, path))

    def begun(self, request_id: str) -> None:
        """Records that a request has started to run."""
        super().begun(request_id)
        self._record(Handled(now(), request_id, self.settings.id))

    def turned_away(self, request_id: str, status: int) -> None:
        """Records that a request was refused and did not run."""
        self._record(Handled(now(), request_id, self.settings.id, status))

    def cold_remaining_ms(self) -> int:
        """Milliseconds of warm-up that remain."""
        return max(0, round((self._cold_until - monotonic()) * 1000))
