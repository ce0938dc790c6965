"""Checks a run from what clients sent and received and what servers received."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from typing import Protocol

from brackenladder.gateway.connections import CONNECT_TIMEOUT_SECONDS
from brackenladder.simulation.errors import Violation
from brackenladder.simulation.exchange.behaviour import encode_event
from brackenladder.simulation.exchange.history import History, Request, RequestOutcome, Run
from brackenladder.simulation.exchange.site import HOMED, MISDIRECTED, NOT_RUN_STATUSES, SECOND, ZONES

SLACK = 500_000  # microseconds past a limit that the deployment's rules allow
STREAM_SLACK = 800_000  # SLACK for streams, which may go on for 0.25 s after the client's deadline
DEADLINE_SLACK_MS = 500
CONFIG_SLACK = 200_000  # microseconds within which a connected gateway applies an update
# Microseconds in which a gateway connects to a server to see whether it still listens.
CONNECT_TIME = int(CONNECT_TIMEOUT_SECONDS * SECOND)


class Undisturbed(Protocol):
    """Tells whether a gateway, and a server, were free of faults between two moments."""

    def __call__(self, gateway: int, begin: int, end: int, server: str = "") -> bool:
        """`server`: the server's id, or empty to consider the gateway only."""


def check_history(history: History, undisturbed: Undisturbed) -> None:
    """Raises `Violation` for the first broken rule."""
    runs: dict[str, list[Run]] = defaultdict(list)
    for run in history.runs:
        runs[run.request_id].append(run)
        if run.request_id not in history.requests:
            raise Violation("unasked", f"{run.server} runs {run.request_id!r}, which no client sent")
        _check_run(history, history.requests[run.request_id], run, undisturbed)
    by_signature = {run.signature: run for run in history.runs}
    for request in history.requests.values():
        own = runs[request.id]
        _check_runs(history, request, own, undisturbed)
        _check_refusals(request, own)
        latest = [run for run in own if run.arrived_at >= request.started_at]  # those of its latest try
        _check_end(request, latest, undisturbed)
        if request.outcome is RequestOutcome.ANSWERED:
            _check_answer(request, own, by_signature)
        _check_resumption(history, request, own, undisturbed)


def _check_run(history: History, request: Request, run: Run, undisturbed: Undisturbed) -> None:
    """A server must receive the request as its client sent it, and must be allowed to receive it."""
    if (run.method, run.target) != (request.method, request.target):
        raise Violation("unasked", f"{request.id} runs as {run.method} {run.target}")
    if not request.body.startswith(run.body) or (not run.early and len(run.body) != len(request.body)):
        raise Violation("unasked", f"{request.id} runs with {len(run.body)} other bytes at {run.server}")
    if not run.executed:
        return
    if run.service != request.route.service:
        raise Violation("route", f"{request.id} runs at {run.server} of {run.service}")
    left = request.deadline_ms - (run.arrived_at - request.started_at) / 1000
    exceeds_remaining = run.deadline_ms > max(0.0, left) + DEADLINE_SLACK_MS
    if exceeds_remaining and undisturbed(request.gateway, request.started_at, run.arrived_at, run.server):
        detail = f"{run.server} is told {run.deadline_ms} ms of {request.id}, {left:.0f} are left"
        raise Violation("deadline", detail)
    if request.route.name == HOMED and undisturbed(
        request.gateway, request.started_at - CONFIG_SLACK, run.arrived_at
    ):
        allowed = history.in_force(request.started_at - CONFIG_SLACK, run.arrived_at)
        if all(configuration.homes and run.region not in configuration.homes for configuration in allowed):
            raise Violation("home", f"{request.id} runs at {run.server} in {run.region}, homes {allowed}")


def _check_runs(history: History, request: Request, runs: list[Run], undisturbed: Undisturbed) -> None:
    executed = [run for run in runs if run.executed]
    if len(executed) > 1 and not request.route.idempotent:
        raise Violation("twice", f"{request.id} of {request.route.name} runs {len(executed)} times")
    servers = {run.server for run in executed}
    if executed:
        configurations = history.in_force(request.started_at - CONFIG_SLACK, executed[-1].arrived_at)
        most = max(configuration.attempts_of(request.route) for configuration in configurations)
        if len(servers) > most and undisturbed(request.gateway, request.started_at, executed[-1].arrived_at):
            raise Violation("attempts", f"{request.id} runs at {sorted(servers)}, {most} are allowed")


