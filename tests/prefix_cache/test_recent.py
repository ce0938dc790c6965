"""The counts of prefix uses, compared with exact counts."""

from __future__ import annotations

import unittest
from collections import defaultdict
from random import Random

from brackenladder.prefix_cache.messages import PrefixNotice
from brackenladder.prefix_cache.recent import HALF_LIFE, LONGEST_AGE, MAX_PREFIXES, RecentPrefixes

AT = 500_000_000


def notice(server: int, key: int, shared: int = 3_000) -> PrefixNotice:
    return PrefixNotice(server, (key,), (shared,))


class RecentPrefixesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.recent = RecentPrefixes()

    def test_weight_is_tokens_times_decayed_uses(self) -> None:
        self.recent.add(AT, notice(1, 7))
        self.recent.add(AT + HALF_LIFE, notice(1, 7))
        self.assertAlmostEqual(self.recent.weight(AT + HALF_LIFE, 1, 7), 3_000 * 1.5)
        self.assertAlmostEqual(self.recent.weight(AT + 2 * HALF_LIFE, 1, 7), 3_000 * 0.75)

    def test_a_snapshot_has_the_highest_weights_without_uncached_tokens(self) -> None:
        self.recent.add(AT, PrefixNotice(1, (7,), (9_000,), uncached_tokens=9_000))
        self.recent.add(AT + 1, notice(1, 8, shared=1_000))
        self.recent.add(AT + 2, notice(2, 9, shared=5_000))
        snapshot = self.recent.snapshot(AT + 10, most=2)
        self.assertEqual(
            [(each.keys, each.uncached_tokens, each.age) for each in snapshot], [((7,), 0, 10), ((9,), 0, 8)]
        )

    def test_unused_prefixes_are_dropped(self) -> None:
        self.recent.add(AT, notice(1, 7))
        self.assertEqual(self.recent.snapshot(AT + LONGEST_AGE + 1, most=5), ())
        self.assertEqual(len(self.recent), 0)

    def test_a_notice_about_load_only_is_ignored(self) -> None:
        self.recent.add(AT, PrefixNotice(1, uncached_tokens=9_000))
        self.assertEqual(len(self.recent), 0)

    def test_counts_are_never_too_high_and_exact_for_pairs_never_dropped(self) -> None:
        random = Random(3)
        exact: dict[int, float] = defaultdict(float)
        used_at: dict[int, int] = {}
        now = AT
        for _ in range(20_000):
            now += random.randrange(2_000)
            key = int(random.paretovariate(0.6)) % 5_000
            exact[key] = 1 + exact[key] * 0.5 ** ((now - used_at.get(key, now)) / HALF_LIFE)
            used_at[key] = now
            self.recent.add(now, notice(1, key, shared=1))
        self.assertEqual(len(self.recent), MAX_PREFIXES)
        for key, count in exact.items():
            decayed = count * 0.5 ** ((now - used_at[key]) / HALF_LIFE)
            self.assertLessEqual(self.recent.weight(now, 1, key), decayed * (1 + 1e-9))
        heaviest = max(exact, key=lambda key: exact[key] * 0.5 ** ((now - used_at[key]) / HALF_LIFE))
        decayed = exact[heaviest] * 0.5 ** ((now - used_at[heaviest]) / HALF_LIFE)
        self.assertAlmostEqual(self.recent.weight(now, 1, heaviest), decayed)
