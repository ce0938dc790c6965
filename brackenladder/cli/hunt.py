"""The command `hunt`: searches for schedules of faults and load that break a rule, in virtual time."""

from __future__ import annotations

from pathlib import Path
from time import monotonic

import click
from rich.console import Console

from brackenladder.fleet.schedule_search import Corpus, MinimalBreak, ScheduleSearch
from brackenladder.fleet.variants import policies
from brackenladder.rehearsal.scenario import ScenarioError


@click.command()
@click.option("--for", "seconds", type=click.FloatRange(min=1), default=60.0, help="Duration in seconds.")
@click.option("--corpus", default="hunt", help="Folder of known schedules, to which new ones are added.")
@click.option(
    "--jobs",
    type=click.IntRange(min=1, max=256),
    default=None,
    help="Parallel runs. Default: one for each core.",
)
@click.option(
    "--seed",
    type=click.IntRange(min=0),
    default=None,
    help="Seed of the random choices. Default: from the clock.",
)
@click.option(
    "--policy", type=click.Choice(policies()), default="module", help="The policy that the nodes use."
)
def hunt(seconds: float, corpus: str, jobs: int | None, seed: int | None, policy: str) -> int:
    """Generates, runs and mutates schedules. One that breaks a rule is minimised and kept as a scenario file.

    Exit code 0: no rule was broken. 1: one was. 2: the corpus cannot be used.
    """
    console = Console(highlight=False)
    status = console.status("drawing")

    def report_break(found: MinimalBreak, path: Path) -> None:
        kinds = ", ".join(fault["kind"] for fault in found.schedule["faults"]) or "no fault"
        console.print(
            f"{found.rule} broke: {kinds}; {found.schedule['nodes']} nodes,"
            f" {found.schedule['servers']['count']} servers, {found.schedule['length_s']:g} s,"
            f" after {found.tried} tries to make it smaller: {path}",
            markup=False,
            soft_wrap=True,
        )

    def progress(played: int, nearest: float, seconds_left: float) -> None:
        status.update(f"{played} schedules, nearest {nearest:.2f}, {max(0.0, seconds_left):.0f} s left")

    actual_seed = int(monotonic() * 1000) if seed is None else seed
    try:
        hunting = ScheduleSearch(Corpus(corpus), actual_seed, policy, report_break, progress)
        if console.is_terminal:
            status.start()
        hunting.run(seconds, jobs or 0)
    except ScenarioError as e:
        raise click.ClickException(str(e)) from None
    except OSError as e:
        raise click.ClickException(f"{e.filename or corpus}: {e.strerror}") from None
    finally:
        status.stop()
    nearest = max((judged.near for judged in hunting.population), default=0.0)
    console.print(
        f"{hunting.played} schedules, {hunting.invalid} invalid;"
        f" nearest to breaking cold without breaking it {nearest:.2f}; seed {actual_seed}",
        soft_wrap=True,
    )
    for rule, count in sorted(hunting.broken.items()):
        console.print(f"{rule}: broke in {count}")
    return 1 if hunting.broken else 0
