"""Counters of expected placement times, and the causes of late first events."""

from __future__ import annotations

import unittest

from placement_stage import MS, Stage, servers_in, traits

from brackenladder.gateway.metrics import metrics_text
from brackenladder.interface import Outcome
from brackenladder.invariants import Invariant
from brackenladder.placement.decision_counters import (
    MAX_TARGETS,
    DecisionCounters,
    DecisionSums,
    LateCause,
)
from brackenladder.placement.load import PlacedCall


def placed(target: int = 800 * MS, reading: int = 0, queue: int = 0, round_trip: int = 0) -> PlacedCall:
    return PlacedCall(
        request=1,
        server=1,
        chain=(),
        uncached_tokens=0,
        tokens=0,
        output_tokens=0,
        streaming=True,
        reading_time=reading,
        round_trip=round_trip,
        target=target,
        expected_queue=queue,
    )


class DecisionCountersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.counters = DecisionCounters()

    def sums(self) -> DecisionSums:
        ((_, sums),) = self.counters.items()
        return sums

    def test_a_first_event_in_time_is_not_late(self) -> None:
        self.counters.answered(placed(reading=100 * MS, round_trip=2 * MS), 300 * MS)
        self.assertEqual((self.sums().calls, sum(self.sums().late.values())), (1, 0))
        self.assertEqual((self.sums().reading, self.sums().first_event), (100 * MS, 300 * MS))

    def test_a_late_first_event_is_attributed_to_its_largest_part(self) -> None:
        cases = {
            LateCause.READING: placed(reading=700 * MS, queue=100 * MS),
            LateCause.EXPECTED_QUEUE: placed(reading=100 * MS, queue=700 * MS),
            LateCause.UNEXPECTED: placed(reading=100 * MS),
            LateCause.ROUND_TRIP: placed(round_trip=700 * MS),
        }
        for cause, call in cases.items():
            self.counters.answered(call, 900 * MS)
            self.assertEqual(self.sums().late[cause], 1, cause)

    def test_calls_without_a_first_event_are_counted(self) -> None:
        self.counters.unanswered(placed())
        self.assertEqual(self.sums().late[LateCause.UNANSWERED], 1)

    def test_the_number_of_targets_is_bounded(self) -> None:
        for target in range(1, 3 * MAX_TARGETS):
            self.counters.answered(placed(target=target * MS), 1)
        self.assertEqual(len(list(self.counters.items())), MAX_TARGETS)

    def test_the_balancer_counts_each_attempt_once(self) -> None:
        stage = Stage(servers_in("north-1", 4))
        stage.serve(traits("s"))
        sent = stage.send(traits("s"))
        stage.end(sent, Outcome.RESET)
        ((target, sums),) = stage.module.in_flight.counters.items()
        self.assertEqual((target, sums.calls), (800 * MS, 2))
        self.assertEqual(sums.late[LateCause.UNANSWERED], 1)

    def test_the_counters_are_exported_as_metrics(self) -> None:
        self.counters.answered(placed(reading=700 * MS, round_trip=2 * MS), 900 * MS)
        text = metrics_text(iter([("llm", self.counters)]), iter(()), {Invariant.SERVER_KEEPS_HOMES: 2})
        self.assertIn('placement_calls_total{service="llm",target_ms="800"} 1\n', text)
        self.assertIn('placement_seconds_total{service="llm",target_ms="800",part="reading"} 0.700\n', text)
        self.assertIn('placement_late_total{service="llm",target_ms="800",cause="reading"} 1\n', text)
        self.assertIn('invariant_violations_total{invariant="server-keeps-homes"} 2\n', text)
        self.assertIn('invariant_violations_total{invariant="call-ends-in-time"} 0\n', text)
        self.assertTrue(text.endswith("\n"))
