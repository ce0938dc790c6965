"""How long a gateway that ends takes new requests."""

from __future__ import annotations

from unittest import TestCase

from brackenladder.gateway.server import (
    ABORT_MARGIN_SECONDS,
    ACCEPT_MARGIN_SECONDS,
    LATEST_EXCUSED_SECONDS,
    accept_seconds,
)


class AcceptTest(TestCase):
    def test_nothing_is_taken_that_may_not_be_broken_off_at_the_end(self) -> None:
        for grace in (2.0, 5.0, 7.5, 8.0, 10.0, 30.0):
            with self.subTest(grace=grace):
                self.assertLessEqual(accept_seconds(grace) + ACCEPT_MARGIN_SECONDS, LATEST_EXCUSED_SECONDS)
                self.assertLess(accept_seconds(grace), grace - ABORT_MARGIN_SECONDS)

    def test_a_short_grace_shortens_it(self) -> None:
        self.assertAlmostEqual(accept_seconds(2.0), 0.8)
