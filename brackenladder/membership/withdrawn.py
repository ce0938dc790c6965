"""What an older list may not undo: servers that were told to drain or to be gone."""

from __future__ import annotations

from dataclasses import replace

from brackenladder.interface import ListKind, State
from brackenladder.membership.listing import Listing

MAX_WITHDRAWN = 2_000  # withdrawals of one discovery; beyond it the oldest is forgotten
RETENTION = 60.0  # seconds that a withdrawal holds against older lists; no drain lasts so long


class WithdrawnServers:
    """Remembers, for one discovery, which servers its newest list has withdrawn.

    Failure prevented: one of several replicas of discovery lags behind, or is restored from a copy. Its
    whole list has an older version and names a server as ready that a newer one had named as draining, and
    requests go there again. A process that drains never comes back: only a newer version, or a later start
    under the same id, makes the server ready again. A discovery that has begun to count anew is believed
    after KEPT seconds.
    """

    def __init__(self) -> None:
        self.highest: int | None = None
        self.ready: dict[str, int] = {}  # start of each server that the newest list has as ready
        self.gone: dict[str, tuple[int, float]] = {}  # the start that was withdrawn, and until when it counts
        self.drained: dict[str, tuple[int, float]] = {}  # of those, the ones that were told to drain
        self.carried: dict[str, tuple[int, float]] = {}  # told by an earlier discovery to drain

    def for_new_discovery(self, now: float) -> WithdrawnServers:
        """What another discovery may not undo, whatever its versions: they are numbered otherwise.

        Failure prevented: after a move the new discovery lags behind the old one, and requests go to servers
        that the node was told are draining. One that the old one had lost from sight may come back.
        """
        new = WithdrawnServers()
        new.carried = {name: told for name, told in (self.carried | self.drained).items() if told[1] > now}
        return new

    def filter_listing(self, listing: Listing, now: float) -> Listing:
        """The listing less what it may not bring back; `now`: seconds of a clock that only goes forward."""
        return self._filter_same_discovery(
            without(listing, self.carried, now) if self.carried else listing, now
        )

    def _filter_same_discovery(self, listing: Listing, now: float) -> Listing:
        """The same among the lists of this discovery."""
        for name in [name for name, (_, until) in self.gone.items() if until <= now]:
            del self.gone[name]
            self.drained.pop(name, None)
        if self.highest is not None and listing.version < self.highest:
            return without(listing, self.gone, now)
        self.highest = listing.version
        if listing.kind != ListKind.CHANGES:
            listed = {line.id for line in listing.lines}
            for name in [name for name in self.ready if name not in listed]:
                self._withdraw(name, self.ready.pop(name), now)
        for line in listing.lines:
            if line.state == State.READY:
                self.ready[line.id] = line.started
                self.gone.pop(line.id, None)
                self.drained.pop(line.id, None)
            else:
                self.ready.pop(line.id, None)
                self._withdraw(line.id, line.started, now)
                if line.state == State.DRAINING:
                    self.drained[line.id] = self.gone[line.id]
        return listing

    def _withdraw(self, name: str, started: int, now: float) -> None:
        self.gone.pop(name, None)  # the oldest stand first
        if len(self.gone) >= MAX_WITHDRAWN:
            oldest = next(iter(self.gone))
            del self.gone[oldest]
            self.drained.pop(oldest, None)
        self.gone[name] = (started, now + RETENTION)


def without(listing: Listing, withdrawn: dict[str, tuple[int, float]], now: float) -> Listing:
    """The listing less the servers that are ready there under a start that was withdrawn, for its time."""
    lines = tuple(
        line
        for line in listing.lines
        if line.state != State.READY
        or withdrawn.get(line.id, (None, 0.0))[0] != line.started
        or withdrawn[line.id][1] <= now
    )
    return listing if len(lines) == len(listing.lines) else replace(listing, lines=lines)
