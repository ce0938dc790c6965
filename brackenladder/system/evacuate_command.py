"""The command `evacuate`: stops the requests to a zone's servers, or allows them again."""

from __future__ import annotations

import asyncio
from typing import Annotated

import typer
from returns.result import Failure, Result

from brackenladder.operator_client.control_client import DEFAULT_TIMEOUT_SECONDS, ControlClient
from brackenladder.operator_client.errors import CommandError, ControlError
from brackenladder.system.options import ControlOption, JsonOption, TimeoutOption, control_client
from brackenladder.system.output import print_json, print_line


def evacuate(
    zone: Annotated[str, typer.Argument(help="A zone that the settings files name.")],
    control: ControlOption,
    finish: Annotated[bool, typer.Option("--finish", help="Ends the evacuation.")] = False,
    patience: TimeoutOption = DEFAULT_TIMEOUT_SECONDS,
    as_json: JsonOption = False,
) -> None:
    """Stops all requests to the servers of a zone; --finish allows them again. Both may be repeated."""
    result = asyncio.run(_evacuate(control_client(control, patience), zone, finish))
    if isinstance(result, Failure):
        raise CommandError(f"{zone}: {result.failure()}")
    if as_json:
        print_json({"Zone": zone, "Evacuated": not finish})
    else:
        print_line(f"{zone}: {'taken back' if finish else 'evacuated'}")


async def _evacuate(client: ControlClient, zone: str, finish: bool) -> Result[None, ControlError]:
    async with client:
        return await client.evacuate(zone, finish)
