"""What a control node tells the other control nodes of servers and gateways, and when.

Changes go out at once. Heartbeats that change nothing go out in batches, as evidence that a server is alive.
A peer that was just reached is told all that is known here. Before a server ends by silence, peers are asked.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence

from attrs import frozen

from brackenladder.registry.gateways import GatewayRegistry
from brackenladder.registry.messages import GatewaysTold, ServersHeard, ServersTold, ServersWanted
from brackenladder.registry.records import HeardServer, ServerRecord
from brackenladder.registry.registry import ServerRegistry

HEARTBEAT_BATCH_INTERVAL = 300_000  # microseconds between two batches of heartbeats
GATEWAYS_INTERVAL = 1_000_000  # microseconds between two batches of gateways' presence
SETTLE_TIME = 2_000_000  # microseconds after the start in which every server has been heard
MOST_RECORDS = 500  # of one message


@frozen
class PeerMessage:
    """A message for one peer."""

    peer: str
    message: object


class PeerExchange:
    """Spreads what this node learns of servers and gateways, and takes what its peers tell."""

    def __init__(
        self, servers: ServerRegistry, gateways: GatewayRegistry, now: int, settle_time: int = SETTLE_TIME
    ) -> None:
        """Within `settle_time` microseconds every living server sends a heartbeat to some control node."""
        self._servers = servers
        self._gateways = gateways
        self._settled_at = now + settle_time
        self._told_all: dict[str, bool] = {}  # by connected peer
        self._replies: list[PeerMessage] = []
        self._waiting: dict[str, None] = {}  # servers of the next batch of heartbeats
        self._heard_told_at = now
        self._gateways_told_at = now

    def settled(self, now: int) -> bool:
        """Whether this node knows the servers: it ran for long enough, or a peer that did has told all."""
        return now >= self._settled_at

    def peer_connected(self, peer: str) -> None:
        """The link to a peer is up."""
        self._told_all[peer] = False

    def peer_disconnected(self, peer: str) -> None:
        """The link to a peer is down, or would not take a message; a new link begins with all."""
        self._told_all.pop(peer, None)
        self._replies = [reply for reply in self._replies if reply.peer != peer]

    def receive(self, now: int, peer: str, message: object) -> bool:
        """Take a message of a peer; False if it is none of this exchange."""
        match message:
            case ServersTold():
                self._servers_told(now, peer, message)
            case ServersHeard():
                self._servers_heard(now, peer, message)
            case ServersWanted():
                known = (self._servers.get(now, server_id) for server_id in message.ids)
                self._reply(peer, self._server_messages(now, [one for one in known if one is not None]))
            case GatewaysTold():
                self._gateways_told(now, message)
            case _:
                return False
        return True

    def take_messages(self, now: int) -> tuple[PeerMessage, ...]:
        """Return what is due; to be called after every change, and about as often as batches are due."""
        news = self._servers.take_local_updates()
        self._waiting.update(dict.fromkeys(news.heartbeats))
        for server_id in news.changed:
            self._waiting.pop(server_id, None)
        messages = [
            *self._server_changes(now, news.changed),
            *self._server_batch(now),
            *self._server_doubts(now),
            *self._gateway_changes(now),
            *self._gateway_batch(now),
        ]
        due = [*self._replies, *self._to_informed_peers(messages), *self._to_new_peers(now)]
        self._replies = []
        return tuple(due)

    def _servers_told(self, now: int, peer: str, message: ServersTold) -> None:
        ages = {heard.id: heard.age for heard in message.heard}
        self._servers.merge(now, message.records, ages)
        newer = self._servers.newer_records(now, message.records)
        self._reply(peer, self._server_messages(now, newer))

    def _servers_heard(self, now: int, peer: str, message: ServersHeard) -> None:
        wanted = self._servers.merge_heartbeats(now, message.heard)
        if wanted:
            self._reply(peer, [ServersWanted(wanted)])

    def _gateways_told(self, now: int, message: GatewaysTold) -> None:
        self._gateways.merge(now, message.gateways, full=message.settled)
        if message.settled:
            self._settled_at = min(self._settled_at, now)

    def _reply(self, peer: str, messages: Iterable[object]) -> None:
        self._replies.extend(PeerMessage(peer, message) for message in messages)

    def _to_informed_peers(self, messages: list[object]) -> Iterator[PeerMessage]:
        for peer, told_all in self._told_all.items():
            if told_all:
                for message in messages:
                    yield PeerMessage(peer, message)

    def _to_new_peers(self, now: int) -> Iterator[PeerMessage]:
        new = [peer for peer, told_all in self._told_all.items() if not told_all]
        if not new:
            return
        gateways = GatewaysTold(self._gateways.list_living(now), settled=self.settled(now))
        messages = [*self._server_messages(now, self._servers.records(now)), gateways]
        for peer in new:
            self._told_all[peer] = True
            for message in messages:
                yield PeerMessage(peer, message)

    def _server_changes(self, now: int, server_ids: tuple[str, ...]) -> list[ServersTold]:
        known = (self._servers.get(now, server_id) for server_id in server_ids)
        return self._server_messages(now, [record for record in known if record is not None])

    def _server_batch(self, now: int) -> list[ServersHeard]:
        if not self._waiting or now - self._heard_told_at < HEARTBEAT_BATCH_INTERVAL:
            return []
        self._heard_told_at = now
        heard = self._evidence(now, self._waiting)
        self._waiting = {}
        return [ServersHeard(heard)]

    def _server_doubts(self, now: int) -> list[ServersWanted]:
        """Ask before a server ends: between this node and the one that hears it the link may be cut."""
        doubted = self._servers.take_suspects(now)
        return [ServersWanted(doubted)] if doubted else []

    def _gateway_changes(self, now: int) -> list[GatewaysTold]:
        changed = self._gateways.take_local_changes(now)
        return [GatewaysTold(changed)] if changed else []

    def _gateway_batch(self, now: int) -> list[GatewaysTold]:
        if now - self._gateways_told_at < GATEWAYS_INTERVAL:
            return []
        self._gateways_told_at = now
        heard = self._gateways.take_local_presences(now)
        return [GatewaysTold(heard)] if heard else []

    def _server_messages(self, now: int, records: Sequence[ServerRecord]) -> list[ServersTold]:
        """Tell records together with the evidence for them, no message too long."""
        parts = (records[start : start + MOST_RECORDS] for start in range(0, len(records), MOST_RECORDS))
        return [
            ServersTold(tuple(part), self._evidence(now, (record.id for record in part))) for part in parts
        ]

    def _evidence(self, now: int, server_ids: Iterable[str]) -> tuple[HeardServer, ...]:
        evidence = (self._servers.latest_heartbeat(now, server_id) for server_id in server_ids)
        return tuple(heard for heard in evidence if heard is not None)
