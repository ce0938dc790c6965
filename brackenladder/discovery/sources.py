"""The sources of a pool's server list: discovery, a local agent that receives pushes, or a fixed list."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from brackenladder.discovery.watch import Discovery, ListingCallback
from brackenladder.interface import ListKind
from brackenladder.membership.current_list import CurrentList
from brackenladder.membership.listing import Line, Listing

PUSH_RETRY = 0.1  # seconds after which a failed call to an agent is repeated

Address = tuple[str, int]


class PolledDiscovery(Discovery):
    """Calls discovery whenever the Balancer, which picks a server for each call, asks for the server list.

    It starts with the list known beforehand.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        known: Listing | None,
        nodes: int,
        on_listing: ListingCallback,
        log: Callable[[str], None],
    ) -> None:
        super().__init__(loop, address, known, nodes, on_listing, log)
        self.known = known

    def start(self) -> None:
        """Passes on the server list known before the start, if there is one."""
        if self.known is not None:
            self.on_listing(self.known)

    def set_initial_listing(self, listing: Listing) -> None:
        """Replaces the server list to start with by a newer one. Must be called before `start`."""
        self.known = listing
        self.current_list = CurrentList(listing, self.loop.time())


class AgentDiscovery(PolledDiscovery):
    """An agent on the node's own host, which answers at once with the list that was pushed to it.

    The node itself watches the agent for as long as the pool runs; the Balancer does not ask for the list.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        known: Listing | None,
        nodes: int,
        on_listing: ListingCallback,
        log: Callable[[str], None],
    ) -> None:
        super().__init__(loop, address, known, nodes, self.on_agent_listing, log)
        # The platform counts a list as delivered once the agent has it, so pauses must be short.
        self.max_pause = PUSH_RETRY
        self.on_pushed = on_listing

    def start(self) -> None:
        super().start()
        self.watch(True)

    def on_agent_listing(self, listing: Listing | None) -> None:
        """Passes a list from the agent on; if the call failed (None), repeats it."""
        if listing is None:
            self.loop.call_later(PUSH_RETRY, self.watch, True)
        else:
            self.on_pushed(listing)


class FixedList:
    """A fixed list from the operator file."""

    def __init__(self, lines: Sequence[Line], on_listing: ListingCallback) -> None:
        self.version: int | None = 1
        self.listing = Listing(ListKind.FULL, self.version, tuple(lines))
        self.on_listing = on_listing

    def start(self) -> None:
        self.on_listing(self.listing)

    def set_initial_listing(self, listing: Listing) -> None:
        """Does nothing: the list of the operator file is used."""

    def watch(self, on: bool) -> None:
        """Does nothing: the list never changes."""

    def fetch(self) -> None:
        """Does nothing: the list is known."""

    def change_address(self, address: Address) -> None:
        """Does nothing: there is no address."""

    def close(self) -> None:
        """Does nothing: there are no open calls."""
