"""A control node's end: hands gateways' notices on to the gateways it serves and to the other control nodes.

Each gateway has one control node as its relay. Notices of a gateway go to the others of the same relay and
to the control nodes, which hand them to theirs; so every gateway gets each notice once. What a receiver is
sent is bounded: while much is told, the heaviest notices go first and the others are dropped.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum, auto

from attrs import define, evolve, field, frozen

from brackenladder.prefix_cache.messages import PrefixNotice, PrefixNotices, heaviest
from brackenladder.prefix_cache.recent import RecentPrefixes

INTERVAL = 50_000  # microseconds between two messages to gateways
PEER_INTERVAL = 100_000  # microseconds between two messages to control nodes
MOST_TAKEN = 32  # notices of one message that are looked at
# What a node is told at the most, 160 and 80 notices a second: 7 KB a second and 0.4% of a core at a gateway.
MOST_NOTICES = 8  # of one message to a gateway
MOST_PEER_NOTICES = 8  # of one message to a control node
MOST_PENDING = 256  # notices that wait for their interval
MOST_SNAPSHOT = 256  # notices for a gateway that has just come


class Receiver(Enum):
    """Who a message is for."""

    GATEWAY = auto()  # by the subscriber's name
    PEERS = auto()  # all connected control nodes


@frozen
class RelayedNotices:
    """A message of the relay."""

    receiver: Receiver
    name: str  # empty: all peers
    message: PrefixNotices


@frozen
class _Pending:
    notice: PrefixNotice
    origin: str  # the subscriber that told it; empty: a peer did
    at: int


@define(eq=False)
class _Queue:
    """Notices that wait until the interval is over."""

    interval: int
    sent_at: int
    pending: list[_Pending] = field(factory=list)

    def add(self, pending: _Pending) -> None:
        self.pending.append(pending)
        if len(self.pending) > MOST_PENDING:
            del self.pending[: MOST_PENDING // 2]

    def take(self, now: int) -> list[_Pending]:
        """All that waits, if it is time; empty otherwise."""
        if not self.pending or now - self.sent_at < self.interval:
            return []
        self.sent_at = now
        taken, self.pending = self.pending, []
        return taken


class PrefixRelay:
    """Decides who is told which notices. `take` is due after every notice and a few times a second."""

    def __init__(self, now: int) -> None:
        self._recent = RecentPrefixes()
        self._gateways: set[str] = set()
        self._new: dict[str, None] = {}  # gateways that wait for what was told before they came
        self._to_gateways = _Queue(INTERVAL, now - INTERVAL)
        self._to_peers = _Queue(PEER_INTERVAL, now - PEER_INTERVAL)

    def restore(self, now: int, notices: Iterable[PrefixNotice]) -> None:
        """What was told before this node's restart; servers keep prefixes over it."""
        for notice in notices:
            self._recent.add(now, notice)

    def heaviest(self, now: int) -> tuple[PrefixNotice, ...]:
        """The prefixes that traffic leans on most, each with its age."""
        return self._recent.snapshot(now, MOST_SNAPSHOT)

    def set_subscribed(self, subscriber: str, wanted: bool) -> None:
        """A gateway says whether this node is its relay."""
        if not wanted:
            self.unsubscribe(subscriber)
        elif subscriber not in self._gateways:
            self._gateways.add(subscriber)
            self._new[subscriber] = None

    def unsubscribe(self, subscriber: str) -> None:
        """A gateway's link has gone."""
        self._gateways.discard(subscriber)
        self._new.pop(subscriber, None)

    def from_gateway(self, now: int, subscriber: str, message: PrefixNotices) -> None:
        """A gateway tells of its placements."""
        for notice in message.notices[:MOST_TAKEN]:
            self._recent.add(now, notice)
            pending = _Pending(notice, subscriber, now - max(0, notice.age))
            self._to_gateways.add(pending)
            self._to_peers.add(pending)

    def from_peer(self, now: int, message: PrefixNotices) -> None:
        """A control node hands on what its gateways have told."""
        for notice in message.notices[:MOST_TAKEN]:
            self._recent.add(now, notice)
            self._to_gateways.add(_Pending(notice, "", now - max(0, notice.age)))

    def take(self, now: int) -> tuple[RelayedNotices, ...]:
        """Return what is due."""
        due = [*self._snapshots(now), *self._relayed(now)]
        to_peers = self._to_peers.take(now)
        if to_peers:
            message = _message(now, to_peers, MOST_PEER_NOTICES)
            due.append(RelayedNotices(Receiver.PEERS, "", message))
        return tuple(due)

    def _snapshots(self, now: int) -> Iterable[RelayedNotices]:
        if not self._new:
            return
        new, self._new = self._new, {}
        notices = self.heaviest(now)  # an empty one says that nothing is known
        for subscriber in new:
            yield RelayedNotices(Receiver.GATEWAY, subscriber, PrefixNotices(notices))

    def _relayed(self, now: int) -> Iterable[RelayedNotices]:
        pending = self._to_gateways.take(now)
        if not pending:
            return
        whole = _message(now, pending, MOST_NOTICES)
        origins = {each.origin for each in pending}
        for subscriber in self._gateways:
            message = whole
            if subscriber in origins:
                others = [each for each in pending if each.origin != subscriber]
                message = _message(now, others, MOST_NOTICES)
            if message.notices:
                yield RelayedNotices(Receiver.GATEWAY, subscriber, message)


def _message(now: int, pending: list[_Pending], most: int) -> PrefixNotices:
    notices = [evolve(each.notice, age=now - each.at) for each in pending]
    return PrefixNotices(tuple(heaviest(notices, most)))
