"""Delayed and reordered event loop turns, drawn from a seed.

In a process that gets little processor time, messages, closed connections and timers become due in the
same turn, and asyncio guarantees an order only among callbacks of the same source. Code that depends on a
luckier order fails here, for example a wait whose result and whose cancellation come in the same turn.
"""

from __future__ import annotations

import asyncio
from asyncio import Handle
from collections import deque
from collections.abc import Callable, Hashable, Iterable
from random import Random
from typing import Any

from attrs import frozen


@frozen
class ReadyCallback:
    """A callback that is about to run. `process` is None for callbacks of the network."""

    handle: Handle
    process: Hashable
    callback: Callable[..., object]
    arguments: tuple[Any, ...]
    is_timer: bool


class TurnOrder:
    """Draws the delay of turns and the order of ready callbacks. Callbacks of one source keep their order."""

    def __init__(self, random: Random, late_share: float, longest_delay: int) -> None:
        """`late_share`: fraction of late turns; `longest_delay`: upper bound of a delay in microseconds."""
        self._random = random
        self._late_share = late_share
        self._longest_delay = longest_delay

    def delay(self) -> int:
        """Returns the microseconds by which the next turn begins late."""
        if self._random.random() >= self._late_share:
            return 0
        return self._random.randrange(1, self._longest_delay)

    def arrange(self, ready: Iterable[ReadyCallback]) -> list[Handle]:
        """Returns the callbacks of one turn in the order in which they run."""
        sources: dict[Hashable, deque[Handle]] = {}
        for ready_callback in ready:
            sources.setdefault(_source(ready_callback), deque()).append(ready_callback.handle)
        waiting = list(sources.values())
        arranged: list[Handle] = []
        while waiting:
            index = self._random.randrange(len(waiting))
            arranged.append(waiting[index].popleft())
            if not waiting[index]:
                waiting[index] = waiting[-1]
                waiting.pop()
        return arranged


def _source(ready_callback: ReadyCallback) -> Hashable:
    """Returns the source of a callback: a task, a link direction, or a process's timers or other calls."""
    owner = getattr(ready_callback.callback, "__self__", None)
    if isinstance(owner, asyncio.Task):
        return owner
    if ready_callback.process is None:
        direction = (
            getattr(ready_callback.arguments[0], "direction", ready_callback.arguments[0])
            if ready_callback.arguments
            else None
        )
        return (id(owner), direction if isinstance(direction, tuple) else None)
    return (ready_callback.process, ready_callback.is_timer)
