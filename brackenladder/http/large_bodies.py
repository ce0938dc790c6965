"""Memory budget for large request bodies, and rate limits of slow requests; pure, with time as an argument.

A large body is received completely before a server is chosen. If it were streamed, it would occupy a server's
connection and part of the concurrency limit for as long as its client takes to send it, though servers begin
a request only at its last byte. Memory for its whole length is reserved before it is read, in the order of
the requests.
"""

from __future__ import annotations

from collections import deque

LARGE_BODY = 65536  # bytes; bodies up to this size need no reservation
LARGEST_BODY = 32 << 20
FIRST_STEP = 256 << 10  # bytes reserved at first for a body of unknown length
STEP_FACTOR = 4  # growth of the reservation for a body of unknown length each time it is filled
HEAD_TIMEOUT = 2.5  # seconds within which a request's head has to be complete
# Bytes per second at which a body has to arrive, starting HEAD_TIMEOUT after its head.
MIN_BODY_RATE = 32 << 10
BUDGET_WAIT = 5.0  # seconds after which a body that got no reservation is refused


class BodyReservation:
    """The memory reserved for one body: `granted_bytes` now, `requested_bytes` once that is granted."""

    __slots__ = ("granted_bytes", "requested_bytes", "waiting_since")

    def __init__(self) -> None:
        self.granted_bytes = 0
        self.requested_bytes = 0
        self.waiting_since = 0.0  # when `requested_bytes` was requested


class BodyBudget:
    """Reserves memory for large bodies, `max_bytes` for all of them together."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.used = 0
        self.queue: deque[BodyReservation] = deque()

    def can_fit(self, size: int) -> bool:
        """Whether a body of that size fits into the budget at all."""
        return size <= min(self.max_bytes, LARGEST_BODY)

    def request(self, reservation: BodyReservation, size: int, now: float) -> bool:
        """Raises a reservation to `size` bytes; False if it has to wait until others are released."""
        reservation.requested_bytes, reservation.waiting_since = size, now
        self.queue.append(reservation)
        return reservation in self.grant_ready()

    def grant_ready(self) -> list[BodyReservation]:
        """Grants and returns the waiting reservations that fit, first come, first served.

        If smaller ones were let past, a large one might wait for ever.
        """
        ready = []
        while (
            self.queue
            and self.used + self.queue[0].requested_bytes - self.queue[0].granted_bytes <= self.max_bytes
        ):
            reservation = self.queue.popleft()
            self.used += reservation.requested_bytes - reservation.granted_bytes
            reservation.granted_bytes = reservation.requested_bytes
            ready.append(reservation)
        return ready

    def release(self, reservation: BodyReservation) -> list[BodyReservation]:
        """Ends a reservation, granted or not; returns those that are granted as a result."""
        self.used -= reservation.granted_bytes
        reservation.granted_bytes = 0
        if reservation in self.queue:
            self.queue.remove(reservation)
        return self.grant_ready()

    def overdue(self, now: float) -> list[BodyReservation]:
        """Reservations that have waited too long.

        Bodies of unknown length may each hold part of the budget while they wait for one another, so the wait
        is limited.
        """
        return [reservation for reservation in self.queue if now - reservation.waiting_since > BUDGET_WAIT]


def next_step(granted_bytes: int) -> int:
    """How many bytes to reserve next for a body of unknown length that has filled `granted_bytes`."""
    return min(max(FIRST_STEP, granted_bytes * STEP_FACTOR), LARGEST_BODY)


def too_slow(age: float, head_complete: bool, body_bytes: int) -> bool:
    """Whether a request is given up, given its age in seconds and the size of the body received so far.

    Otherwise clients that send almost nothing would hold file descriptors for ever.
    """
    return age > HEAD_TIMEOUT + (body_bytes / MIN_BODY_RATE if head_complete else 0.0)
