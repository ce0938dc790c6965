"""Writes a control node's restart cache while it runs, and publishes its content after a restart."""

from __future__ import annotations

from collections.abc import Callable

import logbook

from brackenladder.control_plane.consensus_host import ConsensusHost
from brackenladder.control_plane.environment import NodeEnvironment
from brackenladder.control_plane.restart_cache import RememberedCatalog, RestartCache
from brackenladder.control_plane.restart_gate import RestartGate
from brackenladder.control_plane.soft_state import SoftState
from brackenladder.prefix_cache.messages import PrefixNotice
from brackenladder.registry.records import ServerRecord

log = logbook.Logger("control")


class RestartRecovery:
    """Connects the restart cache, the confirmation of its catalog and `SoftState`. A `RestartListener`."""

    def __init__(
        self,
        environment: NodeEnvironment,
        host: ConsensusHost,
        soft_state: SoftState,
        clock: Callable[[], int],
        replica_id: str,
        newest_order: Callable[[], int],
        local_servers: Callable[[], tuple[ServerRecord, ...]],
    ) -> None:
        """`newest_order` returns the index of the newest order in this node's log, `local_servers` the live
        servers of its region.
        """
        self._clock = clock
        self._host = host
        self._soft_state = soft_state
        self._replica_id = replica_id
        self._newest_order = newest_order
        self._local_servers = local_servers
        self._gate = RestartGate()
        # The catalog read from the cache, until a majority has confirmed it.
        self._remembered: RememberedCatalog | None = None
        self._cache = RestartCache(
            environment.restart_file, environment.health_checks, replica_id, clock, self
        )

    def start(self) -> None:
        """Starts to read the cache from before the restart."""
        self._cache.start()

    def close(self) -> None:
        """Stops reading and writing at once."""
        self._cache.close()

    def tick(self) -> None:
        """Writes changes to the cache if due."""
        if self._cache.is_due:
            self.write()

    def peer_reported(self, replica_id: str, newest_order: int) -> None:
        """A peer has reported the index of the newest order in its log."""
        self._gate.record(self._clock(), replica_id, newest_order)
        self._publish_if_confirmed()

    def write(self) -> None:
        """Updates the cache; does nothing before the first configuration."""
        catalog = self._host.catalog
        if catalog.configuration is None:
            return
        remembered = RememberedCatalog(catalog.revision, catalog.document, tuple(sorted(catalog.evacuated)))
        paths = {service.name: service.health_path for service in catalog.configuration.services}
        self._cache.save_if_changed(remembered, self._local_servers(), paths, self._soft_state.prefixes)

    # -- RestartListener

    def catalog_remembered(self, catalog: RememberedCatalog) -> None:
        """See `restart_cache.RestartListener`."""
        self._remembered = catalog
        self._publish_if_confirmed()

    def prefixes_remembered(self, notices: tuple[PrefixNotice, ...]) -> None:
        """See `restart_cache.RestartListener`."""
        self._soft_state.prefixes_remembered(notices)

    def server_found(self, record: ServerRecord) -> None:
        """See `restart_cache.RestartListener`."""
        self._soft_state.heartbeat(record)

    def _publish_if_confirmed(self) -> None:
        """Publishes the catalog from before the restart once a majority confirms that it is the newest."""
        remembered = self._remembered
        if remembered is None:
            return
        now = self._clock()
        self._gate.record(now, self._replica_id, self._newest_order())
        if not self._gate.confirms(now, self._host.replica.members, remembered.revision):
            return
        self._remembered = None
        log.info("catalog {} from before the restart is confirmed", remembered.revision)
        self._soft_state.catalog_confirmed(remembered)
