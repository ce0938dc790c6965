"""`gate`: the days of the standing fleet test in virtual time, and whether a version passes."""

from __future__ import annotations

import re
from collections.abc import Iterator
from pathlib import Path

import click
import msgspec
import numpy as np
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeRemainingColumn
from rich.table import Table

from brackenladder.fleet.days import DAYS, LEAST_NODES, day_scenario
from brackenladder.fleet.experiment import Cell, Run, digest_of
from brackenladder.fleet.gate import LATE, PLAIN, DayVerdict, PolicyRun, judge_day
from brackenladder.fleet.jobs import FinishedRun, play_all
from brackenladder.fleet.results import Results, ResultsError
from brackenladder.fleet.schedule_search import Corpus, minimal_break
from brackenladder.fleet.schedules import digest
from brackenladder.fleet.variants import MODULE_POLICY, files_of, policies
from brackenladder.rehearsal.checker import RULES

MOST_SEEDS = 10_000  # of one call
MOST_NODES = 2_000


def seeds_of(text: str) -> list[int]:
    """`3`, `1-50` or `1-3,7`. A ClickException if it is none of these."""
    found: list[int] = []
    for part in text.split(","):
        match = re.fullmatch(r"(\d{1,9})(?:-(\d{1,9}))?", part.strip())
        first, last = (int(match[1]), int(match[2] or match[1])) if match else (1, 0)
        if last < first or last - first >= MOST_SEEDS:
            raise click.ClickException(
                f"--seeds: '{part}' is no seed and no range, as 1-50, of {MOST_SEEDS} at most"
            )
        found += range(first, last + 1)
    return sorted(set(found))


@click.command()
@click.option("--seeds", default="1-5", help="As 1-50, or 3,7.")
@click.option("--nodes", type=click.IntRange(LEAST_NODES, MOST_NODES), default=200, help="Of all tiers.")
@click.option("--day", "days", multiple=True, type=click.Choice(DAYS), help="One day only; several times.")
@click.option(
    "--policy", type=click.Choice(policies()), default=MODULE_POLICY, help="Who decides in the nodes."
)
@click.option("--jobs", type=click.IntRange(min=1, max=256), default=None, help="Runs at a time; all cores.")
@click.option("--results", default="", help="An SQLite file that is continued if it is there.")
@click.option(
    "--shrink", "folder", default="", help="A folder: makes each schedule that broke a rule smaller."
)
@click.option(
    "--write", default="", help="A folder: writes the days as scenarios for `rehearse`; plays nothing."
)
@click.option("--json", "json_file", type=click.Path(dir_okay=False), help="Writes all that was found.")
def gate(
    seeds: str,
    nodes: int,
    days: tuple[str, ...],
    policy: str,
    jobs: int | None,
    results: str,
    folder: str,
    write: str,
    json_file: str | None,
) -> int:
    """Plays the days of the standing fleet test over SEEDS and says whether this build passes.

    Exit code 0: passed. 1: failed. 2: it cannot be run.
    """
    numbers = seeds_of(seeds)
    if json_file and not Path(json_file).absolute().parent.is_dir():
        raise click.ClickException(f"{json_file}: no such folder")
    console = Console(highlight=False)
    names = [name for name in DAYS if name in days or not days]
    if write:
        return written(write, names, numbers, nodes)
    beside = dict.fromkeys((policy, LATE, PLAIN))
    todo: list[tuple[Cell, Run, int]] = [
        ((("day", name), ("policy", who)), Run(day_scenario(name, seed, nodes), who, "", {}), seed)
        for seed in numbers
        for name in names
        for who in beside
        if who != PLAIN or name == "calm" or who == policy
    ]
    try:
        kept = Results(results or ":memory:")
        kept.claim(
            f"gate at {nodes} nodes",
            digest_of(day_scenario(DAYS[0], 0, nodes), [path.read_bytes() for path in files_of("")]),
        )
        go(console, kept, [job for job in todo if not kept.has(job[0], job[2])], jobs or 0)
        rows = {
            (dict(cell)["day"], dict(cell)["policy"], seed): read(f, v) for cell, seed, f, v in kept.rows()
        }
    except ResultsError as e:
        raise click.ClickException(str(e)) from None
    kept.close()
    verdicts: dict[tuple[str, int], DayVerdict] = {}
    for name in names:
        for seed in numbers:
            others = {who: rows[name, who, seed] for who in (LATE, PLAIN) if (name, who, seed) in rows}
            verdicts[name, seed] = judge_day(name, rows[name, policy, seed], others)
            line(console, name, seed, rows[name, policy, seed], verdicts[name, seed])
    summary(console, names, numbers, verdicts)
    if json_file:
        table = [
            {"day": name, "seed": seed, "judged": judged, "played": rows[name, policy, seed]}
            for (name, seed), judged in verdicts.items()
        ]
        try:
            Path(json_file).write_bytes(msgspec.json.format(msgspec.json.encode(table), indent=1) + b"\n")
        except OSError as e:
            raise click.ClickException(f"{json_file}: {e.strerror}") from None
    failed = [(name, seed, wrong) for (name, seed), judged in verdicts.items() for wrong in judged.wrong]
    if folder:
        shrink(console, folder, failed, nodes, policy)
    for name, seed, wrong in failed:
        console.print(f"GATE failed: {wrong}, standing-{name}, seed {seed}", soft_wrap=True)
    if not failed:
        console.print("GATE passed")
    return 1 if failed else 0


