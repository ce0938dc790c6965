"""The presence messages that a gateway sends to control nodes, and when it sends them."""

from __future__ import annotations

from brackenladder.delivery.messages import Subscribe
from brackenladder.registry.gateways import GatewayState

PRESENCE_INTERVAL = 800_000  # microseconds between two messages if nothing changes


class Presence:
    """Builds the presence messages of one process, with increasing `seq`."""

    def __init__(self, node: str, front_address: str, zone: str, region: str, incarnation: int) -> None:
        """`incarnation`: Unix time at the start of the process, in microseconds."""
        self._node = node
        self._front_address = front_address
        self._zone = zone
        self._region = region
        self._incarnation = incarnation
        self._seq = 0
        self._announced_at: int | None = None
        self.state = GatewayState.STARTING

    def set_state(self, state: GatewayState) -> bool:
        """Change the state; True if it changed, so that a message is due at once."""
        if state is self.state:
            return False
        self.state = state
        self._announced_at = None
        return True

    def due(self, now: int) -> bool:
        """Whether a message to all control nodes is due."""
        return self._announced_at is None or now - self._announced_at >= PRESENCE_INTERVAL

    def announce(self, now: int, have_revision: int) -> Subscribe:
        """Build the periodic message to all control nodes."""
        self._announced_at = now
        return self.message(have_revision)

    def message(self, have_revision: int) -> Subscribe:
        """Build the message to one control node that has just connected."""
        self._seq += 1
        return Subscribe(
            node=self._node,
            incarnation=self._incarnation,
            front_address=self._front_address,
            zone=self._zone,
            region=self._region,
            state=self.state,
            seq=self._seq,
            have_revision=have_revision,
        )
