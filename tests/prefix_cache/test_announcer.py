"""Which placements a gateway announces to the others."""

from __future__ import annotations

import unittest

from brackenladder.prefix_cache.announcer import (
    LEAST_SHARED,
    LEAST_UNCACHED,
    MAX_NOTICES,
    MAX_REMEMBERED,
    REPEAT_AFTER,
    PrefixAnnouncer,
)
from brackenladder.prefix_cache.messages import PrefixNotice

AT = 50_000_000


class AnnouncerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.callbacks = 0
        self.announcer = PrefixAnnouncer(self.on_pending)

    def on_pending(self) -> None:
        self.callbacks += 1

    def place(
        self, now: int = AT, server: int = 1, key: int = 7, shared: int = 3_000, uncached_tokens: int = 0
    ) -> None:
        self.announcer.record_placement(now, server, (5, key), (LEAST_SHARED // 2, shared), uncached_tokens)

    def announced(self) -> list[PrefixNotice]:
        message = self.announcer.take()
        return list(message.notices) if message is not None else []

    def test_a_prefix_is_announced_once_per_interval(self) -> None:
        self.place()
        self.assertEqual(self.announced(), [PrefixNotice(1, (5, 7), (LEAST_SHARED // 2, 3_000))])
        self.place(AT + REPEAT_AFTER - 1)
        self.assertEqual(self.announced(), [])
        self.place(AT + REPEAT_AFTER)
        self.assertEqual(len(self.announced()), 1)

    def test_another_server_or_prefix_is_announced_separately(self) -> None:
        self.place()
        self.place(server=2)
        self.place(key=8)
        self.assertEqual([(n.server, n.keys[-1]) for n in self.announced()], [(1, 7), (2, 7), (1, 8)])

    def test_a_prefix_announced_by_another_gateway_is_not_announced_again(self) -> None:
        self.announcer.record_received(AT, PrefixNotice(1, (5, 7), (500, 3_000), age=1_000_000))
        self.place(AT + REPEAT_AFTER - 1_000_001)
        self.assertEqual(self.announced(), [])
        self.place(AT + REPEAT_AFTER - 1_000_000)
        self.assertEqual(len(self.announced()), 1)

    def test_a_short_prefix_is_not_announced(self) -> None:
        self.place(shared=LEAST_SHARED // 2 - 1)
        self.announcer.record_placement(AT, 1, (), (), LEAST_UNCACHED - 1)
        self.assertEqual(self.announced(), [])

    def test_a_prompt_with_a_long_prefill_is_announced_whatever_it_shares(self) -> None:
        self.announcer.record_placement(AT, 1, (), (), LEAST_UNCACHED)
        self.place(shared=1, uncached_tokens=LEAST_UNCACHED)
        self.place()
        self.announced()
        self.place(uncached_tokens=LEAST_UNCACHED)  # its prefix has just been announced
        self.assertEqual([notice.uncached_tokens for notice in self.announced()], [LEAST_UNCACHED])

    def test_the_host_is_called_back_once_per_message(self) -> None:
        for server in range(5):
            self.place(server=server)
        self.assertEqual(self.callbacks, 1)
        self.announced()
        self.place(server=9)
        self.assertEqual(self.callbacks, 2)

    def test_a_message_has_the_notices_of_highest_weight_in_order(self) -> None:
        for server in range(2 * MAX_NOTICES):
            self.place(server=server, shared=10_000 if server % 2 else 2_000)
        announced = self.announced()
        self.assertEqual([notice.server for notice in announced], list(range(1, 2 * MAX_NOTICES, 2)))

    def test_the_number_of_remembered_prefixes_is_bounded(self) -> None:
        for server in range(MAX_REMEMBERED + 10):
            self.place(server=server)
        self.assertEqual(len(self.announcer._announced_at), MAX_REMEMBERED)
