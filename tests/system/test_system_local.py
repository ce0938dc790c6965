"""The command `local` as a separate process: it ends in time or on Ctrl-C and leaves nothing behind."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from pathlib import Path
from unittest import IsolatedAsyncioTestCase

from test_system_commands import PAGE
from test_system_end_to_end import own_network

TIMEOUT_SECONDS = 60.0  # reached only by a failing test
ROOT = Path(__file__).parents[2]
COMMAND = (sys.executable, "-m", "brackenladder.system", "local")


class LocalCommandTest(IsolatedAsyncioTestCase):
    async def local(self, *arguments: str) -> asyncio.subprocess.Process:
        """Starts the command."""
        pipe = asyncio.subprocess.PIPE
        process = await asyncio.create_subprocess_exec(
            *COMMAND, "--network", own_network(), *arguments, cwd=ROOT, stdout=pipe, stderr=pipe
        )
        self.addAsyncCleanup(self.end, process)
        return process

    async def end(self, process: asyncio.subprocess.Process) -> None:
        """Terminates the command after a failure. It ends its own child processes."""
        if process.returncode is None:
            process.terminate()
            await process.communicate()

    async def test_no_request_is_lost_under_an_injected_fault(self) -> None:
        process = await self.local("--seconds", "0.5", "--fault", "kill-leader", "--json")
        async with asyncio.timeout(TIMEOUT_SECONDS):
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
        async with asyncio.timeout(TIMEOUT_SECONDS):
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
        self.assertEqual(self.processes_with_settings_in(folder), [])

    async def test_an_address_in_use_is_reported_in_one_line(self) -> None:
        address = f"{own_network()}.1:8146"
        server = await asyncio.start_server(lambda _reader, _writer: None, *address.split(":"))
        self.addCleanup(server.close)
        process = await self.local()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            _, errors = await process.communicate()
        line = f"brackenladder: {address} can't be had (Address already in use): try another --network\n"
        self.assertEqual((process.returncode, errors.decode()), (1, line))
        self.assertIn(line.strip().replace(address, "IP:PORT"), PAGE.read_text())

    def processes_with_settings_in(self, folder: Path) -> list[str]:
        """Returns the ids of processes whose settings file was in a folder."""
        process_ids = []
        for environment in Path("/proc").glob("[0-9]*/environ"):
            try:
                if str(folder).encode() in environment.read_bytes():
                    process_ids.append(environment.parent.name)
            except OSError:
                continue
        return process_ids
