"""The limit on the calls in flight of this node, by the gradient algorithm of adaptive concurrency control.

Each window, limit = limit * (min_rtt + buffer) / sample_rtt + sqrt(limit); docs/design.md names the source.
"""

from collections.abc import Sequence
from dataclasses import InitVar, dataclass, field
from math import ceil, sqrt
from random import Random

# Constants of the published filter. In a pass, the limit is low and the minimum round trip is measured.
WINDOW = 100_000  # microseconds: shortest sampling window, after which the limit is adapted
PERCENTILE = 0.9  # percentile of the latencies in a window or pass that is used as its round trip
MIN_LIMIT = 3  # calls: limit per member in a pass, floor per member over all nodes, least pass limit
PASS_INTERVAL = 60_000_000
PASS_JITTER = 0.1
WINDOWS_AT_MIN = 5  # a pass starts after this many consecutive windows with the limit at the floor
PASS_CALLS = 50  # samples after which a pass ends once it has its least length
GRADIENT_LOW, GRADIENT_HIGH = 0.5, 2.0  # bounds on the factor by which one window changes the limit

# Constants that the published filter leaves open, and those of additions to it.
WINDOW_SAMPLES = 80  # samples after which a window ends once it has its least length
WINDOW_STRETCH = 10  # a window ends after this multiple of WINDOW even if it has fewer than WINDOW_SAMPLES
FULL_WINDOW = 8  # samples; a window with fewer changes the limit only in proportion to their number
LEVEL_TIME = 1_000_000  # microseconds: calls in flight are averaged over at most this, if nodes share servers
BUFFER = 0.25  # least allowed increase of latency over min_rtt, relative to min_rtt
AIM_SHARE = 0.5  # min_rtt plus buffer may always reach this share of a class's latency target (`aim`)
MAX_AIM_SHARE = 0.75  # min_rtt plus buffer never exceeds this share of a class's latency target
MAX_LOSS = 0.05  # share of failed calls above which the limit may fall below the usual calls in flight
USUAL_TIME = 3_000_000  # microseconds: smoothing time of `usual`, the mean calls in flight at good latency
RAMP_RTTS = 2  # smoothing time of `usual` just after a start, in mean round trips
USUAL_FADE = 12_000_000  # microseconds: time constant with which `usual` falls while calls fail
USUAL_MULTIPLE = 2.0  # bound on the limit, as a multiple of `usual`, plus MIN_LIMIT; CEILING may allow more
CAPACITY_POWER = 3  # a decrease of the servers' capacity by a factor x lowers the limit by x to this power
PASS_FLOORS = 2  # limit at first and in a pass, in floors: 6 calls per server over all nodes
CEILING = 1.5  # the limit may always grow to this multiple of the limit in a pass


def percentile(samples: list[float], share: float) -> float:
    """The nearest-rank percentile of a non-empty list, which is sorted in place."""
    samples.sort()
    return samples[ceil(len(samples) * share) - 1]


