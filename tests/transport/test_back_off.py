"""The pauses between two attempts to connect."""

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

    def test_a_process_that_restarts_is_found_soon(self) -> None:
        self.assertLessEqual(max(self.pauses(TIMING.refused_tries, refused=True)), TIMING.refused_pause)

    def test_one_that_stays_away_is_dialled_as_seldom_as_any(self) -> None:
        self.pauses(TIMING.refused_tries + 10, refused=True)
        self.assertGreaterEqual(min(self.pauses(5, refused=True)), TIMING.retry_max / 2)

    def test_after_a_silence_refusals_count_anew(self) -> None:
        self.pauses(TIMING.refused_tries, refused=True)
        self.pauses(1, refused=False)
        self.assertLessEqual(max(self.pauses(TIMING.refused_tries, refused=True)), TIMING.refused_pause)

    def test_a_link_that_stood_makes_pauses_short_again(self) -> None:
        self.pauses(10, refused=False)
        self.back_off.reset()
        self.assertLessEqual(self.back_off.pause(), TIMING.retry_min)
