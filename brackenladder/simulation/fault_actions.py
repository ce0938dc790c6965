"""The actions that a profile draws: single faults, combined faults and faults timed to a critical moment."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

from brackenladder.simulation.faults import Faults
from brackenladder.simulation.machines import ControlMachine

LONG_CUT_SECONDS = (15.0, 25.0)
SHORT_SECONDS = (0.3, 4.0)

FaultAction = Callable[[Faults, Random, ControlMachine], Awaitable[None]]

POLL_SECONDS = 0.005  # seconds between two checks whether a fault's condition is met
MAX_POLLS = 2_000


async def long_cut(faults: Faults, random: Random, machine: ControlMachine) -> None:
    """Cuts a machine off from every endpoint for 15 to 25 seconds."""
    await faults.cut(machine, faults.all_endpoints(), random.uniform(*LONG_CUT_SECONDS), "both")


async def long_cut_from_peers(faults: Faults, random: Random, machine: ControlMachine) -> None:
    """Cuts a machine off from the other control machines only, for 15 to 25 seconds."""
    direction = random.choice(("both", "both", "in", "out"))
    await faults.cut(machine, faults.peers_of(machine), random.uniform(*LONG_CUT_SECONDS), direction)


async def partial_cut(faults: Faults, random: Random, machine: ControlMachine) -> None:
    """Cuts a machine off from a third of the endpoints."""
    others = random.sample(faults.all_endpoints(), max(1, len(faults.all_endpoints()) // 3))
    await faults.cut(machine, others, random.uniform(*SHORT_SECONDS), random.choice(("both", "in", "out")))


async def cut_from_operator(faults: Faults, random: Random, machine: ControlMachine) -> None:
    """Cuts the connection between the operators and a machine."""
    names = [operator.name for operator in faults.world.operators]
    await faults.cut(machine, names, random.uniform(1.0, 8.0), random.choice(("both", "in", "out")))


async def kill_one(faults: Faults, random: Random, machine: ControlMachine) -> None:
    """Ends one process, which restarts later."""
    await faults.kill([machine], random.random() < 0.5, random.uniform(0.2, 3.0))


async def kill_all(faults: Faults, random: Random, machine: ControlMachine) -> None:
    """Ends all control processes at the same moment."""
    await faults.kill(list(faults.world.machines), random.random() < 0.5, random.uniform(0.2, 1.0))


async def lose_power_after_decision(faults: Faults, random: Random, machine: ControlMachine) -> None:
    """Takes power from a majority or all of the machines within 4 ms after an order was acknowledged.

    In half of the cases the disks of all followers are slow at that time.
    """
    if random.random() < 0.5:
        async with asyncio.TaskGroup() as group:
            for follower in faults.world.machines:
                if follower is not faults.world.leader():
                    group.create_task(faults.slow_disk(follower, 4.0))
            group.create_task(_lose_power_after_decision(faults, random, 1.0))
    else:
        await _lose_power_after_decision(faults, random, 0.0)


async def _lose_power_after_decision(faults: Faults, random: Random, delay: float) -> None:
    await asyncio.sleep(delay)
    await faults.world.next_decision()
    await asyncio.sleep(random.uniform(0.0, 0.004))
    machines = list(faults.world.machines)
    affected = random.sample(machines, random.randint(len(machines) // 2 + 1, len(machines)))
    await faults.kill(affected, True, random.uniform(0.2, 1.0))


async def lose_disk_after_decision(faults: Faults, random: Random, machine: ControlMachine) -> None:
    """Wipes the leader's disk within 4 ms after an order was acknowledged."""
    await faults.world.next_decision()
    await asyncio.sleep(random.uniform(0.0, 0.004))
    await faults.lose_disk(faults.world.leader() or machine, random.uniform(0.3, 3.0))


async def cut_during_change(faults: Faults, random: Random, machine: ControlMachine) -> None:
    """Wipes a disk, and cuts the leader and the new voter off from the others while the voter is replaced."""
    await _wait_until_disk_may_be_lost(faults, machine)
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
    joining = {voter.address for voter in node.host.replica.members.voters} - {
        voter.address for voter in before
    }
    connected = {other.name for other in world.machines if other.inner_address in joining} | {leader.name}
    others = [other.name for other in world.machines if other.name not in connected]
    async with asyncio.TaskGroup() as group:
        for member in world.machines:
            if member.name in connected:
                group.create_task(faults.cut(member, others, random.uniform(3.0, 6.0), "both"))


