"""A control node's state about servers and gateways, and its distribution to peers and gateways."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Protocol

import logbook

from brackenladder.catalog.catalog import Catalog
from brackenladder.catalog.configuration import parse_configuration
from brackenladder.control_plane.directory import Directory
from brackenladder.control_plane.peers import PeerLinks
from brackenladder.control_plane.restart_cache import RememberedCatalog
from brackenladder.control_plane.status import (
    GatewayStatus,
    ServiceStatus,
    gateway_statuses,
    service_statuses,
)
from brackenladder.delivery.messages import UNKNOWN_AGE, Ack, Subscribe
from brackenladder.delivery.publisher import Publisher
from brackenladder.prefix_cache.messages import PrefixNotice, PrefixNotices
from brackenladder.prefix_cache.relay import PrefixRelay, Receiver
from brackenladder.registry.directory import NO_GATEWAYS, ClientLocation, ResolvedGateways
from brackenladder.registry.exchange import PeerExchange
from brackenladder.registry.gateways import GatewayRegistry
from brackenladder.registry.records import ServerRecord
from brackenladder.registry.registry import ServerRegistry
from brackenladder.transport.link import Link

TICK_SECONDS = 0.1
SILENT_HEARTBEATS = 4  # missed heartbeats after which a server counts as gone
# After this many heartbeat intervals from this node's start, every live server has sent a heartbeat to some
# control node.
SETTLE_HEARTBEATS = 1.1
FREEZE_THRESHOLD = 1_000_000  # microseconds between two ticks that show that this process was suspended
IN_TOUCH_AGE = 1_500_000  # microseconds; the node is in touch if its last quorum contact is no older

log = logbook.Logger("registry")


class ReplicatedStateAge(Protocol):
    """The staleness of this node's replicated state. Ages are in microseconds."""

    def contact_age(self) -> int:
        """The time since the last contact with a quorum."""

    def catalog_age(self) -> int:
        """An upper bound on how stale the catalog is: all entries committed that long ago are applied."""

    def lacks_committed(self) -> bool:
        """Whether an entry known to be committed is not applied yet."""


