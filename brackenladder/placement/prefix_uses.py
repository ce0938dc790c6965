"""How often this gateway's requests use each shared prefix: a bounded, decaying count."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from attrs import define

from brackenladder.placement.prefixes import ChainLink

MAX_PREFIXES = 512  # most prefixes that are counted; the least recently used are dropped
HALF_LIFE = 15_000_000  # microseconds after which a use counts for half
LEAST_USES = 2.0  # least decayed count of uses of a popular prefix
LEAST_PART = 0.05  # least part of all requested shared tokens that belongs to a popular prefix


@define
class _Uses:
    tokens: int
    uses: float
    at: int


class PrefixUses:
    """Counts how often each link (a shared part with all parts before it) is requested.

    A link that was never dropped has its exact decayed count. A dropped one starts again at 0, so a count may
    be too low but never too high. The total is exact except for the decay between two uses of a dropped link.
    """

    def __init__(self) -> None:
        self._links: OrderedDict[int, _Uses] = OrderedDict()
        self._total = 0.0  # decayed number of requested tokens of shared parts
        self._total_at = 0

    def add(self, now: int, shared: Iterable[ChainLink]) -> None:
        """Records a request for a prompt with these shared parts."""
        self._total *= _decay(now - self._total_at)
        self._total_at = now
        for link in shared:
            known = self._links.pop(link.key, None)
            uses = 1.0 if known is None else 1.0 + known.uses * _decay(now - known.at)
            self._links[link.key] = _Uses(link.tokens, uses, now)
            self._total += link.tokens
        while len(self._links) > MAX_PREFIXES:
            self._links.popitem(last=False)

    def is_popular(self, now: int, key: int) -> bool:
        """Whether the prefix has at least LEAST_USES and LEAST_PART of the requested shared tokens."""
        known = self._links.get(key)
        if known is None:
            return False
        uses = known.uses * _decay(now - known.at)
        total = self._total * _decay(now - self._total_at)
        return uses >= LEAST_USES and uses * known.tokens >= LEAST_PART * total


def _decay(age: int) -> float:
    return float(0.5 ** (max(0, age) / HALF_LIFE))
