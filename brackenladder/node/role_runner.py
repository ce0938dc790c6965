"""The main loop of a role process: signals, reloading of settings, orderly shutdown."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys
import threading
import time
from collections.abc import Callable
from contextlib import suppress
from typing import Protocol

import logbook
from returns.result import Failure, Success

from brackenladder.node import blocked_signals
from brackenladder.platform_settings import Platform, load_platform

START_GRACE_SECONDS = 1.0  # time for a start to complete after the process has been told to stop
EXIT_OK = 0
EXIT_FAILED = 1
THREAD_STACK_BYTES = 256 * 1024
SETTINGS_CHECK_SECONDS = 2.0
LOG_LEVEL_VARIABLE = "BRACKENLADDER_LOG"
LOG_FORMAT = "{record.level_name} {record.channel}: {record.message}"

log = logbook.Logger("role")


class RoleProcess(Protocol):
    """A role, as the runner controls it."""

    async def start(self) -> None:
        """Opens everything that the role needs. Raises RoleError if it can't."""

    def reload(self, platform: Platform) -> None:
        """Applies the settings file after a change, without a restart."""

    async def stop(self) -> None:
        """Shuts down in an orderly way, within the platform's grace period."""


class RoleError(Exception):
    """The role can't start."""


def monotonic_microseconds() -> int:
    """The clock that is passed to all objects of a role process that don't read one themselves."""
    return time.monotonic_ns() // 1000


def run_role(role_type: Callable[[Platform], RoleProcess], platform: Platform, path: str) -> int:
    """Runs a role until SIGTERM or SIGINT. Returns the process's exit status."""
    threading.stack_size(THREAD_STACK_BYTES)
    level = os.environ.get(LOG_LEVEL_VARIABLE, "INFO")
    with logbook.StreamHandler(sys.stderr, level=level, format_string=LOG_FORMAT).applicationbound():
        return asyncio.run(RoleRunner(role_type(platform), path).run())


class RoleRunner:
    """Starts a role, passes it changed settings and stops it on a signal."""

    def __init__(self, role: RoleProcess, path: str) -> None:
        self.role = role
        self.path = path
        self._ending = asyncio.Event()
        self._settings_changed = asyncio.Event()
        self._stamp = self._file_stamp()

    async def run(self) -> int:
        """Runs the role from its start to its stop. Returns the exit status."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._ending.set)
        loop.add_signal_handler(signal.SIGINT, self._ending.set)
        loop.add_signal_handler(signal.SIGHUP, self._settings_changed.set)
        blocked_signals.unblock()
        try:
            await self._start()
        except RoleError as error:
            log.error("start failed: {}", error)
            return EXIT_FAILED
        gc.collect()
        gc.freeze()
        gc.enable()
        watch = asyncio.create_task(self._watch_settings())
        await self._ending.wait()
        watch.cancel()
        await self.role.stop()
        return EXIT_OK

    async def _start(self) -> None:
        """Starts the role. After a stop signal it gets time to complete, as only a started role can stop."""
        starting = asyncio.create_task(self.role.start())
        ending = asyncio.create_task(self._ending.wait())
        await asyncio.wait((starting, ending), return_when=asyncio.FIRST_COMPLETED)
        if not starting.done():
            await asyncio.wait((starting,), timeout=START_GRACE_SECONDS)
        if not starting.done():
            starting.cancel()
        ending.cancel()
        with suppress(asyncio.CancelledError):
            await starting

    async def _watch_settings(self) -> None:
        """Reads the settings again after SIGHUP or when the file's time or size has changed."""
        while True:
            try:
                async with asyncio.timeout(SETTINGS_CHECK_SECONDS):
                    await self._settings_changed.wait()
            except TimeoutError:
                if self._file_stamp() == self._stamp:
                    continue
            self._settings_changed.clear()
            self._stamp = self._file_stamp()
            self._read_settings()

    def _read_settings(self) -> None:
        match load_platform(self.path):
            case Success(platform):
                self.role.reload(platform)
            case Failure(faults):
                for fault in faults:
                    log.warning("settings not applied: {}", fault)

    def _file_stamp(self) -> tuple[int, int]:
        try:
            status = os.stat(self.path)
        except OSError:
            return (0, 0)
        return (status.st_mtime_ns, status.st_size)
