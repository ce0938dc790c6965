"""`evacuate`: no more requests to a zone's servers, or requests again."""

from __future__ import annotations

import asyncio
from typing import Annotated

import typer
from returns.result import Failure, Result

from brackenladder.operator_client.control_client import DEFAULT_TIMEOUT_SECONDS, ControlClient
from brackenladder.operator_client.errors import CommandError, ControlError
from brackenladder.system.options import ControlOption, JsonOption, PatienceOption, control_client
from brackenladder.system.output import print_json, say


def evacuate(
    zone: Annotated[str, typer.Argument(help="A zone that the settings files name.")],
    control: ControlOption,
    finish: Annotated[bool, typer.Option("--finish", help="Takes the zone back.")] = False,
    patience: PatienceOption = DEFAULT_TIMEOUT_SECONDS,
    as_json: JsonOption = False,
) -> None:
    """Asks that nothing more be sent to a zone's servers; --finish withdraws that. Both may be repeated."""
    done = asyncio.run(_evacuate(control_client(control, patience), zone, finish))
    if isinstance(done, Failure):
        raise CommandError(f"{zone}: {done.failure()}")
    if as_json:
        print_json({"Zone": zone, "Evacuated": not finish})
    else:
        say(f"{zone}: {'taken back' if finish else 'evacuated'}")


async def _evacuate(client: ControlClient, zone: str, finish: bool) -> Result[None, ControlError]:
    async with client:
        return await client.evacuate(zone, finish)
