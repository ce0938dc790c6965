"""TCP relay between nodes that can delay traffic in one or both directions, or reset connections."""

from __future__ import annotations

import asyncio
from collections import Counter
from contextlib import suppress

from brackenladder.local_site.layout import INTERNAL_PORTS, Machine
from brackenladder.soak.events import Order, Record
from brackenladder.soak.site import SoakLayout

PIECE = 64 * 1024  # bytes read at a time
CONNECT_SECONDS = 1.0
POLL_SECONDS = 0.02  # interval of the checks whether traffic is still held
Direction = tuple[str, str]  # names of the sender and the receiver


class Relay:
    """Relays all connections from nodes to control nodes."""

    def __init__(self, layout: SoakLayout, _region: str, _seed: str, _record: Record) -> None:
        self._layout = layout
        self._holds: Counter[Direction] = Counter()  # number of active faults that delay each direction
        self._servers: list[asyncio.Server] = []
        self._links: dict[asyncio.Task[None], Direction] = {}

    async def start(self) -> None:
        """Opens a listener for each pair of a node and a control node that the node may dial."""
        for target in self._layout.control:
            for source in self._layout.machines:
                if source is not target:
                    await self._listen(source, target)

    def order(self, order: Order) -> None:
        """Applies `hold` (delays traffic), `release` or `reset` (closes connections) to pairs of machines."""
        for source_name, target_name in order["pairs"]:
            if order["do"] == "reset":
                self._reset(source_name, target_name)
            elif order["do"] == "hold":
                self._holds[source_name, target_name] += 1
            else:
                self._holds[source_name, target_name] -= 1

    async def stop(self) -> None:
        """Closes all listeners and connections."""
        for server in self._servers:
            server.close()
        for task in tuple(self._links):
            task.cancel()
        await asyncio.gather(*self._links, return_exceptions=True)

    def _reset(self, source_name: str, target_name: str) -> None:
        for task, direction in tuple(self._links.items()):
            if set(direction) == {source_name, target_name}:
                task.cancel()

    async def _wait_until_released(self, direction: Direction) -> None:
        """Returns once no fault delays this direction."""
        while self._holds[direction] > 0:
            await asyncio.sleep(POLL_SECONDS)

    async def _listen(self, source: Machine, target: Machine) -> None:
        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            task = asyncio.current_task()
            assert task is not None
            self._links[task] = (source.name, target.name)
            with suppress(asyncio.CancelledError):
                await self._link(source, target, reader, writer)
            del self._links[task]
            writer.transport.abort()

        host, port = self._layout.relay_address(source, target)
        self._servers.append(await asyncio.start_server(accept, host, port))

    async def _link(
        self, source: Machine, target: Machine, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Relays one connection until either side closes it."""
        forth, back = (source.name, target.name), (target.name, source.name)
        await self._wait_until_released(forth)
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                inner, outer = await asyncio.open_connection(target.ip, INTERNAL_PORTS[0])
        except OSError:
            return
        copies = [
            asyncio.create_task(self._copy(reader, outer, forth)),
            asyncio.create_task(self._copy(inner, writer, back)),
        ]
        try:
            await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for copy in copies:
                copy.cancel()
            outer.transport.abort()

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, direction: Direction
    ) -> None:
        with suppress(OSError):
            while data := await reader.read(PIECE):
                await self._wait_until_released(direction)
                writer.write(data)
                await writer.drain()
