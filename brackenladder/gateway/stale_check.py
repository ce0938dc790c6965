"""Decides which idle connections are checked before use, as the server may have dropped them.

A stale connection answers the first bytes with a reset. The check writes the first byte of a request and
waits up to two round trips for that reset. It is made only where a stale connection is likely or the check
takes little time.
"""

from __future__ import annotations

IDLE_SECONDS = 0.2  # after a longer idle time the server may have closed the connection (it is stale)
LEAST_WAIT_SECONDS = 0.001
WAIT_ROUND_TRIPS = 2.0  # a check waits for a reset this many times the shortest round trip to the server
MOST_WAIT_SECONDS = 0.01  # the longest wait for a reset if the round trip is short
# Over longer round trips, checks are made only after a stale connection was found.
LONG_ROUND_TRIP_SECONDS = 0.025
# Bytes of a request that a check writes: less than a request line, so that they are no request even to a
# server that takes the connection's end for the end of the head.
CHECK_BYTES = 1
# Seconds after a stale connection was found in which checks over long round trips are made.
SUSPICION_SECONDS = 20.0


class StaleCheck:
    """Decides for how long an idle connection is checked. Times are seconds of the monotonic clock."""

    def __init__(self) -> None:
        self._round_trips: dict[str, float] = {}  # the shortest connect time of each address
        self._found_stale_at = -SUSPICION_SECONDS

    def connected(self, address: str, seconds: float) -> None:
        """Record how long connecting to an address took."""
        self._round_trips[address] = min(seconds, self._round_trips.get(address, seconds))

    def found_stale(self, now: float) -> None:
        """Record that a check was answered by a reset."""
        self._found_stale_at = now

    def forget(self, address: str) -> None:
        """Forget an address whose server no longer exists."""
        self._round_trips.pop(address, None)

    def wait_seconds(self, address: str, idle: float, now: float) -> float:
        """How long to wait for a reset on a connection that was idle for `idle` seconds; 0: no check."""
        if idle <= IDLE_SECONDS:
            return 0.0
        round_trip = self._round_trips.get(address, 0.0)
        wait = max(LEAST_WAIT_SECONDS, WAIT_ROUND_TRIPS * round_trip)
        if round_trip <= LONG_ROUND_TRIP_SECONDS:
            return min(wait, MOST_WAIT_SECONDS)
        return wait if now - self._found_stale_at <= SUSPICION_SECONDS else 0.0


def start_to_check(request: bytes) -> bytes:
    """The bytes of a request that a check writes, which its server does not take for a request."""
    return request[:CHECK_BYTES]
