"""The list that a process leaves its successor, and takes over from its predecessor."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from time import time_ns

from brackenladder.interface import ListKind
from brackenladder.membership.listing import Listing, read_listing
from brackenladder.node.pool import Pool
from brackenladder.operations.maintenance import Maintenance
from brackenladder.storage.handover import HandoverError, read_handover, write_handover

EVERY = 1.0  # seconds between two writes
MOST_SERVERS = 1000  # a longer list would hold up the loop: discovery tells the successor instead


class Handover:
    """`maintenance` knows the list as discovery gave it."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        pool: Pool,
        maintenance: Maintenance,
        folder: str,
        log: Callable[[str], None],
    ) -> None:
        self.loop = loop
        self.pool = pool
        self.maintenance = maintenance
        self.folder = folder
        self.log = log
        self.timer: asyncio.TimerHandle | None = None

    def look(self) -> Listing | None:
        """Reads what a predecessor has left; its list, if there is a fresh one."""
        try:
            table = read_handover(self.folder, time_ns() // 1000)
            return read_listing(table, ListKind.CACHED) if table is not None else None
        except (HandoverError, ValueError) as e:
            self.log(f"not taken over: {e}")
            return None

    def begin(self) -> None:
        """Leaves its own from now on."""
        self.timer = self.loop.call_later(EVERY, self.leave)

    def leave(self) -> None:
        """Writes what a successor is to know."""
        lines = list(self.maintenance.lines.values())
        version = self.pool.source.version
        if version is not None and lines and len(lines) <= MOST_SERVERS:
            try:
                write_handover(self.folder, time_ns() // 1000, version, lines)
            except HandoverError as e:
                self.log(str(e))
        self.timer = self.loop.call_later(EVERY, self.leave)

    def end(self) -> None:
        """The successor serves: what it leaves is the newer."""
        if self.timer is not None:
            self.timer.cancel()
