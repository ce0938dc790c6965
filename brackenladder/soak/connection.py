"""Minimal HTTP/1.1 client connection for soaks, strict about malformed answers."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Iterator
from contextlib import contextmanager
from typing import Any

from attrs import frozen

CALL_SECONDS = 1.0
LARGEST_LINE = 64 * 1024  # longest line of an answer's head, in bytes


class AnswerError(Exception):
    """The received bytes are not a valid HTTP/1.1 answer."""


class ConnectionEnded(Exception):
    """The connection ended before the answer was complete."""


@frozen
class Head:
    """Status and headers of an answer; header names in lower case."""

    status: int
    headers: dict[str, str]

    @property
    def keeps_connection(self) -> bool:
        """Whether the connection may be reused after this answer."""
        return self.headers.get("connection", "").lower() != "close"


class Connection:
    """A connection that carries one request at a time."""

    def __init__(self, address: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.address = address
        self.requests = 0
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, address: str, seconds: float) -> Connection:
        """Connects; raises OSError (including TimeoutError) on failure."""
        host, _, port = address.rpartition(":")
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, int(port), limit=LARGEST_LINE)
        return cls(address, reader, writer)

    @property
    def closed_by_peer(self) -> bool:
        """Whether the peer has closed the connection."""
        return self._reader.at_eof() or self._reader.exception() is not None

    async def send(self, method: str, path: str, headers: dict[str, str], body: bytes = b"") -> None:
        """Sends a request; raises ConnectionEnded if the connection is closed."""
        self.requests += 1
        lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in headers.items())]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        with _raising_connection_ended():
            self._writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            await self._writer.drain()

    async def head(self) -> Head:
        """Reads the status line and headers of the answer."""
        status_line = (await self._line()).split(" ", 2)
        if len(status_line) < 2 or status_line[0] != "HTTP/1.1" or not status_line[1].isdigit():
            raise AnswerError(f"status line {' '.join(status_line)!r}")
        headers: dict[str, str] = {}
        while line := await self._line():
            name, colon, value = line.partition(":")
            if not colon:
                raise AnswerError(f"header line {line!r}")
            headers[name.strip().lower()] = value.strip()
        return Head(int(status_line[1]), headers)

    async def body(self, head: Head) -> AsyncIterator[bytes]:
        """Yields the pieces of the body as they arrive."""
        if head.headers.get("transfer-encoding", "").lower() == "chunked":
            async for piece in self._chunks():
                yield piece
            return
        length = head.headers.get("content-length", "")
        if not length.isdigit():
            raise AnswerError("answer has neither a content length nor chunks")
        if int(length):
            yield await self._exactly(int(length))

    def close(self) -> None:
        """Closes the connection."""
        self._writer.close()

    async def _chunks(self) -> AsyncIterator[bytes]:
        while True:
            line = await self._line()
            try:
                size = int(line.partition(";")[0], 16)
            except ValueError:
                raise AnswerError(f"chunk size {line!r}") from None
            if size:
                yield await self._exactly(size)
            if await self._line():
                raise AnswerError("chunk is not followed by a line end")
            if not size:
                return

    async def _line(self) -> str:
        try:
            with _raising_connection_ended():
                line = await self._reader.readuntil(b"\r\n")
        except asyncio.LimitOverrunError as error:
            raise AnswerError("header line exceeds the limit") from error
        return line[:-2].decode("latin-1")

    async def _exactly(self, size: int) -> bytes:
        with _raising_connection_ended():
            return await self._reader.readexactly(size)


@contextmanager
def _raising_connection_ended() -> Iterator[None]:
    """Turns the end of the connection into ConnectionEnded."""
    try:
        yield
    except (asyncio.IncompleteReadError, OSError) as error:
        raise ConnectionEnded(str(error)) from error


@frozen
class Reply:
    """A complete answer."""

    status: int
    body: bytes

    @property
    def document(self) -> Any:
        """The body decoded as JSON; raises ValueError if it is not JSON."""
        return json.loads(self.body)


async def call(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    seconds: float = CALL_SECONDS,
    lost_after: float | None = None,
) -> Reply | None:
    """Makes one call on a new connection; returns None if no answer comes.

    `lost_after`: closes the connection this many seconds after sending, without reading the answer.
    """
    connection = None
    length = {"Content-Length": "0"} if method == "POST" and not body else {}
    try:
        async with asyncio.timeout(seconds):
            connection = await Connection.open(address, seconds)
            await connection.send(method, path, {"Host": address} | length | (headers or {}), body)
            if lost_after is not None:
                await asyncio.sleep(lost_after)
                return None
            head = await connection.head()
            return Reply(head.status, b"".join([piece async for piece in connection.body(head)]))
    except (OSError, ConnectionEnded, AnswerError):
        return None
    finally:
        if connection is not None:
            connection.close()
