"""Room for large request bodies, and when one has come too slowly: pure, with time as an argument.

A large body is held whole before its request is decided, since a server begins with its last byte: passed
on as it comes, it would hold a server's connection, and the module's limit, for as long as its client takes.
So room is given for its whole length before it is read on, in the order of asking.
"""

from __future__ import annotations

from collections import deque

LARGE = 65536  # bytes of a body that need no room of their own
LARGEST_BODY = 32 << 20
FIRST_STEP = 256 << 10  # room for a body of unknown length, which then grows...
STEP_FACTOR = 4  # ...by this
HEAD_TIME = 2.5  # seconds for a head to come whole
LEAST_RATE = 32 << 10  # bytes a second of a body, from HEAD_TIME after its head
WAIT_FOR_ROOM = 5.0  # seconds after which a body that found no room is refused


class Claim:
    """One body's room: `given` bytes, and `asked` once more is granted."""

    __slots__ = ("given", "asked", "since")

    def __init__(self) -> None:
        self.given = 0
        self.asked = 0
        self.since = 0.0  # of the wait for `asked`


class Room:
    """`most` bytes for all large bodies together."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.used = 0
        self.queue: deque[Claim] = deque()

    def possible(self, size: int) -> bool:
        """Whether a body of that size can ever have room."""
        return size <= min(self.most, LARGEST_BODY)

    def ask(self, claim: Claim, size: int, now: float) -> bool:
        """Raises a claim to `size` bytes; False if it must wait for others to end."""
        claim.asked, claim.since = size, now
        self.queue.append(claim)
        return claim in self.granted()

    def granted(self) -> list[Claim]:
        """Those whose turn it is now, first come first served.

        Failure prevented: small ones are let past a large one for ever.
        """
        ready = []
        while self.queue and self.used + self.queue[0].asked - self.queue[0].given <= self.most:
            claim = self.queue.popleft()
            self.used += claim.asked - claim.given
            claim.given = claim.asked
            ready.append(claim)
        return ready

    def release(self, claim: Claim) -> list[Claim]:
        """Ends a claim, granted or not; those whose turn it is then."""
        self.used -= claim.given
        claim.given = 0
        if claim in self.queue:
            self.queue.remove(claim)
        return self.granted()

    def overdue(self, now: float) -> list[Claim]:
        """Claims that have waited too long.

        Failure prevented: bodies of unknown length hold part of the room each, and wait for one another.
        """
        return [claim for claim in self.queue if now - claim.since > WAIT_FOR_ROOM]


def next_step(given: int) -> int:
    """The room that a body of unknown length asks for, once it has filled what it was given."""
    return min(max(FIRST_STEP, given * STEP_FACTOR), LARGEST_BODY)


def too_slow(age: float, headed: bool, body: int) -> bool:
    """Whether a request of that age, with `body` bytes of its body, is given up.

    Failure prevented: clients that send next to nothing hold descriptors for good.
    """
    return age > HEAD_TIME + (body / LEAST_RATE if headed else 0.0)
