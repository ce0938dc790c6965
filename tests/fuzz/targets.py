"""The fuzz targets. Each takes bytes and fails if an invariant is violated.

The first byte determines how the rest is split into pieces, the second how attempts end. There is no event
loop and no network: transports are fakes, and the time doesn't advance.
"""

from __future__ import annotations

import os
import re
import socket
from collections import Counter, deque
from collections.abc import Callable, Iterator
from functools import cache
from typing import Any

import msgpack
from loopback import settings

from brackenladder.core.call import Call, Done
from brackenladder.core.clock import Clock
from brackenladder.core.host import Host
from brackenladder.http.client_connections import ClientConnection, ClientConnections
from brackenladder.http.front import HttpFront
from brackenladder.http.server_connection import Answer, Connection, Endpoint
from brackenladder.http.server_exchange import Exchange
from brackenladder.http.server_pool import ServerPool
from brackenladder.interface import ListKind, Outcome, ServerEntry
from brackenladder.node.config import parse_table
from brackenladder.rpc.call import Reply, RpcCall
from brackenladder.rpc.codec import (
    MessageLimits,
    MessageReader,
    ProtocolError,
    Request,
    Response,
    parse_message,
)
from brackenladder.rpc.front import Client, FrontLimits, RpcFront
from brackenladder.rpc.methods import CallParameters, Method, Methods
from brackenladder.rpc.upstream import Exchange as RpcExchange
from brackenladder.rpc.upstream import Link, RpcUpstream, UpstreamLimits

LIMITS = MessageLimits(message=2048, nesting=8, method=32)
FAULT = re.compile(r"^\w+: \w+(Error|Exception): ")
METHODS = {"view": Method(0, (), (1,), (), False), "invite": Method(1, (), (1,), (), False)}
SERVER = 7


class Loop:
    """A fake event loop. Its time doesn't advance, and `run` executes the callbacks of `call_soon`."""

    def __init__(self) -> None:
        self.soon: deque[tuple[Callable[..., None], tuple[Any, ...]]] = deque()

    def time(self) -> float:
        return 1000.0

    def call_later(self, delay: float, action: Callable[..., None], *args: Any) -> Any:
        return self

    def call_soon(self, action: Callable[..., None], *args: Any) -> Any:
        self.soon.append((action, args))
        return self

    def create_task(self, coroutine: Any) -> Any:
        """Never runs the coroutine: connections are never established."""
        coroutine.close()
        return self

    def add_done_callback(self, action: Any) -> None:
        """Does nothing, as no task ends."""

    def cancel(self) -> None:
        """Does nothing, as timers never fire."""

    def run(self) -> None:
        while self.soon:
            action, args = self.soon.popleft()
            action(*args)


@cache
def real_sockets() -> tuple[socket.socket, socket.socket]:
    """Sockets whose descriptors can be polled and never have anything to read."""
    return socket.socketpair()


class Transport:
    def __init__(self) -> None:
        self.written: list[bytes] = []
        self.closed = False
        self.reading = True
        self.eof = False

    def write(self, data: bytes) -> None:
        assert not self.closed and not self.eof, "written after the end"
        self.written.append(bytes(data))

    def write_eof(self) -> None:
        self.eof = True

    def is_closing(self) -> bool:
        return self.closed

    def close(self) -> None:
        self.closed = True

    abort = close

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        self.reading = True

    def set_write_buffer_limits(self, high: int) -> None:
        """Does nothing: there is no buffer."""

    def get_extra_info(self, name: str) -> Any:
        return real_sockets()[0]


def pieces(data: bytes) -> Iterator[bytes]:
    """Splits the bytes after the first two into pieces of the size given by the first."""
    size = data[0] % 64 or len(data)
    for start in range(2, len(data), size):
        yield data[start : start + size]


class Upstream:
    """An upstream whose attempts end at once. The outcomes follow `ORDER`, starting at `first`."""

    ORDER = (Outcome.OK, Outcome.OK, Outcome.REJECTED, Outcome.RESET, Outcome.ERROR, Outcome.TIMEOUT)

    def __init__(self, first: int, answer: object) -> None:
        self.turn = first
        self.answer = answer

    def attempt(self, server: int, call: Call, expires: int, done: Done) -> Any:
        self.turn += 1
        return _Attempt(done, self.ORDER[self.turn % len(self.ORDER)], self.answer)

    def probe(self, server: int, done: Any) -> None:
        done(False, ())

    def close_idle(self, server: int) -> None:
        """Does nothing: there are no connections."""


