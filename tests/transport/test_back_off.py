"""Tests of the pauses between connection attempts."""

from __future__ import annotations

import unittest
from random import Random

from brackenladder.transport.dialer import BackOff
from brackenladder.transport.link import LinkTiming

TIMING = LinkTiming()


class BackOffTest(unittest.TestCase):
    def setUp(self) -> None:
        self.back_off = BackOff(TIMING, Random(1))

    def pauses(self, count: int, refused: bool) -> list[int]:
        return [self.back_off.pause(refused) for _ in range(count)]

    def test_pauses_grow_up_to_a_bound(self) -> None:
        pauses = self.pauses(20, refused=False)
        self.assertLessEqual(pauses[0], TIMING.retry_min)
        self.assertLessEqual(max(pauses), TIMING.retry_max)
        self.assertGreaterEqual(min(pauses[-5:]), TIMING.retry_max / 2)

    def test_pauses_stay_short_after_the_first_refusals(self) -> None:
        self.assertLessEqual(max(self.pauses(TIMING.refused_tries, refused=True)), TIMING.refused_pause)

    def test_after_many_refusals_the_pauses_grow_as_for_other_failures(self) -> None:
        self.pauses(TIMING.refused_tries + 10, refused=True)
        self.assertGreaterEqual(min(self.pauses(5, refused=True)), TIMING.retry_max / 2)

    def test_another_failure_resets_the_count_of_refusals(self) -> None:
        self.pauses(TIMING.refused_tries, refused=True)
        self.pauses(1, refused=False)
        self.assertLessEqual(max(self.pauses(TIMING.refused_tries, refused=True)), TIMING.refused_pause)

    def test_reset_makes_the_pauses_short_again(self) -> None:
        self.pauses(10, refused=False)
        self.back_off.reset()
        self.assertLessEqual(self.back_off.pause(), TIMING.retry_min)
