"""Tests of the counters of violated invariants."""

from __future__ import annotations

from unittest import TestCase

import logbook

from brackenladder.invariants import BROKEN, MAX_LINES, VIOLATIONS, Invariant, InvariantChecks

HOMES = Invariant.DIRECTORY_KEEPS_HOMES


class InvariantChecksTest(TestCase):
    def test_an_invariant_that_holds_is_not_counted(self) -> None:
        checks = InvariantChecks()
        self.assertTrue(checks.check(HOMES, True, "fine"))
        self.assertEqual((checks.total, checks.violations()), (0, {}))

    def test_a_violation_is_counted_and_logged(self) -> None:
        checks = InvariantChecks()
        with logbook.TestHandler() as handler:
            self.assertFalse(checks.check(HOMES, False, "a client of north was led to south"))
        self.assertEqual(checks.violations(), {HOMES: 1})
        [line] = [record.message for record in handler.records]
        self.assertEqual(line, f"{BROKEN}: directory-keeps-homes: a client of north was led to south")

    def test_the_log_is_limited_and_the_count_is_not(self) -> None:
        checks = InvariantChecks()
        with logbook.TestHandler() as handler:
            for _ in range(MAX_LINES + 10):
                checks.check(HOMES, False, "again")
        self.assertEqual((len(handler.records), checks.total), (MAX_LINES, MAX_LINES + 10))

    def test_counts_are_restored_after_a_violation_on_purpose(self) -> None:
        before = VIOLATIONS.total
        with VIOLATIONS.restoring_counts():
            VIOLATIONS.check(HOMES, False, "on purpose")
            self.assertEqual(VIOLATIONS.total, before + 1)
        self.assertEqual(VIOLATIONS.total, before)
