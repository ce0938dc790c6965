"""Servers that operators hold back: what discovery says of them while they are, and after. No I/O, no clock.

Times are integer microseconds of Unix time, the clock that a list's start times are of.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from brackenladder.interface import ListKind, State
from brackenladder.membership.listing import Line, Listing

MAX_HOLDS = 4096  # servers that may be held back, or lately have been, at once
HOLD_RETENTION_US = 300_000_000  # after so long a server that was given back counts as any other


@dataclass(frozen=True)
class Hold:
    """A server held back since `since`, and given back at `until` (0: not yet)."""

    since: int
    until: int = 0


class TooManyHolds(Exception):
    """As many servers are held back as may be."""


class Maintenance:
    """Lays the operators' word over discovery's.

    A server that is held back drains, whatever the list says. One that was given back may have been started
    anew in between, and the list says so late: until it names a start later than the hold, the server counts
    as started when it was given back. Failure prevented: a cold server gets a warm one's load, and falls
    over.
    """

    def __init__(self) -> None:
        self.holds: dict[str, Hold] = {}
        self.lines: dict[str, Line] = {}  # the list as discovery last gave it, without those that are gone

    def is_known(self, server: str) -> bool:
        """Whether the list names this server, or an operator holds it back."""
        return server in self.lines or self.is_held(server)

    def is_held(self, server: str) -> bool:
        hold = self.holds.get(server)
        return hold is not None and not hold.until

    def suspend(self, server: str, now: int) -> None:
        """Holds a server back; a second time changes nothing. TooMany if there is no room."""
        self.drop_expired_holds(now)
        if self.is_held(server):
            return
        if server not in self.holds and len(self.holds) >= MAX_HOLDS:
            raise TooManyHolds
        self.holds[server] = Hold(now)

    def restore(self, server: str, now: int) -> None:
        """Gives a server back, however often it was held back; one that was not held is left as it is."""
        if self.is_held(server):
            self.holds[server] = replace(self.holds[server], until=now)

    def drop_expired_holds(self, now: int) -> None:
        for server in [s for s, h in self.holds.items() if h.until and h.until + HOLD_RETENTION_US <= now]:
            del self.holds[server]

    def process_listing(self, listing: Listing) -> Listing:
        """Discovery's news, as the node is to take them."""
        if listing.kind != ListKind.CHANGES:
            self.lines.clear()
        for line in listing.lines:
            if line.state == State.GONE:
                self.lines.pop(line.id, None)
            else:
                self.lines[line.id] = line
        if not self.holds:
            return listing
        return replace(listing, lines=tuple(self.apply_hold(line) for line in listing.lines))

    def apply_hold(self, line: Line) -> Line:
        hold = self.holds.get(line.id)
        if hold is None or line.state != State.READY:
            return line
        if not hold.until:
            return replace(line, state=State.DRAINING)
        return line if line.started >= hold.since else replace(line, started=hold.until)

    def listing_for(self, servers: Iterable[str], version: int) -> Listing:
        """The change of list that a call about these servers makes."""
        lines = tuple(self.apply_hold(self.lines[s]) for s in servers if s in self.lines)
        return Listing(ListKind.CHANGES, version, lines)

    def replace_holds(self, holds: Mapping[str, Hold]) -> list[str]:
        """Takes on what another process of this node has noted; the servers that it changes."""
        changed = [s for s in {**self.holds, **holds} if self.holds.get(s) != holds.get(s)]
        self.holds = dict(holds)
        return changed
