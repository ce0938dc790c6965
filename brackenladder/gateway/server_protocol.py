"""The bytes of one server connection: which of them answer the request that is out, and what ends it."""

from __future__ import annotations

import asyncio
from typing import Any

from aiohttp.client_proto import ResponseHandler
from aiohttp.http_parser import RawResponseMessage
from aiohttp.streams import StreamReader

from brackenladder.gateway.framing import AnswerFraming
from brackenladder.gateway.headers import KEEP_ALIVE, REQUEST_ID

DEFAULT_IDLE_SECONDS = 0.3  # a server that tells no idle time closes within its first second
IDLE_MARGIN_SECONDS = 0.7  # a request must arrive before the server closes
LEAST_IDLE_FRACTION = 0.3  # of a short idle time, from which the margin would take too much
MAX_HEAD_FIELD = 65_536  # bytes
MAX_HEADERS = 256
READ_BUFFER = 65_536  # bytes


class AnswerBroken(Exception):
    """What the server sent is no whole answer to the request."""


class ServerProtocol(ResponseHandler):
    """Reads one server connection.

    A message whose request id is not the expected one belongs to another request and is passed over; bytes
    that come after the answer, or while no request is out, end the connection.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.request_id: str | None = None  # of the request that is out
        self.reusable_until = 0.0  # by the event loop's clock; 0: the connection carried no answer yet
        self.idle_since = 0.0  # the same: the last answer's end; 0: there was none
        self._framing = AnswerFraming(False)
        self._accepted = False  # the head of the request's own answer came
        self._answered = False  # and its last byte
        self._ended_in_order = False  # the server has closed its side
        self._surplus = False  # something came that is no part of it
        self._lost_waiter: asyncio.Future[None] | None = None

    async def wait_for_loss(self, seconds: float) -> bool:
        """Wait; whether the connection is lost by then."""
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
        """Seconds since its last answer ended; 0 for a new connection."""
        return self._loop.time() - self.idle_since if self.idle_since else 0.0

    def begin(self, request_id: str, without_body: bool) -> None:
        """A request is about to be written; its answer is read next."""
        self.request_id = request_id
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
        """The answer was read whole: the connection is idle, unless something speaks against it."""
        self.request_id = None
        if self._surplus or not (self._answered or self._framing.ended):
            self.force_close()
        self.idle_since = self._loop.time()
        self.reusable_until = self.idle_since + idle_limit_seconds(message.headers.get(KEEP_ALIVE))

    def data_received(self, data: bytes) -> None:
        """Give the parser what belongs to an answer, part by part."""
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
            super().data_received(data[begin:end])
            begin = end
            if self._framing.ended:
                self._part_ended()
        if begin < len(data):
            self._surplus = True

    def feed_data(self, data: tuple[RawResponseMessage, StreamReader], size: int = 0) -> None:
        """Take a message's head, unless it belongs to another request."""
        message = data[0]
        if message.code >= 200:
            if message.headers.get(REQUEST_ID) != self.request_id:
                self._surplus = True
                if REQUEST_ID not in message.headers:
                    self.set_exception(AnswerBroken("no request id"))
                return
            self._accepted = True
        super().feed_data(data, size)

    def set_exception(self, exc: BaseException, *cause: Any) -> None:
        """End the answer: aiohttp does not tell its body's reader of every error."""
        super().set_exception(exc, *cause)
        self._fail_body(self._payload, exc)

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the answer, if it is not whole.

        Failure prevented: an answer without a length is reset on its way, and what has come of it passes for
        all of it, as aiohttp takes any end of the connection for the answer's.
        """
        payload = self._payload
        if self._accepted and self._framing.until_close and not self._ended_in_order:
            self._fail_body(payload, AnswerBroken("reset before its end"))
        super().connection_lost(exc)
        self._fail_body(payload, AnswerBroken("connection lost"))
        if self._lost_waiter is not None:
            _wake(self._lost_waiter)

    def eof_received(self) -> None:
        """The server writes no more, which ends an answer without a length."""
        self._ended_in_order = True
        super().eof_received()

    def is_connected(self) -> bool:
        """Whether the connection may carry the next request."""
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
    """How long a connection may be idle before its next request, by the server's `Keep-Alive`."""
    for part in (keep_alive or "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            told = float(value)
            return max(told - IDLE_MARGIN_SECONDS, told * LEAST_IDLE_FRACTION)
    return DEFAULT_IDLE_SECONDS


def _wake(waiter: asyncio.Future[None]) -> None:
    if not waiter.done():
        waiter.set_result(None)