class SoftState:
    """Collects reports of servers, gateways and peers, and distributes them.

    A change is written to the links before the call that caused it is answered.
    """

    def __init__(
        self,
        clock: Callable[[], int],
        state_age: ReplicatedStateAge,
        peers: PeerLinks,
        heartbeat: int,
        region: str = "",
    ) -> None:
        """`state_age` tells how stale this node's replicated state is; servers call every `heartbeat`
        microseconds. `region` is this node's region, whose gateways get the known prefixes first.
        """
        now = clock()
        self._clock = clock
        self._state_age = state_age
        self._peers = peers
        self._region = region
        self._servers = ServerRegistry(SILENT_HEARTBEATS * heartbeat)
        self._gateways = GatewayRegistry()
        self._directory = Directory(self._gateways)
        settle_time = int(SETTLE_HEARTBEATS * heartbeat)
        self._exchange = PeerExchange(self._servers, self._gateways, now, settle_time)
        self._publisher = Publisher(self._servers)
        self._relay = PrefixRelay(now)
        self._subscribers: dict[str, Link] = {}
        self._subscriber_names: dict[Link, str] = {}
        self._gateway_nodes: dict[str, str] = {}  # node names of subscribed gateways, by subscriber name
        self._update_links: dict[str, Link] = {}  # the links used for updates to peers, by replica id
        self._last_subscriber = 0
        self._confirmed_at: int | None = None  # when a majority confirmed the cached catalog
        self._ticked_at = now

    # -- calls of servers and clients

    def heartbeat(self, record: ServerRecord) -> bool:
        """Records a heartbeat, even without quorum contact; returns `in_touch`."""
        if self._servers.heartbeat(self._clock(), record):
            log.debug("server {} {} {}", record.id, record.state.name, record.address)
            self.flush()
        return self._in_touch()

    def deregister(self, server_id: str) -> bool:
        """Removes a server; returns `in_touch`."""
        if self._servers.deregister(self._clock(), server_id):
            log.debug("server {} deregistered", server_id)
            self.flush()
        return self._in_touch()

    def resolve(self, client: ClientLocation) -> ResolvedGateways:
        """The front addresses for a client; none until this node has had time to learn of all gateways."""
        now = self._clock()
        if not self._gateways.settled(now):
            return NO_GATEWAYS
        for name, node in self._gateway_nodes.items():
            self._gateways.record_link_activity(node, now - self._subscribers[name].time_since_receive)
        current = self._may_publish_catalog(now) and not self._state_age.lacks_committed()
        return self._directory.resolve(now, client, current)

    # -- status

    @property
    def in_touch(self) -> bool:
        """Whether this node has recent contact with a quorum, and so acknowledges servers' reports."""
        return self._in_touch()

    @property
    def may_publish_catalog(self) -> bool:
        """Whether the catalog may be sent to gateways, because it was the newest a moment ago."""
        return self._may_publish_catalog(self._clock())

    def servers_in(self, region: str, regions: Mapping[str, str]) -> tuple[ServerRecord, ...]:
        """The live servers of a region; `regions` maps zones to regions."""
        alive = self._servers.alive(self._clock())
        return tuple(record for record in alive if regions.get(record.zone) == region)

    def services(self) -> tuple[ServiceStatus, ...]:
        """The number of live servers by service."""
        return service_statuses(self._servers.alive(self._clock()))

    def gateways(self) -> tuple[GatewayStatus, ...]:
        """The live gateways, with the catalog revision that each has acknowledged to this node."""
        revisions = {node: self._publisher.revision_of(name) for name, node in self._gateway_nodes.items()}
        return gateway_statuses(self._gateways.list_living(self._clock()), revisions)

    # -- events of links

    def peer_connected(self, replica_id: str) -> None:
        """A link to a control node is up.

        Updates for a node use the same link as consensus: `OrderService.reaches_quorum` relies on both being
        received in the order in which they were sent.
        """
        if replica_id not in self._update_links:
            self._start_updates(replica_id)
        elif self._update_links[replica_id] is not self._peers.link(replica_id):
            self._restart_updates(replica_id)
        self.flush()

    def update_link(self, replica_id: str) -> Link | None:
        """The link used for updates to a control node."""
        return self._update_links.get(replica_id)

    def peer_received(self, replica_id: str, message: object) -> bool:
        """Handles a message of a control node; False if the message is for another component."""
        if isinstance(message, PrefixNotices):
            self._relay.from_peer(self._clock(), message)
            self._relay_notices()
            return True
        if not self._exchange.receive(self._clock(), replica_id, message):
            return False
        self._publish_gateway_count()
        self.flush()
        return True

    def gateway_received(self, link: Link, message: object) -> None:
        """Handles a message of a gateway."""
        name = self._subscriber_names.get(link)
        match message:
            case Subscribe():
                self._send_known_prefixes(link, name, message)
                self._subscribed(link, name or self._new_subscriber(link), message)
            case Ack() if name is not None:
                self._publisher.acknowledged(name, message)
            case PrefixNotices() if name is not None:
                self._relay.from_gateway(self._clock(), name, message)
                self._relay_notices()
                return
            case _:
                return
        self.flush()

    def link_closed(self, link: Link) -> None:
        """Handles a closed link. A peer gets the full state over its next link; a gateway subscribes anew."""
        for replica_id, used in list(self._update_links.items()):
            if used is link:
                self._restart_updates(replica_id)
        name = self._subscriber_names.pop(link, None)
        if name is not None:
            del self._subscribers[name]
            self._gateway_nodes.pop(name, None)
            self._publisher.disconnected(name)
            self._relay.unsubscribe(name)

    # -- changes of the replicated state

    def catalog_changed(self, catalog: Catalog) -> None:
        """Publishes the new catalog."""
        self._publisher.set_catalog(catalog.revision, catalog.document, catalog.evacuated)
        configuration = catalog.configuration
        self._directory.set_configuration(catalog.revision, lambda: configuration)
        self.flush()

    def catalog_confirmed(self, catalog: RememberedCatalog) -> None:
        """Publishes the catalog from before the restart, after a majority has confirmed it as the newest."""
        self._confirmed_at = self._clock()
        self._publisher.set_catalog(catalog.revision, catalog.document, frozenset(catalog.evacuated))
        self._directory.set_configuration(
            catalog.revision, lambda: parse_configuration(catalog.document).value_or(None)
        )
        self.flush()

    def prefixes_remembered(self, notices: tuple[PrefixNotice, ...]) -> None:
        """Adds the prefixes that servers held before this node's restart."""
        self._relay.restore(self._clock(), notices)

    def prefixes(self) -> tuple[PrefixNotice, ...]:
        """Notices of the cached prompt prefixes that carry the most traffic."""
        return self._relay.heaviest(self._clock())

    def control_nodes_changed(
        self, revision: int, addresses: tuple[str, ...], zones: tuple[str, ...]
    ) -> None:
        """Publishes the addresses of the control nodes and the zone of each."""
        self._publisher.set_control_nodes(revision, addresses, zones)

    # -- time

    def tick(self) -> None:
        """Expires silent servers and gateways; to be called every `TICK_SECONDS`."""
        now = self._clock()
        gap = now - self._ticked_at
        self._ticked_at = now
        if gap > FREEZE_THRESHOLD:
            log.info("process was suspended for {} ms", gap // 1000)
            self._servers.compensate_pause(now, gap)
            self._gateways.compensate_pause(now, gap)
        for record in self._servers.expire(now, in_touch=self._in_touch()):
            log.info("server {} removed, no heartbeat", record.id)
        self._gateways.remove_expired(now)
        self._publish_gateway_count()
        self.flush()
        self._relay_notices()

    def flush(self) -> None:
        """Sends all pending updates to peers and gateways."""
        now = self._clock()
        for update in self._exchange.take_messages(now):
            link = self._update_links.get(update.peer)
            if link is None or not link.send(update.message):
                self._restart_updates(update.peer)
        for delivery in self._publisher.take_messages(
            now, self._published_contact_age(now), self._may_publish_catalog(now)
        ):
            subscriber = self._subscribers.get(delivery.subscriber)
            if subscriber is not None and not subscriber.send(delivery.message):
                subscriber.close()

    def _relay_notices(self) -> None:
        """Sends the pending notices of cached prefixes: hints, dropped if a link's queue is full."""
        for notice in self._relay.take(self._clock()):
            if notice.receiver is Receiver.PEERS:
                self._peers.broadcast(notice.message)
                continue
            subscriber = self._subscribers.get(notice.name)
            if subscriber is not None:
                subscriber.send(notice.message)

    def _in_touch(self) -> bool:
        return self._state_age.contact_age() <= IN_TOUCH_AGE

    def _may_publish_catalog(self, now: int) -> bool:
        """Whether this node's catalog is known to have been the newest a moment ago.

        Without this check, a node that is disconnected, has restarted alone or is still catching up sends an
        old configuration to gateways that have none, and directs clients by outdated home regions.
        """
        confirmed = self._confirmed_at is not None and now - self._confirmed_at <= IN_TOUCH_AGE
        return confirmed or self._state_age.catalog_age() <= IN_TOUCH_AGE

    def _published_contact_age(self, now: int) -> int:
        return self._state_age.catalog_age() if self._exchange.settled(now) else UNKNOWN_AGE

    def _send_known_prefixes(self, link: Link, name: str | None, message: Subscribe) -> None:
        """Sends the known prefixes to a gateway that subscribes first, before it has requests to place.

        Otherwise, after a restart of all nodes, gateways send their held requests before they have chosen the
        control node that relays prefix notices to them, and prompts cached on one server are processed again
        on another.
        """
        notices = self.prefixes() if name is None and message.region == self._region else ()
        if notices:
            link.send(PrefixNotices(notices))

    def _subscribed(self, link: Link, name: str, message: Subscribe) -> None:
        """Records a gateway's presence. Only the control node chosen as its relay reports it to the peers.

        Otherwise all five control nodes report every gateway to each of the others every second.
        """
        self._publisher.subscribed(name, message)
        self._relay.set_subscribed(name, message.relay)
        self._gateway_nodes[name] = message.node
        self._gateways.record_presence(self._clock(), message.gateway, tell_peers=message.relay)
        self._publish_gateway_count()

    def _new_subscriber(self, link: Link) -> str:
        self._last_subscriber += 1
        name = str(self._last_subscriber)
        self._subscriber_names[link] = name
        self._subscribers[name] = link
        return name

    def _start_updates(self, replica_id: str) -> None:
        link = self._peers.link(replica_id)
        if link is not None:
            self._update_links[replica_id] = link
            self._exchange.peer_connected(replica_id)

    def _restart_updates(self, replica_id: str) -> None:
        """Restarts the updates to a peer from the full state, over another link if there is one."""
        if self._update_links.pop(replica_id, None) is None:
            return
        self._exchange.peer_disconnected(replica_id)
        self._start_updates(replica_id)

    def _publish_gateway_count(self) -> None:
        now = self._clock()
        self._publisher.set_gateways(self._gateways.count_living(now), self._gateways.settled(now))
