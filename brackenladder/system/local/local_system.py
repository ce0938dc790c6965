"""A complete system on loopback, from its first start to its orderly shutdown."""

from __future__ import annotations

import asyncio
import json
import os
import signal
from collections.abc import Awaitable, Callable
from contextlib import suppress

import aiohttp
from attrs import evolve
from returns.result import Failure

from brackenladder.control_plane.status import ControlStatus
from brackenladder.local_site.first_configuration import (
    FIRST_VERSION,
    HOST,
    first_configuration,
    route_update,
)
from brackenladder.local_site.layout import HEARTBEAT_MS, Layout, Machine
from brackenladder.local_site.processes import RoleProcess
from brackenladder.operator_client.control_client import ControlClient
from brackenladder.rehearsal.standins.heartbeats import Heartbeats
from brackenladder.rehearsal.standins.model_server import ModelServer, ServerSettings

STARTUP_TIMEOUT_SECONDS = 30.0  # longest wait for the system to be ready, and for any later condition
POLL_INTERVAL_SECONDS = 0.05
READY_CHECK_TIMEOUT_SECONDS = 1.0  # limit of one HTTP request to a gateway or directory


class LocalError(Exception):
    """The system does not start, or a condition is not met in time. The text is one line."""


class LocalSystem:
    """A context manager: starts the whole system on entry and shuts it down in order on exit."""

    def __init__(self, layout: Layout) -> None:
        self.layout = layout
        self.roles = {
            machine.name: RoleProcess(layout, machine) for machine in (*layout.control, *layout.gateways)
        }
        self.servers: dict[str, ModelServer] = {}
        self.control = ControlClient(layout.seeds, STARTUP_TIMEOUT_SECONDS)
        self._heartbeats: dict[str, Heartbeats] = {}
        self._http: aiohttp.ClientSession

    async def __aenter__(self) -> LocalSystem:
        self._http = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=READY_CHECK_TIMEOUT_SECONDS))
        await self.control.__aenter__()
        try:
            await self._start()
        except BaseException:
            await self._stop()
            raise
        return self

    async def __aexit__(self, *_exception: object) -> None:
        await self._stop()

    # -- queries and operations while it runs

    async def status(self) -> ControlStatus:
        """Returns the status from the control node that has applied most of the log.

        A node that has just restarted may answer first, but would report no configuration.
        """
        first = await self.control.status()
        if isinstance(first, Failure):
            raise LocalError(f"no status: {first.failure()}")
        answers = [first.unwrap()]
        for answer in (await self.control.statuses()).values():
            answers.extend(answer.map(lambda status: [status]).value_or([]))
        return max(answers, key=lambda status: status.applied_index)

    async def leader(self) -> Machine:
        """Waits until a control node is the leader and returns its machine."""
        found: list[Machine] = []

        async def is_known() -> bool:
            status = await self.status()
            leader_id = status.leader.replica_id if status.leader else ""
            ip = status.leader.address.rpartition(":")[0] if status.leader else ""
            found[:] = [machine for machine in self.layout.control if leader_id and machine.ip == ip]
            return bool(found) and self.roles[found[0].name].running

        await self.wait_until(is_known, "no control node leads")
        return found[0]

    async def add_route(self, name: str) -> int:
        """Adds a route to the configuration and returns the acknowledged version."""
        status = await self.status()
        base = status.configuration_version
        body = json.dumps(route_update(base + 1, name)).encode()
        answer = await self.control.update(base, body)
        if isinstance(answer, Failure):
            raise LocalError(f"the change was not acknowledged: {answer.failure()}")
        return answer.unwrap()

    def kill(self, machine: Machine) -> None:
        """Kills the process of a machine, which its supervisor starts again."""
        self.roles[machine.name].send(signal.SIGKILL)

    async def crash_server(self, server_id: str) -> None:
        """Stops a server without deregistering it."""
        await self._heartbeats.pop(server_id).stop()
        await self.servers[server_id].crash()

    async def restart_server(self, server_id: str) -> str:
        """Starts a crashed server at its old address as a new incarnation, and returns the new id."""
        settings = self.servers.pop(server_id).settings
        number = settings.id.partition(".")[2] or "1"
        await self._start_server(evolve(settings, id=f"{settings.id.partition('.')[0]}.{int(number) + 1}"))
        return next(reversed(self.servers))

    async def wait_until(self, condition: Callable[[], Awaitable[bool]], failure: str) -> None:
        """Waits until a condition holds. Raises LocalError with `failure` if that takes too long."""
        try:
            async with asyncio.timeout(STARTUP_TIMEOUT_SECONDS):
                while not await condition():
                    await asyncio.sleep(POLL_INTERVAL_SECONDS)
        except TimeoutError:
            raise LocalError(f"{failure} after {STARTUP_TIMEOUT_SECONDS:g} s") from None

    # -- start and shutdown

    async def _start(self) -> None:
        await self._check_addresses()
        await asyncio.gather(*(role.start(bootstrap=True) for role in self.roles.values()))
        await self.wait_until(self._control_nodes_running, "not all processes run")
        body = json.dumps(first_configuration()).encode()
        answer = await self.control.replace(0, body)
        if isinstance(answer, Failure):
            raise LocalError(f"the first configuration was not accepted: {answer.failure()}")
        for settings in self.layout.servers():
            await self._start_server(settings)
        await self.wait_until(self._is_ready, "the gateways are not ready")

    async def _check_addresses(self) -> None:
        """Raises LocalError if an address is in use, most likely by another local system."""
        machines = (*self.layout.control, *self.layout.gateways)
        for address in (
            machine.control if machine.role == "control" else machine.front for machine in machines
        ):
            host, _, port = address.rpartition(":")
            try:
                listener = await asyncio.get_running_loop().create_server(
                    asyncio.Protocol, host, int(port), reuse_address=True
                )
            except OSError as error:
                reason = os.strerror(error.errno or 0)
                raise LocalError(f"{address} can't be had ({reason}): try another --network") from None
            listener.close()
            await listener.wait_closed()

    async def _start_server(self, settings: ServerSettings) -> None:
        server = ModelServer(settings)
        try:
            await server.start()
        except OSError as error:
            reason = os.strerror(error.errno or 0)
            raise LocalError(f"{settings.address} can't be had ({reason})") from None
        self.servers[settings.id] = server
        self._heartbeats[settings.id] = Heartbeats(server, self.layout.seeds, HEARTBEAT_MS / 1000)
        await self._heartbeats[settings.id].start()

    async def _control_nodes_running(self) -> bool:
        """Whether the control nodes have a leader. Raises LocalError if a process ended during startup."""
        for role in self.roles.values():
            if role.exits:
                log = self.layout.log_path(role.machine)
                raise LocalError(f"{role.exits[0]} during startup: {_last_line(log.read_text())}")
        status = await self.status()
        return status.leader is not None

    async def _is_ready(self) -> bool:
        """Whether all gateways are ready, all servers registered, and all directories answer."""
        checks = [f"http://{machine.ready}/-/readyz" for machine in self.layout.gateways]
        # A directory answers only for a host that a route names, hence the configured one.
        checks += [f"http://{directory}/-/resolve?Name={HOST}" for directory in self.layout.directories]
        if not all([await self._returns_ok(url) for url in checks]):
            return False
        status = await self.status()
        ready = [gateway for gateway in status.gateways if gateway.state == "ready"]
        return (
            len(ready) == len(self.layout.gateways)
            and sum(service.ready for service in status.services) == len(self.servers)
            and status.configuration_version >= FIRST_VERSION
        )

    async def _returns_ok(self, url: str) -> bool:
        with suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with self._http.get(url) as answer:
                return answer.status == 200
        return False

    async def _stop(self) -> None:
        """Ends the gateways first, which completes their open requests, then servers, then control nodes."""
        await asyncio.gather(*(self.roles[machine.name].terminate() for machine in self.layout.gateways))
        for server_id, heartbeats in self._heartbeats.items():
            await heartbeats.stop()
            await self.servers[server_id].crash()
        self._heartbeats.clear()
        await asyncio.gather(*(self.roles[machine.name].terminate() for machine in self.layout.control))
        await self.control.__aexit__()
        await self._http.close()


def _last_line(text: str) -> str:
    lines = text.strip().splitlines()
    return lines[-1] if lines else "nothing in its log"
