"""Runs one schedule of the exchange from one seed: faults under traffic, a quiet end and the checks."""

from __future__ import annotations

import asyncio
import gc
import warnings
from collections.abc import Callable
from contextlib import suppress
from random import Random

import logbook

from brackenladder.invariants import VIOLATIONS
from brackenladder.simulation.errors import SimulationError, Violation
from brackenladder.simulation.exchange.checks import check_history
from brackenladder.simulation.exchange.faults import FAULT_ACTIONS, FaultAction
from brackenladder.simulation.exchange.history import RequestOutcome
from brackenladder.simulation.exchange.world import World
from brackenladder.simulation.run import LONGEST_TURN_DELAY, RunResult
from brackenladder.simulation.stream_loop import StreamEventLoop
from brackenladder.simulation.trace import TraceHandler
from brackenladder.simulation.turn_order import TurnOrder

NAME = "exchange"
DESCRIPTION = "gateways between clients and servers, on byte streams that may break at any byte"
START_SECONDS = 1.5
FAULT_SECONDS = 10.0
QUIET_SECONDS = 2.0  # seconds of traffic after the faults
DRAIN_SECONDS = 7.0  # time in which the remaining requests end
REQUEST_INTERVAL_SECONDS = 0.012  # mean time between two requests
FAULT_INTERVAL = (0.05, 0.6)  # range of seconds between two faults
MAX_CONCURRENT_FAULTS = 3
LATE_TURNS = 0.1  # fraction of event loop turns that begin late
MIN_SERVED_SHARE = 0.6  # least share of requests served late in the quiet time, without those given up


def run_schedule(
    seed: int, trace: Callable[[str], None] | None = None, skipped: frozenset[int] = frozenset()
) -> RunResult:
    """Runs one schedule without the `skipped` faults. `trace` receives each log line."""
    loop = StreamEventLoop(TurnOrder(Random(f"turns {NAME} {seed}"), LATE_TURNS, LONGEST_TURN_DELAY))
    handler = logbook.NullHandler() if trace is None else TraceHandler(loop, trace)
    with handler.applicationbound(), warnings.catch_warnings():
        # a process may end between the creation of a task and its first step
        warnings.filterwarnings("ignore", "coroutine .* was never awaited", RuntimeWarning)
        try:
            return _run_in(loop, seed, skipped)
        finally:
            gc.collect()  # finalizes coroutines that wait forever, while the loop still accepts calls
            loop.close()


def _run_in(loop: StreamEventLoop, seed: int, skipped: frozenset[int]) -> RunResult:
    world = World(loop, seed)
    rule = detail = ""
    try:
        before = VIOLATIONS.total
        with VIOLATIONS.restoring_counts():
            loop.run_until_complete(_run_phases(world, Random(f"{NAME} {seed}"), skipped))
            if VIOLATIONS.total > before:
                raise Violation("invariant", str(VIOLATIONS.violations()))
    except SimulationError as error:
        rule = error.rule if isinstance(error, Violation) else type(error).__name__
        detail = str(error)
    loop.set_exception_handler(lambda _loop, _context: None)
    for task in asyncio.all_tasks(loop):
        task.cancel()
    loop.run_for(1_000)
    return _result(seed, world, rule, detail)


async def _run_phases(world: World, random: Random, skipped: frozenset[int]) -> None:
    await world.boot()
    await asyncio.sleep(START_SECONDS)
    clients = world.loop.create_task(world.clients.run(REQUEST_INTERVAL_SECONDS))
    world.coverage.fault_count = await _inject_faults(world, random, skipped)
    await _run_watched(world, QUIET_SECONDS)
    world.clients.active = False
    await clients
    await _run_watched(world, DRAIN_SECONDS)
    if world.loop.unhandled_exceptions:
        raise Violation("fault", repr(world.loop.unhandled_exceptions[0]))
    check_history(world.history, world.undisturbed)
    _check_served(world)


async def _inject_faults(world: World, random: Random, skipped: frozenset[int]) -> int:
    """Injects faults, waits until they have ended and returns their number."""
    until = world.loop.time() + FAULT_SECONDS
    under_way: set[asyncio.Task[None]] = set()
    actions = [action for _, action in FAULT_ACTIONS]
    weights = [weight for weight, _ in FAULT_ACTIONS]
    number = 0
    while world.loop.time() < until:
        await asyncio.sleep(random.uniform(*FAULT_INTERVAL))
        world.raise_failure()
        own = Random(random.getrandbits(64))
        under_way = {task for task in under_way if not task.done()}
        if len(under_way) < MAX_CONCURRENT_FAULTS and number not in skipped:
            action = own.choices(actions, weights)[0]
            under_way.add(world.loop.create_task(_run(action, world, own)))
        number += 1
    if under_way:
        await asyncio.wait(under_way)
    for task in under_way:
        task.result()
    return number


async def _run(action: FaultAction, world: World, random: Random) -> None:
    with suppress(asyncio.CancelledError):
        await action(world, random)


async def _run_watched(world: World, seconds: float) -> None:
    until = world.loop.time() + seconds
    while world.loop.time() < until:
        await asyncio.sleep(0.1)
        world.raise_failure()


def _check_served(world: World) -> None:
    """Most requests must be served once all faults have ended."""
    since = world.now - int((DRAIN_SECONDS + QUIET_SECONDS / 2) * 1e6)
    late = [request for request in world.history.requests.values() if request.started_at >= since]
    owed = [request for request in late if request.sent_at and request.outcome is not RequestOutcome.GIVEN_UP]
    served = [
        request for request in owed if request.status == 200 or request.outcome is RequestOutcome.BROKEN
    ]
    if owed and len(served) < MIN_SERVED_SHARE * len(owed):
        raise Violation("not-served", f"{len(served)} of {len(owed)} in the calm at the end")


def _result(seed: int, world: World, rule: str, detail: str) -> RunResult:
    requests = world.history.requests.values()
    return RunResult(
        profile=NAME,
        seed=seed,
        rule=rule,
        detail=detail,
        events=world.loop.streams.portions,
        orders=len(requests),
        acknowledged=sum(request.status == 200 for request in requests),
        elections=0,
        fault_count=world.coverage.fault_count,
        faults=dict(world.coverage.faults),
        faults_by_role=dict(world.coverage.faults),
    )
