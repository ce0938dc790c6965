"""Relays the notices of gateways, at a control node, to its own gateways and to the other control nodes.

Each gateway has one control node as its relay. Notices of a gateway go to the other gateways of the same
relay and to the other control nodes, which forward them to their gateways, so that every gateway gets each
notice once. The rate per receiver is limited: of too many notices, those of lowest weight are dropped.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum, auto

from attrs import define, evolve, field, frozen

from brackenladder.prefix_cache.messages import PrefixNotice, PrefixNotices, heaviest
from brackenladder.prefix_cache.recent import RecentPrefixes

INTERVAL = 50_000  # least microseconds between two messages to gateways
PEER_INTERVAL = 100_000  # least microseconds between two messages to control nodes
MAX_ACCEPTED = 32  # maximum number of notices processed from one received message
# With these limits a gateway gets up to 160 notices a second, which take 7 KB and 0.4% of a core, and a
# control node 80.
MAX_NOTICES = 8  # maximum number of notices in one message to a gateway
MAX_PEER_NOTICES = 8  # maximum number of notices in one message to a control node
MAX_PENDING = 256  # most notices that wait for the next message; beyond it, the oldest 128 are dropped
MAX_SNAPSHOT = 256  # most notices for a gateway that has just subscribed


class Receiver(Enum):
    """The kind of receiver of a message."""

    GATEWAY = auto()  # one gateway, given by its name
    PEERS = auto()  # all connected control nodes


@frozen
class RelayedNotices:
    """A message of notices, and to whom it is to be sent."""

    receiver: Receiver
    name: str  # name of the gateway; empty if the receiver is PEERS
    message: PrefixNotices


@frozen
class _Pending:
    notice: PrefixNotice
    origin: str  # the gateway that sent it; empty: another control node
    at: int


@define(eq=False)
class _Queue:
    """Notices that wait until `interval` microseconds after the last message."""

    interval: int
    sent_at: int
    pending: list[_Pending] = field(factory=list)

    def add(self, pending: _Pending) -> None:
        self.pending.append(pending)
        if len(self.pending) > MAX_PENDING:
            del self.pending[: MAX_PENDING // 2]

    def take(self, now: int) -> list[_Pending]:
        """Removes and returns all notices if the interval is over, else none."""
        if not self.pending or now - self.sent_at < self.interval:
            return []
        self.sent_at = now
        taken, self.pending = self.pending, []
        return taken


class PrefixRelay:
    """Selects which notices go to which nodes. The host calls `take` after each notice and periodically."""

    def __init__(self, now: int) -> None:
        self._recent = RecentPrefixes()
        self._gateways: set[str] = set()
        self._awaiting_snapshot: dict[str, None] = {}  # new gateways that still need a snapshot
        self._to_gateways = _Queue(INTERVAL, now - INTERVAL)
        self._to_peers = _Queue(PEER_INTERVAL, now - PEER_INTERVAL)

    def restore(self, now: int, notices: Iterable[PrefixNotice]) -> None:
        """Restores notices from before a restart of this node, as servers still have the prefixes cached."""
        for notice in notices:
            self._recent.add(now, notice)

    def heaviest(self, now: int) -> tuple[PrefixNotice, ...]:
        """Notices for the prefixes of highest weight, with their ages."""
        return self._recent.snapshot(now, MAX_SNAPSHOT)

    def set_subscribed(self, subscriber: str, wanted: bool) -> None:
        """Subscribes or unsubscribes a gateway. `wanted`: the gateway has chosen this node as its relay."""
        if not wanted:
            self.unsubscribe(subscriber)
        elif subscriber not in self._gateways:
            self._gateways.add(subscriber)
            self._awaiting_snapshot[subscriber] = None

    def unsubscribe(self, subscriber: str) -> None:
        """Removes a gateway, for example because its connection is lost."""
        self._gateways.discard(subscriber)
        self._awaiting_snapshot.pop(subscriber, None)

    def from_gateway(self, now: int, subscriber: str, message: PrefixNotices) -> None:
        """Takes in the notices of a gateway."""
        for notice in message.notices[:MAX_ACCEPTED]:
            self._recent.add(now, notice)
            pending = _Pending(notice, subscriber, now - max(0, notice.age))
            self._to_gateways.add(pending)
            self._to_peers.add(pending)

    def from_peer(self, now: int, message: PrefixNotices) -> None:
        """Takes in notices that another control node forwards from its gateways."""
        for notice in message.notices[:MAX_ACCEPTED]:
            self._recent.add(now, notice)
            self._to_gateways.add(_Pending(notice, "", now - max(0, notice.age)))

    def take(self, now: int) -> tuple[RelayedNotices, ...]:
        """Removes and returns the messages that are due."""
        due = [*self._snapshots(now), *self._relayed(now)]
        to_peers = self._to_peers.take(now)
        if to_peers:
            message = _message(now, to_peers, MAX_PEER_NOTICES)
            due.append(RelayedNotices(Receiver.PEERS, "", message))
        return tuple(due)

    def _snapshots(self, now: int) -> Iterable[RelayedNotices]:
        if not self._awaiting_snapshot:
            return
        subscribers, self._awaiting_snapshot = self._awaiting_snapshot, {}
        notices = self.heaviest(now)  # sent even if there are none, so that the gateway gets its snapshot
        for subscriber in subscribers:
            yield RelayedNotices(Receiver.GATEWAY, subscriber, PrefixNotices(notices))

    def _relayed(self, now: int) -> Iterable[RelayedNotices]:
        pending = self._to_gateways.take(now)
        if not pending:
            return
        whole = _message(now, pending, MAX_NOTICES)
        origins = {entry.origin for entry in pending}
        for subscriber in self._gateways:
            message = whole
            if subscriber in origins:
                others = [entry for entry in pending if entry.origin != subscriber]
                message = _message(now, others, MAX_NOTICES)
            if message.notices:
                yield RelayedNotices(Receiver.GATEWAY, subscriber, message)


def _message(now: int, pending: list[_Pending], most: int) -> PrefixNotices:
    notices = [evolve(entry.notice, age=now - entry.at) for entry in pending]
    return PrefixNotices(tuple(heaviest(notices, most)))
