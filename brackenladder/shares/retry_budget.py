"""A gateway's part of the budget of repeats at a service.

In any window of a given length the repeats of all gateways together are bounded by a ratio of the requests
and a slack. Each gateway spends a safe part of the ratio on its own requests, and an equal, safe part of the
slack.
"""

from __future__ import annotations

from collections import deque

from attrs import define, frozen

US_PER_S = 1_000_000
RATIO_PART = 0.5  # of the ratio allowed: the windows of the bound and the ones here are not the same
SLACK_PART = 0.7  # of the slack allowed, over all gateways: some may not know of the newest ones
START_SLACK_PART = 0.15  # the same in the first window of a process: what the last one spent is not known
SLICES = 50  # into which the requests of a window are counted


@frozen
class BudgetBound:
    """What all gateways together may repeat at a service in any window."""

    ratio: float  # of the requests in the window
    slack: float  # calls beside it
    window: int  # microseconds


@define
class _Slice:
    since: int
    requests: int


class RetryBudget:
    """The budget of one gateway at one service, by a sliding window.

    `started_at`: when this process began, if another may have spent of the same budget right before.
    """

    def __init__(self, bound: BudgetBound, started_at: int | None = None) -> None:
        self.bound = bound
        self._whole_at = None if started_at is None else started_at + bound.window
        self._slices: deque[_Slice] = deque()
        self._requests = 0
        self._repeats: deque[int] = deque()

    def request(self, now: int) -> None:
        """A client's request has come."""
        self._fade(now)
        if not self._slices or now - self._slices[-1].since >= self.bound.window // SLICES:
            self._slices.append(_Slice(now, 0))
        self._slices[-1].requests += 1
        self._requests += 1

    def spare(self, now: int, gateways: int) -> bool:
        """Whether there is room for one more repeat."""
        self._fade(now)
        return len(self._repeats) + 1 <= self._most(now, gateways)

    def spend(self, now: int, gateways: int) -> bool:
        """Take one repeat if there is room. `gateways`: the living ones, this one included."""
        if not self.spare(now, gateways):
            return False
        self._repeats.append(now)
        return True

    def give_back(self) -> None:
        """The newest repeat that was taken never reached a server."""
        if self._repeats:
            self._repeats.pop()

    def _most(self, now: int, gateways: int) -> float:
        own = RATIO_PART * self.bound.ratio * self._requests
        starting = self._whole_at is not None and now < self._whole_at
        part = START_SLACK_PART if starting else SLACK_PART
        return own + part * self.bound.slack / max(gateways, 1)

    def _fade(self, now: int) -> None:
        oldest = now - self.bound.window
        while self._slices and self._slices[0].since <= oldest:
            self._requests -= self._slices.popleft().requests
        while self._repeats and self._repeats[0] <= oldest:
            self._repeats.popleft()
