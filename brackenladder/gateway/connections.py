"""The gateway's connections to servers: aiohttp's pool, with limits and idle closing by address."""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import Any

from aiohttp import ClientConnectionError, ClientRequest, ClientTimeout, TCPConnector
from aiohttp.connector import Connection
from yarl import URL

from brackenladder.gateway.server_connection import ServerConnection
from brackenladder.gateway.server_protocol import ServerProtocol
from brackenladder.gateway.stale_check import StaleCheck

CONNECT_TIMEOUT_SECONDS = 0.6  # connecting takes at most this long; nothing has been sent by then
TCP_USER_TIMEOUT_MS = 4_000  # a connection is closed if sent data is not acknowledged for this long
POOL_IDLE_SECONDS = 30.0  # aiohttp's limit for idle connections; the limit that a server announces is shorter


OpenSocket = Callable[[tuple[Any, ...]], socket.socket]


class ConnectFailed(Exception):
    """No connection could be established; nothing was sent."""


class TooManyConnections(Exception):
    """This gateway already uses its share of the server's connections; nothing was sent."""


def server_socket(address: tuple[Any, ...]) -> socket.socket:
    family, kind, protocol = address[:3]
    made = socket.socket(family, kind, protocol)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
    return made


class ServerConnector(TCPConnector):
    """aiohttp's connection pool, with `ServerProtocol` as the connections' protocol."""

    def __init__(self, loop: asyncio.AbstractEventLoop, open_socket: OpenSocket) -> None:
        super().__init__(
            family=socket.AF_INET,
            keepalive_timeout=POOL_IDLE_SECONDS,
            limit=0,
            use_dns_cache=False,
            happy_eyeballs_delay=None,
            socket_factory=open_socket,
        )
        # A subclass of ResponseHandler.
        self._factory = partial(ServerProtocol, loop)  # type: ignore[assignment]

    def close_idle(self, request: ClientRequest) -> None:
        """Close the idle connections to one server."""
        for protocol, _ in self._conns.pop(request.connection_key, ()):
            protocol.close()


class ServerConnections:
    """All connections of this gateway to servers, by address."""

    def __init__(self, loop: asyncio.AbstractEventLoop, open_socket: OpenSocket = server_socket) -> None:
        """`open_socket` creates the unconnected socket for a server's address."""
        self._loop = loop
        self._open_socket = open_socket
        self._connector = ServerConnector(loop, open_socket)
        self._timeout = ClientTimeout(sock_connect=CONNECT_TIMEOUT_SECONDS)
        self._requests: dict[str, ClientRequest] = {}
        self._in_use: Counter[str] = Counter()
        self._stale_check = StaleCheck()

    def stale_check_seconds(self, connection: ServerConnection, address: str) -> float:
        """How many seconds to wait for a reset after sending the start of a request; 0: no check."""
        return self._stale_check.wait_seconds(address, connection.idle_for, self._loop.time())

    def found_stale(self, address: str) -> None:
        """Note that a server had dropped an idle connection, and close the other idle ones to it."""
        self._stale_check.found_stale(self._loop.time())
        self.close_idle(address)

    async def open(self, address: str, max_connections: int, request_id: str) -> ServerConnection:
        """Take an idle connection or open one; raises `ConnectFailed` or `TooManyConnections`.

        The connection has not carried a request with this id. Otherwise a late copy of the answer to that
        request could be taken as the answer to this one.
        """
        if self._in_use[address] >= max_connections:
            raise TooManyConnections
        self._in_use[address] += 1
        try:
            connection = await self._connect(address)
            while not _may_carry(connection, request_id):
                connection.close()
                connection = await self._connect(address)
        except BaseException:
            self._ended(address)
            raise
        protocol = connection.protocol
        assert isinstance(protocol, ServerProtocol)
        return ServerConnection(connection, protocol, partial(self._ended, address))

    async def refuses(self, address: str) -> bool:
        """Whether the host refuses a new connection to this address, as it does if no process listens there.

        A host that does not answer proves nothing about its process.
        """
        host, _, port = address.rpartition(":")
        probe = self._open_socket((socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP))
        probe.setblocking(False)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                await self._loop.sock_connect(probe, (host, int(port)))
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError):
            return False
        finally:
            probe.close()
        return False

    def close_idle(self, address: str) -> None:
        """Close the idle connections to a server."""
        request = self._requests.pop(address, None)
        if request is not None:
            self._connector.close_idle(request)

    def keep_only(self, addresses: set[str]) -> None:
        """Close the idle connections to addresses not in `addresses`: their servers no longer exist."""
        for address in [address for address in self._requests if address not in addresses]:
            self.close_idle(address)
            self._stale_check.forget(address)

    async def close(self) -> None:
        """Close all connections."""
        await self._connector.close()

    def _ended(self, address: str) -> None:
        """Count a connection as no longer in use."""
        self._in_use[address] -= 1
        if self._in_use[address] <= 0:
            del self._in_use[address]

    async def _connect(self, address: str) -> Connection:
        began = self._loop.time()
        try:
            connection = await self._connector.connect(self._request(address), [], self._timeout)
        except (ClientConnectionError, TimeoutError, OSError) as error:
            raise ConnectFailed(repr(error)) from error
        protocol = connection.protocol
        if isinstance(protocol, ServerProtocol) and not protocol.idle_since:
            self._stale_check.connected(address, self._loop.time() - began)
        return connection

    def _request(self, address: str) -> ClientRequest:
        """The request object by which aiohttp's pool identifies a server; it is never sent."""
        request = self._requests.get(address)
        if request is None:
            url = URL(f"http://{address}/")
            request = self._requests[address] = ClientRequest("GET", url, loop=self._loop)
        return request


def _may_carry(connection: Connection, request_id: str) -> bool:
    protocol = connection.protocol
    return not isinstance(protocol, ServerProtocol) or protocol.may_carry(request_id)
