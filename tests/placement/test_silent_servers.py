"""The estimate of the time until a first event, suspected servers, and early timeouts for retries."""

from __future__ import annotations

import unittest

from placement_stage import MS, SECOND, Sent, Stage, route, servers_in, traits

from brackenladder.core.roster import number_of
from brackenladder.interface import Outcome
from brackenladder.placement.parameters import PlacementParameters
from brackenladder.placement.unresponsive import (
    LATE_WEIGHT,
    LEAST_SAMPLES,
    MAX_SUSPECTED,
    SUSPICION_TIME,
    UNANSWERED_FACTOR,
    UNANSWERED_WEIGHT,
    FirstEventTime,
    SuspectedServers,
)
from brackenladder.prefix_cache.messages import PrefixNotice

NORTH = servers_in("north-1", 4)
LATE = PrefixNotice(number_of("north-1-server-0"), unanswered_weight=LATE_WEIGHT)
SILENT = PrefixNotice(number_of("north-1-server-0"), unanswered_weight=UNANSWERED_WEIGHT)
SAFE = traits(of=route(resumable=True, max_attempts=2), idempotent=True)


def stage() -> Stage:
    """A gateway with four servers and enough answers for the estimate."""
    parameters = PlacementParameters(doubt_weight=3, quick_retry=True)
    found = Stage(NORTH, gateways=3, parameters=parameters)
    for _ in range(2 * LEAST_SAMPLES):
        found.serve(latency=60 * MS)
    return found


class FirstEventTimeTest(unittest.TestCase):
    def test_the_estimate_needs_enough_answers(self) -> None:
        time = FirstEventTime()
        for _ in range(LEAST_SAMPLES - 1):
            time.add(50 * MS)
        self.assertFalse(time.known)
        time.add(50 * MS)
        self.assertTrue(time.known)

    def test_the_estimate_covers_variation_and_follows_changes(self) -> None:
        time = FirstEventTime()
        for number in range(200):
            time.add((40 + 20 * (number % 3)) * MS)
        self.assertGreater(time.longest, 80 * MS)
        self.assertLess(time.longest, 200 * MS)
        for _ in range(30):
            time.add(400 * MS)
        self.assertGreater(time.longest, 390 * MS)

    def test_an_answer_faster_than_expected_counts_as_zero(self) -> None:
        time = FirstEventTime()
        for _ in range(LEAST_SAMPLES):
            time.add(-90 * MS)
        self.assertEqual(time.longest, 0)


class SuspectedServersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.suspicions = SuspectedServers()

    def test_reports_add_up_by_their_weight(self) -> None:
        self.suspicions.record_report(SECOND, 1, UNANSWERED_WEIGHT)
        self.suspicions.record_report(SECOND, 2, LATE_WEIGHT)
        self.suspicions.record_report(SECOND + 1, 2, LATE_WEIGHT)
        self.assertEqual(self.suspicions.suspected(SECOND + 1, 3), frozenset())
        self.suspicions.record_report(SECOND + 1, 1, LATE_WEIGHT)
        self.assertEqual(self.suspicions.suspected(SECOND + 1, 3), frozenset({1}))

    def test_a_suspicion_expires(self) -> None:
        self.suspicions.record_report(SECOND, 1, 3)
        self.assertEqual(self.suspicions.suspected(SECOND + SUSPICION_TIME - 1, 3), frozenset({1}))
        self.assertEqual(self.suspicions.suspected(SECOND + SUSPICION_TIME, 3), frozenset())


class SilentServerTest(unittest.TestCase):
    def test_servers_reported_by_other_gateways_are_avoided(self) -> None:
        gateway = stage()
        gateway.module.receive_prefix_notices(gateway.now, [SILENT, LATE])
        for _ in range(40):
            self.assertNotEqual(gateway.serve(latency=60 * MS).server, "north-1-server-0")
            gateway.now -= 60 * MS

    def test_one_answer_does_not_end_the_suspicion(self) -> None:
        gateway = stage()
        sent = gateway.send()
        report = PrefixNotice(number_of(sent.server), unanswered_weight=3)
        gateway.module.receive_prefix_notices(gateway.now, [report])
        gateway.end(sent)
        self.assertNotIn(sent.server, {gateway.send().server for _ in range(40)})

    def test_a_single_report_changes_nothing(self) -> None:
        gateway = stage()
        gateway.module.receive_prefix_notices(gateway.now, [SILENT])
        self.assertIn("north-1-server-0", {gateway.send().server for _ in range(40)})

    def test_if_most_servers_are_suspected_all_are_used(self) -> None:
        gateway = stage()
        silent = list(NORTH)[: int(MAX_SUSPECTED * len(NORTH)) + 1]
        reports = [PrefixNotice(number_of(server), unanswered_weight=3) for server in silent]
        gateway.module.receive_prefix_notices(gateway.now, reports)
        self.assertTrue(set(silent) & {gateway.send().server for _ in range(40)})

    def test_an_unanswered_call_is_reported_once(self) -> None:
        gateway = stage()
        sent = gateway.send()
        gateway.announcer.take()
        placed = gateway.module.in_flight.attempts[sent.request]
        self.assertEqual(
            placed.unanswered_at - gateway.now, UNANSWERED_FACTOR * (placed.overdue_at - gateway.now)
        )
        gateway.now = placed.unanswered_at
        gateway.send()
        gateway.send()
        message = gateway.announcer.take()
        assert message is not None
        self.assertEqual(
            [one.server for one in message.notices if one.unanswered_weight], [number_of(sent.server)]
        )

    def test_a_connect_without_an_answer_is_reported(self) -> None:
        gateway = stage()
        sent = gateway.send()
        gateway.now += 500 * MS
        gateway.end(sent, Outcome.CONNECT_FAILED, latency=500 * MS)
        message = gateway.announcer.take()
        assert message is not None
        self.assertIn(
            PrefixNotice(number_of(sent.server), unanswered_weight=UNANSWERED_WEIGHT), message.notices
        )


class QuickRetryTest(unittest.TestCase):
    def test_an_attempt_times_out_when_overdue_but_not_before_half_of_the_aim(self) -> None:
        gateway = stage()
        sent = gateway.ask(SAFE)
        assert isinstance(sent, Sent)
        self.assertEqual(sent.timeout, 400 * MS)

    def test_the_retry_gets_all_the_time_left(self) -> None:
        gateway = stage()
        sent = gateway.ask(SAFE)
        assert isinstance(sent, Sent)
        gateway.now += sent.timeout
        again = gateway.end(sent, Outcome.TIMEOUT, latency=sent.timeout)
        assert isinstance(again, Sent)
        self.assertNotEqual(again.server, sent.server)
        self.assertEqual(again.timeout, 5 * SECOND - sent.timeout)

    def test_a_call_that_cannot_be_retried_keeps_its_timeout(self) -> None:
        self.assertEqual(stage().send().timeout, 5 * SECOND)

    def test_before_any_answer_an_attempt_gets_half_of_the_time(self) -> None:
        fresh = Stage(NORTH, parameters=PlacementParameters(quick_retry=True))
        sent = fresh.ask(SAFE)
        assert isinstance(sent, Sent)
        self.assertEqual(sent.timeout, 5 * SECOND // 2)
