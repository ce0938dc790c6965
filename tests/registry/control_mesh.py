"""Control nodes that exchange what they know, in a test; links can be cut, nodes can be restarted."""

from __future__ import annotations

from collections import deque

from registry.registry_samples import MS, SECOND, SILENCE

from brackenladder.registry.exchange import PeerExchange, PeerMessage
from brackenladder.registry.gateways import GatewayRegistry
from brackenladder.registry.records import ServerRecord, ServerState
from brackenladder.registry.registry import ServerRegistry

STEP = 100 * MS


class ControlNode:
    """One node's registries and exchange."""

    def __init__(self, now: int) -> None:
        self.servers = ServerRegistry(SILENCE)
        self.gateways = GatewayRegistry()
        self.exchange = PeerExchange(self.servers, self.gateways, now)

    def states(self, now: int) -> dict[str, ServerState]:
        return {record.id: record.state for record in self.servers.records(now)}


class ControlMesh:
    """Nodes with a link between every two; messages arrive at the next step, in sequence.

    With a `leader`, who hears it trusts its peers' silence; else only who hears all.
    """

    def __init__(self, names: str = "abc", leader: str = "") -> None:
        self.now = 100 * SECOND
        self.nodes = {name: ControlNode(self.now) for name in names}
        self.leader = leader
        self.cuts: set[frozenset[str]] = set()
        self.sent = 0
        self._wires: dict[tuple[str, str], deque[object]] = {}
        for name in names:
            self._link_all(name)

    def cut(self, one: str, other: str) -> None:
        """Both ends see their link close; what was under way is lost."""
        self.cuts.add(frozenset((one, other)))
        self._unlink(one, other)

    def heal(self, one: str, other: str) -> None:
        """Both ends have a new link."""
        self.cuts.discard(frozenset((one, other)))
        self._link(one, other)

    def restart(self, name: str) -> None:
        """A node loses all that it knew."""
        others = [other for other in self.nodes if other != name]
        for other in others:
            self._unlink(name, other)
        self.nodes[name] = ControlNode(self.now)
        self._link_all(name)

    def heartbeat(self, name: str, record: ServerRecord) -> None:
        """A server's heartbeat reaches a node, which tells its peers at once."""
        self.nodes[name].servers.heartbeat(self.now, record)
        self._send(name)

    def step(self) -> None:
        """Deliver what is under way, then let time pass."""
        wires, self._wires = self._wires, {}
        for (sender, receiver), messages in wires.items():
            for message in messages:
                assert self.nodes[receiver].exchange.receive(self.now, sender, message)
        self.now += STEP
        for name in self.nodes:
            self.nodes[name].servers.expire(self.now, trusted=self.trusted(name))
            self._send(name)

    def run(self, time: int) -> None:
        """Let time pass."""
        for _ in range(time // STEP):
            self.step()

    def trusted(self, name: str) -> bool:
        """Whether a node takes the silence that it observes for everybody's."""
        if self.leader:
            return frozenset((name, self.leader)) not in self.cuts
        return not any(name in cut for cut in self.cuts)

    def _send(self, name: str) -> None:
        for delivery in self.nodes[name].exchange.take_messages(self.now):
            self._wire(name, delivery)

    def _wire(self, name: str, delivery: PeerMessage) -> None:
        self.sent += 1
        self._wires.setdefault((name, delivery.peer), deque()).append(delivery.message)

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
        self._wires.pop((one, other), None)
        self._wires.pop((other, one), None)
