"""Which requests may be retried, and the budget of retries."""

from dataclasses import dataclass
from math import sqrt

from brackenladder.interface import NEVER_RAN, ClassSettings, Effect, Group, Outcome

from .server import Server

RETRY_RATIO = 0.1  # retry tokens earned by each first attempt
LEAST_TOKENS = 3.0  # bucket capacity, or the square root of the concurrency limit if that is more
CONNECT_FAILED = Outcome.CONNECT_FAILED


@dataclass(slots=True, eq=False)
class Request:
    """An open request. It has at most one attempt in flight."""

    id: int
    klass: int
    effect: Effect
    useful_until: int
    attempts: int = 0
    current_server: Server | None = None  # server of the attempt in flight; None: no attempt
    ran_on: Server | None = None  # the first server that may have run the request
    ran_at: int = 0
    answering: bool = False  # the answer has started
    queued: bool = False
    sent_at: int = 0

    def record_failure(self, srv: Server | None, outcome: Outcome) -> None:
        """Remembers the server and time of the first failed attempt that may have run."""
        if outcome not in NEVER_RAN and self.ran_on is None:
            self.ran_on = srv
            self.ran_at = self.sent_at

    def repeatable(self, now: int, settings: ClassSettings) -> bool:
        """Whether a retry is safe: for a keyed request, only while the servers remember its first attempt."""
        if self.ran_on is None or self.effect == Effect.SAFE:
            return True
        return self.effect == Effect.KEYED and now < self.ran_at + settings.window


def same_group(group: Group, one: Server, other: Server) -> bool:
    """Whether each of two servers discards a repeat of a request that the other one has run."""
    if group == Group.CELL:
        return one.cell == other.cell
    return group == Group.ALL or group == Group.ZONE and one.zone == other.zone


class Retries:
    """A token bucket that limits retries to a share of first attempts: retries of several tiers multiply."""

    def __init__(self) -> None:
        self.retry_tokens = LEAST_TOKENS

    def earn(self, limit: float) -> None:
        """Adds the tokens for a first attempt; `limit`: this node's concurrency limit."""
        tokens, most = self.retry_tokens + RETRY_RATIO, sqrt(limit)
        if most < LEAST_TOKENS:
            most = LEAST_TOKENS
        self.retry_tokens = tokens if tokens < most else most

    def spend(self, outcome: Outcome) -> bool:
        """Takes a token for a retry after this outcome; False if there is none."""
        if outcome == CONNECT_FAILED:  # needs no token: the failed attempt cost no server any work
            return True
        if self.retry_tokens < 1:
            return False
        self.retry_tokens -= 1
        return True
