"""A pool with its host: changes of the view, conclusions of calls, and classes added with routes."""

from __future__ import annotations

import unittest
from collections.abc import Sequence
from random import Random

from attrs import evolve
from placement_stage import MS, SECOND, ZONES, Loop, a_configuration, a_platform, route, traits

from brackenladder.core.call import Attempt, Call, Done, Failure, Probed
from brackenladder.core.clock import Clock
from brackenladder.core.roster import number_of
from brackenladder.delivery.view import SystemView
from brackenladder.interface import Outcome
from brackenladder.placement.pool import PoolCall, ServicePool
from brackenladder.placement.traits import CallTraits
from brackenladder.prefix_cache.announcer import PrefixAnnouncer
from brackenladder.registry.records import ServerRecord, ServerState


class ManualClock(Clock):
    def __init__(self) -> None:
        self.at = 100 * SECOND

    def now(self) -> int:
        return self.at


class OpenAttempt:
    def __init__(self, server: int, done: Done) -> None:
        self.server = server
        self.done = done
        self.timeout = 0.0

    def start(self, timeout: float) -> None:
        self.timeout = timeout

    def stop(self, outcome: Outcome) -> None:
        self.done(outcome, None, ())


class RecordingUpstream:
    def __init__(self) -> None:
        self.attempts: list[OpenAttempt] = []

    def attempt(self, server: int, call: Call, expires: int, done: Done) -> Attempt | None:
        self.attempts.append(OpenAttempt(server, done))
        return self.attempts[-1]

    def probe(self, server: int, done: Probed) -> None:
        raise AssertionError("no probes")

    def close_idle(self, server: int) -> None:
        raise AssertionError("no closes")


class RecordingCall(PoolCall):
    def __init__(self, of: CallTraits, left: int = 5 * SECOND) -> None:
        super().__init__(of, left)
        self.answers: list[object] = []
        self.refusals: list[int] = []
        self.failures: list[Failure] = []

    def served(self, answer: object) -> None:
        self.answers.append(answer)

    def refused(self, retry_after: int) -> None:
        self.refusals.append(retry_after)

    def failed(self, why: Failure) -> None:
        self.failures.append(why)


def a_server(name: str, zone: str, **changes: object) -> ServerRecord:
    record = ServerRecord(name, "llm", f"{name}:80", zone, 64, ServerState.READY, 1)
    return evolve(record, **changes)  # type: ignore[arg-type]


