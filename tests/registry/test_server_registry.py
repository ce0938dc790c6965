"""The server registry: heartbeats, deregistration and timeouts, also after a restart or a pause."""

from __future__ import annotations

import unittest

from registry.registry_samples import MS, SECOND, SILENCE, deregistered, draining, expired, server

from brackenladder.registry.records import HeardServer, ServerState
from brackenladder.registry.registry import SETTLE_TIME, TOMBSTONE_LIFETIME, ServerRegistry

AT = 100 * SECOND


def settled_registry() -> ServerRegistry:
    """A registry that has been in touch with its peers for long enough to time out servers."""
    registry = ServerRegistry(SILENCE)
    registry.expire(AT - 10 * SECOND)
    return registry


def state_of(registry: ServerRegistry, server_id: str = "i-1", now: int = AT) -> ServerState | None:
    record = registry.get(now, server_id)
    return None if record is None else record.state


class HeartbeatTest(unittest.TestCase):
    def setUp(self) -> None:
        self.registry = settled_registry()

    def test_a_new_server_is_propagated(self) -> None:
        self.assertTrue(self.registry.heartbeat(AT, server()))
        self.assertEqual(self.registry.records(AT), (server(),))

    def test_an_unchanged_heartbeat_is_not_propagated(self) -> None:
        self.registry.heartbeat(AT, server(seq=1))
        version = self.registry.version
        self.assertFalse(self.registry.heartbeat(AT + SECOND, server(seq=2)))
        self.assertEqual(self.registry.version, version)

    def test_a_changed_state_or_address_is_propagated(self) -> None:
        self.registry.heartbeat(AT, server(seq=1))
        self.assertTrue(self.registry.heartbeat(AT, draining(seq=2)))
        self.assertTrue(self.registry.heartbeat(AT, server(seq=3, address="10.0.0.2:8080")))

    def test_an_older_heartbeat_is_ignored(self) -> None:
        self.registry.heartbeat(AT, draining(seq=5))
        self.assertFalse(self.registry.heartbeat(AT + SECOND, server(seq=4)))
        self.assertEqual(state_of(self.registry), ServerState.DRAINING)
        self.assertEqual(self.registry.age(AT + SECOND, "i-1"), SECOND)

    def test_cold_for_is_the_remaining_time(self) -> None:
        self.registry.heartbeat(AT, server(cold_for=3 * SECOND))
        self.assertEqual(self.registry.records(AT + SECOND)[0].cold_for, 2 * SECOND)
        self.assertEqual(self.registry.records(AT + 5 * SECOND)[0].cold_for, 0)
        self.assertEqual(self.registry.cold_until("i-1"), AT + 3 * SECOND)

    def test_a_cold_period_that_elapses_as_reported_is_no_change(self) -> None:
        self.registry.heartbeat(AT, server(seq=1, cold_for=3 * SECOND))
        self.assertFalse(
            self.registry.heartbeat(AT + SECOND + 20 * MS, server(seq=2, cold_for=2 * SECOND - 40 * MS))
        )

    def test_a_server_that_turns_cold_again_is_propagated(self) -> None:
        self.registry.heartbeat(AT, server(seq=1))
        self.assertTrue(self.registry.heartbeat(AT + SECOND, server(seq=2, cold_for=SECOND)))
        self.assertEqual(self.registry.cold_until("i-1"), AT + 2 * SECOND)

    def test_a_server_that_turns_warm_early_is_propagated(self) -> None:
        self.registry.heartbeat(AT, server(seq=1, cold_for=3 * SECOND))
        self.assertTrue(self.registry.heartbeat(AT + SECOND, server(seq=2)))
        self.assertLessEqual(self.registry.cold_until("i-1"), AT + SECOND)

    def test_the_announced_end_is_reported_as_remaining_time(self) -> None:
        self.registry.heartbeat(AT, server(seq=1))
        self.assertTrue(self.registry.heartbeat(AT, server(seq=2, remaining=5 * SECOND)))
        self.assertEqual(self.registry.records(AT + SECOND)[0].remaining, 4 * SECOND)
        self.assertEqual(self.registry.ends_at("i-1"), AT + 5 * SECOND)


