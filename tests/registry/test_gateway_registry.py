"""The gateway registry: which gateways clients may use, and which count as alive."""

from __future__ import annotations

import unittest

from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st
from registry.registry_samples import SECOND, gateway

from brackenladder.registry.gateways import (
    LINKED_OFFER_TIMEOUT,
    LIVENESS_WINDOW,
    OFFER_TIMEOUT,
    SETTLE_TIME,
    SUCCESSION_TIMEOUT,
    GatewayRecord,
    GatewayRegistry,
    GatewayState,
    HeardGateway,
)

AT = 100 * SECOND


class PresenceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.registry = GatewayRegistry()

    def test_only_ready_gateways_are_offered(self) -> None:
        self.registry.record_presence(AT, gateway("a", state=GatewayState.STARTING))
        self.registry.record_presence(AT, gateway("b", state=GatewayState.READY))
        self.registry.record_presence(AT, gateway("c", state=GatewayState.LEAVING))
        self.assertEqual([one.node for one in self.registry.ready(AT)], ["b"])

    def test_a_silent_gateway_is_not_offered(self) -> None:
        self.registry.record_presence(AT, gateway())
        self.registry.merge(AT + SECOND // 2, [HeardGateway(gateway(), age=SECOND // 2)])
        self.assertEqual(len(self.registry.ready(AT + LINKED_OFFER_TIMEOUT - 1)), 1)
        self.assertEqual(self.registry.ready(AT + LINKED_OFFER_TIMEOUT), ())

    def test_pings_of_its_link_keep_it_offered(self) -> None:
        self.registry.record_presence(AT, gateway())
        self.registry.record_link_activity(gateway().node, AT + SECOND)
        self.registry.record_link_activity(gateway().node, AT + SECOND // 2)
        self.assertEqual(len(self.registry.ready(AT + SECOND + LINKED_OFFER_TIMEOUT - 1)), 1)
        self.assertEqual(self.registry.ready(AT + SECOND + LINKED_OFFER_TIMEOUT), ())

    def test_unchanged_presence_is_forwarded_only_with_tell_peers(self) -> None:
        self.registry.record_presence(AT, gateway(seq=1), tell_peers=False)
        self.assertEqual(len(self.registry.take_local_changes(AT)), 1)
        self.registry.record_presence(AT, gateway(seq=2), tell_peers=False)
        self.assertEqual(self.registry.take_local_presences(AT), ())
        self.registry.record_presence(AT, gateway(seq=3))
        (heard,) = self.registry.take_local_presences(AT)
        self.assertEqual(heard.gateway.seq, 3)

    def test_a_change_is_forwarded_even_without_tell_peers(self) -> None:
        self.registry.record_presence(AT, gateway(seq=1, state=GatewayState.READY), tell_peers=False)
        self.registry.take_local_changes(AT)
        self.registry.record_presence(AT, gateway(seq=2, state=GatewayState.LEAVING), tell_peers=False)
        self.assertEqual(len(self.registry.take_local_changes(AT)), 1)

    def test_link_activity_is_ignored_for_gateways_not_heard_here(self) -> None:
        self.registry.record_link_activity(gateway().node, AT)
        self.assertEqual(self.registry.ready(AT), ())
        self.registry.merge(AT, [HeardGateway(gateway(), age=0)])
        self.registry.record_link_activity(gateway().node, AT + 9 * SECOND)
        self.assertEqual(self.registry.ready(AT + OFFER_TIMEOUT), ())

    def test_a_gateway_heard_only_by_peers_stays_offered_between_their_messages(self) -> None:
        self.registry.record_presence(AT, gateway(seq=1))
        self.registry.merge(AT + 3 * SECOND, [HeardGateway(gateway(seq=4), age=SECOND // 2)])
        last = AT + 3 * SECOND - SECOND // 2
        self.assertEqual(len(self.registry.ready(last + OFFER_TIMEOUT - 1)), 1)
        self.assertEqual(self.registry.ready(last + OFFER_TIMEOUT), ())

    def test_a_leaving_gateway_is_not_offered(self) -> None:
        self.registry.record_presence(AT, gateway(seq=1))
        self.assertTrue(self.registry.record_presence(AT, gateway(seq=2, state=GatewayState.LEAVING)))
        self.assertEqual(self.registry.ready(AT), ())

    def test_a_reused_front_address_belongs_to_the_new_gateway_only(self) -> None:
        """The new machine may be in another region, so the old record would misdirect clients."""
        address = "10.0.0.1:8144"
        self.registry.record_presence(AT, evolve(gateway("a", region="north"), front_address=address))
        for seq, state in enumerate((GatewayState.STARTING, GatewayState.READY)):
            other = evolve(gateway("b", seq, state, region="east"), front_address=address)
            self.registry.record_presence(AT + SECOND // 2, other)
            nodes = [one.node for one in self.registry.ready(AT + SECOND // 2)]
            self.assertEqual(nodes, ["b"] if state is GatewayState.READY else [])

    def test_an_older_message_is_ignored(self) -> None:
        self.registry.record_presence(AT, gateway(seq=2, state=GatewayState.LEAVING))
        self.assertFalse(self.registry.record_presence(AT, gateway(seq=1)))
        self.assertEqual(self.registry.ready(AT), ())

    def test_a_new_incarnation_replaces_the_old_one(self) -> None:
        self.registry.record_presence(AT, gateway(seq=9, state=GatewayState.LEAVING))
        self.assertTrue(self.registry.record_presence(AT, gateway(seq=1, incarnation=2)))
        self.assertEqual(len(self.registry.ready(AT)), 1)

    def test_unchanged_presence_is_no_change(self) -> None:
        self.registry.record_presence(AT, gateway(seq=1))
        self.assertFalse(self.registry.record_presence(AT, gateway(seq=2)))

    def test_presence_from_a_peer_counts_from_when_the_peer_received_it(self) -> None:
        self.registry.merge(AT, [HeardGateway(gateway(), age=2 * SECOND)])
        self.assertEqual(len(self.registry.ready(AT)), 1)
        self.assertEqual(self.registry.ready(AT + SECOND), ())

    def test_a_pause_of_this_process_does_not_time_out_gateways(self) -> None:
        self.registry.record_presence(AT, gateway())
        self.registry.compensate_pause(AT + 10 * SECOND, gap=10 * SECOND)
        self.assertEqual(len(self.registry.ready(AT + 10 * SECOND)), 1)


class ClockStepTest(unittest.TestCase):
    """A gateway that restarts after its clock was set back has a lower incarnation than before."""

    def setUp(self) -> None:
        self.registry = GatewayRegistry()
        self.registry.record_presence(AT, gateway(seq=40, incarnation=9, state=GatewayState.LEAVING))

    def offered(self, now: int) -> list[int]:
        """The incarnations that clients may use."""
        return [one.incarnation for one in self.registry.ready(now)]

    def test_its_own_presence_holds_once_its_predecessor_was_silent(self) -> None:
        timeout_at = AT + SUCCESSION_TIMEOUT
        self.assertFalse(self.registry.record_presence(timeout_at - 1, gateway(seq=1, incarnation=2)))
        self.assertEqual(self.offered(timeout_at - 1), [])
        self.assertTrue(self.registry.record_presence(timeout_at, gateway(seq=2, incarnation=2)))
        self.assertEqual(self.offered(timeout_at), [2])

    def test_presence_from_peers_holds_once_its_predecessor_was_silent(self) -> None:
        heard_at = AT + SUCCESSION_TIMEOUT
        now = heard_at + SECOND // 2
        early = HeardGateway(gateway(seq=1, incarnation=2), age=now - heard_at + 1)
        self.assertFalse(self.registry.merge(now, [early]))
        self.assertTrue(self.registry.merge(now, [HeardGateway(gateway(incarnation=2), now - heard_at)]))
        self.assertEqual(self.offered(now), [2])

    def test_old_records_of_peers_do_not_bring_its_predecessor_back(self) -> None:
        now = AT + 2 * SECOND
        self.registry.record_presence(now, gateway(seq=1, incarnation=2))
        old = gateway(seq=41, incarnation=9, state=GatewayState.LEAVING)
        self.assertFalse(self.registry.merge(now, [HeardGateway(old, age=now - AT)]))
        self.assertEqual(self.offered(now), [2])

    def test_nodes_that_exchange_records_agree(self) -> None:
        other = GatewayRegistry()
        other.merge(AT, self.registry.list_living(AT))
        now = AT + 2 * SECOND
        self.registry.record_presence(now, gateway(seq=1, incarnation=2))
        self.registry.merge(now, other.list_living(now))
        other.merge(now, self.registry.list_living(now))
        self.assertEqual([one.incarnation for one in other.ready(now)], [2])
        self.assertEqual(self.offered(now), [2])

    def test_pings_on_its_link_do_not_keep_its_predecessor_alive(self) -> None:
        timeout_at = AT + SUCCESSION_TIMEOUT
        self.registry.record_presence(timeout_at - SECOND // 2, gateway(seq=1, incarnation=2))
        self.registry.record_link_activity(gateway().node, timeout_at - 1)
        self.assertTrue(self.registry.record_presence(timeout_at, gateway(seq=2, incarnation=2)))
        self.assertEqual(self.offered(timeout_at), [2])

    def test_an_older_message_of_the_same_process_is_always_ignored(self) -> None:
        self.assertFalse(self.registry.record_presence(AT + 5 * SECOND, gateway(seq=39, incarnation=9)))
        self.assertEqual(self.offered(AT + 5 * SECOND), [])


class LiveCountTest(unittest.TestCase):
    def setUp(self) -> None:
        self.registry = GatewayRegistry()

    def test_every_state_counts_within_the_liveness_window(self) -> None:
        self.registry.record_presence(AT, gateway("a", state=GatewayState.STARTING))
        self.registry.record_presence(AT + SECOND, gateway("b", state=GatewayState.LEAVING))
        self.assertEqual(self.registry.count_living(AT + SECOND), 2)
        self.assertEqual(self.registry.count_living(AT + LIVENESS_WINDOW), 1)
        self.assertEqual(self.registry.count_living(AT + LIVENESS_WINDOW + SECOND), 0)

    def test_incarnations_of_one_node_count_once(self) -> None:
        self.registry.record_presence(AT, gateway("a", incarnation=1))
        self.registry.record_presence(AT, gateway("a", incarnation=2))
        self.assertEqual(self.registry.count_living(AT), 1)

    def test_expired_gateways_are_removed(self) -> None:
        self.registry.record_presence(AT, gateway("a"))
        self.registry.remove_expired(AT + LIVENESS_WINDOW)
        self.assertEqual(self.registry.list_living(AT), ())


class SettledTest(unittest.TestCase):
    def test_a_node_that_just_started_waits_for_the_gateways(self) -> None:
        registry = GatewayRegistry()
        self.assertFalse(registry.settled(AT))
        registry.record_presence(AT, gateway())
        self.assertFalse(registry.settled(AT + SETTLE_TIME - 1))
        self.assertTrue(registry.settled(AT + SETTLE_TIME))

    def test_a_full_transfer_from_a_peer_ends_the_wait(self) -> None:
        registry = GatewayRegistry()
        registry.merge(AT, [HeardGateway(gateway(), 0)])
        self.assertFalse(registry.settled(AT))
        registry.merge(AT, [], full=True)
        self.assertTrue(registry.settled(AT))


class GatewayOrderTest(unittest.TestCase):
    @given(
        st.lists(
            st.builds(
                gateway,
                node=st.sampled_from("ab"),
                seq=st.integers(0, 5),
                incarnation=st.integers(1, 2),
                state=st.sampled_from(GatewayState),
            ),
            max_size=10,
        ),
        st.randoms(use_true_random=False),
    )
    def test_any_order_gives_the_same(self, records: list[GatewayRecord], random: object) -> None:
        shuffled = list(records)
        random.shuffle(shuffled)  # type: ignore[attr-defined]
        self.assertEqual(self._merged(records), self._merged(shuffled))

    def _merged(self, records: list[GatewayRecord]) -> set[GatewayRecord]:
        registry = GatewayRegistry()
        for record in records:
            registry.merge(AT, [HeardGateway(record, age=0)])
        return {one.gateway for one in registry.list_living(AT)}
