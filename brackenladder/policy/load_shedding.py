"""What is refused first under load: a tenant's traffic beyond its quota, and classes of low value."""

from collections.abc import Sequence
from dataclasses import dataclass
from math import sqrt
from random import Random

from brackenladder.interface import Settings

TENANT_TIME = 8_000_000  # microseconds: time window of the decaying counts of a tenant's traffic
EXCESS = 1.25  # a tenant is clearly over quota above this multiple of its allowed requests
EXCESS_NOISE = 1.5  # standard deviations of the allowed requests that are added to the EXCESS threshold
SHED_AT = 0.6  # latency / target above which more requests of tenants clearly over quota are refused
SHED_GAIN = 0.06  # change of the refused share per answer and unit of (latency / target - SHED_AT)
SHED_HASTE = 3  # relative increase of SHED_GAIN per unit of latency / target above SHED_AT
SHED_LATE = 3.0  # upper bound of latency / target in this calculation


@dataclass(slots=True, eq=False)
class Tenant:
    """This node's part of a tenant's quota, and the tenant's recent traffic here."""

    rate: float  # requests a second
    at: int = 0
    seen: float = 0.0  # requests of the last TENANT_TIME, decaying
    due: float = 1.0  # requests that the quota allowed in TENANT_TIME, decaying; starts with one

    def decay(self, now: int) -> None:  # also adds what the quota allowed since the last call
        span = now - self.at
        keep = 1 - span / TENANT_TIME if span < TENANT_TIME else 0.0
        self.seen *= keep
        self.due = self.due * keep + self.rate * span / 1e6
        self.at = now


class LoadShedding:
    """Which tenants are over quota, the ranks of the classes, and the share of excess traffic to refuse."""

    def __init__(self, settings: Settings, rng: Random) -> None:
        self.settings = settings
        self.rng = rng
        self.shed = 1.0  # probability that a request of a tenant clearly over quota is refused
        self.tenants = [Tenant(t.quota / settings.instances) for t in settings.tenants]
        self.rank = [0] * len(settings.classes)

    def over_share(self, now: int, tenant: int) -> tuple[bool, bool]:
        """Whether the request counts as over its tenant's quota, and whether the tenant is clearly over it.

        A tenant's recent traffic is compared with its quota divided by the number of nodes. On a node with
        more traffic than others, the median tenant's excess raises the threshold for all tenants.
        """
        if tenant >= len(self.tenants) or self.tenants[tenant].rate <= 0:
            return False, False
        mine = self.tenants[tenant]
        for t in self.tenants:
            t.decay(now)
        mine.seen += 1
        parts = sorted([(t.seen - sqrt(t.seen)) / t.due for t in self.tenants if t.rate > 0])
        due = mine.due * max(1.0, parts[(len(parts) - 1) // 2])
        over = self.rng.random() * mine.seen > due
        return over, over and mine.seen > EXCESS * due + EXCESS_NOISE * sqrt(due) + 1

    def rank_classes(self, mean_rtt: Sequence[float]) -> None:
        """Gives rank 1, refused first, to classes with under half the worth per latency of the best class."""
        density = [c.worth / max(1.0, mean_rtt[i]) for i, c in enumerate(self.settings.classes)]
        best = max(density)
        self.rank = [int(d < best / 2) for d in density]

    def update_shed(self, ratio: float) -> None:
        """Adapts the refused share of excess traffic to an answer's latency. `ratio`: latency / target.

        Otherwise low-value traffic overloads the servers before enough of it is refused.
        """
        over = (ratio if ratio < SHED_LATE else SHED_LATE) - SHED_AT
        shed = self.shed + SHED_GAIN * over * (1 + SHED_HASTE * over if over > 0 else 1)
        self.shed = 0.0 if shed < 0 else shed if shed < 1 else 1.0
