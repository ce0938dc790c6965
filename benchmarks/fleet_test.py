"""Many processes with faults between them: `.venv/bin/python benchmarks/fleet_test.py [--minutes M]`.

Each run starts N nodes (24) before servers under load, with the relay between each two of them, and is
judged by the four rules and the members' five verdicts. `--minutes` is the length of each steady trouble
(1; the issue's proof is 10). A line a run; the last line says whether all held. Exit code 1 if not.
"""

from __future__ import annotations

import asyncio
import sys
import tempfile
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from pathlib import Path
from statistics import median
from typing import Any

import click
import msgspec

sys.path.insert(0, str(Path(__file__).parents[1]))

from brackenladder.rehearsal.checker import check  # noqa: E402
from brackenladder.rehearsal.events import NodeSignal, Said  # noqa: E402
from brackenladder.rehearsal.report import member_verdicts, passed, terms_of  # noqa: E402
from brackenladder.rehearsal.runner import rehearse  # noqa: E402
from brackenladder.rehearsal.scenario import Scenario  # noqa: E402

START = 8.0  # seconds in which the nodes come to know one another
AFTER = 16.0  # seconds behind the last fault, for views to agree
AT_ONCE = 2  # runs at a time

Fault = dict[str, Any]


def troubles(minutes: float, nodes: int) -> dict[str, list[Fault]]:
    """The faults of each run by its name; times from the run's start."""
    long = minutes * 60
    half: Fault = {"kind": "cut-group", "at_s": START, "for_s": min(long, 60.0), "pick": 0.5}
    every = [START + 10 * i for i in range(max(1, int(long / 10)))]
    pauses: list[Fault] = [{"kind": "node-pause", "at_s": at, "for_s": 2.0, "pick": 0.25} for at in every]
    loss: Fault = {"kind": "datagrams-lost", "at_s": START, "for_s": long, "share": 0.3}
    kills: list[Fault] = [{"kind": "node-kill", "at_s": START + 12 * i, "for_s": 9.0} for i in range(5)]
    some: Fault = {"kind": "datagrams-lost", "at_s": START - 1, "for_s": 62.0, "share": 0.2}
    ring: Fault = {"kind": "cut-oneway", "at_s": START, "for_s": long, "pick": "all"}
    return {
        "killed": kills,
        "killed, 20% lost": [some, *kills],
        "a quarter paused for 2 s": pauses,
        "30% lost": [loss],
        "a ring of one-sided cuts": [ring],
        "two halves": [half],
    }


def scenario_of(name: str, faults: list[Fault], nodes: int) -> Scenario:
    ends = [f["at_s"] + f["for_s"] for f in faults]
    table: Fault = {
        "title": name,
        "length_s": max(ends) + AFTER,
        "nodes": nodes,
        "members": True,
        "zones": ["here"],
        "tries": ["lost", "effect"],
        "servers": {"count": 8, "pod": 4},
        "clients": {"rate": 60, "retries": 1},
        "faults": faults,
    }
    return msgspec.convert(table, Scenario)


def played(name: str, faults: list[Fault], nodes: int, seed: int) -> dict[str, Any]:
    """One run: its verdicts, and how long each view took to know of a death."""
    scenario = scenario_of(name, faults, nodes)
    with tempfile.TemporaryDirectory(prefix="lb-fleet-") as folder:
        result = asyncio.run(rehearse(scenario, seed, "", Path(folder)))
    report = check(result.events, terms_of(scenario))
    members = member_verdicts(scenario, result)
    killed = [(e.t, e.node) for e in result.events if isinstance(e, NodeSignal) and e.signal == "kill"]
    took: list[float] = []
    for at, node in killed:
        first: dict[str, int] = {}
        for e in result.events:
            if isinstance(e, Said) and e.about == node and e.after == "dead" and at <= e.at < at + 9_000_000:
                first[e.node] = min(e.at, first.get(e.node, e.at))
        took += [(t - at) / 1e6 for t in first.values()]
    false = members["accurate"].broken
    return {
        "name": name,
        "passed": passed(report, result, members),
        "verdicts": {**report.verdicts, **{rule: judged.verdict for rule, judged in members.items()}},
        "evidence": [text for judged in members.values() for text in judged.evidence[:3]],
        "false": false,
        "known": len(took),
        "median": median(took) if took else 0.0,
        "most": max(took, default=0.0),
        "lag_ms": report.lag / 1000,
        "seconds": result.seconds,
        "counts": result.counts,
    }


@click.command()
@click.option("--minutes", default=1.0, type=click.FloatRange(0.2, 60))
@click.option("--nodes", default=24, type=click.IntRange(4, 40))
@click.option("--seed", default=1)
@click.option("--only", default="", help="Runs whose name holds this.")
@click.option("--json", "json_file", default="")
def main(minutes: float, nodes: int, seed: int, only: str, json_file: str) -> None:
    runs = {name: faults for name, faults in troubles(minutes, nodes).items() if only in name}
    found = []
    with ProcessPoolExecutor(AT_ONCE, mp_context=get_context("spawn")) as pool:
        jobs = [pool.submit(played, name, faults, nodes, seed) for name, faults in runs.items()]
        for job in jobs:
            one = job.result()
            found.append(one)
            broke = {rule: v for rule, v in one["verdicts"].items() if v not in ("held", "not tried")}
            known = f"; {one['known']} knew, median {one['median']:.2f} s, most {one['most']:.2f} s" * (
                one["known"] > 0
            )
            print(
                f"{one['name']:26s} {nodes} nodes {one['seconds']:.0f} s: {broke or 'held'};"
                f" {one['false']} false deaths{known}; lag {one['lag_ms']:.0f} ms",
                flush=True,
            )
            for text in one["evidence"]:
                print(f"    {text}")
    if json_file:
        Path(json_file).write_bytes(msgspec.json.encode(found))
    good = all(one["passed"] for one in found)
    print("all held" if good else "NOT ALL HELD")
    sys.exit(0 if good else 1)


if __name__ == "__main__":
    main()