async def isolate_region(faults: Faults, random: Random, machine: ControlMachine) -> None:
    """Cuts a machine and a gateway off from all others. The gateway, and usually the machine, restarts."""
    world = faults.world
    gateway = random.choice(world.gateways)
    inside = {machine.name, gateway.name}
    outside = [name for name in faults.all_endpoints() if name not in inside]
    async with asyncio.TaskGroup() as group:
        group.create_task(faults.cut(machine, outside, random.uniform(8.0, 20.0), "both"))
        group.create_task(faults.isolate(gateway.name, outside, random.uniform(8.0, 20.0)))
        await asyncio.sleep(random.uniform(2.5, 5.0))
        if random.random() < 0.7:
            group.create_task(faults.kill([machine], random.random() < 0.5, random.uniform(0.2, 1.0)))
        await asyncio.sleep(random.uniform(0.0, 1.2))
        faults.restart_gateway(gateway)


async def restart_while_isolated(faults: Faults, random: Random, machine: ControlMachine) -> None:
    """Restarts a machine while it is cut off from the other control machines."""
    async with asyncio.TaskGroup() as group:
        group.create_task(faults.cut(machine, faults.peers_of(machine), random.uniform(6.0, 20.0), "both"))
        group.create_task(faults.kill([machine], random.random() < 0.5, random.uniform(0.2, 2.0)))


async def freeze_one(faults: Faults, random: Random, machine: ControlMachine) -> None:
    """Freezes a machine's process."""
    await faults.freeze(machine, random.choice((random.uniform(0.3, 3.0), random.uniform(10.0, 22.0))))


async def freeze_called(faults: Faults, random: Random, _machine: ControlMachine) -> None:
    """Freezes a process that an operator is about to call, unless it leads.

    The process stands still for longer than the operator waits, but mostly not so long that its links close.
    """
    machine = await faults.world.next_call()
    while machine is faults.world.leader():
        machine = await faults.world.next_call()
    await faults.freeze(machine, random.choice((random.uniform(1.2, 1.6), random.uniform(1.2, 4.0))))


async def hold_up_request(faults: Faults, random: Random, _machine: ControlMachine) -> None:
    """Cuts operators off from a machine while a request is on its way there."""
    machine = await faults.world.next_request()
    names = [operator.name for operator in faults.world.operators]
    await faults.cut(machine, names, random.uniform(2.0, 7.0), random.choice(("both", "in")))


async def reset_links(faults: Faults, random: Random, machine: ControlMachine) -> None:
    """Resets all links of a machine."""
    faults.reset_links(machine)


async def restart_gateway(faults: Faults, random: Random, machine: ControlMachine) -> None:
    """Restarts a gateway, which then has to get its state from the control nodes again."""
    faults.restart_gateway(random.choice(faults.world.gateways))


async def lose_disk(faults: Faults, random: Random, machine: ControlMachine) -> None:
    """Wipes a machine's disk as soon as enough other machines are healthy."""
    await _wait_until_disk_may_be_lost(faults, machine)
    await faults.lose_disk(machine, random.uniform(0.3, 3.0))


async def replace_machine(faults: Faults, random: Random, machine: ControlMachine) -> None:
    """Replaces a machine by one with an empty disk at another address, as soon as that is allowed."""
    await _wait_until_disk_may_be_lost(faults, machine)
    await faults.replace(machine, random.uniform(0.3, 3.0))


async def lose_oldest_disk(faults: Faults, random: Random, machine: ControlMachine) -> None:
    """Wipes the oldest disk as soon as enough other machines are healthy."""
    oldest = min(faults.world.machines, key=lambda candidate: candidate.disk.created_at)
    await lose_disk(faults, random, oldest)


