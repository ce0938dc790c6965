"""Unit tests of the core, with a frontend, an upstream and a balancer that are controlled by the test."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

import pytest

from brackenladder.core.call import Call, Done, Failure, Probed
from brackenladder.core.clock import Clock
from brackenladder.core.host import EXPIRY_DELAY, EXPIRY_STEP, Host
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
    """An event loop whose timers run when the test calls `fire`."""

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
    """Records the events; `then` has functions that react to them."""

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
        setattr(self, name, event)  # so that each access returns the same function
        return event


class RecordingCall(Call):
    """A call that records its conclusions."""

    def __init__(self, left: int = SECOND) -> None:
        super().__init__(0, 0, left, False)
        self.conclusions: list[Any] = []

    def released(self) -> None:
        self.conclusions.append("released")

    def served(self, answer: object) -> None:
        self.conclusions.append(answer)

    def refused(self, retry_after: int) -> None:
        self.conclusions.append(retry_after)

    def failed(self, why: Failure) -> None:
        self.conclusions.append(why)


class Stage:
    def __init__(self) -> None:
        self.loop = Loop()
        self.upstream = Upstream()
        self.log: list[str] = []
        self.host = Host(SETTINGS, 1, self.loop, self.upstream, self.log.append, Clock())  # type: ignore[arg-type]
        self.module = Module()
        self.host.balancer = self.module  # type: ignore[assignment]

    def take(self, left: int = SECOND) -> RecordingCall:
        call = RecordingCall(left)
        self.host.take(call)
        return call

    def outcomes(self) -> list[tuple[Any, ...]]:
        """Attempt, outcome and finality of each outcome that the balancer received."""
        return [(e[2], e[4], e[6]) for e in self.module.events if e[0] == "outcome"]


@pytest.fixture
def stage() -> Stage:
    return Stage()


def test_an_answer_is_passed_on_before_the_balancer_gets_the_outcome(stage: Stage) -> None:
    call = stage.take()
    seen: list[Any] = []
    stage.module.then["outcome"] = lambda *args: seen.extend(call.conclusions)
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
    assert call.conclusions == ["released", 5]
    assert not stage.host.calls and not stage.log


def test_a_late_answer_is_ignored(stage: Stage) -> None:
    call = stage.take()
    stage.host.send(call.id, 7, SECOND)
    stage.host.fail(call.id)
    assert stage.host.calls  # its attempt is still in flight
    stage.upstream.attempts[0].stop(Outcome.OK, "answer")
    assert call.conclusions == ["released", Failure.GIVEN_UP]
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


def test_there_is_at_most_one_attempt_in_flight(stage: Stage) -> None:
    call = stage.take()
    stage.host.send(call.id, 7, SECOND)
    stage.host.send(call.id, 8, SECOND)
    assert len(stage.upstream.attempts) == 1
    assert stage.outcomes() == [(1, Outcome.NOT_SENT, False)]


def test_nothing_is_sent_for_an_ended_call_or_to_an_unusable_server(stage: Stage) -> None:
    call = stage.take()
    stage.upstream.ready = False
    stage.host.send(call.id, 7, SECOND)
    stage.host.fail(call.id)
    stage.host.send(call.id, 7, SECOND)
    stage.host.send(99, 7, SECOND)
    assert [o[1] for o in stage.outcomes()] == [Outcome.NOT_SENT] * 3
    assert not stage.upstream.attempts


def test_an_attempt_may_end_while_it_starts(stage: Stage) -> None:
    call = stage.take()
    stage.upstream.at_once = Outcome.CONNECT_FAILED
    stage.host.send(call.id, 7, SECOND)
    assert call.current_attempt is None and stage.outcomes() == [(0, Outcome.CONNECT_FAILED, False)]


def test_an_attempt_has_no_more_time_than_its_call(stage: Stage) -> None:
    call = stage.take(left=SECOND // 2)
    stage.host.send(call.id, 7, 10 * SECOND)
    started = stage.upstream.attempts[0].started
    assert started is not None and 0 < started <= 0.5


def test_only_the_attempt_in_flight_is_cancelled(stage: Stage) -> None:
    call = stage.take()
    stage.host.send(call.id, 7, SECOND)
    stage.upstream.attempts[0].stop(Outcome.REJECTED)
    stage.host.send(call.id, 8, SECOND)
    stage.host.cancel(call.id, 0)
    assert not stage.upstream.attempts[1].over
    stage.host.cancel(call.id, 1)
    assert stage.outcomes()[-1] == (1, Outcome.CANCELLED, False)


def test_calls_left_open_by_the_balancer_fail_after_their_deadline(stage: Stage) -> None:
    call = stage.take()
    ((delay, *_),) = stage.loop.timers
    assert (SECOND + EXPIRY_DELAY) / 1e6 <= delay <= (SECOND + EXPIRY_DELAY + EXPIRY_STEP) / 1e6
    stage.loop.fire()
    assert call.conclusions == ["released", Failure.EXPIRED]
    assert stage.host.expired_count == 1 and stage.module.events[-1] == ("client_left", call.id)


def test_the_call_of_a_client_that_left_ends_without_a_conclusion(stage: Stage) -> None:
    call = stage.take()
    stage.host.send(call.id, 7, SECOND)
    stage.host.client_left(call)
    assert call.conclusions == ["released"] and stage.module.events[-1] == ("client_left", call.id)
    stage.upstream.attempts[0].stop(Outcome.OK, "answer")
    assert call.conclusions == ["released"] and not stage.host.calls


@pytest.mark.parametrize("event", ["request", "outcome"])
def test_an_error_in_the_balancer_fails_only_its_call(stage: Stage, event: str) -> None:
    other = stage.take()

    def fault(*args: Any) -> None:
        raise RuntimeError("oops")

    stage.module.then[event] = fault
    call = stage.take()
    if event == "outcome":
        stage.host.send(call.id, 7, SECOND)
        stage.upstream.attempts[0].stop(Outcome.RESET)
    assert call.conclusions == ["released", Failure.FAULT] and other.conclusions == []
    assert stage.log == [f"{event}: RuntimeError: oops"]


def test_events_caused_by_an_event_are_handled_after_it(stage: Stage) -> None:
    """Failure prevented: the balancer is called again while it handles an event."""
    order: list[str] = []

    def request(number: int, *args: Any) -> None:
        stage.host.send(number, 7, SECOND)
        order.append("request ends")

    stage.upstream.ready = False
    stage.module.then["request"] = request
    stage.module.then["outcome"] = lambda *args: order.append("outcome")
    stage.take()
    assert order == ["request ends", "outcome"]


def test_during_a_shutdown_calls_get_only_the_remaining_time(stage: Stage) -> None:
    stage.host.conclude_by = stage.host.now() + SECOND // 10
    stage.take()
    left = stage.module.events[-1][4]
    assert 0 <= left <= SECOND // 10


def test_the_number_of_open_calls_is_bounded(stage: Stage) -> None:
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


def test_the_core_is_independent_of_protocols() -> None:
    """The core has no protocol terms and does not import the packages of the protocols."""
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
