"""A node that an operator takes out of service for a while. No I/O, no clock; times in seconds."""

from __future__ import annotations

from enum import IntEnum

CLOSING_AFTER = 0.6  # the front learns of a pause within 0.1 s and sends new connections for 0.2 s more
REFUSING_AFTER = 1.8  # 2 s after this nothing that came later may be on its way, nor a connection idle
ENDING_AFTER = 3.0


class ServiceStage(IntEnum):
    """What a node does with what comes, each step with all before it."""

    SERVING = 0
    PAUSED = 1  # `/ready` says no; all else is as before
    CLOSING = 2  # no connection outlives its answer
    REFUSING = 3  # what still comes is refused at once, and idle connections are closed
    ENDING = 4  # what has begun and not come whole is given up


class Pause:
    """Since when the node pauses, if it does."""

    def __init__(self) -> None:
        self.since: float | None = None

    def begin(self, now: float) -> None:
        """A second call changes nothing."""
        if self.since is None:
            self.since = now

    def end(self) -> None:
        self.since = None

    def stage(self, now: float) -> ServiceStage:
        if self.since is None:
            return ServiceStage.SERVING
        age = now - self.since
        steps = (CLOSING_AFTER, REFUSING_AFTER, ENDING_AFTER)
        return ServiceStage(ServiceStage.PAUSED + sum(age >= step for step in steps))
