"""A control node: connects consensus, registry and delivery to the peer links and the HTTP interfaces."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

import logbook
from attrs import evolve, frozen

from brackenladder.catalog.catalog import Catalog
from brackenladder.consensus.messages import MESSAGE_TYPES as CONSENSUS_TYPES
from brackenladder.consensus.messages import JoinRequest
from brackenladder.consensus.replica import Replica, Timing
from brackenladder.consensus.types import DurableState, Member, Members
from brackenladder.control_plane.consensus_host import ConsensusHost
from brackenladder.control_plane.directory_api import DirectoryApi
from brackenladder.control_plane.environment import NodeEnvironment, host_environment
from brackenladder.control_plane.membership import Membership, max_voters
from brackenladder.control_plane.messages import Hello
from brackenladder.control_plane.node_status import node_status
from brackenladder.control_plane.operator_api import OperatorApi
from brackenladder.control_plane.orders import OrderService
from brackenladder.control_plane.peers import PeerLinks
from brackenladder.control_plane.restart_recovery import RestartRecovery
from brackenladder.control_plane.server_calls import ServerCalls
from brackenladder.control_plane.soft_state import TICK_SECONDS, SoftState
from brackenladder.control_plane.status import ControlStatus
from brackenladder.platform_settings import Platform
from brackenladder.registry.records import ServerRecord
from brackenladder.storage.writer import LogWriter
from brackenladder.transport.link import Link, Transport

MICROSECONDS_PER_MILLISECOND = 1000
ELECTION_HEAD_START = 350_000  # microseconds by which the first election timeout after a start is shortened
STOP_SECONDS = 1.5  # time limit of an orderly shutdown; at least the sum of the four waits below
HANDOVER_SECONDS = 0.6  # longest wait in a shutdown until another node has become the leader
HTTP_GRACE_SECONDS = 0.3  # longest wait in a shutdown until open HTTP calls are finished
# Microseconds; longest wait in a shutdown until queued messages are sent. The transport applies it.
LINK_GRACE = 300_000
STORE_GRACE_SECONDS = 0.2  # longest wait for the last write to the store; a disk may hang

# Seconds after an evacuation order in which a call may be on its way on an idle connection. It is answered
# with a redirect; later, the connection is closed.
IN_FLIGHT_SECONDS = 0.2

log = logbook.Logger("control")


@frozen
class ReplicaStart:
    """A replica's id and its durable state; at the first start of the system also the initial voters."""

    replica_id: str
    state: DurableState
    genesis: Members | None  # the initial voters; only at the first start of the system


