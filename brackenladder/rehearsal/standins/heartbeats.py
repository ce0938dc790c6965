"""Heartbeats of a stand-in server: calls the control nodes in turn until one acknowledges."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from http import HTTPStatus
from time import monotonic
from zlib import crc32

import aiohttp

from brackenladder.rehearsal.standins.model_server import ModelServer

CALL_SECONDS = 1.0
MILLISECONDS = 1000
RETRY_SECONDS = 0.05  # pause between two tries of a heartbeat that is not acknowledged
FAREWELL_SECONDS = 5.0  # time limit for getting a drain or a deregistration acknowledged


class Heartbeats:
    """Keeps one server registered at the control nodes while it runs."""

    def __init__(self, server: ModelServer, control: tuple[str, ...], interval_s: float) -> None:
        self._server = server
        self._control = control
        self._interval_s = interval_s
        self._seq = 0
        self._next = crc32(server.settings.id.encode()) % len(control)
        self._session: aiohttp.ClientSession
        self._task: asyncio.Task[None] | None = None
        self._due = asyncio.Event()
        self._ends_at: float | None = None  # when the server ends, whatever it is running

    async def start(self) -> None:
        """Opens the HTTP session and starts the task that sends heartbeats until `stop`."""
        timeout = aiohttp.ClientTimeout(total=CALL_SECONDS)
        self._session = aiohttp.ClientSession(timeout=timeout)
        self._task = asyncio.create_task(self._run())

    async def drain(self, remaining_ms: int | None = None) -> None:
        """Announces that the server drains; returns once that is acknowledged.

        `remaining_ms`: the time after which the server ends, whatever it is running; None if it waits.
        """
        self._server.draining = True
        if remaining_ms is not None:
            self._ends_at = monotonic() + remaining_ms / MILLISECONDS
        async with asyncio.timeout(FAREWELL_SECONDS):
            while not await self._beat():
                await asyncio.sleep(RETRY_SECONDS)

    async def deregister(self) -> None:
        """Deregisters the server and stops sending heartbeats."""
        path = f"/-/Instances.Deregister/{self._server.settings.id}"
        with suppress(TimeoutError):
            async with asyncio.timeout(FAREWELL_SECONDS):
                while not await self._call(path, None):
                    await asyncio.sleep(RETRY_SECONDS)
        await self.stop()

    async def stop(self) -> None:
        """Stops sending heartbeats without deregistering."""
        if self._task is not None:
            self._task.cancel()
            with suppress(asyncio.CancelledError):
                await self._task
        await self._session.close()

    def loses_answer(self) -> bool:
        """Whether to treat an acknowledgement as lost; overridden to inject that fault."""
        return False

    async def _run(self) -> None:
        while True:
            acknowledged = await self._beat()
            await asyncio.sleep(self._interval_s if acknowledged else RETRY_SECONDS)

    async def _beat(self) -> bool:
        self._seq += 1
        settings = self._server.settings
        beat = {
            "Backend": settings.service,
            "Address": settings.address,
            "Zone": settings.zone,
            "Version": "v1",
            "Slots": settings.engine.slots if settings.engine else settings.slots,
            "State": "draining" if self._server.draining else "ready",
            "ColdRemainingMs": self._server.cold_remaining_ms(),
            "Seq": self._seq,
        }
        if self._ends_at is not None:
            beat["RemainingMs"] = max(0, round((self._ends_at - monotonic()) * MILLISECONDS))
        if settings.engine:
            beat |= {"Stage": "both", "Models": [self._server.model_entry()]}
        return await self._call(f"/-/Instances.Heartbeat/{settings.id}", beat)

    async def _call(self, path: str, document: dict[str, object] | None) -> bool:
        """Calls one control node; after a failure the next call goes to the next one."""
        node = self._control[self._next]
        try:
            async with self._session.post(f"http://{node}{path}", json=document) as answer:
                await answer.read()
                if answer.status == HTTPStatus.OK and not self.loses_answer():
                    return True
        except (aiohttp.ClientError, OSError, TimeoutError):
            pass
        self._next = (self._next + 1) % len(self._control)
        return False
