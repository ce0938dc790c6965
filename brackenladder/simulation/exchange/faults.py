"""The faults and changes that a simulated exchange draws from."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

from brackenladder.simulation.exchange.gateways import GatewayMachine
from brackenladder.simulation.exchange.servers import Server
from brackenladder.simulation.exchange.site import ZONES, Configuration
from brackenladder.simulation.exchange.world import World

FaultAction = Callable[[World, Random], Awaitable[None]]
QUOTA_SECONDS = 0.1  # the period of a processor quota, as cgroups have by default
RESUMABLE_SHARE = 0.7  # fraction of the configurations that let the streams of a route be resumed
REUSE_SECONDS = 0.5  # seconds from the end of a server until its address is reused


def _running(world: World, random: Random) -> Server | None:
    running = [server for server in world.servers if server.up and not server.draining_since]
    return random.choice(running) if len(running) > 2 else None


def _gateway(world: World, random: Random) -> GatewayMachine | None:
    running = [gateway for gateway in world.gateways if gateway.running and not gateway.terminating]
    return random.choice(running) if len(running) > 1 else None


async def crash(world: World, random: Random) -> None:
    """Crashes a server and starts another one at its address, perhaps of another service."""
    server = _running(world, random)
    if server is None:
        return
    world.count_fault("crash")
    server_id, service = server.id, server.service
    if random.random() < 0.5:
        server.forget_idle()  # clients of idle connections are not notified
    server.crash()
    detection_delay = random.choice((0.0, 0.3, 1.5))  # seconds until the control side notices the crash
    downtime = random.choice((0.0, REUSE_SECONDS, 2.0))
    await asyncio.sleep(min(detection_delay, downtime))
    if downtime < detection_delay:
        server.start(_next_service(random), announced=False)
        await asyncio.sleep(detection_delay - downtime)
    world.checks.server_closed(server_id)
    server.report_gone(server_id, service, deregistered=False)
    if downtime < detection_delay:
        if not server.draining_since:  # else another fault drains it, and it must not report ready again
            server.announce()
        return
    await asyncio.sleep(downtime - detection_delay)
    server.start(_next_service(random))


def _next_service(random: Random) -> str | None:
    """Draws the service of the next server at an address; None keeps the service."""
    return random.choice(("api", "other")) if random.random() < 0.4 else None


async def drain(world: World, random: Random) -> None:
    """Drains a server, ends it and starts the next one."""
    server = _running(world, random)
    if server is None:
        return
    world.count_fault("drain")
    server.drain()
    world.checks.server_closed(server.id)
    await asyncio.sleep(random.uniform(0.5, 3.0))
    server_id, service = server.id, server.service
    server.crash()
    server.report_gone(server_id, service)
    await asyncio.sleep(REUSE_SECONDS)
    server.start()


async def evacuate(world: World, random: Random) -> None:
    """Evacuates a zone and ends the evacuation."""
    zone = random.choice(tuple(ZONES))
    if world.control.evacuated:
        return
    world.count_fault("evacuate")
    world.control.evacuate(zone, finish=False)
    world.checks.zone_evacuated(zone)
    await asyncio.sleep(random.uniform(0.5, 3.0))
    world.checks.zone_restored(zone)
    world.control.evacuate(zone, finish=True)


async def configure(world: World, random: Random) -> None:
    """Changes homes, attempts and `Resumable` of routes, sometimes several times in quick succession."""
    for _ in range(random.choice((1, 1, 4))):
        world.count_fault("configure")
        version = world.control.configuration.version + 1
        homes = random.choice(((), ("north",), ("south",), ("north", "south")))
        resumable = random.random() < RESUMABLE_SHARE
        world.control.configure(Configuration(version, homes, random.randint(1, 3), resumable))
        await asyncio.sleep(random.uniform(0.02, 0.4))


async def make_servers_misbehave(world: World, random: Random) -> None:
    """Makes some servers answer in faulty ways."""
    affected = random.sample(world.servers, random.randint(1, 3))
    world.count_fault("trouble")
    for server in affected:
        server.misbehaves = True
    await asyncio.sleep(random.uniform(0.5, 3.0))
    for server in affected:
        server.misbehaves = False


async def fill_servers(world: World, random: Random) -> None:
    """Makes the servers of a service reject many requests, and send some answers a second time."""
    service = random.choice(("api", "other"))
    affected = [server for server in world.servers if server.service == service]
    world.count_fault("full")
    for server in affected:
        server.rejects_share = random.uniform(0.5, 0.9)
        server.repeats_answers = True
    await asyncio.sleep(random.uniform(0.5, 2.0))
    for server in affected:
        server.rejects_share = 0.0
        server.repeats_answers = False


async def freeze_server(world: World, random: Random) -> None:
    """Freezes the process of a running server for 0.1 to 2.5 seconds."""
    server = _running(world, random)
    if server is None or server.process is None:
        return
    world.count_fault("freeze-server")
    process = server.process
    server.disturbances.begin(world.now)
    process.freeze()
    await asyncio.sleep(random.uniform(0.1, 2.5))
    process.thaw()
    server.disturbances.end(world.now)


async def make_server_unreachable(world: World, random: Random) -> None:
    """Makes the machine of a running server unreachable for 0.3 to 6 seconds."""
    server = _running(world, random)
    if server is None:
        return
    world.count_fault("dark-server")
    server.disturbances.begin(world.now)
    server.host.unreachable = True
    await asyncio.sleep(random.uniform(0.3, 6.0))
    server.host.unreachable = False
    server.disturbances.end(world.now)


async def forget_idle(world: World, random: Random) -> None:
    """Drops a server's idle connections without notifying the gateways."""
    server = _running(world, random)
    if server is not None:
        world.count_fault("forget")
        server.forget_idle()


