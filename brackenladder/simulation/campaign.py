"""Many schedules on many processors, what came of them, and the fewest faults that show what broke."""

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
MAX_FAULTS = 200  # faults of one schedule that shrinking tries to leave out


@frozen
class Schedule:
    """One run, by what decides it."""

    profile: str
    seed: int


@define
class Summary:
    """All runs of a campaign."""

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
        """Takes a run in."""
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
    """What the simulation found of a planted fault; `rule` is empty if it was not convicted."""

    mutant: str
    profile: str
    schedules: int  # played, the last one among them
    rule: str
    detail: str
    other_rules: tuple[str, ...]  # rules that broke before and are not named for this fault


def schedules(profiles: Iterable[str], seeds: range) -> list[Schedule]:
    """Every profile with every seed."""
    return [Schedule(profile, seed) for seed, profile in product(seeds, profiles)]


def play_all(planned: list[Schedule], jobs: int) -> Iterator[RunResult]:
    """Runs as they end, in the order of the schedules."""
    if jobs == 1:
        yield from map(_play, planned)
        return
    with ProcessPoolExecutor(jobs, mp_context=multiprocessing.get_context("spawn")) as pool:
        yield from pool.map(_play, planned, chunksize=CHUNK)


def campaign(planned: list[Schedule], jobs: int) -> Iterator[Summary]:
    """The summary after each run; the same object each time."""
    summary = Summary()
    began = perf_counter()
    for result in play_all(planned, jobs):
        summary.add(result)
        summary.seconds = perf_counter() - began
        yield summary


def detect_mutants(mutants: Iterable[str], tries: int, jobs: int) -> Iterator[MutantResult]:
    """Each planted fault, under the schedules of its profile."""
    wanted = [(name, tries) for name in mutants]
    if jobs == 1:
        yield from map(_detect_mutant, wanted)
        return
    with ProcessPoolExecutor(jobs, mp_context=multiprocessing.get_context("spawn")) as pool:
        yield from pool.map(_detect_mutant, wanted)


def detect_mutant(mutant: Mutant, tries: int) -> MutantResult:
    """Plays schedules until a rule that is named for the planted fault breaks."""
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
    """Leaves out faults one by one, from the last, as long as the same rule still breaks."""
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
    """How many faults there may have been up to the one that broke the run."""
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
