"""How long a gateway accepts requests during its shutdown, and when it gives up the open ones."""

from __future__ import annotations

from unittest import TestCase

from brackenladder.gateway.server import LATEST_EXCUSED_SECONDS, give_up_seconds, intake_seconds

ARRIVAL_SECONDS = 0.2  # from the end of the intake to the arrival of the last accepted request
# Of the grace period, at its end, in which a server that is still working may be aborted.
EXCUSED_PART = 1 / 6


class IntakeTest(TestCase):
    def test_no_request_is_accepted_that_may_not_be_aborted_at_the_end(self) -> None:
        for grace in (1.0, 2.0, 5.0, 7.5, 8.0, 10.0, 30.0):
            with self.subTest(grace=grace):
                self.assertLessEqual(intake_seconds(grace) + ARRIVAL_SECONDS, LATEST_EXCUSED_SECONDS)
                self.assertLess(intake_seconds(grace), grace - give_up_seconds(grace))

    def test_open_requests_are_given_up_in_the_last_sixth(self) -> None:
        for grace in (1.0, 5.0, 8.0, 30.0):
            with self.subTest(grace=grace):
                self.assertLess(give_up_seconds(grace), grace * EXCUSED_PART)

    def test_a_short_grace_period_shortens_the_intake(self) -> None:
        self.assertAlmostEqual(intake_seconds(2.0), 0.8)
