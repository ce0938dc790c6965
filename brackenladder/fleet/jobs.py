"""Runs an experiment on all cores."""

from __future__ import annotations

import multiprocessing
import os
from collections.abc import Iterator
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from time import perf_counter

import msgspec

from brackenladder.fleet.experiment import Cell, Run
from brackenladder.fleet.figures import figures_of, series_of, worths_of
from brackenladder.fleet.model import play
from brackenladder.fleet.variants import variant
from brackenladder.rehearsal.checker import check
from brackenladder.rehearsal.report import terms_of

QUEUED_PER_WORKER = 4  # runs submitted per worker; a stop loses no more than these


class FinishedRun(msgspec.Struct, frozen=True):
    """Results of a finished run."""

    cell: Cell
    seed: int
    figures: dict[str, float]
    series: dict[str, list[float]]
    verdicts: dict[str, str]
    seconds: float
    faults: int
    worths: dict[str, tuple[float, float]] = {}  # share served and weight, for 'all' and by class


def play_run(cell: Cell, run: Run, seed: int) -> FinishedRun:
    """Executes one run and computes its results."""
    began = perf_counter()
    result = play(run.scenario, seed, variant(run.policy, run.checkout, run.constants))
    report = check(result.events, terms_of(run.scenario))
    figures = figures_of(run.scenario, result, report)
    series = series_of(run.scenario, result)
    verdicts = {str(rule): str(verdict) for rule, verdict in report.verdicts.items()}
    worths = worths_of(run.scenario, result)
    return FinishedRun(
        cell, seed, figures, series, verdicts, perf_counter() - began, len(result.crashed), worths
    )


def play_all(jobs: Iterator[tuple[Cell, Run, int]], workers: int = 0) -> Iterator[FinishedRun]:
    """Yields results as runs finish, in no defined order."""
    number = workers or os.cpu_count() or 1
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(number, mp_context=context) as pool:
        running: set[Future[FinishedRun]] = set()
        try:
            for cell, run, seed in jobs:
                running.add(pool.submit(play_run, cell, run, seed))
                if len(running) >= QUEUED_PER_WORKER * number:
                    done, running = wait(running, return_when=FIRST_COMPLETED)
                    yield from (future.result() for future in done)
            while running:
                done, running = wait(running, return_when=FIRST_COMPLETED)
                yield from (future.result() for future in done)
        finally:
            for future in running:
                future.cancel()
