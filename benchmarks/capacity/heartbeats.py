"""A control node's HTTP interface under servers' heartbeats, and what one of them costs there."""

from __future__ import annotations

import asyncio
import os
import shutil
import tempfile
import time
from multiprocessing import get_context
from multiprocessing.connection import Connection

from attrs import frozen

from capacity.meter import Usage, usage
from capacity.nodes import HollowControl
from capacity.target import HEARTBEAT_SECONDS, Size
from capacity.workload import control_platform, hollow_server

SECONDS = 8.0
CONNECTIONS = 32
PORT = 22_000
HOST_PREFIX = "127.91.7"
ALONE = Size(gateways=1, servers=767, control_nodes=1, routes=4)
HEADERS_END = b"\r\n\r\n"
ANSWER_BYTES = 4096


@frozen
class HttpCosts:
    """Of one heartbeat, at a control node that gets as many as each of nine would."""

    rate: float  # heartbeats a second that were sent
    idle_cpu_share: float  # of a core, with no heartbeats
    kept_us: float  # on connections that are kept
    new_us: float  # each on a connection of its own
    request_bytes: int
    failures: int


def http_costs(size: Size) -> HttpCosts:
    """Heartbeats at the rate of the size's servers, spread over its control nodes, at one node."""
    rate = size.servers / size.control_nodes / HEARTBEAT_SECONDS
    folder = tempfile.mkdtemp(prefix="system-capacity-")
    ours, theirs = get_context("spawn").Pipe()
    process = get_context("spawn").Process(target=_control, args=(folder, theirs), daemon=True)
    process.start()
    try:
        return asyncio.run(_measure(ours, rate))
    finally:
        ours.send(None)
        process.join(SECONDS)
        shutil.rmtree(folder, ignore_errors=True)


async def _measure(pipe: Connection, rate: float) -> HttpCosts:
    _usage(pipe)
    caller = _Caller(rate)
    await asyncio.sleep(1.0)
    marks = [_usage(pipe)]
    await asyncio.sleep(SECONDS)
    marks.append(_usage(pipe))
    kept = await caller.run(keep=True)
    marks.append(_usage(pipe))
    new = await caller.run(keep=False)
    marks.append(_usage(pipe))
    idle = (marks[1].cpu - marks[0].cpu) / (marks[1].at - marks[0].at)
    return HttpCosts(
        rate=rate,
        idle_cpu_share=idle,
        kept_us=_each(marks[1], marks[2], idle, kept),
        new_us=_each(marks[2], marks[3], idle, new),
        request_bytes=len(caller.request(0, keep=True)),
        failures=caller.failures,
    )


def _each(before: Usage, after: Usage, idle: float, calls: int) -> float:
    cpu = after.cpu - before.cpu - idle * (after.at - before.at)
    return cpu / calls * 1e6


def _usage(pipe: Connection) -> Usage:
    pipe.send(True)
    told = pipe.recv()
    assert isinstance(told, Usage)
    return told


class _Caller:
    """Sends heartbeats of all servers in turn."""

    def __init__(self, rate: float) -> None:
        self.failures = 0
        self._rate = rate
        self._servers = [hollow_server(number, ALONE) for number in range(ALONE.servers)]
        self._next = 0
        self._address = (f"{HOST_PREFIX}.1", PORT + 8)

    def request(self, number: int, keep: bool) -> bytes:
        """One heartbeat as it is sent."""
        server = self._servers[number % len(self._servers)]
        body = server.body()
        connection = "" if keep else "Connection: close\r\n"
        head = (
            f"POST /-/Instances.Heartbeat/{server.id} HTTP/1.1\r\nHost: {self._address[0]}\r\n"
            f"Content-Type: application/json\r\n{connection}Content-Length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body

    async def run(self, keep: bool) -> int:
        """Sends for `SECONDS`; how many were sent."""
        began, before = time.monotonic(), self._next
        await asyncio.gather(*(self._work(began, before, keep) for _ in range(CONNECTIONS)))
        return self._next - before

    async def _work(self, began: float, before: int, keep: bool) -> None:
        streams = None
        while time.monotonic() - began < SECONDS:
            due = began + (self._next - before) / self._rate
            if due > time.monotonic():
                await asyncio.sleep(due - time.monotonic())
                continue
            number, self._next = self._next, self._next + 1
            streams = streams or await asyncio.open_connection(*self._address)
            reader, writer = streams
            writer.write(self.request(number, keep))
            answer = await reader.read(ANSWER_BYTES)
            if not answer.startswith(b"HTTP/1.1 200"):
                self.failures += 1
            if not keep:
                writer.close()
                streams = None
        if streams is not None:
            streams[1].close()


def _control(folder: str, pipe: Connection) -> None:
    asyncio.run(_serve(folder, pipe))


async def _serve(folder: str, pipe: Connection) -> None:
    data_folder = os.path.join(folder, "control")
    os.makedirs(data_folder)
    control = HollowControl(control_platform(0, ALONE, HOST_PREFIX, PORT, data_folder))
    await control.node.start()
    loop = asyncio.get_running_loop()
    while await loop.run_in_executor(None, pipe.recv):
        pipe.send(usage())
    await control.node.close()
