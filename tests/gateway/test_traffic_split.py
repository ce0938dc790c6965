"""Each target of a split gets the share of its weight, however the requests are distributed over sessions."""

from __future__ import annotations

from random import Random
from unittest import TestCase

from brackenladder.catalog.configuration import Target
from brackenladder.gateway.traffic_split import TrafficSplit

REQUESTS = 300
GATEWAYS = 7
WEIGHTS = ((90, 10), (50, 50), (1, 2, 3), (5, 0, 5), (0, 1))


def targets(weights: tuple[int, ...]) -> tuple[Target, ...]:
    return tuple(Target(f"s{number}", float(weight)) for number, weight in enumerate(weights))


class TrafficSplitTest(TestCase):
    def check(self, weights: tuple[int, ...], points: list[float]) -> None:
        """Spread requests over the gateways, and check the shares among the first and the last 200."""
        splits = [TrafficSplit(targets(weights)) for _ in range(GATEWAYS)]
        given = [splits[number % GATEWAYS].choose(point).service for number, point in enumerate(points)]
        for begin in (0, len(given) - 200):
            window = given[begin : begin + 200]
            for number, weight in enumerate(weights):
                share = window.count(f"s{number}") / len(window)
                self.assertAlmostEqual(share, weight / sum(weights), delta=0.08)

    def test_one_session_alone(self) -> None:
        for weights in WEIGHTS:
            for point in (0.0, 0.3, 0.95):
                with self.subTest(weights=weights, point=point):
                    self.check(weights, [point] * REQUESTS)

    def test_few_sessions_of_different_weight(self) -> None:
        random = Random(5)
        sessions = [random.random() for _ in range(20)]
        popularity = [1 / (rank + 1) for rank in range(20)]
        for weights in WEIGHTS:
            with self.subTest(weights=weights):
                self.check(weights, random.choices(sessions, popularity, k=REQUESTS))

    def test_requests_without_sessions(self) -> None:
        random = Random(6)
        for weights in WEIGHTS:
            with self.subTest(weights=weights):
                self.check(weights, [random.random() for _ in range(REQUESTS)])

    def test_a_target_without_weight_gets_no_requests(self) -> None:
        for weights in ((0, 5), (5, 0), (3, 0, 2)):
            split = TrafficSplit(targets(weights))
            given = {split.choose(point / 50).service for point in range(50)}
            self.assertEqual(given, {f"s{number}" for number, weight in enumerate(weights) if weight})

    def test_most_sessions_stay_at_their_target(self) -> None:
        random = Random(7)
        split = TrafficSplit(targets((50, 50)))
        sessions = [(number + 0.5) / 200 for number in range(200)]
        stayed = [
            split.choose(point).service == ("s0" if point < 0.5 else "s1")
            for point in random.choices(sessions, k=1_000)
        ]
        self.assertGreater(sum(stayed), 500)
