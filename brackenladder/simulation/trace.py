"""Formats the log of a run with the virtual time and the name of the process that logs."""

from __future__ import annotations

from collections.abc import Callable

import logbook

from brackenladder.simulation.virtual_loop import MICROSECONDS, VirtualEventLoop, current_process


class TraceHandler(logbook.Handler):  # type: ignore[misc]  # logbook has no types
    """Writes each record as one line."""

    def __init__(self, loop: VirtualEventLoop, write: Callable[[str], None]) -> None:
        super().__init__(level=logbook.DEBUG)
        self._loop = loop
        self._write = write

    def emit(self, record: logbook.LogRecord) -> None:
        """See `logbook.Handler`."""
        process = current_process()
        name = process.name if process is not None else "-"
        seconds = self._loop.microseconds / MICROSECONDS
        self._write(f"{seconds:9.3f} {name:14} {record.channel}: {record.message}")
