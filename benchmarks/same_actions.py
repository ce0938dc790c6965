"""Whether two decision modules do the same: `.venv/bin/python benchmarks/same_actions.py OLD [NEW]`.

OLD and NEW are checkouts; NEW is this one if it is not given. Whole fleets are played in the model by OLD's
module. Beside it in each node stands NEW's, with the same seed, which hears every event and whose actions go
nowhere. A node's first action that differs, or statistics that do, are told with the event that led to them.
"""

from __future__ import annotations

import multiprocessing
import sys
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parents[1]
sys.path[0:1] = [str(ROOT)]

from brackenladder.fleet.model import play  # noqa: E402
from brackenladder.fleet.variants import variant  # noqa: E402
from brackenladder.rehearsal.scenario import parse  # noqa: E402

SEEDS = (1, 2, 3)
EVENTS = (
    *("start", "server_list", "request", "outcome", "response_started"),
    *("client_left", "probed", "timer", "peer_message"),
)
SHOWN = 5

TEXT = """
title = "{name}"
length_s = {length}
nodes = {nodes}
tiers = {tiers}
zones = ["east", "west"]
tenants = ["a", "b", "c"]
faults = [{fault}]
[servers]
count = {servers}
pod = 4
cores = 2
speed = [0.7, 1.3]
queue = 30
cold_share = 0.2
warm_s = 8.0
[network]
far_ms = 8.0
[clients]
rate = {rate}
tenants = [1.0, 0.5, 0.2]
quotas = [{quota}, {quota}, {quota}]
retries = 2
"""
STREAMS: dict[str, dict[str, Any]] = {
    "calm": {"rate": 250, "fault": ""},
    "overload": {"rate": 900, "fault": ""},
    "release": {"rate": 400, "fault": '{kind = "deploy", at_s = 2.0, for_s = 5.0, pick = 24}'},
    "zone-loss": {
        "rate": 400,
        "fault": '{kind = "vanish", at_s = 2.0, for_s = 4.0, zone = "west", pick = "all"}',
    },
    "resets": {
        "rate": 300,
        "fault": '{kind = "reset-late", at_s = 1.0, for_s = 5.0, share = 0.3, pick = "all"}',
    },
    "tiers": {"rate": 150, "fault": '{kind = "deploy", at_s = 2.0, for_s = 5.0, pick = 40}', "tiers": 2},
}
SIZES = {60: (6, 10.0), 2000: (3, 4.0)}  # servers: nodes, seconds


class Noted:
    """A module's actions, noted, and passed on where they are to be done."""

    def __init__(self, actions: Any) -> None:
        self.actions = actions
        self.noted: list[tuple[str, tuple[Any, ...]]] = []

    def __getattr__(self, name: str) -> Callable[..., None]:
        def act(*args: Any) -> None:
            self.noted.append((name, args))
            if self.actions is not None:
                getattr(self.actions, name)(*args)

        return act


def both(old: Any, new: Any, differ: list[str], counts: dict[str, int]) -> Any:
    """A module that is the old one, with the new one in its shadow."""

    class Both:
        def __init__(self, settings: Any, seed: int, actions: Any) -> None:
            self.logs = Noted(actions), Noted(None)
            self.pair = old(settings, seed, self.logs[0]), new(settings, seed, self.logs[1])

        def __getattr__(self, name: str) -> Any:
            return getattr(self.pair[0], name)

    def event(name: str) -> Callable[..., None]:
        def happen(self: Any, *args: Any) -> None:
            for module, log in zip(self.pair, self.logs, strict=True):
                log.noted.clear()
                getattr(module, name)(*args)
            one, other = (log.noted for log in self.logs)
            counts["events"] = counts.get("events", 0) + 1
            counts["actions"] = counts.get("actions", 0) + len(one)
            if one != other and len(differ) < SHOWN:
                differ.append(f"{name}{args[:4]}: {one} became {other}")
            if counts["events"] % 1000 == 0 and self.pair[0].stats() != self.pair[1].stats():
                differ.append(f"after {name}: statistics differ")

        return happen

    for name in EVENTS:
        setattr(Both, name, event(name))
    return Both


def compared(old: str, new: str, name: str, servers: int, seed: int) -> tuple[dict[str, int], list[str]]:
    nodes, length = SIZES[servers]
    stream = STREAMS[name]
    table = {"name": name, "length": length, "nodes": nodes, "servers": servers, "tiers": 1} | stream
    scale = 1.0 if servers == 60 else 2.0
    table["rate"] = stream["rate"] * scale
    table["quota"] = table["rate"] / 5
    differ: list[str] = []
    counts: dict[str, int] = {}
    module = both(variant("module", old, {}), variant("module", new, {}), differ, counts)
    play(parse(TEXT.format(**table).encode(), name), seed, module)
    return counts, differ


def main() -> int:
    if len(sys.argv) not in (2, 3):
        print(__doc__)
        return 2
    old, new = sys.argv[1], sys.argv[2] if len(sys.argv) == 3 else str(ROOT)
    jobs = [(name, servers, seed) for servers in SIZES for name in STREAMS for seed in SEEDS]
    jobs = [job for job in jobs if job[:2] != ("tiers", 2000)]  # a node for each server: too many
    differing = events = 0
    with ProcessPoolExecutor(mp_context=multiprocessing.get_context("spawn")) as pool:
        runs = [pool.submit(compared, old, new, *job) for job in jobs]
        for (name, servers, seed), run in zip(jobs, runs, strict=True):
            counts, differ = run.result()
            differing += bool(differ)
            events += counts.get("events", 0)
            print(
                f"{name:10s} {servers:5d} servers, seed {seed}: {counts} {'DIFFER' if differ else 'the same'}"
            )
            for line in differ[:SHOWN]:
                print(f"    {line[:300]}")
    print(f"{len(jobs)} streams, {events} events, {differing} differ")
    return 1 if differing else 0


if __name__ == "__main__":
    sys.exit(main())
