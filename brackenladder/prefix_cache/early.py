"""Holds notices of prefixes cached at servers that this gateway does not know yet, as while it starts."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from attrs import evolve, frozen

from brackenladder.prefix_cache.messages import PrefixNotice

HOLD_TIME = 3_000_000  # microseconds for which a notice is held until its server becomes known
MAX_HELD = 512


@frozen
class _Early:
    notice: PrefixNotice
    at: int


class EarlyNotices:
    """Holds notices until their servers are known, or for HOLD_TIME."""

    def __init__(self) -> None:
        self._held: list[_Early] = []

    def __bool__(self) -> bool:
        return bool(self._held)

    def add(self, now: int, notices: Iterable[PrefixNotice]) -> None:
        """Adds notices; the oldest are dropped if there are more than MAX_HELD."""
        self._held.extend(_Early(notice, now) for notice in notices)
        del self._held[:-MAX_HELD]

    def take(self, now: int, is_known: Callable[[int], bool]) -> list[PrefixNotice]:
        """Removes and returns the notices whose servers are known now, with their present ages.

        Their uncached tokens are set to 0, since the prefill is over or will be announced again.
        """
        current = [early for early in self._held if now - early.at <= HOLD_TIME]
        self._held = [early for early in current if not is_known(early.notice.server)]
        return [
            evolve(early.notice, age=early.notice.age + now - early.at, uncached_tokens=0)
            for early in current
            if is_known(early.notice.server)
        ]
