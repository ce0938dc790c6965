"""Connections to servers: aiohttp's pool and parser, with answers told apart by their request ids."""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from functools import partial
from time import monotonic
from typing import Any

from aiohttp import ClientConnectionError, ClientRequest, ClientTimeout, TCPConnector
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection
from aiohttp.http_parser import RawResponseMessage
from aiohttp.streams import StreamReader
from yarl import URL

from brackenladder.gateway.framing import AnswerFraming
from brackenladder.gateway.headers import KEEP_ALIVE, REQUEST_ID

CONNECT_SECONDS = 0.6  # a connection that takes longer is given up, and nothing was sent
UNACKNOWLEDGED_MS = 4_000  # a connection whose bytes are not acknowledged for so long is dead
POOL_SECONDS = 30.0  # aiohttp's own bound on idle connections; a server's is shorter
IDLE_UNTOLD_SECONDS = 0.3  # a server that tells no idle time closes within its first second
IDLE_MARGIN_SECONDS = 0.7  # a request must arrive before the server closes
RESTED_SECONDS = 0.2  # a connection that rested for longer may be forgotten by its server
CHECK_LEAST_SECONDS = 0.001  # what a reset is waited for at the least
CHECK_ROUND_TRIPS = 2.0  # and otherwise: so many of the quickest round trip seen
CHECK_MOST_SECONDS = 0.01  # and at the most, within a region
LONG_WAY_SECONDS = 0.025  # a longer round trip is waited for only after a connection was found forgotten
FORGOTTEN_SECONDS = 20.0  # for so long after that
LONGEST_HEAD_FIELD = 65_536  # bytes
MOST_HEADERS = 256
READ_BUFFER = 65_536  # bytes

NO_BODY_STATUSES = frozenset((204, 304))


class ConnectFailed(Exception):
    """No connection could be made: nothing was sent."""


class TooManyConnections(Exception):
    """This gateway's part of the server's connections is in use: nothing was sent."""


class AnswerBroken(Exception):
    """What the server sent is no whole answer to the request."""


