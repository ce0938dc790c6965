"""The processes of a soak: roles that are signalled, held down and started again, and actors."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from asyncio.subprocess import DEVNULL, PIPE, Process
from collections.abc import Mapping
from contextlib import suppress
from pathlib import Path
from typing import Any

from brackenladder.local_site.layout import GRACE_S, Machine
from brackenladder.local_site.processes import PACKAGE_ROOT
from brackenladder.soak.actors import READY, actor_name
from brackenladder.soak.events import ProcessEnded, Tell, Trouble, now
from brackenladder.soak.relayed_role import PORT_VARIABLE
from brackenladder.soak.site import SoakLayout

KILL_MARGIN_SECONDS = 2.0  # after the grace
ACTOR_SECONDS = 30.0  # for an actor to start, or to end
POLL_SECONDS = 0.02
DEADLY = frozenset({signal.SIGTERM, signal.SIGHUP})  # to a program that has not said what it does with them


class ManagedProcess:
    """A process of ours and its pauses, which may overlap."""

    def __init__(self, name: str, log: Path, tell: Tell) -> None:
        self.name = name
        self._log = log
        self._tell = tell
        self._process: Process | None = None
        self._pauses = 0

    async def _spawn(
        self, module: str, *arguments: str, piped: bool = False, variables: Mapping[str, str] | None = None
    ) -> Process:
        path = os.pathsep.join(filter(None, (str(PACKAGE_ROOT), os.environ.get("PYTHONPATH"))))
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", module, *arguments),
                env={**os.environ, "PYTHONPATH": path, **(variables or {})},
                stdin=PIPE if piped else DEVNULL,
                stdout=PIPE if piped else log,
                stderr=log,
                start_new_session=True,
            )
        return self._process

    async def pause(self, seconds: float) -> None:
        """SIGSTOP, and SIGCONT after so many seconds."""
        began = now()
        self._pauses += 1
        self._send(signal.SIGSTOP)
        try:
            await asyncio.sleep(seconds)
        finally:
            self._pauses -= 1
            if not self._pauses:
                self._send(signal.SIGCONT)
            self._tell(Trouble(began, now(), "pause", (self.name,), planned=False))

    def _send(self, number: signal.Signals) -> None:
        if self._process is not None:
            with suppress(ProcessLookupError):
                self._process.send_signal(number)


class Role(ManagedProcess):
    """The process of one machine. It runs while nothing holds it down; troubles may overlap."""

    def __init__(self, layout: SoakLayout, machine: Machine, relayed: bool, tell: Tell) -> None:
        super().__init__(machine.name, layout.log_path(machine), tell)
        self._machine = machine
        self._layout = layout
        self._relayed = relayed
        self._watch: asyncio.Task[None] | None = None
        self._holds = 0  # troubles that want it down
        self._bootstrap = True
        self._starting = asyncio.Lock()
        self._loading = False  # at the last signal: the program had not come to heed it

    @property
    def running(self) -> bool:
        """Whether its process has not ended."""
        return self._process is not None and self._process.returncode is None

    async def start(self) -> None:
        """Starts it, unless it runs or something holds it down."""
        async with self._starting:
            if self._holds or self.running:
                return
            self._write_settings()
            self._bootstrap = False
            module = "brackenladder.soak.relayed_role" if self._relayed else "brackenladder.serve"
            port = self._layout.relay_address(self._machine, self._machine)[1]
            variables = {
                "BRACKENLADDER_CONFIG": str(self._layout.settings_path(self._machine)),
                PORT_VARIABLE: str(port),
            }
            process = await self._spawn(module, self._machine.role, variables=variables)
            self._watch = asyncio.create_task(self._notice_end(process))

    def reload(self) -> None:
        """The settings file is written anew, and SIGHUP tells so."""
        if self.running:
            self._write_settings()
            self._send(signal.SIGHUP)
            self._tell(Trouble(now(), now(), "reload", (self.name,), planned=True))

    async def end(self) -> None:
        """SIGTERM for good."""
        self._holds += 1
        async with self._starting:
            pass  # a process that is being started is there after that
        await self._terminate()

    async def down(self, kind: str, away: float, planned: bool) -> None:
        """SIGTERM if that is planned, else SIGKILL, and down for so many seconds after that."""
        began = now()
        self._holds += 1
        async with self._starting:  # a process that is being started is there after that
            process = self._process
        try:
            if planned:
                await self._terminate()
            else:
                self._send(signal.SIGKILL)
            await asyncio.sleep(away)
        finally:
            self._holds -= 1
            if process is not None:
                await process.wait()
            await self.start()
            self._tell(Trouble(began, now(), kind, (self.name,), planned))

    async def _terminate(self) -> None:
        """SIGTERM; SIGKILL if it has not ended within its grace, of which pauses are no part."""
        process = self._process
        if process is None:
            return
        self._send(signal.SIGTERM)
        left = GRACE_S + KILL_MARGIN_SECONDS
        while process.returncode is None and left > 0:
            await asyncio.sleep(POLL_SECONDS)
            left -= 0 if self._pauses else POLL_SECONDS
        if process.returncode is None:
            self._tell(ProcessEnded(now(), self.name, 0, "has not ended within its grace"))
            self._send(signal.SIGKILL)
            await process.wait()

    def _send(self, number: signal.Signals) -> None:
        if self.running and number in DEADLY:
            self._loading = not self._heeds(number)
        super()._send(number)

    def _heeds(self, number: signal.Signals) -> bool:
        """Whether the process catches a signal, or holds it until it does."""
        assert self._process is not None
        try:
            lines = Path(f"/proc/{self._process.pid}/status").read_text().splitlines()
        except OSError:
            return True
        masks = [int(line.split()[1], 16) for line in lines if line.startswith(("SigCgt", "SigBlk"))]
        return any(mask >> (number - 1) & 1 for mask in masks)

    async def _notice_end(self, process: Process) -> None:
        """Nothing but a trouble that holds it down may end a process; SIGTERM ends it with status 0.

        A signal that comes before the program heeds it ends the process itself.
        """
        status = await process.wait()
        fault = ""
        if self._loading and -status in DEADLY:
            status = 0
        elif not self._holds:
            fault = "ended by itself"
        elif status not in (0, -signal.SIGKILL):
            fault = "ended with a fault"
        self._tell(ProcessEnded(now(), self.name, status, fault))
        await self.start()

    def _write_settings(self) -> None:
        path = self._layout.settings_path(self._machine)
        path.write_text(self._layout.settings_text(self._machine, self._bootstrap))


class ActorProcess(ManagedProcess):
    """A process of stand-ins; orders go to its standard input."""

    def __init__(self, layout: SoakLayout, role: str, region: str, seed: str, tell: Tell) -> None:
        name = actor_name(role, region)
        super().__init__(name, layout.folder / f"{name}.log", tell)
        self._arguments = (role, region, seed, layout.network, str(layout.folder), layout.size.value)

    async def start(self) -> None:
        """Returns once it is ready; an OSError, a TimeoutError among them, if it does not come."""
        process = await self._spawn("brackenladder.soak.actors", *self._arguments, piped=True)
        assert process.stdout is not None
        async with asyncio.timeout(ACTOR_SECONDS):
            line = await process.stdout.readline()
        if line.decode().strip() != READY:
            raise OSError(f"{self.name} did not start")

    def order(self, do: str, **details: Any) -> None:
        """Sends an order."""
        if self._process is not None and self._process.stdin is not None:
            with suppress(OSError):
                self._process.stdin.write(json.dumps({"do": do} | details).encode() + b"\n")

    async def stop(self) -> None:
        """Lets it end in order, and ends it if it doesn't."""
        if self._process is None:
            return
        self.order("stop")
        try:
            async with asyncio.timeout(ACTOR_SECONDS):
                status = await self._process.wait()
        except TimeoutError:
            self._process.kill()
            status = await self._process.wait()
        if status:
            self._tell(ProcessEnded(now(), self.name, status, "a stand-in has not ended in order"))
