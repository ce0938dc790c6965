"""Handles servers' heartbeats and deregistrations, and decides when to acknowledge them."""

from __future__ import annotations

from brackenladder.control_plane.orders import OrderService
from brackenladder.control_plane.soft_state import SoftState
from brackenladder.registry.records import ServerRecord, ServerState


class ServerCalls:
    """The `operator_api.ServerEvents` of a control node.

    A drain or deregistration is forwarded to the other nodes, and acknowledged only after a quorum round that
    began after that.

    Otherwise a node that has just been disconnected acknowledges a drain that no other node learns of, and
    gateways go on sending requests to the server until its last heartbeat expires.
    """

    def __init__(self, soft_state: SoftState, orders: OrderService) -> None:
        self._soft_state = soft_state
        self._orders = orders

    async def heartbeat(self, record: ServerRecord) -> bool:
        """Handles a heartbeat; returns whether to acknowledge it."""
        in_touch = self._soft_state.heartbeat(record)
        if record.state is ServerState.READY:
            return in_touch
        return await self._orders.reaches_quorum()

    async def deregister(self, server_id: str) -> bool:
        """Removes a server; returns whether to acknowledge it."""
        self._soft_state.deregister(server_id)
        return await self._orders.reaches_quorum()
