"""An evacuation order that lies on its way while later ones are acknowledged."""

from __future__ import annotations

import asyncio
from random import Random

from brackenladder.soak.connection import AnswerError, Connection, ConnectionEnded

CONNECT_SECONDS = 1.0
USED_SHARE = 0.5  # share of the connections that have carried a call before
LATEST_CLOSE_SECONDS = 3.0  # the caller's end follows the order within this time
END_OF_CALLER_LAG_SECONDS = 0.005  # shortest time by which the caller's end follows


class HeldOrder:
    """A connection on which an order was written that arrives at its node only when it is released."""

    def __init__(self, connection: Connection, path: str, random: Random) -> None:
        self._connection = connection
        self._path = path
        self._random = random

    @classmethod
    async def write(cls, address: str, path: str, random: Random) -> HeldOrder | None:
        """Connects to a node; None if that fails. Nothing of the order is on the connection yet."""
        try:
            connection = await Connection.open(address, CONNECT_SECONDS)
            if random.random() < USED_SHARE:
                async with asyncio.timeout(CONNECT_SECONDS):
                    await connection.send("GET", "/-/Status", {"Host": address})
                    async for _ in connection.body(await connection.head()):
                        pass
        except (OSError, ConnectionEnded, AnswerError):
            return None
        return cls(connection, path, random)

    async def release(self) -> None:
        """Lets the order arrive, and the caller's end some time later. The answer is not read."""
        headers = {"Host": self._connection.address, "Content-Length": "0"}
        try:
            await self._connection.send("POST", self._path, headers)
        except ConnectionEnded:
            pass  # the node has closed the connection
        else:
            await asyncio.sleep(self._random.uniform(END_OF_CALLER_LAG_SECONDS, LATEST_CLOSE_SECONDS))
        self._connection.close()
