"""`simulate`: whole control nodes in virtual time, under faults, checked from what their callers saw."""

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
from brackenladder.system.output import note, say

PROGRESS_EVERY = 50  # schedules
LARGEST_SEED = 1 << 40
DEFAULT_TRIES = 400  # schedules until a planted fault has to be found
_SEEDS = re.compile(r"(\d+)(?:-(\d+))?")


def simulate(
    profile: Annotated[
        list[str] | None, typer.Option("--profile", help="One of --list; may be repeated. Default: all.")
    ] = None,
    seeds: Annotated[
        str, typer.Option("--seeds", help="A or A-B, both included, for each profile.")
    ] = "1-20",
    jobs: Annotated[int, typer.Option("--jobs", min=0, help="Processes; 0: one a core.")] = 0,
    replay: Annotated[int | None, typer.Option("--replay", min=0, help="Plays one seed again.")] = None,
    trace: Annotated[bool, typer.Option("--trace", help="With --replay: what the nodes log.")] = False,
    fewest: Annotated[
        bool, typer.Option("--shrink", help="With --replay: leaves out faults that are not needed.")
    ] = False,
    listed: Annotated[bool, typer.Option("--list", help="Names the profiles.")] = False,
    mutants_listed: Annotated[bool, typer.Option("--list-mutants", help="Names the planted faults.")] = False,
    convict: Annotated[
        bool, typer.Option("--convict", help="Plays the planted faults until each one is found.")
    ] = False,
    mutant: Annotated[
        list[str] | None, typer.Option("--mutant", help="With --convict: only these; may be repeated.")
    ] = None,
    tries: Annotated[
        int, typer.Option("--tries", min=1, help="With --convict: most schedules of each.")
    ] = DEFAULT_TRIES,
) -> int:
    """Plays seeded schedules of faults against whole control nodes. Exit code 1: something broke."""
    if listed or mutants_listed:
        return _list(mutants_listed)
    names = _known(profile or list(DESCRIPTIONS), DESCRIPTIONS, "--profile")
    workers = jobs or os.cpu_count() or 1
    if convict:
        return _convict(_known(mutant or list(MUTANTS), MUTANTS, "--mutant"), tries, workers)
    if replay is not None:
        return _replay(Schedule(_only(names), replay), trace, fewest)
    return _play(schedules(names, seed_range(seeds)), workers)


def _list(mutants_listed: bool) -> int:
    if mutants_listed:
        for name, planted in MUTANTS.items():
            say(f"{name:28} {planted.profile:10} {planted.description}")
    else:
        for name, description in DESCRIPTIONS.items():
            say(f"{name:10} {description}")
    return ExitCode.SUCCESS


def _known(names: list[str], known: object, option: str) -> list[str]:
    assert isinstance(known, dict)
    for name in names:
        if name not in known:
            raise UsageError(f"{option}: {name!r} is none of {', '.join(known)}")
    return names


def _only(names: list[str]) -> str:
    if len(names) != 1:
        raise UsageError("--replay needs one --profile")
    return names[0]


def seed_range(text: str) -> range:
    """The seeds that `A` or `A-B` names."""
    match = _SEEDS.fullmatch(text)
    if match is None:
        raise UsageError(f"--seeds: {text!r} is neither A nor A-B")
    first = int(match[1])
    last = int(match[2]) if match[2] else first
    if not first <= last < LARGEST_SEED:
        raise UsageError(f"--seeds: {text!r} is no range")
    return range(first, last + 1)


def _play(todo: list[Schedule], jobs: int) -> int:
    summary = Summary()
    told = 0
    for summary in campaign(todo, jobs):
        for result in summary.broken[told:]:
            _say_broken(result)
        told = len(summary.broken)
        if summary.schedules % PROGRESS_EVERY == 0 and sys.stderr.isatty():
            note(f"{summary.schedules} of {len(todo)}, {summary.seconds:.0f} s, {told} broken")
    _say_summary(summary)
    return ExitCode.FAILED if summary.broken else ExitCode.SUCCESS


def _say_broken(result: RunResult) -> None:
    say(f"{result.profile} {result.seed}: {result.detail}")
    again = f"--profile {result.profile} --replay {result.seed} --trace"
    say(f"  again: python -m brackenladder.system simulate {again}")


def _say_summary(summary: Summary) -> None:
    rate = summary.schedules / summary.seconds if summary.seconds else 0.0
    say(
        f"{summary.schedules} schedules in {summary.seconds:.0f} s ({rate:.1f} a second), "
        f"{len(summary.broken)} broken"
    )
    say(
        f"{summary.events} messages and calls, {summary.orders} orders, {summary.acknowledged} acknowledged, "
        f"{summary.elections} terms with a leader"
    )
    say("faults that met a node, by its role then:")
    for meeting, times in sorted(summary.faults_by_role.items()):
        say(f"  {meeting}: {times}")


def _convict(names: list[str], tries: int, jobs: int) -> int:
    acquitted = 0
    for conviction in detect_mutants(names, tries, jobs):
        acquitted += not conviction.rule
        found = conviction.rule or "NOT FOUND"
        say(f"{conviction.mutant:28} {conviction.profile:10} {found} in {conviction.schedules} schedules")
    say(f"{len(names) - acquitted} of {len(names)} planted faults found")
    return ExitCode.FAILED if acquitted else ExitCode.SUCCESS


def _replay(schedule: Schedule, trace: bool, fewest: bool) -> int:
    skipped: frozenset[int] = frozenset()
    if fewest:
        skipped, _ = shrink(schedule)
        say(f"not needed: {', '.join(map(str, sorted(skipped))) or 'none'}")
    result = run_schedule(schedule.profile, schedule.seed, say if trace else None, skipped)
    say(result.detail or "nothing broke")
    return ExitCode.FAILED if result.rule else ExitCode.SUCCESS
