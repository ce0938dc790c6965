"""A relay between nodes: what one sends another can be held up, in one direction or both, or cut off."""

from __future__ import annotations

import asyncio
from contextlib import suppress

from brackenladder.soak.events import Order, Tell
from brackenladder.soak.site import SoakLayout
from brackenladder.system.local.layout import Machine

PIECE = 64 * 1024  # bytes read at a time
CONNECT_SECONDS = 1.0
Direction = tuple[str, str]  # names of the sender and the receiver


class Gate:
    """What passes in one direction between two nodes; several troubles may hold it at a time."""

    def __init__(self) -> None:
        self._holds = 0
        self._open = asyncio.Event()
        self._open.set()

    def hold(self) -> None:
        """Nothing passes until `release`."""
        self._holds += 1
        self._open.clear()

    def release(self) -> None:
        """One hold less."""
        self._holds -= 1
        if not self._holds:
            self._open.set()

    async def passed(self) -> None:
        """Returns once the way is open."""
        await self._open.wait()


class Relay:
    """All links from nodes to control nodes."""

    def __init__(self, layout: SoakLayout, _region: str, _seed: str, _tell: Tell) -> None:
        self._layout = layout
        self._gates: dict[Direction, Gate] = {}
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
                self._gate((one, other)).hold()
            else:
                self._gate((one, other)).release()

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

    def _gate(self, direction: Direction) -> Gate:
        return self._gates.setdefault(direction, Gate())

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
        forth, back = self._gate((source.name, target.name)), self._gate((target.name, source.name))
        await forth.passed()
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                inner, outer = await asyncio.open_connection(*self._layout.inner_address(target))
        except OSError:
            return
        pumps = [
            asyncio.create_task(_pump(reader, outer, forth)),
            asyncio.create_task(_pump(inner, writer, back)),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            outer.transport.abort()


async def _pump(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, gate: Gate) -> None:
    with suppress(OSError):
        while data := await reader.read(PIECE):
            await gate.passed()
            writer.write(data)
            await writer.drain()
