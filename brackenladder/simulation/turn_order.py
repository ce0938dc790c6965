"""Busy turns: a turn of the event loop begins late, and runs what is ready in an order drawn from a seed.

A process that gets little of its core finds messages, ends of connections and timers of some milliseconds
due at once, and asyncio promises an order only among callbacks of one source. What rests on a luckier order,
such as a wait whose end and whose cancellation come in one turn, shows itself under any other.
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
    """What is known of a callback that is about to run. `process`: on whose behalf; None: the network's."""

    handle: Handle
    process: Hashable
    callback: Callable[..., object]
    arguments: tuple[Any, ...]
    is_timer: bool


class TurnOrder:
    """Draws how late turns begin, and the order of what is ready. Keeps the order within each source."""

    def __init__(self, random: Random, late_share: float, longest_delay: int) -> None:
        """`late_share`: of the turns; `longest_delay`: microseconds by which one of them begins late."""
        self._random = random
        self._late_share = late_share
        self._longest_delay = longest_delay

    def delay(self) -> int:
        """By how many microseconds the next turn begins late."""
        if self._random.random() >= self._late_share:
            return 0
        return self._random.randrange(1, self._longest_delay)

    def arrange(self, ready: Iterable[ReadyCallback]) -> list[Handle]:
        """The callbacks of one turn in the order in which they run."""
        sources: dict[Hashable, deque[Handle]] = {}
        for one in ready:
            sources.setdefault(_source(one), deque()).append(one.handle)
        waiting = list(sources.values())
        arranged: list[Handle] = []
        while waiting:
            index = self._random.randrange(len(waiting))
            arranged.append(waiting[index].popleft())
            if not waiting[index]:
                waiting[index] = waiting[-1]
                waiting.pop()
        return arranged


def _source(one: ReadyCallback) -> Hashable:
    """Callbacks of one source never pass one another: a link's, a task's, a process's timers, its others."""
    owner = getattr(one.callback, "__self__", None)
    if isinstance(owner, asyncio.Task):
        return owner
    if one.process is None:
        direction = getattr(one.arguments[0], "direction", one.arguments[0]) if one.arguments else None
        return (id(owner), direction if isinstance(direction, tuple) else None)
    return (one.process, one.is_timer)
