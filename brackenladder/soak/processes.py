"""Processes of a soak: roles that are signalled, kept down and restarted, and actors."""

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
from brackenladder.soak.events import ProcessEnded, Record, Trouble, now
from brackenladder.soak.relayed_role import PORT_VARIABLE
from brackenladder.soak.site import SoakLayout

KILL_MARGIN_SECONDS = 2.0  # seconds after the grace period until SIGKILL
ACTOR_SECONDS = 30.0  # time limit for an actor to start or to exit
POLL_SECONDS = 0.02
TERMINATING_SIGNALS = frozenset({signal.SIGTERM, signal.SIGHUP})  # they end a process without a handler


class ManagedProcess:
    """A child process that can be paused; pauses may overlap."""

    def __init__(self, name: str, log: Path, record: Record) -> None:
        self.name = name
        self._log = log
        self._record = record
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
        """Pauses the process with SIGSTOP for `seconds`, then resumes it."""
        began = now()
        self._pauses += 1
        self._send(signal.SIGSTOP)
        try:
            await asyncio.sleep(seconds)
        finally:
            self._pauses -= 1
            if not self._pauses:
                self._send(signal.SIGCONT)
            self._record(Trouble(began, now(), "pause", (self.name,), planned=False))

    def _send(self, number: signal.Signals) -> None:
        if self._process is not None:
            with suppress(ProcessLookupError):
                self._process.send_signal(number)


class Role(ManagedProcess):
    """The process of one machine. It runs while no fault keeps it down; faults may overlap."""

    def __init__(self, layout: SoakLayout, machine: Machine, relayed: bool, record: Record) -> None:
        super().__init__(machine.name, layout.log_path(machine), record)
        self._machine = machine
        self._layout = layout
        self._relayed = relayed
        self._watch: asyncio.Task[None] | None = None
        self._down_requests = 0  # number of current faults that keep the process down
        self._bootstrap = True
        self._starting = asyncio.Lock()
        self._handler_missing = False  # true if the last signal came before the program had a handler

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.returncode is None

    async def start(self) -> None:
        """Starts the process unless it already runs or a fault keeps it down."""
        async with self._starting:
            if self._down_requests or self.running:
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
        """Rewrites the process's settings file and sends SIGHUP, which makes it reload the file."""
        if self.running:
            self._write_settings()
            self._send(signal.SIGHUP)
            self._record(Trouble(now(), now(), "reload", (self.name,), planned=True))

    async def terminate(self) -> None:
        """Terminates the process; it isn't started again."""
        self._down_requests += 1
        async with self._starting:
            pass  # only waits for a start in progress to finish
        await self._terminate()

    async def take_down(self, kind: str, away: float, planned: bool) -> None:
        """Ends the process by SIGTERM if planned, else by SIGKILL, and keeps it down for `away` seconds."""
        began = now()
        self._down_requests += 1
        async with self._starting:  # a start in progress must finish first
            process = self._process
        try:
            if planned:
                await self._terminate()
            else:
                self._send(signal.SIGKILL)
            await asyncio.sleep(away)
        finally:
            self._down_requests -= 1
            if process is not None:
                await process.wait()
            await self.start()
            self._record(Trouble(began, now(), kind, (self.name,), planned))

    async def _terminate(self) -> None:
        """Sends SIGTERM, then SIGKILL after the grace period; pauses do not count towards it."""
        process = self._process
        if process is None:
            return
        self._send(signal.SIGTERM)
        left = GRACE_S + KILL_MARGIN_SECONDS
        while process.returncode is None and left > 0:
            await asyncio.sleep(POLL_SECONDS)
            left -= 0 if self._pauses else POLL_SECONDS
        if process.returncode is None:
            self._record(ProcessEnded(now(), self.name, 0, "did not exit within its grace period"))
            self._send(signal.SIGKILL)
            await process.wait()

    def _send(self, number: signal.Signals) -> None:
        if self.running and number in TERMINATING_SIGNALS:
            self._handler_missing = not self._handles(number)
        super()._send(number)

    def _handles(self, number: signal.Signals) -> bool:
        """Whether the process catches or blocks a signal."""
        assert self._process is not None
        try:
            lines = Path(f"/proc/{self._process.pid}/status").read_text().splitlines()
        except OSError:
            return True
        masks = [int(line.split()[1], 16) for line in lines if line.startswith(("SigCgt", "SigBlk"))]
        return any(mask >> (number - 1) & 1 for mask in masks)

    async def _notice_end(self, process: Process) -> None:
        """Records the exit of the process and restarts it.

        Only a fault that keeps it down may end it, and after SIGTERM the status must be 0. A signal that
        arrives before the program installed its handler ends the process directly.
        """
        status = await process.wait()
        fault = ""
        if self._handler_missing and -status in TERMINATING_SIGNALS:
            status = 0
        elif not self._down_requests:
            fault = "exited by itself"
        elif status not in (0, -signal.SIGKILL):
            fault = "exited with an error"
        self._record(ProcessEnded(now(), self.name, status, fault))
        await self.start()

    def _write_settings(self) -> None:
        path = self._layout.settings_path(self._machine)
        path.write_text(self._layout.settings_text(self._machine, self._bootstrap))


class ActorProcess(ManagedProcess):
    """An actor's process; it gets orders on its standard input."""

    def __init__(self, layout: SoakLayout, role: str, region: str, seed: str, record: Record) -> None:
        name = actor_name(role, region)
        super().__init__(name, layout.folder / f"{name}.log", record)
        self._arguments = (role, region, seed, layout.network, str(layout.folder), layout.size.value)

    async def start(self) -> None:
        """Returns once the actor is ready; raises OSError (including TimeoutError) otherwise."""
        process = await self._spawn("brackenladder.soak.actors", *self._arguments, piped=True)
        assert process.stdout is not None
        async with asyncio.timeout(ACTOR_SECONDS):
            line = await process.stdout.readline()
        if line.decode().strip() != READY:
            raise OSError(f"{self.name} did not start")

    def order(self, do: str, **details: Any) -> None:
        """Sends an order to the actor as a line on its standard input."""
        if self._process is not None and self._process.stdin is not None:
            with suppress(OSError):
                self._process.stdin.write(json.dumps({"do": do} | details).encode() + b"\n")

    async def stop(self) -> None:
        """Asks the actor to stop, and kills it if it does not exit in time."""
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
            self._record(ProcessEnded(now(), self.name, status, "actor did not exit cleanly"))
