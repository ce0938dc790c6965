"""Policy modelled on Envoy: least request, slow start, outlier ejection, a retry budget and adaptive
concurrency for the cluster as a whole. Values are Envoy's defaults where it has any."""

from __future__ import annotations

from math import ceil, sqrt

from brackenladder.fleet.rivals.base import BaselinePolicy, KnownServer, OpenRequest
from brackenladder.interface import Outcome

EJECT_AFTER = 5  # failures in a row after which a server is ejected
EJECT_TIME = 30_000_000
EJECT_SHARE = 0.1  # largest share of servers ejected at a time, but at least one server
RETRY_BUDGET = 0.2  # limit of open retries, as a share of the open calls
MIN_RETRIES = 3  # number of open retries that is always allowed
MIN_SLOW_START_WEIGHT = 0.1  # smallest share of its weight that a warming server gets
WINDOW = 100_000
PERCENTILE = 0.9
BUFFER = 0.25
MIN_RTT_EVERY = 60_000_000
MIN_RTT_CALLS = 50
MIN_RTT_LIMIT = 3
MAX_LIMIT = 1000
GRADIENT = (0.5, 2.0)


class EnvoyLike(BaselinePolicy):
    """Envoy-like policy as designed for a single node in front of a cluster."""

    limit = float(MIN_RTT_LIMIT)
    min_rtt = 0
    open = 0
    retries = 0
    window_at = 0
    measured_at = 0
    measuring = True

    def start(self, now: int) -> None:
        super().start(now)
        self.samples: list[int] = []
        self.retrying: set[int] = set()
        self.window_at = self.measured_at = now

    def admits(self, now: int, open_request: OpenRequest) -> bool:
        return self.open < (MIN_RTT_LIMIT if self.measuring else int(self.limit))

    def may_retry(self, now: int, open_request: OpenRequest) -> bool:
        if len(self.retrying) >= max(MIN_RETRIES, RETRY_BUDGET * len(self.requests)):
            return False
        self.retrying.add(open_request.id)
        return True

    def weight(self, now: int, member: KnownServer) -> float:
        """Slow start: the weight grows while a server warms up."""
        window = self.settings.cold_time
        age = now - member.entry.ready_at
        if not member.entry.ready_at or not window or age >= window:
            return 1.0
        return max(MIN_SLOW_START_WEIGHT, age / window)

    def pick(self, now: int, open_request: OpenRequest, candidates: list[KnownServer]) -> KnownServer | None:
        able = [m for m in candidates if m.ejected_until <= now] or candidates
        first, second = (able[int(self.rng.random() * len(able))] for _ in range(2))
        a = (first.in_flight + 1) / self.weight(now, first)
        b = (second.in_flight + 1) / self.weight(now, second)
        self.open += 1
        return first if a <= b else second

    def ended(
        self, now: int, open_request: OpenRequest | None, member: KnownServer, outcome: Outcome, latency: int
    ) -> None:
        self.open -= 1
        if open_request is not None and (outcome == Outcome.OK or open_request.attempts > 1):
            self.retrying.discard(open_request.id)
        if outcome in (Outcome.OK, Outcome.REJECTED):
            member.consecutive_failures = 0
        elif outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT):
            member.consecutive_failures += 1
            out = sum(m.ejected_until > now for m in self.members.values())
            if member.consecutive_failures >= EJECT_AFTER and out < max(1, EJECT_SHARE * len(self.members)):
                member.ejections += 1
                member.ejected_until = now + EJECT_TIME * member.ejections
                member.consecutive_failures = 0
        if outcome == Outcome.OK:
            self.sample(now, latency)

    def sample(self, now: int, latency: int) -> None:
        """Adds a latency sample.

        While measuring, the percentile of the samples becomes the new minimum round-trip time; otherwise that
        of each window adjusts the limit.
        """
        self.samples.append(latency)
        if self.measuring:
            if len(self.samples) >= MIN_RTT_CALLS:
                self.min_rtt = self.percentile()
                self.measuring = False
                self.measured_at = self.window_at = now
            return
        if now - self.window_at < WINDOW:
            return
        self.window_at = now
        gradient = self.min_rtt * (1 + BUFFER) / max(1, self.percentile())
        gradient = min(GRADIENT[1], max(GRADIENT[0], gradient))
        self.limit = min(MAX_LIMIT, max(MIN_RTT_LIMIT, gradient * self.limit + sqrt(self.limit)))
        if now - self.measured_at >= MIN_RTT_EVERY * (1 + 0.15 * self.rng.random()):
            self.measuring = True

    def percentile(self) -> int:
        self.samples.sort()
        value = self.samples[ceil(len(self.samples) * PERCENTILE) - 1]
        self.samples.clear()
        return value
