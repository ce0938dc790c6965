"""A control node's status of itself and of the system: the document of `GET /-/Status`."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Any

import attrs
from attrs import frozen

from brackenladder.catalog.structuring import DOCUMENT_NAME, named
from brackenladder.consensus.types import Member
from brackenladder.invariants import Invariant
from brackenladder.registry.gateways import HeardGateway
from brackenladder.registry.records import ServerRecord, ServerState

MICROSECONDS_PER_MILLISECOND = 1000
MAX_AGE = 1 << 50  # microseconds; a greater age means that it was never measured


@frozen
class MemberStatus:
    """The id and location of a consensus replica, as shown in the status."""

    replica_id: str = named("ReplicaId")
    address: str = named("Address")
    zone: str = named("Zone", "")
    region: str = named("Region", "")


@frozen
class ServiceStatus:
    """The number of known servers of a service, by the state that they report."""

    name: str = named("Name")
    ready: int = named("Ready")
    draining: int = named("Draining")
    cold: int = named("Cold")  # those of the `ready` servers that are still cold


@frozen
class GatewayStatus:
    """A gateway whose presence was reported recently."""

    node: str = named("Node")
    front_address: str = named("FrontAddress")
    zone: str = named("Zone")
    region: str = named("Region")
    state: str = named("State")  # starting, ready or leaving
    silent_ms: int = named("SilentMs")  # milliseconds since any control node last heard from the gateway
    # Catalog revision that the gateway acknowledged to this node; None if it is not connected to this node.
    revision: int | None = named("Revision")


@frozen
class ViolationStatus:
    """How often the node has found an invariant violated since its process started."""

    invariant: str = named("Invariant")
    count: int = named("Count")


@frozen
class ControlStatus:
    """A control node's own view of the system. Other nodes' views may differ for a moment."""

    node: MemberStatus = named("Node")
    role: str = named("Role")  # leader, follower, candidate or learner
    term: int = named("Term")
    leader: MemberStatus | None = named("Leader")
    # Since the last contact with the leader or, on the leader itself, with a quorum.
    contact_age_ms: int | None = named("ContactAgeMs")
    # Whether this node has quorum contact, and so acknowledges reports of servers.
    in_touch: bool = named("InTouch")
    voters: tuple[MemberStatus, ...] = named("Voters")
    outgoing: tuple[MemberStatus, ...] = named("Outgoing")  # old voters during a joint change of members
    learners: tuple[MemberStatus, ...] = named("Learners")
    last_index: int = named("LastIndex")
    commit_index: int = named("CommitIndex")
    applied_index: int = named("AppliedIndex")
    revision: int = named("Revision")  # log index of the last change
    configuration_version: int = named("ConfigurationVersion")  # 0: there is none
    evacuated_zones: tuple[str, ...] = named("EvacuatedZones")
    services: tuple[ServiceStatus, ...] = named("Services")
    gateways: tuple[GatewayStatus, ...] = named("Gateways")
    # Empty if there are none, or if the node runs a program version that does not report them.
    violations: tuple[ViolationStatus, ...] = named("Violations", ())


def member_statuses(
    members: Iterable[Member], locations: Mapping[str, tuple[str, str]]
) -> tuple[MemberStatus, ...]:
    """The status of replicas; `locations` gives zone and region by replica id, as reported by the nodes.

    They are needed because the log does not hold the locations of the initial voters.
    """
    return tuple(
        MemberStatus(
            member.replica_id,
            member.address,
            *locations.get(member.replica_id, (member.zone, member.region)),
        )
        for member in members
    )


def service_statuses(alive: Iterable[ServerRecord]) -> tuple[ServiceStatus, ...]:
    """The number of servers by service, sorted by name."""
    counts = Counter((record.service, record.state) for record in alive)
    cold = Counter(
        record.service for record in alive if record.state is ServerState.READY and record.cold_for > 0
    )
    return tuple(
        ServiceStatus(
            name, counts[name, ServerState.READY], counts[name, ServerState.DRAINING], cold.get(name, 0)
        )
        for name in sorted({service for service, _ in counts})
    )


def gateway_statuses(
    heard: Iterable[HeardGateway], revisions: Mapping[str, int]
) -> tuple[GatewayStatus, ...]:
    """The gateways sorted by node; `revisions` gives the acknowledged catalog revision by node."""
    return tuple(
        GatewayStatus(
            entry.gateway.node,
            entry.gateway.front_address,
            entry.gateway.zone,
            entry.gateway.region,
            entry.gateway.state.name.lower(),
            entry.age // MICROSECONDS_PER_MILLISECOND,
            revisions.get(entry.gateway.node),
        )
        for entry in sorted(heard, key=lambda entry: entry.gateway.node)
    )


def violation_statuses(counts: Mapping[Invariant, int]) -> tuple[ViolationStatus, ...]:
    """The violated invariants, sorted by name."""
    statuses = [ViolationStatus(invariant.value, count) for invariant, count in counts.items()]
    return tuple(sorted(statuses, key=lambda status: status.invariant))


def age_ms(age: int) -> int | None:
    """Microseconds as milliseconds; None for an age that was never measured."""
    return max(0, age) // MICROSECONDS_PER_MILLISECOND if age < MAX_AGE else None


def status_document(item: Any) -> Any:
    """Converts a status, or a part of one, to a JSON document."""
    if attrs.has(type(item)):
        fields = attrs.fields(type(item))
        return {f.metadata[DOCUMENT_NAME]: status_document(getattr(item, f.name)) for f in fields}
    if isinstance(item, tuple):
        return [status_document(part) for part in item]
    return item