def written(folder: str, names: list[str], seeds: list[int], nodes: int) -> int:
    """The days as scenario files; each is played as here with its seed."""
    try:
        corpus = Corpus(folder)
        for name in names:
            for seed in seeds:
                path = corpus.save(f"{name}-{seed}", msgspec.to_builtins(day_scenario(name, seed, nodes)))
                click.echo(f"rehearse {path} --in model --seed {seed}")
    except OSError as e:
        raise click.ClickException(f"{e.filename or folder}: {e.strerror}") from None
    return 0


def go(console: Console, kept: Results, missing: list[tuple[Cell, Run, int]], workers: int) -> None:
    """Plays what is missing; each run is kept as it ends."""
    columns = (TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn(), TimeRemainingColumn())
    with Progress(*columns, console=console, disable=not console.is_terminal) as progress:
        task = progress.add_task("gate", total=len(missing))
        jobs: Iterator[tuple[Cell, Run, int]] = iter(missing)
        for done in play_all(jobs, workers) if missing else ():
            kept.add(done.cell, done.seed, figures(done), {}, done.verdicts, done.seconds)
            progress.advance(task)


def figures(done: FinishedRun) -> dict[str, float]:
    """A run's figures as they are kept."""
    table = {"faults": float(done.faults), "nearest": done.figures["cold"]}
    for name, (share, weight) in done.worths.items():
        table |= {f"worth {name}": share, f"weight {name}": weight}
    return table


def read(kept: dict[str, float], verdicts: dict[str, str]) -> PolicyRun:
    """The run that was kept so."""
    names = [key.removeprefix("worth ") for key in kept if key.startswith("worth ")]
    worths = {name: (kept[f"worth {name}"], kept[f"weight {name}"]) for name in names}
    return PolicyRun(worths, verdicts, kept["nearest"], int(kept["faults"]))


def line(console: Console, name: str, seed: int, run: PolicyRun, judged: DayVerdict) -> None:
    rules = ", ".join(f"{rule} {run.verdicts[rule]}" for rule in RULES)
    console.print(
        f"{name:5s} {seed:4d}  served {judged.served:.3f} (gate {judged.wanted:.3f})  {rules},"
        f" nearest {run.nearest:.2f}{'  FAILED' if judged.wrong else ''}",
        soft_wrap=True,
    )


def summary(
    console: Console, names: list[str], seeds: list[int], verdicts: dict[tuple[str, int], DayVerdict]
) -> None:
    table = Table(title=f"{len(verdicts)} days", title_justify="left")
    for heading in ("day", "seeds", "served, mean", "least", "least above its gate", "failed"):
        table.add_column(heading, justify="left" if heading == "day" else "right")
    for name in names:
        found = [verdicts[name, seed] for seed in seeds]
        served = [judged.served for judged in found]
        table.add_row(
            name,
            str(len(found)),
            f"{np.mean(served):.3f}",
            f"{min(served):.3f}",
            f"{min(judged.served - judged.wanted for judged in found):+.3f}",
            str(sum(bool(judged.wrong) for judged in found)),
        )
    console.print(table)


def shrink(
    console: Console, folder: str, failed: list[tuple[str, int, str]], nodes: int, policy: str
) -> None:
    """The smallest schedule that still breaks the rule, for each rule once."""
    try:
        corpus = Corpus(folder)
        for rule in RULES:
            first = next(((n, s) for n, s, wrong in failed if wrong == f"{rule} broke"), None)
            if first is None:
                continue
            schedule = msgspec.to_builtins(day_scenario(first[0], first[1], nodes))
            least = minimal_break(schedule, rule, policy, first[1])
            path = corpus.save(f"break-{rule}-{digest(least.schedule)}", least.schedule)
            console.print(f"{rule}: seed {first[1]}, after {least.tried} tries: {path}", soft_wrap=True)
    except OSError as e:
        raise click.ClickException(f"{e.filename or folder}: {e.strerror}") from None
