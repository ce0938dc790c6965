"""A server's response that is not fully read yet: an event stream or a large body."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from aiohttp.http_parser import RawResponseMessage
from aiohttp.streams import StreamReader
from multidict import CIMultiDict

from brackenladder.gateway.events import EventParser
from brackenladder.gateway.headers import answer_headers
from brackenladder.gateway.server_connection import ServerConnection
from brackenladder.gateway.server_protocol import AnswerBroken


class OpenAnswer:
    """Returns a response's body as it arrives: an event stream in whole events, other bodies unchanged."""

    def __init__(
        self,
        server_id: str,
        connection: ServerConnection,
        message: RawResponseMessage,
        payload: StreamReader,
        streaming: bool,
        server_crashed: Callable[[], Awaitable[bool]],
    ) -> None:
        """`server_crashed` is asked at the end of a body without a length, before the end is believed."""
        self.server_id = server_id
        self.status = message.code
        self.reason = message.reason
        self.streaming = streaming
        self.whole = False  # whether it was read to its end
        self._connection = connection
        self._message = message
        self._payload = payload
        self._server_crashed = server_crashed
        self._parser = EventParser()
        self._ahead = b""  # bytes that were read and not yet returned

    @property
    def headers(self) -> CIMultiDict[str]:
        """The headers that are forwarded to the client."""
        return answer_headers(self._message.headers)

    async def read_first_event(self) -> None:
        """Return once a whole event, or the end of the body, was read."""
        self._ahead = await self._read_events()

    async def read_whole(self, max_bytes: int) -> bytes | None:
        """The whole body; None if it exceeds `max_bytes`: `read` then returns it from its beginning."""
        parts: list[bytes] = []
        size = 0
        while size <= max_bytes:
            data = await self._read_some()
            if not data:
                return b"".join(parts)
            parts.append(data)
            size += len(data)
        self._ahead = b"".join(parts)
        return None

    async def read(self) -> bytes:
        """The next bytes; empty at the end. Raises `AnswerBroken` if the connection fails before the end."""
        if self._ahead:
            ahead, self._ahead = self._ahead, b""
            return ahead
        if self.whole:
            return b""
        return await (self._read_events() if self.streaming else self._read_some())

    def close(self) -> None:
        """Release the connection, or abort it if the response was not read to its end."""
        if self.whole:
            self._connection.release()
        else:
            self._connection.discard()

    async def _read_events(self) -> bytes:
        while data := await self._read_some():
            events = self._parser.feed_whole(data)
            if events:
                return events
        return self._parser.take_rest()

    async def _read_some(self) -> bytes:
        """The next bytes of the body; empty at its regular end."""
        try:
            data = await self._payload.readany()
        except AnswerBroken:
            raise
        # aiohttp raises many types here; each of them means that the body is incomplete.
        except Exception as error:
            raise AnswerBroken(repr(error)) from error
        if not data:
            await self._check_end()
            self.whole = True
        return data

    async def _check_end(self) -> None:
        """Raise `AnswerBroken` if a body without a length seems to have been cut short by a crash.

        Such a body ends with its connection, and the connections of a server that crashes are closed in the
        same way as those of a server that has sent everything.
        """
        if not self._connection.ends_body:
            return
        if self._parser.holds_partial_event:
            raise AnswerBroken("the connection ended within an event")
        if await self._server_crashed():
            raise AnswerBroken("the server crashed at the end of a body without a length")
