"""The server list that a process writes for its successor and reads from its predecessor at a restart."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from time import time_ns

from brackenladder.interface import ListKind
from brackenladder.membership.listing import Listing, read_listing
from brackenladder.node.pool import Pool
from brackenladder.operations.maintenance import Maintenance
from brackenladder.storage.handover import HandoverError, read_handover, write_handover

WRITE_INTERVAL = 1.0  # seconds between two writes of the list
MAX_SERVERS = 1000  # writing a longer list would block the event loop; the successor then asks discovery


class Handover:
    """Writes the server list for a successor process and reads a predecessor's.

    What is written is discovery's list as `maintenance` has it, without operators' suspensions.
    """

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

    def read_predecessor(self) -> Listing | None:
        """Returns the list that a predecessor has written, if it is recent."""
        try:
            table = read_handover(self.folder, time_ns() // 1000)
            return read_listing(table, ListKind.CACHED) if table is not None else None
        except (HandoverError, ValueError) as e:
            self.log(f"the predecessor's server list is not used: {e}")
            return None

    def start(self) -> None:
        """Starts writing the list periodically."""
        self.timer = self.loop.call_later(WRITE_INTERVAL, self.write)

    def write(self) -> None:
        """Writes the list for a successor."""
        lines = list(self.maintenance.lines.values())
        version = self.pool.source.version
        if version is not None and lines and len(lines) <= MAX_SERVERS:
            try:
                write_handover(self.folder, time_ns() // 1000, version, lines)
            except HandoverError as e:
                self.log(str(e))
        self.timer = self.loop.call_later(WRITE_INTERVAL, self.write)

    def stop(self) -> None:
        """Stops writing. Called when this process shuts down: its successor now writes newer lists."""
        if self.timer is not None:
            self.timer.cancel()
