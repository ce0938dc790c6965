"""Simulated byte streams that behave like TCP: data may be split, delayed, reset or ended at any byte.

`StreamEnd` is an `asyncio.Transport`. It also reproduces these corner cases of TCP and asyncio:
- writing to a connection that the other system has dropped causes a reset one round trip later;
- a frozen process keeps its connections, and its system accepts new ones;
- closing with unread bytes sends a reset;
- a connection accepted while its listener closes is dropped without a call to its protocol.
"""

from __future__ import annotations

import asyncio
import errno
from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any

from brackenladder.simulation.virtual_loop import Process, ProcessState, VirtualEventLoop, current_process

WINDOW = 131_072  # maximum number of bytes that are sent and not yet read by the receiving process
HIGH_WATER = 65_536  # buffered bytes above which the writing process is told to pause
LOW_WATER = 16_384
LARGEST_READ = 262_144  # maximum number of bytes handed to a protocol at once
SMALL_PORTION_SHARE = 0.3  # fraction of the writes that are sent in portions of random size
USER_TIMEOUT = 4_000_000  # microseconds without an acknowledgement after which a connection ends
RETRANSMISSION = 200_000  # microseconds until lost data is sent again

ProtocolFactory = Callable[[], asyncio.BaseProtocol]
Latency = Callable[[str, str], int]


class StreamHost:
    """A machine with an IP address. An `unreachable` one does not respond at all."""

    def __init__(self, ip: str, zone: str) -> None:
        self.ip = ip
        self.zone = zone  # zone, from which the latency is computed
        self.unreachable = False


class StreamListener:
    """A bound address; stands in for a socket of an `asyncio.Server`."""

    def __init__(
        self, network: StreamNetwork, host: StreamHost, port: int, factory: ProtocolFactory, process: Process
    ) -> None:
        self.host = host
        self.port = port
        self.process = process
        self.open = True
        self._network = network
        self._factory = factory

    def getsockname(self) -> tuple[str, int]:
        """See `socket.socket`."""
        return self.host.ip, self.port

    def close(self) -> None:
        """Stops accepting connections."""
        self.open = False
        self._network.unbind(self)

    def enqueue(self, end: StreamEnd) -> None:
        """Queues a connection in the backlog. The process accepts it when it runs."""
        self.process.when_running(lambda: self.process.run(self._accept, end))

    def _accept(self, end: StreamEnd) -> None:
        if not self.open:
            end.close_by_kernel(with_reset=True)
            return
        protocol = self._factory()
        asyncio.get_running_loop().call_soon(self._attach, end, protocol)

    def _attach(self, end: StreamEnd, protocol: asyncio.BaseProtocol) -> None:
        if not self.open:  # asyncio drops the connection here and does not call its protocol
            end.close_by_kernel(with_reset=True)
            return
        end.attach(protocol)


class StreamServer:
    """The handle that `create_server` returns, by which its listening address is closed."""

    def __init__(self, listener: StreamListener) -> None:
        self.sockets: tuple[StreamListener, ...] = (listener,)

    def close(self) -> None:
        """See `asyncio.Server.close`."""
        for listener in self.sockets:
            listener.close()

    def is_serving(self) -> bool:
        """See `asyncio.Server.is_serving`."""
        return any(listener.open for listener in self.sockets)


