"""BodyBudget for large request bodies, and when one has come too slowly: pure, with time as an argument.

A large body is held whole before its request is decided, since a server begins with its last byte: passed
on as it comes, it would hold a server's connection, and the module's limit, for as long as its client takes.
So room is given for its whole length before it is read on, in the order of asking.
"""

from __future__ import annotations

from collections import deque

LARGE_BODY = 65536  # bytes of a body that need no room of their own
LARGEST_BODY = 32 << 20
FIRST_STEP = 256 << 10  # room for a body of unknown length, which then grows...
STEP_FACTOR = 4  # ...by this
HEAD_TIMEOUT = 2.5  # seconds for a head to come whole
MIN_BODY_RATE = 32 << 10  # bytes a second of a body, from HEAD_TIMEOUT after its head
BUDGET_WAIT = 5.0  # seconds after which a body that found no room is refused


class BodyReservation:
    """One body's room: `given` bytes, and `asked` once more is granted."""

    __slots__ = ("granted_bytes", "requested_bytes", "waiting_since")

    def __init__(self) -> None:
        self.granted_bytes = 0
        self.requested_bytes = 0
        self.waiting_since = 0.0  # of the wait for `asked`


class BodyBudget:
    """`most` bytes for all large bodies together."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.used = 0
        self.queue: deque[BodyReservation] = deque()

    def can_fit(self, size: int) -> bool:
        """Whether a body of that size can ever have room."""
        return size <= min(self.max_bytes, LARGEST_BODY)

    def request(self, reservation: BodyReservation, size: int, now: float) -> bool:
        """Raises a reservation to `size` bytes; False if it must wait for others to end."""
        reservation.requested_bytes, reservation.waiting_since = size, now
        self.queue.append(reservation)
        return reservation in self.grant_ready()

    def grant_ready(self) -> list[BodyReservation]:
        """Those whose turn it is now, first come first served.

        Failure prevented: small ones are let past a large one for ever.
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
        """Ends a reservation, granted or not; those whose turn it is then."""
        self.used -= reservation.granted_bytes
        reservation.granted_bytes = 0
        if reservation in self.queue:
            self.queue.remove(reservation)
        return self.grant_ready()

    def overdue(self, now: float) -> list[BodyReservation]:
        """Claims that have waited too long.

        Failure prevented: bodies of unknown length hold part of the room each, and wait for one another.
        """
        return [reservation for reservation in self.queue if now - reservation.waiting_since > BUDGET_WAIT]


def next_step(granted_bytes: int) -> int:
    """The room that a body of unknown length asks for, once it has filled what it was given."""
    return min(max(FIRST_STEP, granted_bytes * STEP_FACTOR), LARGEST_BODY)


def too_slow(age: float, head_complete: bool, body_bytes: int) -> bool:
    """Whether a request of that age, with `body` bytes of its body, is given up.

    Failure prevented: clients that send next to nothing hold descriptors for good.
    """
    return age > HEAD_TIMEOUT + (body_bytes / MIN_BODY_RATE if head_complete else 0.0)
