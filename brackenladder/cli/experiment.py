"""`experiment`: a scenario's figures over a grid and seeds, in virtual time, and what differs."""

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

PIPE_WIDTH = 200  # columns of a table where there is no terminal to ask


def read(file: str) -> tuple[Experiment, Scenario]:
    """The experiment and its scenario, which may stand beside it."""
    try:
        with open(file, "rb") as opened:
            data = opened.read(LARGEST_FILE + 1)
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
@click.option("--results", default="", help="The SQLite file; FILE's name with .sqlite if not given.")
@click.option("--jobs", type=click.IntRange(min=1, max=256), default=None, help="Runs at a time; all cores.")
@click.option("--compare", nargs=2, metavar="A B", help="As policy=module policy=oracle: B less A, paired.")
@click.option("--json", "json_file", type=click.Path(dir_okay=False), help="Writes all figures.")
@click.option("--html", type=click.Path(dir_okay=False), help="Writes a page with plots.")
def experiment(
    file: str,
    results: str,
    jobs: int | None,
    compare: tuple[str, str] | None,
    json_file: str | None,
    html: str | None,
) -> int:
    """Plays what FILE asks for, continues what was begun, and shows the figures.

    Exit code 0: done. 1: a rule broke in a run of the module's, or a node failed. 2: it cannot be run.
    """
    asked, base = read(file)
    for out in (json_file, html):
        if out and not Path(out).absolute().parent.is_dir():
            raise click.ClickException(f"{out}: no such folder")
    try:
        runs = {cell: run_of(base, cell, file) for cell in asked.cells()}
        for run in runs.values():
            variant(run.policy, run.checkout, run.constants)
        kept = Results(results or str(Path(file).with_suffix(".sqlite")))
        checkouts = sorted({r.checkout for r in runs.values()})
        modules = [path.read_bytes() for checkout in checkouts for path in files_of(checkout)]
        kept.claim(asked.title, digest_of(base, modules))
    except (ExperimentError, VariantError, ResultsError) as e:
        raise click.ClickException(str(e)) from None
    console = Console(highlight=False)
    if not console.is_terminal:
        console = Console(highlight=False, width=PIPE_WIDTH)
    for text in unsupported(base):
        console.print(f"passed over in the model: {text}", markup=False)
    try:
        faults = go(console, asked, runs, kept, jobs or 0)
        rows = [row for row in kept.rows() if row[0] in runs]
        show(console, asked, rows)
        if compare:
            show_difference(console, rows, *compare)
        if json_file:
            table = [{"cell": dict(c), "seed": s, "figures": f, "verdicts": v} for c, s, f, v in rows]
            Path(json_file).write_bytes(msgspec.json.format(msgspec.json.encode(table), indent=1) + b"\n")
        if html:
            from brackenladder.fleet.page import page  # its libraries take a second

            series = [(cell, found) for cell, found in kept.series() if cell in runs]
            Path(html).write_text(page(asked, rows, series))
    except (CompareError, ResultsError, Standstill) as e:
        raise click.ClickException(str(e)) from None
    except OSError as e:
        raise click.ClickException(f"{e.filename}: {e.strerror}") from None
    finally:
        kept.close()
    broke = [c for c, _, _, v in rows if runs[c].policy == "module" and "broke" in v.values()]
    if broke:
        console.print(f"rules broke in {len(broke)} runs of the module's", markup=False)
    return 1 if broke or faults else 0


def go(console: Console, asked: Experiment, runs: dict[Cell, Run], kept: Results, workers: int) -> int:
    """Plays what is missing; the number of runs in which a node failed."""
    missing = [(c, r, s) for s in asked.all_seeds() for c, r in runs.items() if not kept.has(c, s)]
    faults = 0
    columns = (TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn(), TimeRemainingColumn())
    with Progress(*columns, console=console, disable=not console.is_terminal) as progress:
        task = progress.add_task(asked.title, total=len(missing))
        todo: Iterator[tuple[Cell, Run, int]] = iter(missing)
        for done in play_all(todo, workers) if missing else ():
            kept.add(done.cell, done.seed, done.figures, done.series, done.verdicts, done.seconds)
            progress.advance(task)
            if done.faults:
                faults += 1
                console.print(f"{name_of(done.cell)} seed {done.seed}: nodes failed", markup=False)
    return faults


Rows = list[tuple[Cell, int, dict[str, float], dict[str, str]]]


def show(console: Console, asked: Experiment, rows: Rows) -> None:
    """Each cell's figures: the mean over seeds."""
    cells: dict[Cell, list[dict[str, float]]] = {}
    for cell, _, figures, _ in rows:
        cells.setdefault(cell, []).append(figures)
    table = Table(title=asked.title, title_justify="left")
    table.add_column("cell")
    table.add_column("seeds", justify="right")
    for name in FIGURES:
        table.add_column(name, justify="right")
    for cell in asked.cells():
        found = cells.get(cell, [])
        if found:
            means = [f"{np.mean([f[name] for f in found]):.4g}" for name in FIGURES]
            table.add_row(name_of(cell), str(len(found)), *means)
    console.print(table)


def show_difference(console: Console, rows: Rows, a: str, b: str) -> None:
    """B less A for each figure, with its interval, or that there is none to be seen."""
    pairs = paired(rows, a, b)
    table = Table(title=f"{b} less {a}, {len(pairs)} pairs", title_justify="left")
    for heading in ("figure", a, b, "difference", "95% interval", ""):
        table.add_column(heading, justify="left" if heading in ("figure", "") else "right")
    for name, (_, more) in FIGURES.items():
        d = difference([(x[name], y[name]) for x, y in pairs])
        verdict = "no difference seen"
        if d.significant:
            verdict = "better" if (d.mean > 0) == more else "worse"
        interval = f"{d.low:+.4g} to {d.high:+.4g}"
        table.add_row(name, f"{d.a:.4g}", f"{d.b:.4g}", f"{d.mean:+.4g}", interval, verdict)
    console.print(table)