class _Attempt:
    def __init__(self, done: Done, outcome: Outcome, answer: object) -> None:
        self.done = done
        self.outcome = outcome
        self.answer = answer

    def start(self, timeout: float) -> None:
        self.done(self.outcome, self.answer if self.outcome == Outcome.OK else None, ())

    def stop(self, outcome: Outcome) -> None:
        raise AssertionError("the attempt has ended")


@cache
def config() -> Any:
    return parse_table({"name": "n", "listen": "h:1", "discovery": "h:2", "settings": settings()})


def host_of(data: bytes, answer: object) -> tuple[Host, Loop, list[str]]:
    loop, log = Loop(), []
    host = Host(config().settings, 1, loop, Upstream(data[1], answer), log.append, Clock())  # type: ignore[arg-type]
    host.directory = host.messenger = _Nothing()  # type: ignore[assignment]
    host.start()
    host.server_list(ListKind.FULL, [ServerEntry(SERVER + i) for i in range(3)])
    return host, loop, log


class _Nothing:
    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *args: None


def assert_no_faults(log: list[str]) -> None:
    """Fails on exceptions that a front caught and logged so that other requests were served."""
    faults = [line for line in log if FAULT.match(line)]
    assert not faults, faults


def codec(data: bytes) -> None:
    """A stream gives the same messages and the same error however it is split."""
    if len(data) < 2:
        return
    whole, cut = MessageReader(LIMITS), MessageReader(LIMITS)
    messages = whole.feed(data[2:])
    in_pieces = [m for piece in pieces(data) for m in cut.feed(piece)]
    assert in_pieces == messages and cut.error == whole.error
    assert "\n" not in whole.error and whole.buffered() <= LIMITS.message + 1
    for message in messages:
        if isinstance(message, Request):
            params = msgpack.unpackb(message.raw, strict_map_key=False, unicode_errors="surrogateescape")
            assert type(params) is list and len(params) == len(message.params)
            assert 0 <= message.msgid < 1 << 32
        elif isinstance(message, Response):
            parse_message(b"\x94\x01\x00" + message.raw_error + message.raw_result, LIMITS)
    try:
        parse_message(data[2:], LIMITS)
    except ProtocolError as e:
        assert "\n" not in str(e)


def rpc_front(data: bytes) -> None:
    """Each request has exactly one response with its msgid, whatever other bytes arrive."""
    if len(data) < 2:
        return
    host, loop, log = host_of(data, Reply(b"\xc0", b"\xa2ok"))
    methods = Methods(METHODS, host.settings.classes, ("acme",), "acme", 1_000_000)
    front = RpcFront(loop, host, methods, FrontLimits(LIMITS, 4, 1 << 20, 8), log.append)  # type: ignore[arg-type]
    requested: Counter[int] = Counter()
    request = front.request

    def counted(client: Client, message: Request) -> None:
        requested[message.msgid] += 1
        request(client, message)

    front.request = counted  # type: ignore[method-assign]
    client = Client(front)
    client.connection_made(transport := Transport())  # type: ignore[arg-type]
    for piece in pieces(data):
        if transport.closed:
            break
        client.data_received(piece)
        loop.run()
    responses = [msgpack.unpackb(r, strict_map_key=False) for r in transport.written]
    assert all(len(r) == 4 and r[0] == 1 for r in responses)
    assert Counter(r[1] for r in responses) == requested
    client.connection_lost(None)
    assert not client.calls and not client.notifications and not host.calls
    assert_no_faults(log)


