"""A connection to a server while it carries one request."""

from __future__ import annotations

from collections.abc import Callable

from aiohttp.connector import Connection
from aiohttp.http_parser import RawResponseMessage
from aiohttp.streams import StreamReader

from brackenladder.gateway.server_protocol import AnswerBroken, ServerProtocol


class ServerConnection:
    """A connection in use by one request, until `release` or `discard` is called."""

    def __init__(self, connection: Connection, protocol: ServerProtocol, ended: Callable[[], None]) -> None:
        """`ended` is called once, when the connection is no longer in use."""
        self.protocol = protocol
        self._connection: Connection | None = connection
        self._ended = ended
        self._message: RawResponseMessage | None = None

    @property
    def idle_for(self) -> float:
        """Seconds since the last response on this connection ended; 0 for a new connection."""
        return self.protocol.idle_for

    @property
    def id_repeated(self) -> bool:
        """Whether an earlier request on this connection had the current request's id."""
        return self.protocol.id_repeated

    @property
    def ends_body(self) -> bool:
        """Whether the current response's body has no length, so that only the connection's end ends it."""
        return self.protocol.ends_body

    async def send_start(self, start: bytes, wait: float) -> bool:
        """Write the first bytes of a request; False if the connection is lost within `wait` seconds.

        A server that has dropped the idle connection resets it. If that reset met a whole request, the
        request might have run and could not be sent elsewhere. The bytes must be too few to be a request:
        the server reads them, and then perhaps the connection's end.
        """
        transport = self.protocol.transport
        if transport is None or transport.is_closing():
            return False
        transport.write(start)
        return not await self.protocol.wait_for_loss(wait)

    def send(self, data: bytes, request_id: str, without_body: bool) -> bool:
        """Write a request; False if the connection is lost and nothing was written."""
        transport = self.protocol.transport
        if transport is None or transport.is_closing():
            return False
        self.protocol.begin(request_id, without_body)
        transport.write(data)
        return True

    async def read_head(self) -> tuple[RawResponseMessage, StreamReader]:
        """The head of the response and the reader of its body; raises `AnswerBroken`."""
        while True:
            try:
                message, payload = await self.protocol.read()
            except AnswerBroken:
                raise
            # aiohttp raises many types here; each of them means that no response comes.
            except Exception as error:
                raise AnswerBroken(repr(error)) from error
            if message.code >= 200:
                self._message = message
                return message, payload

    def release(self) -> None:
        """Return the connection to the pool; the response was read to its end."""
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
        """Abort the connection."""
        connection = self._take()
        if connection is None:
            return
        self.protocol.request_id = None
        self.protocol.abort()
        connection.close()

    def _take(self) -> Connection | None:
        connection, self._connection = self._connection, None
        if connection is not None:
            self._ended()
        return connection
