"""Selects the gateways whose addresses a client receives."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import Enum

from attrs import frozen

from brackenladder.registry.gateways import GatewayRecord, GatewayState

MAX_ADDRESSES = 64  # gateway addresses in one answer


class Proximity(Enum):
    """How close the gateways in an answer are to the client that asked."""

    ZONE = "its zone"
    REGION = "its region"
    ELSEWHERE = "other regions"
    NOWHERE = "none"  # no gateway is available


OWN_REGION = (Proximity.ZONE, Proximity.REGION)  # the gateways are in the client's own region


@frozen
class ClientLocation:
    """The region and zone of a client, and the host name that it resolves."""

    host: str
    region: str
    zone: str


@frozen
class ResolvedGateways:
    """The result of a lookup: front addresses of gateways."""

    addresses: tuple[str, ...] = ()
    proximity: Proximity = Proximity.NOWHERE
    regions: frozenset[str] = frozenset()  # the regions of the gateways in `addresses`

    @property
    def in_client_region(self) -> bool:
        """Whether the gateways are in the client's own region."""
        return self.proximity in OWN_REGION


NO_GATEWAYS = ResolvedGateways()


RegionFilter = Callable[[str], bool]


def resolve(
    gateways: Iterable[GatewayRecord],
    client: ClientLocation,
    permitted: RegionFilter,
    limit: int = MAX_ADDRESSES,
    offset: int = 0,
) -> ResolvedGateways:
    """Return the front addresses of ready gateways for a client.

    Gateways in the client's zone are preferred, then those in its region, then those in other regions for
    which `permitted` returns True. If there are more than `limit`, the sorted list is rotated by `offset`:
    callers that vary the offset spread their clients over all gateways.
    """
    ready = [gateway for gateway in gateways if gateway.state is GatewayState.READY]
    proximity, chosen = _nearest(ready, client, permitted)
    regions = {gateway.front_address: gateway.region for gateway in chosen}
    addresses = sorted(regions)
    if len(addresses) > limit:
        start = offset % len(addresses)
        addresses = (addresses[start:] + addresses[:start])[:limit]
    return ResolvedGateways(tuple(addresses), proximity, frozenset(regions[address] for address in addresses))


def _nearest(
    ready: list[GatewayRecord], client: ClientLocation, permitted: RegionFilter
) -> tuple[Proximity, list[GatewayRecord]]:
    in_region = [gateway for gateway in ready if gateway.region == client.region]
    in_zone = [gateway for gateway in in_region if gateway.zone == client.zone]
    if in_zone:
        return Proximity.ZONE, in_zone
    if in_region:
        return Proximity.REGION, in_region
    elsewhere = [gateway for gateway in ready if permitted(gateway.region)]
    return (Proximity.ELSEWHERE, elsewhere) if elsewhere else (Proximity.NOWHERE, [])
