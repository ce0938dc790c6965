"""Servers that operators suspended (put on hold), and the resulting server list. No I/O, no clock.

Times are integer microseconds of Unix time, as are the start times in discovery's list.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from brackenladder.interface import ListKind, State
from brackenladder.membership.listing import Line, Listing

MAX_HOLDS = 4096  # most servers that are suspended, or whose suspension has ended but is still remembered
HOLD_RETENTION_US = 300_000_000  # microseconds for which a suspension is remembered after its end


@dataclass(frozen=True)
class Hold:
    """The time during which an operator keeps a server out of service. `until` is 0 until it ends."""

    since: int
    until: int = 0


class TooManyHolds(Exception):
    """`MAX_HOLDS` servers are already suspended or remembered as such."""


class Maintenance:
    """Applies operators' suspensions of servers (holds) to the server list from discovery.

    A server on hold is reported as draining even if the list has it as ready. It may be restarted during the
    hold, which the list may show late. So after the hold, the server counts as started at the end of the
    hold until the list has a start time at or after the begin of the hold. Otherwise a cold server would get
    the load of a warm one and fail.
    """

    def __init__(self) -> None:
        self.holds: dict[str, Hold] = {}
        self.lines: dict[str, Line] = {}  # discovery's latest list by server, without those that are gone

    def is_known(self, server: str) -> bool:
        """Whether the server is in discovery's list or is suspended now."""
        return server in self.lines or self.is_held(server)

    def is_held(self, server: str) -> bool:
        hold = self.holds.get(server)
        return hold is not None and not hold.until

    def suspend(self, server: str, now: int) -> None:
        """Takes a server out of service; a repeated call changes nothing. May raise TooManyHolds."""
        self.drop_expired_holds(now)
        if self.is_held(server):
            return
        if server not in self.holds and len(self.holds) >= MAX_HOLDS:
            raise TooManyHolds
        self.holds[server] = Hold(now)

    def restore(self, server: str, now: int) -> None:
        """Ends a server's suspension, even after several calls of `suspend`. Ignores any other server."""
        if self.is_held(server):
            self.holds[server] = replace(self.holds[server], until=now)

    def drop_expired_holds(self, now: int) -> None:
        for server in [
            name for name, hold in self.holds.items() if hold.until and hold.until + HOLD_RETENTION_US <= now
        ]:
            del self.holds[server]

    def process_listing(self, listing: Listing) -> Listing:
        """Records a server list from discovery and returns it with suspended servers shown as draining."""
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
        """Returns the list update to apply after suspensions of these servers have begun or ended."""
        lines = tuple(self.apply_hold(self.lines[server]) for server in servers if server in self.lines)
        return Listing(ListKind.CHANGES, version, lines)

    def replace_holds(self, holds: Mapping[str, Hold]) -> list[str]:
        """Adopts the suspensions saved by this node's other process. Returns the servers affected."""
        changed = [name for name in {**self.holds, **holds} if self.holds.get(name) != holds.get(name)]
        self.holds = dict(holds)
        return changed
