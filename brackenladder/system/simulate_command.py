"""The command `simulate`: complete control nodes in virtual time under faults, checked from the outside.

Only what the callers of the nodes observed is checked.
"""

from __future__ import annotations

import os
import re
import sys
from typing import Annotated

import typer

from brackenladder.operator_client.errors import ExitCode, UsageError
from brackenladder.simulation.campaign import Schedule, Summary, campaign, detect_mutants, schedules, shrink
from brackenladder.simulation.mutants.known import MUTANTS
from brackenladder.simulation.run import RunResult
from brackenladder.simulation.schedules import DESCRIPTIONS, run_schedule
from brackenladder.system.output import print_line, print_to_stderr

PROGRESS_INTERVAL = 50  # schedules between two progress lines
SEED_LIMIT = 1 << 40  # every seed is smaller
DEFAULT_TRIES = 400  # schedules within which a planted fault must be found
_SEEDS = re.compile(r"(\d+)(?:-(\d+))?")


def simulate(
    profile: Annotated[
        list[str] | None, typer.Option("--profile", help="A name of --list; may be repeated. Default: all.")
    ] = None,
    seeds: Annotated[
        str, typer.Option("--seeds", help="A or A-B, both included, for each profile.")
    ] = "1-20",
    jobs: Annotated[
        int, typer.Option("--jobs", min=0, help="Number of processes. 0: one for each core.")
    ] = 0,
    replay: Annotated[int | None, typer.Option("--replay", min=0, help="Runs one seed again.")] = None,
    trace: Annotated[
        bool, typer.Option("--trace", help="With --replay: prints the log of the nodes.")
    ] = False,
    shrink_faults: Annotated[
        bool,
        typer.Option("--shrink", help="With --replay: leaves out faults that the failure does not need."),
    ] = False,
    list_profiles: Annotated[bool, typer.Option("--list", help="Lists the profiles.")] = False,
    list_mutants: Annotated[bool, typer.Option("--list-mutants", help="Lists the planted faults.")] = False,
    convict: Annotated[
        bool, typer.Option("--convict", help="Runs each planted fault until the checks detect it.")
    ] = False,
    mutant: Annotated[
        list[str] | None, typer.Option("--mutant", help="With --convict: only this one; may be repeated.")
    ] = None,
    tries: Annotated[
        int, typer.Option("--tries", min=1, help="With --convict: maximum number of schedules for each.")
    ] = DEFAULT_TRIES,
) -> int:
    """Runs seeded schedules of faults against complete control nodes. Exit code 1: a check failed."""
    if list_profiles or list_mutants:
        return _list(list_mutants)
    names = _validate_names(profile or list(DESCRIPTIONS), DESCRIPTIONS, "--profile")
    workers = jobs or os.cpu_count() or 1
    if convict:
        return _check_mutants(_validate_names(mutant or list(MUTANTS), MUTANTS, "--mutant"), tries, workers)
    if replay is not None:
        return _replay(Schedule(_single_profile(names), replay), trace, shrink_faults)
    return _run_campaign(schedules(names, parse_seed_range(seeds)), workers)


def _list(list_mutants: bool) -> int:
    if list_mutants:
        for name, planted in MUTANTS.items():
            print_line(f"{name:28} {planted.profile:10} {planted.description}")
    else:
        for name, description in DESCRIPTIONS.items():
            print_line(f"{name:10} {description}")
    return ExitCode.SUCCESS


def _validate_names(names: list[str], known: object, option: str) -> list[str]:
    assert isinstance(known, dict)
    for name in names:
        if name not in known:
            raise UsageError(f"{option}: {name!r} is none of {', '.join(known)}")
    return names


def _single_profile(names: list[str]) -> str:
    if len(names) != 1:
        raise UsageError("--replay needs one --profile")
    return names[0]


def parse_seed_range(text: str) -> range:
    """Parses `A` or `A-B`, both included."""
    match = _SEEDS.fullmatch(text)
    if match is None:
        raise UsageError(f"--seeds: {text!r} is neither A nor A-B")
    first = int(match[1])
    last = int(match[2]) if match[2] else first
    if not first <= last < SEED_LIMIT:
        raise UsageError(f"--seeds: {text!r} is an empty range, or has a seed of 2**40 or more")
    return range(first, last + 1)


def _run_campaign(pending: list[Schedule], jobs: int) -> int:
    summary = Summary()
    reported = 0
    for summary in campaign(pending, jobs):
        for result in summary.broken[reported:]:
            _print_failure(result)
        reported = len(summary.broken)
        if summary.schedules % PROGRESS_INTERVAL == 0 and sys.stderr.isatty():
            print_to_stderr(
                f"{summary.schedules} of {len(pending)}, {summary.seconds:.0f} s, {reported} broken"
            )
    _print_summary(summary)
    return ExitCode.FAILED if summary.broken else ExitCode.SUCCESS


def _print_failure(result: RunResult) -> None:
    print_line(f"{result.profile} {result.seed}: {result.detail}")
    options = f"--profile {result.profile} --replay {result.seed} --trace"
    print_line(f"  again: python -m brackenladder.system simulate {options}")


def _print_summary(summary: Summary) -> None:
    rate = summary.schedules / summary.seconds if summary.seconds else 0.0
    print_line(
        f"{summary.schedules} schedules in {summary.seconds:.0f} s ({rate:.1f} a second), "
        f"{len(summary.broken)} broken"
    )
    print_line(
        f"{summary.events} messages and calls, {summary.orders} orders, {summary.acknowledged} acknowledged, "
        f"{summary.elections} terms with a leader"
    )
    print_line("faults that met a node, by its role then:")
    for meeting, times in sorted(summary.faults_by_role.items()):
        print_line(f"  {meeting}: {times}")


def _check_mutants(names: list[str], tries: int, jobs: int) -> int:
    missed = 0
    for outcome in detect_mutants(names, tries, jobs):
        missed += not outcome.rule
        found = outcome.rule or "NOT FOUND"
        print_line(f"{outcome.mutant:28} {outcome.profile:10} {found} in {outcome.schedules} schedules")
    print_line(f"{len(names) - missed} of {len(names)} planted faults found")
    return ExitCode.FAILED if missed else ExitCode.SUCCESS


def _replay(schedule: Schedule, trace: bool, shrink_faults: bool) -> int:
    skipped: frozenset[int] = frozenset()
    if shrink_faults:
        skipped, _ = shrink(schedule)
        print_line(f"not needed: {', '.join(map(str, sorted(skipped))) or 'none'}")
    result = run_schedule(schedule.profile, schedule.seed, print_line if trace else None, skipped)
    print_line(result.detail or "nothing broke")
    return ExitCode.FAILED if result.rule else ExitCode.SUCCESS
