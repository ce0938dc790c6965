"""A seed determines the schedule; planned phases hold only planned work; steps overlap."""

from __future__ import annotations

import unittest
from pathlib import Path

from brackenladder.soak.schedule import LINKS, PLANNED_KINDS, Kind, Schedule, make_schedule
from brackenladder.soak.servers import Leave
from brackenladder.soak.site import Size, SoakLayout
from brackenladder.system.soak_command import soak

SEEDS = range(1, 60)


def schedule(seed: int, size: Size = Size.SMALL) -> Schedule:
    """Schedule of a 60 s soak."""
    return make_schedule(seed, SoakLayout("127.99.1", Path("/nowhere"), size), 60.0)


class ScheduleTest(unittest.TestCase):
    def test_a_seed_determines_the_schedule(self) -> None:
        self.assertEqual(schedule(3), schedule(3))
        self.assertNotEqual(schedule(3), schedule(4))

    def test_planned_phases_hold_only_planned_work(self) -> None:
        for seed in SEEDS:
            for phase in (schedule(seed).planned, schedule(seed).late):
                self.assertLessEqual({step.kind for step in phase.steps}, set(PLANNED_KINDS))
                crashes = [step for step in phase.steps if step.leave is Leave.CRASH]
                self.assertEqual(crashes, [])

    def test_fault_phases_hold_all_kinds_and_overlap(self) -> None:
        kinds: set[Kind] = set()
        overlaps = 0
        for seed in SEEDS:
            steps = schedule(seed).storm.steps
            kinds |= {step.kind for step in steps}
            pairs = zip(steps, steps[1:], strict=False)
            overlaps += sum(one.at + one.seconds > other.at for one, other in pairs)
            if not schedule(seed).relayed:
                self.assertFalse({step.kind for step in steps} & LINKS)
        self.assertEqual(kinds, set(Kind))
        self.assertGreater(overlaps, 10 * len(SEEDS))

    def test_whole_regions_and_all_eligible_machines_are_hit(self) -> None:
        layout = SoakLayout("127.99.1", Path("/nowhere"))
        steps = [step for seed in SEEDS for step in schedule(seed).storm.steps]
        removed = {frozenset(step.targets) for step in steps if step.kind is Kind.REMOVE}
        for region in ("north", "south", "east"):
            names = frozenset(one.name for one in layout.gateways if one.region == region)
            self.assertIn(names, removed)
        everything = {one.name for one in layout.machines}
        self.assertTrue(any(set(step.targets) == everything for step in steps if step.kind is Kind.KILL))

    def test_larger_systems_get_more_targets_per_step(self) -> None:
        widest = max(
            len(step.targets)
            for seed in SEEDS
            for step in schedule(seed, Size.LARGE).planned.steps
            if step.kind is Kind.ROLL
        )
        self.assertEqual(widest, 24)


class CommandTest(unittest.TestCase):
    def test_invalid_options_are_rejected(self) -> None:
        for seeds, network in (("x", ""), ("5-1", ""), ("1-2", "127.99.2")):
            with self.assertRaises(Exception, msg=seeds) as caught:
                soak(seeds=seeds, network=network)
            self.assertIn("--", str(caught.exception))
