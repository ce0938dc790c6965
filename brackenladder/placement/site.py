"""Where the servers of a service are, and how many gateways share them."""

from __future__ import annotations

from collections.abc import Callable

from attrs import define, field, frozen

from brackenladder.placement.parameters import DEFAULT_PARAMETERS, PlacementParameters
from brackenladder.policy.server import Server


@frozen
class ServerLocation:
    """Location and capacity of one usable server."""

    id: str
    zone: str
    region: str
    slots: int
    ends_at: int = 0  # when the server will be terminated, in microseconds of this host's clock; 0: unknown


def never_cold(server_id: str) -> int:
    """The default of `cold_until`: no server is ever cold."""
    return 0


@define(eq=False)
class ServiceSite:
    """What this gateway knows of one service: its servers and the other gateways. ServicePool updates it."""

    zone: str
    region: str
    kv_tokens: int = 0  # tokens that fit in a server's KV cache; 0: unknown
    # Microseconds after a prefix's last use in which a second prefill has a price; None: always.
    reread_window: int | None = 10_000_000
    parameters: PlacementParameters = DEFAULT_PARAMETERS
    gateways: int = 1  # number of live gateways, including this one
    gateways_known: bool = False  # if False, this gateway's part of a bound for all gateways is unknown
    gateway_names: tuple[str, ...] = ()  # names of the live gateways, if known
    cold_until: Callable[[str], int] = never_cold
    locations: dict[int, ServerLocation] = field(factory=dict)  # by server number
    local: list[Server] = field(factory=list)  # servers of this region
    remote: dict[str, list[Server]] = field(factory=dict)  # servers of other regions, by region
    remote_by_number: dict[int, Server] = field(factory=dict)

    def update_regions(self, servers: list[Server]) -> None:
        """Groups the servers by region."""
        known = [server for server in servers if server.id in self.locations]
        self.local = [server for server in known if self.locations[server.id].region == self.region]
        remote = [server for server in known if self.locations[server.id].region != self.region]
        self.remote = {}
        for server in remote:
            self.remote.setdefault(self.locations[server.id].region, []).append(server)
        self.remote_by_number = {server.id: server for server in remote}

    def size(self) -> int:
        """The number of usable servers."""
        return len(self.local) + len(self.remote_by_number)
