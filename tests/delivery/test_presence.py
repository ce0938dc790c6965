"""When a gateway sends presence messages, and their content."""

from __future__ import annotations

import unittest

from delivery.delivery_samples import AT

from brackenladder.delivery.presence import PRESENCE_INTERVAL, Presence
from brackenladder.registry.gateways import GatewayRecord, GatewayState


class PresenceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.presence = Presence("front-1", "10.0.0.1:8144", "hall-a", "north", incarnation=17)

    def test_the_content_of_a_message(self) -> None:
        message = self.presence.message(have_revision=5)
        self.assertEqual(message.have_revision, 5)
        self.assertEqual(
            message.gateway,
            GatewayRecord("front-1", "10.0.0.1:8144", "hall-a", "north", GatewayState.STARTING, 17, 1),
        )

    def test_each_message_has_a_higher_seq(self) -> None:
        seqs = [self.presence.message(0).seq, self.presence.announce(AT, 0).seq, self.presence.message(0).seq]
        self.assertEqual(seqs, [1, 2, 3])

    def test_a_message_is_due_at_intervals(self) -> None:
        self.assertTrue(self.presence.due(AT))
        self.presence.announce(AT, 0)
        self.assertFalse(self.presence.due(AT + PRESENCE_INTERVAL - 1))
        self.assertTrue(self.presence.due(AT + PRESENCE_INTERVAL))

    def test_a_message_is_due_at_each_change_of_state(self) -> None:
        self.presence.announce(AT, 0)
        self.assertTrue(self.presence.set_state(GatewayState.READY))
        self.assertTrue(self.presence.due(AT))
        self.presence.announce(AT, 0)
        self.assertFalse(self.presence.set_state(GatewayState.READY))
        self.assertFalse(self.presence.due(AT))
