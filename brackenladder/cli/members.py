"""The command `members`: what one node knows of the other nodes of its tier, and its own state."""

from __future__ import annotations

import time
from typing import Any

import click
import msgspec
from rich.console import Console
from rich.table import Table

from brackenladder.cli.control import FAILED, NodeError, call_node

POLL_INTERVAL_SECONDS = 1.0  # pause between two queries with --follow
STYLES = {"alive": "green", "suspect": "yellow", "dead": "red", "left": "dim"}


@click.command()
@click.option("--node", required=True, help="Control socket of a node.")
@click.option("--json", "as_json", is_flag=True, help="Prints JSON.")
@click.option("--follow", is_flag=True, help="Prints each transition as it occurs, until Ctrl-C.")
def members(node: str, as_json: bool, follow: bool) -> int:
    """Prints the nodes of the tier as one of them sees them, with its own health and counters."""
    console = Console(highlight=False)
    last_at_us = -1
    while True:
        try:
            view = call_node(node, "members")
        except NodeError as e:
            click.echo(f"brackenladder: members: {e}", err=True)
            return FAILED
        if follow:
            for transition in view["transitions"]:
                if transition["at_us"] > last_at_us:
                    click.echo(
                        msgspec.json.encode(transition).decode()
                        if as_json
                        else format_transition(transition, view)
                    )
                    last_at_us = transition["at_us"]
            time.sleep(POLL_INTERVAL_SECONDS)
            continue
        if as_json:
            click.echo(msgspec.json.encode(view).decode())
        else:
            print_view(console, view)
        return 0


def format_transition(transition: dict[str, Any], view: dict[str, Any]) -> str:
    subject = (
        "this node" if transition["number"] == view["self"]["number"] else f"node {transition['number']}"
    )
    description = f"{transition['before']} to {transition['after']}: {transition['reason']}"
    return f"{transition['ago_ms'] / 1000:8.1f} s ago  {subject}: {description}"


def print_view(console: Console, view: dict[str, Any]) -> None:
    """Prints what this node knows of the other nodes as a table, then their latest changes of state."""
    own, counters = view["self"], view["counters"]
    console.print(
        f"node {own['number']}: {own['state']}, health score {own['score']}, {own['living']} nodes share"
        f"{'' if own['shares'] else ' (not used: share = false)'}, {own['pauses']} pauses"
    )
    table = Table("node", "address", "state", "for s", "heard s ago", "incarnation")
    for member in view["members"]:
        heard_s = "" if member["heard_ms"] is None else f"{member['heard_ms'] / 1000:.1f}"
        state = f"[{STYLES[member['state']]}]{member['state']}[/]"
        since = f"{member['since_ms'] / 1000:.0f}"
        table.add_row(
            str(member["number"]), member["name"], state, since, heard_s, str(member["incarnation"])
        )
    console.print(table)
    console.print(", ".join(f"{name} {count}" for name, count in sorted(counters.items())))
    for transition in view["transitions"][-10:]:
        console.print(format_transition(transition, view), markup=False)
