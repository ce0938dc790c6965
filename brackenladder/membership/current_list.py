"""The list that a node has of one discovery: pure, with time as an argument."""

from __future__ import annotations

from brackenladder.interface import ListKind
from brackenladder.membership.listing import Listing
from brackenladder.membership.withdrawn import WithdrawnServers

MIN_WAIT_MS, MAX_WAIT_MS = 3_000, 20_000  # a watch with no news lasts so long...
WAIT_MS_PER_NODE = 500  # ...in between: for each node of the tier, since discovery serves them all in turn


def watch_wait_ms(nodes: int) -> int:
    """How long a watch without news lasts.

    Failure prevented: discovery says nothing more on a connection that stays open, and until the wait is over
    requests go to servers that have left.
    """
    return min(MAX_WAIT_MS, max(MIN_WAIT_MS, WAIT_MS_PER_NODE * nodes))


class CurrentList:
    """The version in hand, and what an older list may not undo. With no version, nothing has been heard.

    `known`: the list that a process begins with, `now`: see `accept`.
    """

    def __init__(self, known: Listing | None, now: float) -> None:
        self.version = known.version if known else None
        self.withdrawn = WithdrawnServers()
        if known is not None:
            # Failure prevented: an older list brings a server back that the known list had as draining.
            self.withdrawn.filter_listing(known, now)

    def for_new_discovery(self, now: float) -> CurrentList:
        """What is left of it for another discovery, of which nothing has been heard yet."""
        new = CurrentList(None, now)
        new.withdrawn = self.withdrawn.for_new_discovery(now)
        return new

    def accept(self, listing: Listing, now: float) -> Listing | None:
        """The news in a listing; None if it is the changes of a list that is not known.

        `now`: seconds of a clock that only goes forward.
        """
        if listing.kind == ListKind.CHANGES:
            if self.version is None:
                return None
            if listing.version < self.version:
                # Failure prevented: an old answer that was overtaken brings drained servers back.
                return Listing(ListKind.CHANGES, self.version, ())
        self.version = listing.version
        return self.withdrawn.filter_listing(listing, now)
