"""The command `demo`: one node in front of four stand-in servers, until Ctrl-C."""

from __future__ import annotations

import asyncio
import tempfile
from contextlib import suppress
from pathlib import Path

import click

from brackenladder.rehearsal.nodes import NodeError
from brackenladder.rehearsal.runner import RunError, serve_without_clients
from brackenladder.rehearsal.scenario import Scenario, Servers

SCENARIO = Scenario(title="Demo", length_s=1.0, nodes=1, zones=("here",), servers=Servers(count=4))


@click.command()
@click.option(
    "--node", "command", default="", help="The command that starts the node, instead of this build's own."
)
def demo(command: str) -> int:
    """Runs one node in front of four stand-in servers until Ctrl-C, and prints a command to try."""

    def print_hint(address: str) -> None:
        click.echo(f"a node listens on {address}, with four servers behind it; try:\n")
        click.echo(
            "  curl -i -H \"X-Call-Id: $(od -An -N8 -tx8 /dev/urandom | tr -d ' ')\" -H 'X-Caller: acme'"
            f" -H 'X-Budget-Ms: 3000' 'http://{address}/view?obj=7f'\n"
        )
        click.echo("Ctrl-C ends all of it.")

    with tempfile.TemporaryDirectory(prefix="demo-") as folder, suppress(KeyboardInterrupt):
        try:
            asyncio.run(serve_without_clients(SCENARIO, command, Path(folder), print_hint))
        except (NodeError, RunError) as e:
            click.echo(f"brackenladder: demo: {e}", err=True)
            return 1
    return 0
