"""The pool of connections to servers: which are open, which rest, and how many there may be.

Nothing is sent again by itself, and every exchange ends exactly once.
"""

from __future__ import annotations

import asyncio
from time import monotonic

from brackenladder.http.server_connection import Connection, Endpoint
from brackenladder.membership.stall import BEAT_INTERVAL, StallDetector

IDLE_MARGIN = 0.3  # seconds before the server would close an idle connection
SWEEP = 0.5  # seconds between two looks at idle connections
AFTER_ANSWER = 0.05  # a close within so many seconds of an answer tells nothing of the time to idle
LEAST_IDLE = 0.1  # seconds that connections may idle, however soon servers close them
IDLE_REGAIN = 1.02  # what was learned of it fades by so much at each look


class ServerPool:
    """All connections to servers, within a budget of descriptors."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, max_connections: int, connect_timeout: float, idle_time: float
    ) -> None:
        self.loop = loop
        self.max_connections = max_connections
        self.connect_timeout = connect_timeout
        self.max_idle_time = self.idle_time = max(idle_time - IDLE_MARGIN, idle_time / 2)
        self.open = 0
        self.endpoints: dict[int, Endpoint] = {}
        self.sweeping = False
        self.stall = StallDetector(monotonic())
        loop.call_later(BEAT_INTERVAL, self.beat)

    def beat(self) -> None:
        self.stall.beat(monotonic())
        self.loop.call_later(BEAT_INTERVAL, self.beat)

    def take(self, endpoint: Endpoint) -> Connection | None:
        """The most recently used idle connection that is still good."""
        now = self.loop.time()
        while endpoint.idle:
            connection = endpoint.idle.pop()
            if now - connection.idle_since < self.idle_time and not connection.has_input():
                return connection
            connection.close()
        return None

    def keep(self, connection: Connection) -> None:
        """Puts a connection among the idle ones."""
        connection.idle_since = self.loop.time()
        connection.endpoint.idle.append(connection)
        if not self.sweeping:
            self.sweeping = True
            self.loop.call_later(SWEEP, self.sweep)

    def sweep(self) -> None:
        """Closes what has stood idle for long, before the server does."""
        now = self.loop.time()
        self.sweeping = False
        self.idle_time = min(self.max_idle_time, self.idle_time * IDLE_REGAIN)
        most = max(self.idle_time - SWEEP, self.idle_time / 2)
        for endpoint in self.endpoints.values():
            while endpoint.idle and now - endpoint.idle[0].idle_since > most:
                endpoint.idle.pop(0).close()
            self.sweeping = self.sweeping or bool(endpoint.idle)
        if self.sweeping:
            self.loop.call_later(SWEEP, self.sweep)

    def closed_idle(self, age: float) -> None:
        """A server has closed a connection that was idle for `age` seconds.

        Failure prevented: servers close sooner than the settings say; a request that is written as they do
        is reset, counts as one that may have run, and such losses are taken for overload.
        """
        if age > AFTER_ANSWER:
            self.idle_time = max(LEAST_IDLE, min(self.idle_time, age / 2))

    def has_room(self) -> bool:
        """Whether one more connection fits the budget; the one that was idle longest makes room."""
        if self.open < self.max_connections:
            return True
        held = [e for e in self.endpoints.values() if e.idle]
        if held:
            oldest = min(held, key=lambda e: e.idle[0].idle_since)
            connection = oldest.idle.pop(0)
            connection.close()
            self.lost(connection)
        return bool(held)

    def opened(self, connection: Connection) -> None:
        """Counts a connection that is being opened."""
        connection.counted = True
        self.open += 1

    def lost(self, connection: Connection) -> None:
        """Counts a connection's end, once."""
        if connection.counted:
            connection.counted = False
            self.open -= 1
        if connection in connection.endpoint.idle:
            connection.endpoint.idle.remove(connection)
