"""A burst of uploads within `MaxBodyBytes`: do the gateways stay within their memory?

The script plays the platform: it reads the memory of each gateway and kills a process over `MemoryMb`.
"""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "common"))

from case import BROKEN, HELD, NOT_RUN, TROUBLE, Record, run_case
from deployment import HOST, MEMORY_MB, ZONES, Deployment, Machine, configuration, route
from wire import ID, Incomplete, read_answer, request_bytes

SECONDS_BEFORE, BURST_SECONDS, SECONDS_AFTER = 8.0, 10.0, 8.0
REQUESTS_PER_SECOND = 10.2  # 23.7 a second of the sheet for 7 gateways, for 3
BURST = 2.5
BODY_BYTES = 4_194_304  # MaxBodyBytes
WORK_MS = 3500
DEADLINE_MS = 5000
SAMPLE_SECONDS = 0.02
RESTART_SECONDS = 1.0
# The rule counts three ends of processes in a day, on two machines at least.
ENDS, MACHINES = 3, 2


class Platform:
    """Kills the processes over their memory limit, and starts them again."""

    def __init__(self, site: Deployment, record: Record) -> None:
        self.site = site
        self.record = record
        self.peak: dict[str, float] = {}
        self.killed: list[str] = []

    async def watch(self) -> None:
        """Watches all gateways until it is cancelled."""
        await asyncio.gather(*(self._watch(machine) for machine in self.site.gateways))

    def peak_text(self) -> str:
        """The highest memory of each gateway so far."""
        return ", ".join(f"{name} {used:.0f} MB" for name, used in self.peak.items())

    async def _watch(self, machine: Machine) -> None:
        while True:
            used = self.site.memory(machine)
            self.peak[machine.name] = max(used, self.peak.get(machine.name, 0.0))
            if used > MEMORY_MB:
                self.killed.append(machine.name)
                self.record.say(f"{machine.name} uses {used:.0f} MB of {MEMORY_MB} MB and is killed")
                self.site.kill(machine)
                await asyncio.sleep(RESTART_SECONDS)
                self.site.start(machine)
            await asyncio.sleep(SAMPLE_SECONDS)


class Clients:
    """Clients that send requests at a rate, and what they saw."""

    def __init__(self, site: Deployment, record: Record) -> None:
        self.site = site
        self.record = record
        self.ends: dict[str, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._count = 0

    async def send(self, seconds: float, per_second: float) -> None:
        """Sends requests, evenly spaced."""
        until = time.monotonic() + seconds
        due = time.monotonic()
        while due < until:
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            due += 1 / per_second
            self._count += 1
            task = asyncio.create_task(self._request(random.choice(list(ZONES)), f"q-{self._count}"))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def finish(self) -> None:
        """Waits for the last answers."""
        await asyncio.gather(*self._tasks)

    async def _request(self, zone: str, request: str) -> None:
        addresses = await self.site.resolve(zone)
        if not addresses:
            self._end(request, "no gateway")
            return
        gateway = random.choice(addresses)
        headers = {"Host": HOST, ID: request, "X-Brackenladder-Request-Deadline-Ms": str(DEADLINE_MS)}
        self.record("sent", request=request, gateway=gateway, bytes=BODY_BYTES)
        host, _, port = gateway.rpartition(":")
        sent = False
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000):
                reader, writer = await asyncio.open_connection(host, int(port))
                try:
                    writer.write(request_bytes("POST", "/upload/1", headers, b"x" * BODY_BYTES))
                    await writer.drain()
                    sent = True
                    answer = await read_answer(reader)
                finally:
                    writer.close()
        except TimeoutError:
            self._end(request, "deadline")
        except (Incomplete, OSError):
            self._end(request, "cut after it was sent" if sent else "not sent")
        else:
            self._end(request, str(answer.status))

    def _end(self, request: str, how: str) -> None:
        self.ends[how] = self.ends.get(how, 0) + 1
        self.record("ended", request=request, how=how)


async def play(record: Record, folder: Path) -> int:
    """Plays the case."""
    site = Deployment(folder, record)
    site.add_servers("match-llm", 2, work_ms=WORK_MS)
    routes = [route("upload", "unsafe", "match-llm", DEADLINE_MS, 1)]
    platform = Platform(site, record)
    clients = Clients(site, record)
    try:
        if not await site.begin(configuration(1, routes, ["match-llm"])):
            record.say("the system did not get ready")
            return NOT_RUN
        watch = asyncio.create_task(platform.watch())
        await clients.send(SECONDS_BEFORE, REQUESTS_PER_SECOND)
        record.say(f"before the burst: {platform.peak_text()}")
        await clients.send(BURST_SECONDS, REQUESTS_PER_SECOND * (BURST if TROUBLE else 1.0))
        await clients.send(SECONDS_AFTER, REQUESTS_PER_SECOND)
        await clients.finish()
        watch.cancel()
        for line in site.server_records():
            record.line(line.pop("at"), line.pop("what"), **line)
    finally:
        site.end()
    record.say(f"peaks: {platform.peak_text()}; killed over their memory: {platform.killed}")
    record.say(f"ends of requests: {clients.ends}")
    if not clients.ends.get("200"):
        return NOT_RUN
    broken = len(platform.killed) >= ENDS and len(set(platform.killed)) >= MACHINES
    return BROKEN if broken else HELD


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
