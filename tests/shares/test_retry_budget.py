"""The number of retries of all gateways together in any window."""

from __future__ import annotations

import unittest
from bisect import bisect_right
from random import Random

from brackenladder.shares.retry_budget import BudgetBound, RetryBudget

SECOND = 1_000_000
BOUND = BudgetBound(ratio=0.2, slack=54, window=10 * SECOND)


def within(times: list[int], start: int, end: int) -> int:
    """The number of times after `start` and up to `end`."""
    return bisect_right(times, end) - bisect_right(times, start)


class RetryBudgetTest(unittest.TestCase):
    def test_the_retries_of_all_gateways_stay_below_the_bound(self) -> None:
        for gateways in (1, 7, 89):
            rng = Random(gateways)
            requests: list[int] = []
            retries: list[int] = []
            for _ in range(gateways):
                budget = RetryBudget(BOUND)
                now = 0
                while now < 40 * SECOND:
                    now += int(rng.expovariate(4.0 if now < 20 * SECOND else 0.5) * SECOND)
                    budget.request(now)
                    requests.append(now)
                    for _ in range(3):  # every attempt fails
                        if budget.spend(now, gateways):
                            retries.append(now)
            requests.sort()
            retries.sort()
            for end in retries:
                start = end - BOUND.window
                allowed = BOUND.ratio * within(requests, start, end) + BOUND.slack
                self.assertLessEqual(within(retries, start, end), allowed)
            self.assertGreater(len(retries), 0.3 * BOUND.slack)

    def test_used_budget_is_available_again_after_the_window(self) -> None:
        budget = RetryBudget(BOUND)
        spent = 0
        while budget.spend(0, 7):
            spent += 1
        self.assertEqual(spent, 5)  # 0.7 of 54, divided by 7
        self.assertFalse(budget.spend(BOUND.window - 1, 7))
        self.assertTrue(budget.spend(BOUND.window, 7))

    def test_gateways_that_restart_twice_in_a_window_stay_within_the_slack(self) -> None:
        """A process does not know what its predecessor has used of the present window."""
        bound = BudgetBound(ratio=0, slack=54, window=10 * SECOND)
        retries = 0
        for _ in range(7):
            for start, age in ((0, 20 * SECOND), (23 * SECOND, 2 * SECOND), (25 * SECOND, 2 * SECOND)):
                budget = RetryBudget(bound, started_at=start)
                while budget.spend(start + age, 7):
                    retries += 1
        self.assertLessEqual(retries, bound.slack)

    def test_a_process_has_its_full_part_after_its_first_window(self) -> None:
        budget = RetryBudget(BudgetBound(ratio=0, slack=54, window=10 * SECOND), started_at=5 * SECOND)
        self.assertTrue(budget.spend(6 * SECOND, 7))
        self.assertFalse(budget.spend(14 * SECOND, 7))
        self.assertTrue(budget.spend(15 * SECOND, 7))

    def test_requests_count_for_one_window(self) -> None:
        budget = RetryBudget(BudgetBound(ratio=0.2, slack=0, window=10 * SECOND))
        for _ in range(10):
            budget.request(0)
        self.assertTrue(budget.spare(5 * SECOND, 1))
        self.assertFalse(budget.spare(10 * SECOND, 1))

    def test_a_retry_that_was_not_sent_is_returned(self) -> None:
        budget = RetryBudget(BudgetBound(ratio=0, slack=2, window=10 * SECOND))
        self.assertTrue(budget.spend(0, 1))
        self.assertFalse(budget.spend(0, 1))
        budget.give_back()
        self.assertTrue(budget.spend(0, 1))

    def test_the_number_of_slices_is_bounded(self) -> None:
        budget = RetryBudget(BOUND)
        for now in range(0, 100 * SECOND, SECOND // 1000):
            budget.request(now)
        self.assertLessEqual(len(budget._slices), 51)


if __name__ == "__main__":
    unittest.main()
