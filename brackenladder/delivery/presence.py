"""What a gateway says of itself to the control nodes, and when."""

from __future__ import annotations

from brackenladder.delivery.messages import Subscribe
from brackenladder.registry.gateways import GatewayState

PRESENCE_INTERVAL = 800_000  # microseconds between two messages while nothing changes


class Presence:
    """Builds the presence messages of one process; each one has a higher `seq`."""

    def __init__(self, node: str, front_address: str, zone: str, region: str, incarnation: int) -> None:
        """`incarnation` is the time of day at the start of the process, in microseconds."""
        self._node = node
        self._front_address = front_address
        self._zone = zone
        self._region = region
        self._incarnation = incarnation
        self._seq = 0
        self._told_at: int | None = None
        self.state = GatewayState.STARTING

    def set_state(self, state: GatewayState) -> bool:
        """Change the state; True if it is worth telling at once."""
        if state is self.state:
            return False
        self.state = state
        self._told_at = None
        return True

    def due(self, now: int) -> bool:
        """Whether all control nodes have to be told."""
        return self._told_at is None or now - self._told_at >= PRESENCE_INTERVAL

    def announce(self, now: int, have_revision: int) -> Subscribe:
        """The message for all control nodes."""
        self._told_at = now
        return self.message(have_revision)

    def message(self, have_revision: int) -> Subscribe:
        """The message for one control node that was just reached."""
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
