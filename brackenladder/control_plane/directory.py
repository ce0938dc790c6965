"""A control node's directory: tells clients which gateways to use, and logs the reasons.

If the clients of a region are directed to another one, the log shows whether their region has no gateway, has
gateways that are starting or leaving, or has gateways that this node has not heard from recently.
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
MAX_TRACKED_GROUPS = 4096  # groups (host and client region) whose changes are logged
MAX_NAME_CHARS = 64  # characters of a client-supplied name in the log
OTHER_HOSTS = "(no route's host)"

log = logbook.Logger("directory")


class Directory:
    """Resolves hosts by the registered gateways and the home regions in the newest configuration."""

    def __init__(self, gateways: GatewayRegistry) -> None:
        self._gateways = gateways
        self._homes = ConfigurationHomes()
        self._revision = 0  # revision of the catalog from which `_homes` is derived
        self._answers: Counter[Proximity] = Counter()
        self._last_proximity: dict[tuple[str, str], Proximity] = {}  # by host and client region

    def set_configuration(self, revision: int, read: ReadConfiguration) -> None:
        """Sets the configuration of a catalog revision; older revisions are ignored."""
        if revision <= self._revision:
            return
        self._revision = revision
        self._homes = ConfigurationHomes(read)

    def resolve(self, now: int, client: ClientLocation, current: bool) -> ResolvedGateways:
        """The front addresses for a client.

        `current` is False if this node's configuration may be outdated. Home regions may then have changed,
        so no client is directed to another region.
        """
        homes = self._homes.for_host(client.host)
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
        """The number of answers by how near the offered gateways are to the client."""
        return dict(self._answers)

    def _record_answer(self, now: int, host: str, region: str, proximity: Proximity) -> None:
        """Counts an answer; logs if a group of clients is now directed to nearer or farther gateways.

        Clients choose the names that they send, so log lines and memory are bounded. A change between zone
        and region is not logged: clients of different zones of a region get different answers in turn.
        """
        self._answers[proximity] += 1
        group = (host, region)
        previous = self._last_proximity.get(group)
        if previous is None and len(self._last_proximity) >= MAX_TRACKED_GROUPS:
            return
        self._last_proximity[group] = proximity
        if previous is proximity or previous in OWN_REGION and proximity in OWN_REGION:
            return
        log.info(
            "{}: clients of {!r} are directed to {} (before: {}); gateways of their region: {}",
            host,
            region,
            proximity.value,
            previous.value if previous is not None else "no earlier request",
            self._describe_region(now, region),
        )

    def _describe_region(self, now: int, region: str) -> str:
        """The known gateways of a region, as text for the log."""
        known = [gateway for gateway in self._gateways.list_living(now) if gateway.gateway.region == region]
        return ", ".join(map(_describe, known)) or "none known"


def _permit_none(_region: str) -> bool:
    return False


def _describe(known: HeardGateway) -> str:
    silent_ms = known.age // MICROSECONDS_PER_MILLISECOND
    return f"{known.gateway.node} {known.gateway.state.name.lower()}, heard {silent_ms} ms ago"
