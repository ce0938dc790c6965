"""`store inspect`, `verify` and `backup`: of a control node that is stopped."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer
from returns.result import Failure

from brackenladder.operator_client.errors import CommandError, ExitCode
from brackenladder.system.options import JsonOption
from brackenladder.system.output import note, print_json, say
from brackenladder.system.store_copy import integrity_faults, opened_copy, source_of, write_backup
from brackenladder.system.store_report import report_of

store = typer.Typer(help="The store of a control node that is stopped.")
PlaceArgument = Annotated[Path, typer.Argument(help="The folder that DataDir names, or a backup file.")]


@store.command()
def inspect(
    place: PlaceArgument,
    configuration: Annotated[
        bool,
        typer.Option("--configuration", help="Prints the configuration that it holds, and nothing else."),
    ] = False,
    as_json: JsonOption = False,
) -> None:
    """What a store holds. It is read, never changed."""
    with opened_copy(place) as opened:
        reported = report_of(opened, str(source_of(place)))
    if isinstance(reported, Failure):
        raise CommandError(reported.failure())
    report = reported.unwrap()
    if configuration:
        if not report.configuration:
            raise CommandError(f"{place}: holds no configuration")
        say(report.configuration.decode())
    elif as_json:
        print_json(report.document())
    else:
        for line in report.lines():
            say(line)


@store.command()
def verify(place: PlaceArgument, as_json: JsonOption = False) -> int:
    """Reads all of a store and checks it. Exit code 0: sound. 1: damaged."""
    faults: list[str] = []
    try:
        with opened_copy(place) as opened:
            reported = report_of(opened, str(source_of(place)))
            if isinstance(reported, Failure):
                faults.append(reported.failure())
            faults += integrity_faults(opened)
    except CommandError as error:
        if error.code is not ExitCode.FAILED:
            raise
        faults.append(error.line)
    if as_json:
        print_json({"Place": str(place), "Faults": faults})
    elif not faults:
        say(f"{place}: sound")
    else:
        for fault in faults:
            note(f"{place}: {fault}")
    return ExitCode.FAILED if faults else ExitCode.SUCCESS


@store.command()
def backup(
    place: PlaceArgument,
    target: Annotated[Path, typer.Argument(help="The file to write; it must not exist.")],
    as_json: JsonOption = False,
) -> None:
    """Writes a store as one file, and checks what was written."""
    write_backup(place, target)
    with opened_copy(target) as opened:
        reported = report_of(opened, str(target))
    if isinstance(reported, Failure):
        raise CommandError(reported.failure())
    report = reported.unwrap()
    if as_json:
        print_json(report.document() | {"File": str(target)})
    else:
        version = report.configuration_version
        say(f"{target}: entries up to {report.last_index}, configuration version {version}")
