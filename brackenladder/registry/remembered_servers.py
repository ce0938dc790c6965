"""The server list that a control node keeps on disk across a restart.

A remembered server is not used until it has answered a health check with its own id: the list only saves
waiting for the next heartbeat. The answer overrides the remembered data.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from itertools import islice

from attrs import evolve, frozen

from brackenladder.registry.records import ServerRecord, ServerState

MAX_SERVERS = 1_024  # servers in the list on disk


@frozen
class RememberedServer:
    """A server that was ready, and the path of its health check."""

    record: ServerRecord
    health_path: str


@frozen
class HealthAnswer:
    """A server's answer to a health check."""

    server_id: str  # empty: the answer named no server
    cold_for: int = 0  # microseconds for which the server remains cold


def verify(server: RememberedServer, answer: HealthAnswer) -> ServerRecord | None:
    """Return the record of a server that answered as itself and is warm; None: wait for its heartbeat.

    A cold server is left out because, after a restart, gateways do not know yet how many they are and so
    cannot divide the server's load limit among them; together they would overload it.
    """
    if answer.server_id != server.record.id or answer.cold_for > 0:
        return None
    return evolve(server.record, cold_for=0)


class ServerListTracker:
    """Selects the servers to remember, and tracks which are in the list that was written last."""

    def __init__(self) -> None:
        # Ids and addresses in the list that was written last.
        self._written: frozenset[tuple[str, str]] = frozenset()

    def select(
        self, servers: Iterable[ServerRecord], health_paths: Mapping[str, str]
    ) -> tuple[RememberedServer, ...]:
        """Return the servers to remember: ready ones that have not announced their end.

        `health_paths`: path of the health check by service; servers of other services are left out.
        """
        return tuple(
            RememberedServer(record, health_paths[record.service])
            for record in islice(servers, MAX_SERVERS)
            if record.state is ServerState.READY and record.remaining < 0 and record.service in health_paths
        )

    def changed(self, servers: Iterable[RememberedServer]) -> bool:
        """Whether these servers differ from the list that was written last."""
        return _identities(servers) != self._written

    def mark_written(self, servers: Iterable[RememberedServer]) -> None:
        """Note that a list of these servers is being written."""
        self._written = _identities(servers)


def _identities(servers: Iterable[RememberedServer]) -> frozenset[tuple[str, str]]:
    return frozenset((server.record.id, server.record.address) for server in servers)
