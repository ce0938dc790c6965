"""How long calls take in each region, so that calls leave an overloaded region in time."""

from __future__ import annotations

from attrs import define

SMOOTH = 0.1  # weight of the newest sample in the mean
BEST_DECAY = 1.002  # factor on the remembered best ratio at each sample, so that it is forgotten in time
FADE = 5_000_000  # microseconds without a sample after which a region is assumed to have its best ratio
INITIAL_RATIO = 0.1  # best ratio of latency to target assumed until a lower one is measured
MAX_RATIO = 8.0  # upper bound of a sample of latency / target


@define
class _RegionTime:
    value: float
    at: int


class RegionTimes:
    """Mean latency of calls by region, relative to the target of their class.

    Without this, if all servers of a small region are overloaded alike, none is slow compared with the
    others, and calls stay there. A region without calls is assumed to be as fast as the fastest region was at
    its best.
    """

    def __init__(self) -> None:
        self._regions: dict[str, _RegionTime] = {}
        self._best = INITIAL_RATIO

    def record(self, now: int, region: str, ratio: float) -> None:
        """Records the latency of a call in a region, as a ratio to its target."""
        ratio = min(ratio, MAX_RATIO)
        known = self._regions.get(region)
        if known is None:
            known = self._regions[region] = _RegionTime(ratio, now)
        known.value = self.ratio(now, region)
        known.value += SMOOTH * (ratio - known.value)
        known.at = now
        self._best = min(known.value, self._best * BEST_DECAY)

    def ratio(self, now: int, region: str) -> float:
        """The expected latency of a call in the region, as a ratio to its target."""
        known = self._regions.get(region)
        if known is None or now - known.at >= FADE:
            return self._best
        return known.value + (self._best - known.value) * (now - known.at) / FADE
