"""The phases between a node's start and its first request, in which it gets the newest state from others.

`asking` until another node has answered or ASK_TIMEOUT is over; `fetching` while a newer state is
transferred; then `current`, `alone` (no node answered, but `alone` is "serve"), `refusing` (no node answered,
and the node must not serve a state that may be out of date), `behind` (the newest state could not be fetched
or applied), or `conflict`. SETTLE_TIME after its start and later, a node takes a new state only
from an operator.
"""

from __future__ import annotations

from typing import Literal

from brackenladder.recovery.generation import Comparison, Generation, KnownGenerations, compare

ASK_TIMEOUT = 2_000_000  # microseconds to wait for the first answer of another node
FETCH_TIMEOUT = 5_000_000  # microseconds in which a newer state must be fetched; later the node is `behind`
SETTLE_TIME = 10_000_000  # microseconds after the start in which a newer state is still taken from others

Phase = Literal["asking", "fetching", "current", "alone", "refusing", "behind", "conflict"]


class StartupRecovery:
    """The phase of a node after its start. `alone`: whether it may serve if no other node answers."""

    def __init__(self, now: int, peers: int, alone: bool) -> None:
        self.started_at = now
        self.peers = peers
        self.alone = alone
        self.first_answer_at = -1
        self.fetch_started_at = -1
        self.settled = False  # from now on a new state is taken from an operator only
        self.was_current = False  # has been in phase `current`, so it keeps accepting requests
        self.phase: Phase = "asking" if peers else "current"

    def update(
        self, now: int, mine: Generation, known: KnownGenerations, refused: str, unanswered: int
    ) -> Phase:
        """Updates and returns the phase.

        `refused`: why the newest state cannot be applied; `unanswered`: number of nodes without an answer.
        Otherwise, if most nodes start together, they get answers from each other first, and agree on having
        no state before the node that has one answers.
        """
        if not self.peers:
            return "current"
        if known.heard and self.first_answer_at < 0:
            self.first_answer_at = now
        if self.first_answer_at < 0:
            if now - self.started_at >= ASK_TIMEOUT:
                self.phase = "alone" if self.alone else "refusing"
            return self.phase
        newest = known.newest(mine)
        if compare(mine, newest) == Comparison.OLDER:
            if self.fetch_started_at < 0:
                self.fetch_started_at = now
            late = now - self.fetch_started_at >= FETCH_TIMEOUT
            self.phase = "behind" if refused or late or self.settled else "fetching"
        elif known.conflicts(mine):
            self.phase, self.fetch_started_at, self.settled = "conflict", -1, True
        elif self.phase == "asking" and unanswered and now - self.started_at < ASK_TIMEOUT:
            pass  # other nodes may still answer with a newer state
        else:
            self.phase, self.fetch_started_at, self.was_current = "current", -1, True
            self.settled = self.settled or now - self.started_at >= SETTLE_TIME
        return self.phase

    @property
    def serves(self) -> bool:
        """Whether requests are accepted in this phase; a node that is `behind` serves its old state."""
        return self.was_current or self.phase not in ("asking", "fetching", "refusing")
