"""Which faults come, and when: a profile for each way in which a control side goes wrong."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from random import Random

from attrs import field, frozen

from brackenladder.consensus.timing import Timing
from brackenladder.simulation.faults import Faults
from brackenladder.simulation.machines import ControlMachine, Site
from brackenladder.simulation.operators import Habits
from brackenladder.simulation.servers import Lives
from brackenladder.simulation.world import Scenario

LONG_CUT_SECONDS = (15.0, 25.0)
SHORT_SECONDS = (0.3, 4.0)

Strike = Callable[[Faults, Random, ControlMachine], Awaitable[None]]


@frozen
class Profile:
    """A scenario and its faults. `strikes` are drawn by weight; `calm`: seconds between two of them."""

    name: str
    about: str
    scenario: Scenario
    strikes: tuple[tuple[float, Strike], ...] = field(repr=False)
    calm: tuple[float, float] = (0.2, 6.0)
    at_once: int = 1


async def trouble(profile: Profile, faults: Faults, random: Random, skipped: frozenset[int]) -> int:
    """Lets the profile's faults come for as long as its scenario says; how many there were.

    They are numbered from 0; those of `skipped` do not come. Each draws from a source of its own, so that the
    others stay as they are.
    """
    loop = asyncio.get_running_loop()
    until = loop.time() + profile.scenario.trouble
    under_way: set[asyncio.Task[None]] = set()
    strikes = [strike for _, strike in profile.strikes]
    weights = [weight for weight, _ in profile.strikes]
    number = 0
    while loop.time() < until:
        await asyncio.sleep(random.uniform(*profile.calm))
        own = Random(random.getrandbits(64))
        under_way = {task for task in under_way if not task.done()}
        if len(under_way) < profile.at_once and number not in skipped:
            strike = own.choices(strikes, weights)[0]
            under_way.add(loop.create_task(_run(strike, faults, own, _target(faults, own))))
        number += 1
    for task in under_way:
        task.cancel()
    return number


async def _run(strike: Strike, faults: Faults, random: Random, machine: ControlMachine) -> None:
    with suppress(asyncio.CancelledError):  # the trouble is over, and what it has begun is healed
        await strike(faults, random, machine)


def _target(faults: Faults, random: Random) -> ControlMachine:
    """The leader as often as any other."""
    leader = faults.world.leader()
    if leader is not None and random.random() < 0.5:
        return leader
    return random.choice(faults.world.machines)


# -- strikes


async def long_cut(faults: Faults, random: Random, machine: ControlMachine) -> None:
    """A machine is cut off from everyone for some twenty seconds."""
    await faults.cut(machine, faults.everyone(), random.uniform(*LONG_CUT_SECONDS), "both")


async def long_cut_from_peers(faults: Faults, random: Random, machine: ControlMachine) -> None:
    """The same, but operators, servers and gateways still reach it."""
    how = random.choice(("both", "both", "in", "out"))
    await faults.cut(machine, faults.peers_of(machine), random.uniform(*LONG_CUT_SECONDS), how)


async def partial_cut(faults: Faults, random: Random, machine: ControlMachine) -> None:
    """A machine is parted from some of the others."""
    others = random.sample(faults.everyone(), max(1, len(faults.everyone()) // 3))
    await faults.cut(machine, others, random.uniform(*SHORT_SECONDS), random.choice(("both", "in", "out")))


async def cut_from_operator(faults: Faults, random: Random, machine: ControlMachine) -> None:
    """What an operator sends to a machine is held up."""
    names = [operator.name for operator in faults.world.operators]
    await faults.cut(machine, names, random.uniform(1.0, 8.0), random.choice(("both", "in", "out")))


async def kill_one(faults: Faults, random: Random, machine: ControlMachine) -> None:
    """One process ends and comes back."""
    await faults.kill([machine], random.random() < 0.5, random.uniform(0.2, 3.0))


async def kill_all(faults: Faults, random: Random, machine: ControlMachine) -> None:
    """All processes of control end at one moment."""
    await faults.kill(list(faults.world.machines), random.random() < 0.5, random.uniform(0.2, 1.0))


async def power_after_decision(faults: Faults, random: Random, machine: ControlMachine) -> None:
    """All or most machines lose power within 4 ms after an order was acknowledged; disks may be slow."""
    if random.random() < 0.5:
        async with asyncio.TaskGroup() as group:
            for one in faults.world.machines:
                if one is not faults.world.leader():
                    group.create_task(faults.slow_disk(one, 4.0))
            group.create_task(_power_after_decision(faults, random, 1.0))
    else:
        await _power_after_decision(faults, random, 0.0)


async def _power_after_decision(faults: Faults, random: Random, delay: float) -> None:
    await asyncio.sleep(delay)
    await faults.world.next_decision()
    await asyncio.sleep(random.uniform(0.0, 0.004))
    machines = list(faults.world.machines)
    struck = random.sample(machines, random.randint(len(machines) // 2 + 1, len(machines)))
    await faults.kill(struck, True, random.uniform(0.2, 1.0))


async def disk_after_decision(faults: Faults, random: Random, machine: ControlMachine) -> None:
    """The leader's disk is lost within 4 ms after an order was acknowledged."""
    await faults.world.next_decision()
    await asyncio.sleep(random.uniform(0.0, 0.004))
    await faults.lose_disk(faults.world.leader() or machine, random.uniform(0.3, 3.0))


