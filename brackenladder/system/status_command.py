"""The command `status`: the state of the system as the control nodes report it."""

from __future__ import annotations

import asyncio

from returns.result import Result

from brackenladder.control_plane.status import ControlStatus, status_document
from brackenladder.operator_client.control_client import ControlClient
from brackenladder.operator_client.errors import CommandError, ExitCode
from brackenladder.system.options import ControlOption, JsonOption, control_client
from brackenladder.system.output import print_json, print_line, print_to_stderr
from brackenladder.system.status_text import has_quorum, status_lines

StatusResults = dict[str, Result[ControlStatus, str]]


def status(control: ControlOption, as_json: JsonOption = False) -> int:
    """Prints leader, voters, revision, configuration, servers and gateways, from the most current node.

    Exit code 0: changes are acknowledged. 1: there is no quorum, or no node answers.
    """
    results = asyncio.run(_fetch_statuses(control_client(control, 0.0)))
    statuses = [result.unwrap() for result in results.values() if result.value_or(None) is not None]
    failures = {node: result.failure() for node, result in results.items() if result.value_or(None) is None}
    if not statuses:
        raise CommandError(f"no control node answers: {'; '.join(failures.values())}")
    best = max(
        statuses, key=lambda status: (has_quorum(status), status.commit_index, status.role == "leader")
    )
    if as_json:
        print_json(status_document(best) | {"InOrder": has_quorum(best), "Silent": failures})
    else:
        for line in status_lines(best):
            print_line(line)
        for reason in failures.values():
            print_to_stderr(f"no answer: {reason}")
    return ExitCode.SUCCESS if has_quorum(best) else ExitCode.FAILED


async def _fetch_statuses(client: ControlClient) -> StatusResults:
    async with client:
        return await client.statuses()
