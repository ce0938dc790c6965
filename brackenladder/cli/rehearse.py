"""The command `rehearse`: runs a scenario against real nodes and reports whether each rule held."""

from __future__ import annotations

import asyncio
import tempfile
from pathlib import Path

import click
import msgspec
from rich.console import Console
from rich.table import Table

from brackenladder.rehearsal import report as reports
from brackenladder.rehearsal.checker import RULES, Report, check
from brackenladder.rehearsal.follow import OUTCOMES, FollowError, describe_request, select_requests
from brackenladder.rehearsal.nodes import NodeError
from brackenladder.rehearsal.plan import describe_plan, plan_of
from brackenladder.rehearsal.runner import Result, RunError
from brackenladder.rehearsal.runner import rehearse as run
from brackenladder.rehearsal.scenario import Scenario, ScenarioError, load, on_sockets, shipped, too_large
from brackenladder.rehearsal.timeline import render_page

MAX_PRINTED = 5  # violations printed for each rule; the JSON report has more
COLOURS = {"held": "green", "broke": "bold red", "not tried": "yellow", "not valid": "magenta"}


class Progress:
    """Shows a progress line and prints a line for each fault, only on a terminal."""

    def __init__(self, console: Console) -> None:
        self.console = console
        self.status = console.status("starting")
        if console.is_terminal:
            self.status.start()

    def __call__(self, seconds: float, counts: dict[str, int], text: str) -> None:
        if not self.console.is_terminal:
            return
        if text:
            self.console.print(f"{seconds:7.2f} s  {text}")
        figures = ", ".join(f"{count} {name}" for name, count in counts.items())
        self.status.update(f"{max(0.0, seconds):.1f} s  {figures}")

    def end(self) -> None:
        self.status.stop()


@click.command()
@click.argument("scenario", required=False)
@click.option(
    "--seed", type=click.IntRange(min=0), default=1, help="Seed of the times, targets and requests."
)
@click.option(
    "--node", "command", default="", help="The command that starts the node, instead of this build's own."
)
@click.option(
    "--in",
    "where",
    type=click.Choice(["sockets", "model"]),
    default="sockets",
    help="Real nodes on sockets, or the decision modules in virtual time.",
)
@click.option(
    "--json", "json_file", type=click.Path(dir_okay=False), help="Writes the full report to this file."
)
@click.option("--junit", type=click.Path(dir_okay=False), help="Writes a JUnit report to this file.")
@click.option(
    "--timeline",
    type=click.Path(dir_okay=False),
    help="Writes a page with a timeline of each node and server to this file.",
)
@click.option("--keep", type=click.Path(file_okay=False), help="Keeps journals and node logs in this folder.")
@click.option(
    "--follow", help=f"Prints the path of requests through all nodes: an id, or one of {', '.join(OUTCOMES)}."
)
@click.option("--list", "listing", is_flag=True, help="Lists the built-in scenarios.")
@click.option("--explain", is_flag=True, help="Prints the planned faults and their times, and runs nothing.")
def rehearse(
    scenario: str | None,
    seed: int,
    command: str,
    where: str,
    json_file: str | None,
    junit: str | None,
    timeline: str | None,
    keep: str | None,
    follow: str | None,
    listing: bool,
    explain: bool,
) -> int:
    """Runs SCENARIO (a name or FILE.toml) against real nodes and checks the four rules.

    Exit code 0: every rule that was exercised held. 1: a rule was broken, a node crashed, or the stand-ins
    ran too late for a valid result. 2: the scenario cannot be used.
    """
    if listing:
        for name in shipped():
            click.echo(f"{name:24} {load(name).about}")
        return 0
    if not scenario:
        raise click.UsageError("rehearse: name a scenario, or --list")
    try:
        loaded = load(scenario)
        loaded, ignored = on_sockets(loaded) if where == "sockets" else (loaded, ignored_in_model(loaded))
        problem = size_error(loaded, where)
        if problem:
            raise ScenarioError(f"{scenario}: {problem}")
        plan = plan_of(loaded, seed)
    except ScenarioError as e:
        text = str(e)
        raise click.ClickException(text if scenario in text else f"{scenario}: {text}") from None
    if explain:
        click.echo("\n".join(describe_plan(loaded, plan)))
        return 0
    for file in (json_file, junit, timeline):
        if file is not None and not Path(file).absolute().parent.is_dir():
            raise click.ClickException(f"{file}: no such folder")
    console = Console(highlight=False, stderr=False)
    for text in ignored:
        console.print(f"ignored {'in the model' if where == 'model' else 'on sockets'}: {text}", markup=False)
    if where == "model":
        result = play_in_model(loaded, seed, command, keep)
        return report_run(console, scenario, loaded, result, json_file, junit, timeline, follow)
    progress = Progress(console)
    with tempfile.TemporaryDirectory(prefix="rehearsal-") as temporary:
        folder = Path(keep) if keep else Path(temporary)
        try:
            folder.mkdir(parents=True, exist_ok=True)
            if any(folder.glob("*.jsonl")):
                raise click.ClickException(f"{keep}: holds the journals of another run")
            result = asyncio.run(run(loaded, seed, command, folder, progress))
        except OSError as e:
            raise click.ClickException(f"{e.filename or folder}: {e.strerror}") from None
        except NodeError as e:
            click.echo(f"brackenladder: rehearse: {e}{last_log_line(folder)}", err=True)
            return 1
        except RunError as e:
            click.echo(f"brackenladder: rehearse: not valid: {e}", err=True)
            return 1
        finally:
            progress.end()
    return report_run(console, scenario, loaded, result, json_file, junit, timeline, follow)


