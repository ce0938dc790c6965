"""Which control node a gateway has its notices relayed by: the nearest of those that it is linked to."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from hashlib import blake2b

from attrs import frozen


@frozen
class RelayChoice:
    """One gateway's place. `regions`: region by zone."""

    node: str
    zone: str
    regions: Mapping[str, str]

    def nearest(self, linked: Iterable[str], zones: Mapping[str, str]) -> str:
        """The address of the relay among the linked control nodes; empty without one.

        The own zone goes first, then the own region. Gateways spread over those that are equally near, and a
        node that leaves moves only its own gateways.
        """
        return max(linked, key=lambda address: self._rank(address, zones.get(address, "")), default="")

    def _rank(self, address: str, zone: str) -> tuple[bool, bool, bytes]:
        region = self.regions.get(self.zone)
        in_region = region is not None and self.regions.get(zone) == region
        draw = blake2b(f"{self.node} {address}".encode(), digest_size=8).digest()
        return (zone == self.zone, in_region, draw)
