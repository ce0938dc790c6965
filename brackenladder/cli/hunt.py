"""`hunt`: looks for schedules of faults and load that break a rule, in virtual time."""

from __future__ import annotations

from pathlib import Path
from time import monotonic

import click
from rich.console import Console

from brackenladder.fleet.schedule_search import Corpus, MinimalBreak, ScheduleSearch
from brackenladder.fleet.variants import policies
from brackenladder.rehearsal.scenario import ScenarioError


@click.command()
@click.option("--for", "seconds", type=click.FloatRange(min=1), default=60.0, help="Seconds that it lasts.")
@click.option("--corpus", default="hunt", help="The folder that it goes on from and keeps its finds in.")
@click.option("--jobs", type=click.IntRange(min=1, max=256), default=None, help="Runs at a time; all cores.")
@click.option("--seed", type=click.IntRange(min=0), default=None, help="Of what is drawn; else by the clock.")
@click.option("--policy", type=click.Choice(policies()), default="module", help="Who decides in the nodes.")
def hunt(seconds: float, corpus: str, jobs: int | None, seed: int | None, policy: str) -> int:
    """Draws, plays and changes schedules; a break is shrunk and kept as a scenario file.

    Exit code 0: no rule broke. 1: one did. 2: the corpus cannot be used.
    """
    console = Console(highlight=False)
    status = console.status("drawing")

    def told(found: MinimalBreak, path: Path) -> None:
        kinds = ", ".join(f["kind"] for f in found.schedule["faults"]) or "no fault"
        console.print(
            f"{found.rule} broke: {kinds}; {found.schedule['nodes']} nodes,"
            f" {found.schedule['servers']['count']} servers, {found.schedule['length_s']:g} s,"
            f" after {found.tried} tries to make it smaller: {path}",
            markup=False,
            soft_wrap=True,
        )

    def progress(played: int, near: float, left: float) -> None:
        status.update(f"{played} schedules, nearest {near:.2f}, {max(0.0, left):.0f} s left")

    number = int(monotonic() * 1000) if seed is None else seed
    try:
        hunting = ScheduleSearch(Corpus(corpus), number, policy, told, progress)
        if console.is_terminal:
            status.start()
        hunting.run(seconds, jobs or 0)
    except ScenarioError as e:
        raise click.ClickException(str(e)) from None
    except OSError as e:
        raise click.ClickException(f"{e.filename or corpus}: {e.strerror}") from None
    finally:
        status.stop()
    nearest = max((j.near for j in hunting.population), default=0.0)
    console.print(
        f"{hunting.played} schedules, {hunting.invalid} that were none; cold came as near as {nearest:.2f}"
        f" without a break; seed {number}",
        soft_wrap=True,
    )
    for rule, count in sorted(hunting.broken.items()):
        console.print(f"{rule}: broke in {count}")
    return 1 if hunting.broken else 0
