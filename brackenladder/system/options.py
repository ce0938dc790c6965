"""Options that several commands share."""

from __future__ import annotations

from typing import Annotated

import typer

from brackenladder.operator_client.control_client import ControlClient
from brackenladder.operator_client.errors import UsageError
from brackenladder.transport.address import parse_address
from brackenladder.transport.errors import AddressError

CONTROL_VARIABLE = "BRACKENLADDER_CONTROL"

ControlOption = Annotated[
    list[str],
    typer.Option(
        "--control",
        envvar=CONTROL_VARIABLE,
        help="Control address of a node, ip:port. May be repeated; in the variable, separated by spaces.",
    ),
]
OptionalControlOption = Annotated[
    list[str] | None,
    typer.Option(
        "--control", envvar=CONTROL_VARIABLE, help="As for the other commands. Needed to check an update."
    ),
]
TimeoutOption = Annotated[
    float,
    typer.Option(
        "--patience", min=0.0, help="Seconds for which a call is retried until its outcome is clear."
    ),
]
JsonOption = Annotated[bool, typer.Option("--json", help="Prints one JSON object.")]


def control_client(nodes: list[str], timeout_s: float) -> ControlClient:
    """Returns a client for the nodes that `--control` names."""
    if not nodes:
        raise UsageError(f"no control node is named: give --control ip:port or set {CONTROL_VARIABLE}")
    try:
        return ControlClient(tuple(str(parse_address(node)) for node in nodes), timeout_s)
    except AddressError as error:
        raise UsageError(f"--control: {error}") from None
