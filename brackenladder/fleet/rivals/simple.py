"""The textbook's ways: at random, in turn, the less busy of two."""

from __future__ import annotations

from brackenladder.fleet.rivals.base import BaselinePolicy, KnownServer, OpenRequest


class RandomChoice(BaselinePolicy):
    """Any member, all alike."""

    def pick(self, now: int, r: OpenRequest, among: list[KnownServer]) -> KnownServer | None:
        return among[int(self.rng.random() * len(among))]


class RoundRobin(BaselinePolicy):
    """One after another, from a drawn place on."""

    turn = -1

    def pick(self, now: int, r: OpenRequest, among: list[KnownServer]) -> KnownServer | None:
        if self.turn < 0:
            self.turn = int(self.rng.random() * len(among))
        self.turn += 1
        return among[self.turn % len(among)]


class LeastOfTwo(BaselinePolicy):
    """Of two drawn members the one with fewer of this node's calls (Mitzenmacher, 2001)."""

    def pick(self, now: int, r: OpenRequest, among: list[KnownServer]) -> KnownServer | None:
        first, second = (among[int(self.rng.random() * len(among))] for _ in range(2))
        return first if first.in_flight <= second.in_flight else second
