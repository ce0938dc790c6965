"""Generates, mutates and shrinks schedules of faults and load. Pure: the random generator is an argument.

A schedule is a scenario's table. Values are drawn from ranges, not from a list of known cases.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterator
from copy import deepcopy
from random import Random
from typing import Any

import msgspec

from brackenladder.rehearsal.scenario import NODE_FAULTS, Scenario, find_contradiction

Schedule = dict[str, Any]

NODES = (1, 16)
SERVERS = (2, 16)
LENGTH_S = (6.0, 20.0)
LOAD = (0.3, 1.6)  # offered load relative to the servers' capacity, by the mean work of a request
MEAN_WORK_S = 0.13  # seconds of work per request on a core of speed 1
FAULTS = (1, 6)
# By fault kind: ranges of its duration in seconds and of the share of requests or nodes it affects.
KINDS: dict[str, tuple[tuple[float, float], tuple[float, float]]] = {
    "restart": ((0.2, 3.0), (1.0, 1.0)),
    "replace": ((0.2, 3.0), (1.0, 1.0)),
    "drain": ((0.5, 3.0), (1.0, 1.0)),
    "deploy": ((1.0, 10.0), (1.0, 1.0)),
    "reset-late": ((0.5, 10.0), (0.02, 1.0)),
    "reject": ((0.5, 10.0), (0.02, 1.0)),
    "error": ((0.5, 10.0), (0.02, 1.0)),
    "closed": ((0.5, 5.0), (1.0, 1.0)),
    "stall": ((0.3, 5.0), (0.05, 1.0)),
    "stall-body": ((0.3, 5.0), (0.05, 1.0)),
    "reset-answer": ((0.5, 10.0), (0.02, 1.0)),
    "reset-early": ((0.3, 3.0), (1.0, 1.0)),
    "backlog": ((0.3, 3.0), (1.0, 1.0)),
    "vanish": ((0.2, 3.0), (1.0, 1.0)),
    "cut": ((0.5, 5.0), (0.1, 1.0)),
    "drain-answering": ((0.5, 3.0), (1.0, 1.0)),
    "half-list": ((0.5, 4.0), (1.0, 1.0)),
    "old-list": ((0.5, 4.0), (1.0, 1.0)),
    "silence": ((0.5, 8.0), (1.0, 1.0)),
    "unheard": ((0.5, 8.0), (1.0, 1.0)),
    "silent-watch": ((0.1, 0.1), (1.0, 1.0)),
    "node-kill": ((0.2, 3.0), (1.0, 1.0)),
    "node-term": ((0.2, 3.0), (1.0, 1.0)),
}
MAX_SHRINKS = 300  # schedules tried while shrinking one
SMALL = 0.05  # seconds; a shrink does not shorten a length by less


def random_schedule(rng: Random) -> Schedule:
    """Generates the table of a scenario with random sizes, load and faults."""
    servers, cores, nodes = rng.randint(*SERVERS), rng.choice((1, 2, 4)), rng.randint(*NODES)
    length = round(rng.uniform(*LENGTH_S), 1)
    rate = servers * cores / MEAN_WORK_S * rng.uniform(*LOAD)
    return {
        "title": "hunted",
        "length_s": length,
        "nodes": nodes,
        "zones": rng.choice((["east"], ["east", "west"])),
        "servers": {
            "count": servers,
            "pod": rng.randint(1, 4),
            "cores": cores,
            "speed": sorted(round(rng.uniform(0.5, 1.6), 2) for _ in range(2)),
            "queue": rng.choice((4, 16, 64)),
            "cold_share": round(rng.uniform(0.12, 0.6), 2),
            "warm_s": round(rng.uniform(4.0, 24.0), 1),
            "slow_queue": rng.choice((0, 0, 0, 8)),
        },
        "network": {"far_ms": rng.choice((0.1, 0.1, 2.0, 40.0))},
        "discovery": {"late_ms": sorted(round(rng.uniform(50, 3000)) for _ in range(2))},
        "clients": {
            "rate": round(rate, 1),
            "retries": rng.randint(0, 4),
            "wait_ms": sorted(round(rng.uniform(0, 500)) for _ in range(2)),
            "budget": [round(rng.uniform(0.2, 0.9), 2), 1.0],
            "leave": rng.choice((0.0, 0.0, 0.05, 0.3)),
            "drop": rng.choice((0.0, 0.1)),
            "hot": rng.choice((0.0, 0.0, 0.3)),
            "surges": random_surges(rng, length),
        },
        "faults": sorted(
            (random_fault(rng, length, servers, nodes) for _ in range(rng.randint(*FAULTS))),
            key=lambda f: f["at_s"],
        ),
    }


def random_surges(rng: Random, length: float) -> list[Schedule]:
    """No surge (in 70% of the cases) or one."""
    if rng.random() < 0.7:
        return []
    at, lasts, times = rng.uniform(0, 0.8 * length), rng.uniform(0.5, 5.0), rng.uniform(1.2, 4.0)
    return [{"at_s": round(at, 2), "for_s": round(lasts, 2), "times": round(times, 2)}]


def random_fault(rng: Random, length: float, servers: int, nodes: int) -> Schedule:
    kind = rng.choice(sorted(KINDS))
    lasts, share = KINDS[kind]
    return {
        "kind": kind,
        "at_s": round(rng.uniform(0.2, max(0.3, 0.8 * length)), 2),
        "for_s": round(rng.uniform(*lasts), 2),
        "pick": rng.randint(1, max(1, (nodes if kind in NODE_FAULTS else servers) // 2)),
        "share": round(rng.uniform(*share), 2),
    }


def mutate(schedule: Schedule, rng: Random) -> Schedule:
    """A copy with one to three changes: a fault added, removed or moved, or a value replaced."""
    new = deepcopy(schedule)
    fresh = random_schedule(rng)
    for _ in range(rng.randint(1, 3)):
        what = rng.choice(("add", "remove", "move", "figure", "figure", "load"))
        faults = new["faults"]
        if what == "add" and len(faults) < 2 * FAULTS[1]:
            faults.append(random_fault(rng, new["length_s"], new["servers"]["count"], new["nodes"]))
        elif what == "remove" and len(faults) > 1:
            faults.pop(rng.randrange(len(faults)))
        elif what == "move":
            moved = rng.choice(faults)
            moved["at_s"] = round(min(max(0.2, moved["at_s"] + rng.gauss(0, 1)), 0.8 * new["length_s"]), 2)
        elif what == "load":
            new["clients"]["rate"] = round(new["clients"]["rate"] * rng.uniform(0.7, 1.4), 1)
        else:
            table = rng.choice(
                [t for t in ("servers", "clients", "discovery", "network", "") if t in (*new, "")]
            )
            source, target = (fresh[table], new[table]) if table else (fresh, new)
            key = rng.choice([k for k, v in target.items() if not isinstance(v, dict) and k != "faults"])
            target[key] = source[key]
    new["faults"].sort(key=lambda f: f["at_s"])
    return new


def to_scenario(schedule: Schedule) -> Scenario | None:
    """The scenario, or None if the schedule is invalid."""
    try:
        scenario = msgspec.convert(schedule, Scenario)
    except msgspec.ValidationError:
        return None
    return None if find_contradiction(scenario) else scenario


def reductions(schedule: Schedule) -> Iterator[Schedule]:
    """Yields simpler variants of a schedule, largest reductions first."""

    def but(change: Callable[[Schedule], None]) -> Schedule:
        new = deepcopy(schedule)
        change(new)
        return new

    def put(table: str, key: str, value: Any) -> Callable[[Schedule], None]:
        return lambda s: (s[table] if table else s).__setitem__(key, value)

    for i in range(len(schedule["faults"])):
        yield but(lambda s, i=i: s["faults"].pop(i))  # type: ignore[misc]
    last = max((f["at_s"] + f["for_s"] for f in schedule["faults"]), default=0.0)
    for length in (last + 1, last + 4, schedule["length_s"] * 0.7):
        if length < schedule["length_s"] - SMALL:
            yield but(put("", "length_s", round(length, 2)))
    for table, key, least in (("", "nodes", 1), ("servers", "count", 1), ("servers", "cores", 1)):
        value = (schedule[table] if table else schedule)[key]
        for less in (least, value // 2, value - 1):
            if least <= less < value:
                yield but(put(table, key, less))
    rate = schedule["clients"]["rate"]
    for part in (0.5, 0.8):
        if rate * part >= 1:
            yield but(put("clients", "rate", round(rate * part, 1)))
    for table, key, plain in (
        ("clients", "retries", 0),
        ("clients", "leave", 0.0),
        ("clients", "drop", 0.0),
        ("clients", "hot", 0.0),
        ("clients", "surges", []),
        ("network", "far_ms", 0.1),
        ("servers", "slow_queue", 0),
        ("clients", "wait_ms", [0, 0]),
        ("clients", "budget", [1.0, 1.0]),
        ("servers", "speed", [1.0, 1.0]),
        ("discovery", "late_ms", [500, 500]),
        ("", "zones", ["east"]),
    ):
        if (schedule.get(table, {}) if table else schedule).get(key, plain) != plain:
            yield but(put(table, key, plain))
    for i, one in enumerate(schedule["faults"]):
        if one["pick"] > 1:
            yield but(lambda s, i=i: s["faults"][i].__setitem__("pick", 1))  # type: ignore[misc]
        if one["for_s"] > 2 * SMALL:
            yield but(lambda s, i=i, f=one["for_s"]: s["faults"][i].__setitem__("for_s", round(f / 2, 2)))  # type: ignore[misc]
        if one["share"] < 1:
            yield but(lambda s, i=i: s["faults"][i].__setitem__("share", 1.0))  # type: ignore[misc]


def shrink(
    schedule: Schedule, shows: Callable[[Schedule], bool], may_go_on: Callable[[], bool] = lambda: True
) -> tuple[Schedule, int]:
    """Greedily shrinks a schedule while `shows` holds; returns it and the number of schedules tried."""
    tried = 0
    while True:
        for less in reductions(schedule):
            if tried >= MAX_SHRINKS or not may_go_on():
                return schedule, tried
            tried += 1
            if to_scenario(less) is not None and shows(less):
                schedule = less
                break
        else:
            return schedule, tried


def digest(schedule: Schedule) -> str:
    """Short hash that names a schedule."""
    return hashlib.sha256(msgspec.json.encode(schedule, order="deterministic")).hexdigest()[:10]
