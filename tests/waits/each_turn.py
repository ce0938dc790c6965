"""Plays a wait once for each turn in which its cancellation may come, before its end and after it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from random import Random

from attrs import frozen

from brackenladder.simulation.errors import SimulationStalled
from brackenladder.simulation.turn_order import TurnOrder
from brackenladder.simulation.virtual_loop import VirtualEventLoop

MOST_TURNS = 6  # between the cancellation and the wait's own end
LONGEST_TURN_DELAY = 20_000  # microseconds
ORDERS = 20  # seeds of the order of what is ready in a turn


class WaitLost(AssertionError):
    """A wait went on after its end, or after it was given up."""


@frozen
class Wait:
    """A wait that has not begun. `end` lets it end; `left_over` says what it has left behind, if anything."""

    begin: Callable[[], Awaitable[object]]
    end: Callable[[], None]
    left_over: Callable[[], str] = str


MakeWait = Callable[[], Awaitable[Wait]]


def play_each_turn(make: MakeWait) -> None:
    """Raises `WaitLost` unless the wait ends whenever it is cancelled, and says that it was cancelled."""
    for turns in range(-MOST_TURNS, MOST_TURNS + 1):
        _play(VirtualEventLoop(), make, turns)
        for seed in range(ORDERS):
            _play(VirtualEventLoop(TurnOrder(Random(seed), 0.5, LONGEST_TURN_DELAY)), make, turns)


def must_end(work: Callable[[], Coroutine[None, None, None]]) -> None:
    """Raises `WaitLost` if the work waits for something that never comes."""
    _run(VirtualEventLoop(), work())


def _play(loop: VirtualEventLoop, make: MakeWait, turns: int) -> None:
    """`turns`: from the cancellation until the wait's end; below 0: the end comes first."""
    _run(loop, _cancelled(make, turns))


def _run(loop: VirtualEventLoop, work: Coroutine[None, None, None]) -> None:
    try:
        loop.run_until_complete(work)
    except SimulationStalled:
        raise WaitLost("nothing is left to happen, and the wait goes on") from None
    finally:
        loop.set_exception_handler(lambda _loop, _context: None)
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_for(1)
        loop.close()


async def _cancelled(make: MakeWait, turns: int) -> None:
    wait = await make()
    others = asyncio.all_tasks()
    task = asyncio.ensure_future(wait.begin())
    for _ in range(4):
        await asyncio.sleep(0)
    if turns < 0:
        wait.end()
        await _pass(-turns)
        given_up = task.cancel()
    else:
        given_up = task.cancel()
        await _pass(turns)
        wait.end()
    await asyncio.wait([task])
    if task.cancelled() != given_up:
        raise WaitLost(f"cancelled in time: {given_up}, and it ended by {task} ({turns} turns)")
    await _pass(MOST_TURNS)
    left = [str(one) for one in asyncio.all_tasks() - others] + [wait.left_over()]
    if any(left):
        raise WaitLost(f"left behind: {left} ({turns} turns)")


async def _pass(turns: int) -> None:
    for _ in range(turns):
        await asyncio.sleep(0)
