"""What a node does between its start and its first request: asking others for the newest state. Pure.

Phases: `asking` until somebody was heard, or PATIENCE is over; `fetching` while a newer state comes; then
`current`, `alone` (nobody was heard, and `alone = "serve"`), `refusing` (nobody was heard, and it must not
serve on what it cannot know), `behind` (the newest state could not be had, or not be taken), or `conflict`.
Some seconds after its start a node takes no state from others any more: a change comes from an operator.
"""

from __future__ import annotations

from typing import Literal

from brackenladder.recovery.generation import Comparison, Generation, KnownGenerations, compare

PATIENCE = 2_000_000  # microseconds for somebody to be heard
FETCHING = 5_000_000  # and for a newer state to come, after which the node is behind
SETTLING = 10_000_000  # from the start, in which a newer state that is heard of late is still taken

Phase = Literal["asking", "fetching", "current", "alone", "refusing", "behind", "conflict"]


class StartupRecovery:
    """One start. `alone`: whether to serve without having heard anybody."""

    def __init__(self, now: int, peers: int, alone: bool) -> None:
        self.since = now
        self.peers = peers
        self.alone = alone
        self.first_word = -1
        self.fetching_since = -1
        self.settled = False  # from now on a state comes from an operator only
        self.was_current = False  # requests have been taken on what was known
        self.phase: Phase = "asking" if peers else "current"

    def update(
        self, now: int, mine: Generation, known: KnownGenerations, refused: str, unheard: int
    ) -> Phase:
        """The phase now.

        `refused`: why the newest state cannot be taken; `unheard`: how many others may be there.
        Failure prevented: most nodes start together, hear one another first, and settle on nothing before
        the one that has the state is heard.
        """
        if not self.peers:
            return "current"
        if known.heard and self.first_word < 0:
            self.first_word = now
        if self.first_word < 0:
            if now - self.since >= PATIENCE:
                self.phase = "alone" if self.alone else "refusing"
            return self.phase
        newest = known.newest(mine)
        if compare(mine, newest) == Comparison.OLDER:
            if self.fetching_since < 0:
                self.fetching_since = now
            late = now - self.fetching_since >= FETCHING
            self.phase = "behind" if refused or late or self.settled else "fetching"
        elif known.conflicts(mine):
            self.phase, self.fetching_since, self.settled = "conflict", -1, True
        elif self.phase == "asking" and unheard and now - self.since < PATIENCE:
            pass  # some words are not the fleet's
        else:
            self.phase, self.fetching_since, self.was_current = "current", -1, True
            self.settled = self.settled or now - self.since >= SETTLING
        return self.phase

    @property
    def serves(self) -> bool:
        """Whether requests are taken in this phase. Who is behind serves what it has, and says so."""
        return self.was_current or self.phase not in ("asking", "fetching", "refusing")
