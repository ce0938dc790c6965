"""The faulty node for MessagePack-RPC: `rogue_rpc.py MODE run --operator FILE`, started like a node.

The modes are defects that only this protocol allows: answers with swapped msgids, retries of calls whose
connection was reset, and notifications, which get no answer.
"""

from __future__ import annotations

import asyncio
import sys
import tomllib
from itertools import count
from typing import Any

import msgpack
from rogue import REFUSED, SPARE, Answer, Request, Rogue, connect


class Call(Request):
    """An RPC call with the attributes of an HTTP request that `Rogue` uses."""

    def __init__(self, msgid: int, klass: str, params: list[Any], arrived: float) -> None:
        self.msgid = msgid
        self.klass = klass
        self.params = params
        self.arrived = arrived
        self.budget = params[1] / 1000


class RpcRogue(Rogue):
    def __init__(self, mode: str, operator: str) -> None:
        super().__init__(mode)
        with open(operator, "rb") as file:
            table = tomllib.load(file)["rpc"]
        self.config["discovery"] = table["discovery"]
        self.rpc_listen = table["listen"]
        self.held: tuple[asyncio.StreamWriter, int, bytes] | None = None
        self.msgids = count(1)

    async def attempt(self, request: Request, line: dict[str, Any], patience: float) -> Answer:
        assert isinstance(request, Call)
        how, body = await self.call_server(request, line, patience)
        if how == "reset" and self.mode == "half-written" and self.effects[request.klass] == "single_shot":
            # Defect: treats a call that was written whole and then reset as one that the server got partly.
            return REFUSED, b""
        if self.mode == "notifies" and self.effects[request.klass] == "single_shot" and how == "served":
            await self.notify(request)
        return how, body

    async def notify(self, request: Call) -> None:
        """Defect: runs the call a second time, as a notification, which gets no answer."""
        line = self.pick([])
        assert line is not None
        host, _, port = line["addr"].rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(msgpack.packb([2, request.klass, request.params]))
        await writer.drain()
        self.spawn(self.close_later(writer))

    async def close_later(self, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(1.0)
        writer.close()

    async def call_server(self, request: Call, line: dict[str, Any], patience: float) -> Answer:
        streams = await connect(line)
        if streams is None:
            return REFUSED, b""
        reader, writer = streams
        try:
            msgid = next(self.msgids)
            writer.write(msgpack.packb([0, msgid, request.klass, request.params]))
            unpacker = msgpack.Unpacker()
            async with asyncio.timeout(max(0.01, patience)):
                while True:
                    data = await reader.read(65536)
                    if not data:
                        return "reset", b""
                    unpacker.feed(data)
                    for _, number, error, result in unpacker:
                        assert number == msgid
                        if error is None:
                            return "served", result
                        return (REFUSED if error[0] == "rejected" else "error"), b""
        except (OSError, TimeoutError):
            return "reset", b""
        finally:
            writer.close()

    async def calls(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        unpacker = msgpack.Unpacker()
        loop = asyncio.get_running_loop()
        while data := await reader.read(65536):
            unpacker.feed(data)
            for _, msgid, klass, params in unpacker:
                self.spawn(self.handle_call(Call(msgid, klass, params, loop.time()), writer))
        writer.close()

    async def handle_call(self, request: Call, writer: asyncio.StreamWriter) -> None:
        status, body = await self.answer(request)
        if status != 200:
            word = "refused" if status == 503 else "failed"
            writer.write(msgpack.packb([1, request.msgid, [word, 0.0, ""], None]))
        elif self.mode == "swapped" and self.held is None:
            self.held = (writer, request.msgid, body)
            await asyncio.sleep(SPARE / 2)
            if self.held is not None:  # no other answer came to swap with
                self.held = None
                writer.write(msgpack.packb([1, request.msgid, None, body]))
        elif self.mode == "swapped" and self.held is not None:
            (other, msgid, theirs), self.held = self.held, None
            writer.write(msgpack.packb([1, request.msgid, None, theirs]))
            other.write(msgpack.packb([1, msgid, None, body]))
        else:
            writer.write(msgpack.packb([1, request.msgid, None, body]))

    async def run(self) -> None:
        host, _, port = self.rpc_listen.rpartition(":")
        await asyncio.start_server(self.calls, host, int(port))
        await super().run()


if __name__ == "__main__":
    asyncio.run(RpcRogue("" if sys.argv[1] == "right" else sys.argv[1], sys.argv[-1]).run())
