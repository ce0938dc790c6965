"""A node with servers, a discovery service and clients that a test controls, on loopback sockets."""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import Awaitable, Callable, Iterator
from contextlib import ExitStack, contextmanager
from itertools import count
from typing import Any

import uvloop

from brackenladder.node.config import parse_table
from brackenladder.node.node import Node

PATIENCE = 20.0  # seconds after which a test fails
ERROR_500 = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 4\r\n\r\nlost"
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
MOMENT = 1_000_000


def settings(**changes: Any) -> dict[str, Any]:
    """Returns the tests' settings object with changes. `policy_limits` are merged with the defaults."""
    limits = {
        "cancel": True,
        "conn_idle": 5 * MOMENT,
        "connect_timeout": 5 * MOMENT,
        "max_attempts": 3,
        "max_retry_after": 2 * MOMENT,
        "peers": True,
        "probing": True,
        "retry_after": True,
    }
    classes = [("view", "free", "all"), ("invite", "single_shot", "all"), ("offer", "guarded", "cell")]
    table = {
        "classes": [
            {
                "name": name,
                "effect": effect,
                "group": group,
                "goal_time": 10 * MOMENT,
                "hard_limit": 20 * MOMENT,
                "late_value": 0.2,
                "window": 10 * MOMENT,
                "worth": 1.0,
            }
            for name, effect, group in classes
        ],
        "dcs": ["here", "there"],
        "discovery": "ask",
        "group_size": 1,
        "kinds": ["std"],
        "layers": ["front"],
        "policy_limits": limits | changes.pop("policy_limits", {}),
        "report": {"columns": ["mean_ms", "concurrent"], "how": "on_probe"},
        "rules": {"ask_within": 10 * MOMENT, "cold": 0, "fall_multiple": 2.5, "start_capacity": 1.0}
        | {"tip_after": 0},
        "tenants": [{"name": "acme"}],
        "tick": 5000,
    }
    return table | changes


def entry_of(port: int, name: str, state: str = "ready", **changes: Any) -> dict[str, Any]:
    """Returns a server's entry as discovery sends it."""
    return {
        "id": name,
        "addr": f"127.0.0.1:{port}",
        "zone": "here",
        "kind": "std",
        "cell": 0,
        "state": state,
        "weight": 1.0,
        "started_ms": 0,
    } | changes


@contextmanager
def cut_off() -> Iterator[int]:
    """The port of a listener whose backlog is full, so that connections are never established."""
    with ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        for _ in range(8):
            waiting = stack.enter_context(socket.socket())
            waiting.setblocking(False)
            waiting.connect_ex(listener.getsockname())
        yield listener.getsockname()[1]


class Request:
    """A request that a server received."""

    def __init__(self, head: bytes, body: bytes) -> None:
        first, *lines = head.decode().split("\r\n")
        self.method, self.target, _ = first.split(" ")
        self.lines = [(k.lower(), v) for k, _, v in (line.partition(": ") for line in lines if line)]
        self.headers = dict(self.lines)
        self.body = body


async def read_message(reader: asyncio.StreamReader) -> Request:
    """Reads one request. Raises IncompleteReadError at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    request = Request(head[:-4], b"")
    request.body = await reader.readexactly(int(request.headers.get("content-length", 0)))
    return request


Handle = Callable[[Request, asyncio.StreamWriter], Awaitable[bytes | None]]


async def answer_ok(request: Request, writer: asyncio.StreamWriter) -> bytes | None:
    return OK


def held_until(release: asyncio.Event, answer: bytes = OK) -> Handle:
    """Returns a handler that answers only after the event is set."""

    async def held(request: Request, writer: asyncio.StreamWriter) -> bytes | None:
        await release.wait()
        return answer

    return held


class Server:
    """A server. `handle` returns the bytes of the response, or None to send nothing."""

    def __init__(self, handle: Handle = answer_ok) -> None:
        self.handle = handle
        self.requests: list[Request] = []
        self.connections = 0
        self.writers: list[asyncio.StreamWriter] = []
        self.closed = 0  # connections that the node has closed

    async def start(self) -> Server:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.writers.append(writer)
        try:
            while True:
                request = await read_message(reader)
                self.requests.append(request)
                data = await self.handle(request, writer)
                if data is not None:
                    writer.write(data)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            self.closed += 1
        finally:
            writer.close()

    def entry(self, name: str, state: str = "ready", **changes: Any) -> dict[str, Any]:
        return entry_of(self.port, name, state, **changes)


class Discovery(Server):
    """A discovery service. Requests wait until the test answers them with `say` or `raw`."""

    def __init__(self) -> None:
        super().__init__(self.wait)
        self.answers: asyncio.Queue[bytes | None] = asyncio.Queue()

    async def wait(self, request: Request, writer: asyncio.StreamWriter) -> bytes | None:
        data = await self.answers.get()
        if data is None:
            raise ConnectionResetError
        return data

    def say(self, version: int, full: bool, *servers: dict[str, Any]) -> None:
        self.raw(json.dumps({"version": version, "full": full, "servers": servers}).encode())

    def raw(self, body: bytes, status: bytes = b"200 OK") -> None:
        self.answers.put_nowait(b"HTTP/1.1 %b\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body))


class Client:
    """A client's connection."""

    def __init__(self, port: int) -> None:
        self.port = port

    async def open(self) -> Client:
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        return self

    def send(self, data: bytes) -> None:
        self.writer.write(data)

    async def receive(self) -> tuple[int, dict[str, str], bytes]:
        """Receives one response: status, headers, body."""
        head = await asyncio.wait_for(self.reader.readuntil(b"\r\n\r\n"), PATIENCE)
        first, *lines = head[:-4].decode().split("\r\n")
        headers = {k.lower(): v for k, _, v in (line.partition(": ") for line in lines)}
        body = await self.reader.readexactly(int(headers.get("content-length", 0)))
        return int(first.split(" ")[1]), headers, body

    async def ask(self, data: bytes) -> tuple[int, dict[str, str], bytes]:
        self.send(data)
        return await self.receive()

    async def ended(self) -> bool:
        """Waits for the end of the connection. Returns whether no more bytes arrived."""
        return await asyncio.wait_for(self.reader.read(), PATIENCE) == b""


