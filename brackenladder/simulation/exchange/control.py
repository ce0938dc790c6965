"""A minimal control node that sends gateways each change at once."""

from __future__ import annotations

from attrs import evolve

from brackenladder.control_plane.wire import control_codec
from brackenladder.delivery.messages import CatalogUpdate, GatewayCount, ServersUpdate, Subscribe
from brackenladder.registry.records import ServerRecord
from brackenladder.simulation.exchange.history import ConfigurationEvent, History
from brackenladder.simulation.exchange.site import CONTROL_INNER, CONTROL_NAME, Configuration
from brackenladder.simulation.network import SimulatedNetwork
from brackenladder.simulation.virtual_loop import Process
from brackenladder.transport.errors import LinkClosed
from brackenladder.transport.link import Link


class ControlSide:
    """A `LinkHandler` that sends changes to all gateways. They arrive after the latency of the links."""

    def __init__(self, network: SimulatedNetwork, history: History) -> None:
        self._network = network
        self._history = history
        self._links: dict[Link, None] = {}  # links to gateways, in the order in which they were opened
        self._records: dict[str, ServerRecord] = {}
        self._revision = 0
        self._document_revision = 0
        self._sequence = 0
        self._process = Process(CONTROL_NAME)
        network.add_endpoint(CONTROL_NAME, "north", 1000.0).process = self._process
        self.configuration = Configuration(0)
        self.evacuated: frozenset[str] = frozenset()

    async def listen(self) -> None:
        """Accepts links from the gateways."""
        transport = self._network.transport(CONTROL_NAME, control_codec())
        await transport.listen(CONTROL_INNER, self)

    # ---- changes --------------------------------------------------------------------------------------

    def configure(self, configuration: Configuration) -> None:
        """Applies a configuration."""
        self.configuration = configuration
        self._revision += 1
        self._document_revision = self._revision
        self._history.configurations.append(
            ConfigurationEvent(self._network.loop.microseconds, configuration)
        )
        self._broadcast(self._catalog())

    def evacuate(self, zone: str, finish: bool) -> None:
        """Begins or finishes the evacuation of a zone."""
        self.evacuated = self.evacuated - {zone} if finish else self.evacuated | {zone}
        self._revision += 1
        self._broadcast(self._catalog())

    def update_server(self, record: ServerRecord) -> None:
        """Applies a server's report about its state."""
        known = self._records.get(record.id)
        record = evolve(record, seq=1 if known is None else known.seq + 1)
        self._records[record.id] = record
        self._broadcast(self._servers((record,), full=False))

    # ---- LinkHandler ----------------------------------------------------------------------------------

    def connected(self, link: Link) -> None:
        """See `LinkHandler`."""

    def received(self, link: Link, message: object) -> None:
        """See `LinkHandler`; a gateway's first message requests the full state."""
        if isinstance(message, Subscribe) and link not in self._links:
            self._links[link] = None
            link.send(self._catalog())
            link.send(self._servers(tuple(self._records.values()), full=True))
            link.send(GatewayCount(1, 2))

    def closed(self, link: Link, reason: LinkClosed) -> None:
        """See `LinkHandler`."""
        self._links.pop(link, None)

    # ---- messages -------------------------------------------------------------------------------------

    def _broadcast(self, message: object) -> None:
        for link in self._links:
            self._process.run(link.send, message)

    def _catalog(self) -> CatalogUpdate:
        return CatalogUpdate(
            self._revision,
            self._document_revision,
            self.configuration.document(),
            evacuated=tuple(sorted(self.evacuated)),
            leader_contact_age=0,
        )

    def _servers(self, records: tuple[ServerRecord, ...], full: bool) -> ServersUpdate:
        self._sequence += 1
        return ServersUpdate(self._sequence, full, records, leader_contact_age=0)
