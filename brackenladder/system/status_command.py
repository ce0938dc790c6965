"""`status`: how the control nodes see the system."""

from __future__ import annotations

import asyncio

from returns.result import Result

from brackenladder.control_plane.status import ControlStatus, status_document
from brackenladder.operator_client.control_client import ControlClient
from brackenladder.operator_client.errors import CommandError, ExitCode
from brackenladder.system.options import ControlOption, JsonOption, control_client
from brackenladder.system.output import note, print_json, say
from brackenladder.system.status_text import in_order, status_lines

Told = dict[str, Result[ControlStatus, str]]


def status(control: ControlOption, as_json: JsonOption = False) -> int:
    """Leader, voters, revision, configuration, servers and gateways, as the best informed node tells.

    Exit code 0: changes are acknowledged. 1: there is no quorum, or no node answers.
    """
    told = asyncio.run(_ask(control_client(control, 0.0)))
    known = [one.unwrap() for one in told.values() if one.value_or(None) is not None]
    silent = {node: one.failure() for node, one in told.items() if one.value_or(None) is None}
    if not known:
        raise CommandError(f"no control node answers: {'; '.join(silent.values())}")
    best = max(known, key=lambda one: (in_order(one), one.commit_index, one.role == "leader"))
    if as_json:
        print_json(status_document(best) | {"InOrder": in_order(best), "Silent": silent})
    else:
        for line in status_lines(best):
            say(line)
        for reason in silent.values():
            note(f"no answer: {reason}")
    return ExitCode.SUCCESS if in_order(best) else ExitCode.FAILED


async def _ask(client: ControlClient) -> Told:
    async with client:
        return await client.statuses()
