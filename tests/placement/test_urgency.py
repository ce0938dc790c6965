"""How urgent a request is among the others at its server."""

from __future__ import annotations

import unittest

from placement.placement_stage import route

from brackenladder.placement.urgency import LEAST_URGENT, MOST_URGENT, urgency_of


class UrgencyTest(unittest.TestCase):
    def test_the_routes_priority_where_prompts_are_short(self) -> None:
        self.assertEqual([urgency_of(route(priority=p), 500, resumed=False) for p in (0, 1, 5)], [0, 1, 5])

    def test_a_long_prompt_follows_short_ones(self) -> None:
        steps = [urgency_of(route(priority=1), tokens, resumed=False) for tokens in (0, 1024, 4096, 16384)]
        self.assertEqual(steps, [1, 2, 3, 4])

    def test_the_longest_stay_within_the_steps(self) -> None:
        self.assertEqual(urgency_of(route(priority=1), 10_000_000, resumed=False), 4)
        self.assertEqual(urgency_of(route(priority=9), 10_000_000, resumed=False), LEAST_URGENT)

    def test_a_stream_that_is_taken_up_goes_first(self) -> None:
        self.assertEqual(urgency_of(route(priority=2), 40_000, resumed=True), MOST_URGENT)
