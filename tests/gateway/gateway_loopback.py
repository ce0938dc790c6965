"""Test fixtures for a gateway on loopback: scripted stand-in servers, and clients on raw sockets."""

from __future__ import annotations

import asyncio
import socket
import time
import unittest
from collections.abc import Awaitable, Callable, Iterable, Mapping
from random import Random
from types import MappingProxyType

from attrs import Factory, define, evolve, frozen

from brackenladder.catalog.configuration import Configuration, Limits, Route, RouteKind, Service, Target
from brackenladder.delivery.view import SystemView
from brackenladder.gateway.server import Gateway
from brackenladder.platform_settings import Listen, Platform, PortRange
from brackenladder.registry.records import ServerRecord, ServerState

PATIENCE = 10.0  # seconds; only a failing test waits this long
HOST = "shop.example"
SERVICE = "cards"
PLAIN = Route(
    name="plain",
    host=HOST,
    prefix="/plain/",
    kind=RouteKind.UNSAFE,
    timeout_ms=8000,
    target_latency_ms=4000,
    split=(Target(SERVICE, 1.0),),
)
SAFE = evolve(PLAIN, name="safe", prefix="/safe/", kind=RouteKind.SAFE, max_attempts=2)
STREAM = evolve(PLAIN, name="stream", prefix="/stream/", kind=RouteKind.STREAMING, gap_aim_ms=400)
RESUMABLE = evolve(STREAM, name="resumable", prefix="/resumable/", resumable=True, max_attempts=2)
ROUTES = (PLAIN, SAFE, STREAM, RESUMABLE)


def microseconds() -> int:
    return time.monotonic_ns() // 1000


@define
class Received:
    """A request as a stand-in server received it."""

    method: str
    target: str
    lines: list[tuple[str, str]]
    body: bytes
    connection: int
    server: str
    writer: asyncio.StreamWriter
    reader: asyncio.StreamReader
    closed: asyncio.Event = Factory(asyncio.Event)  # the gateway has closed the connection
    client_read: asyncio.Event = Factory(asyncio.Event)  # the client has read a chunk of the response

    def header(self, name: str) -> str | None:
        values = [value for key, value in self.lines if key.lower() == name.lower()]
        return values[0] if values else None

    @property
    def id(self) -> str:
        return self.header("X-Brackenladder-Request-Id") or ""

    def write(self, data: bytes) -> None:
        self.writer.write(data)

    def reset(self) -> None:
        self.writer.transport.abort()

    async def client_closed(self) -> None:
        """Wait until the gateway has closed the connection, then set `closed`."""
        try:
            while await self.reader.read(1000):
                pass
        except ConnectionError:
            pass
        finally:
            self.closed.set()


Behaviour = Callable[[Received], Awaitable[None]]


