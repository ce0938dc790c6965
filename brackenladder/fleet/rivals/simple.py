"""Textbook policies: random, round robin, and the less loaded of two random choices."""

from __future__ import annotations

from brackenladder.fleet.rivals.base import BaselinePolicy, KnownServer, OpenRequest


class RandomChoice(BaselinePolicy):
    """Picks uniformly at random."""

    def pick(self, now: int, open_request: OpenRequest, candidates: list[KnownServer]) -> KnownServer | None:
        return candidates[int(self.rng.random() * len(candidates))]


class RoundRobin(BaselinePolicy):
    """Picks servers in turn, from a random start."""

    turn = -1

    def pick(self, now: int, open_request: OpenRequest, candidates: list[KnownServer]) -> KnownServer | None:
        if self.turn < 0:
            self.turn = int(self.rng.random() * len(candidates))
        self.turn += 1
        return candidates[self.turn % len(candidates)]


class LeastOfTwo(BaselinePolicy):
    """Picks, of two random servers, the one with fewer open calls of this node (Mitzenmacher, 2001)."""

    def pick(self, now: int, open_request: OpenRequest, candidates: list[KnownServer]) -> KnownServer | None:
        first, second = (candidates[int(self.rng.random() * len(candidates))] for _ in range(2))
        return first if first.in_flight <= second.in_flight else second
