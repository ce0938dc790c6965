"""One actor's process: `python -m brackenladder.soak.actors ROLE REGION SEED NETWORK FOLDER SIZE`.

Orders come as JSON lines on standard input; it ends at `stop` or at the end of the input. What it does and
sees goes into its journal in the folder.
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
from brackenladder.soak.events import MICROSECONDS, Journal, Lagged, Order, Tell, now
from brackenladder.soak.relay import Relay
from brackenladder.soak.servers import ServerFarm
from brackenladder.soak.site import Size, SoakLayout

READY = "ready"
BEAT_SECONDS = 0.05
NOTABLE_LAG_SECONDS = 0.25
FLUSH_SECONDS = 1.0


class Actor(Protocol):
    """What a process of this module does."""

    async def start(self) -> None:
        """Begins."""

    def order(self, order: Order) -> Awaitable[None] | None:
        """Does as the player says; what takes time is returned."""

    async def stop(self) -> None:
        """Ends."""


ACTORS: dict[str, Callable[[SoakLayout, str, str, Tell], Actor]] = {
    "servers": ServerFarm,
    "clients": Clients,
    "relay": Relay,
}


def actor_name(role: str, region: str) -> str:
    """The name of its process."""
    return f"{role}-{region}"


async def run_actor(role: str, layout: SoakLayout, region: str, seed: str) -> None:
    """Until the orders end."""
    name = actor_name(role, region)
    journal = Journal(layout.folder / f"{name}.jsonl")
    actor = ACTORS[role](layout, region, seed, journal.add)
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    await actor.start()
    print(READY, flush=True)
    watch = asyncio.create_task(_watch(name, journal))
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
    """An order that fails is a fault of the soak itself: its trace goes to the log, which is looked at."""
    if not task.cancelled() and (error := task.exception()) is not None:
        traceback.print_exception(error)


async def _watch(name: str, journal: Journal) -> None:
    """Notes when this process did not run."""
    flushed = before = now()
    while True:
        await asyncio.sleep(BEAT_SECONDS)
        moment = now()
        if moment - before > (BEAT_SECONDS + NOTABLE_LAG_SECONDS) * MICROSECONDS:
            journal.add(Lagged(before, moment, name))
        before = moment
        if moment - flushed > FLUSH_SECONDS * MICROSECONDS:
            journal.file.flush()
            flushed = moment


if __name__ == "__main__":
    network, folder, size = sys.argv[4:]
    asyncio.run(run_actor(sys.argv[1], SoakLayout(network, Path(folder), Size(size)), *sys.argv[2:4]))
