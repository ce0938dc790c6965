"""What all stand-ins share: their orders on standard input, the run's clock, their lag, their journal.

Orders and reports are JSON lines. The first order is a Brief; the stand-in answers with a report once its
sockets are open, gets `start` with the time of the run's beginning, and ends at the end of its input.
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

BEAT = 0.01  # seconds between two looks at the own lag
NOTABLE = 5_000  # microseconds of lag that are written down
LARGEST_ORDER = 64 << 20  # bytes of one line
TIMER_STEP = 1_000  # microseconds: the event loop's timers may run so much early
FLUSH = 0.25  # seconds after which the journal's buffer is written, whatever it holds
FAILED = 3  # exit code of a stand-in that could not do as planned
LINGER_OFF = struct.pack("ii", 1, 0)  # a close is a reset


class Brief(msgspec.Struct, frozen=True):
    """What a stand-in is told first. `address`: where things of other stand-ins are, by name."""

    role: str
    name: str
    journal: str
    scenario: Scenario
    seed: int
    number: int = 0  # of this process among those of its role
    address: dict[str, str] = {}


class Part(Protocol):
    """One role."""

    async def open(self) -> dict[str, Any]:
        """Opens the sockets; the report names what others must know."""

    def start(self) -> None:
        """The run begins: `Host.start` is set."""

    def order(self, order: dict[str, Any]) -> None:
        """A later order."""

    async def finish(self) -> None:
        """The run is over."""


class Host:
    """The surroundings of a part."""

    def __init__(self, brief: Brief, loop: asyncio.AbstractEventLoop) -> None:
        self.brief = brief
        self.loop = loop
        self.scenario = brief.scenario
        self.plan: Plan = plan_of(brief.scenario, brief.seed)
        self.journal = Journal(Path(brief.journal))
        self.begin = 0  # microseconds of the events' clock
        self.wall = 0  # milliseconds of Unix time at that moment
        self.worst = 0
        self.wards: set[int] = set()  # processes that must not outlive the runner

    def at(self, time: int, action: Callable[..., None], *args: Any) -> None:
        """Calls `action` at a time of the plan, never before it; at once if it is over."""
        self.loop.call_later(
            (max(0, self.begin + time - now()) + TIMER_STEP) / 1e6, self.due, time, action, args
        )

    def due(self, time: int, action: Callable[..., None], args: tuple[Any, ...]) -> None:
        """Calls it, unless the timer is early.

        Failure prevented: the loop's timers count from the moment at which it last looked at its clock, which
        may be some milliseconds old, and a fault begins before its time.
        """
        if now() < self.begin + time:
            self.at(time, action, *args)
        else:
            action(*args)

    def time(self) -> int:
        """The plan's time now."""
        return now() - self.begin

    def started_ms(self, born: int) -> int:
        """A server's start as the list gives it; 0 for one that stood before the run."""
        return 0 if born < 0 else self.wall + born // 1000

    def fault(self, step: Step) -> None:
        """Notes that a step begins."""
        self.journal.add(Fault(now(), self.begin + step.end, step.kind, step.target))

    def late(self, lag: int) -> None:
        """Notes a lag that is worse than those before it."""
        if lag > NOTABLE and lag > self.worst:
            self.worst = lag
            self.journal.add(Lag(now(), self.brief.name, lag))

    def order(self, order: dict[str, Any], part: Part) -> None:
        """Keeps the runner's wards; the rest is the part's."""
        if "ward" in order:
            (self.wards.add if order["runs"] else self.wards.discard)(order["ward"])
        elif "start" not in order:
            part.order(order)

    async def beat(self) -> None:
        """Measures the lag: how much later than asked this process runs."""
        flushed = now()
        while True:
            before = now()
            await asyncio.sleep(BEAT)
            moment = now()
            self.late(moment - before - round(BEAT * 1e6))
            if moment - flushed > FLUSH * 1e6:
                self.journal.flush()
                flushed = moment


def report(table: dict[str, Any]) -> None:
    """Tells the runner something."""
    sys.stdout.buffer.write(msgspec.json.encode(table) + b"\n")
    sys.stdout.buffer.flush()


def listener(address: str = "", backlog: int = 512, small: bool = False) -> socket.socket:
    """A listening socket on loopback; `small`: what it accepts holds few bytes that nobody reads."""
    host, _, port = address.rpartition(":")
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if small:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.bind((host or "127.0.0.1", int(port or 0)))
    sock.listen(backlog)
    return sock


def named(sock: socket.socket) -> str:
    host, port = sock.getsockname()[:2]
    return f"{host}:{port}"


def reset(transport: asyncio.Transport) -> None:
    """Ends a connection as a process that dies does."""
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_OFF)
    transport.abort()


def failed(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """A stand-in that does not do as planned ends: no verdict rests on it. A peer's end is no failure."""
    error = context.get("exception")
    if isinstance(error, OSError) and "future" not in context and "task" not in context:
        return
    print(f"stand-in: {context.get('message')}: {error!r}", file=sys.stderr, flush=True)
    os._exit(FAILED)


async def serve(make: Callable[[Host], Part]) -> None:
    """Runs a part until the orders end."""
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(failed)
    reader = asyncio.StreamReader(limit=LARGEST_ORDER)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    host = Host(msgspec.json.decode(await reader.readline(), type=Brief), loop)
    part = make(host)
    report({"ready": await part.open()})
    order: dict[str, Any] = {}
    while "start" not in order and (line := await reader.readline()):
        order = msgspec.json.decode(line)
        host.order(order, part)
    if "start" in order:
        host.begin, host.wall = order["start"], order["wall"]
        gc.collect()
        gc.freeze()
        gc.set_threshold(100_000, 50, 50)
        part.start()
        beat = loop.create_task(host.beat())
        while line := await reader.readline():
            host.order(msgspec.json.decode(line), part)
        beat.cancel()
        await part.finish()
    # Failure prevented: a runner that is killed outright leaves its nodes behind.
    for pid in host.wards:
        with suppress(ProcessLookupError):
            os.kill(pid, signal.SIGKILL)
    host.journal.close()


def main(make: Callable[[Host], Part]) -> None:
    uvloop.run(serve(make))