class ControlNode:
    """Connects the parts of a control node. Must be created and used in a running event loop."""

    def __init__(
        self,
        platform: Platform,
        start: ReplicaStart,
        writer: LogWriter,
        transport: Transport,
        clock: Callable[[], int],
        random: Random,
        timing: Timing | None = None,
        environment: NodeEnvironment | None = None,
    ) -> None:
        environment = environment or host_environment(platform)
        self.platform = platform
        self.member = Member(start.replica_id, platform.inner_address, platform.zone, platform.region)
        self.catalog = Catalog()
        self.peers = PeerLinks(transport, self, self._hello)
        # if there already is a leader, the pre-vote keeps an early candidate from disturbing it
        created_at = clock() - ELECTION_HEAD_START
        timing = evolve(timing or Timing(), max_voters=max_voters(platform.tolerate.machines))
        replica = Replica(self.member, start.state, timing, random, created_at, start.genesis)
        self.host = ConsensusHost(
            replica,
            writer,
            self.catalog,
            clock,
            self._send_consensus,
            self._catalog_changed,
            self._log_applied,
        )
        self.orders = OrderService(self.host, self.peers, clock, self._newest_index_risen)
        heartbeat = int(platform.heartbeat_ms * MICROSECONDS_PER_MILLISECOND)
        self.soft_state = SoftState(clock, self.host, self.peers, heartbeat, platform.region)
        self.recovery = RestartRecovery(
            environment,
            self.host,
            self.soft_state,
            clock,
            start.replica_id,
            self._newest_order_index,
            self._local_servers,
        )
        seeds = platform.seed_inner_addresses
        self._membership = Membership(self.member, self.host, self.peers, self.soft_state, clock, seeds)
        self.server_calls = ServerCalls(self.soft_state, self.orders)
        operator_api = OperatorApi(self.orders, self.server_calls, self._zones, self.status)
        self._control_listener = environment.listener(operator_api.handle, self.orders.newest_index)
        directory_api = DirectoryApi(self.soft_state.resolve, platform.bounds)
        self._directory_listener = environment.listener(directory_api.handle, self.orders.newest_index)
        self._clock = clock
        self._writer = writer
        self._transport = transport
        self._timer: asyncio.TimerHandle | None = None
        self._evacuation_index = 0  # of the last evacuation order after which idle connections were closed
        self._loop = asyncio.get_running_loop()

    async def start(self) -> None:
        """Starts consensus, the timer and the listeners."""
        self.host.start()
        self.recovery.start()
        await self.peers.listen(self.member.address)
        self._tick()
        await self._control_listener.listen(self.platform.listen.control)
        if self.platform.listen.directory:
            await self._directory_listener.listen(self.platform.listen.directory)
        log.info("{} listens on {}", self.member.replica_id, self.member.address)

    async def stop(self) -> None:
        """Hands over leadership, finishes open calls, then closes; takes at most `STOP_SECONDS`."""
        await self._hand_over()
        await self._close_listeners(HTTP_GRACE_SECONDS)
        await self.close()

    async def close(self) -> None:
        """Closes everything at once; writes already passed to the store are completed."""
        if self._timer is not None:
            self._timer.cancel()
        self.recovery.close()
        self.host.close()
        await self._close_listeners(0.0)
        self.peers.close()
        await self._transport.close()
        self._writer.close()
        self._writer.join(STORE_GRACE_SECONDS)

    def reload(self, platform: Platform) -> None:
        """Applies changed settings. Only the seeds take effect; addresses stay until a restart."""
        self.platform = platform
        self._membership.set_seeds(platform.seed_inner_addresses)

    def status(self) -> ControlStatus:
        """The status that this node reports of itself, and of the nodes and servers that it knows."""
        return node_status(self.member, self.host, self.peers, self.soft_state)

    # -- PeerListener

    def peer_connected(self, peer: Hello, link: Link) -> None:
        """See `peers.PeerListener`."""
        self._membership.peer_connected(peer)
        self.recovery.peer_reported(peer.replica_id, peer.newest_order)
        self._membership.dial()
        self.host.peer_connected(peer.replica_id)
        self.soft_state.peer_connected(peer.replica_id)

    def peer_received(self, peer: Hello, link: Link, message: object) -> None:
        """See `peers.PeerListener`."""
        if isinstance(message, JoinRequest):
            self._membership.join_requested(message)
        elif isinstance(message, CONSENSUS_TYPES):
            self.host.step(peer.replica_id, message)
        elif not self.orders.received(link, message):
            self.soft_state.peer_received(peer.replica_id, message)

    def gateway_received(self, link: Link, message: object) -> None:
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
            member.replica_id,
            member.address,
            member.zone,
            member.region,
            neighbours,
            self._newest_order_index(),
        )

    def _newest_order_index(self) -> int:
        """Index of the newest order in this node's log.

        For the part of the log that a snapshot replaces, this is the last change of the catalog.
        """
        return max(self.catalog.revision, self.host.replica.newest_command_index)

    def _zones(self) -> dict[str, str]:
        return self.platform.zones

    def _local_servers(self) -> tuple[ServerRecord, ...]:
        return self.soft_state.servers_in(self.platform.region, self.platform.zones)

    def _send_consensus(self, replica_id: str, message: object) -> None:
        self.peers.send(replica_id, message)

    def _catalog_changed(self) -> None:
        self.soft_state.catalog_changed(self.catalog)

    def _log_applied(self) -> None:
        self._newest_index_risen()
        index = self.catalog.evacuation_index
        if index != self._evacuation_index:
            self._evacuation_index = index
            self._loop.call_later(IN_FLIGHT_SECONDS, self._control_listener.close_outdated, index)

    def _newest_index_risen(self) -> None:
        self._control_listener.newest_index_risen()

    def _tick(self) -> None:
        self._timer = self._loop.call_later(TICK_SECONDS, self._tick)
        self._newest_index_risen()
        self._membership.tick()
        self.soft_state.tick()
        self.recovery.tick()
        self.orders.held_calls.check_limits(self._clock())

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
            await self.host.wait_for_leader_change(deadline - self._loop.time())
