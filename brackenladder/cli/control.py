"""The commands `show`, `plan` and `apply`: show a node's state, plan a change, and apply the plan."""

from __future__ import annotations

import socket
import sys
from pathlib import Path
from time import localtime, strftime
from typing import Any

import click
import msgspec
from rich.console import Console
from rich.text import Text

from brackenladder.control.diff import differences
from brackenladder.control.plan import (
    MAX_PLAN_BYTES,
    LiveState,
    Plan,
    PlanRefused,
    encode_plan,
    make_plan,
    parse_plan,
)
from brackenladder.control.state import MAX_FILE_BYTES, StateError, parse_state, warnings

PROTOCOL_VERSION = 1
ANSWER_TIMEOUT_SECONDS = 20.0
MAX_ANSWER_BYTES = 64 << 20
SUCCESS, FAILED, CHANGES_FOUND = 0, 1, 2  # exit codes; the last one only of `plan`
COLOURS = {"+": "green", "-": "red", "~": "yellow"}

nodes_option = click.option(
    "--node", "nodes", multiple=True, required=True, help="Control socket of a node. May be repeated."
)
json_option = click.option("--json", "as_json", is_flag=True, help="Prints JSON.")


class NodeError(Exception):
    """A node did not answer or refused the call. The text is one line."""


def call_node(node: str, action: str, plan: str = "") -> dict[str, Any]:
    """Sends one line to a node's control socket and returns the answer."""
    line = msgspec.json.encode({"version": PROTOCOL_VERSION, "do": action, "plan": plan}) + b"\n"
    data = bytearray()
    try:
        with socket.socket(socket.AF_UNIX) as connection:
            connection.settimeout(ANSWER_TIMEOUT_SECONDS)
            connection.connect(node)
            connection.sendall(line)
            while not data.endswith(b"\n") and len(data) <= MAX_ANSWER_BYTES:
                chunk = connection.recv(1 << 16)
                if not chunk:
                    break
                data += chunk
    except OSError as e:
        raise NodeError(f"{node}: {e.strerror or e}") from None
    try:
        answer: dict[str, Any] = msgspec.json.decode(bytes(data))
    except msgspec.DecodeError:
        raise NodeError(f"{node}: incomplete answer") from None
    if not answer.pop("ok", False):
        raise NodeError(f"{node}: {answer.get('why', 'refused')}")
    return answer


def fetch_live(node: str) -> LiveState:
    try:
        return msgspec.convert(call_node(node, "live")["live"], LiveState)
    except msgspec.ValidationError as e:
        raise NodeError(f"{node}: the answer of another build: {e}") from None


def format_changes(changes: Any) -> Text:
    text = Text()
    for change in changes:
        line = change.line()
        text.append(f"  {line}\n", style=COLOURS[line[0]])
    return text


@click.command()
@nodes_option
@json_option
@click.option("--history", is_flag=True, help="Also prints the changes applied since the node's start.")
def show(nodes: tuple[str, ...], as_json: bool, history: bool) -> int:
    """Prints the running state of nodes: pools, routes and open calls."""
    console = Console(highlight=False)
    for node in nodes:
        try:
            answer = call_node(node, "show")
        except NodeError as e:
            click.echo(f"brackenladder: show: {e}", err=True)
            return FAILED
        if as_json:
            click.echo(msgspec.json.encode({"node": node, **answer}).decode())
            continue
        console.print(f"{node}: state {answer['digest']}", soft_wrap=True, markup=False)
        for name, pool in answer["pools"].items():
            text = f"  pool {name}: {pool['ready']} ready, {pool['open_calls']} calls open"
            console.print(text, markup=False)
        for route in answer["state"]["routes"]:
            console.print(f"  route {msgspec.json.encode(route).decode()}", markup=False, soft_wrap=True)
        for change in answer["history"] if history else ():
            when = strftime("%Y-%m-%d %H:%M:%S", localtime(change["at"]))
            keys = ", ".join(change["keys"])
            console.print(
                f"  {when} user {change['by']}: {change['base']} to {change['result']}: {keys}",
                markup=False,
                soft_wrap=True,
            )
    return SUCCESS


