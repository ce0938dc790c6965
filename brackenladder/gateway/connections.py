"""All connections of a gateway to servers, in aiohttp's pool: opened, counted and closed by address."""

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

CONNECT_TIMEOUT_SECONDS = 0.6  # a connection that takes longer is given up, and nothing was sent
TCP_USER_TIMEOUT_MS = 4_000  # a connection whose bytes are not acknowledged for so long is dead
POOL_IDLE_SECONDS = 30.0  # aiohttp's own bound on idle connections; a server's is shorter


OpenSocket = Callable[[tuple[Any, ...]], socket.socket]


class ConnectFailed(Exception):
    """No connection could be made: nothing was sent."""


class TooManyConnections(Exception):
    """This gateway's part of the server's connections is in use: nothing was sent."""


def server_socket(address: tuple[Any, ...]) -> socket.socket:
    family, kind, protocol = address[:3]
    made = socket.socket(family, kind, protocol)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
    return made


class ServerConnector(TCPConnector):
    """aiohttp's connection pool, of `ServerProtocol` connections."""

    def __init__(self, loop: asyncio.AbstractEventLoop, open_socket: OpenSocket) -> None:
        super().__init__(
            family=socket.AF_INET,
            keepalive_timeout=POOL_IDLE_SECONDS,
            limit=0,
            use_dns_cache=False,
            happy_eyeballs_delay=None,
            socket_factory=open_socket,
        )
        self._factory = partial(ServerProtocol, loop)  # type: ignore[assignment]  # a kind of ResponseHandler

    def close_idle(self, request: ClientRequest) -> None:
        """Close the connections of one server that carry nothing."""
        for protocol, _ in self._conns.pop(request.connection_key, ()):
            protocol.close()


class ServerConnections:
    """All connections of this gateway to servers, by address."""

    def __init__(self, loop: asyncio.AbstractEventLoop, open_socket: OpenSocket = server_socket) -> None:
        """`open_socket` makes the socket for an address of a server, not yet connected."""
        self._loop = loop
        self._connector = ServerConnector(loop, open_socket)
        self._timeout = ClientTimeout(sock_connect=CONNECT_TIMEOUT_SECONDS)
        self._requests: dict[str, ClientRequest] = {}
        self._in_use: Counter[str] = Counter()
        self._stale_check = StaleCheck()

    def stale_check_seconds(self, connection: ServerConnection, address: str) -> float:
        """How long to wait for a reset after the start of a request's head; 0: no check is due."""
        return self._stale_check.wait_seconds(address, connection.idle_for, self._loop.time())

    def found_stale(self, address: str) -> None:
        """A server has forgotten a connection: what else is idle there is closed."""
        self._stale_check.found_stale(self._loop.time())
        self.close_idle(address)

    async def open(self, address: str, most: int) -> ServerConnection:
        """An idle connection to a server, or a new one; raises `ConnectFailed` or `TooManyConnections`."""
        if self._in_use[address] >= most:
            raise TooManyConnections
        self._in_use[address] += 1
        try:
            connection = await self._connect(address)
        except BaseException:
            self._ended(address)
            raise
        protocol = connection.protocol
        assert isinstance(protocol, ServerProtocol)
        return ServerConnection(connection, protocol, partial(self._ended, address))

    def close_idle(self, address: str) -> None:
        """Close the connections to a server that carry nothing."""
        request = self._requests.pop(address, None)
        if request is not None:
            self._connector.close_idle(request)

    def keep_only(self, addresses: set[str]) -> None:
        """Close what is idle at other addresses: their servers are gone."""
        for address in [address for address in self._requests if address not in addresses]:
            self.close_idle(address)
            self._stale_check.forget(address)

    async def close(self) -> None:
        """Close all connections."""
        await self._connector.close()

    def _ended(self, address: str) -> None:
        """A connection to an address is in use no more."""
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
        """What names a server to aiohttp's pool; it is never sent."""
        request = self._requests.get(address)
        if request is None:
            url = URL(f"http://{address}/")
            request = self._requests[address] = ClientRequest("GET", url, loop=self._loop)
        return request
