"""The core's interfaces to frontends, which accept calls, and to upstreams, which send them to servers."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from enum import Enum
from typing import Protocol

from brackenladder.interface import Outcome

FRESH = 1_000  # microseconds: for this long after accepting a call, its client is assumed to be connected
NEVER = 1 << 62


class Failure(Enum):
    """Why a call was not served; it may have had effects."""

    GIVEN_UP = 0  # the balancer gave it up, for example after its last retry
    EXPIRED = 1  # the balancer had not concluded it by its deadline
    FAULT = 2  # an internal error of this node


class Call:
    """A call accepted by a frontend, with its class and tenant; `left`: microseconds that its client waits.

    A frontend derives its own class, which adds the payload and the sending of the answer. Exactly one of
    `served`, `refused` and `failed` is called, once, unless the client disconnects before.
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
        self.open = True  # the client is still waiting
        self.attempts = 0
        self.current_attempt: Attempt | None = None
        self.in_doubt = False  # a server may have executed one of its attempts
        self.single_attempt = False  # no answer is expected: the call ends with its only attempt
        self.accepted_at = 0  # time by the clock of the core
        self.write_by = NEVER  # a retry written later might not be discarded as a repeat, and run again

    def may_be_written(self, now: int) -> bool:
        """Whether its first byte may be sent to a server at `now`, by the clock of the core.

        Otherwise a call whose client disconnects while it waits in a queue or for a connection is still sent.
        """
        if not self.open or now >= self.write_by:
            return False
        return now - self.accepted_at < FRESH or not self.gone()

    def gone(self) -> bool:
        """Whether the client has disconnected; also finds an end of stream not yet read from its socket.

        If so, the call is ended before this returns.
        """
        return False

    def released(self) -> None:
        """Called when the call ends, before `served`, `refused` or `failed`, or alone if the client left."""

    def served(self, answer: object) -> None:
        """Concludes the call with the answer that the upstream passed with its outcome."""
        raise NotImplementedError

    def refused(self, retry_after: int) -> None:
        """Concludes the call; the client may retry it, after `retry_after` microseconds if that is above 0.

        Whether the call may have run is told by `in_doubt`.
        """
        raise NotImplementedError

    def failed(self, why: Failure) -> None:
        """Concludes the call without an answer; it may have had effects."""
        raise NotImplementedError


class Attempt(Protocol):
    """An attempt of an upstream; its `done` is called exactly once after `start`."""

    def start(self, timeout: float) -> None:
        """Starts the attempt, which may take `timeout` seconds and may end before this returns."""

    def stop(self, outcome: Outcome) -> None:
        """Aborts the attempt with this outcome, unless it has ended."""


Done = Callable[[Outcome, object, Sequence[float]], None]  # with outcome, answer and load report
Probed = Callable[[bool, Sequence[float]], None]  # with health (True if healthy) and load report


class Upstream(Protocol):
    """Sends calls to the servers of one pool. It does not choose servers or retry."""

    def attempt(self, server: int, call: Call, expires: int, done: Done) -> Attempt | None:
        """Creates an attempt at a server, to be started; None if nothing may be sent there.

        Nothing is written after the call has ended, or after `expires` by the clock of the core.
        """

    def probe(self, server: int, done: Probed) -> None:
        """Checks the health of a server."""

    def close_idle(self, server: int) -> None:
        """Closes the idle connections to a server."""


class Directory(Protocol):
    """The source of the server list, as used by the balancer."""

    def watch(self, on: bool) -> None:
        """Subscribes to changes of the list, or unsubscribes."""

    def fetch(self) -> None:
        """Requests the full list once."""


class Messenger(Protocol):
    """Sends messages to the other nodes of the tier."""

    def tell(self, peer: int, data: bytes) -> None:
        """Sends a short message to a peer, or to all of them (-1)."""
