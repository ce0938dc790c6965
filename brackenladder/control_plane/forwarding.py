"""Calls from this control node to another one, over the links between nodes."""

from __future__ import annotations

import asyncio
from typing import TypeVar

from attrs import frozen
from returns.result import Failure, Result, Success

from brackenladder.control_plane.errors import Unavailable
from brackenladder.control_plane.messages import OrderReply, ReadReply
from brackenladder.transport.link import Link

ReplyType = TypeVar("ReplyType", OrderReply, ReadReply)


@frozen
class _PendingCall:
    """A call sent over a link. Only a reply over the same link is accepted."""

    link: Link
    reply: asyncio.Future[object]


class ReplyTable:
    """The calls that are waiting for a reply, by request number."""

    def __init__(self) -> None:
        self._last = 0
        self._waiting: dict[int, _PendingCall] = {}

    def open(self, link: Link) -> int:
        """Registers a call over a link, and returns its request number."""
        self._last += 1
        self._waiting[self._last] = _PendingCall(link, asyncio.get_running_loop().create_future())
        return self._last

    def abort(self, request: int) -> Failure[Unavailable]:
        """Removes a call that could not be sent."""
        del self._waiting[request]
        return Failure(Unavailable.LOST)

    def resolve(self, link: Link, reply: OrderReply | ReadReply) -> None:
        """Handles a reply. It is ignored if no call waits for it on this link."""
        waiting = self._waiting.get(reply.request)
        if waiting is not None and waiting.link is link and not waiting.reply.done():
            waiting.reply.set_result(reply)

    async def wait(
        self, request: int, reply_type: type[ReplyType], leader_changed: asyncio.Event, timeout: float
    ) -> Result[ReplyType, Unavailable]:
        """Waits for the reply; fails after `timeout` seconds or if the leader changes."""
        reply_future = self._waiting[request].reply
        change = asyncio.ensure_future(leader_changed.wait())
        try:
            await asyncio.wait((reply_future, change), timeout=timeout, return_when=asyncio.FIRST_COMPLETED)
        finally:
            change.cancel()
            del self._waiting[request]
        if not reply_future.done():
            return Failure(Unavailable.LOST if leader_changed.is_set() else Unavailable.TIMEOUT)
        reply = reply_future.result()
        return Success(reply) if isinstance(reply, reply_type) else Failure(Unavailable.LOST)
