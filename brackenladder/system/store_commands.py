"""The commands `store inspect`, `verify` and `backup`, for the store of a stopped control node."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer
from returns.result import Failure

from brackenladder.operator_client.errors import CommandError, ExitCode
from brackenladder.system.options import JsonOption
from brackenladder.system.output import print_json, print_line, print_to_stderr
from brackenladder.system.store_copy import integrity_faults, open_copy, store_file, write_backup
from brackenladder.system.store_report import read_report

store = typer.Typer(help="The store of a stopped control node.")
PlaceArgument = Annotated[Path, typer.Argument(help="The folder that DataDir names, or a backup file.")]


@store.command()
def inspect(
    place: PlaceArgument,
    configuration: Annotated[
        bool,
        typer.Option("--configuration", help="Prints only the configuration in the store."),
    ] = False,
    as_json: JsonOption = False,
) -> None:
    """Prints the content of a store, without changing it."""
    with open_copy(place) as opened_store:
        result = read_report(opened_store, str(store_file(place)))
    if isinstance(result, Failure):
        raise CommandError(result.failure())
    report = result.unwrap()
    if configuration:
        if not report.configuration:
            raise CommandError(f"{place}: holds no configuration")
        print_line(report.configuration.decode())
    elif as_json:
        print_json(report.document())
    else:
        for line in report.lines():
            print_line(line)


@store.command()
def verify(place: PlaceArgument, as_json: JsonOption = False) -> int:
    """Reads and checks the whole store. Exit code 0: sound. 1: damaged."""
    faults: list[str] = []
    try:
        with open_copy(place) as opened_store:
            result = read_report(opened_store, str(store_file(place)))
            if isinstance(result, Failure):
                faults.append(result.failure())
            faults += integrity_faults(opened_store)
    except CommandError as error:
        if error.code is not ExitCode.FAILED:
            raise
        faults.append(error.line)
    if as_json:
        print_json({"Place": str(place), "Faults": faults})
    elif not faults:
        print_line(f"{place}: sound")
    else:
        for fault in faults:
            print_to_stderr(f"{place}: {fault}")
    return ExitCode.FAILED if faults else ExitCode.SUCCESS


@store.command()
def backup(
    place: PlaceArgument,
    target: Annotated[Path, typer.Argument(help="The file to write; it must not exist.")],
    as_json: JsonOption = False,
) -> None:
    """Copies a store to one file and checks the copy."""
    write_backup(place, target)
    with open_copy(target) as opened_store:
        result = read_report(opened_store, str(target))
    if isinstance(result, Failure):
        raise CommandError(result.failure())
    report = result.unwrap()
    if as_json:
        print_json(report.document() | {"File": str(target)})
    else:
        version = report.configuration_version
        print_line(f"{target}: entries up to {report.last_index}, configuration version {version}")
