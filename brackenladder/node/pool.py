"""A pool: a Host with its Balancer, an upstream, and a source of the server list.

    Listener: client's bytes --Call--> Host (asks the Balancer) --attempt--> upstream --> a server's bytes
                                         ^
                        source --Listing--> Roster (maps names to numbers), which updates upstream and Host

Several listeners may use one pool. The Host ends each call once: as served, refused or failed.
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
    """Fetches a pool's server list from discovery or a file, and passes each new list to the pool."""

    @property
    def version(self) -> int | None:
        """The version of the current list."""

    def start(self) -> None:
        """Starts to pass server lists to the callback."""

    def set_initial_listing(self, listing: Listing) -> None:
        """Sets a newer server list to start with. Must be called before `start`."""

    def change_address(self, address: tuple[str, int]) -> None:
        """Changes the address of the discovery service."""

    def close(self) -> None:
        """Cancels open requests to the discovery service."""


class PoolUpstream(Upstream, ServerListConsumer, Protocol):
    """An upstream that receives its pool's server list."""


class NoMessenger:
    """Drops all messages, for a pool whose settings allow none between nodes."""

    def tell(self, peer: int, data: bytes) -> None:
        """Does nothing."""


class Pool:
    """Balances calls over one group of servers.

    `source` creates the object that gets the group's server list; it passes each new list to a callback.
    """

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
        self.has_listing = False  # whether a server list has arrived
        self.admit: Callable[[Listing], Listing] | None = None  # applies operators' suspensions to a list
        # Passes a listing to all HTTP pools. None: a listing is applied to this pool only.
        self.distribute: Callable[[Listing], None] | None = None

    def start(self) -> None:
        """Starts the pool's host, which runs the balancing policy, and the source of the server list."""
        self.host.start()
        self.source.start()

    def on_listing(self, listing: Listing | None) -> None:
        """Handles a listing from the source, or None if a request to discovery failed."""
        self.has_listing = self.has_listing or listing is not None
        if self.admit is not None and listing is not None:
            listing = self.admit(listing)
        if self.distribute is not None and listing is not None:
            self.distribute(listing)
        else:
            self.roster.apply_listing(listing)

    def begin_shutdown(self) -> None:
        """Called at the start of a shutdown: limits new calls to the time left until the node is killed."""
        self.host.conclude_by = last_moment(self.host.now(), self.settings.classes)
