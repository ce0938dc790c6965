"""The control node's side of delivery: tracks what each gateway has, and builds its next updates.

Of each kind of update one is in flight per subscriber; changes made meanwhile are sent as one update after
the ack. Subscribers that need the same update share one message object.
"""

from __future__ import annotations

from collections.abc import Iterator

from attrs import define, evolve, field, frozen

from brackenladder.delivery.documents import PackedDocument, pack
from brackenladder.delivery.messages import (
    FRESH_AGE,
    Ack,
    CatalogUpdate,
    ControlNodes,
    Freshness,
    GatewayCount,
    ServersUpdate,
    Subscribe,
    UpdateKind,
)
from brackenladder.delivery.subscriptions import NOTHING, Subscription
from brackenladder.registry.records import ServerRecord
from brackenladder.registry.registry import ServerRegistry

MAX_RECORDS = 1000  # server records in one message


@frozen
class SubscriberMessage:
    """A message to be sent to one subscriber."""

    subscriber: str
    message: object


@define
class _Round:
    """The state of one call of `take_messages`, with the updates built so far for reuse."""

    now: int
    leader_contact_age: int
    may_send_catalog: bool
    # Server updates by the version that the subscriber has acknowledged.
    server_updates: dict[int, tuple[ServersUpdate, ...]] = field(factory=dict)
    # Catalog updates by whether the document is omitted from them.
    catalog_updates: dict[bool, CatalogUpdate] = field(factory=dict)

    @property
    def fresh(self) -> bool:
        return self.leader_contact_age <= FRESH_AGE