def _check_resumption(history: History, request: Request, runs: list[Run], undisturbed: Undisturbed) -> None:
    """A stream is resumed only where a configuration in force from its start to the resumption allows it."""
    resumptions = [run.arrived_at for run in runs if run.executed and run.after_event]
    if not resumptions or not undisturbed(request.gateway, request.started_at, resumptions[-1]):
        return
    allowed = history.in_force(request.started_at - CONFIG_SLACK, resumptions[-1])
    if not any(configuration.resumes(request.route) for configuration in allowed):
        raise Violation("twice", f"{request.id} is resumed, which no configuration in force allows")


def _check_refusals(request: Request, runs: list[Run]) -> None:
    """A try that was refused must not have run before its client sent the request again.

    The promise binds the gateway for all requests, also for those that may run more than once.
    """
    for refusal in request.refusals:
        for run in runs:
            if run.executed and run.arrived_at < refusal.retried_at:
                detail = f"{request.id} got {refusal.status} for a try that ran at {run.server}"
                raise Violation("refused", detail)


def _check_answer(request: Request, runs: list[Run], by_signature: dict[str, Run]) -> None:
    executed = [run for run in runs if run.executed]
    if request.status in NOT_RUN_STATUSES and executed:
        raise Violation("refused", f"{request.id} gets {request.status}, and ran at {executed[0].server}")
    if not request.signature:
        if 200 <= request.status < 300:
            raise Violation("mixed", f"{request.id} gets a success that no server made")
        return
    run = by_signature.get(request.signature)
    if run is None or run not in runs:
        raise Violation(
            "mixed", f"{request.id} gets {request.signature}, which is of {run and run.request_id}"
        )
    if run.status != request.status:
        raise Violation("mixed", f"{request.id} gets {request.status}, {run.server} said {run.status}")
    if not 200 <= request.status < 300:
        return
    if request.route.streaming:
        _check_stream(request, run, runs)
    elif _may_end_early(run) and run.answer.startswith(request.answer):
        return
    elif request.answer != run.answer or run.cut:
        raise Violation(
            "mixed", f"{request.id} gets {len(request.answer)} of {len(run.answer)} bytes as whole"
        )


def _may_end_early(run: Run) -> bool:
    """Whether a part of the answer may look complete: a server ended without stating a length.

    A gateway can't tell the end of a server that leaves from that of one that has closed its listener and
    then finished, and it finds no sign of the end of one whose next incarnation listens at once.
    """
    replaced_at_once = 0 < run.replaced_at < run.ended_at + CONNECT_TIME
    return run.unframed and run.crashed and (run.leaving or replaced_at_once)


def _check_stream(request: Request, first: Run, runs: list[Run]) -> None:
    """Each event must come once and in order. Only a resumable stream may be continued by another run."""
    rest = request.answer
    current = first
    for number in range(1, request.event_count + 1):
        sources = [run for run in runs if rest.startswith(encode_event(run, number, request.event_count))]
        if not sources and not rest and _may_end_early(current):
            return
        if not sources:
            raise Violation(
                "order", f"{request.id} has no piece {number} of {request.event_count} at {rest[:60]!r}"
            )
        source = current if current in sources else sources[0]
        if source is not current and not request.route.resumable:
            raise Violation("order", f"{request.id} joins {current.signature} and {source.signature}")
        current = source
        rest = rest[len(encode_event(source, number, request.event_count)) :]
    if rest:
        raise Violation("order", f"{request.id} gets {rest[:60]!r} behind its last piece")


