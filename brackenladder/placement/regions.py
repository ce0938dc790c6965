"""How long calls take in each region, so that a region that is crowded is left in time."""

from __future__ import annotations

from attrs import define

SMOOTH = 0.1  # weight of the newest sample
FORGET = 1.002  # a sample makes the best of what was measured this much worse
FADE = 5_000_000  # microseconds without a sample after which a region is taken to be at its best
RATIO_GUESS = 0.1  # of the target, until anything better is measured
RATIO_MOST = 8.0  # a call counts as so many times its target at most


@define
class _RegionTime:
    value: float
    at: int


class RegionTimes:
    """Calls' times by region, relative to what their class can bear.

    Failure prevented: all servers of a small region are crowded alike, none of them stands out among those
    that are visited, and the calls stay. A region that is not visited is taken to do as well as any did at
    its best.
    """

    def __init__(self) -> None:
        self._regions: dict[str, _RegionTime] = {}
        self._best = RATIO_GUESS

    def heard(self, now: int, region: str, ratio: float) -> None:
        """A call there took so many times its target."""
        ratio = min(ratio, RATIO_MOST)
        known = self._regions.get(region)
        if known is None:
            known = self._regions[region] = _RegionTime(ratio, now)
        known.value = self.ratio(now, region)
        known.value += SMOOTH * (ratio - known.value)
        known.at = now
        self._best = min(known.value, self._best * FORGET)

    def ratio(self, now: int, region: str) -> float:
        """What a call there is expected to take, relative to its target."""
        known = self._regions.get(region)
        if known is None or now - known.at >= FADE:
            return self._best
        return known.value + (self._best - known.value) * (now - known.at) / FADE
