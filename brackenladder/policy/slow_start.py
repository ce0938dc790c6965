"""The cold rule: what a server that has just started, or just got warm, may be sent.

The bound over all nodes stands in docs/design.md.
"""

from collections.abc import Sequence
from math import sqrt

from brackenladder.interface import Settings

from .server import Server

COLD_PART = 0.6  # of the multiple allowed; a cold server gets it of what it can do at the least
JUST_WARM = 0.5  # of the rule's time that a server which has got warm may take at once, beside its share
GOLDEN = (sqrt(5) - 1) / 2  # multiples of it, less their whole parts, lie evenly spread
RATE_TIME = 2_000_000  # microseconds over which what a warm member takes is smoothed


class SlowStart:
    """Slow start, by a bucket for each cold server."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.warm_rate = 0.0  # sends a second that a warm member takes, smoothed
        self.warm_sent = 0  # in this window, to all warm members

    def chill(self, now: int, srv: Server, ready_at: int) -> None:
        """The list has the server as ready since then: it is cold for some time."""
        # Failure prevented: the one server that has just got warm takes what no other may, and falls:
        # what it is sent counts over a time that may begin up to its last cold moment.
        cold_until = ready_at + self.settings.cold_time + self.settings.fall_time
        if ready_at > 0 and now < cold_until:
            # Failure prevented: a restarted server looks idle and draws a flood that pushes it over.
            if srv.cold_until == 0:
                srv.tokens_at = now
                srv.tokens = self.stagger(srv)
            srv.cold_until = cold_until

    def stagger(self, srv: Server) -> float:
        """The part of its first call's token that this copy begins with: spread evenly over all copies.

        Failure prevented: where many copies send little each, their empty buckets fill together, the cold
        server stands idle for most of its warming, and then all of them send at once.
        """
        place = (self.settings.index + srv.id % 65536) * GOLDEN % 1.0
        return place * (1 - 1 / self.settings.instances)

    def warmth(self, now: int, srv: Server) -> float:
        """The part of its capacity that a server has at least."""
        s = self.settings
        left = srv.cold_until - s.fall_time - now
        if left <= 0:
            return 1.0
        # Failure prevented: a start that lies in the future, by the list, makes a server less than nothing.
        return 1 - (1 - s.cold_share) * left / s.cold_time if left < s.cold_time else s.cold_share

    def may_send(self, now: int, srv: Server) -> bool:
        """Slow start: a cold server takes its present share of what a warm member gets from this copy.

        The share is more than it can do at least, by the settings: most can do more. Where one cannot, its
        calls take longer, and it loses the draws.
        Failure prevented: all nodes together push a cold server over. A bucket of one call keeps this
        copy's part within any window.
        """
        if srv.cold_until <= now:
            return True
        s = self.settings
        warm_at = srv.cold_until - s.fall_time
        warmth = self.warmth(now, srv)
        most = 1.0
        shares = max(1.0, COLD_PART * s.fall_multiple) if now < warm_at else 1.0
        if now >= warm_at:
            # Warm, with a bucket that begins half full: in the rule's window as many shares as before it.
            most = 1.0 + self.warm_rate * s.fall_time / 1e6
            if srv.tokens_at < warm_at:
                srv.tokens_at = warm_at - int(s.fall_time * JUST_WARM)
        gain = shares * self.warm_rate * warmth * (now - srv.tokens_at) / 1e6
        srv.tokens = min(most, srv.tokens + gain * srv.part)
        srv.tokens_at = now
        if srv.tokens < 1:
            return False
        srv.tokens -= 1
        return True

    def count_warm(self, now: int, span: int, members: Sequence[Server], late: bool) -> None:
        """What a warm member takes, at a window's end. `late`: latency is above target."""
        warm = 0
        for m in members:
            warm += m.cold_until <= now and not m.ejected
        if warm:
            rate = self.warm_sent * 1e6 / span / warm
            if late:
                # Failure prevented: the warm ones slow down under what the missing ones carried, take less,
                # and the cold ones, whose share is of that, are left idle for as long as it lasts.
                rate = max(rate, self.warm_rate)
            self.warm_rate = max(0.0, self.warm_rate + min(1.0, span / RATE_TIME) * (rate - self.warm_rate))
        self.warm_sent = 0