async def cut_into_halves(faults: Faults, random: Random, machine: ControlMachine) -> None:
    """Cuts the control machines into two halves. All other endpoints still reach both."""
    machines = list(faults.world.machines)
    random.shuffle(machines)
    half, others = machines[: len(machines) // 2], [other.name for other in machines[len(machines) // 2 :]]
    seconds = random.uniform(2.0, 8.0)
    async with asyncio.TaskGroup() as group:
        for member in half:
            group.create_task(faults.cut(member, others, seconds, "both"))


async def lose_disks_and_power(faults: Faults, random: Random, machine: ControlMachine) -> None:
    """Wipes as many disks as allowed right after an order was acknowledged, and takes power from the rest."""
    await faults.world.next_decision()
    await asyncio.sleep(random.uniform(0.0, 0.004))
    await _lose_disks_and_power(faults, random)


async def losses_while_halved(faults: Faults, random: Random, machine: ControlMachine) -> None:
    """Cuts the machines into halves, wipes a disk, and ends the processes of most machines shortly after."""
    async with asyncio.TaskGroup() as group:
        group.create_task(cut_into_halves(faults, random, machine))
        group.create_task(faults.lose_disk(machine, random.uniform(0.3, 3.0)))
        await asyncio.sleep(random.uniform(0.0, 3.0))
        affected = [other for other in faults.world.machines if random.random() < 0.7]
        group.create_task(faults.kill(affected, random.random() < 0.7, random.uniform(0.2, 3.0)))


async def throttle_one(faults: Faults, random: Random, machine: ControlMachine) -> None:
    """Limits a machine's processor time by a quota: it runs for a part of each 0.1 s and then stops."""
    await faults.throttle(machine, random.uniform(0.1, 0.7), random.uniform(2.0, 6.0))


async def fault_between_chunks(faults: Faults, random: Random, machine: ControlMachine) -> None:
    """Disturbs a snapshot transfer: ends or cuts off its receiver or sender after the first chunks."""
    await long_outage(faults, random, machine)
    for _ in range(MAX_POLLS):
        await asyncio.sleep(POLL_SECONDS)
        if _has_chunks(machine):
            break
    await asyncio.sleep(random.uniform(0.0, 0.02))
    leader = faults.world.leader() or machine
    draw = random.random()
    if draw < 0.4:
        affected = random.choice(([machine], [leader], [machine, leader]))
        await faults.kill(affected, random.random() < 0.5, random.uniform(0.2, 1.0))
    elif draw < 0.7:
        faults.reset_links(machine)
    else:
        others = [other.name for other in faults.world.machines if other is not machine]
        await faults.cut(machine, others, random.uniform(0.3, 3.0), random.choice(("both", "in", "out")))


def _has_chunks(machine: ControlMachine) -> bool:
    """Whether a machine has received a part of a snapshot."""
    node = machine.node
    return node is not None and bool(node.host.replica._core.snapshot_receiver._data)


async def disk_fault(faults: Faults, random: Random, machine: ControlMachine) -> None:
    """Makes a disk hang, full or slow."""
    fault = random.choice((faults.hang_disk, faults.fill_disk, faults.slow_disk))
    await fault(machine, random.uniform(0.5, 6.0))


async def limit_bandwidth(faults: Faults, random: Random, machine: ControlMachine) -> None:
    """Limits the bandwidth of a machine's link."""
    await faults.limit_bandwidth(machine, random.choice((2.0, 10.0)), random.uniform(2.0, 10.0))


async def long_outage(faults: Faults, random: Random, machine: ControlMachine) -> None:
    """Keeps a machine down for 5 to 12 seconds while the others go on."""
    await faults.kill([machine], random.random() < 0.5, random.uniform(5.0, 12.0))


async def _lose_disks_and_power(faults: Faults, random: Random) -> None:
    machines = list(faults.world.machines)
    random.shuffle(machines)
    async with asyncio.TaskGroup() as group:
        for machine in machines:
            group.create_task(faults.lose_disk(machine, random.uniform(0.3, 1.5)))
        await asyncio.sleep(0)  # lets the tasks wipe the disks that may be lost before power is cut
        group.create_task(faults.kill(machines, True, random.uniform(0.3, 1.5)))
        for gateway in faults.world.gateways:
            faults.restart_gateway(gateway)


async def _wait_until_disk_may_be_lost(faults: Faults, machine: ControlMachine) -> None:
    for _ in range(100):
        if faults.may_lose_disk(machine):
            return
        await asyncio.sleep(0.1)
