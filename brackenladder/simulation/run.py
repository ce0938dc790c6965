"""Runs one simulation from one seed: faults, recovery and the checks at the end."""

from __future__ import annotations

import asyncio
import gc
import warnings
from collections.abc import Awaitable, Callable
from random import Random

import logbook
from attrs import frozen

from brackenladder.invariants import VIOLATIONS
from brackenladder.simulation.checks import (
    check_evacuations,
    check_history,
    check_overtaken_evacuations,
)
from brackenladder.simulation.contact_checks import check_contact
from brackenladder.simulation.errors import SimulationError, Violation
from brackenladder.simulation.faults import Faults
from brackenladder.simulation.machines import ControlMachine, GatewayMachine
from brackenladder.simulation.profiles import Profile, inject_faults
from brackenladder.simulation.scenario import SECOND
from brackenladder.simulation.trace import TraceHandler
from brackenladder.simulation.turn_order import TurnOrder
from brackenladder.simulation.virtual_loop import VirtualEventLoop
from brackenladder.simulation.world import World

START_SECONDS = 3.0  # seconds from the first boot until the actors start
POLL_SECONDS = 0.2
LONGEST_TURN_DELAY = 20_000  # microseconds; as for a process that shares its core with many others
CLEAN_UP_TIME = 1_000  # microseconds in which tasks handle their cancellation after a run


@frozen
class RunResult:
    """The result of a run; `rule` is empty if no rule was broken."""

    profile: str
    seed: int
    rule: str
    detail: str
    events: int  # messages and calls delivered
    orders: int
    acknowledged: int
    elections: int
    fault_count: int  # drawn faults, including skipped ones; 0 if the run broke while faults were injected
    faults: dict[str, int]
    faults_by_role: dict[str, int]


def run(
    profile: Profile,
    seed: int,
    machine_type: type[ControlMachine] = ControlMachine,
    gateway_type: type[GatewayMachine] = GatewayMachine,
    trace: Callable[[str], None] | None = None,
    skipped: frozenset[int] = frozenset(),
) -> RunResult:
    """Runs one schedule without the `skipped` faults. `trace` receives each log line."""
    loop = VirtualEventLoop(_turn_order(profile, seed))
    handler = logbook.NullHandler() if trace is None else TraceHandler(loop, trace)
    with handler.applicationbound(), warnings.catch_warnings():
        # a process may end between the creation of a task and its first step
        warnings.filterwarnings("ignore", "coroutine .* was never awaited", RuntimeWarning)
        try:
            return _run_in(loop, profile, seed, machine_type, gateway_type, skipped)
        finally:
            gc.collect()  # finalizes coroutines that wait forever, while the loop still accepts calls
            loop.close()


def _turn_order(profile: Profile, seed: int) -> TurnOrder | None:
    share = profile.scenario.late_turns
    if not share:
        return None
    return TurnOrder(Random(f"turns {profile.name} {seed}"), share, LONGEST_TURN_DELAY)


def _run_in(
    loop: VirtualEventLoop,
    profile: Profile,
    seed: int,
    machine_type: type[ControlMachine],
    gateway_type: type[GatewayMachine],
    skipped: frozenset[int],
) -> RunResult:
    world = World(loop, seed, profile.scenario, machine_type, gateway_type)
    rule = detail = ""
    try:
        before = VIOLATIONS.total
        with VIOLATIONS.restoring_counts():
            loop.run_until_complete(_run_phases(profile, world, Random(f"{profile.name} {seed}"), skipped))
            if loop.unhandled_exceptions:
                raise Violation("fault", repr(loop.unhandled_exceptions[0]))
            if VIOLATIONS.total > before:
                raise Violation("invariant", str(VIOLATIONS.violations()))
    except SimulationError as error:
        rule = error.rule if isinstance(error, Violation) else type(error).__name__
        detail = str(error)
    loop.set_exception_handler(lambda _loop, _context: None)
    for task in asyncio.all_tasks(loop):
        task.cancel()
    loop.run_for(CLEAN_UP_TIME)
    return _result(profile, seed, world, rule, detail)


async def _run_phases(profile: Profile, world: World, random: Random, skipped: frozenset[int]) -> None:
    faults = Faults(world)
    world.boot()
    await asyncio.sleep(START_SECONDS)
    world.start_actors()
    world.coverage.fault_count = await _run_watched(world, inject_faults(profile, faults, random, skipped))
    await faults.heal()
    await _run_watched(world, asyncio.sleep(profile.scenario.quiet_seconds, 0))
    await world.stop_actors()
    world.raise_failure()
    await _wait_for_convergence(world)
    check_history(world.history)
    check_overtaken_evacuations(world.history)
    check_evacuations(world.history, world.gateways[0].subscriber.view.evacuated)
    check_contact(world.history, world.isolation, world.machines)


async def _run_watched(world: World, work: Awaitable[int]) -> int:
    """Runs the fault injection, and stops it as soon as a check fails."""
    task = asyncio.ensure_future(work)
    while not task.done():
        await asyncio.sleep(POLL_SECONDS)
        world.raise_failure()
    return task.result()


async def _wait_for_convergence(world: World) -> None:
    """Returns when an order was acknowledged and read back and all nodes and gateways agree."""
    deadline = world.now + int(world.scenario.recovery_seconds * SECOND)
    operator = world.operators[0]
    while world.now < deadline:
        record = await operator.configure()
        read = await operator.read()
        if record.acknowledged and read is not None and _converged(world):
            return
        await asyncio.sleep(POLL_SECONDS)
        world.raise_failure()
    raise Violation("no-recovery", describe(world))


def _converged(world: World) -> bool:
    nodes = [machine.node for machine in world.machines if machine.node is not None]
    revisions = {node.catalog.revision for node in nodes}
    revisions |= {gateway.subscriber.view.revision for gateway in world.gateways}
    leaders = [node for node in nodes if node.host.leads]
    if len(nodes) != len(world.machines) or len(revisions) != 1 or len(leaders) != 1:
        return False
    members = leaders[0].host.replica.members
    disks = {machine.disk.replica_id for machine in world.machines}
    return not members.outgoing and all(voter.replica_id in disks for voter in members.voters)


def describe(world: World) -> str:
    """Describes all control nodes and gateways in one line."""
    parts = []
    for machine in world.machines:
        node = machine.node
        if node is None:
            parts.append(f"{machine.name}: down")
            continue
        replica = node.host.replica
        voters = [voter.replica_id for voter in replica.members.voters]
        parts.append(
            f"{machine.name} ({machine.disk.replica_id}): {replica.role.value} of term {replica.term}, "
            f"{node.host.applied_index}/{replica.commit_index}/{replica.last_index}, "
            f"catalog {node.catalog.revision}, voters {voters}"
        )
    views = [gateway.subscriber.view.revision for gateway in world.gateways]
    return "; ".join((*parts, f"gateways {views}"))


def _result(profile: Profile, seed: int, world: World, rule: str, detail: str) -> RunResult:
    return RunResult(
        profile=profile.name,
        seed=seed,
        rule=rule,
        detail=detail,
        events=world.network.delivered,
        orders=len(world.history.orders),
        acknowledged=sum(order.acknowledged for order in world.history.orders),
        elections=len(world.coverage.terms),
        fault_count=world.coverage.fault_count,
        faults=dict(world.coverage.faults),
        faults_by_role=dict(world.coverage.faults_by_role),
    )
