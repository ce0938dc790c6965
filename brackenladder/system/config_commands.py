"""The commands `config show`, `check`, `diff` and `apply`."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Annotated

import typer
from returns.result import Failure, Result

from brackenladder.operator_client.control_client import DEFAULT_TIMEOUT_SECONDS, ControlClient
from brackenladder.operator_client.errors import CommandError, ControlError, ExitCode, NoAnswer, UsageError
from brackenladder.system.config_change import ConfigurationFile, PlannedChange, plan_change, read_file
from brackenladder.system.options import (
    ControlOption,
    JsonOption,
    OptionalControlOption,
    TimeoutOption,
    control_client,
)
from brackenladder.system.output import print_json, print_line, print_to_stderr

config = typer.Typer(help="The operator's configuration.")
FileArgument = Annotated[
    Path, typer.Argument(help="JSON: a whole configuration, or an update with Upsert and Remove.")
]


@config.command()
def show(
    control: ControlOption, patience: TimeoutOption = DEFAULT_TIMEOUT_SECONDS, as_json: JsonOption = False
) -> None:
    """Prints the configuration in force, confirmed by a quorum."""
    document = json.loads(_fetch_current(control, patience) or b"{}")
    if not document:
        raise CommandError("there is no configuration yet")
    if as_json:
        print_json(document)
    else:
        print_line(json.dumps(document, ensure_ascii=False, indent=2))


@config.command()
def check(
    file: FileArgument,
    control: OptionalControlOption = None,
    patience: TimeoutOption = DEFAULT_TIMEOUT_SECONDS,
    as_json: JsonOption = False,
) -> int:
    """Lists all faults of a file. An update is checked together with the configuration in force.

    Exit code 0: no fault. 1: the file would be refused.
    """
    content = read_file(file)
    if content.is_update and not control:
        raise UsageError(f"{file}: an update is checked on top of a configuration: give --control")
    planned = plan_change(content, _fetch_current(control, patience) if control else b"")
    if as_json:
        print_json({"File": str(file), "Faults": list(planned.faults)})
    elif not planned.faults:
        print_line(f"{file}: nothing is wrong")
    _print_faults(file, planned, as_json)
    return ExitCode.FAILED if planned.faults else ExitCode.SUCCESS


@config.command()
def diff(
    file: FileArgument,
    control: ControlOption,
    patience: TimeoutOption = DEFAULT_TIMEOUT_SECONDS,
    as_json: JsonOption = False,
) -> int:
    """Lists what a file would change, item by item.

    Exit code 0: no change. 1: there are changes, or the file would be refused.
    """
    planned = plan_change(read_file(file), _fetch_current(control, patience))
    if as_json:
        changes = [
            {"Place": difference.path, "Before": difference.before, "After": difference.after}
            for difference in planned.differences
        ]
        print_json({"Base": planned.base, "Differences": changes, "Faults": list(planned.faults)})
    elif not planned.faults:
        _print_differences(planned)
    _print_faults(file, planned, as_json)
    return ExitCode.FAILED if planned.faults or planned.differences else ExitCode.SUCCESS


@config.command()
def apply(
    file: FileArgument,
    control: ControlOption,
    base: Annotated[
        int | None, typer.Option("--base", min=0, help="Fails unless this version is in force.")
    ] = None,
    patience: TimeoutOption = DEFAULT_TIMEOUT_SECONDS,
    as_json: JsonOption = False,
) -> int:
    """Applies a file. May be repeated with the same file until it is acknowledged."""
    content = read_file(file)
    planned = plan_change(content, _fetch_current(control, patience))
    if planned.already_in_force:
        return _report_applied(planned.base, as_json, "is in force already")
    if base is not None and base != planned.base:
        raise CommandError(f"{file}: version {planned.base} is in force, not {base}: nothing was sent")
    if planned.faults:
        _print_faults(file, planned, as_json=False)
        return ExitCode.FAILED
    result = asyncio.run(_send_change(control_client(control, patience), content, planned.base))
    if isinstance(result, Failure):
        raise CommandError(f"{file}: {_failure_line(result.failure())}")
    if not as_json:
        _print_differences(planned)
    return _report_applied(result.unwrap(), as_json, "is in force")


def _failure_line(error: ControlError) -> str:
    if isinstance(error, NoAnswer):
        return f"{error}: the change may be in force or not; apply the same file again"
    return f"refused: {error}"


def _report_applied(version: int, as_json: bool, text: str) -> int:
    if as_json:
        print_json({"Version": version})
    else:
        print_line(f"version {version} {text}")
    return ExitCode.SUCCESS


def _print_differences(planned: PlannedChange) -> None:
    for difference in planned.differences:
        print_line(str(difference))
    if not planned.differences:
        print_line(f"nothing differs from version {planned.base}")


def _print_faults(file: Path, planned: PlannedChange, as_json: bool) -> None:
    if not as_json:
        for fault in planned.faults:
            print_to_stderr(f"{file}: {fault}")


def _fetch_current(control: list[str], patience: float) -> bytes:
    """Returns the configuration in force, empty if there is none."""
    fetched = asyncio.run(_fetch(control_client(control, patience)))
    if isinstance(fetched, Failure):
        raise CommandError(str(fetched.failure()))
    return fetched.unwrap()


async def _fetch(client: ControlClient) -> Result[bytes, ControlError]:
    async with client:
        return await client.fetch()


async def _send_change(
    client: ControlClient, file: ConfigurationFile, base: int
) -> Result[int, ControlError]:
    async with client:
        if file.is_update:
            return await client.update(base, file.body)
        return await client.replace(base, file.body)
