"""Records what each promise that a request has not run rests on, for metrics and for one log line each."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from enum import Enum

import logbook
from attrs import frozen

from brackenladder.interface import Outcome

LINES_PER_SECOND = 20  # log lines at most; further promises are only counted
MICROSECONDS_PER_SECOND = 1_000_000

log = logbook.Logger("promises")


class Basis(Enum):
    """What a promise that a request has not run rests on."""

    NO_ATTEMPT = "no-attempt"
    NOT_WRITTEN = "not-written"  # attempts were made, but none wrote the whole request to a server
    REJECTED = "rejected"  # each server that got the request said that it did not run it


@frozen
class AttemptRecord:
    """An ended attempt, and the evidence in the server's response."""

    server_id: str
    outcome: Outcome
    written: bool = False
    status: int = 0  # of the server's response; 0: none was read
    not_executed: bool = False  # the response has `X-Brackenladder-Not-Executed`
    id_repeated: bool = False  # the connection had carried an earlier request with the same id

    @property
    def rejected(self) -> bool:
        """Whether the outcome rests on the server's word that it did not run the request."""
        return self.outcome == Outcome.REJECTED

    def __str__(self) -> str:
        parts = [self.server_id, self.outcome.name, f"status {self.status}"]
        parts += ["not-executed"] * self.not_executed + ["id repeated"] * self.id_repeated
        return " ".join(parts)


class PromiseLog:
    """Counts the promises and rejections of a gateway, and logs the promises that rest on rejections."""

    def __init__(self, now: Callable[[], int]) -> None:
        """`now` is the monotonic clock, in microseconds."""
        self._now = now
        self._promises: Counter[tuple[Basis, bool]] = Counter()  # by basis and whether the gateway drains
        self._rejections: Counter[tuple[int, bool, bool]] = Counter()  # by status and evidence
        self._second = 0  # the second in which lines were logged last
        self._lines = 0  # logged in that second

    def attempt_ended(self, attempt: AttemptRecord) -> None:
        """Count an attempt that counts as rejected by its server."""
        if attempt.rejected:
            self._rejections[attempt.status, attempt.not_executed, attempt.id_repeated] += 1

    def promised(
        self, request_id: str, status: int, attempts: Sequence[AttemptRecord], draining: bool
    ) -> None:
        """Record that a client was promised, by `status`, that its request has not run."""
        basis = basis_of(attempts)
        self._promises[basis, draining] += 1
        if basis is Basis.REJECTED and self._may_log():
            ends = "; ".join([str(attempt) for attempt in attempts])
            log.info("promise {} for {}{}: {}", status, request_id, " (draining)" * draining, ends)

    def lines(self) -> Iterator[str]:
        """The counters in the Prometheus text format."""
        promises = sorted(
            (basis.value, draining, count) for (basis, draining), count in self._promises.items()
        )
        for basis, draining, count in promises:
            labels = f'basis="{basis}",draining="{_label(draining)}"'
            yield f"promises_total{{{labels}}} {count}"
        for (status, not_executed, id_repeated), count in sorted(self._rejections.items()):
            labels = f'status="{status}",not_executed="{_label(not_executed)}"'
            labels += f',id_repeated="{_label(id_repeated)}"'
            yield f"rejections_total{{{labels}}} {count}"

    def _may_log(self) -> bool:
        second = self._now() // MICROSECONDS_PER_SECOND
        if second != self._second:
            self._second, self._lines = second, 0
        self._lines += 1
        return self._lines <= LINES_PER_SECOND


def basis_of(attempts: Sequence[AttemptRecord]) -> Basis:
    """What a promise rests on after these attempts, none of which may have run the request."""
    if not attempts:
        return Basis.NO_ATTEMPT
    if any(attempt.rejected for attempt in attempts):
        return Basis.REJECTED
    return Basis.NOT_WRITTEN


def _label(value: bool) -> str:
    return "true" if value else "false"
