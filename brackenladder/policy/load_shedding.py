"""What is refused first while the fleet is pressed: a tenant's excess, what is worth little for its time."""

from collections.abc import Sequence
from dataclasses import dataclass
from math import sqrt
from random import Random

from brackenladder.interface import Settings

TENANT_TIME = 8_000_000  # microseconds over which a tenant's traffic is counted
EXCESS = 1.25  # it is clearly beyond its share at so many times its part...
EXCESS_NOISE = 1.5  # ...and so many standard deviations of a count
SHED_AT = 0.6  # clear excess is refused, more and more, while mean latency over target is above this
SHED_GAIN = 0.06  # by so much for each answer...
SHED_HASTE = 3  # ...and so many times more for each target's time above it
SHED_LATE = 3.0  # targets: an answer later than so many counts as if it were that late


@dataclass(slots=True, eq=False)
class Tenant:
    """What this copy knows of one tenant: its part of the quota, and what came lately."""

    rate: float  # requests a second
    at: int = 0
    seen: float = 0.0  # requests of the last TENANT_TIME, fading
    due: float = 1.0  # the quota's part for the same time, and one to start with

    def fade(self, now: int) -> None:
        span = now - self.at
        keep = 1 - span / TENANT_TIME if span < TENANT_TIME else 0.0
        self.seen *= keep
        self.due = self.due * keep + self.rate * span / 1e6
        self.at = now


class LoadShedding:
    """Tenants' shares, classes' ranks, and how much of a clear excess is refused."""

    def __init__(self, settings: Settings, rng: Random) -> None:
        self.settings = settings
        self.rng = rng
        self.shed = 1.0  # part of the clear excess that is refused
        self.tenants = [Tenant(t.quota / settings.instances) for t in settings.tenants]
        self.rank = [0] * len(settings.classes)

    def over_share(self, now: int, tenant: int) -> tuple[bool, bool]:
        """Whether the request counts as beyond its tenant's quota, and whether that is beyond doubt.

        What came of the tenant lately is set against this copy's equal part of the quota. A copy that gets
        far more than its part of all traffic is told by its middle tenant.
        """
        if tenant >= len(self.tenants) or self.tenants[tenant].rate <= 0:
            return False, False
        mine = self.tenants[tenant]
        for t in self.tenants:
            t.fade(now)
        mine.seen += 1
        parts = sorted([(t.seen - sqrt(t.seen)) / t.due for t in self.tenants if t.rate > 0])
        due = mine.due * max(1.0, parts[(len(parts) - 1) // 2])
        over = self.rng.random() * mine.seen > due
        return over, over and mine.seen > EXCESS * due + EXCESS_NOISE * sqrt(due) + 1

    def rank_classes(self, mean_rtt: Sequence[float]) -> None:
        """Rank 1 for classes whose worth for their time is under half the best class's."""
        density = [c.worth / max(1.0, mean_rtt[i]) for i, c in enumerate(self.settings.classes)]
        best = max(density)
        self.rank = [int(d < best / 2) for d in density]

    def press(self, aimed: float) -> None:
        """An answer took so many times its target: the excess is shed more, or less.

        Failure prevented: what is worth little crowds servers into slowness while refusing it begins.
        """
        over = (aimed if aimed < SHED_LATE else SHED_LATE) - SHED_AT
        shed = self.shed + SHED_GAIN * over * (1 + SHED_HASTE * over if over > 0 else 1)
        self.shed = 0.0 if shed < 0 else shed if shed < 1 else 1.0