class EndTest(unittest.TestCase):
    def setUp(self) -> None:
        self.registry = settled_registry()
        self.registry.heartbeat(AT, server(seq=5))

    def test_a_deregistered_server_is_gone_for_good(self) -> None:
        self.assertTrue(self.registry.deregister(AT, "i-1"))
        self.assertFalse(self.registry.heartbeat(AT, server(seq=9)))
        self.registry.merge(AT, [server(seq=10)])
        self.registry.merge_heartbeats(AT, [HeardServer("i-1", seq=11, age=0, changed_seq=5)])
        self.assertEqual(state_of(self.registry), ServerState.GONE)
        self.assertFalse(self.registry.deregister(AT, "i-1"))

    def test_an_unknown_server_can_deregister(self) -> None:
        self.assertTrue(self.registry.deregister(AT, "i-2"))
        self.registry.merge(AT, [server("i-2", seq=7)])
        self.assertEqual(state_of(self.registry, "i-2"), ServerState.GONE)

    def test_a_silent_server_times_out(self) -> None:
        self.assertEqual(self.registry.expire(AT + SILENCE), ())
        self.assertEqual(self.registry.expire(AT + SILENCE + 1), (expired(seq=5),))
        self.assertEqual(self.registry.expire(AT + SILENCE + 2), ())

    def test_a_later_heartbeat_revives_a_silent_server(self) -> None:
        self.registry.expire(AT + 5 * SECOND)
        self.assertFalse(self.registry.heartbeat(AT + 6 * SECOND, server(seq=5)))
        self.assertEqual(state_of(self.registry), ServerState.GONE)
        self.assertTrue(self.registry.heartbeat(AT + 6 * SECOND, server(seq=6)))
        self.assertEqual(state_of(self.registry), ServerState.READY)

    def test_a_timeout_covers_heartbeats_received_by_other_nodes(self) -> None:
        self.registry.merge_heartbeats(AT, [HeardServer("i-1", seq=8, age=0, changed_seq=7)])
        self.assertEqual(self.registry.expire(AT + 5 * SECOND), (expired(seq=8),))
        self.registry.merge(AT + 5 * SECOND, [server(seq=8)])
        self.assertEqual(state_of(self.registry), ServerState.GONE)

    def test_a_server_is_gone_once_its_announced_end_has_passed(self) -> None:
        self.registry.heartbeat(AT, server(seq=6, remaining=SECOND))
        self.assertEqual(self.registry.expire(AT + SECOND, in_touch=False), ())
        self.assertEqual(len(self.registry.expire(AT + 2 * SECOND, in_touch=False)), 1)

    def test_tombstones_are_removed_after_their_lifetime(self) -> None:
        self.registry.deregister(AT, "i-1")
        self.registry.expire(AT + TOMBSTONE_LIFETIME)
        self.assertEqual(state_of(self.registry), ServerState.GONE)
        self.registry.expire(AT + TOMBSTONE_LIFETIME + 1)
        self.assertEqual(self.registry.records(AT), ())

    def test_a_stale_record_of_a_removed_server_does_not_bring_it_back(self) -> None:
        other = ServerRegistry(SILENCE)
        self.assertEqual(other.merge(AT, [server(seq=5)], {"i-1": SILENCE + 1}), ())
        self.assertEqual(other.records(AT), ())


