"""Starts and ends the node processes of a local system, and restarts those that end unexpectedly."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from contextlib import suppress
from pathlib import Path

from attrs import frozen

import brackenladder
from brackenladder.local_site.layout import GRACE_S, Layout, Machine

RESTART_SECONDS = 1.0  # pause before an ended process is started again
KILL_MARGIN_SECONDS = 2.0  # time after the grace period until a process gets SIGKILL
PACKAGE_ROOT = Path(brackenladder.__file__).parents[1]


@frozen
class ProcessExit:
    """The unrequested end of a process."""

    machine: str
    status: int  # exit status, or the negative number of the signal that ended it

    def __str__(self) -> str:
        if self.status < 0:
            return f"{self.machine} was ended by {signal.Signals(-self.status).name}"
        return f"{self.machine} ended with status {self.status}"


class RoleProcess:
    """The process of one node. While `supervised` is true it is restarted after it ends."""

    def __init__(self, layout: Layout, machine: Machine) -> None:
        self.machine = machine
        self.exits: list[ProcessExit] = []
        self.supervised = True
        self._layout = layout
        self._process: asyncio.subprocess.Process | None = None
        self._supervisor: asyncio.Task[None] | None = None

    async def start(self, bootstrap: bool) -> None:
        """Writes the settings file and starts the process."""
        self._write_settings(bootstrap)
        await self._spawn()
        self._supervisor = asyncio.create_task(self._supervise())

    @property
    def pid(self) -> int:
        """The process id, 0 before the start."""
        return self._process.pid if self._process is not None else 0

    @property
    def running(self) -> bool:
        """Whether the process is running."""
        return self._process is not None and self._process.returncode is None

    def send(self, signal_number: signal.Signals) -> None:
        """Sends a signal if the process is still running."""
        if self._process is not None:
            with suppress(ProcessLookupError):
                self._process.send_signal(signal_number)

    async def terminate(self) -> int:
        """Ends the process for good, with SIGKILL after the grace period, and returns its exit status."""
        self._stop_supervising()
        if self._process is None:
            return 0
        self.send(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_S + KILL_MARGIN_SECONDS):
                return await self._process.wait()
        except TimeoutError:
            self.send(signal.SIGKILL)
            return await self._process.wait()

    def _stop_supervising(self) -> None:
        self.supervised = False
        if self._supervisor is not None:
            self._supervisor.cancel()

    async def _spawn(self) -> None:
        environment = {
            **os.environ,
            "BRACKENLADDER_CONFIG": str(self._layout.settings_path(self.machine)),
            "PYTHONPATH": os.pathsep.join(filter(None, (str(PACKAGE_ROOT), os.environ.get("PYTHONPATH")))),
        }
        with self._layout.log_path(self.machine).open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "brackenladder.serve",
                self.machine.role,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,  # so that Ctrl-C reaches only the command, which ends its processes
            )

    async def _supervise(self) -> None:
        while self._process is not None:
            status = await self._process.wait()
            self.exits.append(ProcessExit(self.machine.name, status))
            await asyncio.sleep(RESTART_SECONDS)
            if not self.supervised:
                return
            self._write_settings(bootstrap=False)
            await self._spawn()

    def _write_settings(self, bootstrap: bool) -> None:
        path = self._layout.settings_path(self.machine)
        path.write_text(self._layout.settings_text(self.machine, bootstrap))
