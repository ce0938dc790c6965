"""Classes that are added while a Balancer runs."""

from __future__ import annotations

import unittest
from dataclasses import replace

from placement_stage import FIRST, SECOND, RecordingActions, route, traits

from brackenladder.interface import Effect, ListKind, Outcome, ServerEntry, Settings
from brackenladder.placement.classes import MOST_CLASSES, CallShape, ClassTable, add_class, shape_of
from brackenladder.policy.balancer import Balancer

SHAPES = [
    CallShape(idempotent=bool(n % 2), aim=(n + 1) * 300_000, timeout=(n + 4) * SECOND, priority=n)
    for n in range(3)
]


def a_balancer(classes: list[CallShape]) -> Balancer:
    actions = RecordingActions({n: str(n) for n in range(1, 6)})
    settings = Settings(classes=tuple([shape.settings() for shape in classes]), max_attempts=3)
    balancer = Balancer(settings, 1, actions)
    balancer.start(0)
    balancer.server_list(0, ListKind.FULL, [ServerEntry(n) for n in range(1, 6)])
    return balancer


def play(balancer: Balancer) -> list[object]:
    """Requests of all classes, through passes and windows."""
    now = 0
    actions = balancer.actions
    assert isinstance(actions, RecordingActions)
    for request in range(1, 900):
        now += 10_000
        before = len(actions.asked)
        balancer.request(now, request, request % 4, 0, 5 * SECOND, False)
        for asked in actions.asked[before:]:
            if request in balancer.requests:
                out = balancer.requests[request].out
                assert out is not None
                outcome = Outcome.RESET if request % 17 == 0 else Outcome.OK
                balancer.outcome(now, request, 0, out.id, outcome, 9_000 + request * 400, True, ())
            assert asked is not None
    return [*actions.asked, balancer.stats(), balancer.mean_rtt, balancer.controller.target, balancer.rank]


class ClassGrowthTest(unittest.TestCase):
    def test_a_grown_balancer_is_as_one_told_of_all_at_its_start(self) -> None:
        grown = a_balancer([FIRST])
        for shape in SHAPES:
            add_class(grown, shape.settings())
        told = a_balancer([FIRST, *SHAPES])
        self.assertEqual(grown.settings, told.settings)
        self.assertEqual(play(grown), play(told))

    def test_a_class_may_come_in_the_midst(self) -> None:
        balancer = a_balancer([FIRST])
        play(balancer)
        for shape in SHAPES:
            add_class(balancer, shape.settings())
        play(balancer)
        number = len(SHAPES) + 1
        for values in (balancer.mean_rtt, balancer.rtt, balancer.rank, balancer.controller.min_rtt):
            self.assertEqual(len(values), number)
        self.assertEqual(len(balancer.controller.pass_samples), number)


class ClassTableTest(unittest.TestCase):
    def test_one_class_for_each_shape(self) -> None:
        table = ClassTable(FIRST)
        shape = shape_of(traits())
        self.assertIsNone(table.find(shape))
        self.assertEqual(table.add(shape), 1)
        self.assertEqual(table.find(shape_of(traits(of=route(name="another")))), 1)
        self.assertIsNone(table.find(shape_of(traits(of=route(target_latency_ms=801)))))
        self.assertIsNone(table.find(shape_of(traits(idempotent=True))))

    def test_beyond_the_most_the_most_similar_one_is_used(self) -> None:
        table = ClassTable(FIRST)
        for number in range(1, MOST_CLASSES):
            table.add(CallShape(False, number * 10_000, SECOND, 1))
        self.assertEqual(table.find(CallShape(False, 123_456, SECOND, 1)), 12)
        self.assertIsNone(table.find(CallShape(True, 123_456, SECOND, 1)))

    def test_what_may_be_repeated_and_what_is_urgent(self) -> None:
        self.assertEqual(shape_of(traits(idempotent=True)).settings().effect, Effect.SAFE)
        self.assertEqual(shape_of(traits()).settings().effect, Effect.UNSAFE)
        urgent = replace(shape_of(traits(of=route(priority=0))).settings())
        patient = shape_of(traits(of=route(priority=3))).settings()
        self.assertGreater(urgent.worth, patient.worth)


if __name__ == "__main__":
    unittest.main()
