"""The sum of all gateways' repeats, in any window."""

from __future__ import annotations

import unittest
from bisect import bisect_right
from random import Random

from brackenladder.shares.retry_budget import BudgetBound, RetryBudget

SECOND = 1_000_000
BOUND = BudgetBound(ratio=0.2, slack=54, window=10 * SECOND)


def within(times: list[int], start: int, end: int) -> int:
    """How many times lie after `start` and up to `end`."""
    return bisect_right(times, end) - bisect_right(times, start)


class RetryBudgetTest(unittest.TestCase):
    def test_the_sum_over_the_gateways_stays_under_the_bound(self) -> None:
        for gateways in (1, 7, 89):
            rng = Random(gateways)
            requests: list[int] = []
            repeats: list[int] = []
            for _ in range(gateways):
                budget = RetryBudget(BOUND)
                now = 0
                while now < 40 * SECOND:
                    now += int(rng.expovariate(4.0 if now < 20 * SECOND else 0.5) * SECOND)
                    budget.request(now)
                    requests.append(now)
                    for _ in range(3):  # everything fails, and again
                        if budget.spend(now, gateways):
                            repeats.append(now)
            requests.sort()
            repeats.sort()
            for end in repeats:
                start = end - BOUND.window
                allowed = BOUND.ratio * within(requests, start, end) + BOUND.slack
                self.assertLessEqual(within(repeats, start, end), allowed)
            self.assertGreater(len(repeats), 0.3 * BOUND.slack)

    def test_what_was_spent_comes_back_after_the_window(self) -> None:
        budget = RetryBudget(BOUND)
        spent = 0
        while budget.spend(0, 7):
            spent += 1
        self.assertEqual(spent, 5)  # 0.7 of 54, by 7
        self.assertFalse(budget.spend(BOUND.window - 1, 7))
        self.assertTrue(budget.spend(BOUND.window, 7))

    def test_gateways_that_all_restart_twice_in_a_window_stay_under_the_slack(self) -> None:
        """A process doesn't know what the one before it has spent in the window that still counts."""
        bound = BudgetBound(ratio=0, slack=54, window=10 * SECOND)
        repeats = 0
        for _ in range(7):
            for start, age in ((0, 20 * SECOND), (23 * SECOND, 2 * SECOND), (25 * SECOND, 2 * SECOND)):
                budget = RetryBudget(bound, started_at=start)
                while budget.spend(start + age, 7):
                    repeats += 1
        self.assertLessEqual(repeats, bound.slack)

    def test_a_process_has_its_whole_part_after_its_first_window(self) -> None:
        budget = RetryBudget(BudgetBound(ratio=0, slack=54, window=10 * SECOND), started_at=5 * SECOND)
        self.assertTrue(budget.spend(6 * SECOND, 7))
        self.assertFalse(budget.spend(14 * SECOND, 7))
        self.assertTrue(budget.spend(15 * SECOND, 7))

    def test_requests_earn_for_one_window(self) -> None:
        budget = RetryBudget(BudgetBound(ratio=0.2, slack=0, window=10 * SECOND))
        for _ in range(10):
            budget.request(0)
        self.assertTrue(budget.spare(5 * SECOND, 1))
        self.assertFalse(budget.spare(10 * SECOND, 1))

    def test_a_repeat_that_was_not_sent_is_given_back(self) -> None:
        budget = RetryBudget(BudgetBound(ratio=0, slack=2, window=10 * SECOND))
        self.assertTrue(budget.spend(0, 1))
        self.assertFalse(budget.spend(0, 1))
        budget.give_back()
        self.assertTrue(budget.spend(0, 1))

    def test_memory_is_bounded(self) -> None:
        budget = RetryBudget(BOUND)
        for now in range(0, 100 * SECOND, SECOND // 1000):
            budget.request(now)
        self.assertLessEqual(len(budget._slices), 51)


if __name__ == "__main__":
    unittest.main()
