"""`local` as a process of its own: by time and by Ctrl-C, and what it leaves behind: nothing."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from pathlib import Path
from unittest import IsolatedAsyncioTestCase

from test_system_commands import PAGE
from test_system_end_to_end import own_network

PATIENCE = 60.0  # seconds; only a failure waits so long
ROOT = Path(__file__).parents[2]
COMMAND = (sys.executable, "-m", "brackenladder.system", "local")


class LocalCommandTest(IsolatedAsyncioTestCase):
    async def local(self, *arguments: str) -> asyncio.subprocess.Process:
        """The command, started."""
        pipe = asyncio.subprocess.PIPE
        process = await asyncio.create_subprocess_exec(
            *COMMAND, "--network", own_network(), *arguments, cwd=ROOT, stdout=pipe, stderr=pipe
        )
        self.addAsyncCleanup(self.end, process)
        return process

    async def end(self, process: asyncio.subprocess.Process) -> None:
        """After a failure: the command ends its processes itself."""
        if process.returncode is None:
            process.terminate()
            await process.communicate()

    async def test_a_fault_is_played_and_no_request_lost(self) -> None:
        process = await self.local("--seconds", "0.5", "--fault", "kill-leader", "--json")
        async with asyncio.timeout(PATIENCE):
            out, errors = await process.communicate()
        self.assertEqual(process.returncode, 0, errors.decode())
        summary = json.loads(out)
        self.assertTrue(summary["Sound"])
        self.assertEqual(summary["Status"]["ConfigurationVersion"], 2)
        self.assertRegex(summary["Fault"]["Seen"], r"version 2 was acknowledged \d+\.\d s later")
        self.assertEqual(len(summary["Ends"]), 1)
        self.assertGreater(summary["Traffic"]["chat"]["served"], 0)

    async def test_ctrl_c_ends_all_of_it(self) -> None:
        process = await self.local()
        assert process.stdout is not None and process.stderr is not None
        lines = []
        async with asyncio.timeout(PATIENCE):
            while not lines or not lines[-1].startswith("Ctrl-C"):
                line = (await process.stdout.readline()).decode()
                if not line:
                    self.fail((await process.stderr.read()).decode())
                lines.append(line)
            process.send_signal(signal.SIGINT)
            out, errors = await process.communicate()
        self.assertEqual((process.returncode, errors), (0, b""), out.decode())
        self.assertTrue(any("curl -N" in line for line in lines))
        folder = Path(next(line for line in lines if "logs are in" in line).split()[-1])
        self.assertFalse(folder.exists())
        self.assertEqual(self.processes_of(folder), [])

    async def test_an_address_in_use_is_told_in_one_line(self) -> None:
        address = f"{own_network()}.1:8146"
        server = await asyncio.start_server(lambda _reader, _writer: None, *address.split(":"))
        self.addCleanup(server.close)
        process = await self.local()
        async with asyncio.timeout(PATIENCE):
            _, errors = await process.communicate()
        line = f"brackenladder: {address} can't be had (Address already in use): try another --network\n"
        self.assertEqual((process.returncode, errors.decode()), (1, line))
        self.assertIn(line.strip().replace(address, "IP:PORT"), PAGE.read_text())

    def processes_of(self, folder: Path) -> list[str]:
        """Processes whose settings file lay in a folder."""
        found = []
        for environment in Path("/proc").glob("[0-9]*/environ"):
            try:
                if str(folder).encode() in environment.read_bytes():
                    found.append(environment.parent.name)
            except OSError:
                continue
        return found
