"""Large orders sent in parts, and replies that are matched to the link of their call."""

from __future__ import annotations

import asyncio
import unittest

from returns.result import Failure, Success

from brackenladder.control_plane.errors import Unavailable
from brackenladder.control_plane.forwarding import ReplyTable
from brackenladder.control_plane.messages import OrderOutcome, OrderPart, OrderPartReceived, OrderReply
from brackenladder.control_plane.order_parts import (
    MAX_ORDER_BYTES,
    MAX_PARTIAL_BYTES,
    MAX_PARTIAL_ORDERS,
    PART_BYTES,
    WINDOW_BYTES,
    OrderReceiver,
    OrderSender,
)

ORDER = bytes(range(256)) * 3_000
WAIT_SECONDS = 0.01


class OrderPartsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.receiver = OrderReceiver()

    def test_order_is_reassembled(self) -> None:
        sender = OrderSender(1, ORDER)
        whole = None
        while (parts := sender.next_parts()) and whole is None:
            for part in parts:
                reply = self.receiver.receive(part)
                if isinstance(reply, OrderPartReceived):
                    sender.acknowledged(reply.received)
                else:
                    whole = reply
        self.assertEqual(whole, ORDER)

    def test_window_limits_unacknowledged_bytes(self) -> None:
        sender = OrderSender(1, ORDER)
        self.assertEqual(sum(len(part.data) for part in sender.next_parts()), WINDOW_BYTES)
        self.assertEqual(sender.next_parts(), [])
        sender.acknowledged(PART_BYTES)
        self.assertEqual(len(sender.next_parts()), 1)

    def test_part_out_of_sequence_drops_the_order(self) -> None:
        first, second, third, *_ = OrderSender(1, ORDER).next_parts()
        self.receiver.receive(first)
        self.assertIsNone(self.receiver.receive(third))
        self.assertIsNone(self.receiver.receive(second))

    def test_too_large_order_is_refused(self) -> None:
        self.assertIsNone(self.receiver.receive(OrderPart(1, 0, MAX_ORDER_BYTES + 1, b"x")))

    def test_number_of_partial_orders_is_limited(self) -> None:
        for request in range(MAX_PARTIAL_ORDERS + 5):
            self.receiver.receive(OrderPart(request, 0, 100, b"x"))
        self.assertEqual(len(self.receiver._partial), MAX_PARTIAL_ORDERS)

    def test_bytes_of_partial_orders_are_limited_but_the_newest_continues(self) -> None:
        size = MAX_ORDER_BYTES // 4
        for request in range(MAX_PARTIAL_ORDERS):
            for offset in range(0, size, PART_BYTES):
                self.receiver.receive(OrderPart(request, offset, MAX_ORDER_BYTES, bytes(PART_BYTES)))
        partial_bytes = {request: len(partial.data) for request, partial in self.receiver._partial.items()}
        self.assertLessEqual(sum(partial_bytes.values()), MAX_PARTIAL_BYTES)
        self.assertIn(MAX_PARTIAL_ORDERS - 1, partial_bytes)
        self.assertNotIn(0, partial_bytes)

    def test_dropped_order_cannot_be_completed(self) -> None:
        first, second, *_ = OrderSender(1, ORDER).next_parts()
        self.receiver.receive(first)
        self.receiver._partial.clear()
        self.assertIsNone(self.receiver.receive(second))


class ReplyTableTest(unittest.IsolatedAsyncioTestCase):
    """Links are compared by identity only, so any object can stand for one."""

    async def asyncSetUp(self) -> None:
        self.table = ReplyTable()
        self.link, self.other = object(), object()
        self.leader_changed = asyncio.Event()

    async def reply(self, request: int) -> object:
        return await self.table.wait(request, OrderReply, self.leader_changed, WAIT_SECONDS)

    async def test_reply_on_the_link_of_the_call_is_accepted(self) -> None:
        request = self.table.open(self.link)
        answer = OrderReply(request, OrderOutcome.ACCEPTED, 3)
        self.table.resolve(self.link, answer)
        self.assertEqual(await self.reply(request), Success(answer))

    async def test_reply_on_another_link_is_ignored(self) -> None:
        request = self.table.open(self.link)
        self.table.resolve(self.other, OrderReply(request, OrderOutcome.ACCEPTED, 3))
        self.assertEqual(await self.reply(request), Failure(Unavailable.TIMEOUT))

    async def test_second_reply_is_ignored(self) -> None:
        request = self.table.open(self.link)
        first = OrderReply(request, OrderOutcome.ACCEPTED, 3)
        self.table.resolve(self.link, first)
        self.table.resolve(self.link, OrderReply(request, OrderOutcome.CONFLICT, 4))
        self.assertEqual(await self.reply(request), Success(first))

    async def test_reply_after_the_call_has_ended_is_ignored(self) -> None:
        request = self.table.open(self.link)
        await self.reply(request)
        self.table.resolve(self.link, OrderReply(request, OrderOutcome.ACCEPTED, 3))
        self.assertEqual(self.table._waiting, {})
