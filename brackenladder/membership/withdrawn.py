"""Withdrawn servers (draining or gone), which an older list may not bring back."""

from __future__ import annotations

from dataclasses import replace

from brackenladder.interface import ListKind, State
from brackenladder.membership.listing import Listing

MAX_WITHDRAWN = 2_000  # withdrawals kept per discovery; beyond it the oldest one is dropped
RETENTION = 60.0  # seconds for which a withdrawal overrides older lists; longer than any drain takes


class WithdrawnServers:
    """The servers that the newest list of one discovery has withdrawn.

    A replica of discovery may lag behind or be restored from a backup. Its full list then has an older
    version and may list a server as ready that is already draining, and requests would go there again.
    A draining process never becomes ready again. Only a newer version, or a later start under the same id,
    makes the server ready. If discovery has restarted its version numbers, its lists are accepted in full
    after RETENTION seconds.
    """

    def __init__(self) -> None:
        self.highest: int | None = None
        self.ready: dict[str, int] = {}  # start time of each server that is ready in the newest list
        self.gone: dict[
            str, tuple[int, float]
        ] = {}  # by id: start time of the withdrawn server, and time until which it stays withdrawn
        self.drained: dict[str, tuple[int, float]] = {}  # the part of `gone` that is listed as draining
        # As `gone`, for servers that were listed as draining by the discovery services used earlier.
        self.carried: dict[str, tuple[int, float]] = {}

    def for_new_discovery(self, now: float) -> WithdrawnServers:
        """The withdrawals that still apply after a move to another discovery.

        Draining servers stay withdrawn for any version, since the new discovery numbers its versions
        independently. Without this, requests would go to draining servers while the new discovery lags
        behind the old one. Servers that were only missing in the old discovery's list may come back.
        """
        new = WithdrawnServers()
        new.carried = {
            name: withdrawal
            for name, withdrawal in (self.carried | self.drained).items()
            if withdrawal[1] > now
        }
        return new

    def filter_listing(self, listing: Listing, now: float) -> Listing:
        """The listing without withdrawn servers. `now`: seconds of a monotonic clock."""
        return self._filter_same_discovery(
            without(listing, self.carried, now) if self.carried else listing, now
        )

    def _filter_same_discovery(self, listing: Listing, now: float) -> Listing:
        """As `filter_listing`, but ignores the servers in `carried`."""
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
        # Inserted again below, so that `gone` stays sorted by the time of withdrawal.
        self.gone.pop(name, None)
        if len(self.gone) >= MAX_WITHDRAWN:
            oldest = next(iter(self.gone))
            del self.gone[oldest]
            self.drained.pop(oldest, None)
        self.gone[name] = (started, now + RETENTION)


def without(listing: Listing, withdrawn: dict[str, tuple[int, float]], now: float) -> Listing:
    """The listing without the ready servers that `withdrawn` holds with the same start time.

    `withdrawn`: by server id, the start time and the time until which the withdrawal is in force.
    """
    lines = tuple(
        line
        for line in listing.lines
        if line.state != State.READY
        or withdrawn.get(line.id, (None, 0.0))[0] != line.started
        or withdrawn[line.id][1] <= now
    )
    return listing if len(lines) == len(listing.lines) else replace(listing, lines=lines)
