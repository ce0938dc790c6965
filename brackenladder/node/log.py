"""The node's log: lines on standard error, with a limit per second."""

from __future__ import annotations

import sys
from contextlib import suppress
from time import monotonic

LINES_PER_SECOND = 20
STRAY_LINES_PER_SECOND = 5


class Log:
    """Writes lines up to a rate limit and counts the omitted ones.

    Without the limit, a flood of stray datagrams or malformed requests would use up the CPU for logging, and
    block the node if nobody reads the log.
    """

    def __init__(self, name: str, limit: int) -> None:
        self.name = name
        self.limit = limit  # most lines written per second
        self.left = limit
        self.second = 0
        self.omitted = 0

    def line(self, text: str) -> None:
        """Writes a line, or counts it as omitted if the limit is reached."""
        second = int(monotonic())
        if second != self.second:
            self.second, self.left = second, self.limit
            if self.omitted:
                self.write(f"{self.omitted} lines omitted")
                self.omitted = 0
        if self.left == 0:
            self.omitted += 1
            return
        self.left -= 1
        self.write(text)

    def write(self, text: str) -> None:
        with suppress(OSError):  # if the log can't be written, the node goes on serving
            sys.stderr.write(f"{self.name}: {text}\n")
            sys.stderr.flush()
