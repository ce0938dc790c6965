"""Makes the attempts of one service's calls at its servers, and reports their outcomes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Protocol

from aiohttp.http_parser import RawResponseMessage
from aiohttp.streams import StreamReader
from multidict import CIMultiDictProxy

from brackenladder.core.call import Attempt, Call, Done, Probed
from brackenladder.delivery.view import SystemView
from brackenladder.gateway.answers import NOT_RUN_STATUSES, WholeAnswer
from brackenladder.gateway.calls import GatewayCall
from brackenladder.gateway.connections import ConnectFailed, ServerConnections, TooManyConnections
from brackenladder.gateway.contracts import AttemptEnd
from brackenladder.gateway.events import EventTooLarge
from brackenladder.gateway.headers import CONTENT_TYPE, NOT_EXECUTED, answer_headers
from brackenladder.gateway.open_answer import OpenAnswer
from brackenladder.gateway.outcomes import outcome_of
from brackenladder.gateway.promises import AttemptRecord, Written
from brackenladder.gateway.server_connection import ServerConnection
from brackenladder.gateway.server_protocol import AnswerBroken
from brackenladder.gateway.stale_check import start_to_check
from brackenladder.interface import Outcome
from brackenladder.invariants import VIOLATIONS, Invariant
from brackenladder.placement.traits import CallTraits
from brackenladder.registry.records import ServerRecord, ServerState

EVENT_STREAM = "text/event-stream"
MAX_BUFFERED_BODY = 1024 * 1024  # bytes; a larger body is relayed as it arrives
LEAST_CONNECTIONS = 4  # connections allowed to each server, however small this gateway's share is
CONNECTION_SHARE = 0.8  # the fraction of `MaxConnections` that all gateways together use
MICROSECONDS_PER_SECOND = 1e6


class Records(Protocol):
    """Looks up the pool's servers, which attempts go to."""

    def record(self, number: int) -> ServerRecord | None:
        """The state and address of the server with this number; None if it no longer exists."""

    def region(self, record: ServerRecord) -> str:
        """The region of a server; empty if unknown."""


class ServiceUpstream:
    """Makes the attempts for one service's pool. It neither chooses servers nor retries."""

    def __init__(
        self,
        view: SystemView,
        connections: ServerConnections,
        now: Callable[[], int],
        connection_limit: Callable[[], int],
        log: Callable[[str, str], None],
    ) -> None:
        self.view = view
        self.connections = connections
        self.now = now
        self.connection_limit = connection_limit
        self.log = log
        self.records: Records | None = None  # the pool, set after its creation

    def record(self, server: int) -> ServerRecord | None:
        """The state and address of a server; None if the server is gone or there is no pool yet."""
        return None if self.records is None else self.records.record(server)

    def usable(self, server: int, server_id: str, traits: CallTraits) -> bool:
        """Whether a call may still be sent to a server, given its state, its zone and the call's routes."""
        record = self.record(server)
        if self.records is None or record is None or record.id != server_id:
            return False
        if record.state is not ServerState.READY or record.zone in self.view.evacuated:
            return False
        return traits.permits(self.records.region(record))

    def attempt(self, server: int, call: Call, expires: int, done: Done) -> Attempt | None:
        """An attempt at a server; None if the call may not be sent there."""
        record = self.record(server)
        # This gateway's pools receive no other type.
        gateway_call: GatewayCall = call  # type: ignore[assignment]
        if record is None or not gateway_call.exchange.may_be_sent_to(record.id):
            return None
        return ServerAttempt(self, server, record, gateway_call, expires, done)

    def probe(self, server: int, done: Probed) -> None:
        """Servers are not probed: a probe would take up one of a server's slots and tell little in return."""
        done(False, ())

    async def seems_crashed(self, server_id: str, address: str) -> bool:
        """Whether a server that has just closed a connection seems to have crashed.

        The connections and listening sockets of a process that dies are closed together. A server that drains
        may have closed its listening socket on purpose, unless it will be terminated at an announced time,
        whatever it is running. Another server at the same address has taken its place.
        """
        if self.view.announced_its_end(server_id) and not self.view.ends_at(server_id):
            return False
        replaced = any(one.address == address and one.id != server_id for one in self.view.servers.values())
        return replaced or await self.connections.refuses(address)

    def close_idle(self, server: int) -> None:
        """Close the idle connections to a server."""
        record = self.record(server)
        if record is not None:
            self.connections.close_idle(record.address)


