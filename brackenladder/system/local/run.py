"""Implements `local`: starts a system, sends traffic, injects a fault and sums up."""

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
from brackenladder.system.local.faults import Fault, FaultReport, inject_fault
from brackenladder.system.local.local_system import LocalSystem
from brackenladder.system.local.traffic import Traffic

FAULT_AFTER_SECONDS = 3.0  # duration of traffic before the fault is injected


@frozen
class LocalPlan:
    """The parameters of a run."""

    network: str
    folder: Path
    seconds: float | None = None  # None: until it is interrupted
    fault: Fault | None = None
    seed: int = 1


@define
class LocalSummary:
    """What a run of the local system counted and observed."""

    status: ControlStatus | None = None
    traffic: dict[str, Any] = field(factory=dict)
    unserved: int = 0
    fault: FaultReport | None = None
    exits: tuple[ProcessExit, ...] = ()

    @property
    def healthy(self) -> bool:
        """Whether every request was served and no process ended except through the fault."""
        return self.unserved == 0 and len(self.exits) <= (1 if self.fault is not None else 0)


async def run_local(plan: LocalPlan, report: Callable[[str], None]) -> LocalSummary:
    """Runs a local system until its time is over, or until SIGINT or SIGTERM."""
    interrupted = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, interrupted.set)
    layout = Layout(plan.network, plan.folder)
    report("starting 3 control nodes, 3 gateways and 7 servers in 3 regions")
    summary = LocalSummary()
    run_task = asyncio.create_task(_run(plan, layout, interrupted, summary, report))
    interrupt_task = asyncio.create_task(interrupted.wait())
    await asyncio.wait((run_task, interrupt_task), return_when=asyncio.FIRST_COMPLETED)
    interrupt_task.cancel()
    if not run_task.done() and summary.status is None:
        run_task.cancel()  # interrupted before the system was ready
    with suppress(asyncio.CancelledError):
        await run_task
    return summary


async def _run(
    plan: LocalPlan,
    layout: Layout,
    interrupted: asyncio.Event,
    summary: LocalSummary,
    report: Callable[[str], None],
) -> None:
    async with LocalSystem(layout) as system:
        summary.status = await system.status()
        report(startup_message(system, plan.seconds))
        traffic = Traffic(layout, plan.seed)
        await traffic.start()
        try:
            if plan.fault is not None:
                await _inject_fault(plan, system, interrupted, summary, report)
            await _wait_for_interrupt(interrupted, plan.seconds)
        finally:
            await traffic.stop()
        summary.status = await system.status()
        summary.traffic = {name: tally.document() for name, tally in traffic.tallies.items()}
        summary.unserved = sum(tally.unserved for tally in traffic.tallies.values())
        summary.exits = tuple(end for role in system.roles.values() for end in role.exits)
        report("ending")


async def _inject_fault(
    plan: LocalPlan,
    system: LocalSystem,
    interrupted: asyncio.Event,
    summary: LocalSummary,
    report: Callable[[str], None],
) -> None:
    await _wait_for_interrupt(interrupted, FAULT_AFTER_SECONDS)
    if plan.fault is None or interrupted.is_set():
        return
    summary.fault = await inject_fault(plan.fault, system, Random(plan.seed))
    report(f"{summary.fault.action}: {summary.fault.outcome}")


async def _wait_for_interrupt(interrupted: asyncio.Event, seconds: float | None) -> None:
    with suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await interrupted.wait()


def startup_message(system: LocalSystem, seconds: float | None) -> str:
    """Lists the processes, and commands to try."""
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
        "Send a request to a gateway:",
        f"  curl -N -H 'Host: {HOST}' -H \"X-Brackenladder-Request-Id: $(date +%s%N)\" "
        f"-H 'X-Brackenladder-Request-Deadline-Ms: 8000' -d '{{}}' http://{gateway.front}{CHAT_PATH}hello",
        "Query a control node:",
        f"  export BRACKENLADDER_CONTROL='{' '.join(layout.seeds)}'",
        "  .venv/bin/python -m brackenladder.system status",
        "  .venv/bin/python -m brackenladder.system config show",
        "",
        f"Ends after {seconds:g} s." if seconds is not None else "Ctrl-C ends all of it.",
    ]
    return "\n".join(lines)
