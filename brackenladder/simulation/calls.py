"""Calls from operators and servers to a control node, which may be delayed, lost or abandoned.

A call's request and the close of its connection arrive in order, as over TCP: what a network cut delays
reaches the node when the cut ends, even if the caller has closed the connection long before. The close may
be sent long after the caller has given up.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Generic, TypeVar

from attrs import field, frozen, mutable

from brackenladder.control_plane.control_node import ControlNode
from brackenladder.control_plane.orders import CALL_SECONDS, SLOWEST_BYTES_PER_SECOND
from brackenladder.simulation.caller_connections import CallerConnection
from brackenladder.simulation.machines import ControlMachine
from brackenladder.simulation.network import SimulatedNetwork
from brackenladder.simulation.virtual_loop import MICROSECONDS, Process
from brackenladder.transport.memory_link import Event

HELD_CALL_TOLERANCE = 250_000  # microseconds from a caller's hang-up until its call must have ended

Answer = TypeVar("Answer")
Work = Callable[[ControlNode], Awaitable[Answer]]


@mutable(eq=False)
class Call(Generic[Answer]):
    """One call; without a `connection`, on one of its own that is not simulated."""

    network: SimulatedNetwork
    caller: str
    machine: ControlMachine
    work: Work[Answer]
    answer: asyncio.Future[Answer]
    size: int = 0  # bytes of the request
    answer_lost: bool = False
    answered_at: int = 0  # time at which the node decided on its answer
    connection: CallerConnection | None = None
    _task: asyncio.Task[None] | None = field(default=None, init=False)
    _process: Process | None = field(default=None, init=False)  # the process that serves the call
    _caller_gone: bool = field(default=False, init=False)

    @property
    def fence(self) -> int:
        """The fence of the request (see `control_plane.fences`)."""
        return 0 if self.connection is None else self.connection.fence

    def arrive(self) -> None:
        """Handles the arrival of the request at the node."""
        connection = self.connection
        if connection is None:
            self._begin()
        elif connection.usable:
            connection.when_accepted(self._begin)

    def _begin(self) -> None:
        node, connection = self.machine.node, self.connection
        if connection is not None:
            if not connection.exists:
                return
            connection.idle = False
        if node is not None and not self._caller_gone:
            self._process = self.machine.process
            self._task = asyncio.get_running_loop().create_task(self._serve(node))
            limit = CALL_SECONDS + self.size / SLOWEST_BYTES_PER_SECOND
            self._check_ended(self._task, int(limit * MICROSECONDS) + HELD_CALL_TOLERANCE, "its time limit")

    def hang_up(self) -> None:
        """Handles the arrival of the caller's close at the node, which cancels the call."""
        if self.connection is None:
            self._end()
        else:
            self.connection.read_later(self._end)

    def _end(self) -> None:
        self._caller_gone = True
        if self.connection is not None:
            self.connection.drop()
        if self._task is not None and not self._task.done():
            self._task.cancel()
            self._check_ended(self._task, HELD_CALL_TOLERANCE, "its caller hung up")

    def _check_ended(self, task: asyncio.Task[None], wait: int, since: str) -> None:
        """Reports a call that the node still serves after `wait` microseconds, unless the node was frozen."""
        process = self._process
        assert process is not None  # arrive() has set it
        freezes = process.freezes

        def check() -> None:
            if process.running and process.freezes == freezes and not task.done():
                self.network.report_held_call(
                    f"{self.machine.name} holds a call of {self.caller} after {since}"
                )

        loop = self.network.loop
        loop.call_external(loop.microseconds + wait, check)

    async def _serve(self, node: ControlNode) -> None:
        answer = await self.work(node)
        self.answered_at = self.network.loop.microseconds
        if self.connection is not None:
            self.connection.response_written()
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


async def make_call(
    call: Call[Answer],
    size: int,
    timeout_seconds: float,
    keeps_connection: bool = False,
    close_delay_seconds: float = 0.0,
) -> Answer | None:
    """Returns the answer, or None after `timeout_seconds`.

    Closes the connection in both cases; with `keeps_connection` only after a timeout, `close_delay_seconds`
    later.
    """
    network = call.network
    call.size = size
    network.queue(_Arrival(call.caller, call.machine.name, call, size))
    hang_up = _HangUp(call.caller, call.machine.name, call)
    try:
        async with asyncio.timeout(timeout_seconds):
            answer = await call.answer
    except TimeoutError:
        asyncio.get_running_loop().call_later(close_delay_seconds, network.queue, hang_up)
        return None
    if not keeps_connection:
        network.queue(hang_up)
    return answer
