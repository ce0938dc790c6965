"""A pool: one Balancer in its host, one upstream, one source of the server list.

    Listener: client's bytes --Call--> Host (asks the Balancer) --attempt--> upstream --> a server's bytes
                                         ^
                        source --Listing--> Roster (numbers for names), which tells upstream and Host

Several listeners may feed one pool. A call is concluded once by its Host: served, refused or failed.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Protocol

from brackenladder.core.call import Directory, Messenger, Upstream
from brackenladder.core.clock import Clock
from brackenladder.core.ending import last_moment
from brackenladder.core.host import Host
from brackenladder.core.roster import Roster, ServerListConsumer
from brackenladder.interface import Settings
from brackenladder.membership.listing import Listing

OnListing = Callable[[Listing | None], None]


class Source(Directory, Protocol):
    """Where the list comes from."""

    @property
    def version(self) -> int | None:
        """Of the list in hand."""

    def start(self) -> None:
        """The pool runs: from now on it is told of lists."""

    def set_initial_listing(self, listing: Listing) -> None:
        """A list that is newer than the one it would begin with. Before `start` only."""

    def change_address(self, address: tuple[str, int]) -> None:
        """Asks at another address from now on."""

    def close(self) -> None:
        """Ends all that is out."""


class PoolUpstream(Upstream, ServerListConsumer, Protocol):
    """An upstream that is told of its pool's servers."""


class NoMessenger:
    """Of a pool whose settings allow no messages between nodes."""

    def tell(self, peer: int, data: bytes) -> None:
        """Not allowed."""


class Pool:
    """`source` makes the source of its list, which tells `told`."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        loop: asyncio.AbstractEventLoop,
        upstream: PoolUpstream,
        source: Callable[[OnListing], Source],
        messenger: Messenger,
        zones: Sequence[str],
        kinds: Sequence[str],
        log: Callable[[str], None],
        clock: Clock,
    ) -> None:
        self.settings = settings
        self.upstream = upstream
        self.host = Host(settings, seed, loop, upstream, log, clock)
        self.roster = Roster(self.host, upstream, zones, kinds)
        self.source = source(self.on_listing)
        self.host.directory = self.source
        self.host.messenger = messenger
        self.has_listing = False  # a server list has come
        self.admit: Callable[[Listing], Listing] | None = None  # what operators lay over the list
        self.distribute: Callable[[Listing], None] | None = (
            None  # hands it to several pools in place of this one
        )

    def start(self) -> None:
        """The module begins to run, and hears of the servers."""
        self.host.start()
        self.source.start()

    def on_listing(self, listing: Listing | None) -> None:
        """News of the list; None if a call to its source failed."""
        self.has_listing = self.has_listing or listing is not None
        if self.admit is not None and listing is not None:
            listing = self.admit(listing)
        if self.distribute is not None and listing is not None:
            self.distribute(listing)
        else:
            self.roster.apply_listing(listing)

    def begin_shutdown(self) -> None:
        """The node is to end: what it takes from now on must be concluded before it is killed."""
        self.host.conclude_by = last_moment(self.host.now(), self.settings.classes)
