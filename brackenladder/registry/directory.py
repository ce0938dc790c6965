"""Which gateways a client is sent to."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import Enum

from attrs import frozen

from brackenladder.registry.gateways import GatewayRecord, GatewayState

MOST_ADDRESSES = 64  # of one answer


class Reach(Enum):
    """How far from a client the gateways of an answer are."""

    ZONE = "its zone"
    REGION = "its region"
    ELSEWHERE = "other regions"
    NOWHERE = "none"  # there is no gateway to be named


NEAR_REACHES = (Reach.ZONE, Reach.REGION)  # gateways of the client's own region


@frozen
class ClientPlace:
    """Where a client is, and the host that it wants to reach."""

    host: str
    region: str
    zone: str


@frozen
class Offer:
    """The gateways that a client gets, by their front addresses."""

    addresses: tuple[str, ...] = ()
    reach: Reach = Reach.NOWHERE
    regions: frozenset[str] = frozenset()  # of these gateways

    @property
    def near(self) -> bool:
        """Whether they are of the client's own region."""
        return self.reach in NEAR_REACHES


NO_OFFER = Offer()


Permitted = Callable[[str], bool]


def resolve(
    gateways: Iterable[GatewayRecord],
    client: ClientPlace,
    permitted: Permitted,
    limit: int = MOST_ADDRESSES,
    offset: int = 0,
) -> Offer:
    """Return the front addresses for a client.

    They are the ready ones of its zone if there are any, else those of its region, else those of the regions
    that are `permitted` to the host's clients from elsewhere, else none. Where there are more than `limit`,
    `offset` turns the list, so that callers who vary it spread their clients over all.
    """
    ready = [gateway for gateway in gateways if gateway.state is GatewayState.READY]
    reach, chosen = _nearest(ready, client, permitted)
    regions = {gateway.front_address: gateway.region for gateway in chosen}
    addresses = sorted(regions)
    if len(addresses) > limit:
        start = offset % len(addresses)
        addresses = (addresses[start:] + addresses[:start])[:limit]
    return Offer(tuple(addresses), reach, frozenset(regions[address] for address in addresses))


def _nearest(
    ready: list[GatewayRecord], client: ClientPlace, permitted: Permitted
) -> tuple[Reach, list[GatewayRecord]]:
    in_region = [gateway for gateway in ready if gateway.region == client.region]
    in_zone = [gateway for gateway in in_region if gateway.zone == client.zone]
    if in_zone:
        return Reach.ZONE, in_zone
    if in_region:
        return Reach.REGION, in_region
    elsewhere = [gateway for gateway in ready if permitted(gateway.region)]
    return (Reach.ELSEWHERE, elsewhere) if elsewhere else (Reach.NOWHERE, [])