class StreamNetwork:
    """Hosts, listeners and the connections between them."""

    def __init__(self, loop: VirtualEventLoop, random: Random, latency: Latency) -> None:
        """`latency` returns the one-way latency in microseconds between two zones."""
        self.loop = loop
        self.random = random
        self.latency = latency
        self.ends: list[StreamEnd] = []
        self.portions = 0  # portions of data delivered
        self._hosts: dict[str, StreamHost] = {}
        self._listeners: dict[tuple[str, int], StreamListener] = {}
        self._next_port = 30_000

    def add_host(self, ip: str, zone: str) -> StreamHost:
        """Adds a machine to the network, on which processes can then listen; `zone` sets its latency."""
        host = self._hosts[ip] = StreamHost(ip, zone)
        return host

    def host(self, ip: str) -> StreamHost:
        """Looks up a host that `add_host` has added; any other address raises KeyError."""
        return self._hosts[ip]

    def listen(self, ip: str, port: int, factory: ProtocolFactory, process: Process) -> StreamListener:
        """Accepts connections to an address for a process; raises OSError if the address is in use."""
        if (ip, port) in self._listeners:
            raise OSError(errno.EADDRINUSE, "address already in use")
        listener = StreamListener(self, self._hosts[ip], port, factory, process)
        self._listeners[ip, port] = listener
        return listener

    def unbind(self, listener: StreamListener) -> None:
        """Frees a listener's address, unless another listener has bound the address since."""
        key = (listener.host.ip, listener.port)
        if self._listeners.get(key) is listener:
            del self._listeners[key]

    def connect(self, host: StreamHost, ip: str, port: int) -> asyncio.Future[StreamEnd]:
        """Connects to an address.

        The connection is refused if nothing listens there, and never completes if a host is unreachable.
        """
        connected: asyncio.Future[StreamEnd] = self.loop.create_future()
        delay = self.draw_latency(host, self._hosts[ip])
        self.loop.call_external(self.loop.microseconds + delay, self._syn, host, ip, port, connected)
        return connected

    def draw_latency(self, source: StreamHost, destination: StreamHost) -> int:
        """Draws the microseconds that a packet takes from one host to another."""
        return self.latency(source.zone, destination.zone) + self.random.randrange(200)

    def end_process(self, process: Process) -> None:
        """Closes all listeners and connections of a process that has ended."""
        for listener in [each for each in self._listeners.values() if each.process is process]:
            listener.close()
        for end in [end for end in self.ends if end.process is process]:
            end.protocol = None
            end.close_by_kernel(with_reset=self.random.random() < 0.5)

    def remove_end(self, end: StreamEnd) -> None:
        """Removes a connection end that is closed."""
        if end in self.ends:
            self.ends.remove(end)

    def _syn(self, host: StreamHost, ip: str, port: int, connected: asyncio.Future[StreamEnd]) -> None:
        peer = self._hosts[ip]
        if peer.unreachable or host.unreachable:
            return  # a real system would send the SYN again until the caller times out
        listener = self._listeners.get((ip, port))
        back = self.loop.microseconds + self.draw_latency(peer, host)
        if listener is None or listener.process.state is ProcessState.ENDED:
            self.loop.call_external(back, _refuse, connected)
            return
        near, far = self._create_pair(host, listener)
        listener.enqueue(far)
        self.loop.call_external(back, _complete_connect, connected, near)

    def _create_pair(self, host: StreamHost, listener: StreamListener) -> tuple[StreamEnd, StreamEnd]:
        self._next_port += 1
        local, remote = (host.ip, self._next_port), (listener.host.ip, listener.port)
        near = StreamEnd(self, host, local, remote)
        far = StreamEnd(self, listener.host, remote, local)
        near.peer, far.peer = far, near
        far.process = listener.process
        self.ends += [near, far]
        return near, far


def _refuse(connected: asyncio.Future[StreamEnd]) -> None:
    if not connected.done():
        connected.set_exception(ConnectionRefusedError(errno.ECONNREFUSED, "refused"))


def _complete_connect(connected: asyncio.Future[StreamEnd], end: StreamEnd) -> None:
    if connected.done():
        end.close_by_kernel(with_reset=False)  # the caller has already given up
    else:
        connected.set_result(end)


