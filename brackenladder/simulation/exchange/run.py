"""One schedule of the exchange from one seed: traffic under trouble, a calm end, and what must hold."""

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
from brackenladder.simulation.exchange.faults import STRIKES, Strike
from brackenladder.simulation.exchange.history import Ending
from brackenladder.simulation.exchange.world import World
from brackenladder.simulation.run import LONGEST_TURN_DELAY, RunResult
from brackenladder.simulation.stream_loop import StreamEventLoop
from brackenladder.simulation.trace import TraceHandler
from brackenladder.simulation.turn_order import TurnOrder

NAME = "exchange"
DESCRIPTIONS = (
    "gateways between clients and servers on byte streams that break anywhere, while all else changes"
)
START_SECONDS = 1.5
TROUBLE_SECONDS = 10.0
CALM_SECONDS = 2.0  # of traffic after the trouble
LAST_SECONDS = 7.0  # until every request has an end
PAUSE_SECONDS = 0.012  # between two requests
CALM = (0.05, 0.6)  # seconds between two faults
AT_ONCE = 3
LATE_TURNS = 0.1  # share of the turns that begin late
LEAST_SERVED = 0.6  # of the requests in the calm at the end that are not given up


def run_schedule(
    seed: int, trace: Callable[[str], None] | None = None, skipped: frozenset[int] = frozenset()
) -> RunResult:
    """Plays one schedule; `trace` takes what is logged; `skipped` faults do not come."""
    loop = StreamEventLoop(TurnOrder(Random(f"turns {NAME} {seed}"), LATE_TURNS, LONGEST_TURN_DELAY))
    handler = logbook.NullHandler() if trace is None else TraceHandler(loop, trace)
    with handler.applicationbound(), warnings.catch_warnings():
        # a process may end between the making of a task and its first step
        warnings.filterwarnings("ignore", "coroutine .* was never awaited", RuntimeWarning)
        try:
            return _run_in(loop, seed, skipped)
        finally:
            gc.collect()  # ends what waits for ever, while the loop still takes its last calls
            loop.close()


def _run_in(loop: StreamEventLoop, seed: int, skipped: frozenset[int]) -> RunResult:
    world = World(loop, seed)
    rule = detail = ""
    try:
        before = VIOLATIONS.total
        with VIOLATIONS.apart():
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
    clients = world.loop.create_task(world.clients.work(PAUSE_SECONDS))
    world.coverage.strikes = await _trouble(world, random, skipped)
    await _watched(world, CALM_SECONDS)
    world.clients.active = False
    await clients
    await _watched(world, LAST_SECONDS)
    if world.loop.faults:
        raise Violation("fault", repr(world.loop.faults[0]))
    check_history(world.history, world.calm)
    _check_served(world)


async def _trouble(world: World, random: Random, skipped: frozenset[int]) -> int:
    """Lets faults come; how many there were. Those that have begun end by themselves."""
    until = world.loop.time() + TROUBLE_SECONDS
    under_way: set[asyncio.Task[None]] = set()
    strikes = [strike for _, strike in STRIKES]
    weights = [weight for weight, _ in STRIKES]
    number = 0
    while world.loop.time() < until:
        await asyncio.sleep(random.uniform(*CALM))
        world.raise_failure()
        own = Random(random.getrandbits(64))
        under_way = {task for task in under_way if not task.done()}
        if len(under_way) < AT_ONCE and number not in skipped:
            strike = own.choices(strikes, weights)[0]
            under_way.add(world.loop.create_task(_run(strike, world, own)))
        number += 1
    if under_way:
        await asyncio.wait(under_way)
    for task in under_way:
        task.result()
    return number


async def _run(strike: Strike, world: World, random: Random) -> None:
    with suppress(asyncio.CancelledError):
        await strike(world, random)


async def _watched(world: World, seconds: float) -> None:
    until = world.loop.time() + seconds
    while world.loop.time() < until:
        await asyncio.sleep(0.1)
        world.raise_failure()


def _check_served(world: World) -> None:
    """Once all is well again most requests are served."""
    since = world.now - int((LAST_SECONDS + CALM_SECONDS / 2) * 1e6)
    late = [request for request in world.history.requests.values() if request.begun_at >= since]
    owed = [request for request in late if request.whole_at and request.ending is not Ending.GIVEN_UP]
    served = [request for request in owed if request.status == 200 or request.ending is Ending.BROKEN]
    if owed and len(served) < LEAST_SERVED * len(owed):
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
        strikes=world.coverage.strikes,
        faults=dict(world.coverage.faults),
        faults_by_role=dict(world.coverage.faults),
    )
