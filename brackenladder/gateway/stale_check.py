"""Which idle connections are checked before use: the server may have forgotten them.

A connection that is stale answers the first bytes with a reset. A check writes the start of a request's head
and waits for that reset: two round trips at the most, and only where it is likely or cheap.
"""

from __future__ import annotations

IDLE_SECONDS = 0.2  # a connection that was idle for longer may be stale
LEAST_WAIT_SECONDS = 0.001
WAIT_ROUND_TRIPS = 2.0  # a reset is waited for as many of the quickest round trip seen
MOST_WAIT_SECONDS = 0.01  # over a short round trip
LONG_ROUND_TRIP_SECONDS = 0.025  # a longer one is waited for only after a connection was found stale
SUSPICION_SECONDS = 20.0  # for so long after that


class StaleCheck:
    """Says how long a check may take. Times are seconds of the monotonic clock."""

    def __init__(self) -> None:
        self._round_trips: dict[str, float] = {}  # the quickest connect of each address
        self._found_at = -SUSPICION_SECONDS

    def connected(self, address: str, took: float) -> None:
        """A new connection to an address took so long."""
        self._round_trips[address] = min(took, self._round_trips.get(address, took))

    def found_stale(self, now: float) -> None:
        """A check has met a reset."""
        self._found_at = now

    def forget(self, address: str) -> None:
        """The server at an address is gone."""
        self._round_trips.pop(address, None)

    def wait_seconds(self, address: str, idle: float, now: float) -> float:
        """How long to wait for a reset on a connection that was idle for so long; 0: no check is due."""
        if idle <= IDLE_SECONDS:
            return 0.0
        round_trip = self._round_trips.get(address, 0.0)
        wait = max(LEAST_WAIT_SECONDS, WAIT_ROUND_TRIPS * round_trip)
        if round_trip <= LONG_ROUND_TRIP_SECONDS:
            return min(wait, MOST_WAIT_SECONDS)
        return wait if now - self._found_at <= SUSPICION_SECONDS else 0.0