async def reset_connections(world: World, random: Random) -> None:
    """Resets connections to a running server one to four times."""
    server = _running(world, random)
    if server is not None:
        world.count_fault("reset")
        for _ in range(random.randint(1, 4)):
            server.reset_connections()


async def freeze_gateway(world: World, random: Random) -> None:
    """Freezes the process of a gateway for 0.05, 0.3 or 1.5 seconds."""
    gateway = _gateway(world, random)
    if gateway is None or gateway.process is None:
        return
    world.count_fault("freeze-gateway")
    process = gateway.process
    gateway.disturbances.begin(world.now)
    process.freeze()
    await asyncio.sleep(random.choice((0.05, 0.3, 1.5)))
    process.thaw()
    gateway.disturbances.end(world.now)


async def throttle(world: World, random: Random) -> None:
    """Freezes a gateway or a server for a part of each of 5 to 30 quota periods."""
    machine = random.choice((_gateway(world, random), _running(world, random)))
    if machine is None or machine.process is None:
        return
    world.count_fault("throttle")
    process = machine.process
    share = random.uniform(0.1, 0.7)
    machine.disturbances.begin(world.now)
    for _ in range(random.randint(5, 30)):
        process.freeze()
        await asyncio.sleep((1 - share) * QUOTA_SECONDS)
        process.thaw()
        await asyncio.sleep(share * QUOTA_SECONDS)
    machine.disturbances.end(world.now)


async def kill_gateway(world: World, random: Random) -> None:
    """Kills a gateway without a shutdown, and restarts it after 0.1 to 1 second."""
    gateway = _gateway(world, random)
    if gateway is None:
        return
    world.count_fault("kill-gateway")
    gateway.kill()
    await asyncio.sleep(random.uniform(0.1, 1.0))
    gateway.boot()


async def terminate_gateway(world: World, random: Random) -> None:
    """Shuts a gateway down with SIGTERM, and restarts it within 0.5 seconds of its end."""
    gateway = _gateway(world, random)
    if gateway is None:
        return
    world.count_fault("terminate-gateway")
    ended: asyncio.Future[None] = world.loop.create_future()
    gateway.terminate(lambda: None if ended.done() else ended.set_result(None))
    await ended
    await asyncio.sleep(random.uniform(0.0, 0.5))
    gateway.boot()


async def sighup_gateway(world: World, random: Random) -> None:
    """Sends SIGHUP to a gateway, which makes it reload its settings."""
    gateway = _gateway(world, random)
    if gateway is not None:
        world.count_fault("hang-up-gateway")
        gateway.sighup()


FAULT_ACTIONS: tuple[tuple[float, FaultAction], ...] = (
    (3.0, crash),
    (3.0, drain),
    (2.0, evacuate),
    (3.0, configure),
    (5.0, make_servers_misbehave),
    (2.0, fill_servers),
    (2.0, freeze_server),
    (1.0, make_server_unreachable),
    (2.0, forget_idle),
    (2.0, reset_connections),
    (2.0, freeze_gateway),
    (1.0, throttle),
    (0.5, kill_gateway),
    (1.0, terminate_gateway),
    (1.0, sighup_gateway),
)
