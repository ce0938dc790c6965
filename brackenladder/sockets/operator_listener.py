"""The operators' address: each connection sends a line with a command and gets one line back."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from brackenladder.operations.calls import MAX_CALL_BYTES, CallError, OperatorCall, format_answer, parse_call
from brackenladder.sockets.listener import AcceptedConnection, Address, Listener

MAX_CONNECTIONS = 16  # connections at once; they have file descriptors of their own
# Seconds within which a line has to be complete, unless its connection is evicted earlier.
LINE_TIMEOUT = 10.0
LINGER = 1.0  # seconds in which a client may read its response before the connection is reset

Handle = Callable[[OperatorCall], bytes]


class OperatorConnection(AcceptedConnection):
    """Reads one line from an operator, writes the response, and closes the connection at a timeout."""

    def __init__(self, owner: OperatorListener) -> None:
        super().__init__(owner.loop.time())
        self.owner = owner
        self.line = b""
        self.answered = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.timer = self.owner.loop.call_later(LINE_TIMEOUT, self.transport.abort)

    def is_busy(self) -> bool:
        return self.answered

    def has_partial_request(self) -> bool:
        return bool(self.line)

    def data_received(self, data: bytes) -> None:
        if self.answered:
            return
        self.last_active = self.owner.loop.time()
        self.line += data
        line, end, _ = self.line.partition(b"\n")
        if len(line) > MAX_CALL_BYTES:
            self.respond(format_answer(False, "the line is too long"))
        elif end:
            self.respond(self.owner.answer(line))

    def eof_received(self) -> bool:
        """Treats the end of the client's input as the end of its line."""
        if not self.answered:
            self.respond(self.owner.answer(self.line))
        return True

    def respond(self, data: bytes) -> None:
        self.answered = True
        self.got_request = True
        self.transport.write(data)
        self.transport.write_eof()
        self.timer.cancel()
        self.timer = self.owner.loop.call_later(LINGER, self.transport.abort)

    def connection_lost(self, exc: Exception | None) -> None:
        self.timer.cancel()
        self.owner.listener.connection_ended(self)


class OperatorListener:
    """Receives the commands of operators; `handle` executes the valid ones."""

    def __init__(self, loop: asyncio.AbstractEventLoop, handle: Handle) -> None:
        self.loop = loop
        self.handle = handle
        self.listener = Listener(loop, MAX_CONNECTIONS, lambda: OperatorConnection(self))

    def start(self, address: Address) -> None:
        """Binds and listens. Raises OSError if the address can't be bound."""
        self.listener.start(address)

    def answer(self, line: bytes) -> bytes:
        try:
            return self.handle(parse_call(line))
        except CallError as e:
            return format_answer(False, str(e))
