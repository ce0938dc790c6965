"""Runs many schedules in parallel: `tests/consensus/model_run.py --schedules 100000 --jobs 6`."""

from __future__ import annotations

import argparse
import sys
import time
from collections import Counter
from multiprocessing import Pool
from pathlib import Path

ROOT = Path(__file__).parents[2]
sys.path[:0] = [str(ROOT), str(ROOT / "tests"), str(ROOT / "target" / "deps")]

from attrs import define, field  # noqa: E402
from consensus.model import Model  # noqa: E402
from consensus.mutants import MUTANTS  # noqa: E402
from consensus.schedules import Profile, ScheduleResult, play  # noqa: E402

SHOWN_FAULTS = 20
CHUNK = 25


@define
class Totals:
    """The totals over all schedules of a run."""

    schedules: Counter[Profile] = field(factory=Counter)
    events: int = 0
    acknowledged: int = 0
    reads: int = 0
    terms: int = 0
    failed: list[ScheduleResult] = field(factory=list)

    def add(self, result: ScheduleResult) -> None:
        """Adds one schedule."""
        self.schedules[result.profile] += 1
        self.events += result.events
        self.acknowledged += result.acknowledged
        self.reads += result.reads
        self.terms += result.terms
        if result.fault:
            self.failed.append(result)


@define
class Job:
    """What each worker process runs."""

    mutant: str = ""
    profile: Profile | None = None

    def __call__(self, seed: int) -> ScheduleResult:
        """Runs one schedule."""
        return play(seed, MUTANTS[self.mutant] if self.mutant else Model, self.profile)


def arguments() -> argparse.Namespace:
    """Parses the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--schedules", type=int, default=1000)
    parser.add_argument("--jobs", type=int, default=1)
    parser.add_argument("--first", type=int, default=0, help="the first seed")
    parser.add_argument("--profile", type=Profile, default=None, help="storm, power, reigns or members only")
    parser.add_argument(
        "--mutant", default="", choices=["", *MUTANTS], help="run a replica with this planted fault"
    )
    return parser.parse_args()


def main() -> int:
    """Runs the schedules. Returns 1 if any of them found a fault."""
    options = arguments()
    began = time.monotonic()
    totals = Totals()
    seeds = range(options.first, options.first + options.schedules)
    with Pool(options.jobs) as pool:
        for result in pool.imap_unordered(Job(options.mutant, options.profile), seeds, CHUNK):
            totals.add(result)
            if result.fault and len(totals.failed) <= SHOWN_FAULTS:
                print(f"seed {result.seed} ({result.profile.value}): {result.fault}", flush=True)
    took = time.monotonic() - began
    kinds = ", ".join(f"{profile.value} {totals.schedules[profile]}" for profile in Profile)
    print(
        f"{sum(totals.schedules.values())} schedules ({kinds}), seeds from {options.first}: "
        f"{len(totals.failed)} with a fault; {totals.events} events, {totals.terms} terms, "
        f"{totals.acknowledged} commands acknowledged, {totals.reads} reads; {took:.0f} s"
    )
    return 1 if totals.failed else 0


if __name__ == "__main__":
    sys.exit(main())
