"""What a run of the model costs: `PYTHONPATH=. .venv/bin/python benchmarks/fleet_size.py [SECONDS]`.

Each size in a process of its own, one after another: virtual seconds a real second on one core, the largest
memory, and the share of the time that the decision module takes (by a clock around each of its events).
"""

from __future__ import annotations

import multiprocessing
import sys
from collections.abc import Callable
from resource import RUSAGE_SELF, getrusage
from time import perf_counter
from typing import Any

from brackenladder.fleet.model import Fleet
from brackenladder.policy.balancer import Balancer
from brackenladder.rehearsal.checker import check
from brackenladder.rehearsal.report import terms_of
from brackenladder.rehearsal.scenario import parse

# Nodes of clients, servers a tier, tiers, requests a second. Servers before the last tier have own nodes.
SIZES = (
    (2, 12, 1, 110),
    (306, 60, 1, 900),
    (186, 60, 3, 900),  # 306 nodes with the servers'
    (306, 60, 3, 900),
    (2000, 60, 1, 900),
    (100, 1000, 1, 900),
    (2000, 1000, 1, 900),
)
EVENTS = ("server_list", "request", "outcome", "timer", "client_left")


class Timed(Balancer):
    """The module, with a clock around each event."""

    spent = 0.0


def timed(name: str) -> Callable[..., None]:
    sound = getattr(Balancer, name)

    def event(self: Balancer, *args: Any) -> None:
        began = perf_counter()
        sound(self, *args)
        Timed.spent += perf_counter() - began

    return event


for each in EVENTS:
    setattr(Timed, each, timed(each))


def scenario(nodes: int, servers: int, tiers: int, rate: int, seconds: float) -> bytes:
    deploy = "[[faults]]\nkind = 'deploy'\nat_s = 1\nfor_s = 3\npick = 0.05\n" if servers < 1000 else ""
    # A server holds a core while it calls on, so those of a chain have more of them.
    return (
        f"title = 'size'\nlength_s = {seconds}\nnodes = {nodes}\ntiers = {tiers}\n"
        f"[servers]\ncount = {servers}\n"
        f"cores = {2 if tiers == 1 else 6}\n"
        f"[clients]\nrate = {rate}\n{deploy}"
    ).encode()


def one(nodes: int, servers: int, tiers: int, rate: int, seconds: float, out: Any) -> None:
    read = parse(scenario(nodes, servers, tiers, rate, seconds), "size")
    began = perf_counter()
    fleet = Fleet(read, 1, Timed)
    made = perf_counter()
    result = fleet.run()
    ended = perf_counter()
    report = check(result.events, terms_of(read))
    memory = getrusage(RUSAGE_SELF).ru_maxrss / 1024
    speed, share = seconds / (ended - made), Timed.spent / (ended - made)
    out.put(
        f"{nodes:5} nodes {servers:5} servers {tiers} tiers {rate:5} a second:"
        f" {speed:6.2f} virtual seconds a second,"
        f" {made - began:.1f} s to set up, {memory:.0f} MB, module {share:.0%},"
        f" checker {perf_counter() - ended:.1f} s, {fleet.queue.executed} events,"
        f" {result.counts['served']} served, broken {len(report.breaks)}"
    )


def main() -> None:
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 10.0
    context = multiprocessing.get_context("spawn")
    for size in SIZES:
        out = context.Queue()
        process = context.Process(target=one, args=(*size, seconds, out))
        process.start()
        print(out.get(), flush=True)
        process.join()


if __name__ == "__main__":
    main()
