"""The limit on calls in flight, which never closes a gateway while servers have free places."""

from __future__ import annotations

from dataclasses import dataclass

from brackenladder.policy.limit import MIN_LIMIT, GradientController


@dataclass(slots=True, eq=False)
class PlacesController(GradientController):
    """The gradient controller with a floor: this gateway's share of the servers' free places.

    The deployment-first rule: a gateway carries a few calls a second, which is too thin for a limit that is
    learned from latency alone, and a refusal while servers have free places costs. So the limit, and that of
    a minRTT pass, is at least the sum of the places of the servers in use, divided by the living gateways,
    less the streams that this gateway has running there, and at least MIN_LIMIT. Beyond the floor the
    gradient's limit holds as it stands.
    """

    places: float = float(MIN_LIMIT)

    def effective_limit(self) -> float:
        """The limit in force."""
        return max(GradientController.effective_limit(self), self.places, float(MIN_LIMIT))
