"""A mesh of control nodes in memory, for tests; links can be cut and nodes restarted."""

from __future__ import annotations

from collections import deque

from registry.registry_samples import MS, SECOND, SILENCE

from brackenladder.registry.exchange import PeerExchange, PeerMessage
from brackenladder.registry.gateways import GatewayRegistry
from brackenladder.registry.records import ServerRecord, ServerState
from brackenladder.registry.registry import ServerRegistry

STEP = 100 * MS


class ControlNode:
    """The registries of one control node, and their replication to its peers."""

    def __init__(self, now: int) -> None:
        self.servers = ServerRegistry(SILENCE)
        self.gateways = GatewayRegistry()
        self.exchange = PeerExchange(self.servers, self.gateways, now)

    def states(self, now: int) -> dict[str, ServerState]:
        return {record.id: record.state for record in self.servers.records(now)}


class ControlMesh:
    """Nodes with a link between every two; messages arrive in order, at the next step.

    A node counts as in touch with its peers if it is linked to the `leader`; without one, if linked to all.
    """

    def __init__(self, names: str = "abc", leader: str = "") -> None:
        self.now = 100 * SECOND
        self.nodes = {name: ControlNode(self.now) for name in names}
        self.leader = leader
        self.cuts: set[frozenset[str]] = set()
        self.sent = 0
        self._in_transit: dict[tuple[str, str], deque[object]] = {}
        for name in names:
            self._link_all(name)

    def cut(self, one: str, other: str) -> None:
        """Close a link at both ends; messages in transit are lost."""
        self.cuts.add(frozenset((one, other)))
        self._unlink(one, other)

    def heal(self, one: str, other: str) -> None:
        """Open a new link between two nodes."""
        self.cuts.discard(frozenset((one, other)))
        self._link(one, other)

    def restart(self, name: str) -> None:
        """Restart a node, which loses its state."""
        others = [other for other in self.nodes if other != name]
        for other in others:
            self._unlink(name, other)
        self.nodes[name] = ControlNode(self.now)
        self._link_all(name)

    def heartbeat(self, name: str, record: ServerRecord) -> None:
        """Deliver a server's heartbeat to a node, which sends what is due to its peers at once."""
        self.nodes[name].servers.heartbeat(self.now, record)
        self._send(name)

    def step(self) -> None:
        """Deliver the messages in transit, then advance the time."""
        in_transit, self._in_transit = self._in_transit, {}
        for (sender, receiver), messages in in_transit.items():
            for message in messages:
                assert self.nodes[receiver].exchange.receive(self.now, sender, message)
        self.now += STEP
        for name in self.nodes:
            self.nodes[name].servers.expire(self.now, in_touch=self.in_touch(name))
            self._send(name)

    def run(self, time: int) -> None:
        """Advance the time step by step."""
        for _ in range(time // STEP):
            self.step()

    def in_touch(self, name: str) -> bool:
        """Whether a node may take a heartbeat missing here for one missing everywhere."""
        if self.leader:
            return frozenset((name, self.leader)) not in self.cuts
        return not any(name in cut for cut in self.cuts)

    def _send(self, name: str) -> None:
        for delivery in self.nodes[name].exchange.take_messages(self.now):
            self._queue(name, delivery)

    def _queue(self, name: str, delivery: PeerMessage) -> None:
        self.sent += 1
        self._in_transit.setdefault((name, delivery.peer), deque()).append(delivery.message)

    def _link_all(self, name: str) -> None:
        for other in self.nodes:
            if other != name and frozenset((name, other)) not in self.cuts:
                self._link(name, other)

    def _link(self, one: str, other: str) -> None:
        self.nodes[one].exchange.peer_connected(other)
        self.nodes[other].exchange.peer_connected(one)

    def _unlink(self, one: str, other: str) -> None:
        self.nodes[one].exchange.peer_disconnected(other)
        self.nodes[other].exchange.peer_disconnected(one)
        self._in_transit.pop((one, other), None)
        self._in_transit.pop((other, one), None)
