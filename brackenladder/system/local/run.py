"""What `local` does: starts a system, keeps it under traffic, plays a fault, sums up."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from random import Random
from typing import Any

from attrs import define, field, frozen

from brackenladder.control_plane.status import ControlStatus
from brackenladder.local_site.first_configuration import CHAT_PATH, HOST
from brackenladder.local_site.layout import Layout
from brackenladder.local_site.processes import ProcessExit
from brackenladder.system.local.faults import Fault, FaultReport, play_fault
from brackenladder.system.local.local_system import LocalSystem
from brackenladder.system.local.traffic import Traffic

FAULT_AFTER_SECONDS = 3.0  # of traffic


@frozen
class LocalPlan:
    """What is to be run."""

    network: str
    folder: Path
    seconds: float | None = None  # None: until it is interrupted
    fault: Fault | None = None
    seed: int = 1


@define
class LocalSummary:
    """What was seen."""

    status: ControlStatus | None = None
    traffic: dict[str, Any] = field(factory=dict)
    lost: int = 0
    fault: FaultReport | None = None
    exits: tuple[ProcessExit, ...] = ()

    @property
    def sound(self) -> bool:
        """Whether every request was served and no process ended but by the fault."""
        return self.lost == 0 and len(self.exits) <= (1 if self.fault is not None else 0)


async def run_local(plan: LocalPlan, say: Callable[[str], None]) -> LocalSummary:
    """Runs a local system until its time is over or SIGINT or SIGTERM comes."""
    interrupted = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, interrupted.set)
    layout = Layout(plan.network, plan.folder)
    say("starting 3 control nodes, 3 gateways and 7 servers in 3 regions")
    summary = LocalSummary()
    starting = asyncio.create_task(_run(plan, layout, interrupted, summary, say))
    stopping = asyncio.create_task(interrupted.wait())
    await asyncio.wait((starting, stopping), return_when=asyncio.FIRST_COMPLETED)
    stopping.cancel()
    if not starting.done() and summary.status is None:
        starting.cancel()  # it was interrupted before the system was there
    with suppress(asyncio.CancelledError):
        await starting
    return summary


async def _run(
    plan: LocalPlan,
    layout: Layout,
    interrupted: asyncio.Event,
    summary: LocalSummary,
    say: Callable[[str], None],
) -> None:
    async with LocalSystem(layout) as system:
        summary.status = await system.status()
        say(welcome(system, plan.seconds))
        traffic = Traffic(layout, plan.seed)
        await traffic.start()
        try:
            if plan.fault is not None:
                await _play_fault(plan, system, interrupted, summary, say)
            await _wait(interrupted, plan.seconds)
        finally:
            await traffic.stop()
        summary.status = await system.status()
        summary.traffic = {name: tally.document() for name, tally in traffic.tallies.items()}
        summary.lost = sum(tally.lost for tally in traffic.tallies.values())
        summary.exits = tuple(end for role in system.roles.values() for end in role.exits)
        say("ending")


async def _play_fault(
    plan: LocalPlan,
    system: LocalSystem,
    interrupted: asyncio.Event,
    summary: LocalSummary,
    say: Callable[[str], None],
) -> None:
    await _wait(interrupted, FAULT_AFTER_SECONDS)
    if plan.fault is None or interrupted.is_set():
        return
    summary.fault = await play_fault(plan.fault, system, Random(plan.seed))
    say(f"{summary.fault.done}: {summary.fault.seen}")


async def _wait(interrupted: asyncio.Event, seconds: float | None) -> None:
    with suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await interrupted.wait()


def welcome(system: LocalSystem, seconds: float | None) -> str:
    """What runs, and what to type next."""
    layout = system.layout
    gateway = layout.gateways[0]
    processes = [
        f"  {machine.name:<16} {machine.ip:<12} process {system.roles[machine.name].pid}"
        for machine in (*layout.control, *layout.gateways)
    ]
    lines = [
        f"running; settings files and logs are in {layout.folder}",
        *processes,
        "",
        "Ask a gateway:",
        f"  curl -N -H 'Host: {HOST}' -H \"X-Brackenladder-Request-Id: $(date +%s%N)\" "
        f"-H 'X-Brackenladder-Request-Deadline-Ms: 8000' -d '{{}}' http://{gateway.front}{CHAT_PATH}hello",
        "Ask a control node:",
        f"  export BRACKENLADDER_CONTROL='{' '.join(layout.seeds)}'",
        "  .venv/bin/python -m brackenladder.system status",
        "  .venv/bin/python -m brackenladder.system config show",
        "",
        f"Ends by itself after {seconds:g} s." if seconds is not None else "Ctrl-C ends all of it.",
    ]
    return "\n".join(lines)
