"""Membership verdicts on runs with several nodes and faults between them.

This build's node must break none; each faulty node must break the one that is listed for it.
"""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import pytest
from rehearsal.cases import fault
from rehearsal.playing import play, small

from brackenladder.rehearsal.events import AnyEvent, Datagram, Fault, Said
from brackenladder.rehearsal.report import member_verdicts
from brackenladder.rehearsal.scenario import Scenario

ROGUE = Path(__file__).with_name("rogue_members.py")
PAUSED = [fault("node-pause", at=6.0, length=2.0)]
KILLED = [fault("node-kill", at=6.0, length=60.0)]
DEAF = [fault("deaf", at=6.0, length=5.0)]
LONG = [
    fault("node-pause", at=5.5, length=4.0)
]  # long enough that the others report it dead before it resumes
SWAPPED = [
    fault("datagrams-swapped", at=5.0, length=9.0, share=0.5),
    fault("datagrams-twice", at=5.0, length=9.0, share=0.5),
    fault("node-kill", at=6.0, length=0.1),
    fault("node-kill", at=8.0, length=0.1),
]

CASES: dict[str, tuple[str, list[dict[str, Any]], float, str]] = {
    # mode, faults, length, the verdict that the mode breaks (for "right": one that must be exercised)
    "right-paused": ("right", PAUSED, 12.0, "accurate"),
    "right-killed": ("right", KILLED, 17.5, "complete"),
    "right-deaf": ("right", DEAF, 12.0, "accurate"),
    "right-woken": ("right", LONG, 26.0, "agreed"),
    "right-swapped": ("right", SWAPPED, 12.0, "no-return"),
    "fixed-time": ("fixed-time", PAUSED, 12.0, "accurate"),
    "no-refutation": ("no-refutation", LONG, 26.0, "agreed"),
    "believes-its-deafness": ("believes-its-deafness", DEAF, 12.0, "accurate"),
    "takes-anything": ("takes-anything", SWAPPED, 14.0, "no-return"),
    "floods": ("floods", [], 6.0, "bounded"),
}


def scenario_of(faults: list[dict[str, Any]], length: float) -> Scenario:
    clients = {"rate": 20, "notice_s": 0.2}
    return small(*faults, nodes=4, members=True, length_s=length, clients=clients)


@pytest.mark.parametrize("name", sorted(CASES))
def test_a_correct_node_breaks_nothing_and_a_faulty_one_its_verdict(name: str, tmp_path: Path) -> None:
    mode, faults, length, verdict = CASES[name]
    scenario = scenario_of(faults, length)
    result, report = play(scenario, tmp_path, f"{sys.executable} {ROGUE} {mode}")
    found = member_verdicts(scenario, result)
    broke = {rule: judged.evidence for rule, judged in found.items() if judged.verdict == "broke"}
    if mode != "right":
        assert verdict in broke
        return
    assert not broke and found[verdict].verdict in ("held", "not valid"), found  # type: ignore[index]
    assert not result.crashed and not report.breaks
    done = [e.kind for e in result.events if isinstance(e, Fault)]
    assert sorted(done) == sorted(f["kind"] for f in faults)
    assert count_of(result.events, Said) and count_of(result.events, Datagram)


def count_of(events: list[AnyEvent], kind: type) -> int:
    return sum(isinstance(event, kind) for event in events)
