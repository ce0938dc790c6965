"""Regression tests: schedules of the model that once revealed a fault."""

from __future__ import annotations

import unittest

from consensus.schedules import play


class FoundSchedulesTest(unittest.TestCase):
    def test_a_stale_joint_entry_that_needs_a_learner_with_a_later_log(self):
        self.assertEqual(play(33758).fault, "")


if __name__ == "__main__":
    unittest.main()
