"""A gateway that gets SIGTERM while it is being imported still answers the clients in its accept queue."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
from pathlib import Path
from unittest import IsolatedAsyncioTestCase

ROOT = Path(__file__).parents[2]
PATIENCE = 30.0  # seconds after which the test fails
SETTINGS = """
NodeName = "gateway-1"
Role = "gateway"
Ip = "{ip}"
Zone = "hall-1"
Region = "north"
PortRange = [21000, 21007]
Seeds = []
[Listen]
Front = "{ip}:21008"
Ready = "{ip}:21009"
"""
REQUEST = (
    b"GET /a/ HTTP/1.1\r\nHost: a.example\r\nX-Brackenladder-Request-Id: 1\r\n"
    b"X-Brackenladder-Request-Deadline-Ms: 2000\r\n\r\n"
)


class EndWhileLoadingTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        pid = os.getpid() % 65_536
        self.ip = f"127.{pid // 256 % 100 + 130}.{pid % 256}.77"
        folder = self.enterContext(tempfile.TemporaryDirectory())
        settings = Path(folder) / "local.toml"
        settings.write_text(SETTINGS.format(ip=self.ip))
        self.process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "brackenladder.serve", "gateway"),
            cwd=ROOT,
            env={**os.environ, "BRACKENLADDER_CONFIG": str(settings)},
            stderr=asyncio.subprocess.DEVNULL,
        )
        self.addAsyncCleanup(self.end)

    async def end(self) -> None:
        """Kills the process if the test failed before its end."""
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connects as soon as the process listens."""
        while True:
            try:
                return await asyncio.open_connection(self.ip, 21008)
            except OSError:
                await asyncio.sleep(0)

    async def test_a_waiting_client_is_answered_and_the_process_exits_with_status_0(self) -> None:
        async with asyncio.timeout(PATIENCE):
            reader, writer = await self.connect()
            writer.write(REQUEST)
            self.process.send_signal(signal.SIGTERM)
            answer = await reader.read()
            writer.close()
            status = await self.process.wait()
        self.assertTrue(answer.startswith(b"HTTP/1.1 503 "), answer)
        self.assertIn(b"retry-after:", answer.lower())
        self.assertEqual(status, 0)
