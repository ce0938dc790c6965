"""What servers say about themselves: taken, told on, and acknowledged once that may be relied on."""

from __future__ import annotations

from brackenladder.control_plane.orders import OrderService
from brackenladder.control_plane.soft_state import SoftState
from brackenladder.registry.records import ServerRecord, ServerState


class ServerCalls:
    """The `operator_api.ServerEvents` of a control node.

    That a server leaves is acknowledged only after a round of a quorum that began when it had been told on.

    Failure prevented: a node that has just been cut off acknowledges a drain of which nobody hears, and
    gateways send requests to the server for as long as its last heartbeats count.
    """

    def __init__(self, soft_state: SoftState, orders: OrderService) -> None:
        self._soft_state = soft_state
        self._orders = orders

    async def heartbeat(self, record: ServerRecord) -> bool:
        """Take a server's word; whether it is acknowledged."""
        in_touch = self._soft_state.heartbeat(record)
        if record.state is ServerState.READY:
            return in_touch
        return await self._orders.reaches_quorum()

    async def deregister(self, server_id: str) -> bool:
        """Take a server's end; whether it is acknowledged."""
        self._soft_state.deregister(server_id)
        return await self._orders.reaches_quorum()
