"""What a control node remembers of one subscribed gateway."""

from __future__ import annotations

from attrs import define, field

from brackenladder.delivery.messages import Ack, UpdateKind

NOTHING = -1  # below the number of every update
# Microseconds after which a control node tells a document that the gateway's nearest one has not brought: a
# way between regions and back, and two rounds of a control node's clock, with room; a tenth of `ConfigMs`.
STANDBY_TIME = 300_000


@define
class Channel:
    """One kind of update of one subscriber: at most one is in flight."""

    have: int = NOTHING
    in_flight: int | None = None

    def due(self, newest: int) -> bool:
        """Whether an update with the number `newest` can and should be sent."""
        return self.in_flight is None and self.have < newest

    def acknowledged(self, ack: Ack) -> bool:
        """Take an ack; False if it is not for what is in flight."""
        if ack.number != self.in_flight:
            return False
        self.in_flight = None
        self.have = ack.number if ack.taken else NOTHING
        return True


@define
class Subscription:
    """What one subscriber has."""

    have_revision: int  # of the catalog, from any control node
    nearest: bool = False  # the gateway has no control node nearer than this one
    document_held_since: int | None = None  # a document that its nearest control node is to bring
    fresh: bool = False  # this control node's freshness, as it was last told
    channels: dict[UpdateKind, Channel] = field(factory=lambda: {kind: Channel() for kind in UpdateKind})

    def acknowledged(self, ack: Ack) -> bool:
        """Take an ack; whether a further update may be due. A catalog may have come from another node."""
        if ack.kind is UpdateKind.CATALOG and ack.taken:
            self.have_revision = max(self.have_revision, ack.number)
        if not self.channels[ack.kind].acknowledged(ack):
            return False
        if ack.kind is UpdateKind.CATALOG and not ack.taken:
            self.have_revision = 0
        return True

    def holds_document(self, now: int) -> bool:
        """Whether a changed document is left to the gateway's nearest control node for a moment more."""
        if self.nearest or self.have_revision == 0:
            return False
        if self.document_held_since is None:
            self.document_held_since = now
        return now - self.document_held_since < STANDBY_TIME

    @property
    def settled(self) -> bool:
        """Whether it took all that it was sent of catalog and servers."""
        kinds = (UpdateKind.CATALOG, UpdateKind.SERVERS)
        return all(self.channels[kind].in_flight is None for kind in kinds)
