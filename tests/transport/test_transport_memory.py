"""Tests of the transport within one process: the contract of transports, and simulated faults."""

from __future__ import annotations

from unittest import IsolatedAsyncioTestCase

from transport.contract import ANY_PORT, TransportContract
from transport.support import Note, Recorder, note_codec

from brackenladder.transport.errors import LinkClosed
from brackenladder.transport.link import Transport
from brackenladder.transport.memory import MemoryNetwork, MemoryTransport, RunawayNetwork

ROUNDS = 10  # calls of `run` after which waiting for a condition fails


class MemoryCase(IsolatedAsyncioTestCase):
    """Two nodes and a link."""

    def setUp(self):
        self.network = MemoryNetwork(note_codec())

    async def link(self) -> None:
        self.a_side, self.b_side = Recorder(), Recorder()
        self.a, self.b = MemoryTransport(self.network, "a"), MemoryTransport(self.network, "b")
        await self.b.listen(ANY_PORT, self.b_side)
        self.dialer = self.a.dial(self.b.listening[0], self.a_side)
        self.network.run()
        self.a_link, self.b_link = self.a_side.links[0], self.b_side.links[0]


class MemoryContractTest(TransportContract, IsolatedAsyncioTestCase):
    def setUp(self):
        self.network = MemoryNetwork(note_codec())

    def make(self, name: str, **options: object) -> Transport:
        return MemoryTransport(self.network, name, **options)

    async def until(self, recorder, condition):
        for _ in range(ROUNDS):
            if condition():
                return
            self.network.run()
        self.fail("the condition did not become true")

    async def settle(self):
        self.network.run()


class DeliveryTest(MemoryCase):
    async def test_events_happen_only_when_delivered(self):
        await self.link()
        self.a_link.send(Note(1))
        self.a_link.send(Note(2))
        self.assertEqual((self.network.pending, self.b_side.messages), (2, []))
        self.assertEqual(self.network.deliver(), 1)
        self.assertEqual(self.b_side.messages, [Note(1)])
        self.assertEqual(self.network.deliver(10), 1)
        self.assertEqual(self.network.deliver(), 0)

    async def test_without_a_codec_messages_travel_as_they_are(self):
        self.network = MemoryNetwork()
        await self.link()
        message = object()
        self.a_link.send(message)
        self.network.run()
        self.assertIs(self.b_side.messages[0], message)

    async def test_endless_messages_are_reported(self):
        await self.link()
        self.a_side.on_received = self.b_side.on_received = lambda link, message: link.send(message)
        self.a_link.send(Note(1))
        with self.assertRaises(RunawayNetwork):
            self.network.run()

    async def test_run_without_redial(self):
        await self.link()
        self.b_link.close()
        self.network.run(redial=False)
        self.assertIsNone(self.dialer.link)
        self.network.run()
        self.assertIsNotNone(self.dialer.link)
        self.assertEqual(self.dialer.attempts, 2)


class CutTest(MemoryCase):
    async def test_a_cut_delays_messages_and_keeps_their_order(self):
        await self.link()
        self.network.cut("a", "b")
        for number in range(3):
            self.a_link.send(Note(number))
        self.b_link.send(Note(9))
        self.network.run()
        self.assertEqual((self.a_side.messages, self.b_side.messages), ([], []))
        self.assertEqual(self.network.pending, 4)
        self.network.heal("a", "b")
        self.a_link.send(Note(3))
        self.network.run()
        self.assertEqual(self.b_side.messages, [Note(number) for number in range(4)])
        self.assertEqual(self.a_side.messages, [Note(9)])

    async def test_a_cut_in_one_direction(self):
        await self.link()
        self.network.cut_one_way("a", "b")
        self.a_link.send(Note(1))
        self.b_link.send(Note(2))
        self.network.run()
        self.assertEqual((self.a_side.messages, self.b_side.messages), ([Note(2)], []))
        self.network.expire_silent()
        self.network.run(redial=False)
        self.assertEqual(self.b_side.reasons, [LinkClosed.SILENT])
        self.assertEqual(self.a_side.reasons, [LinkClosed.LOST])

    async def test_expired_links_end_on_both_sides_and_lose_delayed_messages(self):
        await self.link()
        self.network.cut("a", "b")
        self.a_link.send(Note(1))
        self.network.expire_silent()
        self.network.run()
        self.assertEqual(self.a_side.reasons, [LinkClosed.SILENT])
        self.assertEqual(self.b_side.reasons, [LinkClosed.SILENT])
        self.network.run()
        self.assertEqual(self.dialer.last_reason, LinkClosed.UNREACHABLE)
        self.network.heal_all()
        self.network.run()
        self.assertEqual(self.b_side.messages, [])
        self.assertEqual(self.a_side.calls, ["connected", "closed", "connected"])

    async def test_a_cut_delays_a_close(self):
        await self.link()
        self.network.cut("a", "b")
        self.a_link.close()
        self.network.run()
        self.assertEqual((self.a_side.reasons, self.b_side.reasons), ([LinkClosed.LOCAL], []))
        self.network.heal("a", "b")
        self.network.run()
        self.assertEqual(self.b_side.reasons, [LinkClosed.REMOTE])


class LossTest(MemoryCase):
    async def test_lost_links_lose_messages_in_transit(self):
        await self.link()
        self.a_link.send(Note(1))
        self.network.lose_links("a", "b")
        self.network.run()
        self.assertEqual(self.b_side.messages, [])
        self.assertEqual((self.a_side.reasons, self.b_side.reasons), ([LinkClosed.LOST], [LinkClosed.LOST]))
        self.network.run()
        self.assertEqual(len(self.a_side.links), 2)

    async def test_a_node_without_power_is_noticed_by_its_silence_only(self):
        await self.link()
        self.network.power_off("b")
        self.a_link.send(Note(1))
        self.network.run()
        self.assertEqual((self.a_side.reasons, self.b_side.calls), ([], ["connected"]))
        self.network.expire_silent()
        self.network.run()
        self.assertEqual((self.a_side.reasons, self.b_side.calls), ([LinkClosed.SILENT], ["connected"]))
        again, side = MemoryTransport(self.network, "b"), Recorder()
        await again.listen(self.dialer.address, side)
        self.network.run()
        self.assertEqual(len(side.links), 1)

    async def test_a_killed_process_resets_its_links(self):
        await self.link()
        self.b_link.send(Note(1))
        self.network.kill("b")
        self.network.run()
        self.assertEqual((self.a_side.messages, self.a_side.reasons), ([], [LinkClosed.LOST]))
        self.assertEqual(self.b_side.calls, ["connected"])

    async def test_a_killed_node_does_not_reconnect(self):
        await self.link()
        self.network.kill("a")
        self.network.run()
        self.network.run()
        self.assertEqual(self.b_side.calls, ["connected", "closed"])
        self.assertEqual(self.b_side.reasons, [LinkClosed.LOST])
