"""Code that all stand-in processes share: orders on standard input, the clock, lag measurement, the journal.

Orders and reports are JSON lines. The first order is a Brief. The stand-in reports once its sockets are open,
then gets the order `start` with the time at which the run starts, and stops at the end of its input.
"""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import socket
import struct
import sys
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any, Protocol

import msgspec
import uvloop

from brackenladder.rehearsal.events import Fault, Journal, Lag, now
from brackenladder.rehearsal.plan import Plan, Step, plan_of
from brackenladder.rehearsal.scenario import Scenario

LAG_INTERVAL = 0.01  # seconds between two measurements of the process's lag
MIN_REPORTED_LAG = 5_000  # microseconds; smaller lags are not recorded
LARGEST_ORDER = 64 << 20  # largest size in bytes of one order (a JSON line)
TIMER_STEP = 1_000  # microseconds by which the event loop's timers may fire early
FLUSH = 0.25  # seconds between two flushes of the journal
FAILED = 3  # exit code after an unexpected exception
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER value that makes a close send a reset


class Brief(msgspec.Struct, frozen=True):
    """The runner's first order to a stand-in process.

    `address`: addresses of nodes and other stand-ins, by name.
    """

    role: str
    name: str
    journal: str
    scenario: Scenario
    seed: int
    number: int = 0  # index of this process among those of its role
    address: dict[str, str] = {}


class Role(Protocol):
    """What a stand-in process does: servers, network or clients."""

    async def open(self) -> dict[str, Any]:
        """Opens the sockets; returns the addresses that other processes need."""

    def start(self) -> None:
        """Called when the start of the run is known (`Host.begin`)."""

    def order(self, order: dict[str, Any]) -> None:
        """Handles an order that follows the first one, the Brief."""

    async def finish(self) -> None:
        """Called at the end of the run, before the process exits."""


class Host:
    """What a role gets from its process: plan, timers, journal."""

    def __init__(self, brief: Brief, loop: asyncio.AbstractEventLoop) -> None:
        self.brief = brief
        self.loop = loop
        self.scenario = brief.scenario
        self.plan: Plan = plan_of(brief.scenario, brief.seed)
        self.journal = Journal(Path(brief.journal))
        self.begin = 0  # start of the run, by the clock of the events
        self.wall = 0  # start of the run, in milliseconds of Unix time
        self.worst = 0
        self.child_pids: set[int] = set()  # node processes, killed if the runner ends without them

    def at(self, time: int, action: Callable[..., None], *args: Any) -> None:
        """Calls `action` at a time of the plan, never earlier; at once if the time has passed."""
        self.loop.call_later(
            (max(0, self.begin + time - now()) + TIMER_STEP) / 1e6, self.run_if_due, time, action, args
        )

    def run_if_due(self, time: int, action: Callable[..., None], args: tuple[Any, ...]) -> None:
        """Calls `action`, or sets the timer again if it fired early.

        The loop's timers count from its cached time, which may be some milliseconds old. Without this check a
        fault could begin before its time.
        """
        if now() < self.begin + time:
            self.at(time, action, *args)
        else:
            action(*args)

    def time(self) -> int:
        """Microseconds since the start of the run."""
        return now() - self.begin

    def started_ms(self, born: int) -> int:
        """The start time as the server list has it, in Unix milliseconds; 0 if `born` is before the run."""
        return 0 if born < 0 else self.wall + born // 1000

    def note_fault(self, step: Step) -> None:
        """Records that a fault begins."""
        self.journal.add(Fault(now(), self.begin + step.end, step.kind, step.target))

    def note_lag(self, lag: int) -> None:
        """Records a lag that is larger than all before it."""
        if lag > MIN_REPORTED_LAG and lag > self.worst:
            self.worst = lag
            self.journal.add(Lag(now(), self.brief.name, lag))

    def order(self, order: dict[str, Any], role: Role) -> None:
        """Tracks the pids of the nodes; passes all other orders on to the role."""
        if "ward" in order:
            (self.child_pids.add if order["runs"] else self.child_pids.discard)(order["ward"])
        elif "start" not in order:
            role.order(order)

    async def measure_lag(self) -> None:
        """Measures how late timers run in this process, and flushes the journal."""
        flushed = now()
        while True:
            before = now()
            await asyncio.sleep(LAG_INTERVAL)
            moment = now()
            self.note_lag(moment - before - round(LAG_INTERVAL * 1e6))
            if moment - flushed > FLUSH * 1e6:
                self.journal.flush()
                flushed = moment


def report(table: dict[str, Any]) -> None:
    """Sends a report to the runner."""
    sys.stdout.buffer.write(msgspec.json.encode(table) + b"\n")
    sys.stdout.buffer.flush()


def listener(address: str = "", backlog: int = 512, small: bool = False) -> socket.socket:
    """A listening socket on loopback. `small`: accepted connections get a small receive buffer."""
    host, _, port = address.rpartition(":")
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if small:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.bind((host or "127.0.0.1", int(port or 0)))
    sock.listen(backlog)
    return sock


def address_of(sock: socket.socket) -> str:
    host, port = sock.getsockname()[:2]
    return f"{host}:{port}"


def reset(transport: asyncio.Transport) -> None:
    """Closes a connection with a reset, as the kernel does for a killed process."""
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    transport.abort()


def exit_on_error(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Ends the process on an unexpected exception, so that its journal yields no verdict.

    Errors of a connection are ignored, since peers may close it.
    """
    error = context.get("exception")
    if isinstance(error, OSError) and "future" not in context and "task" not in context:
        return
    print(f"stand-in: {context.get('message')}: {error!r}", file=sys.stderr, flush=True)
    os._exit(FAILED)


async def serve(make: Callable[[Host], Role]) -> None:
    """Runs a role until the end of its input."""
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(exit_on_error)
    reader = asyncio.StreamReader(limit=LARGEST_ORDER)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    host = Host(msgspec.json.decode(await reader.readline(), type=Brief), loop)
    role = make(host)
    report({"ready": await role.open()})
    order: dict[str, Any] = {}
    while "start" not in order and (line := await reader.readline()):
        order = msgspec.json.decode(line)
        host.order(order, role)
    if "start" in order:
        host.begin, host.wall = order["start"], order["wall"]
        gc.collect()
        gc.freeze()
        gc.set_threshold(100_000, 50, 50)
        role.start()
        lag_task = loop.create_task(host.measure_lag())
        while line := await reader.readline():
            host.order(msgspec.json.decode(line), role)
        lag_task.cancel()
        await role.finish()
    # Ends the nodes of a runner that was killed and could not end them itself.
    for pid in host.child_pids:
        with suppress(ProcessLookupError):
            os.kill(pid, signal.SIGKILL)
    host.journal.close()


def main(make: Callable[[Host], Role]) -> None:
    uvloop.run(serve(make))
