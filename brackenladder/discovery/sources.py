"""Where a pool's list comes from: discovery that is asked, an agent that is pushed to, or a fixed list."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from brackenladder.discovery.watch import Discovery, ListingCallback
from brackenladder.interface import ListKind
from brackenladder.membership.current_list import CurrentList
from brackenladder.membership.listing import Line, Listing

PUSH_RETRY = 0.1  # seconds before an agent that did not answer is asked again

Address = tuple[str, int]


class PolledDiscovery(Discovery):
    """Discovery, which the module asks as it sees fit; it begins with the list that was known."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        known: Listing | None,
        nodes: int,
        told: ListingCallback,
        log: Callable[[str], None],
    ) -> None:
        super().__init__(loop, address, known, nodes, told, log)
        self.known = known

    def start(self) -> None:
        """Tells of the list that was known, if there was one."""
        if self.known is not None:
            self.told(self.known)

    def set_initial_listing(self, listing: Listing) -> None:
        """A list that is newer than the one that was known. Before `start` only."""
        self.known = listing
        self.in_hand = CurrentList(listing, self.loop.time())


class AgentDiscovery(PolledDiscovery):
    """An agent on the node's own machine, which answers at once with what was pushed to it.

    It is watched by the node itself, for as long as the pool runs: the module does not ask there.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        known: Listing | None,
        nodes: int,
        told: ListingCallback,
        log: Callable[[str], None],
    ) -> None:
        super().__init__(loop, address, known, nodes, self.heard, log)
        # What the agent has counts as told whether or not it is asked: there is no time for longer pauses.
        self.most_pause = PUSH_RETRY
        self.pass_on = told

    def start(self) -> None:
        super().start()
        self.watch(True)

    def heard(self, listing: Listing | None) -> None:
        """News go on; a call that failed is made again."""
        if listing is None:
            self.loop.call_later(PUSH_RETRY, self.watch, True)
        else:
            self.pass_on(listing)


class FixedList:
    """A list that stands in the operator file: there is nothing to ask for."""

    def __init__(self, lines: Sequence[Line], told: ListingCallback) -> None:
        self.version: int | None = 1
        self.listing = Listing(ListKind.FULL, self.version, tuple(lines))
        self.told = told

    def start(self) -> None:
        self.told(self.listing)

    def set_initial_listing(self, listing: Listing) -> None:
        """The operator file's list holds."""

    def watch(self, on: bool) -> None:
        """There are no changes."""

    def fetch(self) -> None:
        """The list is known."""

    def change_address(self, address: Address) -> None:
        """It has no address."""

    def close(self) -> None:
        """Nothing is out."""
