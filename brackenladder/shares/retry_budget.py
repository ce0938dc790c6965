"""A gateway's part of the retry budget of a service.

In any window of a given length, the retries of all gateways together are bounded by a ratio of the requests
plus a slack. Each gateway may use a safe part of the ratio for its own requests, and an equal, safe part of
the slack.
"""

from __future__ import annotations

from collections import deque

from attrs import define, frozen

US_PER_S = 1_000_000
RATIO_PART = 0.5  # part of the ratio that is used, as this sliding window and that of the bound differ
SLACK_PART = 0.7  # part of the slack used by all gateways together, as some may not know of new gateways yet
START_SLACK_PART = 0.15  # SLACK_PART for a process's first window, as its predecessor may have used slack
SLICES = 50  # a window is divided into this many time slices, each with one count of requests


@frozen
class BudgetBound:
    """How many retries all gateways together may send to a service in any window."""

    ratio: float  # retries per request in the window
    slack: float  # retries allowed in addition, whatever the number of requests
    window: int  # length of the window in microseconds


@define
class _Slice:
    since: int
    requests: int


class RetryBudget:
    """The budget of one gateway at one service, over a sliding window.

    `started_at`: when this process started; for one window from then on, only START_SLACK_PART of the slack
    is used, as a predecessor may have used some. None: no process before it has used this budget.
    """

    def __init__(self, bound: BudgetBound, started_at: int | None = None) -> None:
        self.bound = bound
        self._full_at = None if started_at is None else started_at + bound.window
        self._slices: deque[_Slice] = deque()
        self._requests = 0
        self._retries: deque[int] = deque()

    def request(self, now: int) -> None:
        """Records a request of a client, which increases the number of retries allowed in the window."""
        self._expire(now)
        if not self._slices or now - self._slices[-1].since >= self.bound.window // SLICES:
            self._slices.append(_Slice(now, 0))
        self._slices[-1].requests += 1
        self._requests += 1

    def spare(self, now: int, gateways: int) -> bool:
        """Whether one more retry is allowed."""
        self._expire(now)
        return len(self._retries) + 1 <= self._allowed(now, gateways)

    def spend(self, now: int, gateways: int) -> bool:
        """Takes one retry if it is allowed. `gateways`: number of live gateways, including this one."""
        if not self.spare(now, gateways):
            return False
        self._retries.append(now)
        return True

    def give_back(self) -> None:
        """Returns the retry taken last, because it did not reach a server."""
        if self._retries:
            self._retries.pop()

    def _allowed(self, now: int, gateways: int) -> float:
        own = RATIO_PART * self.bound.ratio * self._requests
        starting = self._full_at is not None and now < self._full_at
        part = START_SLACK_PART if starting else SLACK_PART
        return own + part * self.bound.slack / max(gateways, 1)

    def _expire(self, now: int) -> None:
        oldest = now - self.bound.window
        while self._slices and self._slices[0].since <= oldest:
            self._requests -= self._slices.popleft().requests
        while self._retries and self._retries[0] <= oldest:
            self._retries.popleft()
