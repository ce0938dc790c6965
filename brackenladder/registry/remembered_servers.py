"""Servers that a control node remembers over its restart, as a list of whom to ask.

A remembered server counts for nothing until it has answered a health check with its own id: the list only
saves the wait for its next heartbeat. What the check says replaces what was remembered.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from itertools import islice

from attrs import evolve, frozen

from brackenladder.registry.records import ServerRecord, ServerState

MOST_SERVERS = 1_024  # that are remembered


@frozen
class RememberedServer:
    """A server that was ready, and where its health is asked for."""

    record: ServerRecord
    health_path: str


@frozen
class HealthAnswer:
    """What a server has answered to a health check."""

    server_id: str  # empty: it did not say who it is
    cold_for: int = 0  # microseconds that it stays cold


def verify(server: RememberedServer, answer: HealthAnswer) -> ServerRecord | None:
    """The record of a server that is there and warm; None if its heartbeat has to be waited for.

    Failure prevented: a cold server is named to gateways that do not know yet how many they are, and the sum
    of what they send it is too much.
    """
    if answer.server_id != server.record.id or answer.cold_for > 0:
        return None
    return evolve(server.record, cold_for=0)


class ServerListTracker:
    """Decides which servers are worth remembering, and knows which are in the list written last."""

    def __init__(self) -> None:
        self._written: frozenset[tuple[str, str]] = frozenset()  # ids and addresses

    def select(
        self, servers: Iterable[ServerRecord], health_paths: Mapping[str, str]
    ) -> tuple[RememberedServer, ...]:
        """Those to remember; cold ones, and those that drain or end soon, are left out.

        `health_paths` gives the path by service.
        """
        return tuple(
            RememberedServer(record, health_paths[record.service])
            for record in islice(servers, MOST_SERVERS)
            if record.state is ServerState.READY and record.remaining < 0 and record.service in health_paths
        )

    def changed(self, servers: Iterable[RememberedServer]) -> bool:
        """Whether the list written last has others."""
        return _names(servers) != self._written

    def mark_written(self, servers: Iterable[RememberedServer]) -> None:
        """The list is being written."""
        self._written = _names(servers)


def _names(servers: Iterable[RememberedServer]) -> frozenset[tuple[str, str]]:
    return frozenset((server.record.id, server.record.address) for server in servers)
