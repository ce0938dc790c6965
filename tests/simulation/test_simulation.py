"""Schedules of every profile hold, and a seed gives the same run again."""

from __future__ import annotations

from unittest import TestCase

from brackenladder.simulation.profiles import PROFILES
from brackenladder.simulation.run import run

SCHEDULES = 6  # of each profile; the command line plays many more


class ProfileTest(TestCase):
    def check(self, name: str) -> None:
        results = [run(PROFILES[name], seed) for seed in range(SCHEDULES)]
        self.assertEqual([result for result in results if result.rule], [])
        self.assertGreater(sum(result.acknowledged for result in results), 10 * SCHEDULES)

    def test_isolation(self) -> None:
        self.check("isolation")

    def test_orders(self) -> None:
        self.check("orders")

    def test_members(self) -> None:
        self.check("members")

    def test_snapshots(self) -> None:
        self.check("snapshots")

    def test_answers(self) -> None:
        self.check("answers")

    def test_mixed(self) -> None:
        self.check("mixed")

    def test_a_seed_gives_the_same_run_again(self) -> None:
        self.assertEqual(run(PROFILES["isolation"], 1), run(PROFILES["isolation"], 1))
