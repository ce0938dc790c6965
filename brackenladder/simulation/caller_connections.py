"""Connections of operators to control nodes, with the accept queue of the node's host.

As over TCP, the host completes a connection and buffers its requests even while the process is frozen. The
process accepts it later, and in any order with what arrives on its links.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
from random import Random
from typing import Protocol

from attrs import define, field, frozen

from brackenladder.control_plane.fences import AcceptFence, ConnectionFence, NewestIndex
from brackenladder.simulation.network import HostEvent, SimulatedNetwork
from brackenladder.simulation.virtual_loop import Process
from brackenladder.transport.memory_link import Event

LATEST_READ_SECONDS = 0.02  # a process that was frozen reads what waits on its sockets within this time


class ListeningMachine(Protocol):
    """The machine of a control node, as its callers' connections use it."""

    @property
    def name(self) -> str:
        """Its name on the network."""

    @property
    def process(self) -> Process | None:
        """The process that runs; None if it is down."""

    @property
    def listener(self) -> SimulatedListener | None:
        """The listener of its process for operators; None if it is not bound."""


class SimulatedListener:
    """A node's listening socket, as the connections of operators use it."""

    def __init__(self, newest_index: NewestIndex, bound: Callable[[str, SimulatedListener], None]) -> None:
        """`bound` is called with the address and this listener once it is bound."""
        self.newest_index = newest_index
        self.waiting = 0  # connections that the host has completed and the process has not accepted
        self.connections: dict[CallerConnection, None] = {}  # in the order in which they were accepted
        self._bound = bound
        self._fence = AcceptFence(newest_index)

    async def listen(self, address: str) -> None:
        """See `Listener`."""
        self._bound(address, self)

    async def close(self, grace_seconds: float) -> None:
        """See `Listener`."""

    def newest_index_risen(self) -> None:
        """See `Listener`."""
        if not self.waiting:
            self._fence.found_empty()

    def close_outdated(self, index: int) -> None:
        """See `Listener`."""
        for connection in [one for one in self.connections if one.idle and one.fence < index]:
            connection.close_by_node()

    def accept(self, connection: CallerConnection) -> None:
        """Accepts a connection that waits."""
        self.waiting -= 1
        self.connections[connection] = None
        connection.accepted(ConnectionFence(self._fence.index))
        if not self.waiting:
            self._fence.found_empty()


@define(eq=False)
class CallerConnection:
    """A connection from an operator to a control node, which carries one request at a time."""

    network: SimulatedNetwork
    caller: str
    machine: ListeningMachine
    random: Random
    idle: bool = True  # whether the node serves no request on it
    _closed: bool = False  # as the caller knows it
    _fence: ConnectionFence | None = None  # None: not accepted yet
    _process: Process | None = None  # the process whose host completed the connection
    _listener: SimulatedListener | None = None
    _buffered: list[Callable[[], None]] = field(
        factory=list
    )  # what arrived before the connection was accepted
    _connected: asyncio.Future[None] = field(factory=lambda: asyncio.get_running_loop().create_future())

    async def open(self) -> None:
        """Returns once the host of the node has completed the connection."""
        self.network.queue(_Connect(self.caller, self.machine.name, self))
        await self._connected

    @property
    def usable(self) -> bool:
        """Whether the caller may send a request, as far as it knows."""
        return not self._closed and self.machine.process is self._process

    @property
    def fence(self) -> int:
        """The fence of the request that is read next or being served."""
        assert self._fence is not None
        return self._fence.index

    @property
    def exists(self) -> bool:
        """Whether the node's process still has this connection."""
        return self._listener is not None and self in self._listener.connections

    # -- at the node

    def complete(self) -> None:
        """The host completes the connection, unless no process listens."""
        listener = self.machine.listener
        if listener is None:
            return
        self._process, self._listener = self.machine.process, listener
        listener.waiting += 1
        self.network.queue(_Connected(self.machine.name, self.caller, self))

    def arrive_at_process(self) -> None:
        """The process learns that a connection waits, and accepts it."""
        if self._listener is not None:
            self.read_later(partial(self._listener.accept, self))

    def accepted(self, fence: ConnectionFence) -> None:
        """Reads what has arrived before the connection was accepted."""
        self._fence = fence
        buffered, self._buffered = self._buffered, []
        for read in buffered:
            read()

    def when_accepted(self, read: Callable[[], None]) -> None:
        """Reads what has arrived at once, or when the connection is accepted."""
        if self._fence is None:
            self._buffered.append(read)
        else:
            read()

    def read_later(self, read: Callable[[], object]) -> None:
        """Calls `read` at once; in a process that was frozen, a little later, in any order with its links."""
        if self._process is not None and self._process.freezes:
            loop = asyncio.get_running_loop()
            loop.call_later(self.random.uniform(0.0, LATEST_READ_SECONDS), read)
        else:
            read()

    def response_written(self) -> None:
        """Notes that the node has written the response to the current request."""
        self.idle = True
        if self._fence is not None and self._listener is not None:
            self._fence.response_written(self._listener.newest_index())

    def close_by_node(self) -> None:
        """Closes the connection; the caller learns of it later."""
        self.drop()
        self.network.queue(_Closed(self.machine.name, self.caller, self))

    def drop(self) -> None:
        """Removes the connection from the node."""
        if self._listener is not None:
            self._listener.connections.pop(self, None)

    # -- at the caller

    def connection_completed(self) -> None:
        """The caller learns that the connection is complete."""
        if not self._connected.done():
            self._connected.set_result(None)

    def closed_by_node(self) -> None:
        """The caller learns that the node has closed the connection."""
        self._closed = True


@frozen(eq=False)
class _Connect(HostEvent):
    connection: CallerConnection

    def reach_host(self) -> None:
        self.connection.complete()

    def happen(self) -> None:
        self.connection.arrive_at_process()


@frozen(eq=False)
class _Connected(Event):
    connection: CallerConnection

    def happen(self) -> None:
        self.connection.connection_completed()


@frozen(eq=False)
class _Closed(Event):
    connection: CallerConnection

    def happen(self) -> None:
        self.connection.closed_by_node()
