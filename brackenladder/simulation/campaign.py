"""Runs many schedules on several processors, sums up their results and shrinks failing schedules."""

from __future__ import annotations

import multiprocessing
from collections import Counter
from collections.abc import Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from itertools import count, product, takewhile
from time import perf_counter

from attrs import define, field, frozen

from brackenladder.simulation.mutants.known import MUTANTS
from brackenladder.simulation.mutants.mutant import Mutant
from brackenladder.simulation.run import RunResult
from brackenladder.simulation.schedules import run_schedule

CHUNK = 4  # schedules handed to a worker at a time
MAX_FAULTS = 200  # maximum number of faults of a schedule that shrinking tries to leave out


@frozen
class Schedule:
    """A profile and a seed, which determine one run."""

    profile: str
    seed: int


@define
class Summary:
    """The totals over all runs of a campaign."""

    schedules: int = 0
    events: int = 0
    orders: int = 0
    acknowledged: int = 0
    elections: int = 0
    broken: list[RunResult] = field(factory=list)
    faults: Counter[str] = field(factory=Counter)
    faults_by_role: Counter[str] = field(factory=Counter)
    seconds: float = 0.0

    def add(self, result: RunResult) -> None:
        """Adds the result of one run."""
        self.schedules += 1
        self.events += result.events
        self.orders += result.orders
        self.acknowledged += result.acknowledged
        self.elections += result.elections
        self.faults.update(result.faults)
        self.faults_by_role.update(result.faults_by_role)
        if result.rule:
            self.broken.append(result)


@frozen
class MutantResult:
    """Whether and how the simulation detected a planted fault. `rule` is empty if it did not."""

    mutant: str
    profile: str
    schedules: int  # number of schedules run, including the one that detected the fault
    rule: str
    detail: str
    other_rules: tuple[str, ...]  # rules broken in earlier schedules that are not listed for this fault


def schedules(profiles: Iterable[str], seeds: range) -> list[Schedule]:
    """Combines every profile with every seed."""
    return [Schedule(profile, seed) for seed, profile in product(seeds, profiles)]


def play_all(planned: list[Schedule], jobs: int) -> Iterator[RunResult]:
    """Yields the results in the order of the schedules."""
    if jobs == 1:
        yield from map(_play, planned)
        return
    with ProcessPoolExecutor(jobs, mp_context=multiprocessing.get_context("spawn")) as pool:
        yield from pool.map(_play, planned, chunksize=CHUNK)


def campaign(planned: list[Schedule], jobs: int) -> Iterator[Summary]:
    """Yields the summary after each run; always the same object, updated."""
    summary = Summary()
    began = perf_counter()
    for result in play_all(planned, jobs):
        summary.add(result)
        summary.seconds = perf_counter() - began
        yield summary


def detect_mutants(mutants: Iterable[str], tries: int, jobs: int) -> Iterator[MutantResult]:
    """Tries to detect each planted fault with the schedules of its profile."""
    wanted = [(name, tries) for name in mutants]
    if jobs == 1:
        yield from map(_detect_mutant, wanted)
        return
    with ProcessPoolExecutor(jobs, mp_context=multiprocessing.get_context("spawn")) as pool:
        yield from pool.map(_detect_mutant, wanted)


def detect_mutant(mutant: Mutant, tries: int) -> MutantResult:
    """Runs schedules until one breaks a rule that is listed for the planted fault."""
    other_rules: list[str] = []
    with mutant.plant():
        for seed in range(tries):
            result = run_schedule(mutant.profile, seed)
            if result.rule in mutant.rules:
                return MutantResult(
                    mutant.name, mutant.profile, seed + 1, result.rule, result.detail, tuple(other_rules)
                )
            if result.rule:
                other_rules.append(result.rule)
    return MutantResult(mutant.name, mutant.profile, tries, "", "", tuple(other_rules))


def shrink(schedule: Schedule) -> tuple[frozenset[int], RunResult]:
    """Leaves out faults one by one, starting with the last, while the same rule still breaks."""
    result = run_schedule(schedule.profile, schedule.seed)
    skipped: frozenset[int] = frozenset()
    if not result.rule:
        return skipped, result
    for number in reversed(range(_count_faults(schedule, result))):
        fewer = skipped | {number}
        shorter = run_schedule(schedule.profile, schedule.seed, skipped=fewer)
        if shorter.rule == result.rule:
            skipped, result = fewer, shorter
    return skipped, result


def _count_faults(schedule: Schedule, result: RunResult) -> int:
    """Returns the number of faults that have to be considered up to the failure of the run."""
    if result.fault_count:
        return result.fault_count
    needed = takewhile(lambda number: not _broken_without_later(schedule, result.rule, number), count())
    return min(MAX_FAULTS, sum(1 for _ in needed))


def _broken_without_later(schedule: Schedule, rule: str, number: int) -> bool:
    if number >= MAX_FAULTS:
        return True
    later = frozenset(range(number, MAX_FAULTS))
    return run_schedule(schedule.profile, schedule.seed, skipped=later).rule == rule


def _play(schedule: Schedule) -> RunResult:
    return run_schedule(schedule.profile, schedule.seed)


def _detect_mutant(wanted: tuple[str, int]) -> MutantResult:
    name, tries = wanted
    return detect_mutant(MUTANTS[name], tries)
