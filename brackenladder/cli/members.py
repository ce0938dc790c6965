"""`members`: who is there, as one node sees it, and how it stands with that node itself."""

from __future__ import annotations

import time
from typing import Any

import click
import msgspec
from rich.console import Console
from rich.table import Table

from brackenladder.cli.control import FAILED, NodeError, call_node

EVERY = 1.0  # seconds between two looks with --follow
STYLES = {"alive": "green", "suspect": "yellow", "dead": "red", "left": "dim"}


@click.command()
@click.option("--node", required=True, help="A node's control socket.")
@click.option("--json", "as_json", is_flag=True, help="Prints JSON.")
@click.option("--follow", is_flag=True, help="Prints each transition as it comes, until Ctrl-C.")
def members(node: str, as_json: bool, follow: bool) -> int:
    """The tier's nodes as one of them sees them: states with their ages, its own health, what it sends."""
    console = Console(highlight=False)
    last = -1
    while True:
        try:
            told = call_node(node, "members")
        except NodeError as e:
            click.echo(f"brackenladder: members: {e}", err=True)
            return FAILED
        if follow:
            for change in told["transitions"]:
                if change["at_us"] > last:
                    click.echo(msgspec.json.encode(change).decode() if as_json else line_of(change, told))
                    last = change["at_us"]
            time.sleep(EVERY)
            continue
        if as_json:
            click.echo(msgspec.json.encode(told).decode())
        else:
            written(console, told)
        return 0


def line_of(change: dict[str, Any], told: dict[str, Any]) -> str:
    who = "this node" if change["number"] == told["self"]["number"] else f"node {change['number']}"
    change_of = f"{change['before']} to {change['after']}: {change['reason']}"
    return f"{change['ago_ms'] / 1000:8.1f} s ago  {who}: {change_of}"


def written(console: Console, told: dict[str, Any]) -> None:
    """The view as a table, and the last transitions."""
    own, counters = told["self"], told["counters"]
    console.print(
        f"node {own['number']}: {own['state']}, health score {own['score']}, {own['living']} nodes share"
        f"{'' if own['shares'] else ' (not used: share = false)'}, {own['pauses']} pauses"
    )
    table = Table("node", "address", "state", "for s", "heard s ago", "incarnation")
    for one in told["members"]:
        heard = "" if one["heard_ms"] is None else f"{one['heard_ms'] / 1000:.1f}"
        state = f"[{STYLES[one['state']]}]{one['state']}[/]"
        since = f"{one['since_ms'] / 1000:.0f}"
        table.add_row(str(one["number"]), one["name"], state, since, heard, str(one["incarnation"]))
    console.print(table)
    console.print(", ".join(f"{name} {count}" for name, count in sorted(counters.items())))
    for change in told["transitions"][-10:]:
        console.print(line_of(change, told), markup=False)
