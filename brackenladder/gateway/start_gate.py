"""Holds requests back while a starting gateway waits for the configuration and the first servers."""

from __future__ import annotations

import asyncio

from brackenladder.delivery.view import SystemView, ViewChange
from brackenladder.registry.records import ServerState

# Fraction of the client's timeout for which a request is held at most, so that there is time for a retry.
HOLD_FRACTION = 0.25
MAX_HOLD = 1_200_000  # microseconds for which a request is held at most
US_PER_S = 1e6


class StartGate:
    """Closed until the gateway knows a configuration and a ready server for each configured service.

    After a restart of all processes, clients return some tenths of a second before the control nodes have
    elected a leader. Without the gate, each request would be refused twice within its client's timeout.
    """

    def __init__(self, view: SystemView) -> None:
        self._view = view
        self._opened = asyncio.Event()
        self._unsubscribe = view.subscribe(self._changed)
        self._changed(ViewChange.CATALOG)

    @property
    def is_open(self) -> bool:
        """Whether requests are handled at once."""
        return self._opened.is_set()

    def open(self) -> None:
        """Open the gate for good: servers or settings still unknown are not going to arrive soon."""
        self._opened.set()
        self._unsubscribe()

    async def wait(self, client_timeout: int) -> None:
        """Return once the gate is open, or once the request has been held for as long as allowed."""
        try:
            async with asyncio.timeout(min(MAX_HOLD, client_timeout * HOLD_FRACTION) / US_PER_S):
                await self._opened.wait()
        except TimeoutError:
            pass

    def _changed(self, change: ViewChange) -> None:
        configuration = self._view.configuration
        if configuration is None:
            return
        ready = {
            server.service for server in self._view.servers.values() if server.state is ServerState.READY
        }
        if ready.issuperset([service.name for service in configuration.services]):
            self.open()
