"""Notices that come before their servers are known."""

from __future__ import annotations

import unittest

from brackenladder.prefix_cache.early import KEPT_TIME, MOST_KEPT, EarlyNotices
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
        self.assertEqual((taken.server, taken.age, taken.unread), (1, 50, 0))
        self.assertTrue(self.early)
        self.assertEqual([one.server for one in self.early.take(AT + 20, lambda server: True)], [2])
        self.assertFalse(self.early)

    def test_it_is_kept_for_a_while_only(self) -> None:
        self.early.add(AT, [notice(1)])
        self.assertEqual(self.early.take(AT + KEPT_TIME, lambda server: False), [])
        self.assertTrue(self.early)
        self.assertEqual(self.early.take(AT + KEPT_TIME + 1, lambda server: True), [])
        self.assertFalse(self.early)

    def test_how_many_are_kept_is_bounded(self) -> None:
        self.early.add(AT, [notice(number) for number in range(MOST_KEPT + 5)])
        taken = self.early.take(AT, lambda server: True)
        self.assertEqual([one.server for one in taken], list(range(5, MOST_KEPT + 5)))
