"""Which notices control nodes relay to whom, and which relay a gateway chooses."""

from __future__ import annotations

import unittest

from brackenladder.prefix_cache.messages import PrefixNotice, PrefixNotices
from brackenladder.prefix_cache.relay import (
    INTERVAL,
    MAX_NOTICES,
    MAX_PENDING,
    MAX_SNAPSHOT,
    PEER_INTERVAL,
    PrefixRelay,
    Receiver,
)
from brackenladder.prefix_cache.relay_choice import RelayChoice

AT = 50_000_000


def notice(server: int, shared: int = 3_000, age: int = 0) -> PrefixNotice:
    return PrefixNotice(server, (1, server), (1_000, shared - 1_000), uncached_tokens=shared, age=age)


class RelayTest(unittest.TestCase):
    def setUp(self) -> None:
        self.relay = PrefixRelay(AT)
        for name in ("a", "b", "c"):
            self.relay.set_subscribed(name, wanted=True)
        self.assertEqual(self.take(AT), {"a": [], "b": [], "c": []})  # nothing is known yet
        self.assertEqual(self.take(AT), {})

    def take(self, now: int) -> dict[str, list[PrefixNotice]]:
        """The notices that are due, by gateway name; an empty name for other control nodes."""
        due = self.relay.take(now)
        for each in due:
            self.assertEqual(each.receiver is Receiver.PEERS, each.name == "")
        self.assertEqual(len({each.name for each in due}), len(due))
        return {each.name: list(each.message.notices) for each in due}

    def test_a_gateways_notice_goes_to_all_but_itself_and_to_the_peers(self) -> None:
        self.relay.from_gateway(AT, "a", PrefixNotices((notice(1),)))
        self.assertEqual(self.take(AT), {"b": [notice(1)], "c": [notice(1)], "": [notice(1)]})
        self.assertEqual(self.take(AT + PEER_INTERVAL), {})

    def test_a_peers_notice_goes_to_gateways_only(self) -> None:
        self.relay.from_peer(AT, PrefixNotices((notice(1),)))
        self.assertEqual(set(self.take(AT)), {"a", "b", "c"})

    def test_notices_of_one_interval_are_sent_together_with_their_ages(self) -> None:
        self.relay.from_gateway(AT, "a", PrefixNotices((notice(1),)))
        self.take(AT)
        self.relay.from_gateway(AT + 1_000, "a", PrefixNotices((notice(2),)))
        self.relay.from_gateway(AT + 2_000, "b", PrefixNotices((notice(3, age=500),)))
        self.assertEqual(self.take(AT + INTERVAL - 1), {})
        sent = self.take(AT + INTERVAL)
        second = notice(2, age=INTERVAL - 1_000)
        third = notice(3, age=INTERVAL - 2_000 + 500)
        self.assertEqual(sent, {"a": [third], "b": [second], "c": [second, third]})
        self.assertEqual([each.server for each in self.take(AT + PEER_INTERVAL)[""]], [2, 3])

    def test_an_unsubscribed_or_lost_gateway_gets_no_notices(self) -> None:
        self.relay.set_subscribed("b", wanted=False)
        self.relay.unsubscribe("c")
        self.relay.from_peer(AT, PrefixNotices((notice(1),)))
        self.assertEqual(set(self.take(AT)), {"a"})

    def test_a_new_gateway_gets_a_snapshot(self) -> None:
        self.relay.from_gateway(AT, "a", PrefixNotices((notice(1), notice(2))))
        self.take(AT)
        self.relay.set_subscribed("d", wanted=True)
        self.relay.set_subscribed("d", wanted=True)
        sent = self.take(AT + 5_000)["d"]
        self.assertEqual(
            [(each.server, each.uncached_tokens, each.age) for each in sent], [(1, 0, 5_000), (2, 0, 5_000)]
        )
        self.assertEqual(self.take(AT + 10_000), {})

    def test_messages_are_bounded_and_have_the_highest_weights(self) -> None:
        self.relay.from_gateway(AT, "a", PrefixNotices((notice(0),)))
        self.take(AT)
        for number in range(1, 200):
            self.relay.from_gateway(AT + 1, "a", PrefixNotices((notice(number, shared=2_000 + number),)))
        sent = self.take(AT + PEER_INTERVAL)
        self.assertEqual([each.server for each in sent["b"]], list(range(200 - MAX_NOTICES, 200)))

    def test_a_flood_of_notices_does_not_use_more_memory(self) -> None:
        for number in range(20 * MAX_PENDING):
            self.relay.from_peer(AT, PrefixNotices((notice(number),)))
        self.assertLessEqual(len(self.relay._to_gateways.pending), MAX_PENDING)
        self.take(AT)
        self.relay.set_subscribed("d", wanted=True)
        self.assertEqual(len(self.take(AT)["d"]), MAX_SNAPSHOT)


class RelayChoiceTest(unittest.TestCase):
    ZONES = {"n1": "hall-a", "n2": "hall-b", "s1": "hall-c"}
    REGIONS = {"hall-a": "north", "hall-b": "north", "hall-c": "south"}

    def nearest(self, zone: str, *linked: str) -> str:
        return RelayChoice("front-1", zone, self.REGIONS).nearest(linked, self.ZONES)

    def test_the_own_zone_is_preferred_then_the_own_region(self) -> None:
        self.assertEqual(self.nearest("hall-b", "s1", "n1", "n2"), "n2")
        self.assertEqual(self.nearest("hall-b", "s1", "n1"), "n1")
        self.assertEqual(self.nearest("hall-b", "s1"), "s1")
        self.assertEqual(self.nearest("hall-b"), "")

    def test_gateways_are_distributed_over_equally_near_nodes(self) -> None:
        zones = {f"n{number}": "hall-a" for number in range(4)}
        choices = {
            RelayChoice(f"front-{number}", "hall-a", self.REGIONS).nearest(zones, zones)
            for number in range(40)
        }
        self.assertEqual(choices, set(zones))
