"""Byte streams of a simulated run, as TCP carries them: in any portions, reset or ended at any byte, held up.

`StreamEnd` is an `asyncio.Transport`. Where TCP and asyncio have corners that programs stumble over, it has
them too: what is written to an end that the other has forgotten meets a reset a round trip later; a process
that stands still keeps its connections, and new ones come up; closing with bytes unread resets; a connection
that is taken as its listener closes is dropped without a word to its protocol.
"""

from __future__ import annotations

import asyncio
import errno
from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any

from brackenladder.simulation.virtual_loop import Process, ProcessState, VirtualEventLoop, current_process

WINDOW = 131_072  # bytes on the way to a reader, and not read by it
HIGH_WATER = 65_536  # bytes that wait in the writing process, from which it is told to pause
LOW_WATER = 16_384
LARGEST_READ = 262_144  # bytes handed to a protocol at once
SMALL_PORTION_SHARE = 0.3  # of the portions that are cut short wherever it may be
USER_TIMEOUT = 4_000_000  # microseconds without any acknowledgement that end a connection
RETRANSMISSION = 200_000  # microseconds until what was lost is sent again

ProtocolFactory = Callable[[], asyncio.BaseProtocol]
Latency = Callable[[str, str], int]


class StreamHost:
    """A machine with an address. `dark`: it answers nothing at all."""

    def __init__(self, ip: str, zone: str) -> None:
        self.ip = ip
        self.zone = zone  # by which latency is told
        self.unreachable = False


class StreamListener:
    """A bound address. A socket of an `asyncio.Server`."""

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
        """Nothing more is taken."""
        self.open = False
        self._network.unbind(self)

    def enqueue(self, end: StreamEnd) -> None:
        """A connection waits in the backlog; the process takes it when it runs."""
        self.process.when_running(lambda: self.process.run(self._accept, end))

    def _accept(self, end: StreamEnd) -> None:
        if not self.open:
            end.close_by_kernel(with_reset=True)
            return
        protocol = self._factory()
        asyncio.get_running_loop().call_soon(self._attach, end, protocol)

    def _attach(self, end: StreamEnd, protocol: asyncio.BaseProtocol) -> None:
        if not self.open:  # asyncio drops it here, and its protocol never hears of it
            end.close_by_kernel(with_reset=True)
            return
        end.attach(protocol)


class StreamServer:
    """What `create_server` returns."""

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
    """Hosts, listeners and the connections among them."""

    def __init__(self, loop: VirtualEventLoop, random: Random, latency: Latency) -> None:
        """`latency`: microseconds one way between two places."""
        self.loop = loop
        self.random = random
        self.latency = latency
        self.ends: list[StreamEnd] = []
        self.portions = 0  # delivered
        self._hosts: dict[str, StreamHost] = {}
        self._listeners: dict[tuple[str, int], StreamListener] = {}
        self._next_port = 30_000

    def add_host(self, ip: str, zone: str) -> StreamHost:
        """A machine is there from now on."""
        host = self._hosts[ip] = StreamHost(ip, zone)
        return host

    def host(self, ip: str) -> StreamHost:
        """The machine with an address."""
        return self._hosts[ip]

    def listen(self, ip: str, port: int, factory: ProtocolFactory, process: Process) -> StreamListener:
        """Binds an address for a process."""
        if (ip, port) in self._listeners:
            raise OSError(errno.EADDRINUSE, "address already in use")
        listener = StreamListener(self, self._hosts[ip], port, factory, process)
        self._listeners[ip, port] = listener
        return listener

    def unbind(self, listener: StreamListener) -> None:
        """Frees an address."""
        key = (listener.host.ip, listener.port)
        if self._listeners.get(key) is listener:
            del self._listeners[key]

    def connect(self, host: StreamHost, ip: str, port: int) -> asyncio.Future[StreamEnd]:
        """A connection from a host; refused where nobody listens, and never there if the other is dark."""
        connected: asyncio.Future[StreamEnd] = self.loop.create_future()
        draw_latency = self.draw_latency(host, self._hosts[ip])
        self.loop.call_external(self.loop.microseconds + draw_latency, self._syn, host, ip, port, connected)
        return connected

    def draw_latency(self, one: StreamHost, peer: StreamHost) -> int:
        """Microseconds from one host to another, as of now."""
        return self.latency(one.zone, peer.zone) + self.random.randrange(200)

    def end_process(self, process: Process) -> None:
        """A process is gone: its system closes all that it had."""
        for listener in [one for one in self._listeners.values() if one.process is process]:
            listener.close()
        for end in [end for end in self.ends if end.process is process]:
            end.protocol = None
            end.close_by_kernel(with_reset=self.random.random() < 0.5)

    def remove_end(self, end: StreamEnd) -> None:
        """Nothing happens at this end any more."""
        if end in self.ends:
            self.ends.remove(end)

    def _syn(self, host: StreamHost, ip: str, port: int, connected: asyncio.Future[StreamEnd]) -> None:
        peer = self._hosts[ip]
        if peer.unreachable or host.unreachable:
            return  # sent again by the system, and given up by whoever waits
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
        end.close_by_kernel(with_reset=False)  # whoever dialled has given it up
    else:
        connected.set_result(end)


