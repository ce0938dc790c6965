"""One control node: consensus, registry and delivery behind its links and its HTTP interfaces."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

import logbook
from attrs import evolve, frozen

from brackenladder.catalog.catalog import Catalog
from brackenladder.consensus.members import all_members
from brackenladder.consensus.messages import MESSAGE_TYPES as CONSENSUS_TYPES
from brackenladder.consensus.messages import JoinRequest
from brackenladder.consensus.planning import LEAST_VOTERS
from brackenladder.consensus.replica import Replica, Timing
from brackenladder.consensus.types import DurableState, Member, Members
from brackenladder.control_plane.consensus_host import ConsensusHost
from brackenladder.control_plane.directory_api import DirectoryApi
from brackenladder.control_plane.health_checks import HealthChecks, HttpHealthChecks
from brackenladder.control_plane.http_server import Handler, HttpListener, Listener
from brackenladder.control_plane.messages import Hello
from brackenladder.control_plane.operator_api import OperatorApi
from brackenladder.control_plane.orders import OrderService
from brackenladder.control_plane.peers import PeerLinks
from brackenladder.control_plane.restart_cache import RememberedCatalog, RestartCache
from brackenladder.control_plane.restart_file import DiskRestartFile, RestartFile
from brackenladder.control_plane.restart_gate import RestartGate
from brackenladder.control_plane.server_calls import ServerCalls
from brackenladder.control_plane.soft_state import TICK_SECONDS, SoftState
from brackenladder.control_plane.status import ControlStatus, age_ms, member_statuses
from brackenladder.platform_settings import Platform
from brackenladder.prefix_cache.messages import PrefixNotice
from brackenladder.registry.records import ServerRecord
from brackenladder.storage.writer import LogWriter
from brackenladder.transport.link import Link, Transport

MICROSECONDS_PER_MILLISECOND = 1000
JOIN_INTERVAL = 300_000  # microseconds between two requests to be taken in
DIAL_INTERVAL = 5_000_000  # microseconds between two looks at who is to be dialled, without an event
UNHEARD_LEADER = 2_000_000  # microseconds without a leader after which a member asks to be taken in again
ELECTION_HEAD_START = 350_000  # microseconds by which a node that starts stands for election earlier
STOP_SECONDS = 1.5  # longest orderly end, all of the waits below together
HANDOVER_SECONDS = 0.6  # longest wait for another leader before the end
HTTP_GRACE_SECONDS = 0.3  # for calls under way
LINK_GRACE = 300_000  # microseconds for what is queued for other nodes; a setting of the transport
STORE_GRACE_SECONDS = 0.2  # for the store's last write; a disk may hang
FORGET_NEIGHBOUR = 20_000_000  # microseconds after which an address that only others told of is forgotten

log = logbook.Logger("control")


@frozen
class ReplicaStart:
    """What a replica starts from."""

    replica_id: str
    state: DurableState
    genesis: Members | None  # the first voters, at the very first start of the whole system


@frozen
class Surroundings:
    """What a control node meets beside its links, its clock and the store of its log.

    `restart_file` is None where nothing is kept over a restart.
    """

    listener: Callable[[Handler], Listener]
    restart_file: RestartFile | None
    health_checks: Callable[[], HealthChecks]


def host_surroundings(platform: Platform) -> Surroundings:
    """HTTP over sockets, the folder of the settings as disk."""
    restart_file = DiskRestartFile(platform.data_dir) if platform.data_dir else None
    return Surroundings(HttpListener, restart_file, HttpHealthChecks)


def voters_to_bear(losses: int) -> int:
    """The number of voters of which so many can be lost at a time.

    More voters than that bear no more, and their number never falls: after machines that were replaced before
    their silence was noticed, voters that are gone for good would be left in the majority.
    """
    return max(LEAST_VOTERS, 2 * losses + 1)


class ControlNode:
    """Ties the parts of a control node together; made and used in a running event loop."""

    def __init__(
        self,
        platform: Platform,
        start: ReplicaStart,
        writer: LogWriter,
        transport: Transport,
        clock: Callable[[], int],
        random: Random,
        timing: Timing | None = None,
        surroundings: Surroundings | None = None,
    ) -> None:
        surroundings = surroundings or host_surroundings(platform)
        self.platform = platform
        self.member = Member(start.replica_id, platform.inner_address, platform.zone, platform.region)
        self.catalog = Catalog()
        self.peers = PeerLinks(transport, self, self._hello)
        # where there is a leader already, the pre-vote keeps an early candidate from disturbing it
        began = clock() - ELECTION_HEAD_START
        timing = evolve(timing or Timing(), max_voters=voters_to_bear(platform.tolerate.machines))
        replica = Replica(self.member, start.state, timing, random, began, start.genesis)
        self.host = ConsensusHost(
            replica, writer, self.catalog, clock, self._send_consensus, self._catalog_changed
        )
        self.orders = OrderService(self.host, self.peers)
        heartbeat = int(platform.heartbeat_ms * MICROSECONDS_PER_MILLISECOND)
        self.soft_state = SoftState(clock, self.host.contact_age, self.peers, heartbeat, platform.region)
        self._restart_cache = RestartCache(
            surroundings.restart_file,
            surroundings.health_checks,
            start.replica_id,
            clock,
            self,
        )
        self._restart_gate = RestartGate()
        self._remembered: RememberedCatalog | None = None
        self.server_calls = ServerCalls(self.soft_state, self.orders)
        operator_api = OperatorApi(self.orders, self.server_calls, self._zones, self.status)
        self._control_listener = surroundings.listener(operator_api.handle)
        directory_api = DirectoryApi(self.soft_state.resolve, platform.bounds)
        self._directory_listener = surroundings.listener(directory_api.handle)
        self._writer = writer
        self._transport = transport
        self._clock = clock
        self._members = Members()
        self._neighbours: dict[str, int] = {}  # told by peers: address -> when it was last told
        self._join_due = 0
        self._dial_due = 0
        self._timer: asyncio.TimerHandle | None = None
        self._loop = asyncio.get_running_loop()

    async def start(self) -> None:
        """Opens the listeners and begins to dial, to tick and to answer."""
        self.host.start()
        self._restart_cache.start()
        await self.peers.listen(self.member.address)
        self._tick()
        await self._control_listener.listen(self.platform.listen.control)
        if self.platform.listen.directory:
            await self._directory_listener.listen(self.platform.listen.directory)
        log.info("{} listens at {}", self.member.replica_id, self.member.address)

    async def stop(self) -> None:
        """Hands leadership over, answers what is under way, then ends; takes at most `STOP_SECONDS`."""
        await self._hand_over()
        await self._close_listeners(HTTP_GRACE_SECONDS)
        await self.close()

    async def close(self) -> None:
        """Ends at once; what the store was given is still written."""
        if self._timer is not None:
            self._timer.cancel()
        self._restart_cache.close()
        self.host.close()
        await self._close_listeners(0.0)
        self.peers.close()
        await self._transport.close()
        self._writer.close()
        self._writer.join(STORE_GRACE_SECONDS)

    def reload(self, platform: Platform) -> None:
        """Takes the seeds of changed settings; addresses stay as they are."""
        self.platform = platform
        self._dial()

    def status(self) -> ControlStatus:
        """This node's view of itself and of the system, for operators."""
        replica, leader, catalog = self.host.replica, self.host.leader, self.catalog
        places = {peer.replica_id: (peer.zone, peer.region) for peer, _ in self.peers.peers()}
        places[self.member.replica_id] = (self.member.zone, self.member.region)
        return ControlStatus(
            node=member_statuses((self.member,), places)[0],
            role=replica.role.name.lower(),
            term=replica.term,
            leader=None if leader is None else member_statuses((leader,), places)[0],
            contact_age_ms=age_ms(self.host.contact_age()),
            in_touch=self.soft_state.in_touch,
            voters=member_statuses(replica.members.voters, places),
            outgoing=member_statuses(replica.members.outgoing, places),
            learners=member_statuses(replica.members.learners, places),
            last_index=replica.last_index,
            commit_index=replica.commit_index,
            applied_index=self.host.applied_index,
            revision=catalog.revision,
            configuration_version=catalog.configuration.version if catalog.configuration else 0,
            evacuated_zones=tuple(sorted(catalog.evacuated)),
            services=self.soft_state.services(),
            gateways=self.soft_state.gateways(),
        )

    # -- RestartListener

    def catalog_remembered(self, catalog: RememberedCatalog) -> None:
        """See `restart_cache.RestartListener`."""
        self._remembered = catalog
        self._restart_gate.told(self.member.replica_id, self._newest_order())
        self._tell_remembered()

    def prefixes_remembered(self, notices: tuple[PrefixNotice, ...]) -> None:
        """See `restart_cache.RestartListener`."""
        self.soft_state.prefixes_remembered(notices)

    def server_found(self, record: ServerRecord) -> None:
        """See `restart_cache.RestartListener`."""
        self.soft_state.heartbeat(record)

    # -- PeerListener

    def peer_connected(self, peer: Hello, link: Link) -> None:
        """See `peers.PeerListener`."""
        now = self._clock()
        for address in (peer.address, *peer.neighbours):
            self._neighbours[address] = now
        self._join_due = 0
        self._restart_gate.told(peer.replica_id, peer.newest_order)
        self._tell_remembered()
        self._dial()
        self.host.reached(peer.replica_id)
        self.soft_state.peer_connected(peer.replica_id)

    def peer_received(self, peer: Hello, link: Link, message: object) -> None:
        """See `peers.PeerListener`."""
        if isinstance(message, JoinRequest):
            self._join_requested(message)
        elif isinstance(message, CONSENSUS_TYPES):
            self.host.step(peer.replica_id, message)
        elif not self.orders.received(link, message):
            self.soft_state.peer_received(peer.replica_id, message)

    def stranger_received(self, link: Link, message: object) -> None:
        """See `peers.PeerListener`."""
        self.soft_state.gateway_received(link, message)

    def link_closed(self, link: Link) -> None:
        """See `peers.PeerListener`."""
        self.orders.link_closed(link)
        self.soft_state.link_closed(link)

    # -- internals

    def _hello(self) -> Hello:
        member = self.member
        neighbours = self.peers.connected_addresses()
        return Hello(
            member.replica_id, member.address, member.zone, member.region, neighbours, self._newest_order()
        )

    def _newest_order(self) -> int:
        """Index of the newest order in this node's log; what a snapshot covers counts by its last change."""
        return max(self.catalog.revision, self.host.replica.newest_command)

    def _zones(self) -> dict[str, str]:
        return self.platform.zones

    def _send_consensus(self, replica_id: str, message: object) -> None:
        self.peers.send(replica_id, message)

    def _catalog_changed(self) -> None:
        self.soft_state.catalog_changed(self.catalog)

    def _tick(self) -> None:
        self._timer = self._loop.call_later(TICK_SECONDS, self._tick)
        self._watch_members()
        self._join_if_needed()
        if self._clock() >= self._dial_due:
            self._dial()
        self.soft_state.tick()
        if self._restart_cache.due:
            self._remember()

    def _tell_remembered(self) -> None:
        """Tells gateways what was committed before the restart, as soon as a majority confirms it."""
        remembered = self._remembered
        if remembered is None or not self._restart_gate.confirms(
            self.host.replica.members, remembered.revision
        ):
            return
        self._remembered = None
        log.info("catalog {} of before the restart is confirmed", remembered.revision)
        self.soft_state.catalog_confirmed(remembered)

    def _remember(self) -> None:
        catalog = self.catalog
        if catalog.configuration is None:
            return
        remembered = RememberedCatalog(catalog.revision, catalog.document, tuple(sorted(catalog.evacuated)))
        paths = {service.name: service.health_path for service in catalog.configuration.services}
        servers = self.soft_state.servers_in(self.platform.region, self.platform.zones)
        self._restart_cache.note(remembered, servers, paths, self.soft_state.prefixes)

    def _watch_members(self) -> None:
        members = self.host.replica.members
        if members == self._members:
            return
        self._members = members
        zones = {member.address: member.zone for member in all_members(members)}
        addresses = tuple(sorted(zones))
        log.info(
            "voters {}, outgoing {}, learners {}",
            _ids(members.voters),
            _ids(members.outgoing),
            _ids(members.learners),
        )
        # members of a later entry are always first seen at a higher last index, on whichever node
        told_zones = tuple(zones[address] for address in addresses)
        self.soft_state.control_nodes_changed(self.host.replica.last_index, addresses, told_zones)
        self._dial()

    def _dial(self) -> None:
        """Dials the seeds, the members and, for a while, whoever a peer is connected to."""
        now = self._clock()
        self._dial_due = now + DIAL_INTERVAL
        oldest = now - FORGET_NEIGHBOUR
        connected = set(self.peers.connected_addresses())
        self._neighbours = {
            address: told
            for address, told in self._neighbours.items()
            if told >= oldest or address in connected
        }
        members = (member.address for member in all_members(self._members))
        self.peers.keep((*self.platform.seed_inner_addresses, *members, *self._neighbours))

    def _join_if_needed(self) -> None:
        """Asks all peers to be taken in while no leader counts this replica among the members."""
        now = self._clock()
        if now < self._join_due or self.host.leads:
            return
        self._join_due = now + JOIN_INTERVAL
        members = all_members(self.host.replica.members)
        is_member = any(member.replica_id == self.member.replica_id for member in members)
        if not is_member or self.host.contact_age() > UNHEARD_LEADER:
            self.peers.broadcast(JoinRequest(self.member))

    def _join_requested(self, request: JoinRequest) -> None:
        if self.host.leads:
            self.host.join(request.member)
            return
        leader = self.host.leader
        if leader is not None and not request.forwarded:
            self.peers.send(leader.replica_id, JoinRequest(request.member, forwarded=1))

    async def _close_listeners(self, grace_seconds: float) -> None:
        await asyncio.gather(
            self._control_listener.close(grace_seconds), self._directory_listener.close(grace_seconds)
        )

    async def _hand_over(self) -> None:
        if not self.host.leads:
            return
        self.host.transfer_leadership()
        deadline = self._loop.time() + HANDOVER_SECONDS
        while self.host.leads and self._loop.time() < deadline:
            await self.host.leadership_changed(deadline - self._loop.time())


def _ids(members: tuple[Member, ...]) -> str:
    return ", ".join(member.replica_id for member in members) or "none"
