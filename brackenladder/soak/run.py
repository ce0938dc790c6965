"""Runs a soak of one seed: start, planned work, random faults, recovery, planned work again, check."""

from __future__ import annotations

import asyncio
from pathlib import Path

from attrs import frozen

from brackenladder.soak.checker import judge
from brackenladder.soak.events import MICROSECONDS, Journal, LogFault, Recovery, now, read_journals
from brackenladder.soak.schedule import CALM_SECONDS, Phase, make_schedule
from brackenladder.soak.site import Size, SoakLayout
from brackenladder.soak.system import SoakError, SoakSystem
from brackenladder.soak.verdict import Verdict

RECOVERY_SECONDS = 20.0  # limit after the last fault: RecoveryS and the time to start processes
STEP_SECONDS = 90.0  # limit for the last step to end after its phase
PLAYER = "player"
BAD_LINES = ("Traceback", "invariant broken", "fault in a request")


@frozen
class SoakPlan:
    """Seed, length, size, network and folder of a soak."""

    seed: int
    seconds: float
    size: Size
    network: str
    folder: Path


async def run_soak(plan: SoakPlan) -> Verdict:
    """Runs the soak and checks the recorded events."""
    layout = SoakLayout(plan.network, plan.folder, plan.size)
    schedule = make_schedule(plan.seed, layout, plan.seconds)
    journal = Journal(plan.folder / f"{PLAYER}.jsonl")
    system = SoakSystem(layout, plan.seed, schedule.relayed, journal.add)
    try:
        await system.start()
        await _play(system, schedule.planned)
        await _play(system, schedule.storm)
        await _recover(system, journal)
        await asyncio.sleep(CALM_SECONDS)
        await _play(system, schedule.late)
        await _recover(system, journal)
        await asyncio.sleep(CALM_SECONDS)
        await system.stop_operators()
        await _read_back(system)
    finally:
        await system.stop()
        for fault in _log_faults(plan.folder):
            journal.add(fault)
        journal.file.close()
    events = list(read_journals(sorted(plan.folder.glob("*.jsonl"))))
    return judge(events, layout)


async def _play(system: SoakSystem, phase: Phase) -> None:
    """Runs all steps of a phase until the last one has ended, and at least for the phase's length."""
    try:
        async with asyncio.timeout(phase.seconds + STEP_SECONDS):
            await asyncio.gather(asyncio.sleep(phase.seconds), *(system.play(step) for step in phase.steps))
    except TimeoutError:
        raise SoakError(f"a step had not ended {STEP_SECONDS:g} s after its phase") from None


async def _recover(system: SoakSystem, journal: Journal) -> None:
    """Waits a bounded time until the system has recovered, and records what is missing."""
    healed = now()
    missing = await system.missing()
    while missing and now() < healed + RECOVERY_SECONDS * MICROSECONDS:
        await asyncio.sleep(0.2)
        missing = await system.missing()
    journal.add(Recovery(healed, now(), missing))


async def _read_back(system: SoakSystem) -> None:
    """Reads the final configuration several times, since any node may answer."""
    until = now() + RECOVERY_SECONDS * MICROSECONDS
    reads = 0
    while reads < 2 * len(system.layout.control) and now() < until:
        reads += await system.inspector.read(final=True)


def _log_faults(folder: Path) -> list[LogFault]:
    """Forbidden lines found in the logs."""
    return [
        LogFault(path.stem, line.strip())
        for path in sorted(folder.glob("*.log"))
        for line in path.read_text(errors="replace").splitlines()
        if any(bad in line for bad in BAD_LINES)
    ]
