"""An event loop whose clock jumps to the next timer, and processes of which each can stand still or end.

Nothing here waits, opens a socket or starts a thread: a run is decided by what it is started with.
"""

from __future__ import annotations

import asyncio
from asyncio import Handle, TimerHandle
from collections import deque
from collections.abc import Callable
from contextvars import Context, ContextVar, copy_context
from enum import Enum, auto
from heapq import heappop
from typing import Any, TypeVar, TypeVarTuple, Unpack

from brackenladder.simulation.errors import SimulationStalled
from brackenladder.simulation.turn_order import ReadyCallback, TurnOrder

MICROSECONDS = 1_000_000
CLOCK_RESOLUTION = 1e-7  # seconds; timers due within it run in one turn

T = TypeVar("T")
Arguments = TypeVarTuple("Arguments")


class ProcessState(Enum):
    """Whether a process gets the processor."""

    RUNNING = auto()
    FROZEN = auto()
    ENDED = auto()


class Process:
    """What runs on behalf of one start of one program.

    Callbacks, timers and tasks that come from `enter` belong to the process. While it is frozen they wait;
    once it has ended they never run.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.state = ProcessState.RUNNING
        self.freezes = 0  # how often the processor was taken away
        self._deferred: list[Callable[[], None]] = []
        self._context = copy_context()
        self._context.run(_current.set, self)

    @property
    def running(self) -> bool:
        """Whether it gets the processor now."""
        return self.state is ProcessState.RUNNING

    def run(self, call: Callable[..., T], *arguments: Any) -> T:
        """Calls something as this process."""
        return self._context.copy().run(call, *arguments)

    def when_running(self, call: Callable[[], None]) -> None:
        """Calls now, once the process is thawed, or never if it ends before."""
        if self.state is ProcessState.RUNNING:
            call()
        elif self.state is ProcessState.FROZEN:
            self._deferred.append(call)

    def freeze(self) -> None:
        """Takes the processor away."""
        if self.state is ProcessState.RUNNING:
            self.state = ProcessState.FROZEN
            self.freezes += 1

    def thaw(self) -> None:
        """Gives the processor back in the loop's next turn; what has waited runs first, in its order.

        Failure prevented: the caller's own task is being run, no other task can be entered from there, and
        all that has waited is lost.
        """
        if self.state is ProcessState.FROZEN:
            loop = asyncio.get_running_loop()
            loop.call_soon(self._resume, self.freezes, context=Context())

    def _resume(self, freeze: int) -> None:
        if self.state is not ProcessState.FROZEN or self.freezes != freeze:
            return
        self.state = ProcessState.RUNNING
        deferred, self._deferred = self._deferred, []
        for call in deferred:
            self.when_running(call)

    def end(self) -> None:
        """Nothing of it runs any more."""
        self.state = ProcessState.ENDED
        self._deferred.clear()


_current: ContextVar[Process | None] = ContextVar("process", default=None)


def current_process() -> Process | None:
    """The process on whose behalf the caller runs."""
    return _current.get()


class VirtualEventLoop(asyncio.BaseEventLoop):
    """An event loop without input and output; waiting for a timer takes no time."""

    _ready: deque[Handle]  # these three are the base class's
    _scheduled: list[TimerHandle]
    _timer_cancelled_count: int

    def __init__(self, turn_order: TurnOrder | None = None) -> None:
        """`turn_order`: turns begin late and run what is ready in a drawn order; None: they do not."""
        super().__init__()
        self.microseconds = 0  # the time
        self.turn_order = turn_order
        self.unhandled_exceptions: list[BaseException] = []  # that nobody has caught
        self.turns = 0  # passes over what is ready
        self._clock_resolution = CLOCK_RESOLUTION
        self._selector = _VirtualSelector(self)
        self._external_context = copy_context()
        self.set_exception_handler(self._record_exception)

    def time(self) -> float:
        """The virtual time in seconds."""
        return self.microseconds / MICROSECONDS

    def call_soon(
        self,
        callback: Callable[[Unpack[Arguments]], object],
        *args: *Arguments,
        context: Context | None = None,
    ) -> Handle:
        """See `asyncio.AbstractEventLoop`; as the process in whose context the callback runs."""
        if self.is_closed():
            return Handle(callback, args, self, context)  # tasks that are thrown away end in silence
        process = _current.get() if context is None else context.get(_current)
        if process is None:
            return super().call_soon(callback, *args, context=context)
        context = context or copy_context()
        wrapper = _ProcessCallback(process, callback, args, context)
        wrapper.handle = super().call_soon(wrapper.invoke, context=context)
        return wrapper.handle

    def call_at(
        self,
        when: float,
        callback: Callable[[Unpack[Arguments]], object],
        *args: *Arguments,
        context: Context | None = None,
    ) -> TimerHandle:
        """See `asyncio.AbstractEventLoop`; as the process in whose context the callback runs."""
        if self.is_closed():
            return TimerHandle(when, callback, args, self, context)
        process = _current.get() if context is None else context.get(_current)
        if process is None:
            return super().call_at(when, callback, *args, context=context)
        context = context or copy_context()
        wrapper = _ProcessCallback(process, callback, args, context)
        handle = super().call_at(when, wrapper.invoke, context=context)
        wrapper.handle = handle
        return handle

    def call_external(
        self, when: int, callback: Callable[[Unpack[Arguments]], object], *args: *Arguments
    ) -> None:
        """Calls at a time, in microseconds, on behalf of no process: networks and disks go on without one."""
        self.call_at(when / MICROSECONDS, callback, *args, context=self._external_context)

    def run_for(self, duration: int) -> None:
        """Lets `duration` microseconds pass."""
        self.call_later(duration / MICROSECONDS, self.stop)
        self.run_forever()

    def _record_exception(self, _loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Tasks of ended processes are dropped while they wait; any other fault is to fail the run.

        Failure prevented: raised from here, a fault would be printed by asyncio, and go unseen.
        """
        error = context.get("exception")
        if error is not None:
            self.unhandled_exceptions.append(error)

    def begin_turn(self, timeout: float) -> None:
        """Passes the time until the next turn, and arranges what is ready in it."""
        order = self.turn_order
        if timeout > 0:
            self.microseconds += max(1, round(timeout * MICROSECONDS))
        if order is None:
            return
        self.microseconds += order.delay()
        self._take_due_timers()
        arranged = order.arrange([_ready_callback(one) for one in self._ready if not one.cancelled()])
        self._ready.clear()
        self._ready.extend(arranged)

    def _take_due_timers(self) -> None:
        """As `BaseEventLoop` does after the wait: timers that are due are ready."""
        end = self.time() + self._clock_resolution
        while self._scheduled and (self._scheduled[0].cancelled() or self._scheduled[0].when() < end):
            handle = heappop(self._scheduled)
            handle._scheduled = False  # type: ignore[attr-defined]  # what the base class keeps
            if handle.cancelled():
                self._timer_cancelled_count -= 1
            else:
                self._ready.append(handle)

    def _process_events(self, event_list: object) -> None:
        """There are none."""

    def _write_to_self(self) -> None:
        """Nobody waits in another thread."""