def _check_end(request: Request, runs: list[Run], undisturbed: Undisturbed) -> None:
    """A completely sent request must be answered in time unless a fault or a limit excuses it."""
    if not request.sent_at or request.excused or request.outcome is RequestOutcome.GIVEN_UP:
        return
    if not undisturbed(request.gateway, request.started_at, request.ended_at):
        return
    if request.queued_behind is not None and not 0 < request.queued_behind.ended_at < request.ended_at:
        return  # the request before it on its connection is still being answered
    if request.outcome is RequestOutcome.UNANSWERED:
        raise Violation(
            "unanswered", f"{request.id} of {request.route.name}, sent at {request.sent_at / 1e6:.3f} s"
        )
    limit_ms = min(request.deadline_ms, request.route.timeout_ms)
    due_at = request.started_at + limit_ms * 1000
    if request.queued_behind is not None:
        due_at = max(due_at, request.queued_behind.ended_at)
    late_by = request.ended_at - due_at
    if request.outcome is RequestOutcome.ANSWERED and not request.route.streaming and late_by > SLACK:
        raise Violation("late", f"{request.id} is answered {late_by / 1000:.0f} ms after its limit")
    if request.outcome is RequestOutcome.CLOSED and runs:
        raise Violation("lost", f"{request.id} was sent on, and its connection ends without an answer")
    if request.outcome is RequestOutcome.BROKEN and not _may_break(request, runs):
        raise Violation(
            "lost", f"{request.id} is broken off at {request.ended_at / 1e6:.3f} s, its servers went on"
        )


def _may_break(request: Request, runs: list[Run]) -> bool:
    """Whether an answer may break off: a server has broken it off, or a time limit has passed."""
    at_deadline = request.ended_at >= request.started_at + request.deadline_ms * 1000
    # 2 s is the shortest time after which a gateway gives up a silent stream.
    silent = request.ended_at >= request.started_at + 2_000_000
    return (
        at_deadline
        or (request.route.streaming and silent)
        or any(run.cut or run.crashed or not run.complete for run in runs)
    )


class LiveChecks:
    """Checks made during a run: when a request arrives at a server, and after a client has left."""

    def __init__(self, history: History, now: Callable[[], int], undisturbed: Undisturbed) -> None:
        self.failure: Violation | None = None
        self._history = history
        self._now = now
        self._undisturbed = undisturbed
        self._seen = 0
        self._closed: dict[str, int] = {}  # by server: when it had to stop getting requests
        self._evacuated: dict[str, int] = {}  # by zone: when its evacuation began

    def fail(self, rule: str, detail: str) -> None:
        """Records a violation unless one was recorded before."""
        if self.failure is None:
            self.failure = Violation(rule, f"at {self._now() / 1e6:.3f} s: {detail}")

    def server_closed(self, server: str) -> None:
        """Handles the moment at which gateways are told that a server drains or is gone."""
        self._closed.setdefault(server, self._now())

    def zone_evacuated(self, zone: str) -> None:
        """Handles the moment at which gateways are told that a zone is evacuated."""
        assert zone in ZONES
        self._evacuated.setdefault(zone, self._now())

    def zone_restored(self, zone: str) -> None:
        """Handles the end of the evacuation of a zone."""
        self._evacuated.pop(zone, None)

    def check(self) -> None:
        """Checks the runs that have begun since the last call. Called every few milliseconds."""
        new, self._seen = self._history.runs[self._seen :], len(self._history.runs)
        for run in new:
            self._check(run, self._closed.get(run.server), "drain")
            self._check(run, self._evacuated.get(run.zone), "evacuated")

    def _check(self, run: Run, since: int | None, rule: str) -> None:
        if run.status == MISDIRECTED and not run.executed:  # meant for the server that was there before
            return
        if since is None or run.arrived_at <= since + CONFIG_SLACK:
            return
        if self._undisturbed(run.gateway, since - CONFIG_SLACK, run.arrived_at, run.server):
            late = (run.arrived_at - since) // 1000
            self.fail(rule, f"{run.server} in {run.zone} gets {run.request_id} {late} ms after it was closed")

    def client_left(self, request: Request) -> None:
        """Checks that no server still works on a request once SLACK has passed since its client left."""
        moment = request.ended_at + SLACK
        for run in self._history.runs_of(request.id):
            works = not run.ended_at or run.arrived_at > moment
            if works and self._undisturbed(request.gateway, request.ended_at, self._now(), run.server):
                detail = f"{run.server} works on {request.id}, whose client left at {request.ended_at}"
                self.fail("gone", detail)
