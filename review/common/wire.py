"""A small HTTP/1.1 over asyncio streams, strict about incomplete answers, for the stand-ins of the review."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

ID = "x-brackenladder-request-id"
SIGNATURE = "x-brackenladder-response-signature"
EXPECTED = "x-brackenladder-expected-instance"
NOT_EXECUTED = "x-brackenladder-not-executed"
LARGEST_HEAD = 1 << 16


class Incomplete(Exception):
    """The connection ended before the message was complete."""


@dataclass
class Head:
    """The first line and the headers of a message; header names in lower case."""

    line: list[str]
    headers: dict[str, str]


@dataclass
class Answer:
    """A complete answer."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def closes(self) -> bool:
        """Whether the connection ends after this answer."""
        return self.headers.get("connection", "").lower() == "close"


async def read_head(reader: asyncio.StreamReader) -> Head:
    """Reads a head; raises Incomplete if the connection ends before it is complete."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise Incomplete(str(error)) from error
    first, *lines = data[:-4].decode("latin-1").split("\r\n")
    headers: dict[str, str] = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Head(first.split(" ", 2), headers)


async def read_answer(reader: asyncio.StreamReader, received: bytearray | None = None) -> Answer:
    """Reads an answer to its end; raises Incomplete if it does not come whole.

    `received` gets the bytes of the body as they arrive, also those of an incomplete one.
    """
    head = await read_head(reader)
    body = bytearray() if received is None else received
    try:
        if head.headers.get("transfer-encoding", "").lower() == "chunked":
            await _read_chunks(reader, body)
        else:
            body += await reader.readexactly(int(head.headers["content-length"]))
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise Incomplete(str(error)) from error
    return Answer(int(head.line[1]), head.headers, bytes(body))


async def _read_chunks(reader: asyncio.StreamReader, body: bytearray) -> None:
    while True:
        size = int((await reader.readuntil(b"\r\n")).partition(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            return


def request_bytes(method: str, target: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """A request with a length."""
    lines = [f"{method} {target} HTTP/1.1", *(f"{name}: {value}" for name, value in headers.items())]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


async def call(
    address: str,
    method: str,
    target: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    seconds: float = 1.0,
) -> Answer | None:
    """Makes one call on a connection of its own; None if no whole answer comes in time."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, int(port), limit=LARGEST_HEAD)
            writer.write(request_bytes(method, target, {"Host": address} | (headers or {}), body))
            return await read_answer(reader)
    except (OSError, Incomplete, ValueError, KeyError):
        return None
    finally:
        if writer is not None:
            writer.close()
