"""Sums of what placements expected, and what late first events are put down to."""

from __future__ import annotations

import unittest

from placement_stage import MS, Stage, servers_in, traits

from brackenladder.gateway.metrics import metrics_text
from brackenladder.interface import Outcome
from brackenladder.invariants import Invariant
from brackenladder.placement.decision_counters import (
    MOST_TARGETS,
    DecisionCounters,
    DecisionSums,
    LateCause,
)
from brackenladder.placement.load import Placed


def placed(target: int = 800 * MS, reading: int = 0, queue: int = 0, way: int = 0) -> Placed:
    return Placed(
        request=1,
        server=1,
        chain=(),
        unread=0,
        tokens=0,
        output_tokens=0,
        streams=True,
        reading_time=reading,
        round_trip=way,
        target=target,
        expected_queue=queue,
    )


class DecisionCountersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.counters = DecisionCounters()

    def sums(self) -> DecisionSums:
        ((_, sums),) = self.counters.items()
        return sums

    def test_in_time_nothing_is_late(self) -> None:
        self.counters.answered(placed(reading=100 * MS, round_trip=2 * MS), 300 * MS)
        self.assertEqual((self.sums().calls, sum(self.sums().late.values())), (1, 0))
        self.assertEqual((self.sums().reading, self.sums().first_event), (100 * MS, 300 * MS))

    def test_late_ones_are_put_down_to_their_largest_part(self) -> None:
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

    def test_its_own_memory_is_bounded(self) -> None:
        for target in range(1, 3 * MOST_TARGETS):
            self.counters.answered(placed(target=target * MS), 1)
        self.assertEqual(len(list(self.counters.items())), MOST_TARGETS)

    def test_a_gateways_module_counts_each_attempt_once(self) -> None:
        stage = Stage(servers_in("north-1", 4))
        stage.serve(traits("s"))
        sent = stage.send(traits("s"))
        stage.end(sent, Outcome.RESET)
        ((target, sums),) = stage.module.in_flight.counters.items()
        self.assertEqual((target, sums.calls), (800 * MS, 2))
        self.assertEqual(sums.late[LateCause.UNANSWERED], 1)

    def test_the_figures_as_text(self) -> None:
        self.counters.answered(placed(reading=700 * MS, round_trip=2 * MS), 900 * MS)
        text = metrics_text(iter([("llm", self.counters)]), {Invariant.SERVER_KEEPS_HOMES: 2})
        self.assertIn('placement_calls_total{service="llm",target_ms="800"} 1\n', text)
        self.assertIn('placement_seconds_total{service="llm",target_ms="800",part="reading"} 0.700\n', text)
        self.assertIn('placement_late_total{service="llm",target_ms="800",cause="reading"} 1\n', text)
        self.assertIn('invariant_violations_total{invariant="server-keeps-homes"} 2\n', text)
        self.assertIn('invariant_violations_total{invariant="call-ends-in-time"} 0\n', text)
        self.assertTrue(text.endswith("\n"))
