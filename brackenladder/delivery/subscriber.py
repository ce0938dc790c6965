"""The gateway's side of delivery: merges the updates of several control nodes into one view.

The newest catalog wins. Servers are merged record by record; a server missing from a control node's list is
kept until all control nodes have omitted it for a while, since a control node that has just started knows
few servers. The number of gateways is the highest one reported recently.
"""

from __future__ import annotations

from attrs import define, field

from brackenladder.delivery.documents import CatalogReader, DocumentParser, parse_document
from brackenladder.delivery.gateway_count import HighestCount
from brackenladder.delivery.messages import (
    FRESH_AGE,
    Ack,
    CatalogChange,
    CatalogUpdate,
    ControlNodes,
    Freshness,
    GatewayCount,
    ServersUpdate,
    UpdateKind,
)
from brackenladder.delivery.omitted_servers import OmittedServers
from brackenladder.delivery.view import SystemView
from brackenladder.registry.records import ServerRecord, ServerState

READY_TIMEOUT = 2_000_000  # microseconds after its first configuration at which a gateway stops waiting


@define
class _Source:
    """The state of one connected control node: what it has sent, and whether that data was fresh."""

    catalog_received: bool = False
    servers_received: bool = False
    catalog_fresh: bool = False
    servers_fresh: bool = False
    ids: set[str] = field(factory=set)  # servers in a full update whose last part has not arrived yet

    @property
    def complete(self) -> bool:
        return self.catalog_fresh and self.servers_fresh


class Subscriber:
    """Builds a gateway's view (configuration, servers, gateway count) from the messages of all control nodes.

    Call `tick` about once a second.
    """

    def __init__(self, parse: DocumentParser = parse_document) -> None:
        """`parse` turns a document into a configuration."""
        self.view = SystemView()
        self.control_nodes: tuple[str, ...] = ()  # addresses of the control nodes, as last received
        self.control_zones: dict[str, str] = {}  # zone by address, as far as known
        self.complete = False  # a control node with fresh data has sent both catalog and servers
        self._reader = CatalogReader(parse)
        self._sources: dict[str, _Source] = {}
        self._omitted = OmittedServers()
        self._count = HighestCount()
        self._control_nodes_revision = -1
        self._first_configuration_at: int | None = None

    @property
    def unreadable_revision(self) -> int:
        """The newest catalog revision whose document could not be parsed; 0: none."""
        return self._reader.unreadable_revision

    def complete_or_timed_out(self, now: int) -> bool:
        """Whether configuration and servers have arrived, or the configuration `READY_TIMEOUT` ago."""
        if self.complete:
            return True
        first = self._first_configuration_at
        return first is not None and now - first >= READY_TIMEOUT

    def connected(self, now: int, control_address: str) -> None:
        """Handle a new link to a control node; the caller sends it a `Subscribe`."""
        self._sources[control_address] = _Source()

    def disconnected(self, now: int, control_address: str) -> None:
        """Handle the loss of the link to a control node."""
        if self._sources.pop(control_address, None) is None:
            return
        self._omitted.disconnected(now, control_address, self.view.servers)
        self._count.disconnected(now, control_address)

    def receive(self, now: int, control_address: str, message: object) -> tuple[object, ...]:
        """Handle a message from a control node; return the replies to send on the same link."""
        source = self._sources.setdefault(control_address, _Source())
        match message:
            case CatalogUpdate():
                return self._handle_catalog(now, source, message)
            case CatalogChange():
                return (Ack(UpdateKind.CATALOG, message.to_revision, taken=False),)
            case ServersUpdate():
                return self._handle_servers(now, control_address, source, message)
            case Freshness():
                self._handle_freshness(source, message)
            case ControlNodes():
                return self._handle_control_nodes(message)
            case GatewayCount():
                return self._handle_gateway_count(now, control_address, message)
        return ()

    def tick(self, now: int) -> None:
        """Apply what depends on time: a lower gateway count, removal of omitted servers, announced ends."""
        self.view.set_gateways(self._count.highest(now), self._count.known)
        self.view.remove_servers(self._omitted.take_due(now))
        self.view.expire(now)

    def _handle_catalog(self, now: int, source: _Source, message: CatalogUpdate) -> tuple[object, ...]:
        if message.revision > self.view.revision and not self._take_catalog(now, message):
            return (Ack(UpdateKind.CATALOG, message.revision, taken=False),)
        source.catalog_received = True
        source.catalog_fresh = message.leader_contact_age <= FRESH_AGE
        self._note_complete(source)
        return (Ack(UpdateKind.CATALOG, message.revision),)

    def _take_catalog(self, now: int, message: CatalogUpdate) -> bool:
        if not self._reader.read(message):
            return False
        configuration = self._reader.configuration
        if configuration is not None and self._first_configuration_at is None:
            self._first_configuration_at = now
        self.view.set_catalog(message.revision, configuration, frozenset(message.evacuated))
        return True

    def _handle_servers(
        self, now: int, control_address: str, source: _Source, message: ServersUpdate
    ) -> tuple[object, ...]:
        self.view.merge_servers(now, message.records)
        for record in message.records:
            self._note_listed(control_address, record)
        if message.full:
            self._note_full_list(now, control_address, source, message)
        if not message.last:
            return ()
        source.servers_received = True
        source.servers_fresh = message.leader_contact_age <= FRESH_AGE
        self._note_complete(source)
        return (Ack(UpdateKind.SERVERS, message.sequence),)

    def _note_listed(self, control_address: str, record: ServerRecord) -> None:
        if record.state is not ServerState.GONE:
            self._omitted.listed(control_address, record.id)
        elif record.id not in self.view.servers:
            self._omitted.ended(record.id)

    def _note_full_list(
        self, now: int, control_address: str, source: _Source, message: ServersUpdate
    ) -> None:
        if message.first:
            source.ids = set()
        source.ids.update(record.id for record in message.records if record.state is not ServerState.GONE)
        if message.last:
            self._omitted.apply_full_list(now, control_address, source.ids, self.view.servers)
            source.ids = set()

    def _handle_freshness(self, source: _Source, message: Freshness) -> None:
        fresh = message.leader_contact_age <= FRESH_AGE
        source.catalog_fresh = fresh and source.catalog_received
        source.servers_fresh = fresh and source.servers_received
        self._note_complete(source)

    def _handle_control_nodes(self, message: ControlNodes) -> tuple[object, ...]:
        if message.revision > self._control_nodes_revision:
            self._control_nodes_revision = message.revision
            self.control_nodes = message.addresses
            self.control_zones = dict(zip(message.addresses, message.zones, strict=False))
        return (Ack(UpdateKind.CONTROL_NODES, message.revision),)

    def _handle_gateway_count(
        self, now: int, control_address: str, message: GatewayCount
    ) -> tuple[object, ...]:
        self._count.report(now, control_address, message.number, message.settled)
        self.view.set_gateways(self._count.highest(now), self._count.known)
        return (Ack(UpdateKind.GATEWAY_COUNT, message.sequence),)

    def _note_complete(self, source: _Source) -> None:
        """Update `complete`, which also requires a configuration.

        Otherwise the gateway could become ready without a configuration: a control node that has just
        restarted is in contact with the leader before it has the committed entries, and sends an empty
        catalog.
        """
        configured = self.view.configuration is not None
        self.complete = self.complete or (configured and source.complete)