CALLS = count()


def call(
    klass: str = "view", budget: int = 15000, extra: bytes = b"", body: bytes = b"", name: bytes = b""
) -> bytes:
    """Returns a request of a class. It gets a new call id if none is given."""
    method = b"GET" if klass == "view" else b"POST"
    name = name or b"%016x" % next(CALLS)
    lines = b"X-Call-Id: %b\r\nX-Caller: acme\r\nX-Budget-Ms: %d\r\n" % (name, budget)
    if klass == "offer":
        lines += b"Idempotency-Key: 5c0f\r\n"
    if method == b"POST":
        lines += b"Content-Length: %d\r\n" % len(body)
    return b"%b /%b?obj=7f HTTP/1.1\r\nHost: app\r\n%b%b\r\n%b" % (method, klass.encode(), lines, extra, body)


class Bench:
    """A node with servers `s0`, `s1`, ... and a discovery that lists them."""

    def __init__(
        self, *servers: Server, config: dict[str, Any] | None = None, operator: Any = None, **changes: Any
    ) -> None:
        self.servers = servers
        self.operator = operator
        self.changes = changes
        self.config = config or {}
        self.discovery = Discovery()

    async def start(self) -> Bench:
        await self.discovery.start()
        for server in self.servers:
            await server.start()
        known = {"version": 41, "full": True}
        known["servers"] = [s.entry(f"s{i}") for i, s in enumerate(self.servers)]
        table = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "discovery": f"127.0.0.1:{self.discovery.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"sockets": 1024},
            "known": known,
            "settings": settings(**self.changes),
        }
        self.node = Node(parse_table(table | self.config), asyncio.get_running_loop(), self.operator)
        await self.node.start()
        self.pool = self.node.http
        sock = self.node.front.clients.listener.sock
        assert sock is not None
        self.port = sock.getsockname()[1]
        return self

    async def client(self) -> Client:
        return await Client(self.port).open()

    async def once(self, data: bytes) -> tuple[int, dict[str, str], bytes]:
        """Sends one request on a new connection."""
        client = await self.client()
        answer = await client.ask(data)
        client.writer.close()
        return answer


async def until(condition: Callable[[], bool]) -> None:
    """Waits until the condition holds."""
    async with asyncio.timeout(PATIENCE):
        while not condition():
            await asyncio.sleep(0.001)


def play(scene: Callable[[], Awaitable[None]], patience: float = 3 * PATIENCE) -> None:
    """Runs a test's coroutine on the node's kind of event loop. `patience` is its time limit in seconds."""

    async def limited() -> None:
        async with asyncio.timeout(patience):
            await scene()

    uvloop.run(limited())


HELD: list[socket.socket] = []


def node_table(discovery: int, given: dict, listen: str = "127.0.0.1:0", *servers: dict) -> dict:
    known = {"version": 1, "full": True, "servers": list(servers)}
    table = {"name": "n0", "listen": listen, "discovery": f"127.0.0.1:{discovery}", "seed": "1f"}
    return table | {"limits": {"sockets": 256}, "known": known, "settings": given}


def free_port() -> int:
    """Returns a port that nothing else gets. It stays bound, but a node can still listen on it."""
    s = socket.socket()
    s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    s.bind(("127.0.0.1", 0))
    HELD.append(s)
    return s.getsockname()[1]


async def connected(client: Client) -> None:
    """Connects as soon as the node listens."""
    while True:
        try:
            await client.open()
            return
        except ConnectionRefusedError:
            await asyncio.sleep(0.01)
