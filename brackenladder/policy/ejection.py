"""Outlier ejection of members that fail, stay silent or refuse connections, and their trials afterwards."""

from collections.abc import Callable
from random import Random

from brackenladder.interface import Outcome

from .server import SMOOTH, SMOOTH_ALL, Server

# Module constants, because enum members are slow to look up and these are needed for every outcome.
TIMEOUT, REJECTED, CONNECT_FAILED = Outcome.TIMEOUT, Outcome.REJECTED, Outcome.CONNECT_FAILED
EJECT_SHARE = 0.34  # largest share of members that may be ejected for other causes than failed connects
DEAD_SHARE = 0.75  # largest share of members that may be ejected for any cause
UNREACHABLE_DOUBLINGS = 1  # most doublings of EJECT_TIME if connects fail; trials then cost no work
MAX_DOUBLINGS = 4  # most doublings of EJECT_TIME for other causes
EJECT_FAILS = 3  # least failures in a row, or least calls for a failure rate, before an ejection
EJECT_RATE = 0.3  # a member is ejected if its failure rate exceeds that of the subset by this much
EJECT_TIME = 2_000_000  # microseconds for which a server is ejected the first time
EJECT_JITTER = 0.1


class Ejection:
    """Which members are ejected and until when, and the failure rates."""

    def __init__(self, rng: Random) -> None:
        self.rng = rng
        self.ejected: list[Server] = []
        self.next_trial = 0
        self.fail_rate = 0.0  # failure rate of the whole subset

    def record_result(self, srv: Server, failure: float) -> None:
        """Updates the failure rates after a call; `failure`: 1.0 if the server failed it, else 0.0."""
        srv.calls += 1
        srv.fail_rate += SMOOTH * (failure - srv.fail_rate)
        self.fail_rate += SMOOTH_ALL * (failure - self.fail_rate)

    def ejection_cause(self, srv: Server, outcome: Outcome) -> tuple[bool, bool] | None:
        """Whether a failed call ejects the server: a pair (silent, unreachable), or None if it does not."""
        if outcome in (TIMEOUT, REJECTED):
            return (srv.silent, False) if srv.trial_in_flight else None
        srv.fails_in_row += 1
        if srv.ejected:
            return (False, False) if srv.trial_in_flight else None
        if srv.fails_in_row >= EJECT_FAILS and outcome == CONNECT_FAILED:
            # Otherwise, if a zone is lost, most members fail about as often as the mean, so none is an
            # outlier, and calls fail for seconds until the server list is updated.
            return False, True
        in_row = srv.fails_in_row >= EJECT_FAILS and srv.fail_rate > self.fail_rate * 2
        if in_row or srv.calls >= EJECT_FAILS and srv.fail_rate > EJECT_RATE + self.fail_rate:
            # Otherwise a member that fails fast is chosen most often, since it has few calls in flight.
            return False, False
        return None

    def can_eject(self, members: int, unreachable: bool, more: int = 1) -> bool:
        """Whether `more` members may be ejected in addition; the limit for reachable servers is lower."""
        ejected = len(self.ejected) + more
        failing = ejected - sum([e.unreachable for e in self.ejected]) - (more if unreachable else 0)
        return failing <= EJECT_SHARE * members and ejected <= DEAD_SHARE * members

    def mark_ejected(self, now: int, srv: Server, silent: bool, unreachable: bool) -> None:
        """Ejects the server until its next trial; the time doubles with each ejection up to a bound."""
        if not srv.ejected:
            srv.ejected = True
            srv.unreachable = unreachable
            self.ejected.append(srv)
        srv.silent = silent
        doublings = min(srv.ejections, UNREACHABLE_DOUBLINGS if srv.unreachable else MAX_DOUBLINGS)
        srv.trial_at = now + int((EJECT_TIME << doublings) * (1 + EJECT_JITTER * self.rng.random()))
        srv.ejections += 1
        self.next_trial = min(e.trial_at for e in self.ejected)

    def mark_readmitted(self, srv: Server) -> None:
        srv.ejected = srv.unreachable = srv.silent = False
        srv.fail_rate = self.fail_rate
        srv.fails_in_row = 0
        srv.ejections = max(0, srv.ejections - 1)
        self.ejected.remove(srv)
        if self.ejected:
            self.next_trial = min(e.trial_at for e in self.ejected)

    def start_trial(self, now: int, may_send: Callable[[int, Server], bool]) -> Server | None:
        """Returns an ejected server that is due for a trial, a real call; None if there is none."""
        for srv in self.ejected:
            if srv.trial_at <= now and not srv.trial_in_flight and may_send(now, srv):
                srv.trial_in_flight = True
                srv.trial_at = now + EJECT_TIME
                return srv
        return None
