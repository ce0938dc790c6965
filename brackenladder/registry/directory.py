"""Which gateways a client is sent to."""

from __future__ import annotations

from collections.abc import Iterable

from brackenladder.registry.gateways import GatewayRecord, GatewayState

MOST_ADDRESSES = 64  # of one answer


def resolve(
    gateways: Iterable[GatewayRecord], region: str, zone: str, limit: int = MOST_ADDRESSES, offset: int = 0
) -> tuple[str, ...]:
    """Return the front addresses for a client in `zone` of `region`.

    They are the ready ones of its zone if there are any, else those of its region, else all. Where there are
    more than `limit`, `offset` turns the list, so that callers who vary it spread their clients over all.
    """
    ready = [gateway for gateway in gateways if gateway.state is GatewayState.READY]
    nearest = (
        [gateway for gateway in ready if gateway.zone == zone]
        or [gateway for gateway in ready if gateway.region == region]
        or ready
    )
    addresses = sorted({gateway.front_address for gateway in nearest})
    if len(addresses) <= limit:
        return tuple(addresses)
    start = offset % len(addresses)
    return tuple((addresses[start:] + addresses[:start])[:limit])
