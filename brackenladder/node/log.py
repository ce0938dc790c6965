"""The node's log: lines on standard error, so many a second at most."""

from __future__ import annotations

import sys
from contextlib import suppress
from time import monotonic

LINES_A_SECOND = 20
STRAYS_A_SECOND = 5


class Log:
    """Writes lines and counts what it leaves out.

    Failure prevented: a flood of stray datagrams or broken requests that is logged line by line costs the
    node its CPU, and blocks it where nobody reads the log.
    """

    def __init__(self, name: str, most: int) -> None:
        self.name = name
        self.most = most  # lines a second
        self.left = most
        self.second = 0
        self.omitted = 0

    def line(self, text: str) -> None:
        """One line, or one more that was left out."""
        second = int(monotonic())
        if second != self.second:
            self.second, self.left = second, self.most
            if self.omitted:
                self.write(f"{self.omitted} lines left out")
                self.omitted = 0
        if self.left == 0:
            self.omitted += 1
            return
        self.left -= 1
        self.write(text)

    def write(self, text: str) -> None:
        with suppress(OSError):  # nobody reads the log any more: no reason to stop serving
            sys.stderr.write(f"{self.name}: {text}\n")
            sys.stderr.flush()
