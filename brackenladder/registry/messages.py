"""Messages between control nodes about servers and gateways."""

from __future__ import annotations

from attrs import frozen

from brackenladder.registry.gateways import HeardGateway
from brackenladder.registry.records import HeardServer, ServerRecord


@frozen
class ServersTold:
    """Server records, and for live servers the latest heartbeat."""

    records: tuple[ServerRecord, ...]
    heard: tuple[HeardServer, ...] = ()


@frozen
class ServersHeard:
    """Heartbeats that left the servers' records unchanged; they show that the servers are alive."""

    heard: tuple[HeardServer, ...]


@frozen
class ServersWanted:
    """Asks the receiver for its records of these servers."""

    ids: tuple[str, ...]


@frozen
class GatewaysTold:
    """Gateways that changed or sent a presence message.

    `settled` is True in the message that ends a full transfer of servers and gateways, if the sender has run
    long enough to know them all.
    """

    gateways: tuple[HeardGateway, ...]
    settled: bool = False
