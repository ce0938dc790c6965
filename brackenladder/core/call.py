"""What passes between a front, the core and an upstream."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from enum import Enum
from typing import Protocol

from brackenladder.interface import Outcome

FRESH = 1_000  # microseconds from the taking in which a client's end need not be looked for
NEVER = 1 << 62


class Failure(Enum):
    """Why a call was not served, with no promise about effects."""

    GIVEN_UP = 0  # by the module
    EXPIRED = 1  # by the guard: the module had left it open
    FAULT = 2  # of this node


class Call:
    """A call that a front has taken, of a class and a tenant, with `left` microseconds of its client's time.

    A front derives its own, which carries the payload and passes the conclusion on. Exactly one of `served`,
    `refused` and `failed` is called, once, unless the client has left before.
    """

    __slots__ = (
        "id",
        "klass",
        "tenant",
        "left",
        "repeat",
        "deadline",
        "open",
        "attempts",
        "current_attempt",
        "single_attempt",
        "in_doubt",
        "accepted_at",
        "write_by",
    )

    def __init__(self, klass: int, tenant: int, left: int, repeat: bool) -> None:
        self.id = 0
        self.klass = klass
        self.tenant = tenant
        self.left = left
        self.repeat = repeat
        self.deadline = 0
        self.open = True  # the client waits
        self.attempts = 0
        self.current_attempt: Attempt | None = None
        self.in_doubt = False  # an attempt may have run
        self.single_attempt = False  # nobody waits for an answer: one attempt, and its end is the call's
        self.accepted_at = 0  # by the core's clock
        self.write_by = NEVER  # a repeat that is written later may run a second time

    def may_be_written(self, now: int) -> bool:
        """Whether its first byte may go to a server at this moment of the core's clock.

        Failure prevented: it waited, behind others or for a connection, its client has left meanwhile, and
        it is sent on all the same.
        """
        if not self.open or now >= self.write_by:
            return False
        return now - self.accepted_at < FRESH or not self.gone()

    def gone(self) -> bool:
        """Whether the client has left, though nobody has been told: its end waits in the socket.

        If so the call is over when this returns.
        """
        return False

    def released(self) -> None:
        """Nothing more is owed: called before the conclusion, or alone if the client has left."""

    def served(self, answer: object) -> None:
        """Concludes with what the upstream gave with its outcome."""
        raise NotImplementedError

    def refused(self, retry_after: int) -> None:
        """Concludes: a retry is harmless, after so many microseconds if more than 0.

        That says nothing of whether the call has run: `in_doubt` does.
        """
        raise NotImplementedError

    def failed(self, why: Failure) -> None:
        """Concludes: nothing is promised."""
        raise NotImplementedError


class Attempt(Protocol):
    """An attempt that an upstream makes; its `done` is called exactly once after `start`."""

    def start(self, timeout: float) -> None:
        """Begins; the whole attempt may take `timeout` seconds. May end at once."""

    def stop(self, outcome: Outcome) -> None:
        """Gives it up: it ends with this outcome, unless it has ended."""


Done = Callable[[Outcome, object, Sequence[float]], None]  # outcome, answer, load report
Probed = Callable[[bool, Sequence[float]], None]  # whether the server is well, load report


class Upstream(Protocol):
    """The side towards the servers of one pool. It chooses no server and repeats nothing."""

    def attempt(self, server: int, call: Call, expires: int, done: Done) -> Attempt | None:
        """An attempt at a server, to be started; None if nothing may be sent there.

        Nothing is written once the call is no longer open, or after `expires` of the core's clock.
        """

    def probe(self, server: int, done: Probed) -> None:
        """Asks a server how it is."""

    def close_idle(self, server: int) -> None:
        """Closes the connections to a server that carry nothing."""


class Directory(Protocol):
    """The source of the server list, as the module sees it."""

    def watch(self, on: bool) -> None:
        """Begins or ends the watch."""

    def fetch(self) -> None:
        """Asks for the whole list once."""


class Messenger(Protocol):
    """The way to the other nodes of the tier."""

    def tell(self, peer: int, data: bytes) -> None:
        """Sends a short message to a peer, or to all (-1)."""
