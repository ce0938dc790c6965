"""The stand-in servers of one region: they record what reaches them, leave, crash and come back cold."""

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
from brackenladder.rehearsal.standins.model_server import ModelServer, ServerSettings
from brackenladder.soak.events import Arrived, Handled, LeaveAcknowledged, Order, Tell, Trouble, now
from brackenladder.soak.site import SoakLayout

COLD_SECONDS = 2.0  # after a start during traffic
LONGEST_STAY_SECONDS = 6.0  # beyond DrainMs
FINISH_SECONDS = 10.0  # for what still runs at the end


class Leave(Enum):
    """How a server goes."""

    CRASH = "crash"
    DRAIN = "drain"
    DEREGISTER_FIRST = "deregister-first"


class RecordingServer(ModelServer):
    """Writes down each request and what becomes of it."""

    def __init__(self, settings: ServerSettings, tell: Tell, cold_until: float) -> None:
        super().__init__(settings)
        self._tell = tell
        self._cold_until = cold_until

    def arrived(self, request_id: str, path: str) -> None:
        """Before the request is read."""
        own = self.settings
        self._tell(Arrived(now(), request_id, own.id, own.service, own.zone, path))

    def begun(self, request_id: str) -> None:
        """From here on it has run."""
        super().begun(request_id)
        self._tell(Handled(now(), request_id, self.settings.id))

    def turned_away(self, request_id: str, status: int) -> None:
        """It has not run."""
        self._tell(Handled(now(), request_id, self.settings.id, status))

    def cold_remaining_ms(self) -> int:
        """As its start tells."""
        return max(0, round((self._cold_until - monotonic()) * 1000))


class LossyHeartbeats(Heartbeats):
    """Heartbeats whose acknowledgements are lost for a while, as a share of them."""

    lost_share = 0.0
    random = Random(1)

    def loses_answer(self) -> bool:
        """Drawn anew each time."""
        return self.random.random() < self.lost_share

    async def say_gone(self) -> None:
        """Says that the server has ended, before it has; a TimeoutError without an acknowledgement."""
        if self._task is not None:
            self._task.cancel()
        path = f"/-/Instances.Deregister/{self._server.settings.id}"
        async with asyncio.timeout(FAREWELL_SECONDS):
            while not await self._call(path, None):
                await asyncio.sleep(RETRY_SECONDS)


class ServerFarm:
    """All servers of one region, by the place that a server and its successors have."""

    def __init__(self, layout: SoakLayout, region: str, seed: str, tell: Tell) -> None:
        own = [one for one in layout.servers() if layout.zones[one.zone] == region]
        self._settings = {one.id.partition(".")[0]: one for one in own}
        self._control = layout.seeds
        self._random = Random(seed)
        self._tell = tell
        self._servers: dict[str, RecordingServer] = {}
        self._heartbeats: dict[str, LossyHeartbeats] = {}
        self._leaving: set[str] = set()
        self._lost_share = 0.0

    async def start(self) -> None:
        """All servers, warm."""
        for place in self._settings:
            await self._begin(place, cold=False)

    def order(self, order: Order) -> Awaitable[None] | None:
        """`leave`, or `lose`: from now on so many answers to heartbeats are lost."""
        if order["do"] == "leave":
            return self.leave(order["place"], Leave(order["how"]), order["away"])
        self._lost_share = order["share"]
        for heartbeats in self._heartbeats.values():
            heartbeats.lost_share = self._lost_share
        return None

    async def leave(self, place: str, how: Leave, away: float) -> None:
        """A server goes, and comes back after `away` seconds as a new one; nothing if it is going already."""
        if place in self._leaving:
            return
        self._leaving.add(place)
        began, name = now(), self._settings[place].id
        try:
            in_order = await (self._crash(place) if how is Leave.CRASH else self._go(place, how))
            self._tell(Trouble(began, now(), f"server-{how.value}", (name,), planned=in_order))
            await asyncio.sleep(max(away, DEFAULT_BOUNDS.reuse_after_s))
            number = int(name.partition(".")[2]) + 1
            self._settings[place] = evolve(self._settings[place], id=f"{place}.{number}")
            await self._begin(place, cold=True)
        finally:
            self._leaving.discard(place)

    async def stop(self) -> None:
        """Ends all."""
        for heartbeats in self._heartbeats.values():
            await heartbeats.stop()
        for server in self._servers.values():
            await server.crash()

    async def _begin(self, place: str, cold: bool) -> None:
        settings = self._settings[place]
        server = RecordingServer(settings, self._tell, monotonic() + COLD_SECONDS if cold else 0.0)
        await server.start()
        heartbeats = LossyHeartbeats(server, self._control, HEARTBEAT_MS / 1000)
        heartbeats.lost_share, heartbeats.random = self._lost_share, self._random
        await heartbeats.start()
        self._servers[place], self._heartbeats[place] = server, heartbeats

    async def _crash(self, place: str) -> bool:
        await self._heartbeats.pop(place).stop()
        await self._servers.pop(place).crash()
        return False

    async def _go(self, place: str, how: Leave) -> bool:
        """The word, DrainMs and a little, the end; whether that was in order: heard, and nothing cut off."""
        heard = False
        server, heartbeats = self._servers[place], self._heartbeats[place]
        name = server.settings.id
        try:
            await (heartbeats.drain() if how is Leave.DRAIN else heartbeats.say_gone())
            self._tell(LeaveAcknowledged(now(), name))
            heard = True
        except TimeoutError:
            pass  # it ends all the same
        stay = DEFAULT_BOUNDS.drain_ms / 1000 + self._random.uniform(0.2, LONGEST_STAY_SECONDS)
        await asyncio.sleep(stay)
        del self._heartbeats[place], self._servers[place]
        await (heartbeats.deregister() if how is Leave.DRAIN else heartbeats.stop())
        with suppress(TimeoutError):
            async with asyncio.timeout(FINISH_SECONDS):
                await server.finish()
            return heard
        await server.crash()
        return False
