"""Asks servers for their health over HTTP, a few at a time."""

from __future__ import annotations

import asyncio
from http import HTTPStatus

import aiohttp

from brackenladder.registry.recall import HealthAnswer, RememberedServer

INSTANCE_ID = "X-Brackenladder-Instance-Id"
COLD_REMAINING = "X-Brackenladder-Cold-Remaining-Ms"
CHECK_SECONDS = 1.0  # longest check; a server's heartbeat comes about as soon
MOST_AT_ONCE = 32
MICROSECONDS_PER_MILLISECOND = 1000
UNKNOWN = HealthAnswer("")


class HealthChecks:
    """One client for the checks of one start; to be used as an asynchronous context."""

    def __init__(self) -> None:
        self._limit = asyncio.Semaphore(MOST_AT_ONCE)
        self._session: aiohttp.ClientSession

    async def __aenter__(self) -> HealthChecks:
        timeout = aiohttp.ClientTimeout(total=CHECK_SECONDS)
        self._session = aiohttp.ClientSession(
            timeout=timeout, connector=aiohttp.TCPConnector(force_close=True)
        )
        return self

    async def __aexit__(self, *_exception: object) -> None:
        await self._session.close()

    async def ask(self, server: RememberedServer) -> HealthAnswer:
        """What the server answers; `UNKNOWN` where it does not, or is not well."""
        url = f"http://{server.record.address}{server.health_path}"
        async with self._limit:
            try:
                async with self._session.get(url, allow_redirects=False) as response:
                    return _answer(response)
            except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
                return UNKNOWN


def _answer(response: aiohttp.ClientResponse) -> HealthAnswer:
    if response.status != HTTPStatus.OK:
        return UNKNOWN
    told = response.headers.get(COLD_REMAINING, "0").strip()
    try:
        cold_for = int(float(told) * MICROSECONDS_PER_MILLISECOND)
    except (ValueError, OverflowError):
        return UNKNOWN
    return HealthAnswer(response.headers.get(INSTANCE_ID, ""), max(0, cold_for))
