"""A gateway's view of the system: the configuration, the servers and the number of gateways."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from enum import Flag, auto
from types import MappingProxyType
from typing import TYPE_CHECKING

from brackenladder.delivery.service_servers import ServiceServers
from brackenladder.registry.records import ServerRecord, ServerState
from brackenladder.registry.registry import ServerRegistry

if TYPE_CHECKING:
    from brackenladder.catalog.configuration import Configuration


class ViewChange(Flag):
    """Which parts of what a gateway knows (its view) have changed."""

    CATALOG = auto()
    SERVERS = auto()
    GATEWAYS = auto()


class SystemView:
    """What one gateway knows from all control nodes: configuration, servers, gateway count.

    Readers use the attributes and `subscribe`. The subscriber and tests write with `set_catalog`,
    `merge_servers`, `remove_servers` and `set_gateways`, each of which notifies the listeners.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.configuration: Configuration | None = None
        self.evacuated: frozenset[str] = frozenset()
        self.gateways = 1  # the highest number of live gateways in the last 20 s
        self.gateways_known = False  # a control node that knew of all gateways has reported the number
        self._servers: dict[str, ServerRecord] = {}
        # The servers that are READY or DRAINING, by id.
        self.servers: Mapping[str, ServerRecord] = MappingProxyType(self._servers)
        self.by_service = ServiceServers()  # the same servers, for readers that process changes only
        self._registry = ServerRegistry()
        self._listeners: list[Callable[[ViewChange], None]] = []

    def cold_until(self, server_id: str) -> int:
        """When a server turns warm, on this host's clock in microseconds (may be past); 0: never cold."""
        return self._registry.cold_until(server_id)

    def ends_at(self, server_id: str) -> int:
        """The announced end of a server, on this host's clock in microseconds; 0: none was announced."""
        return self._registry.ends_at(server_id)

    def announced_its_end(self, server_id: str) -> bool:
        """Whether a server drains or has deregistered."""
        known = self._servers.get(server_id)
        if known is not None:
            return known.state is ServerState.DRAINING
        return self._registry.has_deregistered(server_id)

    def subscribe(self, on_change: Callable[[ViewChange], None]) -> Callable[[], None]:
        """Call `on_change` after each change; the returned function unsubscribes it."""
        self._listeners.append(on_change)

        def unsubscribe() -> None:
            if on_change in self._listeners:
                self._listeners.remove(on_change)

        return unsubscribe

    def set_catalog(
        self, revision: int, configuration: Configuration | None, evacuated: frozenset[str]
    ) -> bool:
        """Set the catalog (the configuration); return False, without a change, if `revision` is not newer."""
        if revision <= self.revision:
            return False
        self.revision = revision
        self.configuration = configuration
        self.evacuated = evacuated
        self._notify(ViewChange.CATALOG)
        return True

    def merge_servers(self, now: int, records: Iterable[ServerRecord]) -> tuple[ServerRecord, ...]:
        """Merge server records of a control node; return the records that changed."""
        changed = self._registry.merge(now, records)
        self._apply_changes(changed)
        return changed

    def remove_servers(self, server_ids: Iterable[str]) -> None:
        """Remove servers that no control node lists any more."""
        removed = [server_id for server_id in server_ids if self._registry.remove(server_id)]
        for server_id in removed:
            self._servers.pop(server_id, None)
            self.by_service.remove(server_id)
        if removed:
            self._notify(ViewChange.SERVERS)

    def expire(self, now: int) -> None:
        """Remove servers whose announced end has passed, and old tombstones."""
        self._apply_changes(self._registry.expire(now, in_touch=False))

    def set_gateways(self, number: int, known: bool = True) -> None:
        """Set the number of live gateways; `known` stays True once it was."""
        known = known or self.gateways_known
        if (number, known) == (self.gateways, self.gateways_known):
            return
        self.gateways = number
        self.gateways_known = known
        self._notify(ViewChange.GATEWAYS)

    def _apply_changes(self, changed: tuple[ServerRecord, ...]) -> None:
        for record in changed:
            if record.state is ServerState.GONE:
                self._servers.pop(record.id, None)
                self.by_service.remove(record.id)
            else:
                self._servers[record.id] = record
                self.by_service.set(record)
        if changed:
            self._notify(ViewChange.SERVERS)

    def _notify(self, change: ViewChange) -> None:
        for listener in tuple(self._listeners):
            listener(change)
