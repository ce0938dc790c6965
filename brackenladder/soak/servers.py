"""The stand-in servers of one region: their heartbeats, and how they leave, crash and restart cold."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from contextlib import suppress
from enum import Enum
from random import Random
from time import monotonic

from attrs import evolve

from brackenladder.local_site.layout import HEARTBEAT_MS
from brackenladder.platform_settings import DEFAULT_BOUNDS
from brackenladder.rehearsal.standins.heartbeats import FAREWELL_SECONDS, RETRY_SECONDS, Heartbeats
from brackenladder.soak.answer_faults import FULL, NO_FAULTS
from brackenladder.soak.events import LeaveAcknowledged, Order, Record, Trouble, now
from brackenladder.soak.recording_server import RecordingServer
from brackenladder.soak.site import SoakLayout

MILLISECONDS = 1000
COLD_SECONDS = 2.0  # warm-up time after a restart
LONGEST_STAY_SECONDS = 6.0  # longest time that a leaving server stays beyond DrainMs
LONGEST_CRASH_GAP_SECONDS = 0.2  # between two crashes, when all servers of a region crash
FINISH_SECONDS = 10.0  # time limit for running requests when a server stops
NOTICE_SECONDS = 2.0  # from the announcement of a server's end at short notice to its end


class Leave(Enum):
    """How a server leaves."""

    CRASH = "crash"
    DRAIN = "drain"
    DEREGISTER_FIRST = "deregister-first"
    SHORT_NOTICE = "short-notice"  # drains with `RemainingMs`, then ends whatever it is running


class LossyHeartbeats(Heartbeats):
    """Heartbeats that can ignore a share of their acknowledgements, as if these were lost."""

    lost_share = 0.0
    random = Random(1)

    def loses_answer(self) -> bool:
        """Randomly decides whether the next acknowledgement is dropped."""
        return self.random.random() < self.lost_share

    async def deregister_first(self) -> None:
        """Deregisters the server before it stops; raises TimeoutError if that is not acknowledged."""
        if self._task is not None:
            self._task.cancel()
        path = f"/-/Instances.Deregister/{self._server.settings.id}"
        async with asyncio.timeout(FAREWELL_SECONDS):
            while not await self._call(path, None):
                await asyncio.sleep(RETRY_SECONDS)


class ServerGroup:
    """All servers of one region, by place: the fixed slot that a server and its replacements occupy."""

    def __init__(self, layout: SoakLayout, region: str, seed: str, record: Record) -> None:
        own = [one for one in layout.servers() if layout.zones[one.zone] == region]
        self._settings = {one.id.partition(".")[0]: one for one in own}
        self._control = layout.seeds
        self._random = Random(seed)
        self._record = record
        self._servers: dict[str, RecordingServer] = {}
        self._heartbeats: dict[str, LossyHeartbeats] = {}
        self._leaving: set[str] = set()
        self._lost_share = 0.0
        self._faults = NO_FAULTS

    async def start(self) -> None:
        """Starts all servers, warm."""
        for place in self._settings:
            await self._begin(place, cold=False)

    def order(self, order: Order) -> Awaitable[None] | None:
        """Executes `leave` (one server), `crash`, `full` (all) or `lose` (a share of acknowledgements)."""
        if order["do"] == "crash":
            return self._crash_all(order["away"])
        if order["do"] == "leave":
            return self.leave(order["place"], Leave(order["how"]), order["away"])
        if order["do"] == "full":
            self._faults = FULL if order["on"] else NO_FAULTS
            for server in self._servers.values():
                server.faults = self._faults
            return None
        self._lost_share = order["share"]
        for heartbeats in self._heartbeats.values():
            heartbeats.lost_share = self._lost_share
        return None

    async def _crash_all(self, away: float) -> None:
        """Crashes all servers that are not leaving, one shortly after the other."""
        leaves = []
        for place in tuple(self._servers):
            leaves.append(asyncio.create_task(self.leave(place, Leave.CRASH, away)))
            await asyncio.sleep(self._random.uniform(0.0, LONGEST_CRASH_GAP_SECONDS))
        await asyncio.gather(*leaves)

    async def leave(self, place: str, how: Leave, away: float) -> None:
        """Stops a server and starts its replacement after `away` seconds, unless it is already leaving."""
        if place in self._leaving:
            return
        self._leaving.add(place)
        began, name = now(), self._settings[place].id
        try:
            in_order = await self._end_server(place, how)
            self._record(Trouble(began, now(), f"server-{how.value}", (name,), planned=in_order))
            await asyncio.sleep(max(away, DEFAULT_BOUNDS.reuse_after_s))
            number = int(name.partition(".")[2]) + 1
            self._settings[place] = evolve(self._settings[place], id=f"{place}.{number}")
            await self._begin(place, cold=True)
        finally:
            self._leaving.discard(place)

    async def stop(self) -> None:
        """Stops all heartbeats, then ends all servers at once, also while they run requests."""
        for heartbeats in self._heartbeats.values():
            await heartbeats.stop()
        for server in self._servers.values():
            await server.crash()

    async def _begin(self, place: str, cold: bool) -> None:
        settings = self._settings[place]
        server = RecordingServer(settings, self._record, monotonic() + COLD_SECONDS if cold else 0.0)
        server.faults = self._faults
        await server.start()
        heartbeats = LossyHeartbeats(server, self._control, HEARTBEAT_MS / 1000)
        heartbeats.lost_share, heartbeats.random = self._lost_share, self._random
        await heartbeats.start()
        self._servers[place], self._heartbeats[place] = server, heartbeats

    async def _end_server(self, place: str, how: Leave) -> bool:
        """Ends a server; returns whether it left as planned work does."""
        if how is Leave.CRASH:
            return await self._crash(place)
        if how is Leave.SHORT_NOTICE:
            return await self._end_at_short_notice(place)
        return await self._leave_gracefully(place, how)

    async def _crash(self, place: str) -> bool:
        await self._heartbeats.pop(place).stop()
        await self._servers.pop(place).crash()
        return False

    async def _end_at_short_notice(self, place: str) -> bool:
        """Announces the time that the server has left, and ends it then, acknowledged or not."""
        name = self._servers[place].settings.id
        with suppress(TimeoutError):
            async with asyncio.timeout(NOTICE_SECONDS):
                await self._heartbeats[place].drain(round(NOTICE_SECONDS * MILLISECONDS))
                self._record(LeaveAcknowledged(now(), name))
                await asyncio.sleep(NOTICE_SECONDS)
        return await self._crash(place)

    async def _leave_gracefully(self, place: str, how: Leave) -> bool:
        """Announces the leave, waits a little over DrainMs, stops the server.

        Returns whether the leave was acknowledged and no running request was cut off.
        """
        acknowledged = False
        server, heartbeats = self._servers[place], self._heartbeats[place]
        name = server.settings.id
        try:
            await (heartbeats.drain() if how is Leave.DRAIN else heartbeats.deregister_first())
            self._record(LeaveAcknowledged(now(), name))
            acknowledged = True
        except TimeoutError:
            pass  # the server stops even if its drain was not acknowledged
        stay = DEFAULT_BOUNDS.drain_ms / 1000 + self._random.uniform(0.2, LONGEST_STAY_SECONDS)
        await asyncio.sleep(stay)
        del self._heartbeats[place], self._servers[place]
        await (heartbeats.deregister() if how is Leave.DRAIN else heartbeats.stop())
        with suppress(TimeoutError):
            async with asyncio.timeout(FINISH_SECONDS):
                await server.finish()
            return acknowledged
        await server.crash()
        return False
