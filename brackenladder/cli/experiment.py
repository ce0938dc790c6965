"""The command `experiment`: figures of a scenario over a parameter grid and seeds, in virtual time."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import click
import msgspec
import numpy as np
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeRemainingColumn
from rich.table import Table

from brackenladder.fleet.compare import CompareError, difference, paired
from brackenladder.fleet.experiment import (
    LARGEST_FILE,
    Cell,
    Experiment,
    ExperimentError,
    Run,
    digest_of,
    name_of,
    parse,
    run_of,
)
from brackenladder.fleet.figures import FIGURES
from brackenladder.fleet.jobs import play_all
from brackenladder.fleet.model import unsupported
from brackenladder.fleet.queue import Standstill
from brackenladder.fleet.results import Results, ResultsError
from brackenladder.fleet.variants import VariantError, files_of, variant
from brackenladder.rehearsal.scenario import Scenario, ScenarioError, load, shipped

PIPE_WIDTH = 200  # width in characters of a table if the output is not a terminal


def load_experiment(file: str) -> tuple[Experiment, Scenario]:
    """Loads an experiment and its scenario: a built-in one, or a file relative to the experiment's."""
    try:
        with open(file, "rb") as input_file:
            data = input_file.read(LARGEST_FILE + 1)
    except OSError as e:
        raise click.ClickException(f"{file}: {e.strerror}") from None
    if len(data) > LARGEST_FILE:
        raise click.ClickException(f"{file}: over {LARGEST_FILE} bytes")
    try:
        experiment = parse(data, file)
        name = experiment.scenario
        return experiment, load(name if name in shipped() else str(Path(file).parent / name))
    except (ExperimentError, ScenarioError) as e:
        raise click.ClickException(str(e)) from None


@click.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--results", default="", help="SQLite file for results. Default: FILE with the suffix .sqlite.")
@click.option(
    "--jobs",
    type=click.IntRange(min=1, max=256),
    default=None,
    help="Parallel runs. Default: one for each core.",
)
@click.option(
    "--compare", nargs=2, metavar="A B", help="Such as policy=module policy=oracle: paired differences B - A."
)
@click.option("--json", "json_file", type=click.Path(dir_okay=False), help="Writes all figures to this file.")
@click.option("--html", type=click.Path(dir_okay=False), help="Writes a page with plots to this file.")
def experiment(
    file: str,
    results: str,
    jobs: int | None,
    compare: tuple[str, str] | None,
    json_file: str | None,
    html: str | None,
) -> int:
    """Runs the experiment FILE, continuing an earlier run, and prints the figures.

    Exit code 0: done. 1: a rule was broken in a run with policy `module`, or a node failed. 2: invalid input.
    """
    definition, base = load_experiment(file)
    for out in (json_file, html):
        if out and not Path(out).absolute().parent.is_dir():
            raise click.ClickException(f"{out}: no such folder")
    try:
        runs = {cell: run_of(base, cell, file) for cell in definition.cells()}
        for run in runs.values():
            variant(run.policy, run.checkout, run.constants)
        stored = Results(results or str(Path(file).with_suffix(".sqlite")))
        checkouts = sorted({run.checkout for run in runs.values()})
        modules = [path.read_bytes() for checkout in checkouts for path in files_of(checkout)]
        stored.claim(definition.title, digest_of(base, modules))
    except (ExperimentError, VariantError, ResultsError) as e:
        raise click.ClickException(str(e)) from None
    console = Console(highlight=False)
    if not console.is_terminal:
        console = Console(highlight=False, width=PIPE_WIDTH)
    for text in unsupported(base):
        console.print(f"ignored in the model: {text}", markup=False)
    try:
        faults = run_missing(console, definition, runs, stored, jobs or 0)
        rows = [row for row in stored.rows() if row[0] in runs]
        print_means(console, definition, rows)
        if compare:
            print_difference(console, rows, *compare)
        if json_file:
            table = [{"cell": dict(c), "seed": s, "figures": f, "verdicts": v} for c, s, f, v in rows]
            Path(json_file).write_bytes(msgspec.json.format(msgspec.json.encode(table), indent=1) + b"\n")
        if html:
            from brackenladder.fleet.page import page  # imported late: its libraries take a second to load

            series = [(cell, cell_figures) for cell, cell_figures in stored.series() if cell in runs]
            Path(html).write_text(page(definition, rows, series))
    except (CompareError, ResultsError, Standstill) as e:
        raise click.ClickException(str(e)) from None
    except OSError as e:
        raise click.ClickException(f"{e.filename}: {e.strerror}") from None
    finally:
        stored.close()
    broke = [c for c, _, _, v in rows if runs[c].policy == "module" and "broke" in v.values()]
    if broke:
        console.print(f"rules were broken in {len(broke)} runs with policy module", markup=False)
    return 1 if broke or faults else 0


def run_missing(
    console: Console, definition: Experiment, runs: dict[Cell, Run], stored: Results, worker_count: int
) -> int:
    """Runs what has no stored result yet, and returns the number of runs in which a node failed."""
    pending = [
        (cell, run, seed)
        for seed in definition.all_seeds()
        for cell, run in runs.items()
        if not stored.has(cell, seed)
    ]
    faults = 0
    columns = (TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn(), TimeRemainingColumn())
    with Progress(*columns, console=console, disable=not console.is_terminal) as progress:
        task = progress.add_task(definition.title, total=len(pending))
        jobs: Iterator[tuple[Cell, Run, int]] = iter(pending)
        for done in play_all(jobs, worker_count) if pending else ():
            stored.add(done.cell, done.seed, done.figures, done.series, done.verdicts, done.seconds)
            progress.advance(task)
            if done.faults:
                faults += 1
                console.print(f"{name_of(done.cell)} seed {done.seed}: nodes failed", markup=False)
    return faults


Rows = list[tuple[Cell, int, dict[str, float], dict[str, str]]]


def print_means(console: Console, definition: Experiment, rows: Rows) -> None:
    """Prints the figures of each cell as means over the seeds."""
    cells: dict[Cell, list[dict[str, float]]] = {}
    for cell, _, figures, _ in rows:
        cells.setdefault(cell, []).append(figures)
    table = Table(title=definition.title, title_justify="left")
    table.add_column("cell")
    table.add_column("seeds", justify="right")
    for name in FIGURES:
        table.add_column(name, justify="right")
    for cell in definition.cells():
        cell_figures = cells.get(cell, [])
        if cell_figures:
            means = [f"{np.mean([f[name] for f in cell_figures]):.4g}" for name in FIGURES]
            table.add_row(name_of(cell), str(len(cell_figures)), *means)
    console.print(table)


def print_difference(console: Console, rows: Rows, a: str, b: str) -> None:
    """Prints the difference B - A of each figure with its interval, and whether it is better or worse."""
    pairs = paired(rows, a, b)
    table = Table(title=f"{b} - {a}, {len(pairs)} pairs", title_justify="left")
    for heading in ("figure", a, b, "difference", "95% interval", ""):
        table.add_column(heading, justify="left" if heading in ("figure", "") else "right")
    for name, (_, higher_is_better) in FIGURES.items():
        estimate = difference([(x[name], y[name]) for x, y in pairs])
        verdict = "no difference seen"
        if estimate.significant:
            verdict = "better" if (estimate.mean > 0) == higher_is_better else "worse"
        interval = f"{estimate.low:+.4g} to {estimate.high:+.4g}"
        table.add_row(
            name, f"{estimate.a:.4g}", f"{estimate.b:.4g}", f"{estimate.mean:+.4g}", interval, verdict
        )
    console.print(table)