def answer(request_id: str, body: bytes = b"ok", status: str = "200 OK", extra: Iterable[str] = ()) -> bytes:
    """A complete response of a server."""
    lines = [
        f"HTTP/1.1 {status}",
        f"X-Brackenladder-Request-Id: {request_id}",
        "X-Brackenladder-Response-Signature: stamp.1",
        "Keep-Alive: timeout=5",
        f"Content-Length: {len(body)}",
        *extra,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def stream_head(request_id: str, stamp: str = "stamp.1") -> bytes:
    """The head of an event stream."""
    return (
        f"HTTP/1.1 200 OK\r\nX-Brackenladder-Request-Id: {request_id}\r\n"
        f"X-Brackenladder-Response-Signature: {stamp}\r\nContent-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\nKeep-Alive: timeout=5\r\n\r\n"
    ).encode()


def event(number: int) -> bytes:
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"


async def serve_ok(request: Received) -> None:
    request.write(answer(request.id))


async def reject_request(request: Received) -> None:
    extra = ["X-Brackenladder-Not-Executed: true"]
    request.write(answer(request.id, b"", "503 Service Unavailable", extra))


async def silent(request: Received) -> None:
    await request.client_closed()


class StandIn:
    """One server of the service. The shared script determines how it handles each request."""

    def __init__(self, name: str, script: Script) -> None:
        self.name = name
        self.script = script
        self.connections = 0
        self.address = ""
        self._server: asyncio.Server
        self._writers: set[asyncio.StreamWriter] = set()
        self._full: socket.socket | None = None
        self._waiting: list[socket.socket] = []

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._connected, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def close(self) -> None:
        self._server.close()
        for held in (self._full, *self._waiting):
            if held is not None:
                held.close()
        for writer in self._writers:
            writer.transport.abort()

    def hang_connects(self) -> None:
        """Let further connection attempts hang: they are neither accepted nor refused."""
        self._server.close()
        host, _, port = self.address.rpartition(":")
        self._full = socket.socket()
        self._full.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._full.bind((host, int(port)))
        self._full.listen(0)
        self._waiting = [socket.socket() for _ in range(4)]
        for waiting in self._waiting:
            waiting.setblocking(False)
            waiting.connect_ex((host, int(port)))

    def stop_listening(self) -> None:
        self._server.close()

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        number = self.connections
        self._writers.add(writer)
        try:
            while True:
                request = await self._read(reader, writer, number)
                await self.script.play(request)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.transport.abort()
            self._writers.discard(writer)

    async def _read(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int
    ) -> Received:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        first, *rest = head.rstrip("\r\n").split("\r\n")
        method, target, _ = first.split(" ")
        lines = [(key, value.strip()) for key, _, value in (line.partition(":") for line in rest)]
        length = int({key.lower(): value for key, value in lines}.get("content-length", "0"))
        body = await reader.readexactly(length)
        return Received(method, target, lines, body, number, self.name, writer, reader)


class Script:
    """How servers handle requests, in the order of their arrival at any server; the last entry repeats."""

    def __init__(self, *behaviours: Behaviour) -> None:
        self.behaviours = list(behaviours) or [serve_ok]
        self.requests: list[Received] = []
        self.arrivals: asyncio.Queue[Received] = asyncio.Queue()

    async def play(self, request: Received) -> None:
        self.requests.append(request)
        self.arrivals.put_nowait(request)
        behaviour = self.behaviours[0] if len(self.behaviours) == 1 else self.behaviours.pop(0)
        await behaviour(request)


@frozen
class ClientAnswer:
    """A response as a client read it; `whole`: it ended as HTTP requires."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool


def post(
    path: str,
    request_id: str = "r1",
    body: bytes = b"hello",
    extra: Iterable[str] = (),
    deadline_ms: int | None = 8000,
    method: str = "POST",
) -> bytes:
    """The bytes of a client's request."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Brackenladder-Request-Id: {request_id}"]
    if deadline_ms is not None:
        lines.append(f"X-Brackenladder-Request-Deadline-Ms: {deadline_ms}")
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, *extra]).encode() + b"\r\n\r\n" + body


