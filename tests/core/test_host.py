"""The core alone: a front, an upstream and a module that do as the test says, and a clock that it moves."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

import pytest

from brackenladder.core.call import Call, Done, Failure, Probed
from brackenladder.core.clock import Clock
from brackenladder.core.host import GUARD, GUARD_STEP, Host
from brackenladder.interface import ClassSettings, Effect, ListKind, Outcome, Settings

SECOND = 1_000_000
SETTINGS = Settings(
    classes=[ClassSettings(Effect.UNSAFE, aim=SECOND, deadline=3 * SECOND, worth=1)],
    max_attempts=2,
    max_open=3,
)


class Timer:
    def __init__(self) -> None:
        self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True


class Loop:
    """Timers that run when the test says."""

    def __init__(self) -> None:
        self.timers: list[tuple[float, Callable[..., None], tuple[Any, ...], Timer]] = []

    def call_later(self, delay: float, action: Callable[..., None], *args: Any) -> Timer:
        timer = Timer()
        self.timers.append((delay, action, args, timer))
        return timer

    def fire(self) -> None:
        timers, self.timers = self.timers, []
        for _, action, args, timer in timers:
            if not timer.cancelled:
                action(*args)


class Attempt:
    def __init__(self, at_once: Outcome | None, done: Done) -> None:
        self.at_once = at_once
        self.done = done
        self.started: float | None = None
        self.over = False

    def start(self, timeout: float) -> None:
        self.started = timeout
        if self.at_once is not None:
            self.stop(self.at_once)

    def stop(self, outcome: Outcome, answer: object = None) -> None:
        if not self.over:
            self.over = True
            self.done(outcome, answer, (1.0,))


class Upstream:
    def __init__(self) -> None:
        self.ready = True
        self.at_once: Outcome | None = None
        self.attempts: list[Attempt] = []
        self.probes: list[Probed] = []
        self.closed: list[int] = []

    def attempt(self, server: int, call: Call, expires: int, done: Done) -> Attempt | None:
        if not self.ready:
            return None
        self.attempts.append(Attempt(self.at_once, done))
        return self.attempts[-1]

    def probe(self, server: int, done: Probed) -> None:
        self.probes.append(done)

    def close_idle(self, server: int) -> None:
        self.closed.append(server)


class Module:
    """Notes the events; `then` acts on them."""

    def __init__(self) -> None:
        self.events: list[tuple[Any, ...]] = []
        self.then: dict[str, Callable[..., None]] = {}

    def __getattr__(self, name: str) -> Callable[..., None]:
        if name.startswith("_"):
            raise AttributeError(name)

        def event(now: int, *args: Any) -> None:
            self.events.append((name, *args))
            if name in self.then:
                self.then[name](*args)

        event.__name__ = name
        setattr(self, name, event)  # the same each time it is asked for
        return event


class Told(Call):
    """A call that notes its conclusions."""

    def __init__(self, left: int = SECOND) -> None:
        super().__init__(0, 0, left, False)
        self.told: list[Any] = []

    def released(self) -> None:
        self.told.append("released")

    def served(self, answer: object) -> None:
        self.told.append(answer)

    def refused(self, retry_after: int) -> None:
        self.told.append(retry_after)

    def failed(self, why: Failure) -> None:
        self.told.append(why)


class Stage:
    def __init__(self) -> None:
        self.loop = Loop()
        self.upstream = Upstream()
        self.log: list[str] = []
        self.host = Host(SETTINGS, 1, self.loop, self.upstream, self.log.append, Clock())  # type: ignore[arg-type]
        self.module = Module()
        self.host.balancer = self.module  # type: ignore[assignment]

    def take(self, left: int = SECOND) -> Told:
        call = Told(left)
        self.host.take(call)
        return call

    def outcomes(self) -> list[tuple[Any, ...]]:
        """Attempt, outcome and whether it was final, of each that the module heard of."""
        return [(e[2], e[4], e[6]) for e in self.module.events if e[0] == "outcome"]


@pytest.fixture
def stage() -> Stage:
    return Stage()


def test_an_answer_goes_out_before_the_module_hears_of_it(stage: Stage) -> None:
    call = stage.take()
    seen: list[Any] = []
    stage.module.then["outcome"] = lambda *args: seen.extend(call.told)
    stage.host.send(call.id, 7, SECOND)
    stage.upstream.attempts[0].stop(Outcome.OK, "answer")
    assert seen == ["released", "answer"]
    assert stage.outcomes() == [(0, Outcome.OK, True)]
    assert not stage.host.calls


def test_a_call_is_concluded_once(stage: Stage) -> None:
    call = stage.take()
    stage.host.refuse(call.id, 5)
    stage.host.refuse(call.id, 6)
    stage.host.fail(call.id)
    stage.host.client_left(call)
    stage.loop.fire()
    assert call.told == ["released", 5]
    assert not stage.host.calls and not stage.log


def test_a_late_answer_meets_nobody(stage: Stage) -> None:
    call = stage.take()
    stage.host.send(call.id, 7, SECOND)
    stage.host.fail(call.id)
    assert stage.host.calls  # its attempt is still out
    stage.upstream.attempts[0].stop(Outcome.OK, "answer")
    assert call.told == ["released", Failure.GIVEN_UP]
    assert stage.outcomes() == [(0, Outcome.OK, True)] and not stage.host.calls


def test_the_attempts_of_a_call_are_numbered_and_bounded(stage: Stage) -> None:
    call = stage.take()
    for _ in range(3):
        stage.host.send(call.id, 7, SECOND)
        for attempt in stage.upstream.attempts:
            attempt.stop(Outcome.REJECTED)
    assert len(stage.upstream.attempts) == 2  # as many as the settings allow
    assert stage.outcomes() == [
        (0, Outcome.REJECTED, False),
        (1, Outcome.REJECTED, False),
        (2, Outcome.NOT_SENT, False),
    ]


def test_two_attempts_are_never_out_at_once(stage: Stage) -> None:
    call = stage.take()
    stage.host.send(call.id, 7, SECOND)
    stage.host.send(call.id, 8, SECOND)
    assert len(stage.upstream.attempts) == 1
    assert stage.outcomes() == [(1, Outcome.NOT_SENT, False)]


def test_nothing_is_sent_for_a_call_that_is_over_or_to_who_is_not_ready(stage: Stage) -> None:
    call = stage.take()
    stage.upstream.ready = False
    stage.host.send(call.id, 7, SECOND)
    stage.host.fail(call.id)
    stage.host.send(call.id, 7, SECOND)
    stage.host.send(99, 7, SECOND)
    assert [o[1] for o in stage.outcomes()] == [Outcome.NOT_SENT] * 3
    assert not stage.upstream.attempts


def test_an_attempt_may_end_as_it_starts(stage: Stage) -> None:
    call = stage.take()
    stage.upstream.at_once = Outcome.CONNECT_FAILED
    stage.host.send(call.id, 7, SECOND)
    assert call.current_attempt is None and stage.outcomes() == [(0, Outcome.CONNECT_FAILED, False)]


def test_an_attempt_has_no_more_time_than_its_call(stage: Stage) -> None:
    call = stage.take(left=SECOND // 2)
    stage.host.send(call.id, 7, 10 * SECOND)
    started = stage.upstream.attempts[0].started
    assert started is not None and 0 < started <= 0.5


def test_only_the_attempt_that_is_out_is_cancelled(stage: Stage) -> None:
    call = stage.take()
    stage.host.send(call.id, 7, SECOND)
    stage.upstream.attempts[0].stop(Outcome.REJECTED)
    stage.host.send(call.id, 8, SECOND)
    stage.host.cancel(call.id, 0)
    assert not stage.upstream.attempts[1].over
    stage.host.cancel(call.id, 1)
    assert stage.outcomes()[-1] == (1, Outcome.CANCELLED, False)


def test_the_guard_fails_what_the_module_leaves_open(stage: Stage) -> None:
    call = stage.take()
    ((delay, *_),) = stage.loop.timers
    assert (SECOND + GUARD) / 1e6 <= delay <= (SECOND + GUARD + GUARD_STEP) / 1e6
    stage.loop.fire()
    assert call.told == ["released", Failure.EXPIRED]
    assert stage.host.expired_count == 1 and stage.module.events[-1] == ("client_left", call.id)


def test_a_client_that_leaves_is_owed_nothing(stage: Stage) -> None:
    call = stage.take()
    stage.host.send(call.id, 7, SECOND)
    stage.host.client_left(call)
    assert call.told == ["released"] and stage.module.events[-1] == ("client_left", call.id)
    stage.upstream.attempts[0].stop(Outcome.OK, "answer")
    assert call.told == ["released"] and not stage.host.calls


@pytest.mark.parametrize("event", ["request", "outcome"])
def test_a_fault_of_the_module_fails_its_call_alone(stage: Stage, event: str) -> None:
    other = stage.take()

    def fault(*args: Any) -> None:
        raise RuntimeError("oops")

    stage.module.then[event] = fault
    call = stage.take()
    if event == "outcome":
        stage.host.send(call.id, 7, SECOND)
        stage.upstream.attempts[0].stop(Outcome.RESET)
    assert call.told == ["released", Failure.FAULT] and other.told == []
    assert stage.log == [f"{event}: RuntimeError: oops"]


def test_events_that_an_event_brings_about_wait_for_its_end(stage: Stage) -> None:
    """Failure prevented: the module is entered again while it works on an event."""
    order: list[str] = []

    def request(number: int, *args: Any) -> None:
        stage.host.send(number, 7, SECOND)
        order.append("request ends")

    stage.upstream.ready = False
    stage.module.then["request"] = request
    stage.module.then["outcome"] = lambda *args: order.append("outcome")
    stage.take()
    assert order == ["request ends", "outcome"]


def test_after_sigterm_calls_have_the_time_that_is_left(stage: Stage) -> None:
    stage.host.conclude_by = stage.host.now() + SECOND // 10
    stage.take()
    left = stage.module.events[-1][4]
    assert 0 <= left <= SECOND // 10


def test_the_room_for_calls(stage: Stage) -> None:
    calls = []
    for _ in range(3):
        assert not stage.host.full()
        calls.append(stage.take())
    assert stage.host.full()
    stage.host.fail(calls[0].id)
    assert not stage.host.full()


def test_probes_lists_and_messages_are_passed_on(stage: Stage) -> None:
    stage.host.probe(7)
    report: Sequence[float] = (2.0,)
    stage.upstream.probes[0](True, report)
    name, server, ok, latency, values = stage.module.events[-1]
    assert (name, server, ok, values) == ("probed", 7, True, report) and latency >= 0
    stage.host.server_list(ListKind.FAILED, ())
    stage.host.peer_message(2, b"x")
    stage.host.close(7)
    assert stage.module.events[-2:] == [("server_list", ListKind.FAILED, ()), ("peer_message", 2, b"x")]
    assert stage.upstream.closed == [7]


def test_the_core_names_no_protocol() -> None:
    """The seam: no header, status, method or msgid, and nothing of the packages that have them."""
    from pathlib import Path

    import brackenladder.core

    for path in Path(brackenladder.core.__file__).parent.glob("*.py"):
        text = path.read_text().lower()
        for word in (
            "http",
            "header",
            "msgid",
            "status",
            "msgpack",
            "brackenladder.discovery",
            "brackenladder.peers",
            "brackenladder.rpc",
        ):
            assert word not in text, (path.name, word)
