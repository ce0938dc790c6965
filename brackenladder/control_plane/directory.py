"""A control node's directory: answers clients from what the node knows of gateways, and tells why.

What it logs tells apart, for the clients of a region that are led elsewhere, whether their region has no
gateway, has some that leave or start, or has some that this node has not heard lately.
"""

from __future__ import annotations

from collections import Counter

import logbook

from brackenladder.registry.directory import ClientPlace, Offer, Reach, resolve
from brackenladder.registry.gateways import GatewayRegistry, HeardGateway

MICROSECONDS_PER_MILLISECOND = 1000

log = logbook.Logger("directory")


class Directory:
    """Resolves hosts by the gateways of a registry."""

    def __init__(self, gateways: GatewayRegistry) -> None:
        self._gateways = gateways
        self._answers: Counter[Reach] = Counter()
        self._reaches: dict[str, Reach] = {}  # the last one by the clients' region

    def resolve(self, now: int, client: ClientPlace) -> Offer:
        """The front addresses for a client."""
        offer = resolve(self._gateways.ready(now), client, offset=self._answers.total())
        self._note(now, client, offer.reach)
        return offer

    @property
    def answers(self) -> dict[Reach, int]:
        """How many answers reached how far."""
        return dict(self._answers)

    def _note(self, now: int, client: ClientPlace, reach: Reach) -> None:
        self._answers[reach] += 1
        before = self._reaches.get(client.region)
        if before is reach:
            return
        self._reaches[client.region] = reach
        log.info(
            "clients of {} get {} (before: {}); of their region: {}",
            client.region,
            reach.value,
            before.value if before is not None else "not asked",
            self._known_of(now, client.region),
        )

    def _known_of(self, now: int, region: str) -> str:
        """The gateways of a region, as this node knows them."""
        known = [one for one in self._gateways.heard(now) if one.gateway.region == region]
        return ", ".join(map(_described, known)) or "none known"


def _described(known: HeardGateway) -> str:
    silent = known.age // MICROSECONDS_PER_MILLISECOND
    return f"{known.gateway.node} {known.gateway.state.name.lower()}, heard {silent} ms ago"
