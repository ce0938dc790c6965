"""A whole system on loopback, from its first start to its orderly end."""

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

START_SECONDS = 30.0  # for the whole system to be ready
POLL_SECONDS = 0.05
READY_SECONDS = 1.0  # for one answer of a gateway's own check


class LocalError(Exception):
    """The system does not come up or does not go on; one line."""


class LocalSystem:
    """To be used with `async with`: on entry all is started, on exit all has ended in order."""

    def __init__(self, layout: Layout) -> None:
        self.layout = layout
        self.roles = {
            machine.name: RoleProcess(layout, machine) for machine in (*layout.control, *layout.gateways)
        }
        self.servers: dict[str, ModelServer] = {}
        self.control = ControlClient(layout.seeds, START_SECONDS)
        self._heartbeats: dict[str, Heartbeats] = {}
        self._http: aiohttp.ClientSession

    async def __aenter__(self) -> LocalSystem:
        self._http = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=READY_SECONDS))
        await self.control.__aenter__()
        try:
            await self._start()
        except BaseException:
            await self._end()
            raise
        return self

    async def __aexit__(self, *_exception: object) -> None:
        await self._end()

    # -- what it is asked and told while it runs

    async def status(self) -> ControlStatus:
        """The system as the control node sees it that has applied most of the log.

        Failure prevented: a node that has just restarted answers first, and tells of no configuration.
        """
        told = await self.control.status()
        if isinstance(told, Failure):
            raise LocalError(f"no status: {told.failure()}")
        answers = [told.unwrap()]
        for answer in (await self.control.statuses()).values():
            answers.extend(answer.map(lambda status: [status]).value_or([]))
        return max(answers, key=lambda status: status.applied_index)

    async def leader(self) -> Machine:
        """The machine that leads, as soon as one does."""
        found: list[Machine] = []

        async def known() -> bool:
            status = await self.status()
            led = status.leader.replica_id if status.leader else ""
            ip = status.leader.address.rpartition(":")[0] if status.leader else ""
            found[:] = [machine for machine in self.layout.control if led and machine.ip == ip]
            return bool(found) and self.roles[found[0].name].running

        await self.wait_until(known, "no control node leads")
        return found[0]

    async def add_route(self, name: str) -> int:
        """Changes the configuration; the acknowledged version."""
        status = await self.status()
        base = status.configuration_version
        body = json.dumps(route_update(base + 1, name)).encode()
        answer = await self.control.update(base, body)
        if isinstance(answer, Failure):
            raise LocalError(f"the change was not acknowledged: {answer.failure()}")
        return answer.unwrap()

    def kill(self, machine: Machine) -> None:
        """SIGKILL; the process is started again."""
        self.roles[machine.name].send(signal.SIGKILL)

    async def crash_server(self, server_id: str) -> None:
        """A server is gone without a word."""
        await self._heartbeats.pop(server_id).stop()
        await self.servers[server_id].crash()

    async def restart_server(self, server_id: str) -> str:
        """A crashed server comes back at its address as a new incarnation; the new id."""
        settings = self.servers.pop(server_id).settings
        number = settings.id.partition(".")[2] or "1"
        await self._start_server(evolve(settings, id=f"{settings.id.partition('.')[0]}.{int(number) + 1}"))
        return next(reversed(self.servers))

    async def wait_until(self, condition: Callable[[], Awaitable[bool]], complaint: str) -> None:
        """Returns as soon as a condition holds; a LocalError if that takes too long."""
        try:
            async with asyncio.timeout(START_SECONDS):
                while not await condition():
                    await asyncio.sleep(POLL_SECONDS)
        except TimeoutError:
            raise LocalError(f"{complaint} after {START_SECONDS:g} s") from None

    # -- start and end

    async def _start(self) -> None:
        await self._check_addresses()
        await asyncio.gather(*(role.start(bootstrap=True) for role in self.roles.values()))
        await self.wait_until(self._all_run, "not all processes run")
        body = json.dumps(first_configuration()).encode()
        answer = await self.control.replace(0, body)
        if isinstance(answer, Failure):
            raise LocalError(f"the first configuration was not taken: {answer.failure()}")
        for settings in self.layout.servers():
            await self._start_server(settings)
        await self.wait_until(self._ready, "the gateways are not ready")

    async def _check_addresses(self) -> None:
        """A LocalError if an address is taken, most likely by another local system."""
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

    async def _all_run(self) -> bool:
        """Whether every control node answers; a LocalError if a process ended in its start."""
        for role in self.roles.values():
            if role.exits:
                log = self.layout.log_path(role.machine)
                raise LocalError(f"{role.exits[0]} in its start: {_last_line(log.read_text())}")
        status = await self.status()
        return status.leader is not None

    async def _ready(self) -> bool:
        """Whether every gateway is ready, every server known, and every directory answers."""
        checks = [f"http://{machine.ready}/-/readyz" for machine in self.layout.gateways]
        # As its clients ask: for a host that no route names there is no answer.
        checks += [f"http://{directory}/-/resolve?Name={HOST}" for directory in self.layout.directories]
        if not all([await self._says_ok(url) for url in checks]):
            return False
        status = await self.status()
        ready = [one for one in status.gateways if one.state == "ready"]
        return (
            len(ready) == len(self.layout.gateways)
            and sum(service.ready for service in status.services) == len(self.servers)
            and status.configuration_version >= FIRST_VERSION
        )

    async def _says_ok(self, url: str) -> bool:
        with suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with self._http.get(url) as answer:
                return answer.status == 200
        return False

    async def _end(self) -> None:
        """Gateways leave, which answers what is under way, then servers, then control nodes."""
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