def rpc_upstream(data: bytes) -> None:
    """Each attempt ends once, whatever a server sends. A connection with invalid responses is closed."""
    if len(data) < 2:
        return
    loop, log = Loop(), []
    upstream = RpcUpstream(loop, UpstreamLimits(LIMITS, 8, 1, 4, 1.0, 5.0), log.append, lambda: 0)  # type: ignore[arg-type]
    endpoint = _RpcEndpoint()
    link = Link(upstream, endpoint)
    endpoint.links.append(link)
    upstream.open += 1
    link.connection_made(transport := Transport())  # type: ignore[arg-type]
    ends: list[list[Outcome]] = []
    exchanges = []
    for i in range(6):
        ended: list[Outcome] = []
        ends.append(ended)
        call = RpcCall(i, "view", b"\x90", METHODS["view"], CallParameters(0, 1_000_000))
        exchange = RpcExchange(upstream, endpoint, call, lambda o, a, r, ended=ended: ended.append(o))
        exchange.start(1.0)
        exchanges.append(exchange)
    if data[1] % 2:
        exchanges[2].stop(Outcome.TIMEOUT)
    for piece in pieces(data):
        if link.closed:
            break
        link.data_received(piece)
    if link.closed:
        assert transport.closed
    link.connection_lost(None)
    assert all(len(ended) == 1 for ended in ends), ends
    assert upstream.open == 0 and not endpoint.links
    assert_no_faults(log)


def _RpcEndpoint() -> Any:
    from brackenladder.rpc.upstream import Endpoint as RpcEndpoint

    return RpcEndpoint("h", 1, 0)


def http_front(data: bytes) -> None:
    """Each accepted request has one response, in order. No memory is held after the client disconnects."""
    if len(data) < 2:
        return
    host, loop, log = host_of(data, Answer(200, b"ok", b"text/plain", False, b""))
    front = HttpFront(host, config().classes, config().tenants, lambda: True, log.append)
    front.clients = ClientConnections(loop, 8, 1 << 20, 1 << 20, front)  # type: ignore[arg-type]
    taken = 0
    message = front.handle_request

    def counted(connection: ClientConnection, request: Any) -> None:
        nonlocal taken
        taken += 1
        message(connection, request)

    front.handle_request = counted  # type: ignore[method-assign]
    connection = ClientConnection(front.clients, refusing=False)
    front.clients.listener.connections.add(connection)
    connection.connection_made(transport := Transport())  # type: ignore[arg-type]
    for piece in pieces(data):
        if transport.closed:
            break
        connection.data_received(piece)
        loop.run()
    final = [w for w in transport.written if not w.startswith(b"HTTP/1.1 100 ")]
    assert all(w.startswith(b"HTTP/1.1 ") and b"\r\n\r\n" in w for w in final)
    assert taken <= len(final) <= taken + 1  # one more for malformed input
    connection.connection_lost(None)
    assert (
        front.clients.held_bytes == 0 and not front.by_connection and not front.by_call_id and not host.calls
    )
    assert_no_faults(log)


def http_upstream(data: bytes) -> None:
    """The exchange ends once. A connection is reused only after a complete response without stray bytes."""
    if len(data) < 2:
        return
    loop = Loop()
    pool = ServerPool(loop, 4, 1.0, 5.0)  # type: ignore[arg-type]
    endpoint = pool.endpoints[SERVER] = Endpoint("h", 1, 0)
    endpoint.ready = True
    connection = Connection(pool, endpoint)
    pool.opened(connection)
    connection.connection_made(transport := Transport())  # type: ignore[arg-type]
    ends: list[tuple[Outcome, Any]] = []
    exchange = Exchange(
        pool, endpoint, lambda: b"GET / HTTP/1.1\r\n\r\n", lambda o, a, r: ends.append((o, a))
    )
    exchange.use_connection(connection)
    for piece in pieces(data):
        if transport.closed:
            break
        connection.data_received(piece)
    assert len(ends) <= 1
    if endpoint.idle:
        assert ends and ends[0][1] is not None and len(ends[0][1].body) <= 65536 + 4096
    if transport.closed:
        assert pool.take(endpoint) is None
    connection.connection_lost(None)
    assert len(ends) == 1 and pool.open == 0 and endpoint.open_exchanges == 0 and not endpoint.idle


TARGETS: dict[str, Callable[[bytes], None]] = {
    f.__name__: f for f in (codec, rpc_front, rpc_upstream, http_front, http_upstream)
}
CORPUS = os.path.join(os.path.dirname(os.path.dirname(__file__)), "corpus")
