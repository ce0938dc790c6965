"""CPU microseconds of one node for one HTTP call: `.venv/bin/python benchmarks/node_cpu.py [OTHER_CHECKOUT]`.

A node is loaded by the rehearsal's clients and servers at a fixed rate, and its own CPU time is read while it
A node is loaded by the rehearsal's clients and servers at a fixed rate, and its CPU time is read as it
"""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
from pathlib import Path
from statistics import median

from brackenladder.rehearsal.events import Answered, now
from brackenladder.rehearsal.runner import Run
from brackenladder.rehearsal.scenario import Class, Clients, Scenario, Servers

ROUNDS = 7
RATE = 800.0
SECONDS = 7.0
SKIPPED = 1.5  # seconds at the start that do not count
TICK = os.sysconf("SC_CLK_TCK")

SCENARIO = Scenario(
    title="node cpu",
    length_s=SECONDS,
    nodes=1,
    zones=("here",),
    servers=Servers(count=12, cores=4, pod=4, processes=2),
    clients=Clients(rate=RATE, retries=0, budget=(1.0, 1.0)),
    classes=(
        Class(name="view", effect="safe", work_ms=(2, 6)),
        Class(name="invite", effect="unsafe", work_ms=(2, 6)),
        Class(name="offer", effect="keyed", work_ms=(2, 6)),
    ),
)


def cpu(pid: int) -> float:
    """Seconds of CPU that a process has used, in its main thread where the system counts nanoseconds."""
    try:
        return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9
    except OSError:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICK


async def measured(command: str, folder: Path) -> tuple[float, int]:
    """Microseconds for one answered call, and how many were answered meanwhile."""
    run = Run(SCENARIO, 1, command, folder, None)
    task = asyncio.create_task(run.execute())
    while not run.begin or now() < run.begin + SKIPPED * 1e6:
        await asyncio.sleep(0.01)
        if task.done():
            await task
    process = run.nodes[0].process
    assert process is not None
    start, before = now(), cpu(process.pid)
    await asyncio.sleep(SECONDS - SKIPPED - 0.5)
    end, after = now(), cpu(process.pid)
    result = await task
    answered = sum(isinstance(e, Answered) and start <= e.t < end for e in result.events)
    return (after - before) / answered * 1e6, answered


def once(command: str) -> tuple[float, int]:
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(measured(command, Path(folder)))


def main() -> None:
    here = Path.cwd()
    commands = {"this": f"env -C {here} PYTHONPATH={here} {sys.executable} -m brackenladder"}
    if len(sys.argv) > 1:
        other = Path(sys.argv[1]).absolute()
        commands["other"] = f"env -C {other} PYTHONPATH={other} {sys.executable} -m brackenladder"
    figures: dict[str, list[float]] = {name: [] for name in commands}
    for i in range(ROUNDS):
        for name in list(commands)[:: 1 if i % 2 else -1]:
            figure, answered = once(commands[name])
            figures[name].append(figure)
            print(f"round {i + 1} {name}: {figure:.1f} us a call, {answered} calls", flush=True)
    for name, values in figures.items():
        print(f"{name}: median {median(values):.1f} us a call ({min(values):.1f} to {max(values):.1f})")
    if len(figures) > 1:
        ratios = [a / b for a, b in zip(figures["this"], figures["other"], strict=True)]
        print(f"this over other: median {median(ratios):.3f} ({min(ratios):.3f} to {max(ratios):.3f})")


if __name__ == "__main__":
    main()
