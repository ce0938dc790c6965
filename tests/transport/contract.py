"""Tests that every transport has to pass, as a mixin for unittest cases."""

from __future__ import annotations

from collections.abc import Callable

from transport.support import Empty, Note, Novelty, Recorder, newer_codec, note_codec

from brackenladder.transport.errors import AddressError, EncodeError, LinkClosed, ListenError, MessageTooLarge
from brackenladder.transport.link import LinkLimits, ProtocolVersions, Transport

ANY_PORT = "127.0.0.1:0"


class TransportContract:
    """A subclass is also an `IsolatedAsyncioTestCase`. It creates transports and waits for conditions."""

    def make(self, name: str, **options: object) -> Transport:
        """Creates a transport of the given name. Options: codec, versions, limits, on_refused."""
        raise NotImplementedError

    async def until(self, recorder: Recorder, condition: Callable[[], bool]) -> None:
        """Runs the transports until the condition holds."""
        raise NotImplementedError

    async def settle(self) -> None:
        """Runs the transports long enough for pending events to happen, as far as that can be determined."""
        raise NotImplementedError

    async def pair(self, limits: LinkLimits | None = None) -> None:
        """Creates a listening node, a dialling node and one link between them."""
        self.far_side, self.near_side = Recorder(), Recorder()
        self.far, self.near = self.make("far"), self.make("near", limits=limits)
        await self.far.listen(ANY_PORT, self.far_side)
        self.dialer = self.near.dial(self.far.listening[0], self.near_side)
        await self.until(self.near_side, lambda: bool(self.near_side.links))
        await self.until(self.far_side, lambda: bool(self.far_side.links))
        self.near_link, self.far_link = self.near_side.links[0], self.far_side.links[0]

    async def test_the_handshake_exchanges_names(self):
        await self.pair()
        self.assertEqual((self.near_link.peer, self.far_link.peer), ("far", "near"))
        self.assertEqual((self.near_link.version, self.far_link.version), (1, 1))
        self.assertEqual(self.near_link.remote, self.far.listening[0])
        self.assertRegex(self.far_link.remote, r"^127\.0\.0\.1:\d+$")
        self.assertIs(self.dialer.link, self.near_link)

    async def test_messages_arrive_in_order_both_ways(self):
        await self.pair()
        notes = [Note(number, "é" * number, bytes([number])) for number in range(200)]
        for note in notes:
            self.assertTrue(self.near_link.send(note))
            self.assertTrue(self.far_link.send(note))
        await self.until(self.far_side, lambda: len(self.far_side.messages) == 200)
        await self.until(self.near_side, lambda: len(self.near_side.messages) == 200)
        self.assertEqual(self.far_side.messages, notes)
        self.assertEqual(self.near_side.messages, notes)

    async def test_time_since_receive_is_short_after_a_message(self):
        await self.pair()
        self.near_link.send(Empty())
        await self.until(self.far_side, lambda: bool(self.far_side.messages))
        self.assertLess(self.far_link.time_since_receive, 10_000_000)  # large enough for a slow machine
        self.assertGreaterEqual(self.far_link.time_since_receive, 0)

    async def test_a_handler_may_send_from_its_callbacks(self):
        self.far_side = Recorder(on_connected=lambda link: link.send(Empty()))
        self.near_side = Recorder(on_received=lambda link, message: link.send(Note(7)))
        far, near = self.make("far"), self.make("near")
        await far.listen(ANY_PORT, self.far_side)
        near.dial(far.listening[0], self.near_side)
        await self.until(self.far_side, lambda: bool(self.far_side.messages))
        self.assertEqual(self.near_side.messages, [Empty()])
        self.assertEqual(self.far_side.messages, [Note(7)])

    async def test_a_message_larger_than_the_queue_is_accepted_if_the_queue_is_empty(self):
        await self.pair(LinkLimits(queue_bytes=1_000))
        large = Note(1, body=bytes(200_000))
        self.assertTrue(self.near_link.send(large))
        await self.until(self.far_side, lambda: bool(self.far_side.messages))
        self.assertEqual(self.far_side.messages, [large])

    async def test_send_refuses_what_exceeds_the_queue(self):
        await self.pair(LinkLimits(queue_bytes=1_000))
        accepted = [self.near_link.send(Note(number, body=bytes(300))) for number in range(5)]
        self.assertEqual(accepted, [True, True, True, False, False])
        await self.until(self.far_side, lambda: len(self.far_side.messages) == 3)
        self.assertTrue(self.near_link.send(Note(9, body=bytes(300))))
        await self.until(self.far_side, lambda: len(self.far_side.messages) == 4)

    async def test_a_message_that_cannot_be_encoded_raises_and_the_link_stays_open(self):
        await self.pair(LinkLimits(frame_bytes=1_000))
        with self.assertRaises(EncodeError):
            self.near_link.send("text")
        with self.assertRaises(MessageTooLarge):
            self.near_link.send(Note(1, body=bytes(1_000)))
        self.assertTrue(self.near_link.send(Note(2)))
        await self.until(self.far_side, lambda: self.far_side.messages == [Note(2)])

    async def test_close_is_reported_on_both_sides(self):
        await self.pair()
        self.dialer.close()  # closing only the link would make the dialer reconnect
        self.assertEqual(self.near_side.reasons, [])  # `closed` isn't called from inside `close`
        self.assertFalse(self.near_link.send(Note(2)))
        await self.until(self.near_side, lambda: bool(self.near_side.reasons))
        await self.until(self.far_side, lambda: bool(self.far_side.reasons))
        self.assertEqual(self.near_side.reasons, [LinkClosed.LOCAL])
        self.assertEqual(self.far_side.reasons, [LinkClosed.REMOTE])
        self.assertFalse(self.far_link.send(Note(3)))
        self.assertIsNone(self.dialer.link)

    async def test_messages_sent_before_close_arrive(self):
        await self.pair()
        for number in range(10):
            self.near_link.send(Note(number))
        self.near_link.close()
        self.near_link.close()
        await self.until(self.far_side, lambda: bool(self.far_side.reasons))
        self.assertEqual(self.far_side.messages, [Note(number) for number in range(10)])
        self.assertEqual(self.far_side.calls, ["connected", *["received"] * 10, "closed"])
        await self.until(self.near_side, lambda: bool(self.near_side.reasons))
        self.assertEqual(self.near_side.reasons, [LinkClosed.LOCAL])

    async def test_no_message_is_delivered_after_close(self):
        await self.pair()
        self.far_side.on_received = lambda link, message: link.close()
        for number in range(5):
            self.near_link.send(Note(number))
        await self.until(self.far_side, lambda: bool(self.far_side.reasons))
        self.assertEqual(self.far_side.messages, [Note(0)])
        self.assertEqual(self.far_side.reasons, [LinkClosed.LOCAL])

    async def test_a_dialer_reconnects_after_the_link_has_ended(self):
        await self.pair()
        self.far_link.close()
        await self.until(self.near_side, lambda: len(self.near_side.links) == 2)
        self.assertEqual(self.near_side.calls, ["connected", "closed", "connected"])
        self.assertEqual(self.near_side.reasons, [LinkClosed.REMOTE])
        self.assertTrue(self.near_side.links[1].send(Note(4)))
        await self.until(self.far_side, lambda: self.far_side.messages == [Note(4)])

    async def test_a_dialer_retries_until_the_address_is_listening(self):
        spare, side = self.make("spare"), Recorder()
        await spare.listen(ANY_PORT, Recorder())
        address = spare.listening[0]
        await spare.close()
        dialer = self.make("near").dial(address, side)
        await self.settle()
        await self.make("far").listen(address, Recorder())
        await self.until(side, lambda: bool(side.links))
        self.assertEqual(dialer.link, side.links[0])

    async def test_a_closed_dialer_does_not_reconnect(self):
        await self.pair()
        self.dialer.close()
        await self.until(self.near_side, lambda: bool(self.near_side.reasons))
        await self.settle()
        self.assertEqual(self.near_side.calls, ["connected", "closed"])
        self.dialer.close()

    async def test_closing_the_transport_closes_all_its_links(self):
        await self.pair()
        await self.near.close()
        self.assertEqual(self.near_side.reasons, [LinkClosed.LOCAL])
        await self.until(self.far_side, lambda: bool(self.far_side.reasons))
        await self.far.close()
        self.assertEqual(self.far_side.calls, ["connected", "closed"])

    async def test_a_closed_transport_frees_its_address(self):
        await self.pair()
        address = self.far.listening[0]
        await self.far.close()
        again, side = self.make("again"), Recorder()
        await again.listen(address, side)
        await self.until(self.near_side, lambda: len(self.near_side.links) == 2)
        self.assertEqual(self.near_side.links[1].peer, "again")

    async def test_the_highest_common_version_is_chosen(self):
        far, near, side = self.make("far", versions=ProtocolVersions(2, 5)), None, Recorder()
        await far.listen(ANY_PORT, Recorder())
        near = self.make("near", versions=ProtocolVersions(1, 3))
        near.dial(far.listening[0], side)
        await self.until(side, lambda: bool(side.links))
        self.assertEqual(side.links[0].version, 3)

    async def test_without_a_common_version_there_is_no_link(self):
        far_side, near_side = Recorder(), Recorder()
        far = self.make("far", versions=ProtocolVersions(4, 5), on_refused=far_side.refused)
        near = self.make("near", versions=ProtocolVersions(1, 3), on_refused=near_side.refused)
        await far.listen(ANY_PORT, far_side)
        dialer = near.dial(far.listening[0], near_side)
        await self.until(far_side, lambda: bool(far_side.refusals))
        await self.until(near_side, lambda: bool(near_side.refusals))
        self.assertEqual(far_side.refusals[0], LinkClosed.INCOMPATIBLE)
        self.assertEqual(near_side.refusals[0], LinkClosed.INCOMPATIBLE)
        self.assertEqual(dialer.last_reason, LinkClosed.INCOMPATIBLE)
        self.assertEqual(far_side.calls + near_side.calls, [])

    async def test_a_message_of_an_unknown_type_is_ignored(self):
        side = Recorder(on_connected=lambda link: link.send(Novelty(1)) and link.send(Note(2)))
        newer, older_side = self.make("newer", codec=newer_codec()), Recorder()
        await newer.listen(ANY_PORT, side)
        self.make("older", codec=note_codec()).dial(newer.listening[0], older_side)
        await self.until(older_side, lambda: bool(older_side.messages))
        self.assertEqual(older_side.messages, [Note(2)])
        self.assertEqual(older_side.reasons, [])

    async def test_incoming_links_beyond_the_limit_are_refused(self):
        far_side, first, second = Recorder(), Recorder(), Recorder()
        far = self.make("far", limits=LinkLimits(incoming=1), on_refused=far_side.refused)
        await far.listen(ANY_PORT, far_side)
        first_dialer = self.make("first").dial(far.listening[0], first)
        await self.until(first, lambda: bool(first.links))
        self.make("second").dial(far.listening[0], second)
        await self.until(far_side, lambda: bool(far_side.refusals))
        self.assertEqual(set(far_side.refusals), {LinkClosed.TOO_MANY_CONNECTIONS})
        self.assertEqual(second.calls, [])
        first_dialer.close()
        await self.until(second, lambda: bool(second.links))

    async def test_an_invalid_address_raises(self):
        transport = self.make("near")
        for text in ("", "1.2.3.4", "1.2.3.4:", "1.2.3:80", "host:80", "1.2.3.4:65536", "1.2.3.4:-1", ":80"):
            with self.subTest(text), self.assertRaises(AddressError):
                transport.dial(text, Recorder())

    async def test_an_address_that_stays_in_use_raises(self):
        one, other = self.make("one"), self.make("other")
        await one.listen(ANY_PORT, Recorder())
        with self.assertRaises(ListenError):
            await other.listen(one.listening[0], Recorder())
        self.assertEqual(other.listening, ())
