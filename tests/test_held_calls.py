"""Tests of the detection of calls that last past their time limits."""

from __future__ import annotations

from unittest import TestCase

from brackenladder.held_calls import LONGEST_STEP, TOLERANCE, HeldCalls
from brackenladder.invariants import Invariant, InvariantChecks

LIMIT = 5_000_000  # microseconds
STEP = 200_000


class HeldCallsTest(TestCase):
    def setUp(self) -> None:
        self.violations = InvariantChecks()
        self.calls = HeldCalls(self.violations)

    def check_during(self, begin: int, end: int, step: int = STEP) -> None:
        for now in range(begin, end + 1, step):
            self.calls.check_limits(now)

    def test_a_call_is_counted_once_after_the_tolerance(self) -> None:
        with self.calls.track("one", LIMIT):
            self.check_during(0, LIMIT + TOLERANCE)
            self.assertEqual(self.violations.total, 0)
            self.check_during(LIMIT + TOLERANCE + STEP, LIMIT + 3 * TOLERANCE)
            self.assertEqual(self.violations.violations(), {Invariant.CALL_ENDS_IN_TIME: 1})

    def test_a_call_that_has_ended_is_no_longer_tracked(self) -> None:
        with self.calls.track("one", LIMIT):
            self.assertEqual(len(self.calls), 1)
        self.assertEqual(len(self.calls), 0)
        self.check_during(LIMIT, LIMIT + 3 * TOLERANCE)
        self.assertEqual(self.violations.total, 0)

    def test_a_call_that_fails_is_no_longer_tracked(self) -> None:
        with self.assertRaises(ValueError), self.calls.track("one", LIMIT):
            raise ValueError
        self.assertEqual(len(self.calls), 0)

    def test_the_limit_may_be_changed(self) -> None:
        with self.calls.track("one", LIMIT) as call:
            self.check_during(0, LIMIT + TOLERANCE // 2)
            call.limit = 2 * LIMIT
            self.check_during(LIMIT + TOLERANCE, 2 * LIMIT + TOLERANCE)
            self.assertEqual(self.violations.total, 0)
            self.check_during(2 * LIMIT + TOLERANCE + STEP, 2 * LIMIT + 2 * TOLERANCE)
            self.assertEqual(self.violations.total, 1)

    def test_a_suspended_process_gets_time_to_end_its_calls(self) -> None:
        with self.calls.track("one", LIMIT):
            self.calls.check_limits(0)
            self.calls.check_limits(LIMIT + 100 * TOLERANCE)
            self.assertEqual(self.violations.total, 0)
            self.check_during(LIMIT + 100 * TOLERANCE + STEP, LIMIT + 102 * TOLERANCE)
            self.assertEqual(self.violations.total, 1)

    def test_the_time_between_rare_checks_counts_up_to_the_longest_step(self) -> None:
        with self.calls.track("one", LIMIT):
            for number in range(4):
                self.assertEqual(self.violations.total, 0)
                self.calls.check_limits(LIMIT + number * 10 * LONGEST_STEP)
            self.calls.check_limits(LIMIT + 40 * LONGEST_STEP)
            self.assertEqual(self.violations.total, 1)
