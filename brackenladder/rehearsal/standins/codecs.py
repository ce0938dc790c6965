"""HTTP and MessagePack-RPC codecs of the stand-ins: bytes in, requests or answers out, without sockets.

A codec belongs to one connection, which must be closed once the codec has raised `MalformedStream`.
"""

from __future__ import annotations

from typing import Any, Protocol

import httptools
import msgpack
import msgspec

from brackenladder.rehearsal.scenario import Scenario

PADDING = 512  # filler bytes in an answer's body, so that a fault can cut it in the middle
LARGEST_REQUEST = 256 << 10  # bytes of a request, including its head
LARGEST_ANSWER = 1 << 20
MAX_RETRY_AFTER = 5.0  # seconds; a client waits no longer, whatever Retry-After says
PIPELINE = 32  # RPC calls that a client opens on one connection at once
FAILED = "lost"  # the error that a failing server returns; the nodes' operator file lists it
PROBES = ("/health", "/status/load")
HTTP, RPC = "http", "rpc"


class MalformedStream(Exception):
    """The bytes received are not valid; nothing more can be read from the connection."""


class Outgoing(msgspec.Struct, frozen=True):
    """A client's request. `budget`: milliseconds; `key`: idempotency key, or empty."""

    id: str
    klass: str
    effect: str
    tenant: str
    object: str
    budget: int
    again: bool
    key: str
    body: bytes


class Answer(msgspec.Struct, frozen=True):
    """A complete answer.

    `id`: the id of its request, if the transport carries it; `status`: the HTTP status, or the one that
    matches an RPC result; `keep`: the connection stays open.
    """

    id: str
    status: int
    body: bytes
    retry_after: float
    keep: bool


class Request(msgspec.Struct, frozen=True):
    """A complete request at a server. `ref`: msgid that its answer must carry; `probe`: path of a probe."""

    id: str
    klass: str
    ref: int = 0
    probe: str = ""


class ClientCodec(Protocol):
    """The client's side. `calls`: the limit of requests open on the connection at once."""

    calls: int

    def request(self, call: Outgoing) -> bytes:
        """Encodes a request."""

    def feed(self, data: bytes) -> list[Answer]:
        """The answers that these bytes complete."""

    def begun(self) -> bool:
        """Whether a part of an answer has been received."""

    def ended(self) -> Answer | None:
        """The answer that is delimited by the end of the connection, if there is one."""


class ServerCodec(Protocol):
    """Decodes the requests of one connection and encodes their answers."""

    def feed(self, data: bytes) -> list[Request]:
        """The requests that these bytes complete."""

    def partial(self) -> str | None:
        """The id of an incomplete request, "" if not known yet; None if there is no such request."""

    def answer(self, ref: int, server: str, name: str, how: str) -> bytes:
        """Encodes an answer. `how`: served, rejected or error; the body names server and request."""

    def bad(self, status: int) -> bytes:
        """Encodes the answer to an invalid request."""


def body_of(server: str, name: str) -> bytes:
    return f"{server} {name}\n".encode().ljust(PADDING, b".")


def cut_position(data: bytes, part: str) -> int:
    """The offset of the middle of an answer's `head` or `body`, where faults cut it."""
    head = len(data) - PADDING
    return head // 2 if part == "head" else head + PADDING // 2


# ---- HTTP ---------------------------------------------------------------------------------------------


