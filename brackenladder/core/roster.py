"""Converts server lists with names into server lists with numbers, for the upstream and the balancer."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from hashlib import blake2b
from typing import Protocol

from brackenladder.core.host import Host
from brackenladder.interface import ListKind, ServerEntry
from brackenladder.membership.listing import Line, Listing

MAX_NAMES = 256  # most zones, and most kinds of machine, that get a number of their own


def numbered(names: dict[str, int], name: str) -> int:
    """The number of a name; all names beyond MAX_NAMES share the last one.

    Otherwise a list that gives each machine a kind of its own makes the node's memory grow forever.
    """
    return names.setdefault(name, len(names)) if len(names) < MAX_NAMES else names.get(name, MAX_NAMES - 1)


class ServerListConsumer(Protocol):
    """An upstream that receives the server list of its pool."""

    def update(self, kind: ListKind, latest: Mapping[int, Line]) -> None:
        """Applies a full list or a list of changes: the latest line of each server, by server number."""


class Roster:
    """Maps the names in server lists to numbers, and passes the lists to the upstream and the host."""

    def __init__(
        self, host: Host, upstream: ServerListConsumer, zones: Sequence[str], kinds: Sequence[str]
    ) -> None:
        self.host = host
        self.upstream = upstream
        self.zones = {name: i for i, name in enumerate(zones)}
        self.kinds = {name: i for i, name in enumerate(kinds)}

    def apply_listing(self, listing: Listing | None) -> None:
        """Applies a list or its changes; None if the request to discovery failed."""
        if listing is None:
            self.host.server_list(ListKind.FAILED, ())
            return
        latest, entries = self.read(listing)
        self.upstream.update(listing.kind, latest)
        self.host.server_list(listing.kind, entries)

    def read(self, listing: Listing) -> tuple[Mapping[int, Line], Sequence[ServerEntry]]:
        """Returns the lines of a list by server number, and the entries made of them for the balancer."""
        latest = {number_of(line.id): line for line in listing.lines}  # the last line if there are several
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
    """A server's number: a hash of its name, the same on every node.

    All nodes have to shuffle the servers in the same order, and the order is computed from these numbers.
    """
    return int.from_bytes(blake2b(name.encode(errors="surrogatepass"), digest_size=8).digest(), "big")
