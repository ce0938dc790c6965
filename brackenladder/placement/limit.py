"""The limit on calls in flight, with a floor so that no call is refused while servers have free slots."""

from __future__ import annotations

from dataclasses import dataclass

from brackenladder.policy.limit import MIN_LIMIT, GradientController


@dataclass(slots=True, eq=False)
class SlotFloorController(GradientController):
    """The gradient controller with a floor: this gateway's share of the servers' free slots.

    A gateway has only a few calls a second, too few to learn a limit from latency alone, and refusing calls
    while servers have free slots is a loss. So the limit, also that of a minRTT pass, is at least the number
    of slots of all usable servers, divided by the number of live gateways, less the streams that this gateway
    has running, and at least MIN_LIMIT. Above the floor the limit is that of the gradient controller.
    """

    free_slots: float = float(MIN_LIMIT)

    def effective_limit(self) -> float:
        """The limit in force: that of the gradient controller, or the floor if that is higher."""
        return max(GradientController.effective_limit(self), self.free_slots, float(MIN_LIMIT))
