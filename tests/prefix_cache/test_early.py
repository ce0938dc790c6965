"""Notices that arrive before their servers are known."""

from __future__ import annotations

import unittest

from brackenladder.prefix_cache.early import HOLD_TIME, MAX_HELD, EarlyNotices
from brackenladder.prefix_cache.messages import PrefixNotice

AT = 50_000_000


def notice(server: int, age: int = 0) -> PrefixNotice:
    return PrefixNotice(server, (1,), (3_000,), uncached_tokens=9_000, age=age)


class EarlyNoticesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.early = EarlyNotices()

    def test_a_notice_waits_for_its_server_and_is_taken_once(self) -> None:
        self.early.add(AT, [notice(1, age=40), notice(2)])
        self.assertEqual(self.early.take(AT + 5, lambda server: False), [])
        (taken,) = self.early.take(AT + 10, lambda server: server == 1)
        self.assertEqual((taken.server, taken.age, taken.uncached_tokens), (1, 50, 0))
        self.assertTrue(self.early)
        self.assertEqual([one.server for one in self.early.take(AT + 20, lambda server: True)], [2])
        self.assertFalse(self.early)

    def test_a_notice_is_dropped_after_the_hold_time(self) -> None:
        self.early.add(AT, [notice(1)])
        self.assertEqual(self.early.take(AT + HOLD_TIME, lambda server: False), [])
        self.assertTrue(self.early)
        self.assertEqual(self.early.take(AT + HOLD_TIME + 1, lambda server: True), [])
        self.assertFalse(self.early)

    def test_the_number_of_held_notices_is_bounded(self) -> None:
        self.early.add(AT, [notice(number) for number in range(MAX_HELD + 5)])
        taken = self.early.take(AT, lambda server: True)
        self.assertEqual([one.server for one in taken], list(range(5, MAX_HELD + 5)))
