"""Fault profiles: each one draws the faults that provoke a certain kind of failure of the control side."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from random import Random

from attrs import field, frozen

from brackenladder.consensus.timing import Timing
from brackenladder.simulation.fault_actions import (
    FaultAction,
    cut_during_change,
    cut_from_operator,
    cut_into_halves,
    disk_fault,
    fault_between_chunks,
    freeze_called,
    freeze_one,
    hold_up_request,
    isolate_region,
    kill_all,
    kill_one,
    limit_bandwidth,
    long_cut,
    long_cut_from_peers,
    long_outage,
    lose_disk,
    lose_disk_after_decision,
    lose_disks_and_power,
    lose_oldest_disk,
    lose_power_after_decision,
    losses_while_halved,
    partial_cut,
    replace_machine,
    reset_links,
    restart_gateway,
    restart_while_isolated,
    throttle_one,
)
from brackenladder.simulation.faults import Faults
from brackenladder.simulation.machines import ControlMachine, Site
from brackenladder.simulation.operators import OperatorSettings
from brackenladder.simulation.scenario import Scenario
from brackenladder.simulation.servers import ServerLifetimes


@frozen
class Profile:
    """A scenario and its faults.

    `fault_actions` are drawn by weight; `fault_interval` is the range of seconds between two of them.
    """

    name: str
    description: str
    scenario: Scenario
    fault_actions: tuple[tuple[float, FaultAction], ...] = field(repr=False)
    fault_interval: tuple[float, float] = (0.2, 6.0)
    max_concurrent: int = 1


async def inject_faults(profile: Profile, faults: Faults, random: Random, skipped: frozenset[int]) -> int:
    """Injects the profile's faults for the time given by its scenario and returns their number.

    Faults are numbered from 0; those in `skipped` are left out. Each fault has its own random source, so that
    leaving one out does not change the others.
    """
    loop = asyncio.get_running_loop()
    until = loop.time() + profile.scenario.fault_seconds
    under_way: set[asyncio.Task[None]] = set()
    fault_actions = [action for _, action in profile.fault_actions]
    weights = [weight for weight, _ in profile.fault_actions]
    number = 0
    while loop.time() < until:
        await asyncio.sleep(random.uniform(*profile.fault_interval))
        own = Random(random.getrandbits(64))
        under_way = {task for task in under_way if not task.done()}
        if len(under_way) < profile.max_concurrent and number not in skipped:
            action = own.choices(fault_actions, weights)[0]
            under_way.add(loop.create_task(_run(action, faults, own, _target(faults, own))))
        number += 1
    for task in under_way:
        task.cancel()
    return number


async def _run(action: FaultAction, faults: Faults, random: Random, machine: ControlMachine) -> None:
    with suppress(asyncio.CancelledError):  # the time for faults is over; Faults.heal reverts the rest
        await action(faults, random, machine)


def _target(faults: Faults, random: Random) -> ControlMachine:
    """Picks the leader in half of the cases, and otherwise any machine."""
    leader = faults.world.leader()
    if leader is not None and random.random() < 0.5:
        return leader
    return random.choice(faults.world.machines)


PROFILES: dict[str, Profile] = {
    profile.name: profile
    for profile in (
        Profile(
            "isolation",
            "a control machine is cut off or frozen for some twenty seconds",
            Scenario(
                operator_settings=OperatorSettings(pause=0.6, evacuations=0.25),
                server_lifetimes=ServerLifetimes(shortest=3.0, longest=10.0),
                fault_seconds=60.0,
            ),
            (
                (3.0, long_cut),
                (3.0, long_cut_from_peers),
                (2.0, freeze_one),
                (1.0, restart_while_isolated),
                (2.0, isolate_region),
                (2.0, cut_from_operator),
                (2.0, restart_gateway),
                (1.0, kill_all),
            ),
            fault_interval=(0.2, 8.0),
            max_concurrent=2,
        ),
        Profile(
            "orders",
            "concurrent orders on one version, lost answers and retries while leaders change",
            Scenario(
                operator_settings=OperatorSettings(
                    pause=0.15, in_flight=4, evacuations=0.3, answers_lost=0.3, repeats=0.15
                ),
                servers=0,
                fault_seconds=30.0,
            ),
            (
                (3.0, kill_one),
                (3.0, lose_power_after_decision),
                (2.0, cut_from_operator),
                (2.0, partial_cut),
                (1.0, kill_all),
                (1.0, freeze_one),
                (1.0, reset_links),
                (1.0, disk_fault),
            ),
            fault_interval=(0.1, 3.0),
            max_concurrent=2,
        ),
        Profile(
            "overtaken",
            "evacuation orders that arrive after later ones: operators are cut off, nodes stand still",
            Scenario(
                operator_settings=OperatorSettings(
                    pause=0.15,
                    in_flight=4,
                    evacuations=0.9,
                    evacuated_zones=2,
                    reads=0.02,
                    abandoned=0.4,
                    late_closes=0.9,
                ),
                operators=1,
                servers=0,
                fault_seconds=60.0,
            ),
            (
                (1.0, cut_from_operator),
                (4.0, hold_up_request),
                (4.0, freeze_called),
                (0.3, reset_links),
                (0.3, kill_one),
            ),
            fault_interval=(0.1, 0.6),
        ),
        Profile(
            "members",
            "a disk or machine is lost as soon as the last loss has been repaired",
            Scenario(Site(control_nodes=4), OperatorSettings(pause=0.3), servers=0, fault_seconds=50.0),
            (
                (4.0, lose_disk),
                (2.0, lose_oldest_disk),
                (2.0, lose_disk_after_decision),
                (2.0, cut_during_change),
                (2.0, replace_machine),
                (1.0, kill_all),
                (1.0, kill_one),
                (1.0, partial_cut),
                (0.5, disk_fault),
            ),
            fault_interval=(0.05, 1.5),
            max_concurrent=2,
        ),
        Profile(
            "losses",
            "overlapping losses: network halves, lost disks, and power loss of the other machines",
            Scenario(
                Site(control_nodes=5),
                OperatorSettings(pause=0.3, evacuations=0.2, reads=0.3),
                fault_seconds=60.0,
            ),
            (
                (3.0, lose_disks_and_power),
                (3.0, losses_while_halved),
                (2.0, cut_into_halves),
                (1.0, lose_power_after_decision),
                (1.0, lose_disk_after_decision),
                (1.0, kill_all),
                (1.0, long_cut_from_peers),
            ),
            fault_interval=(0.5, 5.0),
            max_concurrent=2,
        ),
        Profile(
            "snapshots",
            "hundreds of changes while members are down, lag or have little bandwidth",
            Scenario(
                Site(
                    gateways=2,
                    megabits=2.0,
                    timing=Timing(
                        compact_entries=5, kept_bytes=1_024, snapshot_chunk=1_024, snapshot_window=2_048
                    ),
                ),
                OperatorSettings(
                    pause=0.05,
                    in_flight=6,
                    max_configuration_bytes=60_000,
                    updates=0.95,
                    answers_lost=0.02,
                    invalid=0.02,
                ),
                servers=0,
                fault_seconds=30.0,
                quiet_seconds=12.0,
            ),
            (
                (3.0, long_outage),
                (2.0, fault_between_chunks),
                (2.0, lose_disk),
                (1.0, limit_bandwidth),
                (1.0, kill_one),
                (1.0, partial_cut),
                (1.0, disk_fault),
            ),
            fault_interval=(0.5, 14.0),
        ),
        Profile(
            "large",
            "configurations of several megabytes over 10 Mbit/s while members are down",
            Scenario(
                Site(control_nodes=3, gateways=1, megabits=10.0),
                OperatorSettings(
                    pause=1.5,
                    in_flight=1,
                    updates=0.0,
                    invalid=0.0,
                    evacuations=0.1,
                    answers_lost=0.05,
                    max_configuration_bytes=3 << 20,
                    retry_seconds=40.0,
                ),
                servers=1,
                catch_up=25.0,
                fault_seconds=60.0,
                recovery_seconds=60.0,
            ),
            ((2.0, long_outage), (1.0, lose_disk), (1.0, kill_one), (1.0, reset_links), (1.0, freeze_one)),
            fault_interval=(2.0, 8.0),
        ),
        Profile(
            "answers",
            "many concurrent orders forwarded between nodes whose links and leaders change",
            Scenario(
                operator_settings=OperatorSettings(
                    pause=0.05, in_flight=8, evacuations=0.1, reads=0.3, answers_lost=0.05
                ),
                servers=2,
                fault_seconds=25.0,
            ),
            ((3.0, reset_links), (2.0, kill_one), (2.0, partial_cut), (1.0, freeze_one)),
            fault_interval=(0.05, 1.0),
            max_concurrent=3,
        ),
        Profile(
            "turns",
            "event loop turns that begin late and run in any order, while leaders change and callers give up",
            Scenario(
                operator_settings=OperatorSettings(
                    pause=0.08, in_flight=6, evacuations=0.3, reads=0.2, answers_lost=0.05
                ),
                server_lifetimes=ServerLifetimes(shortest=1.0, longest=4.0),
                servers=6,
                fault_seconds=25.0,
                late_turns=0.3,
            ),
            (
                (3.0, kill_one),
                (2.0, partial_cut),
                (2.0, long_cut_from_peers),
                (2.0, reset_links),
                (1.0, freeze_one),
                (1.0, kill_all),
                (1.0, restart_gateway),
                (2.0, throttle_one),
            ),
            fault_interval=(0.1, 2.0),
            max_concurrent=2,
        ),
        Profile(
            "mixed",
            "all kinds of faults",
            Scenario(
                Site(control_nodes=5),
                OperatorSettings(pause=0.3, in_flight=3),
                fault_seconds=60.0,
                catch_up=6.0,
            ),
            tuple(
                (1.0, action)
                for action in (
                    long_cut,
                    long_cut_from_peers,
                    partial_cut,
                    cut_from_operator,
                    kill_one,
                    kill_all,
                    restart_while_isolated,
                    freeze_one,
                    reset_links,
                    isolate_region,
                    lose_power_after_decision,
                    lose_disk_after_decision,
                    cut_during_change,
                    restart_gateway,
                    lose_disk,
                    lose_oldest_disk,
                    replace_machine,
                    disk_fault,
                    limit_bandwidth,
                    long_outage,
                )
            ),
            fault_interval=(0.1, 4.0),
            max_concurrent=3,
        ),
    )
}
