"""Replication of servers and gateways between control nodes.

Changes are sent at once. Heartbeats that change nothing are sent in batches, to show that a server is alive.
A peer that has just connected receives everything known here. Before a server times out, peers are asked
whether they have heard from it.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence

from attrs import frozen

from brackenladder.registry.gateways import GatewayRegistry
from brackenladder.registry.messages import GatewaysTold, ServersHeard, ServersTold, ServersWanted
from brackenladder.registry.records import HeardServer, ServerRecord
from brackenladder.registry.registry import ServerRegistry

HEARTBEAT_BATCH_INTERVAL = 300_000  # microseconds between two batches of heartbeats
GATEWAYS_INTERVAL = 1_000_000  # microseconds between two batches of gateway presence
SETTLE_TIME = 2_000_000  # microseconds after the start within which every server has sent a heartbeat
MAX_RECORDS = 500  # server records in one message


@frozen
class PeerMessage:
    """A message to be sent to one other control node."""

    peer: str
    message: object


class PeerExchange:
    """Sends this node's updates of servers and gateways to its peers, and merges theirs."""

    def __init__(
        self, servers: ServerRegistry, gateways: GatewayRegistry, now: int, settle_time: int = SETTLE_TIME
    ) -> None:
        """`settle_time`: microseconds within which every live server reaches some control node."""
        self._servers = servers
        self._gateways = gateways
        self._settled_at = now + settle_time
        self._fully_sent: dict[str, bool] = {}  # by connected peer: whether it was sent everything known here
        self._replies: list[PeerMessage] = []
        self._pending_heartbeats: dict[str, None] = {}  # servers whose heartbeats go into the next batch
        self._heartbeats_sent_at = now
        self._gateways_sent_at = now

    def settled(self, now: int) -> bool:
        """Whether this node knows all servers: it ran long enough, or a peer that had done so sent it all."""
        return now >= self._settled_at

    def peer_connected(self, peer: str) -> None:
        """Note a new link to a control node, which first gets everything known here."""
        self._fully_sent[peer] = False

    def peer_disconnected(self, peer: str) -> None:
        """Handle a link that is down or refused a message; the next link begins with a full transfer."""
        self._fully_sent.pop(peer, None)
        self._replies = [reply for reply in self._replies if reply.peer != peer]

    def receive(self, now: int, peer: str, message: object) -> bool:
        """Handle a message from a peer; False if its type does not belong to this exchange."""
        match message:
            case ServersTold():
                self._handle_server_records(now, peer, message)
            case ServersHeard():
                self._handle_heartbeats(now, peer, message)
            case ServersWanted():
                known = (self._servers.get(now, server_id) for server_id in message.ids)
                self._reply(peer, self._server_messages(now, [one for one in known if one is not None]))
            case GatewaysTold():
                self._handle_gateways(now, message)
            case _:
                return False
        return True

    def take_messages(self, now: int) -> tuple[PeerMessage, ...]:
        """Return the messages that are due.

        To be called after every change, and at least about as often as batches are due.
        """
        updates = self._servers.take_local_updates()
        self._pending_heartbeats.update(dict.fromkeys(updates.heartbeats))
        for server_id in updates.changed:
            self._pending_heartbeats.pop(server_id, None)
        messages = [
            *self._server_changes(now, updates.changed),
            *self._server_batch(now),
            *self._suspect_queries(now),
            *self._gateway_changes(now),
            *self._gateway_batch(now),
        ]
        due = [*self._replies, *self._to_known_peers(messages), *self._to_new_peers(now)]
        self._replies = []
        return tuple(due)

    def _handle_server_records(self, now: int, peer: str, message: ServersTold) -> None:
        ages = {heard.id: heard.age for heard in message.heard}
        self._servers.merge(now, message.records, ages)
        newer = self._servers.newer_records(now, message.records)
        self._reply(peer, self._server_messages(now, newer))

    def _handle_heartbeats(self, now: int, peer: str, message: ServersHeard) -> None:
        wanted = self._servers.merge_heartbeats(now, message.heard)
        if wanted:
            self._reply(peer, [ServersWanted(wanted)])

    def _handle_gateways(self, now: int, message: GatewaysTold) -> None:
        self._gateways.merge(now, message.gateways, full=message.settled)
        if message.settled:
            self._settled_at = min(self._settled_at, now)

    def _reply(self, peer: str, messages: Iterable[object]) -> None:
        self._replies.extend(PeerMessage(peer, message) for message in messages)

    def _to_known_peers(self, messages: list[object]) -> Iterator[PeerMessage]:
        for peer, fully_sent in self._fully_sent.items():
            if fully_sent:
                for message in messages:
                    yield PeerMessage(peer, message)

    def _to_new_peers(self, now: int) -> Iterator[PeerMessage]:
        new = [peer for peer, fully_sent in self._fully_sent.items() if not fully_sent]
        if not new:
            return
        gateways = GatewaysTold(self._gateways.list_living(now), settled=self.settled(now))
        messages = [*self._server_messages(now, self._servers.records(now)), gateways]
        for peer in new:
            self._fully_sent[peer] = True
            for message in messages:
                yield PeerMessage(peer, message)

    def _server_changes(self, now: int, server_ids: tuple[str, ...]) -> list[ServersTold]:
        known = (self._servers.get(now, server_id) for server_id in server_ids)
        return self._server_messages(now, [record for record in known if record is not None])

    def _server_batch(self, now: int) -> list[ServersHeard]:
        if not self._pending_heartbeats or now - self._heartbeats_sent_at < HEARTBEAT_BATCH_INTERVAL:
            return []
        self._heartbeats_sent_at = now
        heard = self._latest_heartbeats(now, self._pending_heartbeats)
        self._pending_heartbeats = {}
        return [ServersHeard(heard)]

    def _suspect_queries(self, now: int) -> list[ServersWanted]:
        """Ask peers before a server times out: the link to the node that hears it may be down."""
        suspects = self._servers.take_suspects(now)
        return [ServersWanted(suspects)] if suspects else []

    def _gateway_changes(self, now: int) -> list[GatewaysTold]:
        changed = self._gateways.take_local_changes(now)
        return [GatewaysTold(changed)] if changed else []

    def _gateway_batch(self, now: int) -> list[GatewaysTold]:
        if now - self._gateways_sent_at < GATEWAYS_INTERVAL:
            return []
        self._gateways_sent_at = now
        heard = self._gateways.take_local_presences(now)
        return [GatewaysTold(heard)] if heard else []

    def _server_messages(self, now: int, records: Sequence[ServerRecord]) -> list[ServersTold]:
        """Pack records with their latest heartbeats into messages of at most `MAX_RECORDS` records."""
        parts = (records[start : start + MAX_RECORDS] for start in range(0, len(records), MAX_RECORDS))
        return [
            ServersTold(tuple(part), self._latest_heartbeats(now, (record.id for record in part)))
            for part in parts
        ]

    def _latest_heartbeats(self, now: int, server_ids: Iterable[str]) -> tuple[HeardServer, ...]:
        heartbeats = (self._servers.latest_heartbeat(now, server_id) for server_id in server_ids)
        return tuple(heard for heard in heartbeats if heard is not None)
