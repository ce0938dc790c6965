"""Runs an awaitable once for each event loop turn, around its regular end, in which it may be cancelled."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from random import Random

from attrs import frozen

from brackenladder.simulation.errors import SimulationStalled
from brackenladder.simulation.turn_order import TurnOrder
from brackenladder.simulation.virtual_loop import VirtualEventLoop

MAX_TURNS = 6  # between the cancellation and the regular end
MAX_TURN_DELAY = 20_000  # microseconds
ORDER_SEEDS = 20  # seeds of the order in which ready callbacks run


class WaitNotEnded(AssertionError):
    """A wait did not end, or left something behind."""


@frozen
class Wait:
    """A wait that has not begun. `end` lets it end regularly; `left_over` describes what it left behind."""

    begin: Callable[[], Awaitable[object]]
    end: Callable[[], None]
    left_over: Callable[[], str] = str


MakeWait = Callable[[], Awaitable[Wait]]


def cancel_in_each_turn(make: MakeWait) -> None:
    """Raises `WaitNotEnded` unless the wait ends, cancelled, in whichever turn the cancellation comes."""
    for turns in range(-MAX_TURNS, MAX_TURNS + 1):
        _run_cancelled(VirtualEventLoop(), make, turns)
        for seed in range(ORDER_SEEDS):
            _run_cancelled(VirtualEventLoop(TurnOrder(Random(seed), 0.5, MAX_TURN_DELAY)), make, turns)


def run_to_end(work: Callable[[], Coroutine[None, None, None]]) -> None:
    """Raises `WaitNotEnded` if the work waits for something that never happens."""
    _run(VirtualEventLoop(), work())


def _run_cancelled(loop: VirtualEventLoop, make: MakeWait, turns: int) -> None:
    """`turns`: from the cancellation to the regular end; negative if the regular end comes first."""
    _run(loop, _cancel_after(make, turns))


def _run(loop: VirtualEventLoop, work: Coroutine[None, None, None]) -> None:
    try:
        loop.run_until_complete(work)
    except SimulationStalled:
        raise WaitNotEnded("nothing is left to happen, and the wait goes on") from None
    finally:
        loop.set_exception_handler(lambda _loop, _context: None)
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_for(1)
        loop.close()


async def _cancel_after(make: MakeWait, turns: int) -> None:
    wait = await make()
    others = asyncio.all_tasks()
    task = asyncio.ensure_future(wait.begin())
    for _ in range(4):
        await asyncio.sleep(0)
    if turns < 0:
        wait.end()
        await _wait_turns(-turns)
        given_up = task.cancel()
    else:
        given_up = task.cancel()
        await _wait_turns(turns)
        wait.end()
    await asyncio.wait([task])
    if task.cancelled() != given_up:
        raise WaitNotEnded(f"cancelled in time: {given_up}, and it ended by {task} ({turns} turns)")
    await _wait_turns(MAX_TURNS)
    left = [str(one) for one in asyncio.all_tasks() - others] + [wait.left_over()]
    if any(left):
        raise WaitNotEnded(f"left behind: {left} ({turns} turns)")


async def _wait_turns(turns: int) -> None:
    for _ in range(turns):
        await asyncio.sleep(0)
