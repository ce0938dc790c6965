"""Where a service's servers stand, and where this gateway stands among the others."""

from __future__ import annotations

from collections.abc import Callable

from attrs import define, field, frozen

from brackenladder.placement.parameters import DEFAULT_PARAMETERS, PlacementParameters
from brackenladder.policy.server import Server


@frozen
class ServerPlace:
    """One server that may be used."""

    id: str
    zone: str
    region: str
    slots: int
    ends_at: int = 0  # when it is gone whatever it runs, in this host's microseconds; 0: not told


def never_cold(server_id: str) -> int:
    """For a service whose servers are never cold."""
    return 0


@define(eq=False)
class ServiceSite:
    """One service as this gateway sees it. The pool keeps it up to date."""

    zone: str
    region: str
    kv_tokens: int = 0  # a server's memory; 0: it has none that is told
    # Microseconds after a prefix's last use in which reading it again is priced; None: always.
    again: int | None = 10_000_000
    parameters: PlacementParameters = DEFAULT_PARAMETERS
    gateways: int = 1  # the living ones, this one included
    gateways_known: bool = False  # without that there is no telling this gateway's part of a bound for all
    gateway_names: tuple[str, ...] = ()  # theirs, where they are known
    cold_until: Callable[[str], int] = never_cold
    places: dict[int, ServerPlace] = field(factory=dict)  # by the server's number
    local: list[Server] = field(factory=list)  # in this region
    far: dict[str, list[Server]] = field(factory=dict)  # in other ones, by region
    far_by_number: dict[int, Server] = field(factory=dict)

    def sort(self, servers: list[Server]) -> None:
        """Tell the servers of this region from the others."""
        known = [server for server in servers if server.id in self.places]
        self.local = [server for server in known if self.places[server.id].region == self.region]
        far = [server for server in known if self.places[server.id].region != self.region]
        self.far = {}
        for server in far:
            self.far.setdefault(self.places[server.id].region, []).append(server)
        self.far_by_number = {server.id: server for server in far}

    def size(self) -> int:
        """How many servers may be used."""
        return len(self.local) + len(self.far_by_number)
