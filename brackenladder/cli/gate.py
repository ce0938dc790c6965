"""The command `gate`: simulates the days of the standing fleet test and decides whether this build passes."""

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

from brackenladder.fleet.days import DAYS, MIN_NODES, day_scenario
from brackenladder.fleet.experiment import Cell, Run, digest_of
from brackenladder.fleet.gate import LATE, PLAIN, DayVerdict, PolicyRun, judge_day
from brackenladder.fleet.jobs import FinishedRun, play_all
from brackenladder.fleet.results import Results, ResultsError
from brackenladder.fleet.schedule_search import Corpus, minimal_break
from brackenladder.fleet.schedules import digest
from brackenladder.fleet.variants import MODULE_POLICY, files_of, policies
from brackenladder.rehearsal.checker import RULES

MAX_SEEDS = 10_000  # seeds in one range such as `1-50`
MAX_NODES = 2_000


def parse_seeds(text: str) -> list[int]:
    """Parses `3`, `1-50` or `1-3,7`. Raises ClickException for anything else."""
    found: list[int] = []
    for part in text.split(","):
        match = re.fullmatch(r"(\d{1,9})(?:-(\d{1,9}))?", part.strip())
        first, last = (int(match[1]), int(match[2] or match[1])) if match else (1, 0)
        if last < first or last - first >= MAX_SEEDS:
            raise click.ClickException(
                f"--seeds: '{part}' is neither a seed nor a range such as 1-50 of at most {MAX_SEEDS}"
            )
        found += range(first, last + 1)
    return sorted(set(found))


@click.command()
@click.option("--seeds", default="1-5", help="Such as 1-50, or 3,7.")
@click.option(
    "--nodes", type=click.IntRange(MIN_NODES, MAX_NODES), default=200, help="Number of nodes in all tiers."
)
@click.option("--day", "days", multiple=True, type=click.Choice(DAYS), help="Only this day. May be repeated.")
@click.option(
    "--policy", type=click.Choice(policies()), default=MODULE_POLICY, help="The policy that the nodes use."
)
@click.option(
    "--jobs",
    type=click.IntRange(min=1, max=256),
    default=None,
    help="Parallel runs. Default: one for each core.",
)
@click.option("--results", default="", help="SQLite file for results. An existing one is continued.")
@click.option("--shrink", "folder", default="", help="Folder for a minimised schedule of each broken rule.")
@click.option("--write", default="", help="Only writes the days to this folder, as scenarios for `rehearse`.")
@click.option("--json", "json_file", type=click.Path(dir_okay=False), help="Writes all results to this file.")
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
    """Runs the days of the standing fleet test with all seeds, and reports whether this build passes.

    Exit code 0: passed. 1: failed. 2: invalid input.
    """
    seed_numbers = parse_seeds(seeds)
    if json_file and not Path(json_file).absolute().parent.is_dir():
        raise click.ClickException(f"{json_file}: no such folder")
    console = Console(highlight=False)
    names = [name for name in DAYS if name in days or not days]
    if write:
        return write_scenarios(write, names, seed_numbers, nodes)
    compared_policies = dict.fromkeys((policy, LATE, PLAIN))
    planned_runs: list[tuple[Cell, Run, int]] = [
        (
            (("day", name), ("policy", policy_name)),
            Run(day_scenario(name, seed, nodes), policy_name, "", {}),
            seed,
        )
        for seed in seed_numbers
        for name in names
        for policy_name in compared_policies
        if policy_name != PLAIN or name == "calm" or policy_name == policy
    ]
    try:
        stored = Results(results or ":memory:")
        stored.claim(
            f"gate at {nodes} nodes",
            digest_of(day_scenario(DAYS[0], 0, nodes), [path.read_bytes() for path in files_of("")]),
        )
        run_missing(
            console, stored, [run for run in planned_runs if not stored.has(run[0], run[2])], jobs or 0
        )
        rows = {
            (dict(cell)["day"], dict(cell)["policy"], seed): restore_run(values, rules)
            for cell, seed, values, rules in stored.rows()
        }
    except ResultsError as e:
        raise click.ClickException(str(e)) from None
    stored.close()
    verdicts: dict[tuple[str, int], DayVerdict] = {}
    for name in names:
        for seed in seed_numbers:
            others = {
                other: rows[name, other, seed] for other in (LATE, PLAIN) if (name, other, seed) in rows
            }
            verdicts[name, seed] = judge_day(name, rows[name, policy, seed], others)
            print_run(console, name, seed, rows[name, policy, seed], verdicts[name, seed])
    print_summary(console, names, seed_numbers, verdicts)
    if json_file:
        table = [
            {"day": name, "seed": seed, "judged": judged, "played": rows[name, policy, seed]}
            for (name, seed), judged in verdicts.items()
        ]
        try:
            Path(json_file).write_bytes(msgspec.json.format(msgspec.json.encode(table), indent=1) + b"\n")
        except OSError as e:
            raise click.ClickException(f"{json_file}: {e.strerror}") from None
    failed = [(name, seed, problem) for (name, seed), judged in verdicts.items() for problem in judged.wrong]
    if folder:
        write_minimised(console, folder, failed, nodes, policy)
    for name, seed, problem in failed:
        console.print(f"GATE failed: {problem}, standing-{name}, seed {seed}", soft_wrap=True)
    if not failed:
        console.print("GATE passed")
    return 1 if failed else 0