async def cut_during_change(faults: Faults, random: Random, machine: ControlMachine) -> None:
    """A disk is lost; as its voter is replaced, the leader and the successor are cut off from the others."""
    await _once_allowed(faults, machine)
    async with asyncio.TaskGroup() as group:
        group.create_task(faults.lose_disk(machine, random.uniform(0.3, 1.0)))
        group.create_task(_cut_at_change(faults, random))


async def _cut_at_change(faults: Faults, random: Random) -> None:
    world = faults.world
    leader = world.leader()
    if leader is None or leader.node is None:
        return
    node = leader.node
    before = node.host.replica.members.voters
    for _ in range(2_000):
        await asyncio.sleep(0.005)
        if node.host.replica.members.voters != before:
            break
    joining = {voter.address for voter in node.host.replica.members.voters} - {one.address for one in before}
    together = {one.name for one in world.machines if one.inner_address in joining} | {leader.name}
    others = [one.name for one in world.machines if one.name not in together]
    async with asyncio.TaskGroup() as group:
        for one in world.machines:
            if one.name in together:
                group.create_task(faults.cut(one, others, random.uniform(3.0, 6.0), "both"))


async def region_alone(faults: Faults, random: Random, machine: ControlMachine) -> None:
    """A machine and a gateway are cut off together; both restart before the cut ends."""
    world = faults.world
    gateway = random.choice(world.gateways)
    inside = {machine.name, gateway.name}
    outside = [name for name in faults.everyone() if name not in inside]
    async with asyncio.TaskGroup() as group:
        group.create_task(faults.cut(machine, outside, random.uniform(8.0, 20.0), "both"))
        group.create_task(faults.part(gateway.name, outside, random.uniform(8.0, 20.0)))
        await asyncio.sleep(random.uniform(2.5, 5.0))
        if random.random() < 0.7:
            group.create_task(faults.kill([machine], random.random() < 0.5, random.uniform(0.2, 1.0)))
        await asyncio.sleep(random.uniform(0.0, 1.2))
        faults.restart_gateway(gateway)


async def restart_alone(faults: Faults, random: Random, machine: ControlMachine) -> None:
    """A machine restarts while it is cut off from its peers."""
    async with asyncio.TaskGroup() as group:
        group.create_task(faults.cut(machine, faults.peers_of(machine), random.uniform(6.0, 20.0), "both"))
        group.create_task(faults.kill([machine], random.random() < 0.5, random.uniform(0.2, 2.0)))


async def freeze_one(faults: Faults, random: Random, machine: ControlMachine) -> None:
    """A machine stands still."""
    await faults.freeze(machine, random.choice((random.uniform(0.3, 3.0), random.uniform(10.0, 22.0))))


async def reset_links(faults: Faults, random: Random, machine: ControlMachine) -> None:
    """All links of a machine are reset."""
    faults.reset_links(machine)


async def restart_gateway(faults: Faults, random: Random, machine: ControlMachine) -> None:
    """A gateway starts with an empty view."""
    faults.restart_gateway(random.choice(faults.world.gateways))


async def lose_disk(faults: Faults, random: Random, machine: ControlMachine) -> None:
    """A disk is lost, as soon as one may be."""
    await _once_allowed(faults, machine)
    await faults.lose_disk(machine, random.uniform(0.3, 3.0))


async def replace_machine(faults: Faults, random: Random, machine: ControlMachine) -> None:
    """A machine is replaced by an empty one at another address."""
    await _once_allowed(faults, machine)
    await faults.replace(machine, random.uniform(0.3, 3.0))


async def lose_oldest_disk(faults: Faults, random: Random, machine: ControlMachine) -> None:
    """The disk that has lasted longest is lost, as soon as one may be."""
    oldest = min(faults.world.machines, key=lambda one: one.disk.made_at)
    await lose_disk(faults, random, oldest)


async def trouble_disk(faults: Faults, random: Random, machine: ControlMachine) -> None:
    """A disk hangs, is full or slow."""
    trouble = random.choice((faults.hang_disk, faults.fill_disk, faults.slow_disk))
    await trouble(machine, random.uniform(0.5, 6.0))


async def squeeze(faults: Faults, random: Random, machine: ControlMachine) -> None:
    """A machine's link has little bandwidth."""
    await faults.squeeze(machine, random.choice((2.0, 10.0)), random.uniform(2.0, 10.0))


async def absent(faults: Faults, random: Random, machine: ControlMachine) -> None:
    """A machine is down for long, while the others go on."""
    await faults.kill([machine], random.random() < 0.5, random.uniform(5.0, 12.0))


