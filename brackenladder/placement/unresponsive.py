"""How long a first event may take, and which servers are suspected because calls there were unanswered.

The estimate is that of a retransmission timer (RFC 6298): the smoothed mean plus four times the mean
deviation, of the time until the first event less the known round trip and prefill.
"""

from __future__ import annotations

from attrs import define, field, frozen

MEAN_GAIN = 1 / 8  # RFC 6298, section 2: alpha
DEVIATION_GAIN = 1 / 4  # RFC 6298, section 2: beta
DEVIATIONS = 4  # RFC 6298, section 2: K
LEAST_SAMPLES = 8  # answers needed before the estimate is used
UNANSWERED_FACTOR = 2  # a call counts as unanswered after this multiple of the longest expected wait
LATE_WEIGHT = 1  # weight of an attempt that timed out; low, since busy servers have some of these too
UNANSWERED_WEIGHT = 2  # weight of an unanswered call
SUSPICION_TIME = 4_000_000  # microseconds for which a late or unanswered call counts
MAX_SUSPECTED = 0.5  # largest share of servers that is avoided; if more are suspected, all are used


class FirstEventTime:
    """Estimates the time until a first event beyond its known cost, in microseconds."""

    def __init__(self) -> None:
        self._mean = 0.0
        self._deviation = 0.0
        self._samples = 0

    @property
    def known(self) -> bool:
        """Whether there are enough samples for an estimate."""
        return self._samples >= LEAST_SAMPLES

    @property
    def longest(self) -> float:
        """The estimate: an upper bound that is rarely exceeded, in microseconds beyond the known cost."""
        return self._mean + DEVIATIONS * self._deviation

    def add(self, excess: float) -> None:
        """Records the time of a first event beyond its known cost."""
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
class SuspectedServers:
    """Servers at which several calls, of any gateway, have waited longer than a first event may take.

    An answer does not end the suspicion, since a server may answer some calls and not others.

    Without this, if servers stop answering while their health checks succeed, each of many gateways has to
    lose calls of its own to each of them to find out.
    """

    _reports: dict[int, list[_Report]] = field(factory=dict)  # by server

    def record_report(self, at: int, server: int, weight: int) -> None:
        """Records that a call at a server was late or unanswered at time `at`."""
        reports = [known for known in self._reports.get(server, ()) if at - known.at < SUSPICION_TIME]
        reports.append(_Report(at, weight))
        self._reports[server] = reports

    def suspected(self, now: int, least: int) -> frozenset[int]:
        """The servers whose recent reports have at least this total weight."""
        if not self._reports:
            return frozenset()
        recent = {
            server: [report for report in known if now - report.at < SUSPICION_TIME]
            for server, known in self._reports.items()
        }
        self._reports = {server: known for server, known in recent.items() if known}
        return frozenset(
            [server for server, known in recent.items() if sum([report.weight for report in known]) >= least]
        )
