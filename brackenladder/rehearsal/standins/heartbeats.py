"""A stand-in server's heartbeats: it calls one control node after the other until one acknowledges."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from http import HTTPStatus
from zlib import crc32

import aiohttp

from brackenladder.rehearsal.standins.model_server import ModelServer

CALL_SECONDS = 1.0
RETRY_SECONDS = 0.05  # between two calls of a beat that nobody has acknowledged
FAREWELL_SECONDS = 5.0  # for the acknowledgement of an end


class Heartbeats:
    """Registers one server at the control nodes for as long as it runs."""

    def __init__(self, server: ModelServer, control: tuple[str, ...], interval_s: float) -> None:
        self._server = server
        self._control = control
        self._interval_s = interval_s
        self._seq = 0
        self._next = crc32(server.settings.id.encode()) % len(control)
        self._session: aiohttp.ClientSession
        self._task: asyncio.Task[None] | None = None
        self._due = asyncio.Event()

    async def start(self) -> None:
        """Begins to call."""
        timeout = aiohttp.ClientTimeout(total=CALL_SECONDS)
        self._session = aiohttp.ClientSession(timeout=timeout)
        self._task = asyncio.create_task(self._run())

    async def drain(self) -> None:
        """Says that the server leaves; returns once that is acknowledged."""
        self._server.draining = True
        async with asyncio.timeout(FAREWELL_SECONDS):
            while not await self._beat():
                await asyncio.sleep(RETRY_SECONDS)

    async def deregister(self) -> None:
        """Says that the server has ended, and calls no more."""
        path = f"/-/Instances.Deregister/{self._server.settings.id}"
        with suppress(TimeoutError):
            async with asyncio.timeout(FAREWELL_SECONDS):
                while not await self._call(path, None):
                    await asyncio.sleep(RETRY_SECONDS)
        await self.stop()

    async def stop(self) -> None:
        """Calls no more, without a word."""
        if self._task is not None:
            self._task.cancel()
            with suppress(asyncio.CancelledError):
                await self._task
        await self._session.close()

    def loses_answer(self) -> bool:
        """Whether an acknowledgement is lost on its way; a server that plays this overrides it."""
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
        if settings.engine:
            beat |= {"Stage": "both", "Models": [self._server.model_entry()]}
        return await self._call(f"/-/Instances.Heartbeat/{settings.id}", beat)

    async def _call(self, path: str, document: dict[str, object] | None) -> bool:
        """One call of one node; after a failure the next call goes to the next node."""
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
