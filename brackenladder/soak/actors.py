"""One actor's process: `python -m brackenladder.soak.actors servers|clients|relay FOLDER NAME REGION SEED`.

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
from random import Random
from typing import Any, Protocol

from brackenladder.soak.clients import Lane, Place
from brackenladder.soak.configuration import HOSTS
from brackenladder.soak.events import MICROSECONDS, Journal, Lagged, now
from brackenladder.soak.relay import Relay
from brackenladder.soak.servers import Leave, ServerFarm
from brackenladder.soak.site import SHAPES, ZONES, Size, SoakLayout

LAYOUT_FILE = "layout.json"
READY = "ready"
BEAT_SECONDS = 0.05
NOTABLE_LAG_SECONDS = 0.25
FLUSH_SECONDS = 1.0
Order = dict[str, Any]


class Actor(Protocol):
    """What a process of this module does."""

    async def start(self) -> None:
        """Begins."""

    def order(self, order: Order) -> Awaitable[None] | None:
        """Does as the player says; what takes time is returned."""

    async def stop(self) -> None:
        """Ends."""


class ServersActor:
    """The servers of one region."""

    def __init__(self, layout: SoakLayout, region: str, seed: str, journal: Journal) -> None:
        own = tuple(one for one in layout.servers() if ZONES[one.zone] == region)
        self._farm = ServerFarm(own, layout.seeds, Random(seed), journal.add)

    async def start(self) -> None:
        """All servers."""
        await self._farm.start()

    def order(self, order: Order) -> Awaitable[None] | None:
        """`leave` or `lose`."""
        if order["do"] == "leave":
            return self._farm.leave(order["place"], Leave(order["how"]), order["away"])
        self._farm.lose_acknowledgements(order["share"])
        return None

    async def stop(self) -> None:
        """All at once."""
        await self._farm.stop()


class ClientsActor:
    """The clients of one region."""

    def __init__(self, layout: SoakLayout, region: str, seed: str, journal: Journal) -> None:
        zones = [zone for zone in ZONES if ZONES[zone] == region]
        self._lanes = [
            Lane(
                Place(region, zone, layout.directories_near(region, zone)),
                HOSTS[number % len(HOSTS)],
                Random(f"{seed} {zone} {number}"),
                journal.add,
            )
            for zone in zones
            for number in range(SHAPES[layout.size].lanes)
        ]
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """All lanes."""
        self._tasks = [asyncio.create_task(lane.run()) for lane in self._lanes]

    def order(self, order: Order) -> None:
        """There is none."""

    async def stop(self) -> None:
        """What is open is finished first."""
        for lane in self._lanes:
            lane.stop()
        await asyncio.gather(*self._tasks)


class RelayActor:
    """The relay between nodes."""

    def __init__(self, layout: SoakLayout, _region: str, _seed: str, _journal: Journal) -> None:
        self._relay = Relay(layout)

    async def start(self) -> None:
        """All listeners."""
        await self._relay.start()

    def order(self, order: Order) -> None:
        """`hold`, `release` or `reset` of a list of pairs."""
        for one, other in order["pairs"]:
            if order["do"] == "hold":
                self._relay.hold((one, other))
            elif order["do"] == "release":
                self._relay.release((one, other))
            else:
                self._relay.reset(one, other)

    async def stop(self) -> None:
        """All links end."""
        await self._relay.stop()


ACTORS: dict[str, Callable[[SoakLayout, str, str, Journal], Actor]] = {
    "servers": ServersActor,
    "clients": ClientsActor,
    "relay": RelayActor,
}


def read_layout(folder: Path) -> SoakLayout:
    """The layout that the player has left in the folder."""
    table = json.loads((folder / LAYOUT_FILE).read_text())
    return SoakLayout(table["Network"], folder, Size(table["Size"]))


async def run_actor(role: str, folder: Path, name: str, region: str, seed: str) -> None:
    """Until the orders end."""
    journal = Journal(folder / f"{name}.jsonl")
    actor = ACTORS[role](read_layout(folder), region, seed, journal)
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
    journal.close()


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
            journal.flush()
            flushed = moment


if __name__ == "__main__":
    asyncio.run(run_actor(sys.argv[1], Path(sys.argv[2]), sys.argv[3], sys.argv[4], sys.argv[5]))
