"""Days of the standing fleet test: scenarios in three tiers, generated from a seed. Pure.

`docs/standing-test.md` describes the purpose of each day. All values lie within the deployment's ranges.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

import msgspec

from brackenladder.rehearsal.scenario import Scenario

DAYS = ("calm", "roll", "herd", "zone", "split", "join")
TIERS = 3
NODES_PER_FRONT = 6  # one in six nodes serves clients; the others run beside servers of tiers 1 and 2
MIN_NODES = 12
MEAN_WORK_S = 0.33  # seconds of work of a mean request of CLASSES, summed over all tiers
TIER_WORK = (0.41, 0.31, 0.28)
SHARES = (2.8, 0.8, 0.8, 0.8, 0.8)  # load of each tenant relative to its quota
QUOTA = (0.43, 0.14, 0.14, 0.14, 0.14)  # each tenant's share of the sum of all quotas
CLASSES = (
    {"name": "view", "effect": "safe", "work_ms": [120, 420], "aim_ms": 1200, "deadline_ms": 3000},
    {"name": "invite", "effect": "unsafe", "work_ms": [60, 570], "aim_ms": 1500, "deadline_ms": 4000},
    {"name": "offer", "effect": "keyed", "work_ms": [150, 820], "aim_ms": 2500, "deadline_ms": 6000},
)
CLASS_SHARES = ((0.37, 0.55), (0.27, 0.41), (0.16, 0.24))
SILENT_WATCH_SHARE = 0.25  # share of the watches that fall silent once on the day `join`

Table = dict[str, Any]


def day_scenario(name: str, seed: int, nodes: int) -> Scenario:
    """Generates a day with about `nodes` nodes; raises ValueError for an unknown day or too few nodes."""
    if name not in DAYS:
        raise ValueError(f"no day '{name}'; there are {', '.join(DAYS)}")
    if nodes < MIN_NODES:
        raise ValueError(f"{nodes} nodes, {MIN_NODES} at the least")
    rng = Random(f"standing {name} {seed}")
    table = base_table(rng, nodes)
    DAY_FAULTS[name](rng, table)
    table["title"] = f"standing-{name}"
    table["faults"].sort(key=lambda fault: fault["at_s"])
    return msgspec.convert(table, Scenario)


def base_table(rng: Random, nodes: int) -> Table:
    """The part of the scenario that all days share: tiers, zones, load and limits."""
    front = max(2, nodes // NODES_PER_FRONT)
    servers = max(4, (nodes - front) // (TIERS - 1))
    zones = rng.choice((["east"], ["east", "west"]))
    speed = sorted(rng.uniform(0.75, 1.35) for _ in range(2))
    # First tries a second that the servers can serve.
    capacity = servers * 2 * sum(speed) / 2 / (MEAN_WORK_S * max(TIER_WORK))
    load = rng.uniform(0.95, 1.2)
    quota = capacity * rng.uniform(0.47, 0.56)
    sent = [s * q for s, q in zip(SHARES, QUOTA, strict=True)]
    return {
        "length_s": 25.0,
        "nodes": front,
        "zones": zones,
        "tenants": [f"tenant-{i}" for i in range(len(QUOTA))],
        "tiers": TIERS,
        "network": {"near_ms": round(rng.uniform(0.09, 0.34), 2), "far_ms": round(rng.uniform(10, 20), 1)},
        "servers": {
            "count": servers,
            "pod": rng.randint(3, 5),
            "cores": 2,
            "speed": [round(s, 2) for s in speed],
            "queue": rng.randint(17, 62),
            "connections": rng.randint(1200, 1800),
            "idle_s": 5.0,
            "cold_share": round(rng.uniform(0.12, 0.36), 2),
            "warm_s": round(rng.uniform(11, 24), 1),
            "slots": rng.randint(12, 40),
            "tier_work": list(TIER_WORK),
            "choke": {
                "at": round(rng.uniform(4, 7), 2),
                "over_s": round(rng.uniform(1.5, 2.5), 2),
                "slower": round(rng.uniform(2, 3), 2),
                "rest_s": round(rng.uniform(2, 5), 2),
                "below": round(rng.uniform(0.25, 0.4), 2),
                "most_s": round(rng.uniform(24, 35), 1),
            }
            if rng.random() < 0.6
            else None,
        },
        "discovery": {"late_ms": sorted(round(rng.uniform(330, 2500)) for _ in range(2))},
        "clients": {
            "rate": round(capacity * load, 1),
            "retries": rng.randint(0, 2),
            "wait_ms": [0, rng.choice((0, 60, 480))],
            "budget": [round(rng.uniform(0.42, 1), 2), 1.0],
            "notice_s": round(rng.uniform(0.9, 3.9), 1),
            "hot": round(rng.uniform(0, 2.0) / front, 3),
            "tenants": sent,
            "quotas": [round(quota * part, 2) for part in QUOTA],
        },
        "classes": [
            c | {"share": round(rng.uniform(*share), 2)}
            for c, share in zip(CLASSES, CLASS_SHARES, strict=True)
        ],
        "limits": {"attempts": 3, "event_us": round(rng.uniform(50, 150))},
        "faults": [],
    }


def calm(rng: Random, table: Table) -> None:
    """Adds a surge to 1.5 times the normal client load, for 2.4 to 6 seconds."""
    at, lasts = rng.uniform(6, 14), rng.uniform(2.4, 6)
    table["clients"]["surges"] = [{"at_s": round(at, 1), "for_s": round(lasts, 1), "times": 1.5}]


def release(
    rng: Random, table: Table, share: float, lasts: float, at: float = 0.0, drains: float = 2.0
) -> float:
    """Adds a rolling deploy that replaces a share of all servers; returns its start time.

    `lasts`: its duration; `drains`: drain time of each server.
    """
    at = round(at or rng.uniform(3, 5), 1)
    pick = max(1, round(share * TIERS * table["servers"]["count"]))
    table["faults"].append(
        {"kind": "deploy", "at_s": at, "for_s": lasts, "pick": pick, "drain_s": round(drains, 1)}
    )
    return at


def roll(rng: Random, table: Table) -> None:
    """A deploy while the front nodes restart, a tenth at a time; then they all switch discovery services."""
    lasts = round(rng.uniform(8, 12), 1)
    at = release(rng, table, 0.5, lasts)
    table["faults"] += [
        {"kind": "node-term", "at_s": at, "for_s": 4.5, "pick": "all", "waves": 10, "spread_s": lasts},
        {"kind": "node-move", "at_s": round(at + lasts + 1, 1), "for_s": 1.0, "pick": "all"},
    ]


def herd(rng: Random, table: Table) -> None:
    """A deploy; 70% of the front nodes are killed; discovery is slow; one in eight servers is faulty."""
    at = release(rng, table, 0.3, round(rng.uniform(5, 8), 1))
    count = table["servers"]["count"]
    table["discovery"]["lines_per_s"] = round(rng.uniform(3.4, 5.9) * count * table["nodes"] / 10)
    table["faults"] += [
        {
            "kind": "node-kill",
            "at_s": round(at + 3, 1),
            "for_s": 1.0,
            "pick": max(1, round(0.7 * table["nodes"])),
        },
        faulty_servers(rng, count, ("error", "reset-late", "slow")),
    ]


def faulty_servers(rng: Random, count: int, kinds: tuple[str, ...]) -> Table:
    """A fault of one in eight servers for most of the day."""
    kind = rng.choice(kinds)
    share = rng.uniform(0.2, 0.5) if kind == "slow" else rng.uniform(0.2, 0.8)
    pick = max(1, TIERS * count // 8)
    return {"kind": kind, "at_s": 6.0, "for_s": 12.0, "pick": pick, "share": round(share, 2)}


def zone(rng: Random, table: Table) -> None:
    """A zone is lost for 5 s and returns cold; before that servers are faulty, later a quarter is cut off."""
    at = round(rng.uniform(5, 9), 1)
    count = table["servers"]["count"] * TIERS
    if len(table["zones"]) > 1:
        lost: Table = {"zone": "west", "pick": "all"}
    else:
        lost = {"pick": max(1, round(0.3 * count))}
    table["faults"] += [
        faulty_servers(rng, table["servers"]["count"], ("error", "slow")) | {"at_s": 0.5, "for_s": 3.5},
        {"kind": "vanish", "at_s": at, "for_s": 5.0} | lost,
        {"kind": "cut", "at_s": round(at + 8, 1), "for_s": 2.0, "share": 0.5, "pick": max(1, count // 4)},
    ]


def split(rng: Random, table: Table) -> None:
    """For 6 s servers are cut off, datagrams are lost and connections are reset; lists are late all day."""
    at = round(rng.uniform(5, 9), 1)
    count = table["servers"]["count"] * TIERS
    table["discovery"]["late_ms"] = [1500, 3000]
    table["faults"] += [
        {"kind": "cut", "at_s": at, "for_s": 6.0, "share": round(rng.uniform(0.5, 1), 2), "pick": count // 5},
        {"kind": "datagrams-lost", "at_s": at, "for_s": 6.0},
        {"kind": "reset-late", "at_s": at, "for_s": 6.0, "share": 0.05, "pick": count // 4},
        {"kind": "reset-answer", "at_s": at, "for_s": 6.0, "share": 0.03, "pick": count // 4},
    ]


def join(rng: Random, table: Table) -> None:
    """60% of the servers are replaced within 7 s, while a quarter of the watches fall silent.

    Servers drain for up to the time in which a node must detect a silent watch. Some answers are reset, and
    clients retry too often.
    """
    at = release(rng, table, 0.6, 7.0, rng.uniform(5, 9), rng.uniform(2.8, 6))
    count = table["servers"]["count"] * TIERS
    table["clients"] |= {"leave": 0.05, "retries": 3, "wait_ms": [0, 60]}
    table["faults"] += [
        {"kind": "reset-answer", "at_s": at, "for_s": 10.0, "share": 0.05, "pick": max(1, count // 8)},
        {
            "kind": "silent-watch",
            "at_s": round(at + 0.1, 1),  # begins before discovery learns of the first replaced server
            "for_s": 0.1,
            "pick": max(1, round(SILENT_WATCH_SHARE * table["nodes"])),
        },
    ]


DAY_FAULTS: dict[str, Callable[[Random, Table], None]] = {
    "calm": calm,
    "roll": roll,
    "herd": herd,
    "zone": zone,
    "split": split,
    "join": join,
}