class TimeoutTest(unittest.TestCase):
    """A server times out only if no node has received its heartbeats."""

    def setUp(self) -> None:
        self.registry = settled_registry()
        self.registry.heartbeat(AT, server(seq=5))

    def test_a_node_out_of_touch_times_out_no_server(self) -> None:
        for second in range(60):
            self.assertEqual(self.registry.expire(AT + second * SECOND, in_touch=False), ())

    def test_after_a_partition_peers_have_time_to_report(self) -> None:
        self.registry.expire(AT + 10 * SECOND, in_touch=False)
        healed = AT + 20 * SECOND
        self.assertEqual(self.registry.expire(healed, in_touch=True), ())
        self.assertEqual(self.registry.expire(healed + SETTLE_TIME - 1), ())
        self.registry.merge_heartbeats(
            healed + SECOND, [HeardServer("i-1", seq=20, age=SECOND, changed_seq=5)]
        )
        self.assertEqual(self.registry.expire(healed + SETTLE_TIME), ())
        self.assertEqual(len(self.registry.expire(healed + SILENCE + 1)), 1)

    def test_a_node_that_just_started_waits_before_it_times_out_servers(self) -> None:
        registry = ServerRegistry(SILENCE)
        registry.merge(AT, [server()], {"i-1": SILENCE})
        self.assertEqual(registry.expire(AT + SECOND), ())
        self.assertEqual(registry.expire(AT + 2 * SECOND), ())
        self.assertEqual(len(registry.expire(AT + 3 * SECOND)), 1)

    def test_heartbeats_received_by_a_peer_count(self) -> None:
        for second in range(1, 30):
            now = AT + second * SECOND
            self.registry.merge_heartbeats(
                now, [HeardServer("i-1", seq=5 + second, age=300 * MS, changed_seq=5)]
            )
            self.assertEqual(self.registry.expire(now), ())

    def test_an_old_heartbeat_of_a_peer_counts_from_its_receipt(self) -> None:
        self.registry.merge_heartbeats(
            AT + 4 * SECOND, [HeardServer("i-1", seq=6, age=3 * SECOND, changed_seq=5)]
        )
        self.assertEqual(self.registry.age(AT + 4 * SECOND, "i-1"), 3 * SECOND)

    def test_a_paused_node_does_not_time_out_all_servers_when_it_resumes(self) -> None:
        resumed_at = AT + 30 * SECOND
        self.registry.compensate_pause(resumed_at, gap=30 * SECOND)
        self.assertEqual(self.registry.expire(resumed_at), ())
        self.assertEqual(self.registry.expire(resumed_at + SILENCE), ())
        self.assertEqual(len(self.registry.expire(resumed_at + SILENCE + 1)), 1)

    def test_a_resumed_node_hears_its_peers_before_it_times_out_servers(self) -> None:
        resumed_at = AT + 34 * SECOND
        self.registry.compensate_pause(resumed_at, gap=30 * SECOND)
        self.assertEqual(self.registry.age(resumed_at, "i-1"), 4 * SECOND)
        self.assertEqual(self.registry.expire(resumed_at), ())
        self.assertEqual(self.registry.expire(resumed_at + SETTLE_TIME - 1), ())
        self.assertEqual(len(self.registry.expire(resumed_at + SETTLE_TIME)), 1)

    def test_a_pause_does_not_put_a_heartbeat_into_the_future(self) -> None:
        self.registry.compensate_pause(AT + SECOND, gap=30 * SECOND)
        self.assertEqual(self.registry.age(AT + SECOND, "i-1"), 0)


