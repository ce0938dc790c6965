"""What every script of the review needs: a record, a temporary folder, and the exit codes."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMIT_SECONDS = 110.0


class Record:
    """Writes `record.txt`: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.began = time.monotonic()
        self._file = path.open("w")

    def __call__(self, what: str, **fields: Any) -> None:
        """Records an event of now."""
        self.line(time.monotonic(), what, **fields)

    def line(self, at: float, what: str, **fields: Any) -> None:
        """Records an event of another time of the monotonic clock."""
        details = " ".join(f"{name}={json.dumps(value)}" for name, value in fields.items())
        self._file.write(f"{at - self.began:9.3f} {what} {details}".rstrip() + "\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Records a line and prints it."""
        self._file.write(text + "\n")
        self._file.flush()
        print(text, flush=True)


def run_case(folder: Path, play: Callable[[Record, Path], Awaitable[int]]) -> None:
    """Plays a case and exits with its code."""
    record = Record(folder / "record.txt")

    async def limited() -> int:
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(LIMIT_SECONDS):
                with tempfile.TemporaryDirectory(prefix="review-") as temporary:
                    return await play(record, Path(temporary))
        except (TimeoutError, asyncio.CancelledError):
            record.say("not played to its end")
        except Exception:  # a fault of the script says nothing about the rule
            record.say(traceback.format_exc())
        return NOT_RUN

    sys.exit(asyncio.run(limited()))
