"""What a control node tells of itself and of the system: the document of `GET /-/Status`."""

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
MAX_AGE = 1 << 50  # microseconds; an age above was never measured


@frozen
class MemberStatus:
    """A replica of the log."""

    replica_id: str = named("ReplicaId")
    address: str = named("Address")
    zone: str = named("Zone", "")
    region: str = named("Region", "")


@frozen
class ServiceStatus:
    """How many servers of a service are known, by what they say of themselves."""

    name: str = named("Name")
    ready: int = named("Ready")
    draining: int = named("Draining")
    cold: int = named("Cold")  # of the ready ones


@frozen
class GatewayStatus:
    """A gateway that was heard lately."""

    node: str = named("Node")
    front_address: str = named("FrontAddress")
    zone: str = named("Zone")
    region: str = named("Region")
    state: str = named("State")  # starting, ready or leaving
    silent_ms: int = named("SilentMs")  # since any control node heard it
    revision: int | None = named("Revision")  # acknowledged to this node; None: not connected to it


@frozen
class ViolationStatus:
    """How often the node has found an invariant broken since its process started."""

    invariant: str = named("Invariant")
    count: int = named("Count")


@frozen
class ControlStatus:
    """One control node's view. All of it is its own: another node's may differ for a moment."""

    node: MemberStatus = named("Node")
    role: str = named("Role")  # leader, follower, candidate or learner
    term: int = named("Term")
    leader: MemberStatus | None = named("Leader")
    contact_age_ms: int | None = named("ContactAgeMs")  # with the leader; of a leader: with a quorum
    in_touch: bool = named("InTouch")  # it acknowledges what servers say
    voters: tuple[MemberStatus, ...] = named("Voters")
    outgoing: tuple[MemberStatus, ...] = named("Outgoing")  # voters of the members that a change replaces
    learners: tuple[MemberStatus, ...] = named("Learners")
    last_index: int = named("LastIndex")
    commit_index: int = named("CommitIndex")
    applied_index: int = named("AppliedIndex")
    revision: int = named("Revision")  # log index of the last change
    configuration_version: int = named("ConfigurationVersion")  # 0: there is none
    evacuated_zones: tuple[str, ...] = named("EvacuatedZones")
    services: tuple[ServiceStatus, ...] = named("Services")
    gateways: tuple[GatewayStatus, ...] = named("Gateways")
    violations: tuple[ViolationStatus, ...] = named("Violations", ())  # empty: none, or an older program


def member_statuses(
    members: Iterable[Member], places: Mapping[str, tuple[str, str]]
) -> tuple[MemberStatus, ...]:
    """Replicas as they are told; `places`: zone and region by replica id, as the nodes say themselves.

    The log knows no places of the first voters.
    """
    return tuple(
        MemberStatus(one.replica_id, one.address, *places.get(one.replica_id, (one.zone, one.region)))
        for one in members
    )


def service_statuses(alive: Iterable[ServerRecord]) -> tuple[ServiceStatus, ...]:
    """The servers by service, in the order of the names."""
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
    """Gateways in the order of their names; `revisions`: acknowledged, by node."""
    return tuple(
        GatewayStatus(
            one.gateway.node,
            one.gateway.front_address,
            one.gateway.zone,
            one.gateway.region,
            one.gateway.state.name.lower(),
            one.age // MICROSECONDS_PER_MILLISECOND,
            revisions.get(one.gateway.node),
        )
        for one in sorted(heard, key=lambda one: one.gateway.node)
    )


def violation_statuses(counts: Mapping[Invariant, int]) -> tuple[ViolationStatus, ...]:
    """The invariants that were broken, in the order of their names."""
    told = [ViolationStatus(invariant.value, count) for invariant, count in counts.items()]
    return tuple(sorted(told, key=lambda one: one.invariant))


def age_ms(age: int) -> int | None:
    """Microseconds as milliseconds; None for an age that was never measured."""
    return max(0, age) // MICROSECONDS_PER_MILLISECOND if age < MAX_AGE else None


def status_document(item: Any) -> Any:
    """The JSON document of a status or of a part of one."""
    if attrs.has(type(item)):
        fields = attrs.fields(type(item))
        return {f.metadata[DOCUMENT_NAME]: status_document(getattr(item, f.name)) for f in fields}
    if isinstance(item, tuple):
        return [status_document(part) for part in item]
    return item
