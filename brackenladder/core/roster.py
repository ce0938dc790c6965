"""The list's names as the core's numbers: what a list says, for upstream and module."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from hashlib import blake2b
from typing import Protocol

from brackenladder.core.host import Host
from brackenladder.interface import ListKind, ServerEntry
from brackenladder.membership.listing import Line, Listing

MOST_NAMES = 256  # zones, and kinds of machine, that are told apart


def numbered(names: dict[str, int], name: str) -> int:
    """A name's number. Those beyond MOST_NAMES share the last one.

    Failure prevented: a list that names machines by kinds of their own makes the node grow without end.
    """
    return names.setdefault(name, len(names)) if len(names) < MOST_NAMES else names.get(name, MOST_NAMES - 1)


class ServerListConsumer(Protocol):
    """An upstream that is told of its pool's servers."""

    def update(self, kind: ListKind, latest: Mapping[int, Line]) -> None:
        """Takes note of a list or its changes, each server once."""


class Roster:
    """Maps the list's names to the core's numbers, and tells upstream and core of its news."""

    def __init__(
        self, host: Host, upstream: ServerListConsumer, zones: Sequence[str], kinds: Sequence[str]
    ) -> None:
        self.host = host
        self.upstream = upstream
        self.zones = {name: i for i, name in enumerate(zones)}
        self.kinds = {name: i for i, name in enumerate(kinds)}

    def apply_listing(self, listing: Listing | None) -> None:
        """A list or its changes; None if a call to discovery failed."""
        if listing is None:
            self.host.server_list(ListKind.FAILED, ())
            return
        latest, entries = self.read(listing)
        self.upstream.update(listing.kind, latest)
        self.host.server_list(listing.kind, entries)

    def read(self, listing: Listing) -> tuple[Mapping[int, Line], Sequence[ServerEntry]]:
        """A list's lines by their servers' numbers, and as the module has them."""
        latest = {number_of(line.id): line for line in listing.lines}  # a server twice: the last holds
        return latest, [self.entry(number, line) for number, line in latest.items()]

    def entry(self, number: int, line: Line) -> ServerEntry:
        return ServerEntry(
            number,
            line.state,
            line.cell,
            numbered(self.zones, line.zone),
            numbered(self.kinds, line.kind),
            line.weight,
            line.started,
        )


def number_of(name: str) -> int:
    """A server's number: the same at every node, since all copies share one shuffle of the numbers."""
    return int.from_bytes(blake2b(name.encode(errors="surrogatepass"), digest_size=8).digest(), "big")
