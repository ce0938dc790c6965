"""Role processes: signals, changed settings and invalid settings."""

from __future__ import annotations

import asyncio
import io
import os
import signal
import tempfile
from contextlib import redirect_stderr
from unittest import IsolatedAsyncioTestCase, TestCase
from unittest.mock import patch

from brackenladder import serve
from brackenladder.node import blocked_signals
from brackenladder.node.role_runner import EXIT_FAILED, EXIT_OK, RoleError, RoleRunner
from brackenladder.platform_settings import Platform

PATIENCE = 20.0  # seconds; test timeout, reached only on failure
SETTINGS = """
NodeName = "control-1"
Role = "control"
Ip = "127.0.0.1"
Zone = "hall-1"
Region = "north"
PortRange = [7000, 7007]
Seeds = ["127.0.0.1:{port}"]
"""


class RecordingRole:
    """A role that records the runner's calls."""

    def __init__(self) -> None:
        self.started = asyncio.Event()
        self.reloaded: asyncio.Queue[Platform] = asyncio.Queue()
        self.start_completed = False  # whether `start` has completed
        self.stopped = False
        self.fault: RoleError | None = None
        self.may_start = asyncio.Event()
        self.may_start.set()

    async def start(self) -> None:
        self.started.set()
        await self.may_start.wait()
        if self.fault is not None:
            raise self.fault
        self.start_completed = True

    def reload(self, platform: Platform) -> None:
        self.reloaded.put_nowait(platform)

    async def stop(self) -> None:
        self.stopped = True


class RoleRunnerTest(IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.path = os.path.join(folder, "local.toml")
        self.write(1)

    def write(self, port: int) -> None:
        with open(self.path, "w", encoding="utf-8") as file:
            file.write(SETTINGS.format(port=port))

    async def test_sigterm_stops_the_role(self) -> None:
        role = RecordingRole()
        running = asyncio.create_task(RoleRunner(role, self.path).run())
        await role.started.wait()
        os.kill(os.getpid(), signal.SIGTERM)
        self.assertEqual(await running, EXIT_OK)
        self.assertTrue(role.stopped)

    async def test_sigterm_interrupts_a_slow_start(self) -> None:
        role = RecordingRole()
        role.may_start.clear()
        running = asyncio.create_task(RoleRunner(role, self.path).run())
        await role.started.wait()
        os.kill(os.getpid(), signal.SIGTERM)
        self.assertEqual(await running, EXIT_OK)
        self.assertTrue(role.stopped)

    async def test_sigterm_during_start_still_stops_the_role(self) -> None:
        role = RecordingRole()
        role.may_start.clear()
        running = asyncio.create_task(RoleRunner(role, self.path).run())
        await role.started.wait()
        os.kill(os.getpid(), signal.SIGTERM)
        for _ in range(10):
            await asyncio.sleep(0)
        role.may_start.set()
        self.assertEqual(await running, EXIT_OK)
        self.assertTrue(role.start_completed and role.stopped)

    async def test_early_sigterm_is_held_until_the_role_has_started(self) -> None:
        blocked_signals.block()
        self.addCleanup(blocked_signals.unblock)
        signal.raise_signal(signal.SIGTERM)
        role = RecordingRole()
        self.assertEqual(await RoleRunner(role, self.path).run(), EXIT_OK)
        self.assertTrue(role.start_completed and role.stopped)

    async def test_changed_settings_are_applied_with_and_without_a_signal(self) -> None:
        role = RecordingRole()
        with patch("brackenladder.node.role_runner.SETTINGS_CHECK_SECONDS", 0.01):
            running = asyncio.create_task(RoleRunner(role, self.path).run())
            await role.started.wait()
            self.write(22)
            self.assertEqual((await self.reloaded(role)).seeds, ("127.0.0.1:22",))
            os.kill(os.getpid(), signal.SIGHUP)
            self.assertEqual((await self.reloaded(role)).seeds, ("127.0.0.1:22",))
            os.kill(os.getpid(), signal.SIGTERM)
            await running

    async def test_early_sighup_is_held_until_the_role_has_started(self) -> None:
        blocked_signals.block()
        self.addCleanup(blocked_signals.unblock)
        signal.raise_signal(signal.SIGHUP)  # to this thread: the test runner's others do not block it
        role = RecordingRole()
        running = asyncio.create_task(RoleRunner(role, self.path).run())
        self.assertEqual((await self.reloaded(role)).seeds, ("127.0.0.1:1",))
        os.kill(os.getpid(), signal.SIGTERM)
        self.assertEqual(await running, EXIT_OK)

    async def reloaded(self, role: RecordingRole) -> Platform:
        """Waits for the next settings that are passed to the role."""
        return await asyncio.wait_for(role.reloaded.get(), PATIENCE)

    async def test_failed_start_ends_the_process(self) -> None:
        role = RecordingRole()
        role.fault = RoleError("no disk")
        self.assertEqual(await RoleRunner(role, self.path).run(), EXIT_FAILED)


class ServeTest(TestCase):
    def tearDown(self) -> None:
        blocked_signals.unblock()

    def test_signals_are_held_from_the_start_of_serve(self) -> None:
        self.run_with(["nope"], "")
        blocked = signal.pthread_sigmask(signal.SIG_BLOCK, ())
        self.assertLessEqual({signal.SIGHUP, signal.SIGTERM}, blocked)

    def run_with(self, arguments: list[str], settings: str) -> tuple[int, list[str]]:
        """Runs `serve`; returns the exit status and the lines on standard error."""
        with (
            tempfile.NamedTemporaryFile("w", suffix=".toml") as file,
            redirect_stderr(io.StringIO()) as output,
        ):
            file.write(settings)
            file.flush()
            with patch.dict(os.environ, {serve.SETTINGS_VARIABLE: file.name}):
                status = serve.main(arguments)
        return status, output.getvalue().splitlines()

    def test_unknown_role_is_refused(self) -> None:
        for arguments in ([], ["door"], ["gateway", "control"]):
            self.assertEqual(self.run_with(arguments, SETTINGS), (serve.EXIT_USAGE, [serve.USAGE]))

    def test_each_settings_fault_is_one_line(self) -> None:
        faulty = SETTINGS.format(port=1).replace("[7000, 7007]", "[7]").replace('"127.0.0.1"', '"here"')
        status, lines = self.run_with(["control"], faulty)
        self.assertEqual((status, len(lines)), (serve.EXIT_USAGE, 2))

    def test_missing_settings_file_is_reported(self) -> None:
        with (
            redirect_stderr(io.StringIO()) as output,
            patch.dict(os.environ, {serve.SETTINGS_VARIABLE: "/none"}),
        ):
            self.assertEqual(serve.main(["gateway"]), serve.EXIT_USAGE)
        self.assertEqual(len(output.getvalue().splitlines()), 1)
