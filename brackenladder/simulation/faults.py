"""The faults that can be injected into a simulated system. Each one reverts itself after its duration."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Iterable

from brackenladder.simulation.disk import SYNC_TIME
from brackenladder.simulation.machines import ControlMachine, GatewayMachine
from brackenladder.simulation.scenario import SECOND
from brackenladder.simulation.virtual_loop import Process, ProcessState
from brackenladder.simulation.world import World

QUOTA_SECONDS = 0.1  # the period of a processor quota, as cgroups have by default
SLOW_FACTOR = 30  # factor by which a slow disk takes longer to sync


class Faults:
    """Injects faults into a world. Never wipes more disks at a time than the cluster tolerates to lose."""

    def __init__(self, world: World) -> None:
        self.world = world
        self._random = world.random
        self._faults_by_machine: Counter[str] = Counter()  # number of active faults, by machine name
        self._healthy_since: dict[str, int] = {}

    # -- network

    async def cut(
        self, machine: ControlMachine, others: Iterable[str], seconds: float, direction: str
    ) -> None:
        """Cuts a machine off. `direction`: "in" (it receives nothing), "out" (it sends nothing) or "both"."""
        network = self.world.network
        names = [name for name in others if name != machine.name]
        self._begin(f"cut-{direction}", machine)
        for name in names:
            if direction in ("both", "out"):
                network.cut_one_way(machine.name, name)
            if direction in ("both", "in"):
                network.cut_one_way(name, machine.name)
        self.world.isolation.update(self.world.now)
        await asyncio.sleep(seconds)
        for name in names:
            network.heal(machine.name, name)
        self._end(f"cut-{direction}", machine)

    async def isolate(self, name: str, others: Iterable[str], seconds: float) -> None:
        """Cuts a gateway or an actor off from other endpoints."""
        network = self.world.network
        self.world.active_faults += 1
        self.world.record_fault_event("part")
        for other in others:
            network.cut(name, other)
        await asyncio.sleep(seconds)
        for other in others:
            network.heal(name, other)
        self.world.active_faults -= 1
        self.world.record_fault_event("part-end")

    def peers_of(self, machine: ControlMachine) -> list[str]:
        """Returns the names of the other control machines."""
        return [other.name for other in self.world.machines if other is not machine]

    def all_endpoints(self) -> list[str]:
        """Returns the names of all machines and actors."""
        return list(self.world.network.endpoints)

    def reset_links(self, machine: ControlMachine) -> None:
        """Ends all links of a machine. Messages in flight on them are lost."""
        for other in list(self.world.network.endpoints):
            self.world.network.lose_links(machine.name, other)
        self.world.record_fault_event("reset", machine)

    async def limit_bandwidth(self, machine: ControlMachine, megabits: float, seconds: float) -> None:
        """Reduces the bandwidth of a machine's link."""
        usual = machine.endpoint.megabits
        self._begin("squeeze", machine)
        machine.endpoint.megabits = megabits
        await asyncio.sleep(seconds)
        machine.endpoint.megabits = usual
        self._end("squeeze", machine)

    # -- processes

    async def kill(self, machines: Iterable[ControlMachine], power: bool, downtime: float) -> None:
        """Ends processes at the same moment, by a kill or a loss of power; restarts them after `downtime`."""
        affected = [machine for machine in machines if machine.up]
        kind = "power" if power else "kill"
        for machine in affected:
            self._begin(kind, machine)
            machine.end_process()
            if power:
                machine.lose_power()
            else:
                machine.kill()
        self.world.isolation.update(self.world.now)
        await asyncio.sleep(downtime)
        for machine in affected:
            self._boot(machine)
            self._end(kind, machine)

    async def freeze(self, machine: ControlMachine, seconds: float) -> None:
        """Freezes a machine's process for a while."""
        process = machine.process
        if process is None or not process.running:
            return
        self._begin("freeze", machine)
        process.freeze()
        self.world.isolation.update(self.world.now)
        await asyncio.sleep(seconds)
        await _thaw(process)
        self._end("freeze", machine)

    async def throttle(self, machine: ControlMachine, share: float, seconds: float) -> None:
        """Freezes a process for a part of each quota period, so that it gets `share` of a core."""
        process = machine.process
        if process is None or not process.running:
            return
        self._begin("throttle", machine)
        until = self.world.now + int(seconds * SECOND)
        while self.world.now < until and process.running:
            process.freeze()
            self.world.isolation.update(self.world.now)
            await asyncio.sleep((1 - share) * QUOTA_SECONDS)
            await _thaw(process)
            self.world.isolation.update(self.world.now)
            await asyncio.sleep(share * QUOTA_SECONDS)
        self._end("throttle", machine)

    def restart_gateway(self, gateway: GatewayMachine) -> None:
        """Ends a gateway's process and restarts it without the state it got from the control nodes."""
        gateway.kill()
        gateway.boot()
        self.world.record_fault_event("gateway-restart")

    # -- disks

    def may_lose_disk(self, machine: ControlMachine) -> bool:
        """Whether a majority of the machines is still healthy without this one."""
        world = self.world
        if world.leader() is None or not self._is_healthy(machine):
            return False
        lost = [other for other in world.machines if not self._is_healthy(other)]
        return 2 * (len(lost) + 1) < len(world.machines)

    def _is_healthy(self, machine: ControlMachine) -> bool:
        """Whether a machine runs without faults and has done so for the time it may need to catch up."""
        catch_up = int(self.world.scenario.catch_up * SECOND)
        healthy_since = self._healthy_since.get(machine.name, 0)
        return (
            machine.running
            and not self._faults_by_machine[machine.name]
            and healthy_since <= self.world.now - catch_up
        )

    async def lose_disk(self, machine: ControlMachine, downtime: float) -> None:
        """Ends a machine by a loss of power and restarts it at its address with an empty disk."""
        if not machine.up or not self.may_lose_disk(machine):
            return
        self._begin("wipe", machine)
        machine.end_process()
        machine.lose_power()
        machine.lose_disk()
        self.world.isolation.update(self.world.now)
        await asyncio.sleep(downtime)
        self._boot(machine)
        self._end("wipe", machine)

    async def replace(self, machine: ControlMachine, downtime: float) -> None:
        """Removes a machine for good and starts one with an empty disk at another address."""
        if not machine.up or not self.may_lose_disk(machine):
            return
        self._begin("replace", machine)
        machine.end_process()
        machine.lose_power()
        self.world.machines.remove(machine)
        successor = self.world.add_machine()
        self._faults_by_machine[successor.name] += 1
        await asyncio.sleep(downtime)
        self._boot(successor)
        self._end("replace", successor)

    async def hang_disk(self, machine: ControlMachine, seconds: float) -> None:
        """Makes a disk stop responding for a while."""
        await self._fail_disk(machine, seconds, "disk-hang")

    async def fill_disk(self, machine: ControlMachine, seconds: float) -> None:
        """Makes writes to a machine's disk fail as on a full disk for `seconds`."""
        await self._fail_disk(machine, seconds, "disk-full")

    async def slow_disk(self, machine: ControlMachine, seconds: float) -> None:
        """Makes a disk take `SLOW_FACTOR` times as long to sync for a while."""
        disk = machine.disk
        self._begin("disk-slow", machine)
        disk.sync_time = SLOW_FACTOR * SYNC_TIME
        await asyncio.sleep(seconds)
        disk.sync_time = SYNC_TIME
        self._end("disk-slow", machine)

    async def _fail_disk(self, machine: ControlMachine, seconds: float, kind: str) -> None:
        disk = machine.disk
        self._begin(kind, machine)
        disk.hangs, disk.full = kind == "disk-hang", kind == "disk-full"
        await asyncio.sleep(seconds)
        disk.hangs = disk.full = False
        self._end(kind, machine)

    # -- recovery

    async def heal(self) -> None:
        """Repairs the network and all disks, thaws frozen processes and boots machines that are down."""
        world = self.world
        world.network.heal_all()
        for machine in world.machines:
            machine.disk.hangs = machine.disk.full = False
            machine.disk.sync_time = SYNC_TIME
            machine.endpoint.megabits = world.scenario.site.megabits
            if machine.process is not None:
                await _thaw(machine.process)
            if not machine.up:
                self._boot(machine)
        world.record_fault_event("heal")
        world.active_faults = 0
        self._faults_by_machine.clear()

    # -- internals

    def _begin(self, kind: str, machine: ControlMachine) -> None:
        self.world.active_faults += 1
        self._faults_by_machine[machine.name] += 1
        self.world.record_fault_event(kind, machine)

    def _end(self, kind: str, machine: ControlMachine) -> None:
        self.world.active_faults -= 1
        self._faults_by_machine[machine.name] -= 1
        self._healthy_since[machine.name] = self.world.now
        self.world.record_fault_event(f"{kind}-end")

    def _boot(self, machine: ControlMachine) -> None:
        if not machine.up and machine in self.world.machines:
            machine.boot()
            self.world.isolation.update(self.world.now)


async def _thaw(process: Process) -> None:
    """Thaws a process and returns when it runs again or has ended."""
    process.thaw()
    while process.state is ProcessState.FROZEN:
        await asyncio.sleep(0)
