"""Connects a control node to the others, and asks to join the replica group."""

from __future__ import annotations

from collections.abc import Callable

import logbook

from brackenladder.consensus.members import all_members
from brackenladder.consensus.messages import JoinRequest
from brackenladder.consensus.planning import MIN_VOTERS
from brackenladder.consensus.types import Member, Members
from brackenladder.control_plane.consensus_host import ConsensusHost
from brackenladder.control_plane.messages import Hello
from brackenladder.control_plane.peers import PeerLinks
from brackenladder.control_plane.soft_state import SoftState

JOIN_INTERVAL = 300_000  # microseconds between join requests
DIAL_INTERVAL = 5_000_000  # microseconds between periodic updates of the dialled addresses
# Microseconds without contact with a leader after which a member asks to join again.
LEADER_SILENCE = 2_000_000
NEIGHBOUR_LIFETIME = 20_000_000  # microseconds for which an address that only peers reported is kept

log = logbook.Logger("control")


def max_voters(losses: int) -> int:
    """The number of voters that tolerates the simultaneous loss of `losses` of them.

    There must not be more voters, because their number never decreases. If a machine is replaced before its
    silence is noticed, its old replica and its new one both count as voters. With more voters than this, dead
    ones could become the majority.
    """
    return max(MIN_VOTERS, 2 * losses + 1)


class Membership:
    """Keeps a node connected to the others and, while it is not a member, asks to join."""

    def __init__(
        self,
        member: Member,
        host: ConsensusHost,
        peers: PeerLinks,
        soft_state: SoftState,
        clock: Callable[[], int],
        seeds: tuple[str, ...],
    ) -> None:
        """`member` is this node; `seeds` are the node-to-node addresses in its settings."""
        self._member = member
        self._host = host
        self._peers = peers
        self._soft_state = soft_state
        self._clock = clock
        self._seeds = seeds
        self._members = Members()  # the members that were last logged and published
        self._neighbours: dict[str, int] = {}  # addresses reported by peers, and the time of the last report
        self._join_due = 0
        self._dial_due = 0

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Applies the seeds of changed settings."""
        self._seeds = seeds
        self.dial()

    def peer_connected(self, peer: Hello) -> None:
        """Records a peer's address and those it is connected to. The caller must call `dial` next."""
        now = self._clock()
        for address in (peer.address, *peer.neighbours):
            self._neighbours[address] = now
        self._join_due = 0

    def tick(self) -> None:
        """Handles member changes, and asks to join and dials if due."""
        self._follow_members()
        self._join_if_due()
        if self._clock() >= self._dial_due:
            self.dial()

    def dial(self) -> None:
        """Dials the seeds, the members and, for a limited time, the addresses that peers reported."""
        now = self._clock()
        self._dial_due = now + DIAL_INTERVAL
        oldest = now - NEIGHBOUR_LIFETIME
        connected = set(self._peers.connected_addresses())
        self._neighbours = {
            address: reported_at
            for address, reported_at in self._neighbours.items()
            if reported_at >= oldest or address in connected
        }
        members = (member.address for member in all_members(self._members))
        self._peers.set_addresses((*self._seeds, *members, *self._neighbours))

    def join_requested(self, request: JoinRequest) -> None:
        """Handles another node's request to join. Nodes other than the leader forward it, but only once."""
        if self._host.leads:
            self._host.join(request.member)
            return
        leader = self._host.leader
        if leader is not None and not request.forwarded:
            self._peers.send(leader.replica_id, JoinRequest(request.member, forwarded=1))

    def _follow_members(self) -> None:
        members = self._host.replica.members
        if members == self._members:
            return
        self._members = members
        log.info(
            "voters {}, outgoing {}, learners {}",
            _ids(members.voters),
            _ids(members.outgoing),
            _ids(members.learners),
        )
        self._publish_addresses(members)
        self.dial()

    def _publish_addresses(self, members: Members) -> None:
        zones = {member.address: member.zone for member in all_members(members)}
        addresses = tuple(sorted(zones))
        ordered_zones = tuple(zones[address] for address in addresses)
        # The log's last index serves as the revision of the address list. A newer member list comes with a
        # newer log entry, so on every node its revision is higher than that of the list before.
        self._soft_state.control_nodes_changed(self._host.replica.last_index, addresses, ordered_zones)

    def _join_if_due(self) -> None:
        """Asks all peers for admission if this replica is no member or has lost contact with the leader."""
        now = self._clock()
        if now < self._join_due or self._host.leads:
            return
        self._join_due = now + JOIN_INTERVAL
        members = all_members(self._host.replica.members)
        is_member = any(member.replica_id == self._member.replica_id for member in members)
        if not is_member or self._host.contact_age() > LEADER_SILENCE:
            self._peers.broadcast(JoinRequest(self._member))


def _ids(members: tuple[Member, ...]) -> str:
    return ", ".join(member.replica_id for member in members) or "none"
