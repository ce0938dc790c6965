"""Forwards a response to the client as it arrives, and resumes a broken stream at another server."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from aiohttp import web

from brackenladder.gateway.calls import GatewayCall
from brackenladder.gateway.contracts import ClientExchange
from brackenladder.gateway.events import EventTooLarge
from brackenladder.gateway.open_answer import OpenAnswer
from brackenladder.gateway.resume import EventOrder, resume
from brackenladder.gateway.server_protocol import AnswerBroken

US_PER_S = 1e6
US_PER_MS = 1000
DEADLINE_MARGIN = 250_000  # microseconds after the client's deadline at which its stream is aborted
# Multiples of the target gap between events; a longer pause makes the stream count as stalled.
STALL_EVENT_GAPS = 3
MIN_STALL = 800_000  # microseconds; a shorter pause never counts as a stall


class StreamStalled(Exception):
    """A stream has paused so long that it should be resumed at another server."""


class RelayedResponse(web.StreamResponse):
    """Sends its head together with the first bytes of its body."""

    _send_headers_immediately = False


class Relay:
    """Copies a response to its client as it arrives; a resumable stream may continue at another server."""

    def __init__(
        self,
        exchange: ClientExchange,
        call: GatewayCall,
        answer: OpenAnswer,
        successor_call: Callable[[GatewayCall, int, int], GatewayCall],
    ) -> None:
        self.exchange = exchange
        self.call = call
        self.answer = answer
        self.order = EventOrder()
        self._successor_call = successor_call
        self._tracks_order = answer.streaming and exchange.route.resumable
        # No other server could take over a stalled stream: the relay waits for the current server.
        self._no_successor = False
        self._last_data_at = 0

    async def run(self) -> web.StreamResponse:
        """Relay to the end. If the response can't be completed, the client's connection is aborted."""
        exchange = self.exchange
        answer = self.answer
        response = RelayedResponse(status=answer.status, reason=answer.reason, headers=answer.headers)
        exchange.finished(response)
        complete = False
        left = exchange.client_deadline + DEADLINE_MARGIN - exchange.context.now()
        try:
            async with asyncio.timeout(left / US_PER_S):
                await response.prepare(exchange.request)
                complete = await self._forward_all(response)
        except TimeoutError:
            exchange.context.failures("stream aborted at its deadline", self.answer.server_id)
        except ConnectionError:  # the client has disconnected
            pass
        finally:
            self._end()
        if not complete:
            self._abort_client()
        return exchange.finished(response)  # the gateway may have begun to drain after the head was sent

    async def _forward_all(self, response: web.StreamResponse) -> bool:
        """Forward all data; False if the response breaks and can't be resumed."""
        while True:
            try:
                data = await self._read()
            except (AnswerBroken, EventTooLarge) as error:
                self.exchange.context.failures("stream broken", f"{self.answer.server_id}: {error}")
                self._end()
                if not await self._resume_elsewhere():
                    return False
                continue
            except StreamStalled:
                self._no_successor = not await self._resume_elsewhere()
                continue
            if not data:
                return True
            self._last_data_at = self.exchange.context.now()
            if self._tracks_order:
                data = self.order.pass_on(data)
            if data:
                await response.write(data)

    async def _read(self) -> bytes:
        if self._no_successor or not self._may_resume():
            return await self.answer.read()
        gap = self.exchange.route.gap_aim_ms * US_PER_MS
        stall_time = max(STALL_EVENT_GAPS * gap, MIN_STALL)
        try:
            async with asyncio.timeout(stall_time / US_PER_S):
                return await self.answer.read()
        except TimeoutError:
            raise StreamStalled from None

    def _may_resume(self) -> bool:
        return self._tracks_order and self.order.last_id is not None and self.exchange.may_resume()

    async def _resume_elsewhere(self) -> bool:
        """Continue with the stream of another server, if one takes it, and close the current response."""
        last_id = self.order.last_id
        if last_id is None or not self._may_resume():
            return False
        exchange = self.exchange
        now = exchange.context.now()
        silent_at = self._last_data_at + exchange.max_silence
        left = min(silent_at, exchange.client_deadline) - now
        successor = await resume(self._successor_call(self.call, last_id, max(0, left)))
        if successor is None:
            return False
        self._end()
        self.call = successor.call
        self.answer = successor.answer
        self._no_successor = False
        return True

    def _end(self) -> None:
        """Close the current server's response, complete or not."""
        self.answer.close()
        self.call.end_stream()

    def _abort_client(self) -> None:
        """Abort the client's connection, so that it sees that the response is incomplete."""
        transport = self.exchange.request.transport
        if transport is not None:
            transport.abort()
