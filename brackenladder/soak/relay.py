"""A relay between nodes: what one sends another can be held up, in one direction or both, or cut off."""

from __future__ import annotations

import asyncio
from collections import Counter
from contextlib import suppress

from brackenladder.local_site.layout import INTERNAL_PORTS, Machine
from brackenladder.soak.events import Order, Tell
from brackenladder.soak.site import SoakLayout

PIECE = 64 * 1024  # bytes read at a time
CONNECT_SECONDS = 1.0
LOOK_SECONDS = 0.02  # between two looks at whether a hold is over
Direction = tuple[str, str]  # names of the sender and the receiver


class Relay:
    """All links from nodes to control nodes."""

    def __init__(self, layout: SoakLayout, _region: str, _seed: str, _tell: Tell) -> None:
        self._layout = layout
        self._holds: Counter[Direction] = Counter()  # troubles that hold up a direction
        self._servers: list[asyncio.Server] = []
        self._links: dict[asyncio.Task[None], Direction] = {}

    async def start(self) -> None:
        """Listens for every node that may dial a control node."""
        for target in self._layout.control:
            for source in self._layout.machines:
                if source is not target:
                    await self._listen(source, target)

    def order(self, order: Order) -> None:
        """`hold` (what is sent in these directions arrives late), `release`, or `reset` of links."""
        for one, other in order["pairs"]:
            if order["do"] == "reset":
                self._reset(one, other)
            elif order["do"] == "hold":
                self._holds[one, other] += 1
            else:
                self._holds[one, other] -= 1

    async def stop(self) -> None:
        """Ends all."""
        for server in self._servers:
            server.close()
        for task in tuple(self._links):
            task.cancel()
        await asyncio.gather(*self._links, return_exceptions=True)

    def _reset(self, one: str, other: str) -> None:
        for task, direction in tuple(self._links.items()):
            if set(direction) == {one, other}:
                task.cancel()

    async def _passed(self, direction: Direction) -> None:
        """Returns once nothing holds up this direction."""
        while self._holds[direction] > 0:
            await asyncio.sleep(LOOK_SECONDS)

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
        """Until one side ends."""
        forth, back = (source.name, target.name), (target.name, source.name)
        await self._passed(forth)
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                inner, outer = await asyncio.open_connection(target.ip, INTERNAL_PORTS[0])
        except OSError:
            return
        pumps = [
            asyncio.create_task(self._pump(reader, outer, forth)),
            asyncio.create_task(self._pump(inner, writer, back)),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            outer.transport.abort()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, direction: Direction
    ) -> None:
        with suppress(OSError):
            while data := await reader.read(PIECE):
                await self._passed(direction)
                writer.write(data)
                await writer.drain()
