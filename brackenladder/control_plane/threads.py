"""Calls that wait on a disk, in threads that do not keep the process from ending."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Callable
from contextlib import suppress
from typing import TypeVar

T = TypeVar("T")


async def in_daemon_thread(call: Callable[[], T]) -> T:
    """The call's result, or its exception; while the disk hangs the event loop goes on."""
    loop = asyncio.get_running_loop()
    done: asyncio.Future[T] = loop.create_future()

    def resolve(result: T | None, error: Exception | None) -> None:
        if done.done():
            return
        if error is not None:
            done.set_exception(error)
        else:
            done.set_result(result)  # type: ignore[arg-type]  # without an error it is the call's

    def run() -> None:
        result: T | None = None
        error: Exception | None = None
        try:
            result = call()
        except Exception as raised:  # whoever waits gets it, whatever it is
            error = raised
        with suppress(RuntimeError):  # the loop is closed: nobody waits any longer
            loop.call_soon_threadsafe(resolve, result, error)

    threading.Thread(target=run, name="disk", daemon=True).start()
    return await done
