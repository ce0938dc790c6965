"""Faults that `local` plays once, and what was seen of them."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from enum import Enum
from random import Random
from time import monotonic

from attrs import frozen

from brackenladder.local_site.layout import MODEL_SERVICE
from brackenladder.system.local.local_system import LocalSystem

ROUTE_OF_FAULT = "after-fault"  # the route that a change adds once the leader is gone


class Fault(Enum):
    """What can be made to happen."""

    KILL_LEADER = "kill-leader"
    KILL_GATEWAY = "kill-gateway"
    KILL_SERVER = "kill-server"


@frozen
class FaultReport:
    """What was done, and what came of it."""

    done: str
    seen: str


async def play_fault(fault: Fault, system: LocalSystem, random: Random) -> FaultReport:
    """Plays a fault; returns once the system is whole again."""
    players: dict[Fault, Callable[[LocalSystem, Random], Awaitable[FaultReport]]] = {
        Fault.KILL_LEADER: _kill_leader,
        Fault.KILL_GATEWAY: _kill_gateway,
        Fault.KILL_SERVER: _kill_server,
    }
    return await players[fault](system, random)


async def _kill_leader(system: LocalSystem, _random: Random) -> FaultReport:
    leader = await system.leader()
    system.kill(leader)
    began = monotonic()
    version = await system.add_route(ROUTE_OF_FAULT)
    taken = monotonic() - began
    successor = await system.leader()
    return FaultReport(
        f"killed {leader.name}, which led",
        f"version {version} was acknowledged {taken:.1f} s later; {successor.name} leads",
    )


async def _kill_gateway(system: LocalSystem, random: Random) -> FaultReport:
    gateway = random.choice(system.layout.gateways)
    system.kill(gateway)
    began = monotonic()

    async def back() -> bool:
        status = await system.status()
        states = {one.node: one for one in status.gateways}
        known = states.get(gateway.name)
        restarted = bool(system.roles[gateway.name].exits) and system.roles[gateway.name].running
        return restarted and known is not None and known.state == "ready" and known.revision is not None

    await system.wait_until(back, f"{gateway.name} is not back")
    return FaultReport(f"killed {gateway.name}", f"it was ready again {monotonic() - began:.1f} s later")


async def _kill_server(system: LocalSystem, random: Random) -> FaultReport:
    servers = [name for name, one in system.servers.items() if one.settings.service == MODEL_SERVICE]
    server_id = random.choice(servers)
    began = monotonic()
    await system.crash_server(server_id)

    async def gone() -> bool:
        status = await system.status()
        ready = {service.name: service.ready for service in status.services}
        return ready.get(MODEL_SERVICE, 0) < len(servers)

    await system.wait_until(gone, f"{server_id} still counts as ready")
    silent = monotonic() - began
    successor = await system.restart_server(server_id)
    return FaultReport(
        f"crashed server {server_id}",
        f"control nodes let it go {silent:.1f} s later; {successor} took its place",
    )