@dataclass(slots=True, eq=False)
class GradientController:
    """The adaptive limit on this node's calls in flight, over its whole subset.

    Each latency is divided by its class's target, min_rtt + B. With one class this gives the filter's
    gradient (min_rtt + B) / sample_rtt; with several, a change of their mix does not look like overload.
    B is BUFFER x min_rtt, or more if min_rtt + B would else be less than `allowance`: the part of the
    class's latency target that a round trip may take. Any answer within the target has full worth, so a
    shorter round trip gains nothing.
    """

    allowance: Sequence[int]
    ceiling: int
    rng: Random
    now: InitVar[int]
    min_rtt: list[float] = field(init=False)  # by class, microseconds; 0 until measured
    target: list[float] = field(init=False)  # by class, microseconds: min_rtt + B as described above
    members: int = 1
    copies: float = 1.0  # nodes that send to the same member, on average
    sharing: float = 1.0  # nodes over which the growth of the limit is divided, including this one
    capacity: float = 0.0  # capacity of the listed servers, in units of a warm server
    floor: float = float(MIN_LIMIT)
    pass_limit: float = float(MIN_LIMIT)
    limit: float = float(MIN_LIMIT)
    in_flight: int = 0
    level: float = 0.0  # what is compared with the limit: calls in flight, averaged if nodes share servers
    level_at: int = field(init=False)
    flight_sum: int = 0
    latency_sum: int = 0
    ramping: bool = True  # True after a start, as long as the limit is reached and latency is within target
    lost: float = 0.0  # share of calls that ended without an answer, smoothed
    usual: float = 0.0  # calls in flight while latency was within target, smoothed
    samples: list[float] = field(default_factory=list)
    window_start: int = field(init=False)
    sample_rtt: float = 0.0  # the last window's latency percentile, relative to min_rtt + B
    gradient: float = 1.0
    at_min: int = 0
    passes: int = 0
    in_pass: bool = field(init=False)
    pass_samples: list[list[float]] = field(init=False)
    pass_count: int = field(init=False)
    pass_until: int = field(init=False)
    next_pass: int = field(init=False)

    def __post_init__(self, now: int) -> None:
        self.min_rtt = [0.0] * len(self.allowance)
        self.target = [float(a) for a in self.allowance]
        self.level_at = self.window_start = now
        self.start_pass(now)

    def resize(self, members: int, copies: float) -> None:
        """Sets the size of the subset and the number of nodes that use each member."""
        self.members = members
        self.copies = copies
        self.update_sharing()
        # Otherwise, in a rolling restart, each node starts with a higher limit than the others have adapted
        # to, and the sum of the limits overloads every server.
        self.limit = max(self.limit, PASS_FLOORS * self.floor if self.passes == 0 else self.floor)

    def set_capacity(self, capacity: float) -> None:
        """Sets the servers' capacity, in units of a warm server, and lowers the limit if it decreased.

        Otherwise, if servers leave, all nodes keep limits that fit the larger number, and the remaining
        servers are overloaded before latency shows it. The limit falls faster than the capacity, since the
        calls in flight at the leaving servers will be sent again to the others.
        """
        if 0 < capacity < self.capacity:
            part = capacity / self.capacity
            self.usual *= part
            self.limit = max(self.limit * part**CAPACITY_POWER, self.floor)
        self.capacity = capacity

    def update_sharing(self) -> None:
        """Updates how many nodes share the headroom, and the floor and pass limit that follow from it.

        A node with many calls in flight sees the load that it causes and uses the filter's formulas. If nodes
        have less than about one call in flight each, the headroom is divided by their number, as the floor
        always is, and the pass limit, at most PASS_FLOORS floors, by the square root of their number.
        """
        self.sharing = max(1.0, self.copies / (1 + self.usual))
        self.floor = MIN_LIMIT * self.members / max(1.0, self.copies)
        limit = min(MIN_LIMIT * self.members / sqrt(self.sharing), PASS_FLOORS * self.floor)
        self.pass_limit = max(float(MIN_LIMIT), limit)

    def headroom(self) -> float:
        """The growth of the limit per window; over all sharing nodes it is the root of the sum of limits."""
        return sqrt(self.limit / self.sharing)

    def track_in_flight(self, now: int, change: int = 0) -> None:
        """Updates `level`, which is compared with the limit, and adds `change` to the calls in flight.

        It is the number of calls in flight if this node shares the servers with no other node, and otherwise
        the mean of that number over a time of up to LEVEL_TIME.
        Without the mean, a node that averages less than one call in flight may refuse a second one by chance.
        Two calls here say nothing about the total of all nodes, and refusing one relieves no server.
        """
        if self.sharing == 1:
            self.in_flight += change
            self.level = float(self.in_flight)
        else:
            span = LEVEL_TIME * (1 - 1 / self.sharing) * min(1.0, (MIN_LIMIT / self.limit) ** 2)
            part = (now - self.level_at) / span
            self.level += (part if part < 1 else 1.0) * (self.in_flight - self.level)
            self.in_flight += change
        self.level_at = now

    def admits(self, now: int, spare: float) -> bool:
        """Whether a call may start if `spare` times the headroom must stay unused below the limit."""
        self.track_in_flight(now)
        return self.level + spare * self.headroom() < self.effective_limit()

    def effective_limit(self) -> float:
        """The limit in force; during a pass it is at most the limit of the pass."""
        return min(self.limit, self.pass_limit) if self.in_pass else self.limit

    def start_pass(self, now: int) -> None:
        self.in_pass = True
        self.pass_samples = [[] for _ in self.allowance]
        self.pass_count = PASS_CALLS
        self.pass_until = now + WINDOW * WINDOW_STRETCH
        self.at_min = 0

    def end_pass(self, now: int) -> None:
        for klass, samples in enumerate(self.pass_samples):
            if len(samples) >= MIN_LIMIT:
                self.min_rtt[klass] = percentile(samples, PERCENTILE)
                # Otherwise a min_rtt measured under load lets queues grow beyond the latency target.
                most = MAX_AIM_SHARE / AIM_SHARE * self.allowance[klass]
                self.target[klass] = min(max(self.min_rtt[klass] * (1 + BUFFER), self.allowance[klass]), most)
        self.in_pass = False
        self.passes += 1
        self.next_pass = now + int(PASS_INTERVAL * (1 + PASS_JITTER * self.rng.random()))
        self.samples.clear()
        self.flight_sum = self.latency_sum = 0
        self.window_start = now

    def sample(self, now: int, klass: int, latency: int) -> None:
        """Records the latency of a served call, or the timeout of one that timed out."""
        if self.in_pass:
            self.pass_samples[klass].append(latency)
            self.pass_count -= 1
            # Otherwise a pass ends as soon as it has its samples, and has measured only short calls.
            if now >= self.pass_until + (0 if self.pass_count <= 0 else 2 * WINDOW * WINDOW_STRETCH):
                self.end_pass(now)
            return
        self.samples.append(latency / self.target[klass])
        self.flight_sum += self.in_flight
        self.latency_sum += latency
        self.close_window(now)

    def failure(self, now: int, klass: int) -> None:
        """Records a failed call while most members fail: a sign of overload, but no sample for min_rtt."""
        if not self.in_pass:
            self.sample(now, klass, int(2 * self.target[klass]))
        elif now >= self.pass_until:
            self.end_pass(now)

    def close_window(self, now: int) -> None:
        """Adapts the limit if the window is long enough and has enough samples."""
        age = now - self.window_start
        count = len(self.samples)
        if age < WINDOW or count == 0 or (count < WINDOW_SAMPLES and age < WINDOW * WINDOW_STRETCH):
            return
        self.sample_rtt = percentile(self.samples, PERCENTILE)
        self.samples.clear()
        self.window_start = now
        self.gradient = min(GRADIENT_HIGH, max(GRADIENT_LOW, 1.0 / max(self.sample_rtt, 1e-9)))
        limit = self.gradient * self.limit + self.headroom()
        # Otherwise, with few calls, one random latency is a window's percentile and halves the limit.
        limit = self.limit + min(1.0, count / FULL_WINDOW) * (limit - self.limit)
        self.update_usual(age, count)
        self.update_sharing()
        self.limit = max(min(limit, self.max_limit(), self.ceiling), self.min_limit(age))
        # Otherwise a busy node stops for a pass after each overload, which lowers the limit to `usual`.
        self.at_min = self.at_min + 1 if self.limit <= self.floor else 0
        if self.at_min >= WINDOWS_AT_MIN or now >= self.next_pass:
            self.start_pass(now)

    def update_usual(self, age: int, count: int) -> None:
        """Smooths the number of calls in flight while latency is within target.

        Otherwise a node that starts under full traffic refuses half of it for five seconds, since `usual`
        starts at 0. `usual` is therefore smoothed over RAMP_RTTS until the first window that is above target
        or does not reach the limit.
        """
        carried = self.flight_sum / count
        span = USUAL_TIME
        if self.sample_rtt > 1:
            self.ramping = False
        elif self.ramping:
            span = min(span, int(RAMP_RTTS * self.latency_sum / count))
            self.ramping = carried >= 0.5 * self.limit
        self.flight_sum = self.latency_sum = 0
        if self.sample_rtt <= 1 and (carried > self.usual or carried < 0.8 * self.limit):
            self.usual += min(1.0, age / max(span, 1)) * (carried - self.usual)

    def max_limit(self) -> float:
        """The highest value that the limit may grow to.

        Without this cap, a limit that is never reached grows indefinitely while traffic is low, and then
        admits any burst. If each of many nodes had the headroom of a single one, the sum of their limits
        would overload the servers several times over before latency shows it.
        """
        return max(CEILING * self.pass_limit, USUAL_MULTIPLE * self.usual + MIN_LIMIT)

    def min_limit(self, age: int) -> float:
        """The lowest value that the limit may fall to: the calls in flight while latency was within target.

        Without this bound, if all servers are slow for another reason than load, the gradient lowers limits
        until all nodes refuse nearly everything, which makes no server faster.
        """
        kept = (1 - self.lost) ** 2 if self.lost > MAX_LOSS else 1.0
        if self.sample_rtt > 1 and self.lost > MAX_LOSS:
            # Otherwise servers that slow down under load stay overloaded by as many calls as they served
            # before. If calls also fail, fewer calls in flight let them recover.
            self.usual -= min(1.0, age / USUAL_FADE) * self.usual
        return max(self.floor, self.usual * kept)
