"""Which control node relays a gateway's notices: the nearest one that the gateway is connected to."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from hashlib import blake2b

from attrs import frozen


@frozen
class RelayChoice:
    """Chooses the control node that relays one gateway's notices. `regions`: region by zone."""

    node: str
    zone: str
    regions: Mapping[str, str]

    def nearest(self, linked: Iterable[str], zones: Mapping[str, str]) -> str:
        """The address of the relay among the connected control nodes; empty if there is none.

        Nodes in the gateway's zone are preferred, then those in its region. Among equally near nodes a hash
        decides, so that gateways are distributed and the loss of a node moves only its own gateways.
        """
        return max(linked, key=lambda address: self._rank(address, zones.get(address, "")), default="")

    def _rank(self, address: str, zone: str) -> tuple[bool, bool, bytes]:
        region = self.regions.get(self.zone)
        in_region = region is not None and self.regions.get(zone) == region
        tie_breaker = blake2b(f"{self.node} {address}".encode(), digest_size=8).digest()
        return (zone == self.zone, in_region, tie_breaker)
