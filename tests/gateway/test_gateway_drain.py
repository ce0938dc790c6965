"""How long a gateway that ends takes new requests, and when it gives up what is left."""

from __future__ import annotations

from unittest import TestCase

from brackenladder.gateway.server import LATEST_EXCUSED_SECONDS, give_up_seconds, intake_seconds

ARRIVAL_SECONDS = 0.2  # from the end of the intake to the arrival of what was still accepted
EXCUSED_PART = 1 / 6  # of the grace, at its end, in which a server at work may be broken off


class IntakeTest(TestCase):
    def test_nothing_is_taken_that_may_not_be_broken_off_at_the_end(self) -> None:
        for grace in (1.0, 2.0, 5.0, 7.5, 8.0, 10.0, 30.0):
            with self.subTest(grace=grace):
                self.assertLessEqual(intake_seconds(grace) + ARRIVAL_SECONDS, LATEST_EXCUSED_SECONDS)
                self.assertLess(intake_seconds(grace), grace - give_up_seconds(grace))

    def test_what_is_given_up_is_given_up_in_the_last_sixth(self) -> None:
        for grace in (1.0, 5.0, 8.0, 30.0):
            with self.subTest(grace=grace):
                self.assertLess(give_up_seconds(grace), grace * EXCUSED_PART)

    def test_a_short_grace_shortens_the_intake(self) -> None:
        self.assertAlmostEqual(intake_seconds(2.0), 0.8)
