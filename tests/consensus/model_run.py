"""Many schedules on several processors: `tests/consensus/model_run.py --schedules 100000 --jobs 6`."""

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
from consensus.schedules import Profile, Verdict, play  # noqa: E402

SHOWN_FAULTS = 20
CHUNK = 25


@define
class Tally:
    """The sums over all schedules of a run."""

    schedules: Counter[Profile] = field(factory=Counter)
    events: int = 0
    acknowledged: int = 0
    reads: int = 0
    terms: int = 0
    convicted: list[Verdict] = field(factory=list)

    def add(self, verdict: Verdict) -> None:
        """Count one schedule."""
        self.schedules[verdict.profile] += 1
        self.events += verdict.events
        self.acknowledged += verdict.acknowledged
        self.reads += verdict.reads
        self.terms += verdict.terms
        if verdict.fault:
            self.convicted.append(verdict)


@define
class Job:
    """What each process plays."""

    mutant: str = ""
    profile: Profile | None = None

    def __call__(self, seed: int) -> Verdict:
        """Play one schedule."""
        return play(seed, MUTANTS[self.mutant] if self.mutant else Model, self.profile)


def arguments() -> argparse.Namespace:
    """The command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--schedules", type=int, default=1000)
    parser.add_argument("--jobs", type=int, default=1)
    parser.add_argument("--first", type=int, default=0, help="the first seed")
    parser.add_argument("--profile", type=Profile, default=None, help="storm, power, reigns or members only")
    parser.add_argument("--mutant", default="", choices=["", *MUTANTS], help="play a planted fault instead")
    return parser.parse_args()


def main() -> int:
    """Play them; 1 if any schedule found a fault."""
    options = arguments()
    began = time.monotonic()
    tally = Tally()
    seeds = range(options.first, options.first + options.schedules)
    with Pool(options.jobs) as pool:
        for verdict in pool.imap_unordered(Job(options.mutant, options.profile), seeds, CHUNK):
            tally.add(verdict)
            if verdict.fault and len(tally.convicted) <= SHOWN_FAULTS:
                print(f"seed {verdict.seed} ({verdict.profile.value}): {verdict.fault}", flush=True)
    took = time.monotonic() - began
    kinds = ", ".join(f"{profile.value} {tally.schedules[profile]}" for profile in Profile)
    print(
        f"{sum(tally.schedules.values())} schedules ({kinds}), seeds from {options.first}: "
        f"{len(tally.convicted)} with a fault; {tally.events} events, {tally.terms} terms, "
        f"{tally.acknowledged} commands acknowledged, {tally.reads} reads; {took:.0f} s"
    )
    return 1 if tally.convicted else 0


if __name__ == "__main__":
    sys.exit(main())
