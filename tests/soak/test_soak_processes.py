"""A role that is taken down while it starts is still killed, and started again afterwards."""

from __future__ import annotations

import asyncio
import signal
import sys
import tempfile
from pathlib import Path
from unittest import IsolatedAsyncioTestCase
from unittest.mock import patch

from brackenladder.soak.events import Event, Trouble
from brackenladder.soak.processes import Role
from brackenladder.soak.site import SoakLayout

TIMEOUT = 30.0  # seconds; reached only on failure


class RoleTest(IsolatedAsyncioTestCase):
    async def test_taken_down_while_starting(self) -> None:
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        layout = SoakLayout("127.99.3", folder)
        events: list[Event] = []
        role = Role(layout, layout.gateways[0], False, events.append)
        go_on = asyncio.Event()
        create = asyncio.create_subprocess_exec
        started: list[asyncio.subprocess.Process] = []

        async def slow(*_arguments: object, **options: object) -> asyncio.subprocess.Process:
            await go_on.wait()
            waits = "import signal; signal.sigwait({signal.SIGINT})"
            started.append(await create(sys.executable, "-c", waits, **options))  # type: ignore[arg-type]
            return started[-1]

        with patch("asyncio.create_subprocess_exec", slow):
            first = asyncio.create_task(role.start())
            await asyncio.sleep(0)
            downs = [asyncio.create_task(role.take_down("kill", 0.0, planned=False)) for _ in range(2)]
            await asyncio.sleep(0)
            go_on.set()
            async with asyncio.timeout(TIMEOUT):
                await asyncio.gather(first, *downs)
        self.assertEqual(started[0].returncode, -signal.SIGKILL)
        self.assertEqual(len(started), 2)
        self.assertTrue(role.running)
        self.assertEqual(sum(isinstance(event, Trouble) for event in events), 2)
        await role.terminate()
