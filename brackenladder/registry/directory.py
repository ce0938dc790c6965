"""Which gateways a client is sent to."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import Enum

from attrs import frozen

from brackenladder.registry.gateways import GatewayRecord, GatewayState

MAX_ADDRESSES = 64  # of one answer


class Proximity(Enum):
    """How far from a client the gateways of an answer are."""

    ZONE = "its zone"
    REGION = "its region"
    ELSEWHERE = "other regions"
    NOWHERE = "none"  # there is no gateway to be named


OWN_REGION = (Proximity.ZONE, Proximity.REGION)  # gateways of the client's own region


@frozen
class ClientLocation:
    """Where a client is, and the host that it wants to reach."""

    host: str
    region: str
    zone: str


@frozen
class ResolvedGateways:
    """The gateways that a client gets, by their front addresses."""

    addresses: tuple[str, ...] = ()
    proximity: Proximity = Proximity.NOWHERE
    regions: frozenset[str] = frozenset()  # of these gateways

    @property
    def in_client_region(self) -> bool:
        """Whether they are of the client's own region."""
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
    """Return the front addresses for a client.

    They are the ready ones of its zone if there are any, else those of its region, else those of the regions
    that are `permitted` to the host's clients from elsewhere, else none. Where there are more than `limit`,
    `offset` turns the list, so that callers who vary it spread their clients over all.
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
