"""The command `soak`: real processes on loopback under overlapping faults, for many seeds."""

from __future__ import annotations

import asyncio
import signal
import sys
from collections import Counter
from collections.abc import Coroutine
from pathlib import Path
from shutil import rmtree
from typing import Annotated, Any

import typer
from cattrs import unstructure

from brackenladder.operator_client.errors import ExitCode, UsageError
from brackenladder.soak.events import MICROSECONDS
from brackenladder.soak.run import SoakPlan, run_soak
from brackenladder.soak.site import Size
from brackenladder.soak.system import SoakError
from brackenladder.soak.verdict import Verdict
from brackenladder.system.options import JsonOption
from brackenladder.system.output import print_json, print_line
from brackenladder.system.simulate_command import parse_seed_range

DEFAULT_SECONDS = 40.0
FAILED_RUNS_FOLDER = Path("found")
MAX_PRINTED = 6  # violations printed for each rule and seed
RUN_TIMEOUT_MARGIN_SECONDS = 600.0  # added to the time for faults: for start, recovery and end
FIRST_NETWORK, LAST_NETWORK = 120, 199  # range of the second byte of the seeds' loopback addresses


def soak(
    seeds: Annotated[str, typer.Option("--seeds", help="A or A-B, both included.")] = "1",
    jobs: Annotated[int, typer.Option("--jobs", min=1, help="Seeds that run at the same time.")] = 1,
    seconds: Annotated[
        float, typer.Option("--seconds", min=5.0, help="Time for faults, without start, recovery and end.")
    ] = DEFAULT_SECONDS,
    size: Annotated[Size, typer.Option("--size", help="Number of processes.")] = Size.SMALL,
    network: Annotated[
        str,
        typer.Option(
            "--network", help="First three numbers of the loopback addresses; only with a single seed."
        ),
    ] = "",
    as_json: JsonOption = False,
) -> int:
    """Runs seeded faults against a complete system of real processes. Exit code 1: a check failed."""
    seed_numbers = parse_seed_range(seeds)
    if len(seed_numbers) > 1 and network:
        raise UsageError("--network: needs a single seed")
    plans = [
        SoakPlan(seed, seconds, size, network or _network(seed), _run_folder(size, seed))
        for seed in seed_numbers
    ]
    return asyncio.run(
        _cancel_on_sigterm(
            _run_here(plans[0], as_json) if len(plans) == 1 else _run_in_subprocesses(plans, jobs, as_json)
        )
    )


async def _cancel_on_sigterm(work: Coroutine[None, None, int]) -> int:
    """Runs to the end, or cancels on SIGTERM, so that every process that was started is ended."""
    task = asyncio.ensure_future(work)
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        return await task
    except asyncio.CancelledError:
        return ExitCode.FAILED


def _run_folder(size: Size, seed: int) -> Path:
    return (FAILED_RUNS_FOLDER / f"soak-{size.value}-{seed}").absolute()


def _network(seed: int) -> str:
    """Returns the loopback network of a seed. Seeds that are close together have different ones."""
    network_count = LAST_NETWORK - FIRST_NETWORK + 1
    return f"127.{FIRST_NETWORK + seed // 250 % network_count}.{1 + seed % 250}"


async def _run_here(plan: SoakPlan, as_json: bool) -> int:
    rmtree(plan.folder, ignore_errors=True)
    plan.folder.mkdir(parents=True)
    try:
        async with asyncio.timeout(plan.seconds + RUN_TIMEOUT_MARGIN_SECONDS):
            verdict = await run_soak(plan)
    except (SoakError, TimeoutError, OSError) as error:
        print_line(f"seed {plan.seed}: not run to its end: {error!r}; files in {plan.folder}")
        return ExitCode.FAILED
    if as_json:
        print_json(_document(plan.seed, verdict))
    else:
        _print_verdict(plan, verdict)
    if verdict.held:
        rmtree(plan.folder, ignore_errors=True)
    return ExitCode.SUCCESS if verdict.held else ExitCode.FAILED


def _document(seed: int, verdict: Verdict) -> dict[str, Any]:
    violations = Counter(breach.rule.value for breach in verdict.breaches)
    document = {"seed": seed, "held": verdict.held, "violations": violations}
    document.update(unstructure(verdict))
    return document


def _print_verdict(plan: SoakPlan, verdict: Verdict) -> None:
    requests = ", ".join(f"{number} {name}" for name, number in sorted(verdict.outcomes.items()))
    print_line(f"seed {plan.seed}: {'held' if verdict.held else 'BROKEN'}; requests: {requests}")
    print_line(f"  checked: {_format_counts(verdict.checked)}; excused: {_format_counts(verdict.excused)}")
    if verdict.held:
        return
    violations = Counter(breach.rule.value for breach in verdict.breaches)
    print_line(f"  violations: {_format_counts(violations)}")
    for rule in violations:
        for breach in [entry for entry in verdict.breaches if entry.rule.value == rule][:MAX_PRINTED]:
            since = max(0, breach.at - verdict.began) / MICROSECONDS
            print_line(f"  {rule} at {since:.3f} s: {breach.detail}")
        if violations[rule] > MAX_PRINTED:
            print_line(f"  {rule}: {violations[rule] - MAX_PRINTED} more")
    print_line(f"  settings, logs and events (*.jsonl) are kept in {plan.folder}")
    options = f"--seeds {plan.seed} --seconds {plan.seconds:g} --size {plan.size.value}"
    print_line(f"  again: python -m brackenladder.system soak {options}")


def _format_counts(counts: Counter[str]) -> str:
    return ", ".join(f"{name} {number}" for name, number in sorted(counts.items()) if number) or "none"


async def _run_in_subprocesses(plans: list[SoakPlan], jobs: int, as_json: bool) -> int:
    """Runs each seed in its own process, `jobs` at a time."""
    slots = asyncio.Semaphore(jobs)
    async with asyncio.TaskGroup() as group:
        children = {plan.seed: group.create_task(_run_in_subprocess(plan, slots, as_json)) for plan in plans}
    broken = [seed for seed, child in children.items() if child.result()]
    held = len(plans) - len(broken)
    if as_json:
        print_json({"held": held, "seeds": len(plans), "broken": broken})
    else:
        print_line(f"{held} of {len(plans)} seeds held; broken: {', '.join(map(str, broken)) or 'none'}")
    return ExitCode.FAILED if broken else ExitCode.SUCCESS


async def _run_in_subprocess(plan: SoakPlan, slots: asyncio.Semaphore, as_json: bool) -> int:
    options = f"--seeds {plan.seed} --seconds {plan.seconds} --size {plan.size.value}".split()
    command = (sys.executable, "-m", "brackenladder.system", "soak", *options, *["--json"] * as_json)
    async with slots:
        process = await asyncio.create_subprocess_exec(*command, stdout=asyncio.subprocess.PIPE)
        try:
            out, _ = await process.communicate()
        except asyncio.CancelledError:
            process.terminate()
            await process.wait()
            raise
    print_line(out.decode().rstrip())
    return process.returncode or 0
