"""A control node's directory: answers clients from what the node knows of gateways, and tells why.

What it logs tells apart, for the clients of a region that are led elsewhere, whether their region has no
gateway, has some that leave or start, or has some that this node has not heard lately.
"""

from __future__ import annotations

from collections import Counter

import logbook

from brackenladder.catalog.homes import ConfigurationHomes, ReadConfiguration
from brackenladder.catalog.hosts import normalize_host
from brackenladder.invariants import VIOLATIONS, Invariant
from brackenladder.registry.directory import OWN_REGION, ClientLocation, Proximity, ResolvedGateways, resolve
from brackenladder.registry.gateways import GatewayRegistry, HeardGateway

MICROSECONDS_PER_MILLISECOND = 1000
MAX_TRACKED_GROUPS = 4096  # hosts and regions whose last reach is remembered and whose changes are logged
MAX_NAME_CHARS = 64  # characters of a client's word in the log
OTHER_HOSTS = "(no route's host)"

log = logbook.Logger("directory")


class Directory:
    """Resolves hosts by the gateways of a registry and the homes of the newest configuration."""

    def __init__(self, gateways: GatewayRegistry) -> None:
        self._gateways = gateways
        self._homes = ConfigurationHomes()
        self._revision = 0  # of the catalog that the homes are of
        self._answers: Counter[Proximity] = Counter()
        self._last_reaches: dict[tuple[str, str], Proximity] = {}  # by host and client region

    def set_configuration(self, revision: int, read: ReadConfiguration) -> None:
        """Take the configuration as of a revision of the catalog; an older one is ignored."""
        if revision <= self._revision:
            return
        self._revision = revision
        self._homes = ConfigurationHomes(read)

    def resolve(self, now: int, client: ClientLocation, current: bool) -> ResolvedGateways:
        """The front addresses for a client.

        Where the homes known here may have been replaced without this node's knowledge (not `current`), no
        client is led out of its region.
        """
        homes = self._homes.of(client.host)
        permitted = homes.permits if current else _permit_none
        offer = resolve(self._gateways.ready(now), client, permitted, offset=self._answers.total())
        forbidden = homes.forbidden(client.region, offer.regions)
        VIOLATIONS.check(
            Invariant.DIRECTORY_KEEPS_HOMES,
            not forbidden,
            f"a client of {client.region} is led to {forbidden} for {client.host}",
        )
        host = normalize_host(client.host) if homes.known else OTHER_HOSTS
        self._record_answer(now, host, client.region[:MAX_NAME_CHARS], offer.proximity)
        return offer

    @property
    def answers(self) -> dict[Proximity, int]:
        """How many answers reached how far."""
        return dict(self._answers)

    def _record_answer(self, now: int, host: str, region: str, reach: Proximity) -> None:
        """Count an answer, and log where clients are led no longer as before.

        Names are the clients' own: whatever they send, the lines and the memory that they take are bounded.
        Clients of several zones ask in turn, so zone or region is no change.
        """
        self._answers[reach] += 1
        place = (host, region)
        before = self._last_reaches.get(place)
        if before is None and len(self._last_reaches) >= MAX_TRACKED_GROUPS:
            return
        self._last_reaches[place] = reach
        if before is reach or before in OWN_REGION and reach in OWN_REGION:
            return
        log.info(
            "{}: clients of {!r} get {} (before: {}); of their region: {}",
            host,
            region,
            reach.value,
            before.value if before is not None else "not asked",
            self._describe_region(now, region),
        )

    def _describe_region(self, now: int, region: str) -> str:
        """The gateways of a region, as this node knows them."""
        known = [one for one in self._gateways.list_living(now) if one.gateway.region == region]
        return ", ".join(map(_describe, known)) or "none known"


def _permit_none(_region: str) -> bool:
    return False


def _describe(known: HeardGateway) -> str:
    silent = known.age // MICROSECONDS_PER_MILLISECOND
    return f"{known.gateway.node} {known.gateway.state.name.lower()}, heard {silent} ms ago"
