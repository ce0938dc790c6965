"""Request classes that are added to a running Balancer."""

from __future__ import annotations

import unittest
from dataclasses import replace

from placement_stage import FIRST, SECOND, RecordingActions, route, traits

from brackenladder.interface import Effect, ListKind, Outcome, ServerEntry, Settings
from brackenladder.placement.classes import MAX_CLASSES, CallShape, ClassTable, add_class, shape_of
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
    """Plays requests of all classes over several passes and windows; returns the actions and state."""
    now = 0
    actions = balancer.actions
    assert isinstance(actions, RecordingActions)
    for request in range(1, 900):
        now += 10_000
        before = len(actions.asked)
        balancer.request(now, request, request % 4, 0, 5 * SECOND, False)
        for asked in actions.asked[before:]:
            if request in balancer.requests:
                server = balancer.requests[request].current_server
                assert server is not None
                outcome = Outcome.RESET if request % 17 == 0 else Outcome.OK
                balancer.outcome(now, request, 0, server.id, outcome, 9_000 + request * 400, True, ())
            assert asked is not None
    return [*actions.asked, balancer.stats(), balancer.mean_rtt, balancer.controller.target, balancer.rank]


class ClassGrowthTest(unittest.TestCase):
    def test_added_classes_are_equivalent_to_classes_given_at_creation(self) -> None:
        grown = a_balancer([FIRST])
        for shape in SHAPES:
            add_class(grown, shape.settings())
        created = a_balancer([FIRST, *SHAPES])
        self.assertEqual(grown.settings, created.settings)
        self.assertEqual(play(grown), play(created))

    def test_a_class_can_be_added_after_requests(self) -> None:
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

    def test_with_too_many_classes_the_most_similar_one_is_used(self) -> None:
        table = ClassTable(FIRST)
        for number in range(1, MAX_CLASSES):
            table.add(CallShape(False, number * 10_000, SECOND, 1))
        self.assertEqual(table.find(CallShape(False, 123_456, SECOND, 1)), 12)
        self.assertIsNone(table.find(CallShape(True, 123_456, SECOND, 1)))

    def test_effect_and_worth_follow_the_route(self) -> None:
        self.assertEqual(shape_of(traits(idempotent=True)).settings().effect, Effect.SAFE)
        self.assertEqual(shape_of(traits()).settings().effect, Effect.UNSAFE)
        urgent = replace(shape_of(traits(of=route(priority=0))).settings())
        patient = shape_of(traits(of=route(priority=3))).settings()
        self.assertGreater(urgent.worth, patient.worth)


if __name__ == "__main__":
    unittest.main()
