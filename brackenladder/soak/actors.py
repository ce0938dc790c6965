"""Process of one actor (servers, clients or relay).

Usage: `python -m brackenladder.soak.actors ROLE REGION SEED NETWORK FOLDER SIZE`.

It reads orders as JSON lines from standard input and exits on `stop` or at the end of the input. It writes
the events it causes and observes to its journal in the folder.
"""

from __future__ import annotations

import asyncio
import json
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Protocol

from brackenladder.soak.clients import Clients
from brackenladder.soak.events import MICROSECONDS, Journal, Lagged, Order, Record, now
from brackenladder.soak.relay import Relay
from brackenladder.soak.servers import ServerGroup
from brackenladder.soak.site import Size, SoakLayout

READY = "ready"
LAG_CHECK_SECONDS = 0.05
MIN_RECORDED_LAG_SECONDS = 0.25
FLUSH_SECONDS = 1.0


class Actor(Protocol):
    """Behaviour of an actor process."""

    async def start(self) -> None:
        """Begins the work of the actor; once this has returned, the actor counts as ready for orders."""

    def order(self, order: Order) -> Awaitable[None] | None:
        """Executes an order of the soak runner; returns an awaitable if it takes time."""

    async def stop(self) -> None:
        """Ends the work of the actor; called once, after its last order has ended or was cancelled."""


ACTORS: dict[str, Callable[[SoakLayout, str, str, Record], Actor]] = {
    "servers": ServerGroup,
    "clients": Clients,
    "relay": Relay,
}


def actor_name(role: str, region: str) -> str:
    """Name of the process of a role in a region."""
    return f"{role}-{region}"


async def run_actor(role: str, layout: SoakLayout, region: str, seed: str) -> None:
    """Runs an actor until its input ends or it is told to stop."""
    name = actor_name(role, region)
    journal = Journal(layout.folder / f"{name}.jsonl")
    actor = ACTORS[role](layout, region, seed, journal.add)
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    await actor.start()
    print(READY, flush=True)
    watch = asyncio.create_task(_record_lags(name, journal))
    under_way: set[asyncio.Future[None]] = set()
    while (line := await reader.readline()) and (order := json.loads(line))["do"] != "stop":
        work = actor.order(order)
        if work is not None:
            task = asyncio.ensure_future(work)
            under_way.add(task)
            task.add_done_callback(under_way.discard)
            task.add_done_callback(_report)
    for open_work in tuple(under_way):
        open_work.cancel()
    await asyncio.gather(*under_way, return_exceptions=True)
    await actor.stop()
    watch.cancel()
    journal.file.close()


def _report(task: asyncio.Future[None]) -> None:
    """Prints the traceback of a failed order to the log, which the soak searches for tracebacks."""
    if not task.cancelled() and (error := task.exception()) is not None:
        traceback.print_exception(error)


async def _record_lags(name: str, journal: Journal) -> None:
    """Records periods in which the kernel did not schedule this process; also flushes the journal."""
    flushed = before = now()
    while True:
        await asyncio.sleep(LAG_CHECK_SECONDS)
        moment = now()
        if moment - before > (LAG_CHECK_SECONDS + MIN_RECORDED_LAG_SECONDS) * MICROSECONDS:
            journal.add(Lagged(before, moment, name))
        before = moment
        if moment - flushed > FLUSH_SECONDS * MICROSECONDS:
            journal.file.flush()
            flushed = moment


if __name__ == "__main__":
    network, folder, size = sys.argv[4:]
    asyncio.run(run_actor(sys.argv[1], SoakLayout(network, Path(folder), Size(size)), *sys.argv[2:4]))
