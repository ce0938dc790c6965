"""Runs short rehearsals for the tests.

They are scaled down: a few seconds long, four servers that are warm after 3 s, requests of some milliseconds.
The slack of time limits and the allowed lag are 1 s instead of 50 ms, since test machines may stall.
Verdicts that need the real slack come from full-size runs, not from these tests.
"""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import msgspec

from brackenladder.rehearsal.checker import Report, check
from brackenladder.rehearsal.report import terms_of
from brackenladder.rehearsal.runner import Result, rehearse
from brackenladder.rehearsal.scenario import Scenario

SMALL: dict[str, Any] = {
    "title": "small",
    "length_s": 3.0,
    "nodes": 1,
    "zones": ["here"],
    "servers": {"count": 4, "pod": 4, "warm_s": 3.0},
    "discovery": {"late_ms": [50, 100]},
    "clients": {"rate": 60, "retries": 1, "budget": [0.8, 1.0]},
    "classes": [
        {"name": "view", "effect": "safe", "work_ms": [4, 12], "deadline_ms": 1500},
        {"name": "invite", "effect": "unsafe", "work_ms": [4, 12], "deadline_ms": 1500},
        {"name": "offer", "effect": "keyed", "work_ms": [4, 12], "deadline_ms": 1500},
    ],
    "rules": {"slack_ms": 1000, "lag_ms": 1000},
}


def small(*faults: dict[str, Any], **changes: Any) -> Scenario:
    """The small scenario with the given faults; tables in `changes` are merged into its tables."""
    table = dict(SMALL)
    for key, value in changes.items():
        table[key] = table.get(key, {}) | value if isinstance(value, dict) else value
    return msgspec.convert(table | {"faults": list(faults)}, Scenario)


def play(scenario: Scenario, folder: Path, command: str = "", seed: int = 1) -> tuple[Result, Report]:
    """Runs a scenario; returns the result and its report."""
    result = asyncio.run(rehearse(scenario, seed, command, folder))
    return result, check(result.events, terms_of(scenario))
