"""The time limits of a node's shutdown, used by real nodes and by the simulation of a fleet."""

from __future__ import annotations

from collections.abc import Sequence

from brackenladder.interface import ClassSettings

TAKING = 0.5  # seconds after SIGTERM in which new connections are still accepted
HANDOVER = 2.0  # upper bound of the seconds after SIGTERM in which open connections still accept calls
LONGEST = 3_000_000  # microseconds: a shutdown waits for the longest deadline of a class, at most this long
KILL_AFTER = 700_000  # microseconds that a shutdown may take in addition to the longest deadline
KILL_MARGIN = 300_000  # microseconds before SIGKILL by which all calls must be concluded


def kill_after(classes: Sequence[ClassSettings]) -> int:
    """Microseconds after SIGTERM at which SIGKILL may follow."""
    return min(max(c.deadline for c in classes), LONGEST) + KILL_AFTER


def handover(classes: Sequence[ClassSettings]) -> float:
    """Seconds after SIGTERM in which open connections still accept calls.

    It depends on the deadlines: otherwise, if they are short, the process is killed while clients still send
    calls to it.
    """
    return min(HANDOVER, max(TAKING, (kill_after(classes) - 2 * KILL_MARGIN) / 1e6))


def last_moment(now: int, classes: Sequence[ClassSettings]) -> int:
    """The time by which all calls accepted from `now` on must be concluded, in microseconds.

    Otherwise calls accepted during the shutdown are still open when the process is killed.
    """
    return now + kill_after(classes) - KILL_MARGIN
