"""The newest complete server list of a process, assembled from full lists and changes. Pure."""

from __future__ import annotations

from brackenladder.interface import ListKind, State
from brackenladder.membership.listing import Line, Listing

MAX_CHANGES = 64  # lists of changes kept separately; more than these are merged into the full list


class LatestList:
    """The list that a process passes to its successor.

    Without it, a process that is restarted while discovery is silent would start with an older list than its
    predecessor had, and would send requests to servers that are known to be draining.
    """

    def __init__(self, known: Listing) -> None:
        self.base = known
        self.changes: list[Listing] = []

    def apply(self, listing: Listing) -> None:
        """Adds a listing; to be called in the order in which the process accepted them."""
        if listing.kind != ListKind.CHANGES:
            self.base, self.changes = listing, []
            return
        if listing.lines or listing.version != self.version:
            self.changes.append(listing)
        if len(self.changes) > MAX_CHANGES:
            self.base, self.changes = self.merged(), []

    @property
    def version(self) -> int:
        return (self.changes or [self.base])[-1].version

    def merged(self) -> Listing:
        """The complete list. It includes draining servers, but not those that are gone."""
        if not self.changes and self.base.kind == ListKind.CACHED:
            return self.base
        lines: dict[str, Line] = {line.id: line for line in self.base.lines}
        for listing in self.changes:
            lines.update((line.id, line) for line in listing.lines)
        remaining = tuple(line for line in lines.values() if line.state != State.GONE)
        return Listing(ListKind.CACHED, self.version, remaining)
