"""How a node that has been told to end does so; the same for its sockets and for the model of a fleet."""

from __future__ import annotations

from collections.abc import Sequence

from brackenladder.interface import ClassSettings

TAKING = 0.5  # seconds after SIGTERM in which new connections are still taken
HANDOVER = 2.0  # seconds after SIGTERM in which connections stay open to further calls
KILL_AFTER = 3_700_000  # microseconds: after SIGTERM a node has the longest deadline for its end, or so long
KILL_MARGIN = 300_000


def last_moment(now: int, classes: Sequence[ClassSettings]) -> int:
    """The time by which all that is taken from `now` on must be concluded, in microseconds.

    Failure prevented: what is taken in the meantime is still open when the process is killed.
    """
    return now + min(max(c.deadline for c in classes), KILL_AFTER) - KILL_MARGIN