class PoolTestCase(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.view = SystemView()
        self.upstream = RecordingUpstream()
        self.lines: list[str] = []
        self.view.set_catalog(1, a_configuration(), frozenset())
        self.view.set_gateways(7)
        self.tell([a_server("a", "north-1"), a_server("b", "north-1"), a_server("c", "south-1")])
        self.pool = self.new_pool()
        self.view.subscribe(lambda change: self.pool.refresh())

    def new_pool(self) -> ServicePool:
        return ServicePool(
            "llm",
            self.view,
            a_platform(),
            self.upstream,
            Loop(),  # type: ignore[arg-type]
            self.clock,
            Random(1),
            PrefixAnnouncer(lambda: None),
            self.lines.append,
        )

    def tearDown(self) -> None:
        self.assertEqual(self.lines, [])

    def tell(self, records: Sequence[ServerRecord]) -> None:
        self.view.merge_servers(self.clock.at, records)

    def take(self, of: CallTraits | None = None) -> RecordingCall:
        call = RecordingCall(of or traits())
        self.pool.take(call)
        return call

    def answer(self, call: RecordingCall) -> None:
        """Reports the first event of the latest attempt and the end of its stream."""
        self.clock.at += 40 * MS
        self.upstream.attempts[-1].done(Outcome.OK, "answer", ())
        self.pool.stream_ended(call)

    def used(self, count: int = 40) -> set[str]:
        """The servers that `count` calls were sent to."""
        found = set()
        for _ in range(count):
            call = self.take()
            if call.refusals:
                continue
            record = self.pool.record(call.number_of_server)
            assert record is not None
            found.add(record.id)
            self.answer(call)
        return found


class ServicePoolTest(PoolTestCase):
    def test_a_served_call_leaves_no_state(self) -> None:
        call = self.take()
        self.assertEqual(call.number_of_server, self.upstream.attempts[0].server)
        self.assertEqual(self.upstream.attempts[0].timeout, 5.0)
        self.answer(call)
        self.assertEqual(call.answers, ["answer"])
        self.assertEqual(self.pool.host.calls, {})
        self.assertEqual(self.pool.balancer.jobs, {})
        self.assertEqual(self.pool.balancer.costs.loads.streams, 0)

    def test_the_number_of_gateways_is_passed_to_the_balancer(self) -> None:
        self.assertEqual(self.pool.balancer.settings.instances, 7)
        self.view.set_gateways(9)
        self.assertEqual(self.pool.balancer.settings.instances, 9)
        self.assertEqual(self.pool.host.settings.instances, 9)

    def test_whether_the_number_of_gateways_is_known_is_passed_on(self) -> None:
        self.assertTrue(self.pool.site.gateways_known)
        self.view = SystemView()
        pool = self.new_pool()
        self.assertFalse(pool.site.gateways_known)
        self.view.set_gateways(3, known=False)
        pool.refresh()
        self.assertFalse(pool.site.gateways_known)
        self.view.set_gateways(3)
        pool.refresh()
        self.assertTrue(pool.site.gateways_known)

    def test_the_own_region_serves(self) -> None:
        self.assertEqual(self.used(), {"a", "b"})

    def test_a_draining_server_gets_no_new_calls_but_stays_known(self) -> None:
        self.tell([a_server("a", "north-1", state=ServerState.DRAINING, seq=2)])
        self.assertEqual(self.used(), {"b"})
        self.assertIsNotNone(self.pool.record(number_of("a")))

    def test_servers_of_other_services_are_not_used(self) -> None:
        self.tell([a_server("x", "north-1", service="other")])
        self.assertNotIn("x", self.used())

    def test_an_evacuated_zone_gets_no_calls(self) -> None:
        self.view.set_catalog(2, self.view.configuration, frozenset(("north-1",)))
        self.assertEqual(self.used(), {"c"})

    def test_after_an_evacuation_servers_count_as_cold_until_they_have_reported(self) -> None:
        self.view.set_catalog(2, self.view.configuration, frozenset(("north-1",)))
        self.view.set_catalog(3, self.view.configuration, frozenset())
        self.assertGreater(self.pool.cold_until("a"), self.clock.at)
        self.assertEqual(self.pool.cold_until("c"), 0)
        self.clock.at += 4 * SECOND
        self.assertLess(self.pool.cold_until("a"), self.clock.at)

    def test_a_call_is_refused_outside_its_home_regions(self) -> None:
        homed = traits(of=route(homes=("isle",)))
        self.assertEqual(len(self.take(homed).refusals), 1)

    def test_the_timeout_of_the_route_is_respected(self) -> None:
        self.take(traits(of=route(timeout_ms=1500)))
        self.assertEqual(self.upstream.attempts[-1].timeout, 1.5)

    def test_classes_are_added_with_their_first_request(self) -> None:
        for timeout in (1000, 2000, 3000, 2000):
            self.answer(self.take(traits(of=route(timeout_ms=timeout))))
        self.assertEqual(len(self.pool.balancer.settings.classes), 4)  # one per timeout, and the initial one
        self.assertIs(self.pool.host.settings, self.pool.balancer.settings)

    def test_the_slot_of_a_client_that_left_is_released(self) -> None:
        call = self.take()
        self.pool.host.client_left(call)
        self.assertEqual(self.pool.host.calls, {})
        self.assertEqual(self.pool.balancer.jobs, {})
        self.assertEqual(self.pool.balancer.costs.loads.streams, 0)

    def test_the_cold_share_follows_the_configuration(self) -> None:
        self.assertIsNotNone(self.pool.cold.bound)
        self.view.set_catalog(2, a_configuration(2, cold_per_s=0.0), frozenset())
        self.assertIsNone(self.pool.cold.bound)

    def test_a_cold_server_gets_few_calls(self) -> None:
        cold = [a_server(name, "north-1", cold_for=3 * SECOND, seq=2) for name in ("a", "b")]
        self.tell(cold)
        numbers = {number_of(record.id) for record in cold}
        sent = 0
        for _ in range(40):  # within two seconds; each server may get about two calls a second
            call = self.take()
            sent += call.number_of_server in numbers
            self.answer(call)
        self.assertLessEqual(sent, 2 * 4)

    def test_a_pool_updated_by_changes_equals_a_new_one(self) -> None:
        random = Random(5)
        zones = ("north-1", "north-2", "south-1")
        for seq in range(2, 300):
            name = f"s{random.randrange(12)}-{seq // 60}"
            state = random.choice(
                [ServerState.READY, ServerState.READY, ServerState.DRAINING, ServerState.GONE]
            )
            service = random.choice(["llm", "llm", "other"])
            self.tell([a_server(name, random.choice(zones), state=state, seq=seq, service=service)])
            if seq % 40 == 0:
                evacuated = frozenset(random.sample(zones, 1)) if seq % 80 else frozenset()
                self.view.set_catalog(seq, self.view.configuration, evacuated)
        fresh = self.new_pool()
        self.assertEqual(self.pool.listed, fresh.listed)
        self.assertEqual(self.pool.records, fresh.records)
        self.assertEqual(self.pool.site.locations, fresh.site.locations)
        listed = {number for number, server in self.pool.balancer.servers.items() if server.in_list}
        self.assertEqual(listed, set(fresh.listed))
        self.assertEqual(set(self.pool.site.locations), set(fresh.listed))

    def test_changes_of_other_services_are_ignored(self) -> None:
        seen = self.pool.read_version
        self.tell([a_server("x", "north-1", service="other")])
        self.assertEqual(self.pool.read_version, seen)

    def test_an_unchanged_view_creates_no_new_list(self) -> None:
        before = self.pool.listed
        self.pool.refresh()
        self.assertIs(self.pool.listed, before)

    def test_a_closed_pool_ignores_changes(self) -> None:
        self.pool.close()
        self.view.set_catalog(2, self.view.configuration, frozenset(ZONES))
        self.assertTrue(self.pool.listed)


if __name__ == "__main__":
    unittest.main()
