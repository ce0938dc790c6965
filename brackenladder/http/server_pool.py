"""The pool of connections to servers: which are open or idle, and how many there may be.

Nothing is retried here, and every exchange ends exactly once.
"""

from __future__ import annotations

import asyncio
from time import monotonic

from brackenladder.http.server_connection import Connection, Endpoint
from brackenladder.membership.stall import BEAT_INTERVAL, StallDetector

IDLE_MARGIN = 0.3  # seconds by which an idle connection is closed before the server would close it
SWEEP = 0.5  # seconds between two sweeps of idle connections
# A close within this many seconds of a response says nothing about the server's idle timeout.
AFTER_ANSWER = 0.05
LEAST_IDLE = 0.1  # seconds that connections may always be idle, however early servers close them
IDLE_REGAIN = 1.02  # at each sweep, the learned idle time grows back by this factor


class ServerPool:
    """All connections to servers, limited by the file descriptors available to them."""

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
        """Takes the most recently used idle connection that can still be used."""
        now = self.loop.time()
        while endpoint.idle:
            connection = endpoint.idle.pop()
            if now - connection.idle_since < self.idle_time and not connection.has_input():
                return connection
            connection.close()
        return None

    def keep(self, connection: Connection) -> None:
        """Puts a connection back among the idle ones, for reuse."""
        connection.idle_since = self.loop.time()
        connection.endpoint.idle.append(connection)
        if not self.sweeping:
            self.sweeping = True
            self.loop.call_later(SWEEP, self.sweep)

    def sweep(self) -> None:
        """Closes connections that have been idle for long, before their servers do."""
        now = self.loop.time()
        self.sweeping = False
        self.idle_time = min(self.max_idle_time, self.idle_time * IDLE_REGAIN)
        max_age = max(self.idle_time - SWEEP, self.idle_time / 2)
        for endpoint in self.endpoints.values():
            while endpoint.idle and now - endpoint.idle[0].idle_since > max_age:
                endpoint.idle.pop(0).close()
            self.sweeping = self.sweeping or bool(endpoint.idle)
        if self.sweeping:
            self.loop.call_later(SWEEP, self.sweep)

    def closed_idle(self, age: float) -> None:
        """Lowers `idle_time` after a server closed a connection that was idle for `age` seconds.

        Servers may close earlier than the settings say. A request that is written at that moment is reset and
        counts as one that may have run, and such failures would be taken for overload.
        """
        if age > AFTER_ANSWER:
            self.idle_time = max(LEAST_IDLE, min(self.idle_time, age / 2))

    def has_room(self) -> bool:
        """Whether one more connection may be opened; at the limit, the longest idle one is closed for it."""
        if self.open < self.max_connections:
            return True
        with_idle = [endpoint for endpoint in self.endpoints.values() if endpoint.idle]
        if with_idle:
            oldest = min(with_idle, key=lambda endpoint: endpoint.idle[0].idle_since)
            connection = oldest.idle.pop(0)
            connection.close()
            self.lost(connection)
        return bool(with_idle)

    def opened(self, connection: Connection) -> None:
        """Counts a connection that is being opened."""
        connection.counted = True
        self.open += 1

    def lost(self, connection: Connection) -> None:
        """Counts a connection's end; does nothing if it is called for the same connection again."""
        if connection.counted:
            connection.counted = False
            self.open -= 1
        if connection in connection.endpoint.idle:
            connection.endpoint.idle.remove(connection)
