"""Which placements a gateway tells the others."""

from __future__ import annotations

import unittest

from brackenladder.prefix_cache.announcer import (
    LEAST_SHARED,
    LEAST_UNREAD,
    MOST_NOTICES,
    MOST_REMEMBERED,
    REPEAT_AFTER,
    PrefixAnnouncer,
)
from brackenladder.prefix_cache.messages import PrefixNotice

AT = 50_000_000


class AnnouncerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.asked = 0
        self.announcer = PrefixAnnouncer(self.ask)

    def ask(self) -> None:
        self.asked += 1

    def placed(
        self, now: int = AT, server: int = 1, key: int = 7, shared: int = 3_000, unread: int = 0
    ) -> None:
        self.announcer.record_placement(now, server, (5, key), (LEAST_SHARED // 2, shared), unread)

    def told(self) -> list[PrefixNotice]:
        message = self.announcer.take()
        return list(message.notices) if message is not None else []

    def test_a_prefix_is_told_once_in_a_while(self) -> None:
        self.placed()
        self.assertEqual(self.told(), [PrefixNotice(1, (5, 7), (LEAST_SHARED // 2, 3_000))])
        self.placed(AT + REPEAT_AFTER - 1)
        self.assertEqual(self.told(), [])
        self.placed(AT + REPEAT_AFTER)
        self.assertEqual(len(self.told()), 1)

    def test_another_server_or_prefix_is_told_by_itself(self) -> None:
        self.placed()
        self.placed(server=2)
        self.placed(key=8)
        self.assertEqual([(n.server, n.keys[-1]) for n in self.told()], [(1, 7), (2, 7), (1, 8)])

    def test_what_another_gateway_told_is_not_told_again(self) -> None:
        self.announcer.record_received(AT, PrefixNotice(1, (5, 7), (500, 3_000), age=1_000_000))
        self.placed(AT + REPEAT_AFTER - 1_000_001)
        self.assertEqual(self.told(), [])
        self.placed(AT + REPEAT_AFTER - 1_000_000)
        self.assertEqual(len(self.told()), 1)

    def test_a_short_prefix_is_not_worth_a_notice(self) -> None:
        self.placed(shared=LEAST_SHARED // 2 - 1)
        self.announcer.record_placement(AT, 1, (), (), LEAST_UNREAD - 1)
        self.assertEqual(self.told(), [])

    def test_a_long_prompt_is_told_for_its_load_whatever_it_shares(self) -> None:
        self.announcer.record_placement(AT, 1, (), (), LEAST_UNREAD)
        self.placed(shared=1, unread=LEAST_UNREAD)
        self.placed()
        self.told()
        self.placed(unread=LEAST_UNREAD)  # its prefix was told a moment ago
        self.assertEqual([notice.unread for notice in self.told()], [LEAST_UNREAD])

    def test_the_host_is_asked_once_for_each_message(self) -> None:
        for server in range(5):
            self.placed(server=server)
        self.assertEqual(self.asked, 1)
        self.told()
        self.placed(server=9)
        self.assertEqual(self.asked, 2)

    def test_a_message_holds_the_heaviest_in_their_order(self) -> None:
        for server in range(2 * MOST_NOTICES):
            self.placed(server=server, shared=10_000 if server % 2 else 2_000)
        told = self.told()
        self.assertEqual([notice.server for notice in told], list(range(1, 2 * MOST_NOTICES, 2)))

    def test_what_is_remembered_is_bounded(self) -> None:
        for server in range(MOST_REMEMBERED + 10):
            self.placed(server=server)
        self.assertEqual(len(self.announcer._told_at), MOST_REMEMBERED)
