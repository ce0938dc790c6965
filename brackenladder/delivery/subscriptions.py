"""The state that a control node keeps for one subscribed gateway."""

from __future__ import annotations

from attrs import define, field

from brackenladder.delivery.messages import Ack, UpdateKind

NOTHING = -1  # no update; lower than the number of any update
# Microseconds after which a control node sends a document that the gateway's nearest control node has not
# delivered. It exceeds a round trip between regions plus two timer ticks of a control node; otherwise both
# nodes would send the document. It is a tenth of the default of the setting `ConfigMs`.
STANDBY_TIME = 300_000


@define
class Channel:
    """Tracks one kind of update for one gateway: the one in flight, if any, and the last acknowledged."""

    have: int = NOTHING  # number of the last update that the subscriber applied
    in_flight: int | None = None  # number of the update that was sent and not acknowledged yet

    def due(self, newest: int) -> bool:
        """Whether an update with the number `newest` can and should be sent."""
        return self.in_flight is None and self.have < newest

    def acknowledged(self, ack: Ack) -> bool:
        """Handle an ack; False if it is not for the update in flight."""
        if ack.number != self.in_flight:
            return False
        self.in_flight = None
        self.have = ack.number if ack.taken else NOTHING
        return True


@define
class Subscription:
    """Which updates a gateway (subscriber) has received and which are in flight to it."""

    have_revision: int  # revision of the subscriber's catalog, received from any control node
    nearest: bool = False  # this control node is the gateway's nearest one
    document_deferred_since: int | None = None  # when a document was first left to the nearest control node
    fresh: bool = False  # whether this control node's data was fresh, as last reported to the subscriber
    channels: dict[UpdateKind, Channel] = field(factory=lambda: {kind: Channel() for kind in UpdateKind})

    def acknowledged(self, ack: Ack) -> bool:
        """Handle an ack, also of a catalog from another node; return whether a further update may be due."""
        if ack.kind is UpdateKind.CATALOG and ack.taken:
            self.have_revision = max(self.have_revision, ack.number)
        if not self.channels[ack.kind].acknowledged(ack):
            return False
        if ack.kind is UpdateKind.CATALOG and not ack.taken:
            self.have_revision = 0
        return True

    def defers_document(self, now: int) -> bool:
        """Whether a changed document is still left to the gateway's nearest control node to send."""
        if self.nearest or self.have_revision == 0:
            return False
        if self.document_deferred_since is None:
            self.document_deferred_since = now
        return now - self.document_deferred_since < STANDBY_TIME

    @property
    def settled(self) -> bool:
        """Whether no update of catalog or servers is in flight."""
        kinds = (UpdateKind.CATALOG, UpdateKind.SERVERS)
        return all(self.channels[kind].in_flight is None for kind in kinds)
