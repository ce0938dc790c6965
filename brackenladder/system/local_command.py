"""The command `local`: runs a small complete system on loopback."""

from __future__ import annotations

import asyncio
import re
from pathlib import Path
from shutil import rmtree
from tempfile import mkdtemp
from typing import Annotated

import typer

from brackenladder.control_plane.status import status_document
from brackenladder.local_site.layout import DEFAULT_NETWORK
from brackenladder.operator_client.errors import CommandError, ExitCode, UsageError
from brackenladder.system.local.faults import Fault
from brackenladder.system.local.local_system import LocalError
from brackenladder.system.local.run import LocalPlan, LocalSummary, run_local
from brackenladder.system.options import JsonOption
from brackenladder.system.output import print_json, print_line, print_to_stderr
from brackenladder.system.status_text import status_lines

_NETWORK = re.compile(r"127(\.(25[0-5]|2[0-4]\d|1?\d?\d)){2}")


def local(
    seconds: Annotated[
        float | None, typer.Option("--seconds", min=0.0, help="Ends after this time and prints a summary.")
    ] = None,
    fault: Annotated[Fault | None, typer.Option("--fault", help="Injects this fault once.")] = None,
    network: Annotated[
        str, typer.Option("--network", help="First three numbers of the loopback addresses to use.")
    ] = DEFAULT_NETWORK,
    folder: Annotated[
        Path | None, typer.Option("--folder", help="An empty folder for settings files, logs and stores.")
    ] = None,
    as_json: JsonOption = False,
) -> int:
    """Runs a system in 3 regions until Ctrl-C: 3 control nodes, 3 gateways, 7 servers, and clients.

    Exit code 0: every request was served, and no process ended except through --fault. 1: otherwise.
    """
    if not _NETWORK.fullmatch(network):
        raise UsageError(f"--network: {network!r} is not of the form 127.a.b")
    plan = LocalPlan(network, _prepare_folder(folder), seconds, fault)
    try:
        summary = asyncio.run(run_local(plan, print_to_stderr if as_json else print_line))
    except LocalError as error:
        raise CommandError(f"{error}{_kept_files_note(plan.folder)}") from None
    if folder is None and summary.healthy:
        rmtree(plan.folder, ignore_errors=True)
    else:
        print_to_stderr(f"settings files, logs and stores are kept in {plan.folder}")
    if as_json:
        print_json(_summary_document(summary))
    else:
        for line in _summary_lines(summary):
            print_line(line)
    return ExitCode.SUCCESS if summary.healthy else ExitCode.FAILED


def _prepare_folder(folder: Path | None) -> Path:
    if folder is None:
        return Path(mkdtemp(prefix="brackenladder-"))
    try:
        folder.mkdir(parents=True, exist_ok=True)
        empty = not any(folder.iterdir())
    except OSError as error:
        raise UsageError(f"--folder: {folder}: {error.strerror}") from None
    if not empty:
        raise UsageError(f"--folder: {folder} is not empty")
    return folder.absolute()


def _kept_files_note(folder: Path) -> str:
    """Says where files are kept, for an error line. An empty folder is removed instead."""
    if any(folder.iterdir()):
        return f"; settings files and logs are kept in {folder}"
    folder.rmdir()
    return ""


def _summary_document(summary: LocalSummary) -> dict[str, object]:
    fault = summary.fault
    return {
        "Traffic": summary.traffic,
        "Fault": None if fault is None else {"Done": fault.action, "Seen": fault.outcome},
        "Ends": [str(end) for end in summary.exits],
        "Status": None if summary.status is None else status_document(summary.status),
        "Sound": summary.healthy,
    }


def _summary_lines(summary: LocalSummary) -> list[str]:
    if summary.status is None:
        return ["ended before the system was ready"]
    lines = status_lines(summary.status)
    for kind, counts in summary.traffic.items():
        lines.append(
            f"requests      {kind}: {counts['served']} served, {counts['retried']} served after a retry,"
            f" {counts['refused']} refused, {counts['failed']} failed;"
            f" p50 {counts['p50_ms']} ms, p99 {counts['p99_ms']} ms"
        )
        lines += [f"              {number} x {detail}" for detail, number in counts["details"].items()]
    lines += [f"ended         {end}" for end in summary.exits]
    if summary.fault is not None:
        lines.append(f"fault         {summary.fault.action}: {summary.fault.outcome}")
    return lines
