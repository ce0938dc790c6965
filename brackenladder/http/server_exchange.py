"""One request to one server: an attempt or a probe, on a connection of the pool."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from time import monotonic

from brackenladder.http.server_connection import Answer, Connection, ConnectionPool, Endpoint
from brackenladder.interface import Outcome
from brackenladder.membership.stall import READ_FIRST_DELAY

Compose = Callable[[], Sequence[bytes] | None]
Done = Callable[[Outcome, Answer | None, Sequence[float]], None]  # outcome, response, load report
Report = Callable[[Answer], Sequence[float]]  # reads a server's load report from a response


class Exchange:
    """One request to one server, which ends exactly once by calling `done`.

    `compose` returns the bytes of the request just before they are written, or None if it may no longer be
    sent. `report` reads a response's load report, if that is wanted. `accepts_relay`: a large response may be
    relayed.
    """

    __slots__ = (
        "pool",
        "endpoint",
        "compose",
        "done",
        "report",
        "accepts_relay",
        "over",
        "connection",
        "connecting",
        "timer",
    )

    def __init__(
        self,
        pool: ConnectionPool,
        endpoint: Endpoint,
        compose: Compose,
        done: Done,
        report: Report | None = None,
        accepts_relay: bool = False,
    ) -> None:
        self.pool = pool
        self.endpoint = endpoint
        self.compose = compose
        self.done = done
        self.report = report
        self.accepts_relay = accepts_relay
        self.over = False
        self.connection: Connection | None = None
        self.connecting: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None
        endpoint.open_exchanges += 1

    def start(self, timeout: float) -> None:
        """Takes an idle connection or opens one. The whole exchange may take `timeout` seconds."""
        self.timer = self.pool.loop.call_later(timeout, self.expire)
        self.choose_connection()

    def choose_connection(self) -> None:
        """Takes an idle connection, or opens one if the limit allows it."""
        connection = self.pool.take(self.endpoint)
        if connection is not None:
            self.use_connection(connection)
        elif self.pool.has_room():
            self.connecting = self.pool.loop.create_task(self.connect())
        else:
            self.end(Outcome.CONNECT_FAILED, None)

    async def connect(self) -> None:
        """Opens a connection within the connect timeout."""
        pool = self.pool
        connection = Connection(pool, self.endpoint)
        pool.opened(connection)
        limit = pool.loop.call_later(pool.connect_timeout, self.connect_timed_out, connection)
        try:
            await pool.loop.create_connection(lambda: connection, self.endpoint.host, self.endpoint.port)
        except (OSError, UnicodeError):  # UnicodeError: the name is not a valid host name
            pool.lost(connection)
            self.end(Outcome.CONNECT_FAILED, None)
            return
        except asyncio.CancelledError:
            pool.lost(connection)
            if connection.transport is not None:
                connection.close()
            raise
        finally:
            limit.cancel()
        self.connecting = None
        self.use_connection(connection)

    def connect_timed_out(self, connection: Connection) -> None:
        """Gives up connecting, unless the connection is established by the time this is called."""
        if connection.transport is None:
            self.stop(Outcome.CONNECT_FAILED)

    def use_connection(self, connection: Connection) -> None:
        """Writes the request; if the process was suspended, pending list updates are read first."""
        if self.pool.stall.must_read_first(monotonic()):
            self.pool.loop.call_later(READ_FIRST_DELAY, self.write_after_wait, connection)
        else:
            self.write(connection)

    def write_after_wait(self, connection: Connection) -> None:
        """Writes the request after list updates were read, on another connection if this one was closed.

        Written to a closed connection, the request would fail and count against its server.
        """
        if not self.over and self.endpoint.ready and connection.has_input():
            connection.close()
            self.choose_connection()
        else:
            self.write(connection)

    def write(self, connection: Connection) -> None:
        """Writes the request, unless it may no longer be sent by the time the connection is ready."""
        data = None if self.over or not self.endpoint.ready else self.compose()
        if data is None:
            if self.endpoint.ready:
                self.pool.keep(connection)
            else:
                connection.close()
            self.end(Outcome.NOT_SENT, None)
        else:
            self.connection = connection
            connection.begin(self, data)

    def expire(self) -> None:
        """Ends the exchange at its timeout; nothing was sent if no connection was established."""
        self.stop(Outcome.CONNECT_FAILED if self.connection is None else Outcome.TIMEOUT)

    def stop(self, outcome: Outcome) -> None:
        """Cancels the exchange and closes its connection: a late response must not reach another request."""
        if self.over:
            return
        if self.connection is not None:
            self.connection.exchange = None
            self.connection.close()
        elif self.connecting is not None:
            self.connecting.cancel()
        self.end(outcome, None)

    def end(self, outcome: Outcome, answer: Answer | None) -> None:
        if self.over:
            return
        self.over = True
        self.endpoint.open_exchanges -= 1
        if self.timer is not None:
            self.timer.cancel()
        self.done(outcome, answer, self.report(answer) if self.report and answer is not None else ())
