"""Stand-in servers of one region that record requests, leave, crash and restart cold."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from contextlib import suppress
from enum import Enum
from http import HTTPStatus
from random import Random
from time import monotonic
from typing import Any
from weakref import WeakKeyDictionary

from aiohttp import web
from attrs import evolve

from brackenladder.local_site.layout import HEARTBEAT_MS
from brackenladder.platform_settings import DEFAULT_BOUNDS
from brackenladder.rehearsal.standins.heartbeats import FAREWELL_SECONDS, RETRY_SECONDS, Heartbeats
from brackenladder.rehearsal.standins.model_clients import DEADLINE
from brackenladder.rehearsal.standins.model_server import (
    EXPECTED_INSTANCE,
    KEEP_ALIVE_SECONDS,
    REQUEST_ID,
    ModelServer,
    ServerSettings,
)
from brackenladder.soak.answer_faults import (
    FULL,
    GARBLED_ANSWERS,
    NO_FAULTS,
    REJECTION_STATUSES,
    UNPROVEN_STATUSES,
    BreakOff,
    encode_response,
)
from brackenladder.soak.events import Arrived, Handled, LeaveAcknowledged, Order, Record, Trouble, now
from brackenladder.soak.partial_heads import END_OF_HEAD, PartialHead, PartialHeadServer, reset
from brackenladder.soak.site import SoakLayout

COLD_SECONDS = 2.0  # warm-up time after a restart
LONGEST_STAY_SECONDS = 6.0  # longest time that a leaving server stays beyond DrainMs
LONGEST_CRASH_GAP_SECONDS = 0.2  # between two crashes, when all servers of a region crash
FINISH_SECONDS = 10.0  # time limit for running requests when a server stops


MILLISECONDS = 1000
REJECTED_AT_DEADLINE_SHARE = 0.5  # of the requests whose deadline passes at a server
UNFRAMED_SHARE = 0.5  # share of the streams without a length
STALL_SECONDS = 1.5  # how much later an event of a preempted stream comes
NOTICE_SECONDS = 2.0  # from the announcement of a server's end at short notice to its end
PART_SHARE = 0.5  # time between the two parts of an event, as a share of that between two events


class UnframedResponse(web.StreamResponse):
    """A response without a length or chunks, which ends with its connection."""

    _length_check = False

    def __init__(self, headers: dict[str, str]) -> None:
        super().__init__(headers=headers)
        self.force_close()


class Leave(Enum):
    """How a server leaves."""

    CRASH = "crash"
    DRAIN = "drain"
    DEREGISTER_FIRST = "deregister-first"
    SHORT_NOTICE = "short-notice"  # drains with `RemainingMs`, then ends whatever it is running


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


class LossyHeartbeats(Heartbeats):
    """Heartbeats that can ignore a share of their acknowledgements, as if these were lost."""

    lost_share = 0.0
    random = Random(1)

    def loses_answer(self) -> bool:
        """Randomly decides whether the next acknowledgement is dropped."""
        return self.random.random() < self.lost_share

    async def deregister_first(self) -> None:
        """Deregisters the server before it stops; raises TimeoutError if that is not acknowledged."""
        if self._task is not None:
            self._task.cancel()
        path = f"/-/Instances.Deregister/{self._server.settings.id}"
        async with asyncio.timeout(FAREWELL_SECONDS):
            while not await self._call(path, None):
                await asyncio.sleep(RETRY_SECONDS)


class ServerGroup:
    """All servers of one region, by place: the fixed slot that a server and its replacements occupy."""

    def __init__(self, layout: SoakLayout, region: str, seed: str, record: Record) -> None:
        own = [one for one in layout.servers() if layout.zones[one.zone] == region]
        self._settings = {one.id.partition(".")[0]: one for one in own}
        self._control = layout.seeds
        self._random = Random(seed)
        self._record = record
        self._servers: dict[str, RecordingServer] = {}
        self._heartbeats: dict[str, LossyHeartbeats] = {}
        self._leaving: set[str] = set()
        self._lost_share = 0.0
        self._faults = NO_FAULTS

    async def start(self) -> None:
        """Starts all servers, warm."""
        for place in self._settings:
            await self._begin(place, cold=False)

    def order(self, order: Order) -> Awaitable[None] | None:
        """Executes `leave` (one server), `crash`, `full` (all) or `lose` (a share of acknowledgements)."""
        if order["do"] == "crash":
            return self._crash_all(order["away"])
        if order["do"] == "leave":
            return self.leave(order["place"], Leave(order["how"]), order["away"])
        if order["do"] == "full":
            self._faults = FULL if order["on"] else NO_FAULTS
            for server in self._servers.values():
                server.faults = self._faults
            return None
        self._lost_share = order["share"]
        for heartbeats in self._heartbeats.values():
            heartbeats.lost_share = self._lost_share
        return None

    async def _crash_all(self, away: float) -> None:
        """Crashes all servers that are not leaving, one shortly after the other."""
        leaves = []
        for place in tuple(self._servers):
            leaves.append(asyncio.create_task(self.leave(place, Leave.CRASH, away)))
            await asyncio.sleep(self._random.uniform(0.0, LONGEST_CRASH_GAP_SECONDS))
        await asyncio.gather(*leaves)

    async def leave(self, place: str, how: Leave, away: float) -> None:
        """Stops a server and starts its replacement after `away` seconds, unless it is already leaving."""
        if place in self._leaving:
            return
        self._leaving.add(place)
        began, name = now(), self._settings[place].id
        try:
            in_order = await self._end_server(place, how)
            self._record(Trouble(began, now(), f"server-{how.value}", (name,), planned=in_order))
            await asyncio.sleep(max(away, DEFAULT_BOUNDS.reuse_after_s))
            number = int(name.partition(".")[2]) + 1
            self._settings[place] = evolve(self._settings[place], id=f"{place}.{number}")
            await self._begin(place, cold=True)
        finally:
            self._leaving.discard(place)

    async def stop(self) -> None:
        """Stops all heartbeats, then ends all servers at once, also while they run requests."""
        for heartbeats in self._heartbeats.values():
            await heartbeats.stop()
        for server in self._servers.values():
            await server.crash()

    async def _begin(self, place: str, cold: bool) -> None:
        settings = self._settings[place]
        server = RecordingServer(settings, self._record, monotonic() + COLD_SECONDS if cold else 0.0)
        server.faults = self._faults
        await server.start()
        heartbeats = LossyHeartbeats(server, self._control, HEARTBEAT_MS / 1000)
        heartbeats.lost_share, heartbeats.random = self._lost_share, self._random
        await heartbeats.start()
        self._servers[place], self._heartbeats[place] = server, heartbeats

    async def _end_server(self, place: str, how: Leave) -> bool:
        """Ends a server; returns whether it left as planned work does."""
        if how is Leave.CRASH:
            return await self._crash(place)
        if how is Leave.SHORT_NOTICE:
            return await self._end_at_short_notice(place)
        return await self._leave_gracefully(place, how)

    async def _crash(self, place: str) -> bool:
        await self._heartbeats.pop(place).stop()
        await self._servers.pop(place).crash()
        return False

    async def _end_at_short_notice(self, place: str) -> bool:
        """Announces the time that the server has left, and ends it then, acknowledged or not."""
        name = self._servers[place].settings.id
        with suppress(TimeoutError):
            async with asyncio.timeout(NOTICE_SECONDS):
                await self._heartbeats[place].drain(round(NOTICE_SECONDS * MILLISECONDS))
                self._record(LeaveAcknowledged(now(), name))
                await asyncio.sleep(NOTICE_SECONDS)
        return await self._crash(place)

    async def _leave_gracefully(self, place: str, how: Leave) -> bool:
        """Announces the leave, waits a little over DrainMs, stops the server.

        Returns whether the leave was acknowledged and no running request was cut off.
        """
        acknowledged = False
        server, heartbeats = self._servers[place], self._heartbeats[place]
        name = server.settings.id
        try:
            await (heartbeats.drain() if how is Leave.DRAIN else heartbeats.deregister_first())
            self._record(LeaveAcknowledged(now(), name))
            acknowledged = True
        except TimeoutError:
            pass  # the server stops even if its drain was not acknowledged
        stay = DEFAULT_BOUNDS.drain_ms / 1000 + self._random.uniform(0.2, LONGEST_STAY_SECONDS)
        await asyncio.sleep(stay)
        del self._heartbeats[place], self._servers[place]
        await (heartbeats.deregister() if how is Leave.DRAIN else heartbeats.stop())
        with suppress(TimeoutError):
            async with asyncio.timeout(FINISH_SECONDS):
                await server.finish()
            return acknowledged
        await server.crash()
        return False
