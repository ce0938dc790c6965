"""A node with clients and servers that a test controls, over HTTP or RPC.

Servers read complete requests and behave as the test says. Clients see one of three results: served, refused
or failed. Each call has a name in its params or headers, so that a test can assign attempts to calls.
"""

from __future__ import annotations

import asyncio
import os
import socket
import struct
import time
from collections.abc import Callable
from contextlib import contextmanager
from dataclasses import dataclass
from itertools import count
from typing import Any

import msgpack
from loopback import PATIENCE, Discovery, call, entry_of, read_message, settings, until
from loopback import Client as HttpClient
from rpc.standins import METHODS
from rpc.standins import Client as RpcClient

from brackenladder.node.config import parse_table
from brackenladder.node.node import Node
from brackenladder.node.operator import Operator, RpcTable

CLASSES = ("view", "invite", "offer")  # safe, unsafe, keyed
BODY = 60  # minimum bytes of a response's body, so that it can be sent in two parts
SMALL = 4096  # socket buffer size, in bytes, for tests that need small buffers
LINGER_OFF = struct.pack("ii", 1, 0)


@dataclass
class Conclusion:
    """A call's result. `kind`: served, refused or failed; `body`: the response; `after`: seconds it took."""

    kind: str
    body: str
    after: float


class Attempt:
    """A request that a server has received completely."""

    def __init__(self, server: Server, name: str, klass: str, connection: Connection, msgid: int) -> None:
        self.server = server
        self.name = name
        self.klass = klass
        self.connection = connection
        self.msgid = msgid
        self.at = time.monotonic()
        self.rejected = False  # without running it
        self.ended: float | None = None  # when its response was sent or its connection ended

    def bytes_of(self, how: str) -> bytes:
        body = f"{self.server.name} {self.name}".ljust(BODY, ".")
        if self.server.transport == "rpc":
            error = {"rejected": ["rejected", "full"], "error": "lost"}.get(how)
            return msgpack.packb([1, self.msgid, error, body if error is None else None])
        status = {"served": "200 OK", "rejected": "503 Busy\r\nX-Rejected: 1", "error": "500 Lost"}[how]
        text = body if how == "served" else ""
        return f"HTTP/1.1 {status}\r\nContent-Length: {len(text)}\r\n\r\n{text}".encode()

    def reply(self, how: str) -> None:
        if self.ended is None:
            self.ended = time.monotonic()
            self.rejected = how == "rejected"
            self.connection.write(self.bytes_of(how))

    def half(self) -> None:
        """Sends the first part of a valid response."""
        data = self.bytes_of("served")
        self.connection.write(data[: len(data) - BODY // 2])
        self.connection.stopped = True

    def reset(self) -> None:
        sock = self.connection.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_OFF)
        self.connection.transport.abort()

    def half_then_reset(self) -> None:
        self.half()
        asyncio.get_running_loop().call_later(0.01, self.reset)


Behave = Callable[[Attempt], None]

SERVES: Behave = lambda attempt: attempt.reply("served")  # noqa: E731
REJECTS: Behave = lambda attempt: attempt.reply("rejected")  # noqa: E731
ERRORS: Behave = lambda attempt: attempt.reply("error")  # noqa: E731
RESETS: Behave = Attempt.reset
HALVES: Behave = Attempt.half_then_reset
STALLS: Behave = lambda attempt: None  # noqa: E731


class Connection(asyncio.Protocol):
    """A connection from the node to a server."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.open: list[Attempt] = []
        self.stopped = False  # in the middle of a response, so no other can follow

    def write(self, data: bytes) -> None:
        if not self.stopped:
            self.transport.write(data)

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.server.connections.append(self)
        if self.server.transport == "rpc":
            self.unpacker = msgpack.Unpacker(strict_map_key=False)
        else:
            self.reader = asyncio.StreamReader()
            self.task = asyncio.get_running_loop().create_task(self.read())

    def data_received(self, data: bytes) -> None:
        if self.server.transport == "http":
            self.reader.feed_data(data)
            return
        self.unpacker.feed(data)
        for _, msgid, method, params in self.unpacker:
            self.arrived(params[0]["id"], method, msgid)

    async def read(self) -> None:
        try:
            while True:
                request = await read_message(self.reader)
                klass = request.target[1:].partition("?")[0]
                self.arrived(request.headers["x-call-id"], klass, 0)
        except asyncio.IncompleteReadError:
            pass

    def arrived(self, name: str, klass: str, msgid: int) -> None:
        attempt = Attempt(self.server, name, klass, self, msgid)
        self.open.append(attempt)
        self.server.attempts.append(attempt)
        self.server.behave(attempt)

    def connection_lost(self, exc: Exception | None) -> None:
        for attempt in self.open:
            attempt.ended = attempt.ended or time.monotonic()
        if self.server.transport == "http":
            self.reader.feed_eof()
        self.server.lost += 1


class Server:
    """A server. `cell` is its pod. `started`: how many seconds ago it started; 0 means long ago."""

    def __init__(self, behave: Behave = SERVES, cell: int = 0, started: float = 0) -> None:
        self.behave = behave
        self.cell = cell
        self.started = started
        self.transport = ""
        self.name = ""
        self.attempts: list[Attempt] = []
        self.connections: list[Connection] = []
        self.lost = 0
        self.server: asyncio.Server | None = None

    async def start(self, transport: str, name: str) -> None:
        self.transport, self.name = transport, name
        self.server = await asyncio.get_running_loop().create_server(lambda: Connection(self), "127.0.0.1", 0)
        self.port: int = self.server.sockets[0].getsockname()[1]

    def close_port(self) -> None:
        """Makes the server refuse connections. There must be no open ones."""
        assert self.server is not None
        self.server.close()

    def entry(self, state: str = "ready") -> dict[str, Any]:
        started = int((time.time() - self.started) * 1000) if self.started else 0
        return entry_of(self.port, self.name, state, cell=self.cell, started_ms=started)


class Stage:
    """A node with these servers in its HTTP or RPC pool."""

    def __init__(self, transport: str, *servers: Server, sockets: int = 1024, **changes: Any) -> None:
        self.transport = transport
        self.sockets = sockets
        self.servers = servers
        self.changes = changes
        self.discovery = Discovery()
        self.version = 41
        self.names = count()
        self.rpc: RpcClient | None = None
        self.waiting: dict[int, asyncio.Future[list[Any]]] = {}

    async def start(self) -> Stage:
        await self.discovery.start()
        for i, server in enumerate(self.servers):
            await server.start(self.transport, f"s{i}")
        config = parse_table(
            {
                "name": "n0",
                "listen": "127.0.0.1:0",
                "discovery": f"127.0.0.1:{self.discovery.port if self.transport == 'http' else 1}",
                "limits": {"sockets": self.sockets},
                "settings": settings(**self.changes),
            }
        )
        operator = None
        if self.transport == "rpc":
            methods = {k: METHODS[k] for k in CLASSES}
            table = RpcTable(
                listen="127.0.0.1:0",
                discovery=f"127.0.0.1:{self.discovery.port}",
                sockets=min(256, self.sockets // 8),
                methods={k: _failing(m) for k, m in methods.items()},
            )
            operator = Operator(rpc=table)
        self.node = Node(config, asyncio.get_running_loop(), operator)
        await self.node.start()
        self.pool = self.node.pools[self.transport]
        front: Any = self.node.listeners[self.transport].front
        self.listener: Any = front.listener if self.transport == "rpc" else front.clients.listener
        self.port: int = self.listener.sock.getsockname()[1]
        await self.say(*(s.entry() for s in self.servers), full=True)
        return self

    async def say(self, *lines: dict[str, Any], full: bool = False) -> None:
        """Sends an update from discovery and waits until the node has applied it."""
        self.version += 1
        self.discovery.say(self.version, full, *lines)
        await until(lambda: self.pool.source.version == self.version)  # type: ignore[attr-defined]

    def attempts(self, name: str = "") -> list[Attempt]:
        """All attempts, or those of one call, by time."""
        found = [a for s in self.servers for a in s.attempts if not name or a.name == name]
        return sorted(found, key=lambda a: a.at)

    # ---- clients --------------------------------------------------------------------------------------

    def name(self) -> str:
        return f"{next(self.names):016x}"

    async def ask(self, klass: str, name: str = "", budget: int = 15000, size: int = 0) -> Conclusion:
        """Sends a call and returns its result. `budget` is in milliseconds. Fails if it is late."""
        name = name or self.name()
        began = time.monotonic()
        async with asyncio.timeout(PATIENCE):
            if self.transport == "rpc":
                kind, body = await self.ask_rpc(klass, name, budget, size)
            else:
                kind, body = await self.ask_http(klass, name, budget, size)
        return Conclusion(kind, body, time.monotonic() - began)

    async def ask_http(self, klass: str, name: str, budget: int, size: int) -> tuple[str, str]:
        client = await HttpClient(self.port).open()
        body = b"x" * size if klass != "view" else b""
        status, _, body = await client.ask(call(klass, budget, body=body, name=name.encode()))
        client.writer.close()
        return {200: "served", 503: "refused"}.get(status, "failed"), body.decode()

    async def ask_rpc(self, klass: str, name: str, budget: int, size: int) -> tuple[str, str]:
        """Sends an RPC call. All calls of a stage share one connection."""
        if self.rpc is None:
            self.rpc = RpcClient(self.port)
            opened = await self.rpc.open()
            self.reading = asyncio.create_task(self.read_rpc(opened))
            self.rpc = opened
        while not hasattr(self.rpc, "writer"):
            await asyncio.sleep(0)
        msgid = self.rpc.call(klass, {"id": name, "key": name}, budget, "x" * size)
        future: asyncio.Future[list[Any]] = asyncio.get_running_loop().create_future()
        self.waiting[msgid] = future
        _, _, error, result = await future
        if error is None:
            return "served", result
        word = error[0] if isinstance(error, list) else error
        return {"refused": "refused"}.get(word, "failed"), str(error)

    async def read_rpc(self, client: RpcClient) -> None:
        while True:
            data = await client.reader.read(65536)
            if not data:
                return
            client.unpacker.feed(data)
            for message in client.unpacker:
                # A second response to a msgid raises KeyError, which fails the test.
                self.waiting.pop(message[1]).set_result(message)


def _failing(method: Any) -> Any:
    """Returns the method with the servers' error configured as a server failure, like a 500 in HTTP."""
    import msgspec

    return msgspec.structs.replace(method, failures=("lost",))


@contextmanager
def small_sockets(monkeypatch: Any, upstream: type) -> Any:
    """Gives the node's connections to servers small socket buffers. Returns a listener with a small one."""
    original = upstream.connection_made  # type: ignore[attr-defined]

    def small(self: Any, transport: Any) -> None:
        with socket.socket(fileno=os.dup(transport.get_extra_info("socket").fileno())) as s:
            s.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL)
        original(self, transport)

    monkeypatch.setattr(upstream, "connection_made", small)
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL)
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    listener.setblocking(False)
    try:
        yield listener
    finally:
        listener.close()
