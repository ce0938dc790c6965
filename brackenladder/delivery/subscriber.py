"""A gateway's end of delivery: merges what several control nodes tell into one view.

The catalog is the newest that any of them told. Servers are merged record by record; a server that a control
node leaves out is kept until all of them have left it out for a while, since one that just started knows
little. The number of gateways is the highest that any told lately.
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

READY_TIMEOUT = 2_000_000  # microseconds after the first configuration at which a gateway waits no longer


@define
class _Source:
    """One connected control node, and which of its words came while it was in touch with the leader."""

    told_catalog: bool = False
    told_servers: bool = False
    catalog_fresh: bool = False
    servers_fresh: bool = False
    ids: set[str] = field(factory=set)  # of a full update whose last part has not come yet

    @property
    def complete(self) -> bool:
        return self.catalog_fresh and self.servers_fresh


class Subscriber:
    """Takes the messages of all control nodes and keeps the view. `tick` is due about once a second."""

    def __init__(self, parse: DocumentParser = parse_document) -> None:
        """`parse` makes a configuration of a document."""
        self.view = SystemView()
        self.control_nodes: tuple[str, ...] = ()  # where the control nodes listen, as last told
        self.control_zones: dict[str, str] = {}  # zone by such an address, where it was told
        self.complete = False  # a control node in touch with the leader has told both catalog and servers
        self._reader = CatalogReader(parse)
        self._sources: dict[str, _Source] = {}
        self._omitted = OmittedServers()
        self._count = HighestCount()
        self._control_nodes_revision = -1
        self._first_configuration_at: int | None = None

    @property
    def unreadable_revision(self) -> int:
        """The newest revision whose document could not be parsed; 0: none."""
        return self._reader.unreadable_revision

    def complete_or_timed_out(self, now: int) -> bool:
        """Whether the view is complete, or has had a configuration for so long that it has to do."""
        if self.complete:
            return True
        first = self._first_configuration_at
        return first is not None and now - first >= READY_TIMEOUT

    def connected(self, now: int, control_address: str) -> None:
        """A link to a control node is up; the caller sends it a `Subscribe`."""
        self._sources[control_address] = _Source()

    def disconnected(self, now: int, control_address: str) -> None:
        """The link to a control node is down."""
        if self._sources.pop(control_address, None) is None:
            return
        self._omitted.lost(now, control_address, self.view.servers)
        self._count.lost(now, control_address)

    def receive(self, now: int, control_address: str, message: object) -> tuple[object, ...]:
        """Take a message of a control node; return what to send back on the same link."""
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
        """Let what was told earlier run out."""
        self.view.set_gateways(self._count.highest(now), self._count.known)
        self.view.remove_servers(self._omitted.take_due(now))
        self.view.expire(now)

    def _handle_catalog(self, now: int, source: _Source, message: CatalogUpdate) -> tuple[object, ...]:
        if message.revision > self.view.revision and not self._take_catalog(now, message):
            return (Ack(UpdateKind.CATALOG, message.revision, taken=False),)
        source.told_catalog = True
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
            self._note_told(control_address, record)
        if message.full:
            self._note_full(now, control_address, source, message)
        if not message.last:
            return ()
        source.told_servers = True
        source.servers_fresh = message.leader_contact_age <= FRESH_AGE
        self._note_complete(source)
        return (Ack(UpdateKind.SERVERS, message.sequence),)

    def _note_told(self, control_address: str, record: ServerRecord) -> None:
        if record.state is not ServerState.GONE:
            self._omitted.told(control_address, record.id)
        elif record.id not in self.view.servers:
            self._omitted.ended(record.id)

    def _note_full(self, now: int, control_address: str, source: _Source, message: ServersUpdate) -> None:
        if message.first:
            source.ids = set()
        source.ids.update(record.id for record in message.records if record.state is not ServerState.GONE)
        if message.last:
            self._omitted.full(now, control_address, source.ids, self.view.servers)
            source.ids = set()

    def _handle_freshness(self, source: _Source, message: Freshness) -> None:
        fresh = message.leader_contact_age <= FRESH_AGE
        source.catalog_fresh = fresh and source.told_catalog
        source.servers_fresh = fresh and source.told_servers
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
        self._count.told(now, control_address, message.number, message.settled)
        self.view.set_gateways(self._count.highest(now), self._count.known)
        return (Ack(UpdateKind.GATEWAY_COUNT, message.sequence),)

    def _note_complete(self, source: _Source) -> None:
        """Failure prevented: a control node that just restarted hears its leader before it knows what was
        committed, tells an empty catalog, and a gateway calls itself ready without a configuration."""
        configured = self.view.configuration is not None
        self.complete = self.complete or (configured and source.complete)