class ServerProtocol(ResponseHandler):
    """Reads one server connection.

    A message whose request id is not the expected one belongs to another request and is passed over; bytes
    that come after the answer, or while no request is out, end the connection.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.request_id: str | None = None  # of the request that is out
        self.idle_until = 0.0  # by the monotonic clock: not to be used after that
        self.rested_since = 0.0  # the same: the last answer's end; 0: it carried none
        self._framing = AnswerFraming(False)
        self._accepted = False  # the head of the request's own answer came
        self._answered = False  # and its last byte
        self._foreign = False  # something came that is no part of it
        self._check: asyncio.Future[None] | None = None

    async def lost_within(self, seconds: float) -> bool:
        """Wait; whether the connection is lost by then."""
        check = self._check = self._loop.create_future()
        timer = self._loop.call_later(seconds, _wake, check)
        try:
            await check
        finally:
            timer.cancel()
            self._check = None
        return self.transport is None or self.transport.is_closing()

    def begin(self, request_id: str, without_body: bool) -> None:
        """A request is about to be written; its answer is read next."""
        self.request_id = request_id
        self._framing = AnswerFraming(without_body)
        self._accepted = self._answered = False
        self.set_response_params(
            skip_payload=without_body,
            read_until_eof=True,
            auto_decompress=False,
            read_bufsize=READ_BUFFER,
            max_line_size=LONGEST_HEAD_FIELD,
            max_field_size=LONGEST_HEAD_FIELD,
            max_headers=MOST_HEADERS,
        )

    def finish(self, message: RawResponseMessage) -> None:
        """The answer was read whole: the connection rests, unless something speaks against it."""
        self.request_id = None
        if self._foreign or not (self._answered or self._framing.ended):
            self.force_close()
        self.rested_since = monotonic()
        self.idle_until = self.rested_since + idle_seconds(message.headers.get(KEEP_ALIVE))

    def data_received(self, data: bytes) -> None:
        """Give the parser what belongs to an answer, part by part."""
        if not data:
            super().data_received(data)
            return
        if self.request_id is None:
            self._foreign = True
            if self.transport is not None:
                self.transport.abort()
            return
        begin = 0
        while begin < len(data) and not self._answered and self._exception is None:
            end = self._framing.take(data, begin)
            super().data_received(data[begin:end])
            begin = end
            if self._framing.ended:
                self._part_ended()
        if begin < len(data):
            self._foreign = True

    def feed_data(self, data: tuple[RawResponseMessage, StreamReader], size: int = 0) -> None:
        """Take a message's head, unless it belongs to another request."""
        message = data[0]
        if message.code >= 200:
            if message.headers.get(REQUEST_ID) != self.request_id:
                self._foreign = True
                if REQUEST_ID not in message.headers:
                    self.set_exception(AnswerBroken("no request id"))
                return
            self._accepted = True
        super().feed_data(data, size)

    def set_exception(self, exc: BaseException, *cause: Any) -> None:
        """End the answer: aiohttp does not tell its body's reader of every error."""
        super().set_exception(exc, *cause)
        self._fail_body(self._payload, exc)

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the answer, if it is not whole."""
        payload = self._payload
        super().connection_lost(exc)
        self._fail_body(payload, AnswerBroken("connection lost"))
        if self._check is not None:
            _wake(self._check)

    def is_connected(self) -> bool:
        """Whether the connection may carry the next request."""
        if self._foreign or self.idle_until and self.request_id is None and monotonic() > self.idle_until:
            return False
        return super().is_connected()

    def _part_ended(self) -> None:
        payload = self._payload
        if self._framing.guessed and payload is not None and not payload.is_eof():
            return
        if self._accepted:
            self._answered = True
        else:
            self._framing.restart()

    def _fail_body(self, payload: StreamReader | None, error: BaseException) -> None:
        if payload is not None and not payload.is_eof() and payload.exception() is None:
            payload.set_exception(error)


def idle_seconds(keep_alive: str | None) -> float:
    """How long a connection may rest before its next request, by the server's `Keep-Alive`."""
    for part in (keep_alive or "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            told = float(value)
            return max(told - IDLE_MARGIN_SECONDS, told * IDLE_UNTOLD_SECONDS)
    return IDLE_UNTOLD_SECONDS


def _wake(waiter: asyncio.Future[None]) -> None:
    if not waiter.done():
        waiter.set_result(None)


def _server_socket(address: tuple[Any, ...]) -> socket.socket:
    family, kind, protocol = address[:3]
    made = socket.socket(family, kind, protocol)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
    return made


class ServerConnector(TCPConnector):
    """aiohttp's connection pool, of `ServerProtocol` connections."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(
            family=socket.AF_INET,
            keepalive_timeout=POOL_SECONDS,
            limit=0,
            use_dns_cache=False,
            happy_eyeballs_delay=None,
            socket_factory=_server_socket,
        )
        self._factory = partial(ServerProtocol, loop)  # type: ignore[assignment]  # a kind of ResponseHandler

    def close_idle(self, request: ClientRequest) -> None:
        """Close the connections of one server that carry nothing."""
        for protocol, _ in self._conns.pop(request.connection_key, ()):
            protocol.close()


class ServerConnection:
    """A connection that carries one request; ends by `release` or `discard`."""

    def __init__(
        self, connection: Connection, protocol: ServerProtocol, owner: ServerConnections, address: str
    ) -> None:
        self.protocol = protocol
        self._connection: Connection | None = connection
        self._owner = owner
        self._address = address
        self._message: RawResponseMessage | None = None

    @property
    def rested(self) -> float:
        """Seconds since its last answer ended; 0 for a new connection."""
        since = self.protocol.rested_since
        return monotonic() - since if since else 0.0

    async def takes(self, start: bytes, wait: float) -> bool:
        """Write the start of a request's head; False if the connection is lost within `wait` seconds.

        Failure prevented: the server has forgotten the resting connection, the whole request meets a reset,
        and as it may have run it can't be sent elsewhere. A head without its end has not run.
        """
        transport = self.protocol.transport
        if transport is None or transport.is_closing():
            return False
        transport.write(start)
        return not await self.protocol.lost_within(wait)

    def send(self, data: bytes, request_id: str, without_body: bool) -> bool:
        """Write a request; False if the connection is lost, and nothing was written."""
        transport = self.protocol.transport
        if transport is None or transport.is_closing():
            return False
        self.protocol.begin(request_id, without_body)
        transport.write(data)
        return True

    async def read_head(self) -> tuple[RawResponseMessage, StreamReader]:
        """The answer's head and its body's reader; raises `AnswerBroken`."""
        while True:
            try:
                message, payload = await self.protocol.read()
            except AnswerBroken:
                raise
            except Exception as error:  # aiohttp raises many kinds, all for the same: no answer comes
                raise AnswerBroken(repr(error)) from error
            if message.code >= 200:
                self._message = message
                return message, payload

    def release(self) -> None:
        """The answer was read whole: the connection may carry another request."""
        connection = self._take()
        if connection is None:
            return
        if self._message is not None:
            self.protocol.finish(self._message)
            connection.release()
        elif self.protocol.request_id is None:
            connection.release()
        else:
            connection.close()

    def discard(self) -> None:
        """Break the connection off."""
        connection = self._take()
        if connection is None:
            return
        self.protocol.request_id = None
        self.protocol.abort()
        connection.close()

    def _take(self) -> Connection | None:
        connection, self._connection = self._connection, None
        if connection is not None:
            self._owner.ended(self._address)
        return connection


class ServerConnections:
    """All connections of this gateway to servers, by address."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._connector = ServerConnector(loop)
        self._timeout = ClientTimeout(sock_connect=CONNECT_SECONDS)
        self._requests: dict[str, ClientRequest] = {}
        self._in_use: Counter[str] = Counter()
        self._round_trips: dict[str, float] = {}  # the quickest connect of each address, seconds
        self._forgotten_at = -FORGOTTEN_SECONDS

    def check_seconds(self, connection: ServerConnection, address: str) -> float:
        """How long to wait for a reset after the start of a request's head; 0: no check is due."""
        if connection.rested <= RESTED_SECONDS:
            return 0.0
        round_trip = self._round_trips.get(address, 0.0)
        wait = max(CHECK_LEAST_SECONDS, CHECK_ROUND_TRIPS * round_trip)
        if round_trip <= LONG_WAY_SECONDS:
            return min(wait, CHECK_MOST_SECONDS)
        return wait if monotonic() - self._forgotten_at <= FORGOTTEN_SECONDS else 0.0

    def forgotten(self, address: str) -> None:
        """A server has forgotten a connection: what else rests there is closed."""
        self._forgotten_at = monotonic()
        self.close_idle(address)

    async def open(self, address: str, most: int) -> ServerConnection:
        """An idle connection to a server, or a new one; raises `ConnectFailed` or `TooManyConnections`."""
        if self._in_use[address] >= most:
            raise TooManyConnections
        self._in_use[address] += 1
        try:
            connection = await self._connect(address)
        except BaseException:
            self.ended(address)
            raise
        protocol = connection.protocol
        assert isinstance(protocol, ServerProtocol)
        return ServerConnection(connection, protocol, self, address)

    def ended(self, address: str) -> None:
        """A connection to that address is in use no more."""
        self._in_use[address] -= 1
        if self._in_use[address] <= 0:
            del self._in_use[address]

    def close_idle(self, address: str) -> None:
        """Close the connections to a server that carry nothing."""
        request = self._requests.pop(address, None)
        if request is not None:
            self._connector.close_idle(request)

    def keep_only(self, addresses: set[str]) -> None:
        """Close what rests at other addresses: their servers are gone."""
        for address in [address for address in self._requests if address not in addresses]:
            self.close_idle(address)
            self._round_trips.pop(address, None)

    async def close(self) -> None:
        """Close all connections."""
        await self._connector.close()

    async def _connect(self, address: str) -> Connection:
        began = monotonic()
        try:
            connection = await self._connector.connect(self._request(address), [], self._timeout)
        except (ClientConnectionError, TimeoutError, OSError) as error:
            raise ConnectFailed(repr(error)) from error
        protocol = connection.protocol
        if isinstance(protocol, ServerProtocol) and not protocol.rested_since:
            took = monotonic() - began
            self._round_trips[address] = min(took, self._round_trips.get(address, took))
        return connection

    def _request(self, address: str) -> ClientRequest:
        """What names a server to aiohttp's pool; it is never sent."""
        request = self._requests.get(address)
        if request is None:
            url = URL(f"http://{address}/")
            request = self._requests[address] = ClientRequest("GET", url, loop=self._loop)
        return request
