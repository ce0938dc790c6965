"""What control nodes tell one another of servers and gateways."""

from __future__ import annotations

from attrs import frozen

from brackenladder.registry.gateways import HeardGateway
from brackenladder.registry.records import HeardServer, ServerRecord


@frozen
class ServersTold:
    """Servers, and for those alive how long ago they were heard."""

    records: tuple[ServerRecord, ...]
    heard: tuple[HeardServer, ...] = ()


@frozen
class ServersHeard:
    """Heartbeats that changed nothing."""

    heard: tuple[HeardServer, ...]


@frozen
class ServersWanted:
    """The sender lacks news of these servers, which the receiver may have."""

    ids: tuple[str, ...]


@frozen
class GatewaysTold:
    """Gateways that changed or were heard.

    It is `settled` at the end of all that the sender knows, of servers too, if the sender has run for long
    enough to know them all.
    """

    gateways: tuple[HeardGateway, ...]
    settled: bool = False
