"""Unit tests of the parts of the placement package."""

from __future__ import annotations

import unittest
from random import Random

from placement_stage import MS, SECOND, traits

from brackenladder.placement.estimate import OutputTime, PrefillRate
from brackenladder.placement.load import PRESSURE_TIME, ServerLoad
from brackenladder.placement.prefixes import MAX_PARTS, CachedPrefixes, chain_of, shared_tokens_of
from brackenladder.placement.regions import FADE, RegionTimes
from brackenladder.placement.rendezvous import affinity_key
from brackenladder.placement.traits import PromptPart


def parts(*names: str) -> tuple[PromptPart, ...]:
    return tuple([PromptPart(name, 100) for name in names])


class CachedPrefixesTest(unittest.TestCase):
    def test_a_part_is_cached_only_after_the_parts_before_it(self) -> None:
        cache = CachedPrefixes()
        cache.add(chain_of("m", parts("a", "b", "c")), 1000)
        self.assertEqual(cache.cached_tokens(chain_of("m", parts("a", "b", "x"))), 200)
        self.assertEqual(cache.cached_tokens(chain_of("m", parts("b", "c"))), 0)
        self.assertEqual(cache.cached_tokens(chain_of("other", parts("a", "b"))), 0)

    def test_the_least_recently_used_links_are_evicted_from_the_end_of_a_chain(self) -> None:
        cache = CachedPrefixes()
        cache.add(chain_of("m", parts("a", "b", "c")), 500)
        cache.add(chain_of("m", parts("x", "y")), 500)
        cache.add(chain_of("m", parts("a", "z")), 500)
        self.assertEqual(cache.tokens, 500)
        self.assertEqual(cache.cached_tokens(chain_of("m", parts("a", "b", "c"))), 200)
        self.assertEqual(cache.cached_tokens(chain_of("m", parts("x", "y"))), 200)

    def test_the_number_of_links_is_bounded(self) -> None:
        cache = CachedPrefixes()
        for number in range(3 * MAX_PARTS):
            cache.add(chain_of("m", (PromptPart(str(number), 1),)), 10**9)
        self.assertEqual(len(cache.links), MAX_PARTS)

    def test_the_subject_is_the_last_shared_part(self) -> None:
        one, two = traits("subject", "one"), traits("subject", "two")
        self.assertEqual(affinity_key(one), affinity_key(two))
        self.assertNotEqual(affinity_key(one), affinity_key(traits("another", "one")))
        self.assertIsNone(affinity_key(traits()))
        self.assertEqual(shared_tokens_of(one), 4500)


class EstimateTest(unittest.TestCase):
    def test_the_prefill_rate_is_learned_through_noise(self) -> None:
        for true in (0.02, 0.0426, 0.15):
            rate = PrefillRate()
            rng = Random(2)
            found = []
            for _ in range(600):
                tokens = rng.choice((300, 1800, 5000, 9000))
                rate.add(tokens, 30 * MS + tokens / true + rng.expovariate(1 / (20 * MS)))
                found.append(rate.rate / true)
            self.assertAlmostEqual(sum(found[300:]) / 300, 1, delta=0.1)

    def test_prompts_of_one_size_do_not_change_the_rate(self) -> None:
        rate = PrefillRate()
        rng = Random(2)
        for _ in range(1000):
            rate.add(500, rng.uniform(10, 200) * MS)
        self.assertTrue(0.02 < rate.rate < 0.08)

    def test_the_time_per_output_token_is_learned(self) -> None:
        output = OutputTime()
        for _ in range(200):
            output.add(100, 700 * MS)
        self.assertAlmostEqual(output.time(10) / MS, 70, delta=2)
        output.add(0, 700 * MS)


class RegionTimesTest(unittest.TestCase):
    def test_a_region_without_calls_is_assumed_to_be_at_its_best(self) -> None:
        times = RegionTimes()
        for _ in range(50):
            times.record(0, "near", 3.0)
        self.assertGreater(times.ratio(0, "near"), 2.5)
        self.assertLess(times.ratio(0, "far"), 0.2)
        self.assertLess(times.ratio(FADE, "near"), 0.2)
        self.assertLess(times.ratio(FADE // 2, "near"), times.ratio(0, "near"))


class ServerLoadTest(unittest.TestCase):
    def test_the_pressure_decays_after_a_rejected_call(self) -> None:
        load = ServerLoad()
        self.assertEqual(load.rejection_pressure(0), 0)
        load.rejected_at = 5 * SECOND
        self.assertEqual(load.rejection_pressure(5 * SECOND), 1)
        self.assertEqual(load.rejection_pressure(5 * SECOND + PRESSURE_TIME), 0)


if __name__ == "__main__":
    unittest.main()
