"""Command line: registers the commands and turns errors into one line and an exit code."""

from __future__ import annotations

from collections.abc import Sequence

import click

from brackenladder.cli.control import apply, plan, show
from brackenladder.cli.demo import demo
from brackenladder.cli.experiment import experiment
from brackenladder.cli.gate import gate
from brackenladder.cli.hunt import hunt
from brackenladder.cli.members import members
from brackenladder.cli.rehearse import rehearse

USAGE_ERROR = 2


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def commands() -> None:
    """brackenladder: without a command, runs a node as configured by its environment."""


commands.add_command(apply)
commands.add_command(demo)
commands.add_command(experiment)
commands.add_command(gate)
commands.add_command(hunt)
commands.add_command(members)
commands.add_command(plan)
commands.add_command(rehearse)
commands.add_command(show)


def main(arguments: Sequence[str]) -> int:
    """Runs a command and returns its exit code. Invalid input is reported in one line, with code 2."""
    try:
        result = commands.main(list(arguments), prog_name="brackenladder", standalone_mode=False)
    except click.ClickException as e:
        click.echo(f"brackenladder: {e.format_message()}", err=True)
        return USAGE_ERROR
    except click.Abort:
        click.echo("brackenladder: interrupted", err=True)
        return 1
    return int(result or 0)
