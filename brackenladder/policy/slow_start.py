"""Slow start: limits what a server is sent while it warms up after a start, and just after.

A server fails if it gets over `fall_multiple` times its present capacity for `fall_time` (docs/design.md).
"""

from collections.abc import Sequence
from math import sqrt

from brackenladder.interface import Settings

from .server import Server

COLD_PART = 0.6  # part of the load limit (`fall_multiple` times capacity) that a cold server is sent
JUST_WARM = 0.5  # initial fill of the bucket of a server that is just warm, as a part of `fall_time`
GOLDEN = (sqrt(5) - 1) / 2  # the fractional parts of multiples of this are evenly distributed
RATE_TIME = 2_000_000  # microseconds over which the call rate of warm members is smoothed


class SlowStart:
    """Limits the calls of this node to each cold server by a token bucket."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.warm_rate = 0.0  # calls a second that this node sends to a warm member, smoothed
        self.warm_sent = 0  # calls to all warm members in this window

    def start_warming(self, now: int, srv: Server, ready_at: int) -> None:
        """Marks the server as cold if it became ready at `ready_at` and cannot be warm yet."""
        # Otherwise the first warm server gets all the calls that cold ones may not take, and fails: its load
        # is measured over the last `fall_time`, in part of which it was still cold.
        cold_until = ready_at + self.settings.cold_time + self.settings.fall_time
        if ready_at > 0 and now < cold_until:
            # Otherwise all nodes overload a restarted server, since it has no calls in flight.
            if srv.cold_until == 0:
                srv.tokens_at = now
                srv.tokens = self.initial_tokens(srv)
            srv.cold_until = cold_until

    def initial_tokens(self, srv: Server) -> float:
        """The first fill of this node's bucket for a server; the fills of all nodes are evenly distributed.

        Otherwise, where many nodes send little each, their empty buckets fill up at the same moment: the cold
        server is idle for most of its warm-up, and then all nodes send at once.
        """
        position = (self.settings.index + srv.id % 65536) * GOLDEN % 1.0
        return position * (1 - 1 / self.settings.instances)

    def warmth(self, now: int, srv: Server) -> float:
        """A lower bound of the server's present capacity, as a part of its full capacity."""
        s = self.settings
        left = srv.cold_until - s.fall_time - now
        if left <= 0:
            return 1.0
        # Otherwise a listed start time in the future gives a negative capacity.
        return 1 - (1 - s.cold_share) * left / s.cold_time if left < s.cold_time else s.cold_share

    def may_send(self, now: int, srv: Server) -> bool:
        """Takes a token for a call to the server; False if it is cold and its bucket is empty.

        The bucket of a cold server fills at the rate of a warm member, times the server's present capacity,
        times COLD_PART of `fall_multiple`. Most servers can take more; one that cannot gets slow and is
        drawn less. The bucket holds one call, so that this node sends no bursts.
        Otherwise all nodes together overload a cold server.
        """
        if srv.cold_until <= now:
            return True
        s = self.settings
        warm_at = srv.cold_until - s.fall_time
        warmth = self.warmth(now, srv)
        most = 1.0
        shares = max(1.0, COLD_PART * s.fall_multiple) if now < warm_at else 1.0
        if now >= warm_at:
            # Larger bucket, half full at `warm_at`: no window of `fall_time` has more calls than before it.
            most = 1.0 + self.warm_rate * s.fall_time / 1e6
            if srv.tokens_at < warm_at:
                srv.tokens_at = warm_at - int(s.fall_time * JUST_WARM)
        gain = shares * self.warm_rate * warmth * (now - srv.tokens_at) / 1e6
        srv.tokens = min(most, srv.tokens + gain * srv.pool_fraction)
        srv.tokens_at = now
        if srv.tokens < 1:
            return False
        srv.tokens -= 1
        return True

    def update_warm_rate(self, now: int, span: int, members: Sequence[Server], late: bool) -> None:
        """Updates the call rate of a warm member after a window of length `span`. `late`: above target."""
        warm = 0
        for m in members:
            warm += m.cold_until <= now and not m.ejected
        if warm:
            rate = self.warm_sent * 1e6 / span / warm
            if late:
                # Otherwise overloaded warm members slow down and take fewer calls, which lowers the rate
                # allowed to cold ones, so that these stay idle while the overload lasts.
                rate = max(rate, self.warm_rate)
            self.warm_rate = max(0.0, self.warm_rate + min(1.0, span / RATE_TIME) * (rate - self.warm_rate))
        self.warm_sent = 0
