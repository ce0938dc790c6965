"""Fake RPC servers, an RPC client, and a node with an RPC pool, on loopback sockets."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import msgpack
from loopback import PATIENCE, Discovery, entry_of, settings, until

from brackenladder.node.config import parse_table
from brackenladder.node.node import Node
from brackenladder.node.operator import MethodTable, Operator, RpcTable

Handle = Callable[["Server", Any, Any], None]  # server, connection, message


def answer(msgid: int, error: Any = None, result: Any = None) -> bytes:
    return msgpack.packb([1, msgid, error, result])


class Connection(asyncio.Protocol):
    def __init__(self, server: Server) -> None:
        self.server = server
        self.unpacker = msgpack.Unpacker(strict_map_key=False)
        self.ended = False

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.server.connections.append(self)

    def data_received(self, data: bytes) -> None:
        self.unpacker.feed(data)
        for message in self.unpacker:
            self.server.messages.append((self, message))
            if self.server.handle is not None:
                self.server.handle(self, message)

    def reply(self, msgid: int, error: Any = None, result: Any = None) -> None:
        self.transport.write(answer(msgid, error, result))

    def connection_lost(self, exc: Exception | None) -> None:
        self.ended = True


def echo(connection: Connection, message: Any) -> None:
    if message[0] == 0:
        connection.reply(message[1], None, message[3])


def rejects(connection: Connection, message: Any) -> None:
    connection.reply(message[1], ["rejected", "full"])


def resets(connection: Connection, message: Any) -> None:
    connection.transport.abort()


class Server:
    """A server. `handle` is called with each message; if it is None, the test has to send the responses."""

    def __init__(self, handle: Callable[[Connection, Any], None] | None = echo) -> None:
        self.handle = handle
        self.messages: list[tuple[Connection, Any]] = []
        self.connections: list[Connection] = []

    async def start(self) -> Server:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: Connection(self), "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @property
    def calls(self) -> list[Any]:
        """The received requests, in order."""
        return [message for _, message in self.messages if message[0] == 0]

    def answer_first(self, result: Any) -> None:
        """Answers the first message."""
        connection, message = self.messages[0]
        connection.reply(message[1], None, result)

    def entry(self, name: str, state: str = "ready", **changes: Any) -> dict[str, Any]:
        return entry_of(self.port, name, state, **changes)


class Client:
    """An ordinary MessagePack-RPC client."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.unpacker = msgpack.Unpacker(strict_map_key=False)
        self.last = 0

    async def open(self) -> Client:
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        return self

    def call(self, method: str, *params: Any, msgid: int | None = None) -> int:
        self.last = self.last + 1 if msgid is None else msgid
        self.writer.write(msgpack.packb([0, self.last, method, list(params)]))
        return self.last

    def notify(self, method: str, *params: Any) -> None:
        self.writer.write(msgpack.packb([2, method, list(params)]))

    async def receive(self) -> list[Any]:
        """Returns the next response: [1, msgid, error, result]."""
        async with asyncio.timeout(PATIENCE):
            while True:
                try:
                    return self.unpacker.unpack()
                except msgpack.OutOfData:
                    data = await self.reader.read(65536)
                    if not data:
                        raise EOFError from None
                    self.unpacker.feed(data)

    async def ask(self, method: str, *params: Any) -> list[Any]:
        """Sends a call and returns its error and result."""
        msgid = self.call(method, *params)
        kind, number, error, result = await self.receive()
        assert (kind, number) == (1, msgid)
        return [error, result]

    async def ended(self) -> bool:
        """Waits for the end of the connection. Returns whether no more bytes arrived."""
        async with asyncio.timeout(PATIENCE):
            return await self.reader.read() == b""


METHODS = {
    "view": MethodTable(klass="view", budget="1"),
    "invite": MethodTable(klass="invite", budget="1"),
    "offer": MethodTable(klass="offer", key="0.key", budget="1"),
    "ping": MethodTable(klass="invite", notify=True),
}


class Bench:
    """A node with an RPC pool, servers `s0`, `s1`, ... and a discovery that lists them."""

    def __init__(self, *servers: Server, table: dict[str, Any] | None = None, **changes: Any) -> None:
        self.servers = servers
        self.table = table or {}
        self.changes = changes
        self.discovery = Discovery()

    async def start(self) -> Bench:
        await self.discovery.start()
        for server in self.servers:
            await server.start()
        config = parse_table(
            {
                "name": "n0",
                "listen": "127.0.0.1:0",
                "discovery": "127.0.0.1:1",
                "limits": {"sockets": 1024},
                "settings": settings(**self.changes),
            }
        )
        given = {
            "listen": "127.0.0.1:0",
            "discovery": f"127.0.0.1:{self.discovery.port}",
            "methods": METHODS,
        }
        operator = Operator(rpc=RpcTable(**(given | self.table)))
        self.node = Node(config, asyncio.get_running_loop(), operator)
        await self.node.start()
        self.pool = self.node.pools["rpc"]
        self.front = self.node.listeners["rpc"].front
        if "servers" not in self.table:
            self.discovery.say(41, True, *(s.entry(f"s{i}") for i, s in enumerate(self.servers)))
            await until(lambda: len(self.pool.upstream.endpoints) == len(self.servers))
        assert self.front.listener.sock is not None
        self.port = self.front.listener.sock.getsockname()[1]
        return self

    def wide(self) -> Bench:
        """Lifts the Balancer's concurrency limit, which starts at a few calls, to test other limits."""
        controller = self.pool.host.balancer.controller
        controller.limit = controller.pass_limit = 1e6
        return self

    async def client(self) -> Client:
        return await Client(self.port).open()
