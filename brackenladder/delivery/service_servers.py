"""The live servers of a view by service, with a change log for readers that process changes only."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from types import MappingProxyType

from attrs import define, field

from brackenladder.registry.records import ServerRecord

MAX_CHANGES = 1_024  # changes kept per service; a reader that is further behind has to read all servers

NO_SERVERS: Mapping[str, ServerRecord] = MappingProxyType({})


@define(eq=False)
class _ServiceIndex:
    records: dict[str, ServerRecord] = field(factory=dict)
    changes: deque[str] = field(factory=deque)  # ids of changed servers, newest last
    version: int = 0  # number of changes so far

    def note(self, server_id: str) -> None:
        self.version += 1
        self.changes.append(server_id)
        if len(self.changes) > MAX_CHANGES:
            self.changes.popleft()


class ServiceServers:
    """An index of server records by service, maintained by its owner."""

    def __init__(self) -> None:
        self._services: dict[str, _ServiceIndex] = {}
        self._service_of: dict[str, str] = {}

    def set(self, record: ServerRecord) -> None:
        """Add or replace the record of a server."""
        before = self._service_of.get(record.id)
        if before is not None and before != record.service:
            self.remove(record.id)
        self._service_of[record.id] = record.service
        service = self._services.setdefault(record.service, _ServiceIndex())
        service.records[record.id] = record
        service.note(record.id)

    def remove(self, server_id: str) -> None:
        """Remove a server; an unknown id is ignored."""
        name = self._service_of.pop(server_id, None)
        if name is None:
            return
        service = self._services[name]
        del service.records[server_id]
        service.note(server_id)

    def of(self, service: str) -> Mapping[str, ServerRecord]:
        """Return the servers of a service by id."""
        known = self._services.get(service)
        return known.records if known is not None else NO_SERVERS

    def version(self, service: str) -> int:
        """The number of changes to the service's servers so far."""
        known = self._services.get(service)
        return known.version if known is not None else 0

    def changed_since(self, service: str, version: int) -> tuple[str, ...] | None:
        """Return the ids that changed after `version`, each once; None if the change log is too short."""
        known = self._services.get(service)
        lag = known.version - version if known is not None else 0
        if known is None or lag == 0:
            return ()
        if not 0 < lag <= len(known.changes):
            return None
        return tuple(dict.fromkeys(known.changes[index] for index in range(-lag, 0)))