def write_scenarios(folder: str, names: list[str], seeds: list[int], nodes: int) -> int:
    """Writes the days as scenario files, and prints the command that runs each with its seed."""
    try:
        corpus = Corpus(folder)
        for name in names:
            for seed in seeds:
                path = corpus.save(f"{name}-{seed}", msgspec.to_builtins(day_scenario(name, seed, nodes)))
                click.echo(f"rehearse {path} --in model --seed {seed}")
    except OSError as e:
        raise click.ClickException(f"{e.filename or folder}: {e.strerror}") from None
    return 0


def run_missing(
    console: Console, stored: Results, missing: list[tuple[Cell, Run, int]], worker_count: int
) -> None:
    """Runs what has no stored result yet, and stores each run as it ends."""
    columns = (TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn(), TimeRemainingColumn())
    with Progress(*columns, console=console, disable=not console.is_terminal) as progress:
        task = progress.add_task("gate", total=len(missing))
        jobs: Iterator[tuple[Cell, Run, int]] = iter(missing)
        for done in play_all(jobs, worker_count) if missing else ():
            stored.add(done.cell, done.seed, stored_figures(done), {}, done.verdicts, done.seconds)
            progress.advance(task)


def stored_figures(done: FinishedRun) -> dict[str, float]:
    """Returns the figures of a run by the names under which the results file stores them."""
    values = {"faults": float(done.faults), "nearest": done.figures["cold"]}
    for name, (share, weight) in done.worths.items():
        values |= {f"worth {name}": share, f"weight {name}": weight}
    return values


def restore_run(values: dict[str, float], verdicts: dict[str, str]) -> PolicyRun:
    """Rebuilds a run from the figures that `stored_figures` returned for it, and its verdicts."""
    names = [key.removeprefix("worth ") for key in values if key.startswith("worth ")]
    worths = {name: (values[f"worth {name}"], values[f"weight {name}"]) for name in names}
    return PolicyRun(worths, verdicts, values["nearest"], int(values["faults"]))


def print_run(console: Console, name: str, seed: int, run: PolicyRun, judged: DayVerdict) -> None:
    rules = ", ".join(f"{rule} {run.verdicts[rule]}" for rule in RULES)
    console.print(
        f"{name:5s} {seed:4d}  served {judged.served:.3f} (gate {judged.wanted:.3f})  {rules},"
        f" nearest {run.nearest:.2f}{'  FAILED' if judged.wrong else ''}",
        soft_wrap=True,
    )


def print_summary(
    console: Console, names: list[str], seeds: list[int], verdicts: dict[tuple[str, int], DayVerdict]
) -> None:
    table = Table(title=f"{len(verdicts)} days", title_justify="left")
    for heading in ("day", "seeds", "served, mean", "least", "least above its gate", "failed"):
        table.add_column(heading, justify="left" if heading == "day" else "right")
    for name in names:
        judged_days = [verdicts[name, seed] for seed in seeds]
        served = [judged.served for judged in judged_days]
        table.add_row(
            name,
            str(len(judged_days)),
            f"{np.mean(served):.3f}",
            f"{min(served):.3f}",
            f"{min(judged.served - judged.wanted for judged in judged_days):+.3f}",
            str(sum(bool(judged.wrong) for judged in judged_days)),
        )
    console.print(table)


def write_minimised(
    console: Console, folder: str, failed: list[tuple[str, int, str]], nodes: int, policy: str
) -> None:
    """Writes the smallest schedule found that still breaks a rule, one for each broken rule."""
    try:
        corpus = Corpus(folder)
        for rule in RULES:
            first = next(((name, seed) for name, seed, problem in failed if problem == f"{rule} broke"), None)
            if first is None:
                continue
            schedule = msgspec.to_builtins(day_scenario(first[0], first[1], nodes))
            minimised = minimal_break(schedule, rule, policy, first[1])
            path = corpus.save(f"break-{rule}-{digest(minimised.schedule)}", minimised.schedule)
            console.print(f"{rule}: seed {first[1]}, after {minimised.tried} tries: {path}", soft_wrap=True)
    except OSError as e:
        raise click.ClickException(f"{e.filename or folder}: {e.strerror}") from None
