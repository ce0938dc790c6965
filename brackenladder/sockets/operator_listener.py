"""The operators' door: a second address, where each connection brings one line and gets one."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from brackenladder.operations.calls import LARGEST_LINE, CallError, OperatorCall, answer, read_call
from brackenladder.sockets.listener import AcceptedConnection, Address, Listener

MAX_CONNECTIONS = 16  # connections at once, out of descriptors of the door's own
PATIENCE = 10.0  # seconds for a line to come whole, unless its place is wanted sooner
LINGER = 1.0  # seconds in which a caller may read its answer before the connection is reset

Handle = Callable[[OperatorCall], bytes]


class OperatorConnection(AcceptedConnection):
    """An operator's connection."""

    def __init__(self, owner: OperatorListener) -> None:
        super().__init__(owner.loop.time())
        self.owner = owner
        self.line = b""
        self.answered = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.timer = self.owner.loop.call_later(PATIENCE, self.transport.abort)

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
        if len(line) > LARGEST_LINE:
            self.respond(answer(False, "the line is too long"))
        elif end:
            self.respond(self.owner.answer(line))

    def eof_received(self) -> bool:
        """A line may end with the caller's sending."""
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
    """Takes operators' calls; `handle` answers what could be read."""

    def __init__(self, loop: asyncio.AbstractEventLoop, handle: Handle) -> None:
        self.loop = loop
        self.handle = handle
        self.listener = Listener(loop, MAX_CONNECTIONS, lambda: OperatorConnection(self))

    def start(self, address: Address) -> None:
        """Binds and listens. An OSError if the address cannot be had."""
        self.listener.start(address)

    def answer(self, line: bytes) -> bytes:
        try:
            return self.handle(read_call(line))
        except CallError as e:
            return answer(False, str(e))