def _check_homes(call: GatewayCall, record: ServerRecord) -> None:
    """Check, just before writing, that the server is in one of the home regions of the call's routes.

    Its region is looked up in the platform's zone table; a route without home regions allows all of them.
    """
    region = call.pool.platform.region_of(record.zone)
    for route in (call.exchange.route, call.exchange.newest_route()):
        if route is not None and route.homes and region not in route.homes:
            detail = (
                f"{route.name} with homes {route.homes} goes to {record.id} in {record.zone} of {region!r}"
            )
            VIOLATIONS.check(Invariant.SERVER_KEEPS_HOMES, False, detail)


def _check_server(call: GatewayCall, record: ServerRecord, view: SystemView) -> None:
    """Check, just before writing, that the server takes requests.

    The check uses the gateway's view and not the state of the pool that chose the server.
    """
    known = view.servers.get(record.id)
    if known is None or known.state is not ServerState.READY or known.zone in view.evacuated:
        detail = (
            f"{call.exchange.route.name} goes to {record.id}, known as {known}; evacuated: {view.evacuated}"
        )
        VIOLATIONS.check(Invariant.SERVER_TAKES_REQUESTS, False, detail)


def connection_share(max_connections: int, gateways: int) -> int:
    """This gateway's share of the connections that a server accepts."""
    return max(LEAST_CONNECTIONS, int(max_connections * CONNECTION_SHARE / max(1, gateways)))


