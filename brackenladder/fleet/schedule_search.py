"""Random search for schedules that break a rule, run on all cores, with a corpus folder of its finds."""

from __future__ import annotations

import multiprocessing
import os
import tomllib
from collections.abc import Callable, Mapping
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from math import inf
from pathlib import Path
from random import Random
from time import monotonic
from typing import Any

import msgspec
import tomli_w

from brackenladder.fleet.model import play
from brackenladder.fleet.queue import Standstill
from brackenladder.fleet.schedules import Schedule, digest, mutate, random_schedule, shrink, to_scenario
from brackenladder.fleet.variants import variant
from brackenladder.rehearsal.checker import check
from brackenladder.rehearsal.report import terms_of
from brackenladder.rehearsal.scenario import LARGEST_FILE, ScenarioError

SEED = 1  # seed of every run, so that a schedule's file is enough to replay it
MAX_POPULATION = 48  # number of schedules kept for further mutation: those closest to a break
NEW_SHARE = 0.3  # share of schedules that are generated from scratch
MIN_SHRINK_TIME = 20.0  # seconds to shrink a break that is found just before the search ends
QUEUED_PER_WORKER = 2  # schedules submitted per worker


class PlayedSchedule(msgspec.Struct, frozen=True):
    """Result of one schedule: the rules that broke (or `fault`), and how near the run came to a break."""

    schedule: Schedule
    broke: tuple[str, ...]
    near: float
    valid: bool = True


class MinimalBreak(msgspec.Struct, frozen=True):
    """A schedule that breaks a rule, shrunk as far as possible, and the schedule from which it was shrunk."""

    rule: str
    schedule: Schedule
    first: Schedule
    tried: int


def play_schedule(schedule: Schedule, policy: str, seed: int = SEED) -> PlayedSchedule:
    """Runs a schedule in the model and checks it."""
    scenario = to_scenario(schedule)
    if scenario is None:
        return PlayedSchedule(schedule, (), 0.0, valid=False)
    try:
        result = play(scenario, seed, variant(policy, "", {}))
    except ScenarioError:  # a fault has more targets than exist
        return PlayedSchedule(schedule, (), 0.0, valid=False)
    except Standstill:
        return PlayedSchedule(schedule, ("standstill",), 1.0)
    report = check(result.events, terms_of(scenario))
    broke = [str(rule) for rule, ruling in report.rulings.items() if ruling.broken]
    if result.crashed:
        broke.append("fault")
    edges = sum(ruling.edges for ruling in report.rulings.values())
    near = max(report.rulings["cold"].nearest, min(0.9, 0.3 * edges))
    return PlayedSchedule(schedule, tuple(broke), near)


def minimal_break(
    schedule: Schedule, rule: str, policy: str, seed: int = SEED, until: float = inf
) -> MinimalBreak:
    """Shrinks a schedule that breaks a rule, until `until` (a `monotonic` time) at the latest."""
    smallest, tried = shrink(
        schedule, lambda s: rule in play_schedule(s, policy, seed).broke, lambda: monotonic() < until
    )
    return MinimalBreak(rule, smallest, schedule, tried)


def without_none(value: Any) -> Any:
    """Copy of a value without None entries, which TOML cannot represent; a missing key means None."""
    if isinstance(value, Mapping):
        return {k: without_none(v) for k, v in value.items() if v is not None}
    return [without_none(v) for v in value] if isinstance(value, list | tuple) else value


