"""Registers all commands and turns errors into one line and an exit code."""

from __future__ import annotations

import sys
from collections.abc import Sequence

import typer
from typer.exceptions import Abort, TyperException

from brackenladder.operator_client.errors import CommandError, ExitCode
from brackenladder.system.config_commands import config
from brackenladder.system.evacuate_command import evacuate
from brackenladder.system.local_command import local
from brackenladder.system.simulate_command import simulate
from brackenladder.system.soak_command import soak
from brackenladder.system.status_command import status
from brackenladder.system.store_commands import store

PROGRAM = "brackenladder.system"

app = typer.Typer(
    help="The whole system: run it on loopback, query and change it, inspect its stores.",
    add_completion=False,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
    context_settings={"help_option_names": ["-h", "--help"]},
)
app.command()(local)
app.command()(status)
app.add_typer(config, name="config")
app.command()(evacuate)
app.command()(simulate)
app.command()(soak)
app.add_typer(store, name="store")


def main(arguments: Sequence[str]) -> int:
    """Runs a command and returns its exit code. An error is printed as one line."""
    try:
        result = typer.main.get_command(app).main(
            list(arguments), prog_name=f"python -m {PROGRAM}", standalone_mode=False
        )
    except CommandError as error:
        return _fail(error.line, error.code)
    except TyperException as error:
        return _fail(error.format_message(), ExitCode.USAGE_ERROR)
    except (Abort, KeyboardInterrupt):
        return _fail("interrupted", ExitCode.FAILED)
    return int(result or ExitCode.SUCCESS)


def _fail(line: str, code: ExitCode) -> int:
    print(f"brackenladder: {line}", file=sys.stderr)
    return code