@click.command()
@click.argument("file")
@nodes_option
@click.option("--out", help="Writes the plan to this file, for `apply`.")
@click.option("--allow-empty", multiple=True, metavar="POOL", help="A pool that may have no servers.")
@json_option
def plan(
    file: str, nodes: tuple[str, ...], out: str | None, allow_empty: tuple[str, ...], as_json: bool
) -> int:
    """Lists all differences between FILE and running nodes, and their effect on service.

    Exit code 0: no changes. 2: changes. 1: an error, or a change that a node would refuse.
    """
    try:
        with open(file, "rb") as input_file:
            desired = parse_state(input_file.read(MAX_FILE_BYTES + 1))
        live_states = {node: fetch_live(node) for node in nodes}
        first, *others = live_states
        for node in others:
            differing = differences(live_states[first].state, live_states[node].state)
            if differing:
                keys = ", ".join(".".join(change.key) for change in differing[:5])
                raise NodeError(f"{node} differs from {first}: {keys}: one plan cannot apply to both")
        plans = {node: make_plan(live, desired, allow_empty) for node, live in live_states.items()}
    except (StateError, NodeError) as e:
        return report_error("plan", f"{file}: {e}" if isinstance(e, StateError) else str(e))
    except OSError as e:
        return report_error("plan", f"{file}: {e.strerror}")
    # One plan is reported for all nodes: one with findings, if any node has findings.
    chosen_plan = next((node_plan for node_plan in plans.values() if node_plan.findings), plans[first])
    if as_json:
        click.echo(encode_plan(chosen_plan).decode().rstrip())
    else:
        console = Console(highlight=False)
        for text in warnings(desired):
            console.print(f"warning: {text}", markup=False)
        console.print(
            f"state {chosen_plan.base} to {chosen_plan.result}: {len(chosen_plan.changes)} differences",
            markup=False,
        )
        console.print(format_changes(chosen_plan.changes), end="", soft_wrap=True)
        for name in chosen_plan.allow_empty:
            console.print(f"  pool {name} may be empty", markup=False)
        for finding in chosen_plan.findings:
            console.print(f"refused: {finding.text}", markup=False, soft_wrap=True)
    if out and not chosen_plan.findings:
        try:
            Path(out).write_bytes(encode_plan(chosen_plan))
        except OSError as e:
            return report_error("plan", f"{out}: {e.strerror}")
    if chosen_plan.findings:
        return FAILED
    return CHANGES_FOUND if chosen_plan.changes else SUCCESS


@click.command()
@click.argument("file")
@nodes_option
@click.option("--yes", is_flag=True, help="Does not ask for confirmation.")
def apply(file: str, nodes: tuple[str, ...], yes: bool) -> int:
    """Applies the plan FILE at one node after the other, until the first refusal.

    Exit code 0: applied at all nodes. 1: refused; the nodes done and not tried are printed.
    """
    try:
        with open(file, "rb") as input_file:
            data = input_file.read(MAX_PLAN_BYTES + 1)
        change_plan: Plan = parse_plan(data)
    except OSError as e:
        return report_error("apply", f"{file}: {e.strerror}")
    except PlanRefused as e:
        return report_error("apply", f"{file}: {e}")
    console = Console(highlight=False)
    console.print(format_changes(change_plan.changes), end="", soft_wrap=True)
    if not yes:
        if not sys.stdin.isatty():
            return report_error("apply", "not on a terminal to ask for confirmation: give --yes")
        click.confirm(f"Apply {len(change_plan.changes)} differences at {len(nodes)} nodes?", abort=True)
    finished: list[str] = []
    for node in nodes:
        try:
            answer = call_node(node, "apply", data.decode())
        except NodeError as e:
            click.echo(f"brackenladder: apply: {e}", err=True)
            not_tried = nodes[len(finished) + 1 :]
            click.echo(
                f"done: {', '.join(finished) or 'none'}; not tried: {', '.join(not_tried) or 'none'}",
                err=True,
            )
            return FAILED
        finished.append(node)
        console.print(f"{node}: state {answer['digest']}", markup=False)
    return SUCCESS


def report_error(command: str, text: str) -> int:
    click.echo(f"brackenladder: {command}: {text}", err=True)
    return FAILED