class StreamEnd(asyncio.Transport):
    """One end of a connection: the transport of a process and the socket buffers of its system."""

    def __init__(
        self, network: StreamNetwork, host: StreamHost, local: tuple[str, int], remote: tuple[str, int]
    ) -> None:
        super().__init__({"sockname": local, "peername": remote})
        self.network = network
        self.host = host
        self.process: Process | None = current_process()
        self.protocol: asyncio.Protocol | None = None
        self.peer: StreamEnd
        self.sent = 0  # bytes that the system has taken from the process
        self._inbox: deque[bytes] = deque()  # data received and not yet read by the process
        self._eof_received = False  # whether the peer's end of stream was received
        self._reset_error: OSError | None = None  # the error of a received reset, or None
        self._outbox = b""  # data written by the process and not yet taken by its system
        self._in_flight = 0  # bytes sent and not yet read by the peer's process
        self._acknowledged_at = network.loop.microseconds
        self._last_arrival = 0  # arrival time of the latest event in this direction
        self._reading = True
        self._closing = False
        self._eof_written = False  # whether the process has ended its sending direction
        self._socket_closed = False
        self._writing_paused = False
        self._connection_lost = False  # whether connection_lost was called or is scheduled
        self._read_scheduled = False
        # Events that were lost on the way and will be sent again.
        self._retransmissions: list[tuple[Callable[..., None], tuple[Any, ...]]] = []

    # ---- methods for the protocol ---------------------------------------------------------------------

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """See `asyncio.WriteTransport`."""
        if not data or self._connection_lost or self._eof_written:
            return
        if self._reset_error is not None:
            self._fail(self._reset_error)
            return
        self._outbox += bytes(data)
        self._send_buffered()
        if len(self._outbox) > HIGH_WATER and not self._writing_paused and self.protocol is not None:
            self._writing_paused = True
            self.protocol.pause_writing()

    def writelines(self, list_of_data: Any) -> None:
        """See `asyncio.WriteTransport`."""
        self.write(b"".join(list_of_data))

    def write_eof(self) -> None:
        """Ends the sending direction only."""
        if not self._eof_written:
            self._eof_written = True
            self._send_buffered()

    def can_write_eof(self) -> bool:
        """Always true."""
        return True

    def get_write_buffer_size(self) -> int:
        """Returns the number of bytes not yet taken by the system."""
        return len(self._outbox)

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Does nothing: the limits are fixed."""

    def pause_reading(self) -> None:
        """See `asyncio.ReadTransport`."""
        self._reading = False

    def resume_reading(self) -> None:
        """See `asyncio.ReadTransport`."""
        if not self._reading and not self._closing:
            self._reading = True
            self._wake_reader()

    def is_reading(self) -> bool:
        """See `asyncio.ReadTransport`."""
        return self._reading and not self._closing

    def is_closing(self) -> bool:
        """See `asyncio.BaseTransport`."""
        return self._closing

    def close(self) -> None:
        """Closes the connection once the system has taken all written data."""
        if self._closing:
            return
        self._closing = True
        if not self._outbox:
            self._schedule_connection_lost(None)

    def abort(self) -> None:
        """Closes the connection at once and drops data that the system has not taken."""
        self._fail(None)

    def get_protocol(self) -> asyncio.BaseProtocol:
        """See `asyncio.BaseTransport`."""
        assert self.protocol is not None
        return self.protocol

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """See `asyncio.BaseTransport`."""
        assert isinstance(protocol, asyncio.Protocol)
        self.protocol = protocol

    # ---- connection state -----------------------------------------------------------------------------

    def attach(self, protocol: asyncio.BaseProtocol) -> None:
        """Hands the end to the current process, which has to be the one that uses `protocol`."""
        assert isinstance(protocol, asyncio.Protocol)
        self.process = current_process()
        self.protocol = protocol
        protocol.connection_made(self)
        self._wake_reader()

    def close_by_kernel(self, with_reset: bool) -> None:
        """Closes this end of the connection without an action of its process."""
        self._closing = self._connection_lost = True
        self._outbox = b""
        self._close_socket(with_reset or bool(self._inbox))

    def drop_silently(self) -> None:
        """Drops the connection without notifying the peer, whose next data is answered with a reset."""
        self._closing = self._connection_lost = self._socket_closed = True
        self._inbox.clear()
        self.network.remove_end(self)
        if self.protocol is not None:
            protocol, self.protocol = self.protocol, None
            protocol.connection_lost(None)

    def reset_by_network(self) -> None:
        """Resets both directions, as a middlebox may do."""
        for end in (self, self.peer):
            end.receive_reset(ConnectionResetError(errno.ECONNRESET, "reset on the way"))

    # ---- sending in the system ------------------------------------------------------------------------

    def _send_buffered(self) -> None:
        """Sends as much as the window allows, in portions of random size."""
        while self._outbox and self._in_flight < WINDOW and not self._socket_closed:
            size = self._portion_size(min(len(self._outbox), WINDOW - self._in_flight))
            portion, self._outbox = self._outbox[:size], self._outbox[size:]
            if not self._in_flight:
                self._acknowledged_at = self.network.loop.microseconds
                self._schedule_timeout_check()
            self.sent += size
            self._in_flight += size
            self._send(self.peer.receive_bytes, portion)
        if self._writing_paused and len(self._outbox) <= LOW_WATER and self.protocol is not None:
            self._writing_paused = False
            self._call_process(self._resume_writer)
        if self._outbox:
            return
        if self._closing and not self._connection_lost:
            self._schedule_connection_lost(None)
        elif self._eof_written and not self._socket_closed:
            self._send(self.peer.receive_eof)

    def _portion_size(self, most: int) -> int:
        random = self.network.random
        return random.randint(1, most) if random.random() < SMALL_PORTION_SHARE else most

    def _send(self, event: Callable[..., None], *arguments: Any) -> None:
        """Schedules an event at the peer, after all earlier ones of this direction."""
        loop = self.network.loop
        at = loop.microseconds + self.network.draw_latency(self.host, self.peer.host)
        self._last_arrival = max(at, self._last_arrival + 1)
        loop.call_external(self._last_arrival, self._deliver, event, arguments)

    def _deliver(self, event: Callable[..., None], arguments: tuple[Any, ...]) -> None:
        if self._retransmissions or self.host.unreachable or self.peer.host.unreachable:
            if not self._retransmissions:
                self._send_again_later()
            self._retransmissions.append((event, arguments))
        else:
            event(*arguments)

    def _send_again_later(self) -> None:
        self.network.loop.call_external(self.network.loop.microseconds + RETRANSMISSION, self._send_again)

    def _send_again(self) -> None:
        """Sends again the events that were lost on the way, as TCP does."""
        if self.host.unreachable or self.peer.host.unreachable:
            self._send_again_later()
            return
        retransmissions, self._retransmissions = self._retransmissions, []
        for event, arguments in retransmissions:
            event(*arguments)

    def _schedule_timeout_check(self) -> None:
        loop = self.network.loop
        loop.call_external(loop.microseconds + USER_TIMEOUT, self._check_timeout)

    def _check_timeout(self) -> None:
        unacknowledged_for = self.network.loop.microseconds - self._acknowledged_at
        if self._socket_closed or not self._in_flight:
            return
        if not self.host.unreachable and not self.peer.host.unreachable:
            return  # the peer's system is reachable and only its process does not read
        if unacknowledged_for >= USER_TIMEOUT:
            self.receive_reset(TimeoutError(errno.ETIMEDOUT, "not acknowledged"))
        else:
            self._schedule_timeout_check()

    def _resume_writer(self) -> None:
        if self.protocol is not None and not self._connection_lost:
            self.protocol.resume_writing()

    # ---- receiving in the system ----------------------------------------------------------------------

    def receive_bytes(self, portion: bytes) -> None:
        """Queues arrived data for the protocol, or answers with a reset if the socket is closed."""
        self.network.portions += 1
        if self._socket_closed:
            self._send(self.peer.receive_reset, ConnectionResetError(errno.ECONNRESET, "reset"))
            return
        if self._reset_error is None:
            self._inbox.append(portion)
            self._wake_reader()

    def receive_eof(self) -> None:
        """Handles the arrival of the peer's end of stream."""
        self._eof_received = True
        self._wake_reader()

    def receive_reset(self, error: OSError) -> None:
        """Handles the arrival of a reset. Data received before is dropped in half of the cases."""
        if self._socket_closed or self._reset_error is not None:
            return
        self._reset_error = error
        if self.network.random.random() < 0.5:
            self._inbox.clear()
        if self._outbox or self._closing:  # the writer notices the error first
            self._call_process(lambda: self._fail(error))
        self._wake_reader()

    def receive_acknowledgement(self, size: int) -> None:
        """Handles the acknowledgement of `size` bytes that the peer's process has read."""
        self._in_flight -= size
        self._acknowledged_at = self.network.loop.microseconds
        self._send_buffered()

    def _wake_reader(self) -> None:
        if self.protocol is not None and not self._read_scheduled and not self._closing:
            self._read_scheduled = True
            self._call_process(self._read)

    def _call_process(self, call: Callable[[], None]) -> None:
        process = self.process
        if process is None:
            self.network.loop.call_external(self.network.loop.microseconds, call)
        else:
            process.when_running(lambda: process.run(call))

    def _read(self) -> None:
        """Runs when the process's event loop finds the socket readable."""
        self._read_scheduled = False
        if not self._reading or self._closing or self.protocol is None:
            return
        if self._inbox:
            data = self._read_inbox(LARGEST_READ)
            self._send(self.peer.receive_acknowledgement, len(data))
            self._deliver_to_protocol(data)
            if self._inbox or self._eof_received or self._reset_error is not None:
                self._wake_reader()
        elif self._reset_error is not None:
            self._fail(self._reset_error)
        elif self._eof_received:
            self._eof_received = False
            if not self.protocol.eof_received():
                self.close()

    def _read_inbox(self, most: int) -> bytes:
        parts: list[bytes] = []
        size = 0
        while self._inbox and size < most:
            parts.append(self._inbox.popleft())
            size += len(parts[-1])
        return b"".join(parts)

    def _deliver_to_protocol(self, data: bytes) -> None:
        assert self.protocol is not None
        try:
            self.protocol.data_received(data)
        except Exception as error:  # like asyncio: the connection is closed with the error
            self.network.loop.call_exception_handler({"message": "data_received", "exception": error})
            self._fail(error)

    # ---- closing --------------------------------------------------------------------------------------

    def _fail(self, error: Exception | None) -> None:
        if self._connection_lost:
            return
        self._outbox = b""
        self._closing = True
        self._schedule_connection_lost(error)

    def _schedule_connection_lost(self, error: Exception | None) -> None:
        self._connection_lost = True
        loop = self.network.loop
        if self.process is None:
            loop.call_soon(self._call_connection_lost, error)
        else:
            self.process.run(loop.call_soon, self._call_connection_lost, error)

    def _call_connection_lost(self, error: Exception | None) -> None:
        protocol, self.protocol = self.protocol, None
        if protocol is not None:
            protocol.connection_lost(error)
        self._close_socket(with_reset=bool(self._inbox) or self._reset_error is not None)

    def _close_socket(self, with_reset: bool) -> None:
        """Closes the socket, with a reset if there are unread bytes."""
        if self._socket_closed:
            return
        self._socket_closed = True
        self._inbox.clear()
        if self._reset_error is None:
            if with_reset:
                self._send(self.peer.receive_reset, ConnectionResetError(errno.ECONNRESET, "reset"))
            elif not self._eof_written:
                self._send(self.peer.receive_eof)
        self.network.remove_end(self)
