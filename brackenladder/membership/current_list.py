"""A node's current version of one discovery's server list. Pure; time is an argument."""

from __future__ import annotations

from brackenladder.interface import ListKind
from brackenladder.membership.listing import Listing
from brackenladder.membership.withdrawn import WithdrawnServers

MIN_WAIT_MS, MAX_WAIT_MS = 3_000, 20_000  # bounds of the result of `watch_wait_ms`
# Between these bounds the wait grows with the number of nodes, since discovery serves them one by one.
WAIT_MS_PER_NODE = 500


def watch_wait_ms(nodes: int) -> int:
    """How long a watch without news lasts in milliseconds.

    It is bounded because discovery may fall silent while the connection stays open. Until the wait is over,
    requests would go to servers that have left.
    """
    return min(MAX_WAIT_MS, max(MIN_WAIT_MS, WAIT_MS_PER_NODE * nodes))


class CurrentList:
    """The current list version, and the withdrawals that an older list may not undo.

    `version` is None until a list has been received. `known`: the list that the process starts with. `now`:
    see `accept`.
    """

    def __init__(self, known: Listing | None, now: float) -> None:
        self.version = known.version if known else None
        self.withdrawn = WithdrawnServers()
        if known is not None:
            # Records the draining servers of the known list, so that no older list makes them ready again.
            self.withdrawn.filter_listing(known, now)

    def for_new_discovery(self, now: float) -> CurrentList:
        """The state for another discovery, from which no list has been received yet."""
        new = CurrentList(None, now)
        new.withdrawn = self.withdrawn.for_new_discovery(now)
        return new

    def accept(self, listing: Listing, now: float) -> Listing | None:
        """Returns the listing without outdated parts, or None for changes to a list that isn't known.

        `now`: seconds of a monotonic clock.
        """
        if listing.kind == ListKind.CHANGES:
            if self.version is None:
                return None
            if listing.version < self.version:
                # A delayed older response must not bring back drained servers.
                return Listing(ListKind.CHANGES, self.version, ())
        self.version = listing.version
        return self.withdrawn.filter_listing(listing, now)
