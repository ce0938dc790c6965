"""State of one server, and estimates of its latency relative to that of the other servers."""

from collections.abc import Sequence
from dataclasses import dataclass

from brackenladder.interface import ServerEntry

SMOOTH = 0.1  # weight of the newest sample in the averages of one server
SMOOTH_ALL = 0.02  # weight of the newest sample in averages over the whole subset
PRIOR = 3.0  # the initial value of an average counts as this many samples
MAX_RATIO = 8.0  # upper bound of a sample, as a multiple of the mean round trip
FAIL_WEIGHT = 8  # slowness is multiplied by 1 + this times the failure rate
FADE = 5_000_000  # microseconds without an outcome after which a server's own measurements no longer count


@dataclass(slots=True, eq=False)
class Average:
    """A running mean, arithmetic at first, later exponential; `value` at first counts as `weight` samples."""

    value: float
    weight: float
    min_gain: float  # least weight of the newest sample

    def add(self, sample: float) -> None:
        self.weight += 1
        step = 1 / self.weight
        self.value += (step if step > self.min_gain else self.min_gain) * (sample - self.value)


class Server:
    """A listed server with this node's measurements of its latency, failures and calls in flight."""

    # fmt: off
    __slots__ = (
        "id", "cell", "zone", "ready_at", "in_list", "member", "in_flight", "kind_id", "kind_ratio",
        "latency_ratio", "fail_rate", "fails_in_row", "calls", "quiet_since", "ejected", "excluded", "silent",
        "unreachable", "trial_at", "trial_in_flight", "ejections", "cold_until", "tokens", "tokens_at",
        "shuffle_key", "share", "weight_penalty", "pool_fraction",
    )
    # fmt: on

    def __init__(self, entry: ServerEntry, kind_ratio: Average) -> None:
        self.id = entry.server
        self.kind_id = entry.kind
        self.kind_ratio = kind_ratio  # round trips to servers of this kind of machine, relative to the mean
        self.in_list = self.member = self.ejected = self.trial_in_flight = False
        self.excluded = False  # its calls do not count against the concurrency limit, since it is ejected
        self.shuffle_key = 0  # sort key in the shuffled order of the servers
        self.share = 1.0  # weight set by an operator
        self.weight_penalty = 1.0  # highest weight of the eligible members, divided by this server's weight
        self.pool_fraction = 1.0  # this pool's part of the server's slow-start allowance
        self.in_flight = self.quiet_since = self.cell = self.zone = 0
        self.renew(entry)

    def renew(self, entry: ServerEntry) -> None:
        """Discards all measurements, because the server's process has been replaced."""
        self.ready_at = entry.ready_at
        self.latency_ratio = Average(1.0, PRIOR, SMOOTH)  # round trips, relative to those of its kind
        self.fail_rate = self.tokens = 0.0
        self.fails_in_row = self.calls = self.trial_at = self.ejections = 0
        self.silent = False
        self.unreachable = False  # it is ejected, because connections to it failed
        self.cold_until = self.tokens_at = 0

    def slowness(self, now: int, mean_rtt: float) -> float:
        """The expected round trip relative to the mean, from its kind of machine, own latency and failures.

        The server's own part of the estimate fades while it has no outcomes. Otherwise a member once measured
        as slow would never be drawn again, and the estimate never corrected.
        """
        quiet = now - self.quiet_since
        slowness = self.kind_ratio.value
        if quiet < FADE:
            own = self.latency_ratio.value * (1 + FAIL_WEIGHT * self.fail_rate)
            slowness *= 1 + (own - 1) * (1 - quiet / FADE)
        if self.in_flight and quiet > mean_rtt:
            # Otherwise a member that has just become slow gets calls until the first ones return.
            slowness *= quiet / mean_rtt
        return slowness


class LatencyEstimates:
    """The mean round trip of each class, and the ratio to it of each kind of machine and each server."""

    def __init__(self, initial_rtt: Sequence[float]) -> None:
        self.mean_rtt = list(initial_rtt)  # by class, in microseconds; assumed until measured
        self.rtt = [Average(m, PRIOR, SMOOTH_ALL) for m in self.mean_rtt]
        self.kind_ratios: dict[int, Average] = {}

    def new_server(self, entry: ServerEntry) -> Server:
        """Creates a server, whose latency estimate starts with that of its kind of machine."""
        return Server(entry, self.kind_ratios.setdefault(entry.kind, Average(1.0, PRIOR, SMOOTH_ALL)))

    def record_latency(self, srv: Server, klass: int, latency: int) -> None:
        """Records the round trip of a call that was served or timed out."""
        ratio = latency / self.mean_rtt[klass]
        if ratio > MAX_RATIO:
            ratio = MAX_RATIO
        srv.latency_ratio.add(ratio / srv.kind_ratio.value)
        srv.kind_ratio.add(ratio)
        average = self.rtt[klass]
        average.add(latency)
        self.mean_rtt[klass] = average.value
