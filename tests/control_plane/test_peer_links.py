"""Links between control nodes, over an in-memory network."""

from __future__ import annotations

from unittest import IsolatedAsyncioTestCase

from attrs import define, field

from brackenladder.control_plane.messages import ForwardRead, Hello
from brackenladder.control_plane.peers import PeerLinks
from brackenladder.control_plane.wire import control_codec
from brackenladder.delivery.messages import ServersWanted
from brackenladder.transport.link import Link
from brackenladder.transport.memory import MemoryNetwork, MemoryTransport

ADDRESSES = {"a": "10.0.0.1:7000", "b": "10.0.0.2:7000"}
CALL = ForwardRead(1, 2)


@define(eq=False)
class Node:
    """A node with its links, which records their events."""

    network: MemoryNetwork
    name: str
    replica_id: str
    connected: list[str] = field(factory=list)
    received: list[tuple[str, object]] = field(factory=list)
    gateway_messages: list[object] = field(factory=list)
    links: PeerLinks = field(init=False)
    transport: MemoryTransport = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.transport = MemoryTransport(self.network, self.name)
        self.links = PeerLinks(self.transport, self, self.hello)

    async def start(self) -> None:
        await self.links.listen(ADDRESSES[self.name])
        self.links.set_addresses(ADDRESSES.values())

    def hello(self) -> Hello:
        return Hello(self.replica_id, ADDRESSES[self.name])

    def peer_connected(self, peer: Hello, link: Link) -> None:
        self.connected.append(peer.replica_id)

    def peer_received(self, peer: Hello, link: Link, message: object) -> None:
        self.received.append((peer.replica_id, message))

    def gateway_received(self, link: Link, message: object) -> None:
        self.gateway_messages.append(message)

    def link_closed(self, link: Link) -> None:
        pass


class SingleMessageHandler:
    """A link handler that sends one message, and no Hello."""

    def __init__(self, message: object) -> None:
        self.message = message

    def connected(self, link: Link) -> None:
        link.send(self.message)

    def received(self, link: Link, message: object) -> None:
        pass

    def closed(self, link: Link, reason: object) -> None:
        pass


class PeerLinksTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.network = MemoryNetwork(control_codec())
        self.a, self.b = (Node(self.network, name, f"replica-{name}") for name in "ab")
        for node in (self.a, self.b):
            await node.start()
        self.network.run()

    async def test_messages_are_sent_by_replica_id(self) -> None:
        self.assertTrue(self.a.links.send("replica-b", CALL))
        self.assertTrue(self.b.links.send("replica-a", CALL))
        self.network.run()
        self.assertEqual(self.b.received, [("replica-a", CALL)])
        self.assertEqual(self.a.received, [("replica-b", CALL)])
        self.assertEqual(self.a.links.connected_addresses(), (ADDRESSES["b"],))
        self.assertEqual([peer.replica_id for peer, _ in self.a.links.peers()], ["replica-b"])

    async def test_new_replica_at_the_same_address_gets_no_messages_for_the_old_one(self) -> None:
        self.network.kill("b")
        self.network.run()
        self.assertFalse(self.a.links.send("replica-b", CALL))
        successor = Node(self.network, "b", "replica-new")
        await successor.start()
        self.network.run()
        self.assertFalse(self.a.links.send("replica-b", CALL))
        self.assertTrue(self.a.links.send("replica-new", CALL))
        self.network.run()
        self.assertEqual(successor.received, [("replica-a", CALL)])

    async def test_removed_address_is_disconnected(self) -> None:
        self.b.links.close()
        self.a.links.set_addresses(())
        self.network.run()
        self.assertEqual(self.a.links.connected_addresses(), ())

    async def test_link_without_hello_is_a_gateway(self) -> None:
        wanted = ServersWanted(("i-1",))
        MemoryTransport(self.network, "gateway").dial(ADDRESSES["a"], SingleMessageHandler(wanted))
        self.network.run()
        self.assertEqual((self.a.gateway_messages, self.a.received), ([wanted], []))