class Corpus:
    """Folder of schedules: `near-*.toml` are search seeds, `break-RULE-*.toml` are shrunk breaks."""

    def __init__(self, folder: str) -> None:
        self.folder = Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)

    def load(self) -> list[Schedule]:
        """Reads all schedules; raises a ScenarioError that names an invalid file."""
        found = []
        for path in sorted(self.folder.glob("*.toml")):
            data = path.read_bytes()
            try:
                schedule = tomllib.loads(data.decode()) if len(data) <= LARGEST_FILE else {}
            except (tomllib.TOMLDecodeError, UnicodeDecodeError, RecursionError) as e:
                raise ScenarioError(f"{path}: not TOML: {e}") from None
            full = {"length_s", "nodes", "zones", "servers", "discovery", "clients", "faults"}
            if not full <= set(schedule) or to_scenario(schedule) is None:
                raise ScenarioError(f"{path}: not a schedule of a hunt")
            found.append(schedule)
        return found

    def save(self, name: str, schedule: Schedule) -> Path:
        path = self.folder / f"{name}.toml"
        new = path.with_suffix(".new")
        new.write_bytes(tomli_w.dumps(without_none(schedule)).encode())
        os.replace(new, path)
        return path

    def save_nearest(self, population: list[PlayedSchedule]) -> None:
        """Replaces the saved `near-*` schedules by those of this population."""
        names = {f"near-{digest(j.schedule)}": j.schedule for j in population}
        for path in self.folder.glob("near-*.toml"):
            if path.stem not in names:
                path.unlink()
        for name, schedule in names.items():
            if not (self.folder / f"{name}.toml").exists():
                self.save(name, schedule)


def as_any(future: Future[Any]) -> Future[Any]:
    """Erases the result type, so that futures of different results fit into one set."""
    return future


class ScheduleSearch:
    """A search. `on_break` is called for each shrunk break, `progress` with the counts."""

    def __init__(
        self,
        corpus: Corpus,
        seed: int,
        policy: str,
        on_break: Callable[[MinimalBreak, Path], None],
        progress: Callable[[int, float, float], None],
    ) -> None:
        self.corpus = corpus
        self.rng = Random(f"hunt {seed}")
        self.policy = policy
        self.on_break = on_break
        self.progress = progress
        self.population: list[PlayedSchedule] = []
        self.played = self.invalid = 0
        self.broken: dict[str, int] = {}

    def next_schedule(self) -> Schedule:
        if not self.population or self.rng.random() < NEW_SHARE:
            return random_schedule(self.rng)
        return mutate(self.rng.choice(self.population).schedule, self.rng)

    def run(self, seconds: float, jobs: int) -> None:
        """Searches for `seconds`, plus MIN_SHRINK_TIME if a break is found near the end."""
        loaded = self.corpus.load()
        number = jobs or os.cpu_count() or 1
        until = monotonic() + seconds
        running: set[Future[PlayedSchedule]] = set()
        shrinking: set[Future[MinimalBreak]] = set()
        with ProcessPoolExecutor(number, mp_context=multiprocessing.get_context("spawn")) as pool:
            while True:
                while len(running) < QUEUED_PER_WORKER * number and monotonic() < until:
                    running.add(
                        pool.submit(
                            play_schedule, loaded.pop() if loaded else self.next_schedule(), self.policy
                        )
                    )
                if not running and not shrinking:
                    break
                wait({*map(as_any, running), *map(as_any, shrinking)}, return_when=FIRST_COMPLETED)
                for future in [f for f in running if f.done()]:
                    running.discard(future)
                    found = future.result()
                    self.record(found)
                    for rule in found.broke:
                        # Only the first break of each rule is shrunk: most later ones have the same cause.
                        if self.broken.setdefault(rule, 0) == 0:
                            by = max(until, monotonic() + MIN_SHRINK_TIME)
                            shrinking.add(
                                pool.submit(minimal_break, found.schedule, rule, self.policy, SEED, by)
                            )
                        self.broken[rule] += 1
                for shrunk in [f for f in shrinking if f.done()]:
                    shrinking.discard(shrunk)
                    smallest = shrunk.result()
                    name = f"break-{smallest.rule}-{digest(smallest.schedule)}"
                    self.on_break(smallest, self.corpus.save(name, smallest.schedule))
                nearest = max((j.near for j in self.population), default=0.0)
                self.progress(self.played, nearest, until - monotonic())
        self.corpus.save_nearest(self.population)

    def record(self, found: PlayedSchedule) -> None:
        """Counts a result, and adds it to the population if it came near a break without breaking a rule."""
        self.played += found.valid
        self.invalid += not found.valid
        if found.valid and not found.broke and found.near > 0:
            self.population.append(found)
            self.population.sort(key=lambda j: (-j.near, digest(j.schedule)))
            del self.population[MAX_POPULATION:]
