"""The number of calls that all gateways together send to a cold server in any second."""

from __future__ import annotations

import unittest
from random import Random

from brackenladder.core.roster import number_of
from brackenladder.shares.cold_share import ColdBound, ColdShare

SECOND = 1_000_000
BOUND = ColdBound(per_s=9.9, overshoot=1.5, slack=5)


def most_in_a_second(times: list[int]) -> int:
    """The most calls in any sliding second."""
    times = sorted(times)
    most = first = 0
    for last, time in enumerate(times):
        while time - times[first] > SECOND:
            first += 1
        most = max(most, last - first + 1)
    return most


def play(gateways: int, server: int, named: bool, rate: float, seed: int) -> list[int]:
    """The times at which all gateways send to a cold server, if each wants to send at `rate`."""
    rng = Random(seed)
    names = [f"front-{n}" for n in range(gateways)]
    shares = [ColdShare(name, BOUND) for name in names]
    known = names if named else []
    sent: list[int] = []
    for share in shares:
        now = rng.randrange(SECOND)
        while now < 10 * SECOND:
            if share.allows(now, server, gateways, known):
                share.take(now, server, gateways, known)
                sent.append(now)
            now += max(1, int(rng.expovariate(rate) * SECOND))
    return sent


class ColdShareTest(unittest.TestCase):
    def test_the_calls_of_all_gateways_stay_below_the_bound(self) -> None:
        for gateways in (1, 2, 7, 12, 30, 89, 300):
            for named in (False, True):
                for seed in range(4):
                    server = number_of(f"server-{seed}-{gateways}")
                    sent = play(gateways, server, named, rate=20.0, seed=seed)
                    self.assertLessEqual(most_in_a_second(sent), 0.76 * BOUND.calls, (gateways, named))

    def test_simultaneous_bursts_at_all_gateways_stay_below_the_bound(self) -> None:
        for gateways in (7, 89):
            for number in range(20):
                server = number_of(f"server-{number}")
                shares = [ColdShare(f"front-{n}", BOUND) for n in range(gateways)]
                sent = []
                for now in range(0, 6 * SECOND, SECOND // 4):
                    for share in shares:
                        if share.allows(now, server, gateways):
                            share.take(now, server, gateways)
                            sent.append(now)
                self.assertLessEqual(most_in_a_second(sent), 0.76 * BOUND.calls)

    def test_a_cold_server_gets_a_large_part_of_its_capacity(self) -> None:
        for gateways in (1, 7, 89):
            rates = []
            for number in range(10):
                sent = play(gateways, number_of(f"server-{number}"), True, rate=20.0, seed=number)
                rates.append(len(sent) / 10)
            self.assertGreater(sum(rates) / len(rates), 0.5 * BOUND.per_s)

    def test_gateways_without_known_names_send_too(self) -> None:
        sent = [len(play(89, number_of(f"server-{n}"), False, 20.0, n)) / 10 for n in range(30)]
        self.assertGreater(sum(sent) / len(sent), 1.0)

    def test_without_a_bound_everything_is_allowed(self) -> None:
        share = ColdShare("front-1", None)
        for _ in range(100):
            self.assertTrue(share.allows(0, 1, 89))
            share.take(0, 1, 89)

    def test_a_bound_that_is_too_small_allows_nothing(self) -> None:
        share = ColdShare("front-1", ColdBound(per_s=0.1, overshoot=1.0, slack=1.0))
        self.assertFalse(any(share.allows(now, 1, 7) for now in range(0, 60 * SECOND, SECOND)))

    def test_unused_buckets_are_dropped(self) -> None:
        share = ColdShare("front-1", BOUND)
        share.allows(0, 1, 1)
        share.forget(10 * SECOND)
        self.assertEqual(len(share._buckets), 1)
        share.forget(40 * SECOND)
        self.assertEqual(len(share._buckets), 0)


if __name__ == "__main__":
    unittest.main()
