"""Runs blocking disk calls in threads that do not keep the process from exiting."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Callable
from contextlib import suppress
from typing import TypeVar

T = TypeVar("T")


async def in_daemon_thread(call: Callable[[], T]) -> T:
    """Runs a call in a thread without blocking the event loop; returns its result or raises its exception."""
    loop = asyncio.get_running_loop()
    done: asyncio.Future[T] = loop.create_future()

    def resolve(result: T | None, error: Exception | None) -> None:
        if done.done():
            return
        if error is not None:
            done.set_exception(error)
        else:
            done.set_result(result)  # type: ignore[arg-type]  # if there is no error, the result is of type T

    def run() -> None:
        result: T | None = None
        error: Exception | None = None
        try:
            result = call()
        except Exception as raised:  # any exception is passed on to the caller
            error = raised
        with suppress(RuntimeError):  # the loop is closed, so no caller waits any more
            loop.call_soon_threadsafe(resolve, result, error)

    threading.Thread(target=run, name="disk", daemon=True).start()
    return await done
