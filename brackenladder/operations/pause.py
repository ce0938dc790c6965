"""Pausing a node: it leaves service in stages. No I/O, no clock; times in seconds."""

from __future__ import annotations

from enum import IntEnum

# From here on, each connection is closed after its current answer. The proxy in front of the node opens no
# more by then: it notices a pause within 0.1 s and may open connections for 0.2 s more.
CLOSING_AFTER = 0.6
# From 2 s after the start of a pause, no newer request may be open and no connection may be idle.
REFUSING_AFTER = 1.8
ENDING_AFTER = 3.0


class ServiceStage(IntEnum):
    """How a node treats requests and connections. Each stage includes those before it."""

    SERVING = 0
    PAUSED = 1  # `/ready` reports not ready; all else is unchanged
    CLOSING = 2  # each connection is closed after its current answer
    REFUSING = 3  # new requests are refused at once and idle connections closed
    ENDING = 4  # requests that have not arrived completely are dropped


class Pause:
    """Whether an operator has paused the node, and which stage the pause has reached."""

    def __init__(self) -> None:
        self.since: float | None = None

    def begin(self, now: float) -> None:
        """Starts the pause; a second call changes nothing."""
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
