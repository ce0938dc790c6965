"""`show`, `plan` and `apply`: a running node's state, what a file would change, and the change."""

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

VERSION = 1
PATIENCE = 20.0  # seconds for a node to answer
LARGEST_ANSWER = 64 << 20  # bytes
NOTHING, FAILED, CHANGES = 0, 1, 2  # exit codes of `plan`
COLOURS = {"+": "green", "-": "red", "~": "yellow"}

nodes_option = click.option(
    "--node", "nodes", multiple=True, required=True, help="A node's control socket; several times."
)
json_option = click.option("--json", "as_json", is_flag=True, help="Prints JSON.")


class NodeError(Exception):
    """A node did not answer, or refused; the text is one line."""


def call_node(node: str, do: str, plan: str = "") -> dict[str, Any]:
    """One line to a node's socket and its answer."""
    line = msgspec.json.encode({"version": VERSION, "do": do, "plan": plan}) + b"\n"
    data = bytearray()
    try:
        with socket.socket(socket.AF_UNIX) as sock:
            sock.settimeout(PATIENCE)
            sock.connect(node)
            sock.sendall(line)
            while not data.endswith(b"\n") and len(data) <= LARGEST_ANSWER:
                piece = sock.recv(1 << 16)
                if not piece:
                    break
                data += piece
    except OSError as e:
        raise NodeError(f"{node}: {e.strerror or e}") from None
    try:
        answer: dict[str, Any] = msgspec.json.decode(bytes(data))
    except msgspec.DecodeError:
        raise NodeError(f"{node}: no whole answer") from None
    if not answer.pop("ok", False):
        raise NodeError(f"{node}: {answer.get('why', 'refused')}")
    return answer


def fetch_live(node: str) -> LiveState:
    try:
        return msgspec.convert(call_node(node, "live")["live"], LiveState)
    except msgspec.ValidationError as e:
        raise NodeError(f"{node}: not this build's answer: {e}") from None


def lines_of(changes: Any) -> Text:
    text = Text()
    for change in changes:
        line = change.line()
        text.append(f"  {line}\n", style=COLOURS[line[0]])
    return text


@click.command()
@nodes_option
@json_option
@click.option("--history", is_flag=True, help="The changes that were applied since the node's start.")
def show(nodes: tuple[str, ...], as_json: bool, history: bool) -> int:
    """The running state of nodes: pools, routes, and what is open."""
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
    return NOTHING


@click.command()
@click.argument("file")
@nodes_option
@click.option("--out", help="Writes the plan here, for `apply`.")
@click.option("--allow-empty", multiple=True, metavar="POOL", help="A pool that may have no server.")
@json_option
def plan(
    file: str, nodes: tuple[str, ...], out: str | None, allow_empty: tuple[str, ...], as_json: bool
) -> int:
    """Every difference between FILE and running nodes, and what it would do to service.

    Exit code 0: nothing to change. 2: changes. 1: an error, or a change that a node would refuse.
    """
    try:
        with open(file, "rb") as opened:
            desired = parse_state(opened.read(MAX_FILE_BYTES + 1))
        lives = {node: fetch_live(node) for node in nodes}
        first, *others = lives
        for node in others:
            apart = differences(lives[first].state, lives[node].state)
            if apart:
                keys = ", ".join(".".join(change.key) for change in apart[:5])
                raise NodeError(f"{node} differs from {first}: {keys}: one plan cannot fit both")
        plans = {node: make_plan(live, desired, allow_empty) for node, live in lives.items()}
    except (StateError, NodeError) as e:
        return wrong("plan", f"{file}: {e}" if isinstance(e, StateError) else str(e))
    except OSError as e:
        return wrong("plan", f"{file}: {e.strerror}")
    # One for all: of the verdicts the worst stands in it.
    found = next((made for made in plans.values() if made.findings), plans[first])
    if as_json:
        click.echo(encode_plan(found).decode().rstrip())
    else:
        console = Console(highlight=False)
        for text in warnings(desired):
            console.print(f"warning: {text}", markup=False)
        console.print(f"state {found.base} to {found.result}: {len(found.changes)} differences", markup=False)
        console.print(lines_of(found.changes), end="", soft_wrap=True)
        for name in found.allow_empty:
            console.print(f"  pool {name} may be empty", markup=False)
        for finding in found.findings:
            console.print(f"refused: {finding.text}", markup=False, soft_wrap=True)
    if out and not found.findings:
        try:
            Path(out).write_bytes(encode_plan(found))
        except OSError as e:
            return wrong("plan", f"{out}: {e.strerror}")
    if found.findings:
        return FAILED
    return CHANGES if found.changes else NOTHING


@click.command()
@click.argument("file")
@nodes_option
@click.option("--yes", is_flag=True, help="Does not ask.")
def apply(file: str, nodes: tuple[str, ...], yes: bool) -> int:
    """Does exactly what the plan FILE says, at one node after the other; the first refusal ends it.

    Exit code 0: done at all nodes. 1: refused; what was done and what was not is said.
    """
    try:
        with open(file, "rb") as opened:
            data = opened.read(MAX_PLAN_BYTES + 1)
        made: Plan = parse_plan(data)
    except OSError as e:
        return wrong("apply", f"{file}: {e.strerror}")
    except PlanRefused as e:
        return wrong("apply", f"{file}: {e}")
    console = Console(highlight=False)
    console.print(lines_of(made.changes), end="", soft_wrap=True)
    if not yes:
        if not sys.stdin.isatty():
            return wrong("apply", "not on a terminal: --yes says that nobody is to be asked")
        click.confirm(f"Apply {len(made.changes)} differences at {len(nodes)} nodes?", abort=True)
    done: list[str] = []
    for node in nodes:
        try:
            answer = call_node(node, "apply", data.decode())
        except NodeError as e:
            click.echo(f"brackenladder: apply: {e}", err=True)
            left = nodes[len(done) + 1 :]
            click.echo(f"done: {', '.join(done) or 'none'}; not tried: {', '.join(left) or 'none'}", err=True)
            return FAILED
        done.append(node)
        console.print(f"{node}: state {answer['digest']}", markup=False)
    return NOTHING


def wrong(command: str, text: str) -> int:
    click.echo(f"brackenladder: {command}: {text}", err=True)
    return FAILED
