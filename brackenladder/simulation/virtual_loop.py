"""An event loop whose clock jumps to the next timer, and processes that can be frozen and ended.

Nothing here blocks, opens a socket or starts a thread: the initial state alone determines a run.
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
CLOCK_RESOLUTION = 1e-7  # seconds; timers due within it run in the same turn

T = TypeVar("T")
Arguments = TypeVarTuple("Arguments")


class ProcessState(Enum):
    """Whether a process is running, frozen or ended."""

    RUNNING = auto()
    FROZEN = auto()
    ENDED = auto()


class Process:
    """A simulated process: everything that runs on behalf of one start of a program.

    Callbacks, timers and tasks created within `run` belong to the process. While it is frozen they wait;
    once it has ended they never run.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.state = ProcessState.RUNNING
        self.freezes = 0  # how often the process was frozen
        self._deferred: list[Callable[[], None]] = []
        self._context = copy_context()
        self._context.run(_current.set, self)

    @property
    def running(self) -> bool:
        """Whether the process is neither frozen nor ended."""
        return self.state is ProcessState.RUNNING

    def run(self, call: Callable[..., T], *arguments: Any) -> T:
        """Calls a function in the context of this process."""
        return self._context.copy().run(call, *arguments)

    def when_running(self, call: Callable[[], None]) -> None:
        """Calls at once if running, after the thaw if frozen, and never if the process has ended."""
        if self.state is ProcessState.RUNNING:
            call()
        elif self.state is ProcessState.FROZEN:
            self._deferred.append(call)

    def freeze(self) -> None:
        """Suspends the process: its callbacks and timers wait until `thaw`."""
        if self.state is ProcessState.RUNNING:
            self.state = ProcessState.FROZEN
            self.freezes += 1

    def thaw(self) -> None:
        """Resumes the process in the loop's next turn. Deferred calls run first, in their order.

        They must not run at once: the caller's own task is being run, no other task can be entered from
        there, and all deferred calls would be lost.
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
        """Ends the process; none of its callbacks runs any more."""
        self.state = ProcessState.ENDED
        self._deferred.clear()


_current: ContextVar[Process | None] = ContextVar("process", default=None)


def current_process() -> Process | None:
    """Returns the process in whose context the caller runs."""
    return _current.get()


class VirtualEventLoop(asyncio.BaseEventLoop):
    """An event loop without I/O in which waiting for a timer takes no real time."""

    _ready: deque[Handle]  # declares the types of three attributes of the base class
    _scheduled: list[TimerHandle]
    _timer_cancelled_count: int

    def __init__(self, turn_order: TurnOrder | None = None) -> None:
        """With a `turn_order`, turns begin late and run ready callbacks in a drawn order."""
        super().__init__()
        self.microseconds = 0  # the virtual time
        self.turn_order = turn_order
        self.unhandled_exceptions: list[BaseException] = []  # exceptions that no code has caught
        self.turns = 0  # number of loop iterations
        self._clock_resolution = CLOCK_RESOLUTION
        self._selector = _VirtualSelector(self)
        self._external_context = copy_context()
        self.set_exception_handler(self._record_exception)

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self.microseconds / MICROSECONDS

    def call_soon(
        self,
        callback: Callable[[Unpack[Arguments]], object],
        *args: *Arguments,
        context: Context | None = None,
    ) -> Handle:
        """See `asyncio.AbstractEventLoop`; the callback belongs to the process of its context."""
        if self.is_closed():
            return Handle(callback, args, self, context)  # the run is over: discard the call
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
        """Schedules the callback at virtual time `when`, in seconds.

        The callback belongs to the simulated process of `context`, or of the caller without one.
        """
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
        """Schedules a call outside any process, as networks and disks need it. `when` is in microseconds."""
        self.call_at(when / MICROSECONDS, callback, *args, context=self._external_context)

    def run_for(self, duration: int) -> None:
        """Runs the loop for `duration` microseconds."""
        self.call_later(duration / MICROSECONDS, self.stop)
        self.run_forever()

    def _record_exception(self, _loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Records an unhandled exception, so that the run fails.

        Tasks of ended processes are discarded while they wait, which is no error, whatever the futures that
        they wait for hold. An exception raised from here would only be printed by asyncio and not fail the
        run.
        """
        if "task" in context:
            _discard_result(context["task"])
        error = context.get("exception")
        if error is not None:
            self.unhandled_exceptions.append(error)

    def begin_turn(self, timeout: float) -> None:
        """Advances the clock to the next turn and orders its callbacks."""
        order = self.turn_order
        if timeout > 0:
            self.microseconds += max(1, round(timeout * MICROSECONDS))
        if order is None:
            return
        self.microseconds += order.delay()
        self._take_due_timers()
        handles = list(self._ready)
        self._ready.clear()
        arranged = order.arrange([_ready_callback(handle) for handle in handles if not handle.cancelled()])
        # Finalizers that the garbage collector ran meanwhile may have added callbacks; these come last.
        self._ready.extendleft(reversed(arranged))

    def _take_due_timers(self) -> None:
        """Moves due timers to the ready queue, as `BaseEventLoop` does after its select call."""
        end = self.time() + self._clock_resolution
        while self._scheduled and (self._scheduled[0].cancelled() or self._scheduled[0].when() < end):
            handle = heappop(self._scheduled)
            handle._scheduled = False  # type: ignore[attr-defined]  # state of the base class
            if handle.cancelled():
                self._timer_cancelled_count -= 1
            else:
                self._ready.append(handle)

    def _process_events(self, event_list: object) -> None:
        """Does nothing: there are no I/O events."""

    def _write_to_self(self) -> None:
        """Does nothing: no other thread wakes the loop."""


class _ProcessCallback:
    """Runs a callback unless it was cancelled, and defers it while its process is frozen."""

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
    """Advances the clock in place of waiting."""

    def __init__(self, loop: VirtualEventLoop) -> None:
        self._loop = loop

    def select(self, timeout: float | None) -> list[object]:
        self._loop.turns += 1
        if timeout is None:
            raise SimulationStalled("nothing is left to happen")
        self._loop.begin_turn(timeout)
        return []

    def close(self) -> None:
        """Does nothing."""


def _ready_callback(handle: Handle) -> ReadyCallback:
    callback = handle._callback  # type: ignore[attr-defined]  # not in the stubs
    arguments = tuple(handle._args)
    is_timer = isinstance(handle, TimerHandle)
    wrapper = getattr(callback, "__self__", None)
    if isinstance(wrapper, _ProcessCallback):
        return ReadyCallback(handle, wrapper.process, wrapper.callback, wrapper.arguments, is_timer)
    return ReadyCallback(handle, None, callback, arguments, is_timer)


def _discard_result(task: Any) -> None:
    """Marks the exception of the future that a discarded task waits for as retrieved."""
    waited_for = getattr(task, "_fut_waiter", None)
    if waited_for is not None and waited_for.done() and not waited_for.cancelled():
        waited_for.exception()
