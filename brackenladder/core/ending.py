"""How a node that has been told to end does so; the same for its sockets and for the model of a fleet."""

from __future__ import annotations

from collections.abc import Sequence

from brackenladder.interface import ClassSettings

TAKING = 0.5  # seconds after SIGTERM in which new connections are still taken
HANDOVER = 2.0  # seconds after SIGTERM in which connections stay open to further calls, at most
LONGEST = 3_000_000  # microseconds: a node has the longest deadline for its end, at most so long...
KILL_AFTER = 700_000  # ...and so much more
KILL_MARGIN = 300_000


def kill_after(classes: Sequence[ClassSettings]) -> int:
    """Microseconds from SIGTERM to the SIGKILL that may follow it."""
    return min(max(c.deadline for c in classes), LONGEST) + KILL_AFTER


def handover(classes: Sequence[ClassSettings]) -> float:
    """Seconds after SIGTERM in which connections stay open to further calls.

    Failure prevented: where deadlines are short the process is killed while clients still send to it.
    """
    return min(HANDOVER, max(TAKING, (kill_after(classes) - 2 * KILL_MARGIN) / 1e6))


def last_moment(now: int, classes: Sequence[ClassSettings]) -> int:
    """The time by which all that is taken from `now` on must be concluded, in microseconds.

    Failure prevented: what is taken in the meantime is still open when the process is killed.
    """
    return now + kill_after(classes) - KILL_MARGIN
