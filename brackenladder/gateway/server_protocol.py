"""The protocol of one server connection: matches responses to the current request, detects surplus bytes."""

from __future__ import annotations

import asyncio
from typing import Any

from aiohttp.client_proto import ResponseHandler
from aiohttp.http_parser import RawResponseMessage
from aiohttp.streams import StreamReader

from brackenladder.gateway.carried_ids import CarriedIds
from brackenladder.gateway.framing import AnswerFraming
from brackenladder.gateway.headers import KEEP_ALIVE, REQUEST_ID
from brackenladder.invariants import VIOLATIONS, Invariant

# For servers that announce no idle timeout: they close a connection within its first idle second.
DEFAULT_IDLE_SECONDS = 0.3
# Subtracted from the server's idle timeout, so that a request arrives before the close.
IDLE_MARGIN_SECONDS = 0.7
LEAST_IDLE_FRACTION = 0.3  # fraction of a short idle timeout that is used if the margin would leave less
MAX_HEAD_FIELD = 65_536  # bytes of a response's status line, or of one header field
MAX_HEADERS = 256
MAX_REQUESTS = 1000  # requests that a connection carries; bounds the memory for their ids
READ_BUFFER = 65_536  # bytes; aiohttp's buffer limit for a response's body


class AnswerBroken(Exception):
    """The server did not send a complete response to the request."""


class ServerProtocol(ResponseHandler):
    """Reads the responses on one server connection.

    A response with the id of another request is skipped. Bytes that follow the response, or arrive while no
    request is open, make the connection unusable. A response that was cut short within its head may be
    followed by another one; together they can look like one response, whose status and headers prove nothing.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.request_id: str | None = None  # of the current request
        # Until when the connection may be reused, by the event loop's clock; 0: no response has ended yet.
        self.reusable_until = 0.0
        self.idle_since = 0.0  # when the last response ended, by the event loop's clock; 0: there was none
        self.id_repeated = False  # an earlier request on this connection had the current request's id
        self._carried = CarriedIds()
        self._framing = AnswerFraming(False)
        self._accepted = False  # the head of the current request's response was received
        self._answered = False  # the current request's response was received to its end
        self._ended_in_order = False  # the server closed its side with a FIN, not a reset
        self._surplus = False  # bytes arrived that do not belong to the response
        self._lost_waiter: asyncio.Future[None] | None = None

    async def wait_for_loss(self, seconds: float) -> bool:
        """Wait for up to `seconds`, and return whether the connection was lost."""
        waiter = self._lost_waiter = self._loop.create_future()
        timer = self._loop.call_later(seconds, _wake, waiter)
        try:
            await waiter
        finally:
            timer.cancel()
            self._lost_waiter = None
        return self.transport is None or self.transport.is_closing()

    @property
    def idle_for(self) -> float:
        """Seconds since the last response ended; 0 for a new connection."""
        return self._loop.time() - self.idle_since if self.idle_since else 0.0

    @property
    def ends_body(self) -> bool:
        """Whether the current response's body has no length and ends when the connection closes."""
        return self._framing.until_close

    def may_carry(self, request_id: str) -> bool:
        """Whether no request with this id was sent on this connection, so that the id names one answer."""
        return request_id not in self._carried

    def begin(self, request_id: str, without_body: bool) -> None:
        """Prepare for the response to a request that is written next."""
        self.request_id = request_id
        self.id_repeated = request_id in self._carried
        VIOLATIONS.check(Invariant.CONNECTION_CARRIES_ID_ONCE, not self.id_repeated, request_id)
        self._carried.add(request_id)
        self._framing = AnswerFraming(without_body)
        self._accepted = self._answered = False
        self.set_response_params(
            skip_payload=without_body,
            read_until_eof=True,
            auto_decompress=False,
            read_bufsize=READ_BUFFER,
            max_line_size=MAX_HEAD_FIELD,
            max_field_size=MAX_HEAD_FIELD,
            max_headers=MAX_HEADERS,
        )

    def finish(self, message: RawResponseMessage) -> None:
        """Mark the connection as idle after a complete response, or as unusable if surplus bytes arrived."""
        self.request_id = None
        whole = self._answered or self._framing.ended
        if self._surplus or not whole or len(self._carried) >= MAX_REQUESTS:
            self.force_close()
        self.idle_since = self._loop.time()
        self.reusable_until = self.idle_since + idle_limit_seconds(message.headers.get(KEEP_ALIVE))

    def data_received(self, data: bytes) -> None:
        """Pass the bytes of a response to the parser, part by part; abort if no response is expected."""
        if not data:
            super().data_received(data)
            return
        if self.request_id is None:
            self._surplus = True
            if self.transport is not None:
                self.transport.abort()
            return
        begin = 0
        while begin < len(data) and not self._answered and self._exception is None:
            end = self._framing.take(data, begin)
            if self._framing.joined:
                self._surplus = True
                self.set_exception(AnswerBroken("the heads of two responses are joined"))
                return
            super().data_received(data[begin:end])
            begin = end
            if self._framing.ended:
                self._part_ended()
        if begin < len(data):
            self._surplus = True

    def feed_data(self, data: tuple[RawResponseMessage, StreamReader], size: int = 0) -> None:
        """Accept the head of a response, unless it belongs to another request."""
        message = data[0]
        if message.code >= 200:
            if message.headers.get(REQUEST_ID) != self.request_id:
                self._surplus = True
                if REQUEST_ID not in message.headers:
                    self.set_exception(AnswerBroken("the response has no request id"))
                return
            self._accepted = True
        super().feed_data(data, size)

    def set_exception(self, exc: BaseException, *cause: Any) -> None:
        """Fail the response's body as well: aiohttp does not report every error to the body's reader."""
        super().set_exception(exc, *cause)
        self._fail_body(self._payload, exc)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail the response if it is incomplete.

        aiohttp takes any end of the connection as the end of a body without a length, so that a body cut
        short by a reset would pass as complete.
        """
        payload = self._payload
        if self._accepted and self.ends_body and not self._ended_in_order:
            self._fail_body(payload, AnswerBroken("reset before the end of the response"))
        super().connection_lost(exc)
        self._fail_body(payload, AnswerBroken("connection lost"))
        if self._lost_waiter is not None:
            _wake(self._lost_waiter)

    def eof_received(self) -> None:
        """The server closed its side, which ends a body without a length."""
        self._ended_in_order = True
        super().eof_received()

    def is_connected(self) -> bool:
        """Whether the connection may carry another request."""
        if self._surplus or self._idle_too_long():
            return False
        return super().is_connected()

    def _idle_too_long(self) -> bool:
        carried_answer = self.reusable_until > 0
        return carried_answer and self.request_id is None and self._loop.time() > self.reusable_until

    def _part_ended(self) -> None:
        payload = self._payload
        if self._framing.guessed and payload is not None and not payload.is_eof():
            return
        if self._accepted:
            self._answered = True
        else:
            self._framing.restart()

    def _fail_body(self, payload: StreamReader | None, error: BaseException) -> None:
        if payload is not None and not payload.is_eof() and payload.exception() is None:
            payload.set_exception(error)


def idle_limit_seconds(keep_alive: str | None) -> float:
    """How long a connection may be idle before its next request, from the server's `Keep-Alive` header."""
    for part in (keep_alive or "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            announced = float(value)
            return max(announced - IDLE_MARGIN_SECONDS, announced * LEAST_IDLE_FRACTION)
    return DEFAULT_IDLE_SECONDS


def _wake(waiter: asyncio.Future[None]) -> None:
    if not waiter.done():
        waiter.set_result(None)