class StreamEnd(asyncio.Transport):
    """One end of a connection: the process's transport and its system's buffers."""

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
        self._inbox: deque[bytes] = deque()  # arrived, and not read by the process
        self._eof_received = False  # the other's last byte has arrived
        self._reset_error: OSError | None = None  # a reset has arrived
        self._outbox = b""  # written by the process, and not taken by its system
        self._in_flight = 0  # sent, and not read by the other process
        self._acknowledged_at = network.loop.microseconds
        self._last_arrival = 0  # when the latest event of this direction arrives
        self._reading = True
        self._closing = False
        self._eof_written = False  # the process writes no more
        self._socket_closed = False
        self._writing_paused = False
        self._connection_lost = False  # connection_lost was, or is about to be, called
        self._read_scheduled = False
        self._retransmissions: list[
            tuple[Callable[..., None], tuple[Any, ...]]
        ] = []  # lost on the way, to be sent again

    # ---- what a protocol calls ------------------------------------------------------------------------

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
        """Ends this direction alone."""
        if not self._eof_written:
            self._eof_written = True
            self._send_buffered()

    def can_write_eof(self) -> bool:
        """It can."""
        return True

    def get_write_buffer_size(self) -> int:
        """Bytes that the system has not taken."""
        return len(self._outbox)

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """The bounds are fixed."""

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
        """Ends once what was written has been taken by the system."""
        if self._closing:
            return
        self._closing = True
        if not self._outbox:
            self._schedule_connection_lost(None)

    def abort(self) -> None:
        """Ends at once; what the system has not taken is dropped."""
        self._fail(None)

    def get_protocol(self) -> asyncio.BaseProtocol:
        """See `asyncio.BaseTransport`."""
        assert self.protocol is not None
        return self.protocol

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """See `asyncio.BaseTransport`."""
        assert isinstance(protocol, asyncio.Protocol)
        self.protocol = protocol

    # ---- life -----------------------------------------------------------------------------------------

    def attach(self, protocol: asyncio.BaseProtocol) -> None:
        """A process takes the end over; to be called as that process."""
        assert isinstance(protocol, asyncio.Protocol)
        self.process = current_process()
        self.protocol = protocol
        protocol.connection_made(self)
        self._wake_reader()

    def close_by_kernel(self, with_reset: bool) -> None:
        """The system ends it without its process."""
        self._closing = self._connection_lost = True
        self._outbox = b""
        self._close_socket(with_reset or bool(self._inbox))

    def drop_silently(self) -> None:
        """The system has forgotten it, and tells nobody: whatever comes is answered with a reset."""
        self._closing = self._connection_lost = self._socket_closed = True
        self._inbox.clear()
        self.network.remove_end(self)
        if self.protocol is not None:
            protocol, self.protocol = self.protocol, None
            protocol.connection_lost(None)

    def reset_by_network(self) -> None:
        """Something on the way resets both directions."""
        for end in (self, self.peer):
            end.receive_reset(ConnectionResetError(errno.ECONNRESET, "reset on the way"))

    # ---- the system's side: sending -------------------------------------------------------------------

    def _send_buffered(self) -> None:
        """Sends as much as the window lets, in portions of any size."""
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
        """The event happens at the other end, behind all that was sent before."""
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
        """As TCP does with what was not acknowledged."""
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
            return  # whoever does not read is heard all the same
        if unacknowledged_for >= USER_TIMEOUT:
            self.receive_reset(TimeoutError(errno.ETIMEDOUT, "not acknowledged"))
        else:
            self._schedule_timeout_check()

    def _resume_writer(self) -> None:
        if self.protocol is not None and not self._connection_lost:
            self.protocol.resume_writing()

    # ---- the system's side: receiving -----------------------------------------------------------------

    def receive_bytes(self, portion: bytes) -> None:
        """Bytes have arrived."""
        self.network.portions += 1
        if self._socket_closed:
            self._send(self.peer.receive_reset, ConnectionResetError(errno.ECONNRESET, "reset"))
            return
        if self._reset_error is None:
            self._inbox.append(portion)
            self._wake_reader()

    def receive_eof(self) -> None:
        """The other end writes no more."""
        self._eof_received = True
        self._wake_reader()

    def receive_reset(self, error: OSError) -> None:
        """The connection is broken; what has come before may still be read, or not."""
        if self._socket_closed or self._reset_error is not None:
            return
        self._reset_error = error
        if self.network.random.random() < 0.5:
            self._inbox.clear()
        if self._outbox or self._closing:  # the writer finds it
            self._call_process(lambda: self._fail(error))
        self._wake_reader()

    def receive_acknowledgement(self, size: int) -> None:
        """The other process has read so much."""
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
        """The process's event loop finds the socket readable."""
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
        except Exception as error:  # as asyncio does: the connection ends with it
            self.network.loop.call_exception_handler({"message": "data_received", "exception": error})
            self._fail(error)

    # ---- the end --------------------------------------------------------------------------------------

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
        """The socket is closed: unread bytes make it a reset."""
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
