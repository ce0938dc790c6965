"""Which gateways a client is sent to."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import frozen

from brackenladder.registry.gateways import GatewayRecord, GatewayState

MOST_ADDRESSES = 64  # of one answer


@frozen
class Offer:
    """The front addresses that a client gets."""

    addresses: tuple[str, ...] = ()
    near: bool = True  # they are of the client's own region


NO_OFFER = Offer()


def resolve(
    gateways: Iterable[GatewayRecord], region: str, zone: str, limit: int = MOST_ADDRESSES, offset: int = 0
) -> Offer:
    """Return the front addresses for a client in `zone` of `region`.

    They are the ready ones of its zone if there are any, else those of its region, else all. Where there are
    more than `limit`, `offset` turns the list, so that callers who vary it spread their clients over all.
    """
    ready = [gateway for gateway in gateways if gateway.state is GatewayState.READY]
    nearest = [gateway for gateway in ready if gateway.zone == zone] or [
        gateway for gateway in ready if gateway.region == region
    ]
    addresses = sorted({gateway.front_address for gateway in nearest or ready})
    if len(addresses) > limit:
        start = offset % len(addresses)
        addresses = (addresses[start:] + addresses[:start])[:limit]
    return Offer(tuple(addresses), near=bool(nearest))