class _ProcessCallback:
    """Runs a callback when its process has the processor, unless it was cancelled."""

    __slots__ = ("process", "callback", "arguments", "context", "handle")

    def __init__(
        self, process: Process, callback: Callable[..., object], arguments: tuple[Any, ...], context: Context
    ) -> None:
        self.process = process
        self.callback = callback
        self.arguments = arguments
        self.context = context
        self.handle: Handle | None = None

    def invoke(self) -> None:
        if self.process.state is ProcessState.RUNNING:
            self.callback(*self.arguments)
        else:
            self.process.when_running(self._invoke_late)

    def _invoke_late(self) -> None:
        if self.handle is None or not self.handle.cancelled():
            self.context.run(self.callback, *self.arguments)


class _VirtualSelector:
    """Lets the clock jump in place of a wait."""

    def __init__(self, loop: VirtualEventLoop) -> None:
        self._loop = loop

    def select(self, timeout: float | None) -> list[object]:
        self._loop.turns += 1
        if timeout is None:
            raise SimulationStalled("nothing is left to happen")
        self._loop.begin_turn(timeout)
        return []

    def close(self) -> None:
        """Nothing is open."""


def _ready_callback(handle: Handle) -> ReadyCallback:
    callback = handle._callback  # type: ignore[attr-defined]  # asyncio shows it to nobody
    arguments = tuple(handle._args)
    is_timer = isinstance(handle, TimerHandle)
    wrapper = getattr(callback, "__self__", None)
    if isinstance(wrapper, _ProcessCallback):
        return ReadyCallback(handle, wrapper.process, wrapper.callback, wrapper.arguments, is_timer)
    return ReadyCallback(handle, None, callback, arguments, is_timer)