class PeerHeartbeatTest(unittest.TestCase):
    def setUp(self) -> None:
        self.registry = settled_registry()
        self.registry.heartbeat(AT, server(seq=5))

    def test_a_confirmed_record_takes_the_newer_seq(self) -> None:
        self.assertEqual(
            self.registry.merge_heartbeats(AT, [HeardServer("i-1", seq=9, age=0, changed_seq=4)]), ()
        )
        self.assertEqual(self.registry.records(AT), (server(seq=9),))

    def test_an_unknown_record_is_requested_and_the_old_one_keeps_its_seq(self) -> None:
        wanted = self.registry.merge_heartbeats(AT, [HeardServer("i-1", seq=9, age=0, changed_seq=7)])
        self.assertEqual(wanted, ("i-1",))
        self.assertEqual(self.registry.records(AT), (server(seq=5),))
        self.registry.merge(AT, [draining(seq=7)])
        self.assertEqual(state_of(self.registry), ServerState.DRAINING)

    def test_an_unknown_server_is_requested(self) -> None:
        self.assertEqual(self.registry.merge_heartbeats(AT, [HeardServer("i-2", 1, 0, 1)]), ("i-2",))

    def test_a_newer_heartbeat_at_a_peer_revives(self) -> None:
        self.registry.expire(AT + 5 * SECOND)
        version = self.registry.version
        self.registry.merge_heartbeats(AT + 5 * SECOND, [HeardServer("i-1", seq=6, age=0, changed_seq=5)])
        self.assertEqual(
            self.registry.changed_since(AT + 5 * SECOND, version),
            (server(seq=6),),
        )

    def test_a_tombstone_of_a_node_with_fewer_heartbeats_is_refuted(self) -> None:
        self.registry.merge_heartbeats(AT, [HeardServer("i-1", seq=9, age=0, changed_seq=4)])
        self.assertEqual(self.registry.merge(AT, [expired(seq=7)]), (server(seq=9),))
        self.assertEqual(self.registry.newer_records(AT, [expired(seq=7)]), (server(seq=9),))

    def test_a_tombstone_of_a_node_with_the_same_heartbeats_holds(self) -> None:
        self.assertEqual(self.registry.merge(AT, [expired(seq=5)]), (expired(seq=5),))
        self.assertEqual(self.registry.newer_records(AT, [expired(seq=5)]), ())

    def test_records_older_elsewhere_are_returned(self) -> None:
        self.registry.heartbeat(AT, draining(seq=6))
        self.assertEqual(self.registry.newer_records(AT, [server(seq=5)]), (draining(seq=6),))
        self.assertEqual(self.registry.newer_records(AT, [draining(seq=5)]), ())
        self.registry.deregister(AT, "i-1")
        self.assertEqual(self.registry.newer_records(AT, [server(seq=9)]), (deregistered(seq=6),))


class ChangesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.registry = settled_registry()
        for name in ("i-1", "i-2", "i-3"):
            self.registry.heartbeat(AT, server(name))

    def test_only_changes_since_a_version_are_returned(self) -> None:
        version = self.registry.version
        self.registry.heartbeat(AT, draining("i-2", seq=2))
        self.registry.heartbeat(AT, server("i-3", seq=2))
        self.assertEqual(self.registry.changed_since(AT, version), (draining("i-2", seq=2),))
        self.assertEqual(self.registry.changed_since(AT, self.registry.version), ())

    def test_a_full_list_is_needed_once_a_tombstone_is_removed(self) -> None:
        version = self.registry.version
        self.registry.deregister(AT, "i-2")
        end = self.registry.version
        self.registry.expire(AT + TOMBSTONE_LIFETIME + 1, in_touch=False)
        self.assertIsNone(self.registry.changed_since(AT, version))
        self.assertEqual(self.registry.changed_since(AT, end), ())

    def test_local_updates_exclude_records_of_peers(self) -> None:
        self.registry.take_local_updates()
        self.registry.heartbeat(AT, draining("i-2", seq=2))
        self.registry.heartbeat(AT, server("i-3", seq=2))
        self.registry.merge(AT, [server("i-4")])
        updates = self.registry.take_local_updates()
        self.assertEqual((updates.changed, updates.heartbeats), (("i-2",), ("i-3",)))
        again = self.registry.take_local_updates()
        self.assertEqual((again.changed, again.heartbeats), ((), ()))


class RestartTest(unittest.TestCase):
    def test_a_new_registry_reports_no_unknown_server(self) -> None:
        registry = ServerRegistry(SILENCE)
        self.assertEqual(registry.records(AT), ())
        self.assertEqual(registry.expire(AT), ())
        self.assertIsNone(registry.get(AT, "i-1"))
