"""`soak`: real processes on loopback under overlapping troubles, for many seeds."""

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
from brackenladder.soak.checker import Verdict
from brackenladder.soak.events import MICROSECONDS
from brackenladder.soak.run import SoakPlan, run_soak
from brackenladder.soak.site import Size
from brackenladder.soak.system import SoakError
from brackenladder.system.options import JsonOption
from brackenladder.system.output import print_json, say
from brackenladder.system.simulate_command import seed_range

DEFAULT_SECONDS = 40.0
FOUND = Path("found")
MOST_LINES = 6  # violations of one rule that are printed of one seed
LONGEST_RUN_SECONDS = 600.0  # beyond the troubles' own time
FIRST_NETWORK, LAST_NETWORK = 120, 199  # second number of the loopback addresses


def soak(
    seeds: Annotated[str, typer.Option("--seeds", help="A or A-B, both included.")] = "1",
    jobs: Annotated[int, typer.Option("--jobs", min=1, help="Seeds that run side by side.")] = 1,
    seconds: Annotated[
        float, typer.Option("--seconds", min=5.0, help="For troubles, beside start, healing and end.")
    ] = DEFAULT_SECONDS,
    size: Annotated[Size, typer.Option("--size", help="How many processes.")] = Size.SMALL,
    network: Annotated[
        str, typer.Option("--network", help="For one seed: first three numbers of its addresses.")
    ] = "",
    as_json: JsonOption = False,
) -> int:
    """Plays seeded troubles against a whole system of real processes. Exit code 1: something broke."""
    numbers = seed_range(seeds)
    if len(numbers) > 1 and network:
        raise UsageError("--network: is for one seed")
    plans = [
        SoakPlan(seed, seconds, size, network or _network(seed), _folder(size, seed)) for seed in numbers
    ]
    return asyncio.run(
        _until_told(_one(plans[0], as_json) if len(plans) == 1 else _many(plans, jobs, as_json))
    )


async def _until_told(work: Coroutine[None, None, int]) -> int:
    """SIGTERM ends it in order: nothing that was started is left."""
    task = asyncio.ensure_future(work)
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        return await task
    except asyncio.CancelledError:
        return ExitCode.FAILED


def _folder(size: Size, seed: int) -> Path:
    return (FOUND / f"soak-{size.value}-{seed}").absolute()


def _network(seed: int) -> str:
    """A loopback network for a seed; neighbours have different ones."""
    wide = LAST_NETWORK - FIRST_NETWORK + 1
    return f"127.{FIRST_NETWORK + seed // 250 % wide}.{1 + seed % 250}"


async def _one(plan: SoakPlan, as_json: bool) -> int:
    rmtree(plan.folder, ignore_errors=True)
    plan.folder.mkdir(parents=True)
    try:
        async with asyncio.timeout(plan.seconds + LONGEST_RUN_SECONDS):
            verdict = await run_soak(plan)
    except (SoakError, TimeoutError, OSError) as error:
        say(f"seed {plan.seed}: not played to its end: {error!r}; files in {plan.folder}")
        return ExitCode.FAILED
    if as_json:
        print_json(_document(plan.seed, verdict))
    else:
        _say_verdict(plan, verdict)
    if verdict.held:
        rmtree(plan.folder, ignore_errors=True)
    return ExitCode.SUCCESS if verdict.held else ExitCode.FAILED


def _document(seed: int, verdict: Verdict) -> dict[str, Any]:
    violations = Counter(breach.rule.value for breach in verdict.breaches)
    document = {"seed": seed, "held": verdict.held, "violations": violations}
    document.update(unstructure(verdict))
    return document


def _say_verdict(plan: SoakPlan, verdict: Verdict) -> None:
    told = ", ".join(f"{number} {name}" for name, number in sorted(verdict.outcomes.items()))
    say(f"seed {plan.seed}: {'held' if verdict.held else 'BROKEN'}; requests: {told}")
    say(f"  checked: {_counts(verdict.checked)}; excused: {_counts(verdict.excused)}")
    if verdict.held:
        return
    violations = Counter(breach.rule.value for breach in verdict.breaches)
    say(f"  violations: {_counts(violations)}")
    for rule in violations:
        for breach in [one for one in verdict.breaches if one.rule.value == rule][:MOST_LINES]:
            since = max(0, breach.at - verdict.began) / MICROSECONDS
            say(f"  {rule} at {since:.3f} s: {breach.detail}")
        if violations[rule] > MOST_LINES:
            say(f"  {rule}: {violations[rule] - MOST_LINES} more")
    say(f"  settings, logs and events (*.jsonl) are kept in {plan.folder}")
    options = f"--seeds {plan.seed} --seconds {plan.seconds:g} --size {plan.size.value}"
    say(f"  again: python -m brackenladder.system soak {options}")


def _counts(counts: Counter[str]) -> str:
    return ", ".join(f"{name} {number}" for name, number in sorted(counts.items()) if number) or "none"


async def _many(plans: list[SoakPlan], jobs: int, as_json: bool) -> int:
    """Each seed in a process of its own, some side by side."""
    places = asyncio.Semaphore(jobs)
    async with asyncio.TaskGroup() as group:
        ends = {plan.seed: group.create_task(_child(plan, places, as_json)) for plan in plans}
    broken = [seed for seed, end in ends.items() if end.result()]
    held = len(plans) - len(broken)
    if as_json:
        print_json({"held": held, "seeds": len(plans), "broken": broken})
    else:
        say(f"{held} of {len(plans)} seeds held; broken: {', '.join(map(str, broken)) or 'none'}")
    return ExitCode.FAILED if broken else ExitCode.SUCCESS


async def _child(plan: SoakPlan, places: asyncio.Semaphore, as_json: bool) -> int:
    options = f"--seeds {plan.seed} --seconds {plan.seconds} --size {plan.size.value}".split()
    command = (sys.executable, "-m", "brackenladder.system", "soak", *options, *["--json"] * as_json)
    async with places:
        process = await asyncio.create_subprocess_exec(*command, stdout=asyncio.subprocess.PIPE)
        try:
            out, _ = await process.communicate()
        except asyncio.CancelledError:
            process.terminate()
            await process.wait()
            raise
    say(out.decode().rstrip())
    return process.returncode or 0
