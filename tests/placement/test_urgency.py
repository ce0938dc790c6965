"""The priority of requests at a server."""

from __future__ import annotations

import unittest

from placement.placement_stage import route

from brackenladder.placement.urgency import LEAST_URGENT, MOST_URGENT, urgency_of


class UrgencyTest(unittest.TestCase):
    def test_short_prompts_have_the_priority_of_their_route(self) -> None:
        self.assertEqual([urgency_of(route(priority=p), 500, resumed=False) for p in (0, 1, 5)], [0, 1, 5])

    def test_long_prompts_are_less_urgent(self) -> None:
        steps = [urgency_of(route(priority=1), tokens, resumed=False) for tokens in (0, 1024, 4096, 16384)]
        self.assertEqual(steps, [1, 2, 3, 4])

    def test_the_steps_by_length_are_limited(self) -> None:
        self.assertEqual(urgency_of(route(priority=1), 10_000_000, resumed=False), 4)
        self.assertEqual(urgency_of(route(priority=9), 10_000_000, resumed=False), LEAST_URGENT)

    def test_a_resumed_stream_is_most_urgent(self) -> None:
        self.assertEqual(urgency_of(route(priority=2), 40_000, resumed=True), MOST_URGENT)