def size_error(scenario: Scenario, where: str) -> str:
    """Returns why a scenario is too large to run over sockets or in the simulation, or an empty text."""
    if where == "sockets":
        return too_large(scenario)
    from brackenladder.fleet.model import too_large as model_size_error

    return model_size_error(scenario)


def ignored_in_model(scenario: Scenario) -> list[str]:
    """Names the settings and faults of a scenario that have no effect in the simulation."""
    from brackenladder.fleet.model import unsupported

    return unsupported(scenario)


def play_in_model(scenario: Scenario, seed: int, command: str, keep: str | None) -> Result:
    """Simulates a scenario in virtual time, without sockets."""
    from brackenladder.fleet.model import play
    from brackenladder.fleet.queue import Standstill

    if command or keep:
        raise click.ClickException("--node and --keep need --in sockets: the model has no processes")
    try:
        return play(scenario, seed)
    except Standstill as e:
        raise click.ClickException(str(e)) from None


def report_run(
    console: Console,
    scenario: str,
    loaded: Scenario,
    result: Result,
    json_file: str | None,
    junit: str | None,
    timeline: str | None,
    follow: str | None,
) -> int:
    """Checks a run, writes the requested reports and returns the exit code."""
    report = check(result.events, reports.terms_of(loaded))
    name = Path(scenario).stem
    if json_file:
        Path(json_file).write_bytes(reports.as_json(name, loaded, result, report))
    if junit:
        Path(junit).write_bytes(reports.as_junit(name, report, result))
    if timeline:
        Path(timeline).write_text(render_page(loaded, result, report))
    print_report(console, loaded, result, report)
    if follow:
        events = [msgspec.structs.replace(event, t=event.t - result.begin) for event in result.events]
        try:
            for request_id in select_requests(events, follow):
                click.echo(f"\nrequest {request_id}")
                click.echo("\n".join(describe_request(events, request_id)))
        except FollowError as e:
            raise click.ClickException(f"--follow: {e}") from None
    return 0 if reports.passed(report, result, reports.member_verdicts(loaded, result)) else 1


def last_log_line(folder: Path) -> str:
    """Returns the last line of the nodes' logs for an error text, or an empty text."""
    lines = [
        line for log in sorted(folder.glob("*.log")) for line in log.read_text(errors="replace").splitlines()
    ]
    return f": {lines[-1]}" if lines else ""


def print_report(console: Console, scenario: Scenario, result: Result, report: Report) -> None:
    """Prints the table of verdicts, and the violations."""
    table = Table(title=f"{scenario.title}, seed {result.plan.seed}", title_justify="left")
    for heading in ("rule", "verdict", "chances", "broken", "within slack", "meaning"):
        table.add_column(
            heading, justify="right" if heading in ("chances", "broken", "within slack") else "left"
        )
    for rule in RULES:
        ruling = report.rulings[rule]
        table.add_row(
            rule,
            f"[{COLOURS[ruling.verdict]}]{ruling.verdict}[/]",
            str(ruling.chances),
            str(ruling.broken),
            str(ruling.edges),
            reports.MEANINGS[rule],
        )
    members = reports.member_verdicts(scenario, result)
    for rule_name, judged in members.items():
        verdict = f"[{COLOURS[judged.verdict]}]{judged.verdict}[/]"
        meaning = reports.MEMBER_MEANINGS[rule_name]
        table.add_row(rule_name, verdict, str(judged.chances), str(judged.broken), "", meaning)
    console.print(table)
    for rule_name, judged in members.items():
        for text in judged.evidence[:MAX_PRINTED]:
            console.print(f"{rule_name}: {text}", markup=False)
        if judged.worst_ms:
            console.print(f"{rule_name}: at the latest after {judged.worst_ms / 1000:.2f} s")
    for rule in RULES:
        for finding in report.rulings[rule].evidence[:MAX_PRINTED]:
            at = (finding.t - result.begin) / 1e6
            console.print(
                f"{rule}: {at:.3f} s {finding.node} {finding.server} {finding.id}: {finding.text}",
                markup=False,
            )
    for name, codes in result.crashed.items():
        console.print(f"{name} crashed: exit code {', '.join(map(str, codes))}")
    for note in reports.notes(scenario, result):
        console.print(note)
    if "not valid" in report.verdicts.values():
        console.print(f"not valid: the stand-in '{report.late}' ran {report.lag / 1000:.0f} ms late")
    counts = ", ".join(f"{count} {name}" for name, count in result.counts.items())
    console.print(f"{counts}; {result.seconds:.1f} s; worst lag {report.lag / 1000:.1f} ms")