class RawClient:
    """A client's connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, script: Script) -> None:
        self.reader = reader
        self.writer = writer
        self.script = script

    @classmethod
    async def connect(cls, address: tuple[str, int], script: Script) -> RawClient:
        return cls(*await asyncio.open_connection(*address), script)

    def send(self, data: bytes) -> None:
        self.writer.write(data)

    def close(self) -> None:
        self.writer.transport.abort()

    async def ask(self, data: bytes) -> ClientAnswer:
        self.send(data)
        return await self.read()

    async def head(self) -> tuple[int, dict[str, str]]:
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode()
        first, *rest = head.rstrip("\r\n").split("\r\n")
        pairs = (line.partition(":") for line in rest)
        return int(first.split(" ")[1]), {key.lower(): value.strip() for key, _, value in pairs}

    async def read(self) -> ClientAnswer:
        return await self.read_body(*await self.head())

    async def read_body(self, status: int = 200, headers: dict[str, str] | None = None) -> ClientAnswer:
        """The rest of a response whose head was read; chunked unless the headers say otherwise."""
        headers = {"transfer-encoding": "chunked"} if headers is None else headers
        if headers.get("transfer-encoding") == "chunked":
            return await self._read_chunks(status, headers)
        length = int(headers.get("content-length", "0"))
        try:
            return ClientAnswer(status, headers, await self.reader.readexactly(length), True)
        except (asyncio.IncompleteReadError, ConnectionError):
            return ClientAnswer(status, headers, b"", False)

    async def _read_chunks(self, status: int, headers: dict[str, str]) -> ClientAnswer:
        parts: list[bytes] = []
        try:
            while data := await self.read_chunk():
                parts.append(data)
        except (asyncio.IncompleteReadError, ConnectionError):
            return ClientAnswer(status, headers, b"".join(parts), False)
        return ClientAnswer(status, headers, b"".join(parts), True)

    async def read_chunk(self) -> bytes:
        size = int(await self.reader.readuntil(b"\r\n"), 16)
        data = (await self.reader.readexactly(size + 2))[:-2]
        if self.script.requests:
            self.script.requests[-1].client_read.set()
        return data

    async def at_end(self) -> bool:
        """Whether the gateway closes the connection without sending another byte."""
        try:
            return not await self.reader.read(1)
        except ConnectionError:
            return True


class GatewayTest(unittest.IsolatedAsyncioTestCase):
    """Starts a gateway and a few stand-in servers of one service for each test."""

    servers = 2
    server_zones: Mapping[str, str] = MappingProxyType({})  # of the servers that are not in zone `za`
    routes: tuple[Route, ...] = ROUTES
    limits = Limits()
    max_connections = 100

    async def asyncSetUp(self) -> None:
        self.script = Script()
        self.view = SystemView()
        self.view.set_gateways(1)
        self.stand_ins = [StandIn(f"s{number}", self.script) for number in range(self.servers)]
        for stand_in in self.stand_ins:
            await stand_in.start()
        self.platform = Platform(
            node_name="gateway-1",
            role="gateway",
            machine_class="front",
            serves=("front",),
            ip="127.0.0.1",
            zone="za",
            region="ra",
            ports=PortRange(1, 2),
            zones={"za": "ra", "zb": "ra"},
            listen=Listen(front="127.0.0.1:0", ready="127.0.0.1:0"),
        )
        self.configure()
        self.list_servers()
        self.gateway = Gateway(self.platform, self.view, microseconds, Random(7))
        await self.gateway.start()
        self.front, self.check = self.gateway.addresses
        self.clients: list[RawClient] = []

    async def asyncTearDown(self) -> None:
        for client in self.clients:
            client.close()
        for stand_in in self.stand_ins:
            await stand_in.close()
        await self.gateway.close()

    def play(self, *behaviours: Behaviour) -> None:
        """Set how the servers handle requests from now on."""
        self.script.behaviours = list(behaviours)

    def configure(
        self, routes: tuple[Route, ...] | None = None, services: Iterable[str] = (SERVICE,)
    ) -> None:
        made = tuple([Service(name, max_connections=self.max_connections) for name in services])
        configuration = Configuration(1, self.routes if routes is None else routes, made, self.limits)
        self.view.set_catalog(self.view.revision + 1, configuration, frozenset())

    def list_servers(self, state: ServerState = ServerState.READY, seq: int = 1) -> None:
        records = [
            ServerRecord(s.name, SERVICE, s.address, self.server_zones.get(s.name, "za"), 16, state, seq)
            for s in self.stand_ins
        ]
        self.view.merge_servers(microseconds(), records)

    async def client(self) -> RawClient:
        client = await RawClient.connect(self.front, self.script)
        self.clients.append(client)
        return client

    async def ask(self, data: bytes) -> ClientAnswer:
        """The response to a request that is sent on a new connection."""
        client = await self.client()
        return await asyncio.wait_for(client.ask(data), PATIENCE)

    async def next_request(self) -> Received:
        """The next request that arrives at a server."""
        return await asyncio.wait_for(self.script.arrivals.get(), PATIENCE)
