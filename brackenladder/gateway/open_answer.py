"""A server's answer whose end has not come yet: a stream of events, or a large body."""

from __future__ import annotations

from aiohttp.http_parser import RawResponseMessage
from aiohttp.streams import StreamReader
from multidict import CIMultiDict

from brackenladder.gateway.events import EventParser
from brackenladder.gateway.headers import answer_headers
from brackenladder.gateway.server_connection import ServerConnection
from brackenladder.gateway.server_protocol import AnswerBroken


class OpenAnswer:
    """Gives the bytes of an answer as they come: of a stream in whole events, else as they are."""

    def __init__(
        self,
        server_id: str,
        connection: ServerConnection,
        message: RawResponseMessage,
        payload: StreamReader,
        streaming: bool,
    ) -> None:
        self.server_id = server_id
        self.status = message.code
        self.reason = message.reason
        self.streaming = streaming
        self.whole = False  # it was read to its end
        self._connection = connection
        self._message = message
        self._payload = payload
        self._parser = EventParser()
        self._ahead = b""  # read, and not yet given

    @property
    def headers(self) -> CIMultiDict[str]:
        """The headers that go on to the client."""
        return answer_headers(self._message.headers)

    async def read_first_event(self) -> None:
        """Return once a whole event, or the end, is in hand."""
        self._ahead = await self._read_events()

    async def read_whole(self, most: int) -> bytes | None:
        """The whole body; None if it is larger than `most`, and what was read is given by `read`."""
        parts: list[bytes] = []
        size = 0
        while size <= most:
            data = await self._read_some()
            if not data:
                return b"".join(parts)
            parts.append(data)
            size += len(data)
        self._ahead = b"".join(parts)
        return None

    async def read(self) -> bytes:
        """What comes next; empty once all was given. Raises `AnswerBroken` if the rest never comes."""
        if self._ahead:
            ahead, self._ahead = self._ahead, b""
            return ahead
        if self.whole:
            return b""
        return await (self._read_events() if self.streaming else self._read_some())

    def close(self) -> None:
        """Give the connection back, or break it off if the answer was not read to its end."""
        if self.whole:
            self._connection.release()
        else:
            self._connection.discard()

    async def _read_events(self) -> bytes:
        while True:
            data = await self._read_some()
            if not data:
                rest, self._parser.rest = self._parser.rest, b""
                return rest
            events = self._parser.feed_whole(data)
            if events:
                return events

    async def _read_some(self) -> bytes:
        """The next bytes of the body; empty at its proper end."""
        try:
            data = await self._payload.readany()
        except AnswerBroken:
            raise
        except Exception as error:  # aiohttp raises many kinds, all for the same: the body was cut
            raise AnswerBroken(repr(error)) from error
        if not data:
            self.whole = True
        return data
