"""The most used prefixes, for gateways that have just joined: bounded, decaying counts of uses."""

from __future__ import annotations

from collections import OrderedDict

from attrs import define, evolve

from brackenladder.prefix_cache.messages import PrefixNotice

MAX_PREFIXES = 512  # most pairs of server and prefix that are remembered
HALF_LIFE = 15_000_000  # microseconds after which a use counts for half
LONGEST_AGE = 60_000_000  # microseconds without a use after which a prefix is dropped


@define
class _Entry:
    notice: PrefixNotice
    used_at: int
    uses: float  # decayed number of uses at the time `used_at`

    def weight(self, now: int) -> float:
        """Tokens times uses, decayed to the present."""
        return self.notice.shared * self.uses * _decay(now - self.used_at)


def _decay(age: int) -> float:
    return float(0.5 ** (max(0, age) / HALF_LIFE))


class RecentPrefixes:
    """Counts uses of (server, prefix) pairs; beyond MAX_PREFIXES, the least recently used one is dropped.

    A pair that was never dropped has its exact decayed count. A dropped pair starts again at 0, so its
    count may be too low, by at most the count that it had when it was dropped, but never too high.
    """

    def __init__(self) -> None:
        self._entries: OrderedDict[tuple[int, int], _Entry] = OrderedDict()

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, now: int, notice: PrefixNotice) -> None:
        """Counts a notice as one use of its longest prefix, if it has any."""
        if not notice.keys:
            return
        used_at = now - notice.age
        key = (notice.server, notice.keys[-1])
        known = self._entries.pop(key, None)
        uses = 1.0
        if known is not None:
            uses += known.uses * _decay(used_at - known.used_at)
            used_at = max(used_at, known.used_at)
        self._entries[key] = _Entry(notice, used_at, uses)
        if len(self._entries) > MAX_PREFIXES:
            self._entries.popitem(last=False)

    def weight(self, now: int, server: int, key: int) -> float:
        """The weight of a prefix at a server: tokens times decayed uses."""
        entry = self._entries.get((server, key))
        return entry.weight(now) if entry is not None else 0.0

    def snapshot(self, now: int, most: int) -> tuple[PrefixNotice, ...]:
        """Notices for the prefixes of highest weight, least recently used first, without uncached tokens."""
        self._forget(now)
        entries = sorted(self._entries.values(), key=lambda entry: entry.weight(now), reverse=True)[:most]
        entries.sort(key=lambda entry: entry.used_at)
        return tuple(
            evolve(entry.notice, uncached_tokens=0, age=max(0, now - entry.used_at)) for entry in entries
        )

    def _forget(self, now: int) -> None:
        old = [key for key, entry in self._entries.items() if now - entry.used_at > LONGEST_AGE]
        for key in old:
            del self._entries[key]
