"""Assembles a control node's status for operators from its parts."""

from __future__ import annotations

from brackenladder.consensus.types import Member
from brackenladder.control_plane.consensus_host import ConsensusHost
from brackenladder.control_plane.peers import PeerLinks
from brackenladder.control_plane.soft_state import SoftState
from brackenladder.control_plane.status import (
    ControlStatus,
    age_ms,
    member_statuses,
    violation_statuses,
)
from brackenladder.invariants import VIOLATIONS


def node_status(
    member: Member, host: ConsensusHost, peers: PeerLinks, soft_state: SoftState
) -> ControlStatus:
    """The status of this node; `member` is its own entry in the member list."""
    replica, leader, catalog = host.replica, host.leader, host.catalog
    locations = {peer.replica_id: (peer.zone, peer.region) for peer, _ in peers.peers()}
    locations[member.replica_id] = (member.zone, member.region)
    return ControlStatus(
        node=member_statuses((member,), locations)[0],
        role=replica.role.name.lower(),
        term=replica.term,
        leader=None if leader is None else member_statuses((leader,), locations)[0],
        contact_age_ms=age_ms(host.contact_age()),
        in_touch=soft_state.in_touch,
        voters=member_statuses(replica.members.voters, locations),
        outgoing=member_statuses(replica.members.outgoing, locations),
        learners=member_statuses(replica.members.learners, locations),
        last_index=replica.last_index,
        commit_index=replica.commit_index,
        applied_index=host.applied_index,
        revision=catalog.revision,
        configuration_version=catalog.configuration.version if catalog.configuration else 0,
        evacuated_zones=tuple(sorted(catalog.evacuated)),
        services=soft_state.services(),
        gateways=soft_state.gateways(),
        violations=violation_statuses(VIOLATIONS.violations()),
    )
