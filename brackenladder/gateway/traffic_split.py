"""Chooses a target of a route's `TrafficSplit` so that each gets the share of its weight. Pure."""

from __future__ import annotations

from collections.abc import Sequence

from brackenladder.catalog.configuration import Target

MAX_LEAD = 1.0  # requests by which a target may exceed its share


class TrafficSplit:
    """The targets of one route, and how many requests each has received from this gateway.

    Choosing by a session's hash alone is not enough: if a few sessions carry most of the traffic, the
    positions of their hashes would decide the shares, in the same way at every gateway.
    """

    def __init__(self, targets: Sequence[Target]) -> None:
        """At least one of the `targets` must have a weight above 0."""
        self.targets = tuple(targets)
        total = sum([target.weight for target in targets])
        self._shares = [target.weight / total for target in targets]
        self._ahead = [0.0] * len(self._shares)  # requests that each target received beyond its share

    def choose(self, point: float) -> Target:
        """The target at `point`, or if that one is too far ahead of its share, the one furthest behind.

        `point` is a position from 0 up to 1 along the targets' shares.
        """
        chosen = self._at(point)
        if self._ahead[chosen] + 1.0 - self._shares[chosen] > MAX_LEAD:
            chosen = min(range(len(self._ahead)), key=self._ahead.__getitem__)
        for index, share in enumerate(self._shares):
            self._ahead[index] -= share
        self._ahead[chosen] += 1.0
        return self.targets[chosen]

    def _at(self, point: float) -> int:
        last = 0
        for index, share in enumerate(self._shares):
            if share > 0:
                last = index
                point -= share
                if point < 0:
                    break
        return last
