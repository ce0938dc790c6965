"""HTTP health checks of servers, with a limit on concurrent checks."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from http import HTTPStatus
from typing import Protocol

import aiohttp

from brackenladder.registry.remembered_servers import HealthAnswer, RememberedServer

INSTANCE_ID = "X-Brackenladder-Instance-Id"
COLD_REMAINING = "X-Brackenladder-Cold-Remaining-Ms"
# Time limit of a check; a longer one is of little use, since a live server sends a heartbeat about every
# second.
CHECK_TIMEOUT_SECONDS = 1.0
MAX_CONCURRENT_CHECKS = 32
MICROSECONDS_PER_MILLISECOND = 1000
UNKNOWN = HealthAnswer("")


class HealthChecks(Protocol):
    """Checks the health of servers that were read from the restart cache."""

    async def check_all(self, servers: Sequence[RememberedServer]) -> list[HealthAnswer]:
        """The answers of the servers, in the same order; `UNKNOWN` for one that is unhealthy or silent."""


class HttpHealthChecks:
    """`HealthChecks` over HTTP. An instance is used for one round of checks, with one client session."""

    def __init__(self) -> None:
        self._limit = asyncio.Semaphore(MAX_CONCURRENT_CHECKS)
        self._session: aiohttp.ClientSession

    async def check_all(self, servers: Sequence[RememberedServer]) -> list[HealthAnswer]:
        """See `HealthChecks`."""
        timeout = aiohttp.ClientTimeout(total=CHECK_TIMEOUT_SECONDS)
        connector = aiohttp.TCPConnector(force_close=True)
        async with aiohttp.ClientSession(timeout=timeout, connector=connector) as self._session:
            return await asyncio.gather(*[self._check(server) for server in servers])

    async def _check(self, server: RememberedServer) -> HealthAnswer:
        url = f"http://{server.record.address}{server.health_path}"
        async with self._limit:
            try:
                async with self._session.get(url, allow_redirects=False) as response:
                    return _parse_answer(response)
            except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
                return UNKNOWN


def _parse_answer(response: aiohttp.ClientResponse) -> HealthAnswer:
    if response.status != HTTPStatus.OK:
        return UNKNOWN
    cold_remaining = response.headers.get(COLD_REMAINING, "0").strip()
    try:
        cold_for = int(float(cold_remaining) * MICROSECONDS_PER_MILLISECOND)
    except (ValueError, OverflowError):
        return UNKNOWN
    return HealthAnswer(response.headers.get(INSTANCE_ID, ""), max(0, cold_for))