class ServerAttempt:
    """Sends a call to one server and reports the end of it. It runs in the task of the client's request."""

    def __init__(
        self,
        upstream: ServiceUpstream,
        number: int,
        record: ServerRecord,
        call: GatewayCall,
        expires: int,
        done: Done,
    ) -> None:
        self.upstream = upstream
        self.number = number
        self.record = record
        self.call = call
        self.expires = expires
        self.done = done
        self.timeout = 0.0
        self.extent = Written.NOTHING
        self.ended = False
        self._stopped: Outcome | None = None
        self._scope: asyncio.Timeout | None = None
        self._connection: ServerConnection | None = None
        self._status = 0  # of the server's response; 0: none was read
        self._not_executed = False  # the response says that the request has not run
        self._id_repeated = False  # the connection had carried a request with the same id

    @property
    def written(self) -> bool:
        """Whether the request was written to the server."""
        return self.extent is Written.ALL

    def start(self, timeout: float) -> None:
        """Hand the attempt to its request's task; it may take `timeout` seconds."""
        self.timeout = timeout
        self.call.begin(self)

    def stop(self, outcome: Outcome) -> None:
        """Cancel the attempt: it ends with this outcome, unless it has ended already."""
        if self.ended or self._stopped is not None:
            return
        self._stopped = outcome
        scope = self._scope
        if scope is not None and not scope.expired():
            scope.reschedule(asyncio.get_running_loop().time())

    async def run(self) -> None:
        """Run the attempt and report its end."""
        try:
            end = await self._make()
        except asyncio.CancelledError:
            self.call.abandon()
            self._finish(AttemptEnd(self._given_up(Outcome.CANCELLED)))
            raise
        self._finish(end)

    def drop(self) -> None:
        """Report an attempt that is never run as not sent."""
        if not self.ended:
            self._finish(AttemptEnd(Outcome.NOT_SENT))

    def ended_as(self, outcome: Outcome) -> AttemptRecord:
        """The attempt as a record, once it has ended with this outcome."""
        return AttemptRecord(
            self.record.id, outcome, self.extent, self._status, self._not_executed, self._id_repeated
        )

    # ---- running the attempt --------------------------------------------------------------------------

    async def _make(self) -> AttemptEnd:
        try:
            async with asyncio.timeout(self.timeout) as self._scope:
                return await self._exchange()
        except TimeoutError:
            return AttemptEnd(self._given_up(self._stopped or Outcome.TIMEOUT))
        except ConnectFailed:
            self.upstream.log("connect failed", self.record.address)
            return AttemptEnd(Outcome.CONNECT_FAILED)
        except TooManyConnections:
            self.upstream.log("connection limit", self.record.address)
            return AttemptEnd(Outcome.NOT_SENT)
        except (AnswerBroken, EventTooLarge) as error:
            self.upstream.log("incomplete response", f"{self.record.address}: {error}")
            return AttemptEnd(Outcome.RESET)
        # Such an error affects only this attempt, which may have run at the server.
        except Exception as error:
            self.upstream.log(f"error in an attempt: {type(error).__name__}", repr(error))
            return AttemptEnd(self._given_up(Outcome.RESET))
        finally:
            self._scope = None

    def _given_up(self, outcome: Outcome) -> Outcome:
        """The outcome of a cancelled attempt; if nothing was written, the request has not run."""
        if self.written:
            return outcome
        return Outcome.CONNECT_FAILED if outcome is Outcome.TIMEOUT else Outcome.NOT_SENT

    async def _exchange(self) -> AttemptEnd:
        if not self._may_write():
            return AttemptEnd(Outcome.NOT_SENT)
        connection = await self._open()
        if not self._may_write():
            connection.release()
            return AttemptEnd(Outcome.NOT_SENT)
        exchange = self.call.exchange
        left = (self.call.server_deadline - self.upstream.now()) // 1000
        data = exchange.compose(self.record.id, max(1, left), self.call.last_event_id)
        checked = 0
        wait = self.upstream.connections.stale_check_seconds(connection, self.record.address)
        if wait:
            start = start_to_check(data)
            checked = len(start)
            self.extent = Written.START
            if not await connection.send_start(start, wait):
                connection, checked = await self._open_another(connection), 0
            if not self._may_write():
                return AttemptEnd(Outcome.NOT_SENT)
        _check_homes(self.call, self.record)
        _check_server(self.call, self.record, self.upstream.view)
        if not connection.send(data[checked:], exchange.request_id, exchange.method == "HEAD"):
            return AttemptEnd(Outcome.NOT_SENT)
        self.extent = Written.ALL
        self._id_repeated = connection.id_repeated
        exchange.sent_to(self.record.id)
        message, payload = await connection.read_head()
        return await self._read(connection, message, payload)

    async def _open(self) -> ServerConnection:
        limit = self.upstream.connection_limit()
        self._connection = await self.upstream.connections.open(
            self.record.address, limit, self.call.exchange.request_id
        )
        return self._connection

    async def _open_another(self, lost: ServerConnection) -> ServerConnection:
        """Open a connection in place of one that the server had dropped."""
        self._connection = None
        lost.discard()
        self.upstream.log("stale connection", self.record.address)
        self.upstream.connections.found_stale(self.record.address)
        return await self._open()

    def _may_write(self) -> bool:
        if self._stopped is not None:
            return False
        now = self.upstream.now()
        if now >= self.expires or not self.call.may_be_written(now):
            return False
        return self.upstream.usable(self.number, self.record.id, self.call.current_traits())

    async def _read(
        self, connection: ServerConnection, message: RawResponseMessage, payload: StreamReader
    ) -> AttemptEnd:
        headers = message.headers
        self._status, self._not_executed = message.code, NOT_EXECUTED in headers
        if message.code in NOT_RUN_STATUSES and not self._not_executed:
            self.upstream.log("status without Not-Executed", f"{message.code} from {self.record.address}")
        outcome = outcome_of(message.code, headers)
        streaming = message.code == 200 and is_event_stream(headers)
        server_crashed = partial(self.upstream.seems_crashed, self.record.id, self.record.address)
        answer = OpenAnswer(self.record.id, connection, message, payload, streaming, server_crashed)
        if streaming:
            await answer.read_first_event()
            return AttemptEnd(outcome, answer)
        body = await answer.read_whole(MAX_BUFFERED_BODY)
        if body is None:
            return AttemptEnd(outcome, answer)
        connection.release()
        whole = WholeAnswer(self.record.id, message.code, message.reason, answer_headers(headers), body)
        return AttemptEnd(outcome, whole)

    # ---- reporting the end ----------------------------------------------------------------------------

    def _finish(self, end: AttemptEnd) -> None:
        """Report the end. The connection stays open only if the call uses the response that arrives on it."""
        self.ended = True
        self.call.attempt_ended(self, end)
        self.done(end.outcome, end.answer if end.outcome is Outcome.OK else None, ())
        connection = self._connection
        if connection is not None and not self.call.uses(end.answer):
            connection.discard()


def is_event_stream(headers: CIMultiDictProxy[str]) -> bool:
    """Whether the body is an event stream."""
    return headers.get(CONTENT_TYPE, "").partition(";")[0].strip().lower() == EVENT_STREAM
