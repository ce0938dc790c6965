"""Notices of servers that this gateway does not know yet, as while it starts."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from attrs import evolve, frozen

from brackenladder.prefix_cache.messages import PrefixNotice

KEPT_TIME = 3_000_000  # microseconds in which a server may become known
MOST_KEPT = 512


@frozen
class _Early:
    notice: PrefixNotice
    at: int


class EarlyNotices:
    """Keeps them until their servers are known, or for `KEPT_TIME`."""

    def __init__(self) -> None:
        self._kept: list[_Early] = []

    def __bool__(self) -> bool:
        return bool(self._kept)

    def add(self, now: int, notices: Iterable[PrefixNotice]) -> None:
        """Keep notices; of too many the oldest are dropped."""
        self._kept.extend(_Early(notice, now) for notice in notices)
        del self._kept[:-MOST_KEPT]

    def take(self, now: int, is_known: Callable[[int], bool]) -> list[PrefixNotice]:
        """Those whose servers are known by now, with their ages as of now.

        What there was to read of them has been read, or is told again.
        """
        current = [early for early in self._kept if now - early.at <= KEPT_TIME]
        self._kept = [early for early in current if not is_known(early.notice.server)]
        return [
            evolve(early.notice, age=early.notice.age + now - early.at, uncached_tokens=0)
            for early in current
            if is_known(early.notice.server)
        ]
