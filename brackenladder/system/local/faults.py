"""The faults that `local` can inject, and the report of their effect."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from enum import Enum
from random import Random
from time import monotonic

from attrs import frozen

from brackenladder.local_site.layout import MODEL_SERVICE
from brackenladder.system.local.local_system import LocalSystem

ROUTE_AFTER_FAULT = "after-fault"  # the route that is added after the leader was killed


class Fault(Enum):
    """A fault that can be injected."""

    KILL_LEADER = "kill-leader"
    KILL_GATEWAY = "kill-gateway"
    KILL_SERVER = "kill-server"


@frozen
class FaultReport:
    """The injected fault and its observed effect."""

    action: str
    outcome: str


async def inject_fault(fault: Fault, system: LocalSystem, random: Random) -> FaultReport:
    """Injects a fault and returns once the system has recovered."""
    handlers: dict[Fault, Callable[[LocalSystem, Random], Awaitable[FaultReport]]] = {
        Fault.KILL_LEADER: _kill_leader,
        Fault.KILL_GATEWAY: _kill_gateway,
        Fault.KILL_SERVER: _kill_server,
    }
    return await handlers[fault](system, random)


async def _kill_leader(system: LocalSystem, _random: Random) -> FaultReport:
    leader = await system.leader()
    system.kill(leader)
    began = monotonic()
    version = await system.add_route(ROUTE_AFTER_FAULT)
    elapsed = monotonic() - began
    successor = await system.leader()
    return FaultReport(
        f"killed {leader.name}, the leader",
        f"version {version} was acknowledged {elapsed:.1f} s later; {successor.name} is the leader",
    )


async def _kill_gateway(system: LocalSystem, random: Random) -> FaultReport:
    gateway = random.choice(system.layout.gateways)
    system.kill(gateway)
    began = monotonic()

    async def is_back() -> bool:
        status = await system.status()
        gateways = {reported.node: reported for reported in status.gateways}
        current = gateways.get(gateway.name)
        restarted = bool(system.roles[gateway.name].exits) and system.roles[gateway.name].running
        return restarted and current is not None and current.state == "ready" and current.revision is not None

    await system.wait_until(is_back, f"{gateway.name} is not back")
    return FaultReport(f"killed {gateway.name}", f"it was ready again {monotonic() - began:.1f} s later")


async def _kill_server(system: LocalSystem, random: Random) -> FaultReport:
    servers = [name for name, server in system.servers.items() if server.settings.service == MODEL_SERVICE]
    server_id = random.choice(servers)
    began = monotonic()
    await system.crash_server(server_id)

    async def is_removed() -> bool:
        status = await system.status()
        ready = {service.name: service.ready for service in status.services}
        return ready.get(MODEL_SERVICE, 0) < len(servers)

    await system.wait_until(is_removed, f"{server_id} still counts as ready")
    elapsed = monotonic() - began
    successor = await system.restart_server(server_id)
    return FaultReport(
        f"crashed server {server_id}",
        f"control nodes removed it {elapsed:.1f} s later; {successor} replaced it",
    )
