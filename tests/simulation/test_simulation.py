"""Schedules of every profile break no rule, planted faults are detected, and a seed repeats its run."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import redirect_stdout
from io import StringIO
from unittest import TestCase

from brackenladder.operator_client.errors import ExitCode
from brackenladder.simulation.campaign import Schedule, detect_mutant, shrink
from brackenladder.simulation.mutants.exchange import EXCHANGE_MUTANTS
from brackenladder.simulation.mutants.known import MUTANTS
from brackenladder.simulation.profiles import PROFILES
from brackenladder.simulation.run import run
from brackenladder.system.app import main

SCHEDULES = 3  # of each profile; `simulate` runs many more
TRIES = 20  # of each planted fault here; `simulate --convict` runs up to 400
RARE = {  # detected in more schedules than a test can run; see `simulate --convict`
    "voters-replaced-at-once",
    "learner-counted-early",
    "stale-leader",
    "read-own-state",
    "fenced-when-accepted",
    "unchanged-zone-not-fenced",
    "acknowledged-before-durable",
    "snapshot-within-command",
    "taken-not-in-snapshot",
}


class ProfileTest(TestCase):
    def check(self, name: str) -> None:
        results = [run(PROFILES[name], seed) for seed in range(SCHEDULES)]
        self.assertEqual([result for result in results if result.rule], [])
        self.assertGreater(sum(result.acknowledged for result in results), SCHEDULES)

    def test_isolation(self) -> None:
        self.check("isolation")

    def test_orders(self) -> None:
        self.check("orders")

    def test_overtaken(self) -> None:
        self.check("overtaken")

    def test_members(self) -> None:
        self.check("members")

    def test_losses(self) -> None:
        self.check("losses")

    def test_snapshots(self) -> None:
        self.check("snapshots")

    def test_large(self) -> None:
        self.check("large")

    def test_answers(self) -> None:
        self.check("answers")

    def test_turns(self) -> None:
        self.check("turns")

    def test_mixed(self) -> None:
        self.check("mixed")

    def test_a_seed_gives_the_same_run_again(self) -> None:
        self.assertEqual(run(PROFILES["isolation"], 1), run(PROFILES["isolation"], 1))


class RegressionSeedTest(TestCase):
    """Seeds that failed before their cause was fixed, with the profiles as they are now."""

    def test_catalog_sent_by_isolated_node(self) -> None:
        self.assertEqual(run(PROFILES["isolation"], 2).rule, "")

    def test_server_acknowledged_by_isolated_node(self) -> None:
        self.assertEqual(run(PROFILES["isolation"], 3).rule, "")

    def test_delayed_evacuation(self) -> None:
        self.assertEqual(run(PROFILES["isolation"], 9).rule, "")

    def test_contact_of_process_that_was_frozen(self) -> None:
        self.assertEqual(run(PROFILES["answers"], 5021).rule, "")

    def test_permanently_lost_voters(self) -> None:
        self.assertEqual(run(PROFILES["members"], 0).rule, "")


class MutantTest(TestCase):
    def check_found(self, name: str) -> None:
        conviction = detect_mutant(MUTANTS[name], TRIES)
        self.assertIn(conviction.rule, MUTANTS[name].rules, conviction)

    def test_mutant_is_reverted(self) -> None:
        before = run(PROFILES["orders"], 1)
        detect_mutant(MUTANTS["base-not-compared"], 1)
        self.assertEqual(run(PROFILES["orders"], 1), before)

    def test_shrinking_leaves_out_unneeded_faults(self) -> None:
        with MUTANTS["acknowledged-alone"].plant():
            whole = run(PROFILES["isolation"], 0)
            skipped, result = shrink(Schedule("isolation", 0))
        self.assertEqual(result.rule, whole.rule)
        self.assertTrue(skipped)


def _test_of(name: str) -> Callable[[MutantTest], None]:
    return lambda self: self.check_found(name)


# One test each, so that they run in parallel. Those of the exchange are in `test_exchange.py`.
for _name in sorted(MUTANTS.keys() - RARE - {mutant.name for mutant in EXCHANGE_MUTANTS}):
    setattr(MutantTest, f"test_{_name.replace('-', '_')}_is_found", _test_of(_name))


class CommandTest(TestCase):
    def call(self, *arguments: str) -> tuple[int, str]:
        output = StringIO()
        with redirect_stdout(output):
            code = main(["simulate", *arguments])
        return code, output.getvalue()

    def test_campaign_without_violations(self) -> None:
        code, output = self.call("--profile", "orders", "--seeds", "1-2", "--jobs", "1")
        self.assertEqual(code, ExitCode.SUCCESS)
        self.assertIn("2 schedules", output)
        self.assertIn("0 broken", output)

    def test_replay_with_trace(self) -> None:
        code, output = self.call("--profile", "orders", "--replay", "1", "--trace")
        self.assertEqual(code, ExitCode.SUCCESS)
        self.assertIn("consensus: term", output)

    def test_violation_is_printed_with_replay_command(self) -> None:
        with MUTANTS["acknowledged-alone"].plant():
            code, output = self.call("--profile", "isolation", "--seeds", "0", "--jobs", "1")
        self.assertEqual(code, ExitCode.FAILED)
        self.assertIn("ack-alone", output)
        self.assertIn("--profile isolation --replay 0 --trace", output)

    def test_undetected_mutant_is_a_failure(self) -> None:
        code, output = self.call("--convict", "--mutant", "read-own-state", "--tries", "1", "--jobs", "1")
        self.assertEqual(code, ExitCode.FAILED)
        self.assertIn("NOT FOUND", output)

    def test_list_options(self) -> None:
        self.assertIn("isolation", self.call("--list")[1])
        self.assertIn("catalog-alone", self.call("--list-mutants")[1])

    def test_invalid_arguments(self) -> None:
        for arguments in (("--seeds", "2-1"), ("--seeds", "x"), ("--profile", "none"), ("--replay", "1")):
            with self.subTest(arguments=arguments):
                self.assertEqual(self.call(*arguments)[0], ExitCode.USAGE_ERROR)
