"""The network path between a caller and one node: a delay, and a cut that holds up what is on its way.

Nothing is dropped: what a cut has held up arrives after it, in the order in which it was sent. The end of a
connection is sent again only once the bytes before it are acknowledged, so it arrives a round trip later.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class Path:
    """A proxy at `address` to the same port of `target`."""

    def __init__(
        self, address: str, target: str, port: int, one_way: float, record: Callable[..., None]
    ) -> None:
        self.address = f"{address}:{port}"
        self._target = (target, port)
        self._one_way = one_way
        self._record = record
        self._open = asyncio.Event()
        self._open.set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen(self) -> None:
        """Accepts connections; the target gets one connection for each."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))

    def cut(self) -> None:
        """From now on nothing gets through."""
        self._open.clear()
        self._record("path is cut", path=self.address)

    def heal(self) -> None:
        """What was held up goes on its way."""
        self._open.set()
        self._record("path is whole", path=self.address)

    def close(self) -> None:
        """Ends the proxy and all its connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            far_reader, far_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.close()
            return
        try:
            await asyncio.gather(
                self._carry(reader, far_writer, True), self._carry(far_reader, writer, False)
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
            far_writer.close()

    async def _carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, to_node: bool) -> None:
        """Carries one direction, in the order in which the bytes came."""
        held = False
        while True:
            data = await reader.read(1 << 16)
            held = (held and not data) or not self._open.is_set()
            await self._open.wait()
            await asyncio.sleep(self._one_way)
            if not data:
                break
            if held:
                self._record("held up until now", path=self.address, to_node=to_node, size=len(data))
            writer.write(data)
            await writer.drain()
        if held:
            await asyncio.sleep(2 * self._one_way)
            self._record("the caller's end, a round trip behind", path=self.address, to_node=to_node)
        writer.close()