async def _once_allowed(faults: Faults, machine: ControlMachine) -> None:
    for _ in range(100):
        if faults.may_lose_disk(machine):
            return
        await asyncio.sleep(0.1)


PROFILES: dict[str, Profile] = {
    profile.name: profile
    for profile in (
        Profile(
            "isolation",
            "a control machine is cut off or stands still for some twenty seconds",
            Scenario(
                habits=Habits(pause=0.6, evacuations=0.25),
                lives=Lives(shortest=3.0, longest=10.0),
                trouble=60.0,
            ),
            (
                (3.0, long_cut),
                (3.0, long_cut_from_peers),
                (2.0, freeze_one),
                (1.0, restart_alone),
                (2.0, region_alone),
                (2.0, cut_from_operator),
                (2.0, restart_gateway),
                (1.0, kill_all),
            ),
            calm=(0.2, 8.0),
            at_once=2,
        ),
        Profile(
            "orders",
            "operators race on one version, lose answers and send again while leaders change",
            Scenario(
                habits=Habits(pause=0.15, in_flight=4, evacuations=0.3, answers_lost=0.3, repeats=0.15),
                servers=0,
                trouble=30.0,
            ),
            (
                (3.0, kill_one),
                (3.0, power_after_decision),
                (2.0, cut_from_operator),
                (2.0, partial_cut),
                (1.0, kill_all),
                (1.0, freeze_one),
                (1.0, reset_links),
                (1.0, trouble_disk),
            ),
            calm=(0.1, 3.0),
            at_once=2,
        ),
        Profile(
            "members",
            "disks and machines are lost as soon as the last loss is repaired",
            Scenario(Site(control_nodes=4), Habits(pause=0.3), servers=0, trouble=50.0),
            (
                (4.0, lose_disk),
                (2.0, lose_oldest_disk),
                (2.0, disk_after_decision),
                (2.0, cut_during_change),
                (2.0, replace_machine),
                (1.0, kill_all),
                (1.0, kill_one),
                (1.0, partial_cut),
                (0.5, trouble_disk),
            ),
            calm=(0.05, 1.5),
            at_once=2,
        ),
        Profile(
            "snapshots",
            "hundreds of changes pass while members are away, lag, or have little bandwidth",
            Scenario(
                Site(
                    gateways=2,
                    megabits=2.0,
                    timing=Timing(
                        compact_entries=5, kept_bytes=1_024, snapshot_chunk=1_024, snapshot_window=2_048
                    ),
                ),
                Habits(
                    pause=0.05,
                    in_flight=6,
                    largest=60_000,
                    updates=0.95,
                    answers_lost=0.02,
                    invalid=0.02,
                ),
                servers=0,
                trouble=30.0,
                calm=12.0,
            ),
            (
                (3.0, absent),
                (2.0, lose_disk),
                (1.0, squeeze),
                (1.0, kill_one),
                (1.0, partial_cut),
                (1.0, trouble_disk),
            ),
            calm=(0.5, 14.0),
        ),
        Profile(
            "large",
            "configurations of megabytes over ten megabits, while members are away",
            Scenario(
                Site(control_nodes=3, gateways=1, megabits=10.0),
                Habits(
                    pause=1.5,
                    in_flight=1,
                    updates=0.0,
                    invalid=0.0,
                    evacuations=0.1,
                    answers_lost=0.05,
                    largest=3 << 20,
                    patience=40.0,
                ),
                servers=1,
                catch_up=25.0,
                trouble=60.0,
                settle=60.0,
            ),
            ((2.0, absent), (1.0, lose_disk), (1.0, kill_one), (1.0, reset_links), (1.0, freeze_one)),
            calm=(2.0, 8.0),
        ),
        Profile(
            "answers",
            "many orders at a time are passed on between nodes whose links and leaders change",
            Scenario(
                habits=Habits(pause=0.05, in_flight=8, evacuations=0.1, reads=0.3, answers_lost=0.05),
                servers=2,
                trouble=25.0,
            ),
            ((3.0, reset_links), (2.0, kill_one), (2.0, partial_cut), (1.0, freeze_one)),
            calm=(0.05, 1.0),
            at_once=3,
        ),
        Profile(
            "mixed",
            "all kinds of faults",
            Scenario(Site(control_nodes=5), Habits(pause=0.3, in_flight=3), trouble=60.0, catch_up=6.0),
            tuple(
                (1.0, strike)
                for strike in (
                    long_cut,
                    long_cut_from_peers,
                    partial_cut,
                    cut_from_operator,
                    kill_one,
                    kill_all,
                    restart_alone,
                    freeze_one,
                    reset_links,
                    region_alone,
                    power_after_decision,
                    disk_after_decision,
                    cut_during_change,
                    restart_gateway,
                    lose_disk,
                    lose_oldest_disk,
                    replace_machine,
                    trouble_disk,
                    squeeze,
                    absent,
                )
            ),
            calm=(0.1, 4.0),
            at_once=3,
        ),
    )
}
