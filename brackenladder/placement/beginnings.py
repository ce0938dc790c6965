"""Which servers new subjects of a common beginning go to: as few as the traffic that begins with it needs."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
from math import ceil

from attrs import define

from brackenladder.placement import rendezvous
from brackenladder.policy.server import Server

MOST_BEGINNINGS = 256  # the least recently used go first
HALF_LIFE = 15_000_000  # microseconds after which a prompt counts for half
LEAST_SERVERS = 2  # of a beginning: one that fails must not be the only one


@define
class _Load:
    tokens: float
    at: int


class BeginningShares:
    """How much of the tokens that this gateway has read begins with which first part, decayed."""

    def __init__(self) -> None:
        self._loads: OrderedDict[int, _Load] = OrderedDict()
        self._total = _Load(0.0, 0)

    def add(self, now: int, key: int, tokens: int) -> None:
        """A prompt of so many tokens begins with a part."""
        load = self._loads.pop(key, None) or _Load(0.0, now)
        self._loads[key] = load
        _count(load, now, tokens)
        _count(self._total, now, tokens)
        if len(self._loads) > MOST_BEGINNINGS:
            self._loads.popitem(last=False)

    def part(self, now: int, key: int) -> float:
        """The part of all tokens, from 0 to 1."""
        load = self._loads.get(key)
        if load is None or self._total.tokens <= 0:
            return 0.0
        total = self._total.tokens * _decay(now - self._total.at)
        return min(1.0, load.tokens * _decay(now - load.at) / max(total, 1.0))

    def servers(
        self, now: int, key: int, able: Sequence[Server], headroom: float, least: int
    ) -> Sequence[Server]:
        """The first servers in the beginning's order, `headroom` times as many as its part needs.

        All gateways have the same order, so that one which sees more of the beginning uses more servers of
        it, not others.
        """
        most = max(LEAST_SERVERS, least, ceil(headroom * self.part(now, key) * len(able)))
        if most >= len(able):
            return able
        return rendezvous.order(key, able, most)


def _count(load: _Load, now: int, tokens: int) -> None:
    load.tokens = load.tokens * _decay(now - load.at) + tokens
    load.at = now


def _decay(age: int) -> float:
    return float(0.5 ** (max(0, age) / HALF_LIFE))
