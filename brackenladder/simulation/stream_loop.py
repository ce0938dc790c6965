"""The virtual event loop with asyncio's methods to open and accept connections, on simulated streams."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from brackenladder.simulation.streams import StreamEnd, StreamHost, StreamNetwork, StreamServer
from brackenladder.simulation.turn_order import TurnOrder
from brackenladder.simulation.virtual_loop import Process, VirtualEventLoop, current_process


class SimulatedSocket:
    """The socket that `sock_connect` connects and `create_connection` takes over."""

    def __init__(self) -> None:
        self.end: StreamEnd | None = None
        self.taken = False

    def setblocking(self, flag: bool) -> None:
        """See `socket.socket`."""

    def close(self) -> None:
        """See `socket.socket`."""
        if self.end is not None and not self.taken:
            self.end.close_by_kernel(with_reset=False)


class StreamEventLoop(VirtualEventLoop):
    """A `VirtualEventLoop` whose processes use a `StreamNetwork`, each from its own host."""

    def __init__(self, turn_order: TurnOrder | None = None) -> None:
        super().__init__(turn_order)
        self.streams: StreamNetwork
        self._hosts: dict[Process, StreamHost] = {}

    def assign_host(self, process: Process, host: StreamHost) -> None:
        """Sets the host on which a process runs."""
        self._hosts[process] = host

    async def create_server(  # type: ignore[override]  # only the form used here
        self,
        protocol_factory: Callable[[], asyncio.BaseProtocol],
        host: str | None = None,
        port: int | None = None,
        **_options: Any,
    ) -> StreamServer:
        """See `asyncio.AbstractEventLoop`."""
        assert host is not None and port is not None
        process = current_process()
        assert process is not None
        listener = self.streams.listen(host, port, protocol_factory, process)
        await asyncio.sleep(0)
        return StreamServer(listener)

    async def sock_connect(self, sock: Any, address: Any) -> None:
        """See `asyncio.AbstractEventLoop`."""
        process = current_process()
        assert process is not None
        sock.end = await self.streams.connect(self._hosts[process], address[0], address[1])

    async def create_connection(  # type: ignore[override]  # only the form used here
        self, protocol_factory: Callable[[], asyncio.BaseProtocol], *, sock: Any, **_options: Any
    ) -> tuple[StreamEnd, asyncio.BaseProtocol]:
        """See `asyncio.AbstractEventLoop`; for a connected socket."""
        protocol = protocol_factory()
        end: StreamEnd = sock.end
        sock.taken = True
        waiter = self.create_future()
        self.call_soon(end.attach, protocol)
        self.call_soon(_set_unless_done, waiter)
        try:
            await waiter
        except BaseException:
            end.close()
            raise
        return end, protocol


def _set_unless_done(waiter: asyncio.Future[None]) -> None:
    if not waiter.done():
        waiter.set_result(None)