class Publisher:
    """Decides which messages each subscriber gets. Callers give each link its own subscriber name."""

    def __init__(self, servers: ServerRegistry) -> None:
        self._servers = servers
        self._servers_version = 0
        self._subscriptions: dict[str, Subscription] = {}
        self._dirty: dict[str, None] = {}  # subscribers for which messages may be due
        self._catalog = CatalogUpdate(revision=0, document_revision=0)
        self._document = PackedDocument()
        self._control_nodes = ControlNodes(revision=NOTHING, addresses=())
        self._gateways = GatewayCount(sequence=0, number=0, settled=False)
        self._fresh = False
        self._may_send_catalog = False

    def subscribed(self, subscriber: str, message: Subscribe) -> None:
        """Handle a presence message; the first one of a subscriber opens its subscription."""
        subscription = self._subscriptions.get(subscriber)
        if subscription is None:
            self._subscriptions[subscriber] = Subscription(message.have_revision)
            self._dirty[subscriber] = None
        else:
            subscription.have_revision = max(subscription.have_revision, message.have_revision)
            if message.relay and not subscription.nearest:
                self._dirty[subscriber] = None
        self._subscriptions[subscriber].nearest = message.relay

    def acknowledged(self, subscriber: str, ack: Ack) -> None:
        """Handle an ack; changes made since the update was sent are then due."""
        subscription = self._subscriptions.get(subscriber)
        if subscription is not None and subscription.acknowledged(ack):
            self._dirty[subscriber] = None

    def revision_of(self, subscriber: str) -> int:
        """The revision of the catalog that a subscriber has, by its messages and acks; 0: none."""
        subscription = self._subscriptions.get(subscriber)
        return 0 if subscription is None else subscription.have_revision

    def disconnected(self, subscriber: str) -> None:
        """Handle a link that is down or refused a message: the subscriber has to subscribe again."""
        self._subscriptions.pop(subscriber, None)
        self._dirty.pop(subscriber, None)

    def set_catalog(self, revision: int, document: bytes, evacuated: frozenset[str]) -> None:
        """Set the catalog; an older revision is ignored."""
        if revision <= self._catalog.revision:
            return
        packed = pack(document)
        document_changed = packed != self._document
        self._document = packed
        self._catalog = CatalogUpdate(
            revision=revision,
            document_revision=revision if document_changed else self._catalog.document_revision,
            evacuated=tuple(sorted(evacuated)),
        )
        self._mark_all()

    def set_control_nodes(
        self, revision: int, addresses: tuple[str, ...], zones: tuple[str, ...] = ()
    ) -> None:
        """Set the addresses of the control nodes as of a log index; unchanged or older ones are ignored."""
        if revision <= self._control_nodes.revision or addresses == self._control_nodes.addresses:
            return
        self._control_nodes = ControlNodes(revision, addresses, zones)
        self._mark_all()

    def set_gateways(self, number: int, settled: bool = True) -> None:
        """Set the number of live gateways; `settled` False: this node may not know all gateways yet."""
        if (number, settled) == (self._gateways.number, self._gateways.settled):
            return
        self._gateways = GatewayCount(self._gateways.sequence + 1, number, settled)
        self._mark_all()

    def take_messages(
        self, now: int, leader_contact_age: int, may_send_catalog: bool = True
    ) -> tuple[SubscriberMessage, ...]:
        """Return the messages that are due. Call it after every change and ack, and several times a second.

        `leader_contact_age` is sent along: a starting gateway relies on control nodes whose leader contact is
        at most `FRESH_AGE` old. Callers pass `UNKNOWN_AGE` while this node knows that it lacks log entries or
        servers. They pass `may_send_catalog=False` while the catalog may have been replaced without this
        node's knowledge: no catalog is sent then.
        """
        this_round = _Round(now, leader_contact_age, may_send_catalog)
        self._mark_if_changed(this_round)
        due = tuple(
            SubscriberMessage(subscriber, message)
            for subscriber in self._dirty
            for message in self._messages(this_round, self._subscriptions[subscriber])
        )
        deferred = [
            name for name in self._dirty if self._subscriptions[name].document_deferred_since is not None
        ]
        self._dirty = dict.fromkeys(deferred)
        return due

    def _mark_if_changed(self, this_round: _Round) -> None:
        state = (this_round.fresh, this_round.may_send_catalog, self._servers.version)
        if state != (self._fresh, self._may_send_catalog, self._servers_version):
            self._mark_all()
        self._fresh = this_round.fresh
        self._may_send_catalog = this_round.may_send_catalog
        self._servers_version = self._servers.version

    def _mark_all(self) -> None:
        self._dirty.update(dict.fromkeys(self._subscriptions))

    def _messages(self, this_round: _Round, subscription: Subscription) -> Iterator[object]:
        catalog = tuple(self._catalog_messages(this_round, subscription))
        servers = self._server_messages(this_round, subscription)
        yield from catalog
        yield from servers
        yield from self._control_node_messages(subscription)
        yield from self._gateway_messages(subscription)
        if catalog and servers:
            subscription.fresh = this_round.fresh
        elif subscription.settled and subscription.fresh != this_round.fresh:
            subscription.fresh = this_round.fresh
            yield Freshness(this_round.leader_contact_age)

    def _catalog_messages(self, this_round: _Round, subscription: Subscription) -> Iterator[CatalogUpdate]:
        channel = subscription.channels[UpdateKind.CATALOG]
        if not this_round.may_send_catalog or not channel.due(self._catalog.revision):
            return
        has_document = subscription.have_revision >= self._catalog.document_revision
        if not has_document and subscription.defers_document(this_round.now):
            return
        subscription.document_deferred_since = None
        channel.in_flight = self._catalog.revision
        if has_document not in this_round.catalog_updates:
            this_round.catalog_updates[has_document] = self._build_catalog_update(this_round, has_document)
        yield this_round.catalog_updates[has_document]

    def _build_catalog_update(self, this_round: _Round, has_document: bool) -> CatalogUpdate:
        return evolve(
            self._catalog,
            document=b"" if has_document else self._document.data,
            compressed=self._document.compressed and not has_document,
            leader_contact_age=this_round.leader_contact_age,
        )

    def _server_messages(self, this_round: _Round, subscription: Subscription) -> tuple[ServersUpdate, ...]:
        channel = subscription.channels[UpdateKind.SERVERS]
        if not channel.due(self._servers.version):
            return ()
        updates = this_round.server_updates.get(channel.have)
        if updates is None:
            updates = self._build_server_updates(this_round, channel.have)
            this_round.server_updates[channel.have] = updates
        if updates:
            channel.in_flight = self._servers.version
        else:
            channel.have = self._servers.version
        return updates

    def _build_server_updates(self, this_round: _Round, have: int) -> tuple[ServersUpdate, ...]:
        changed = None if have == NOTHING else self._servers.changed_since(this_round.now, have)
        if changed is not None:
            return self._parts(this_round, changed, full=False) if changed else ()
        return self._parts(this_round, self._servers.records(this_round.now), full=True)

    def _parts(
        self, this_round: _Round, records: tuple[ServerRecord, ...], full: bool
    ) -> tuple[ServersUpdate, ...]:
        """Split an update of the server list into messages of at most `MAX_RECORDS` records."""
        starts = range(0, max(1, len(records)), MAX_RECORDS)
        return tuple(
            ServersUpdate(
                sequence=self._servers.version,
                full=full,
                records=records[start : start + MAX_RECORDS],
                leader_contact_age=this_round.leader_contact_age,
                first=start == 0,
                last=start == starts[-1],
            )
            for start in starts
        )

    def _control_node_messages(self, subscription: Subscription) -> Iterator[ControlNodes]:
        channel = subscription.channels[UpdateKind.CONTROL_NODES]
        if channel.due(self._control_nodes.revision):
            channel.in_flight = self._control_nodes.revision
            yield self._control_nodes

    def _gateway_messages(self, subscription: Subscription) -> Iterator[GatewayCount]:
        channel = subscription.channels[UpdateKind.GATEWAY_COUNT]
        if channel.due(self._gateways.sequence) and self._gateways.number:
            channel.in_flight = self._gateways.sequence
            yield self._gateways
