"""A gateway's share of the calls that may be sent to a cold server, which is still warming up.

The number of calls that all gateways together send to a cold server in any second is bounded. Each gateway
that sends has a token bucket of one call, refilled at `rate`, so it sends at most 1 + rate calls in any
second. The shares of all gateways together stay within SAFE_PART of the bound. If there are so many gateways
that each would have hardly a call a second, only a few of them send, chosen by a hash that all gateways
compute alike.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import floor, sqrt

from attrs import define, frozen

from brackenladder.core.roster import number_of
from brackenladder.policy.subset import mix

US_PER_S = 1_000_000
SAFE_PART = 0.75  # part of `ColdBound` that is used; the rest is for calls that a slow link delivers late
LEAST_RATE = 1.0  # calls a second: if equal shares would be smaller, only some gateways send
CALLS_EACH = 3.0  # calls in any second that each gateway gets if only some send, which sets how many send
DEVIATIONS = 4.0  # standard deviations above the mean number of random senders, as a safe upper bound
HASH_RANGE = 2.0**64
FORGET_TIME = 30 * US_PER_S  # microseconds after which an unused bucket is dropped; it has long been full


@frozen
class ColdBound:
    """How much all gateways together may send to a cold server in any second."""

    per_s: float  # calls a second that a cold server can take
    overshoot: float  # multiple of `per_s` that is allowed
    slack: float  # calls allowed in addition, in any second

    @property
    def calls(self) -> float:
        """The bound on calls in any second."""
        return self.per_s * self.overshoot + self.slack


@frozen
class ColdPart:
    """One gateway's share of the calls to a cold server."""

    sends: bool
    rate: float = 0.0  # calls a second by which its token bucket of one call is refilled


NO_PART = ColdPart(sends=False)


@define(eq=False)
class _Bucket:
    tokens: float
    at: int


class ColdShare:
    """One gateway's token buckets for the cold servers of a service. Without a bound any call is allowed."""

    def __init__(self, gateway: str, bound: ColdBound | None) -> None:
        self.gateway = gateway
        self.bound = bound
        self._number = number_of(gateway)
        self._buckets: dict[int, _Bucket] = {}
        self._parts: dict[int, ColdPart] = {}  # by server; valid for the bound and gateways in `_parts_for`
        self._parts_for: tuple[ColdBound | None, int, tuple[str, ...]] = (None, 0, ())

    def part(self, server: int, gateways: int, names: Sequence[str] = ()) -> ColdPart:
        """This gateway's share. `gateways`: number of live gateways; `names`: their names, if known."""
        known_for = (self.bound, gateways, tuple(names))
        if known_for != self._parts_for:
            self._parts.clear()
            self._parts_for = known_for
        part = self._parts.get(server)
        if part is None:
            part = self._parts[server] = self._part(server, gateways, names)
        return part

    def _part(self, server: int, gateways: int, names: Sequence[str]) -> ColdPart:
        if self.bound is None:
            return ColdPart(sends=True, rate=float("inf"))
        calls = self.bound.calls * SAFE_PART
        number = max(gateways, len(names), 1)
        if calls / number >= 1 + LEAST_RATE:
            return ColdPart(sends=True, rate=calls / number - 1)
        senders = max(1, floor(self.bound.calls / CALLS_EACH))
        if calls / senders <= 1:
            return NO_PART
        if self.gateway in names:
            return self._elected(server, names, senders, calls)
        return self._drawn(server, number, senders, calls)

    def allows(self, now: int, server: int, gateways: int, names: Sequence[str] = ()) -> bool:
        """Whether this gateway may send a call to a cold server now."""
        if self.bound is None:
            return True
        part = self.part(server, gateways, names)
        return part.sends and self._fill(now, server, part.rate).tokens >= 1

    def take(self, now: int, server: int, gateways: int, names: Sequence[str] = ()) -> None:
        """Records a call that is sent to a cold server."""
        if self.bound is None:
            return
        part = self.part(server, gateways, names)
        self._fill(now, server, part.rate).tokens -= 1

    def forget(self, now: int) -> None:
        """Drops buckets that have not been used for FORGET_TIME."""
        for server in [s for s, bucket in self._buckets.items() if now - bucket.at > FORGET_TIME]:
            del self._buckets[server]
        self._parts.clear()

    def _elected(self, server: int, names: Sequence[str], senders: int, calls: float) -> ColdPart:
        mine = mix(self._number, server)
        higher = sum([mix(number_of(name), server) > mine for name in names])
        if higher >= senders:
            return NO_PART
        return ColdPart(sends=True, rate=calls / senders - 1)

    def _drawn(self, server: int, gateways: int, senders: int, calls: float) -> ColdPart:
        """This gateway's share if the names of the others are unknown.

        A hash of its own name decides whether it sends, so the number of senders is random, and the bound is
        divided by a number of senders that is rarely exceeded.
        """
        wanted = senders / 2
        most = max(1.0, min(wanted + DEVIATIONS * sqrt(wanted), float(gateways)))
        while calls / most <= 1 and wanted > 1 / 8:
            wanted /= 2
            most = max(1.0, wanted + DEVIATIONS * sqrt(wanted))
        if calls / most <= 1 or mix(self._number, server) / HASH_RANGE >= wanted / gateways:
            return NO_PART
        return ColdPart(sends=True, rate=calls / most - 1)

    def _fill(self, now: int, server: int, rate: float) -> _Bucket:
        bucket = self._buckets.get(server)
        if bucket is None:
            # Otherwise the buckets of all gateways fill at the same moment, and all send at once.
            phase = mix(server, self._number) / HASH_RANGE
            bucket = self._buckets[server] = _Bucket(phase, now)
        bucket.tokens = min(1.0, bucket.tokens + rate * (now - bucket.at) / US_PER_S)
        bucket.at = now
        return bucket
