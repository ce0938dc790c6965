"""What one control node knows, without links."""

from __future__ import annotations

from brackenladder.registry.exchange import PeerExchange
from brackenladder.registry.gateways import GatewayRegistry
from brackenladder.registry.registry import ServerRegistry
from capacity.target import HEARTBEAT_SECONDS
from capacity.timing import MICROSECONDS

BEAT = int(HEARTBEAT_SECONDS * MICROSECONDS)


class Knowing:
    """What a control node knows, and its exchange with peers."""

    def __init__(self) -> None:
        self.servers = ServerRegistry(4 * BEAT)
        self.gateways = GatewayRegistry()
        self.exchange = PeerExchange(self.servers, self.gateways, 0)
