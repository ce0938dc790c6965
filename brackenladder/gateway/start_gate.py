"""Requests that come while a gateway starts wait for the configuration and the first servers."""

from __future__ import annotations

import asyncio

from brackenladder.delivery.view import SystemView, ViewChange
from brackenladder.registry.records import ServerState

HOLD_FRACTION = 0.25  # of the time that a client waits: held for no longer, it can still come again
MAX_HOLD = 1_200_000  # microseconds
US_PER_S = 1e6


class StartGate:
    """Closed until the view is of use: a configuration, and a server for each service that it names.

    Failure prevented: every process was killed, clients are at the gateways again some tenths of a second
    before the control nodes have a leader, and each request is refused twice within its client's patience.
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
        """For good: what is missing in the view by now is truly missing."""
        self._opened.set()
        self._unsubscribe()

    async def wait(self, patience: int) -> None:
        """Return once the gate is open, or after the part of the client's `patience` that may be used."""
        try:
            async with asyncio.timeout(min(MAX_HOLD, patience * HOLD_FRACTION) / US_PER_S):
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
