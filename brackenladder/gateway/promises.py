"""Records what the gateway's own answers rest on: in metrics, and in a log line for each request.

An answer with one of the statuses 408, 421, 429 and 503 promises that the request has not run.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from enum import Enum

import logbook
from attrs import frozen

from brackenladder.gateway.answers import NOT_RUN_STATUSES
from brackenladder.interface import Outcome

LINES_PER_SECOND = 200  # log lines at most; further answers are only counted
MICROSECONDS_PER_SECOND = 1_000_000

log = logbook.Logger("promises")


class Basis(Enum):
    """What a promise that a request has not run rests on."""

    NO_ATTEMPT = "no-attempt"
    NOT_WRITTEN = "not-written"  # attempts were made, but none wrote the whole request to a server
    REJECTED = "rejected"  # each server that got the request said that it did not run it


class Written(Enum):
    """How much of a request was written to a server."""

    NOTHING = "nothing"
    START = "start"  # its first byte, to find out whether the connection is stale
    ALL = "all"


@frozen
class AttemptRecord:
    """An ended attempt, and the evidence in the server's response."""

    server_id: str
    outcome: Outcome
    written: Written = Written.NOTHING
    status: int = 0  # of the server's response; 0: none was read
    not_executed: bool = False  # the response has `X-Brackenladder-Not-Executed`
    id_repeated: bool = False  # the connection had carried an earlier request with the same id

    @property
    def rejected(self) -> bool:
        """Whether the outcome rests on the server's word that it did not run the request."""
        return self.outcome == Outcome.REJECTED

    def __str__(self) -> str:
        parts = [self.server_id, self.outcome.name, f"written {self.written.value}", f"status {self.status}"]
        parts += ["not-executed"] * self.not_executed + ["id repeated"] * self.id_repeated
        return " ".join(parts)


@frozen
class ClientPlace:
    """A client connection of this gateway, and the place of a request in the order of its requests."""

    connection: int = 0
    request: int = 0


@frozen
class OwnAnswer:
    """An answer of the gateway's own to a request that no server answered."""

    request_id: str
    status: int
    attempts: Sequence[AttemptRecord]
    place: ClientPlace
    draining: bool  # whether the gateway drains

    @property
    def is_promise(self) -> bool:
        """Whether the answer promises that the request has not run."""
        return self.status in NOT_RUN_STATUSES

    def __str__(self) -> str:
        begin = f"{'promise' if self.is_promise else 'no promise'} {self.status} for {self.request_id}"
        basis = basis_of(self.attempts).value if self.is_promise else "in doubt"
        place = f"client connection {self.place.connection} request {self.place.request}"
        return "; ".join(
            [f"{begin}{' (draining)' * self.draining}: {basis}", place, *map(str, self.attempts)]
        )


class PromiseLog:
    """Counts the promises and rejections of a gateway, and logs its own answers by their request's id."""

    def __init__(self, now: Callable[[], int]) -> None:
        """`now` is the monotonic clock, in microseconds."""
        self._now = now
        self._promises: Counter[tuple[Basis, bool]] = Counter()  # by basis and whether the gateway drains
        self._rejections: Counter[tuple[int, bool, bool]] = Counter()  # by status and evidence
        self._unlogged = 0  # answers without a log line
        self._second = 0  # the second in which lines were logged last
        self._lines = 0  # logged in that second

    def attempt_ended(self, attempt: AttemptRecord) -> None:
        """Count an attempt that counts as rejected by its server."""
        if attempt.rejected:
            self._rejections[attempt.status, attempt.not_executed, attempt.id_repeated] += 1

    def answered(self, answer: OwnAnswer) -> None:
        """Record an answer of the gateway's own, before it is sent."""
        if answer.is_promise:
            self._promises[basis_of(answer.attempts), answer.draining] += 1
        if self._may_log():
            log.info("{}", answer)
        else:
            self._unlogged += 1

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
        yield f"own_answers_unlogged_total {self._unlogged}"

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
