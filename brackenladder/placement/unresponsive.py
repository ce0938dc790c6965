"""How long a first event may take, and which servers are doubted since they have left calls unanswered.

The estimate is that of a retransmission timer (RFC 6298): a smoothed mean, and four times its mean deviation,
of what a first event takes beyond the way and the reading that are known.
"""

from __future__ import annotations

from attrs import define, field, frozen

MEAN_GAIN = 1 / 8  # RFC 6298, section 2: alpha
DEVIATION_GAIN = 1 / 4  # the same: beta
DEVIATIONS = 4  # the same: K
LEAST_SAMPLES = 8  # answers before the estimate is used
SILENT_TIMES = 2  # a call that has waited for so many times what a first event may take is unanswered
LATE_WEIGHT = 1  # of a try that ended since its first event was late: a busy server has some of these...
UNANSWERED_WEIGHT = 2  # ...and of a call that is unanswered
DOUBT_TIME = 4_000_000  # microseconds for which both count
MOST_DOUBTED = 0.5  # of the servers looked at; beyond it all are used, as nothing tells them apart


class FirstEventTime:
    """What a first event takes beyond its known cost, in microseconds."""

    def __init__(self) -> None:
        self._mean = 0.0
        self._deviation = 0.0
        self._samples = 0

    @property
    def known(self) -> bool:
        """Whether enough answers were seen."""
        return self._samples >= LEAST_SAMPLES

    @property
    def longest(self) -> float:
        """What it hardly ever takes more than."""
        return self._mean + DEVIATIONS * self._deviation

    def add(self, excess: float) -> None:
        """A first event took so long beyond its known cost."""
        excess = max(0.0, excess)
        self._samples += 1
        if self._samples == 1:
            self._mean, self._deviation = excess, excess / 2
            return
        self._deviation += DEVIATION_GAIN * (abs(excess - self._mean) - self._deviation)
        self._mean += MEAN_GAIN * (excess - self._mean)


@frozen
class _Report:
    at: int
    weight: int


@define(eq=False)
class DoubtedServers:
    """Servers that several calls, of any gateway, have waited at for longer than a first event may take.

    An answer ends no doubt: a server may answer some calls and not others.

    Failure prevented: servers turn dark or mute while their health check is good, and each of many gateways
    finds each of them by losing calls of its own to it.
    """

    _reports: dict[int, list[_Report]] = field(factory=dict)  # by server

    def reported(self, at: int, server: int, weight: int) -> None:
        """A call that was out at a server then was late, or left unanswered."""
        reports = [known for known in self._reports.get(server, ()) if at - known.at < DOUBT_TIME]
        reports.append(_Report(at, weight))
        self._reports[server] = reports

    def doubted(self, now: int, least: int) -> frozenset[int]:
        """The servers with reports of at least this weight lately."""
        if not self._reports:
            return frozenset()
        recent = {
            server: [one for one in known if now - one.at < DOUBT_TIME]
            for server, known in self._reports.items()
        }
        self._reports = {server: known for server, known in recent.items() if known}
        return frozenset(
            [server for server, known in recent.items() if sum([one.weight for one in known]) >= least]
        )
