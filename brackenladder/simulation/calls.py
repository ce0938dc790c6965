"""Calls of operators and servers to a control node: held up by cuts, lost on the way, given up by callers.

The caller's bytes and the end of its connection travel one behind the other, as over TCP: what a cut has
held up reaches the node when the cut ends, however long the caller has been gone.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Generic, TypeVar

from attrs import field, frozen, mutable

from brackenladder.control_plane.control_node import ControlNode
from brackenladder.simulation.machines import ControlMachine
from brackenladder.simulation.network import SimulatedNetwork
from brackenladder.transport.memory_link import Event

Answer = TypeVar("Answer")
Work = Callable[[ControlNode], Awaitable[Answer]]


@mutable(eq=False)
class Call(Generic[Answer]):
    """One call on a connection of its own."""

    network: SimulatedNetwork
    caller: str
    machine: ControlMachine
    work: Work[Answer]
    answer: asyncio.Future[Answer]
    answer_lost: bool = False
    answered_at: int = 0  # when the node gave its answer
    _task: asyncio.Task[None] | None = field(default=None, init=False)
    _gone: bool = field(default=False, init=False)

    def arrive(self) -> None:
        """The request is at the node."""
        node = self.machine.node
        if node is not None and not self._gone:
            self._task = asyncio.get_running_loop().create_task(self._serve(node))

    def hang_up(self) -> None:
        """The node hears that the caller has closed the connection."""
        self._gone = True
        if self._task is not None:
            self._task.cancel()

    async def _serve(self, node: ControlNode) -> None:
        answer = await self.work(node)
        self.answered_at = self.network.loop.microseconds
        if not self.answer_lost:
            self.network.queue(_Answered(self.machine.name, self.caller, self.answer, answer))


@frozen(eq=False)
class _Arrival(Event):
    call: Call[Any]
    size: int

    def happen(self) -> None:
        self.call.arrive()


@frozen(eq=False)
class _HangUp(Event):
    call: Call[Any]

    def happen(self) -> None:
        self.call.hang_up()


@frozen(eq=False)
class _Answered(Event):
    waiting: asyncio.Future[Any]
    answer: object

    def happen(self) -> None:
        if not self.waiting.done():
            self.waiting.set_result(self.answer)


async def make_call(call: Call[Answer], size: int, patience: float) -> Answer | None:
    """The answer; None if there is none within `patience` seconds, and the caller closes the connection."""
    network = call.network
    network.queue(_Arrival(call.caller, call.machine.name, call, size))
    try:
        async with asyncio.timeout(patience):
            return await call.answer
    except TimeoutError:
        return None
    finally:
        network.queue(_HangUp(call.caller, call.machine.name, call))