class HttpClient:
    """Codec of a client's HTTP/1.1 connection, which carries one request at a time."""

    calls = 1

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.answers: list[Answer] = []
        self.started = False
        self.reset_message()

    def reset_message(self) -> None:
        self.body = b""
        self.framed = False
        self.retry_after = 0.0

    def request(self, call: Outgoing) -> bytes:
        lines = [
            f"{'GET' if call.effect == 'safe' else 'POST'} /{call.klass}?obj={call.object} HTTP/1.1",
            "Host: app.test",
            f"X-Call-Id: {call.id}",
            f"X-Caller: {call.tenant}",
            f"X-Budget-Ms: {call.budget}",
        ]
        if call.again:
            lines.append("X-Again: 1")
        if call.effect != "safe":
            lines.append(f"Content-Length: {len(call.body)}")
        if call.key:
            lines.append(f"Idempotency-Key: {call.key}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + (call.body if call.effect != "safe" else b"")

    def feed(self, data: bytes) -> list[Answer]:
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            raise MalformedStream from None
        finally:
            answers, self.answers = self.answers, []
        return answers

    def begun(self) -> bool:
        return self.started

    def ended(self) -> Answer | None:
        status = self.parser.get_status_code() if self.started and not self.framed else 0
        return Answer("", status, self.body, self.retry_after, False) if status else None

    def on_message_begin(self) -> None:
        self.started = True
        self.reset_message()

    def on_header(self, name: bytes, value: bytes) -> None:
        key = name.lower()
        if key in (b"content-length", b"transfer-encoding"):
            self.framed = True
        elif key == b"retry-after":
            try:
                self.retry_after = min(MAX_RETRY_AFTER, max(0.0, float(value)))
            except ValueError:
                self.retry_after = 0.0

    def on_body(self, body: bytes) -> None:
        if len(self.body) < LARGEST_ANSWER:
            self.body += body

    def on_message_complete(self) -> None:
        status = self.parser.get_status_code()
        if status >= 200:
            self.started = False
            keep = self.parser.should_keep_alive()
            self.answers.append(Answer("", status, self.body, self.retry_after, keep))


class HttpServer:
    """Codec of a server's HTTP/1.1 connection, which carries one request at a time."""

    def __init__(self) -> None:
        self.parser = httptools.HttpRequestParser(self)
        self.requests: list[Request] = []
        self.size = 0
        self.begun = False
        self.id = self.path = ""

    def feed(self, data: bytes) -> list[Request]:
        self.size += len(data)
        if self.size > LARGEST_REQUEST:
            raise MalformedStream
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            raise MalformedStream from None
        finally:
            requests, self.requests = self.requests, []
        return requests

    def partial(self) -> str | None:
        return self.id if self.begun else None

    def answer(self, ref: int, server: str, name: str, how: str) -> bytes:
        if how == "served":
            body = body_of(server, name)
            head = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n" % len(body)
            return head + body
        if how == "rejected":
            return b"HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
        return b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"

    def bad(self, status: int) -> bytes:
        return b"HTTP/1.1 %d Bad\r\nConnection: close\r\nContent-Length: 0\r\n\r\n" % status

    def on_message_begin(self) -> None:
        self.begun = True
        self.id, self.path = "", ""

    def on_url(self, url: bytes) -> None:
        self.path += url.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"x-call-id":
            self.id = value.decode("latin-1")

    def on_message_complete(self) -> None:
        self.begun, self.size = False, 0
        path = self.path.partition("?")[0]
        probe = path if path in PROBES else ""
        self.requests.append(Request(self.id, path.split("/")[1] if "/" in path else "", probe=probe))


# ---- MessagePack-RPC ----------------------------------------------------------------------------------


class Stream:
    """Splits the bytes received on a connection into MessagePack messages."""

    def __init__(self, largest: int) -> None:
        self.unpacker = msgpack.Unpacker(strict_map_key=False, max_buffer_size=largest)
        self.given = 0  # total bytes received
        self.read = 0  # total bytes that complete messages took

    def feed(self, data: bytes) -> list[list[Any]]:
        messages: list[list[Any]] = []
        try:
            self.unpacker.feed(data)
            self.given += len(data)
            for message in self.unpacker:
                self.read = self.unpacker.tell()
                if not isinstance(message, list) or not message:
                    raise MalformedStream
                messages.append(message)
        except (ValueError, msgpack.UnpackException):
            raise MalformedStream from None
        return messages

    def partial(self) -> bool:
        return self.given > self.read


class RpcClient:
    """Codec of a client's MessagePack-RPC connection; answers match by msgid and come in any order."""

    calls = PIPELINE

    def __init__(self) -> None:
        self.stream = Stream(LARGEST_ANSWER)
        self.ids: dict[int, str] = {}

    def request(self, call: Outgoing) -> bytes:
        msgid = len(self.ids)
        self.ids[msgid] = call.id
        params = [
            {"id": call.id, "tenant": call.tenant, "object": call.object, "key": call.key},
            call.budget,
            call.body,
        ]
        packed: bytes = msgpack.packb([0, msgid, call.klass, params])
        return packed

    def feed(self, data: bytes) -> list[Answer]:
        return [self.answer(message) for message in self.stream.feed(data)]

    def answer(self, message: list[Any]) -> Answer:
        if len(message) != 4 or message[0] != 1 or message[1] not in self.ids:
            raise MalformedStream
        _, msgid, error, result = message
        status, advice = 200, 0.0
        if error is not None:
            word = error[0] if isinstance(error, list) and error else ""
            status = {"refused": 503, "failed": 502}.get(word, 500)
            advice = min(MAX_RETRY_AFTER, max(0.0, float(error[1]))) if word == "refused" else 0.0
        body = result if isinstance(result, bytes) else b""
        return Answer(self.ids[msgid], status, body, advice, True)

    def begun(self) -> bool:
        return self.stream.partial()

    def ended(self) -> Answer | None:
        return None


class RpcServer:
    """Codec of a server's MessagePack-RPC connection."""

    def __init__(self) -> None:
        self.stream = Stream(LARGEST_REQUEST)

    def feed(self, data: bytes) -> list[Request]:
        return [self.request(message) for message in self.stream.feed(data)]

    def request(self, message: list[Any]) -> Request:
        if message[0] == 2 and len(message) == 3:
            return Request(str(message[2][0]["id"]), str(message[1]), -1)
        if message[0] != 0 or len(message) != 4:
            raise MalformedStream
        return Request(str(message[3][0]["id"]), str(message[2]), message[1])

    def partial(self) -> str | None:
        return "" if self.stream.partial() else None

    def answer(self, ref: int, server: str, name: str, how: str) -> bytes:
        error = {"served": None, "rejected": ["rejected", "full"]}.get(how, FAILED)
        body = body_of(server, name) if how == "served" else None
        packed: bytes = msgpack.packb([1, ref, error, body]) if ref >= 0 else b""
        return packed

    def bad(self, status: int) -> bytes:
        return b""


def client_codec(scenario: Scenario) -> ClientCodec:
    return RpcClient() if scenario.transport == RPC else HttpClient()


def server_codec(scenario: Scenario) -> ServerCodec:
    return RpcServer() if scenario.transport == RPC else HttpServer()
