"""A server that responds before it has read a long body, keeps the connection open, and reads the rest later.

The gateway must not send another request on that connection, or the server would read it as the rest of the
body.
"""

from __future__ import annotations

import asyncio
from unittest.mock import patch

from gateway_loopback import PATIENCE, GatewayTest, Script, StandIn, answer, post

BODY = bytes(range(256)) * 2_400  # more than the kernel's buffers hold
SMALL = b"small"


class EarlyStandIn(StandIn):
    """Responds to each request after reading its head; bodies are read once `reads_on` is set."""

    def __init__(self, name: str, script: Script) -> None:
        super().__init__(name, script)
        self.reads_on = asyncio.Event()
        self.bodies: list[bytes] = []
        self.answered = asyncio.Event()

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self._writers.add(writer)
        try:
            while True:
                await self._serve(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            if isinstance(error, asyncio.IncompleteReadError) and error.partial:
                self.bodies.append(error.partial)
        finally:
            writer.transport.abort()
            self._writers.discard(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        lines = dict(line.lower().split(": ", 1) for line in head.strip().split("\r\n")[1:])
        extra = ["X-Brackenladder-Not-Executed: true"]
        request_id = lines["x-brackenladder-request-id"]
        writer.write(answer(request_id, b"", "503 Service Unavailable", extra))
        self.answered.set()
        async with asyncio.timeout(PATIENCE):
            await self.reads_on.wait()
        self.bodies.append(await reader.readexactly(int(lines["content-length"])))


class EarlyAnswerTest(GatewayTest):
    servers = 1

    async def asyncSetUp(self) -> None:
        with patch("gateway_loopback.StandIn", EarlyStandIn):
            await super().asyncSetUp()

    async def test_nothing_else_is_sent_where_the_rest_of_the_body_is_due(self) -> None:
        (server,) = self.stand_ins
        assert isinstance(server, EarlyStandIn)
        first = asyncio.create_task(self.ask(post("/plain/x", "r1", BODY, deadline_ms=1000)))
        async with asyncio.timeout(PATIENCE):
            await server.answered.wait()
        second = asyncio.create_task(self.ask(post("/plain/x", "r2", SMALL, deadline_ms=1000)))
        server.reads_on.set()
        self.assertEqual([(await first).status, (await second).status], [503, 503])
        async with asyncio.timeout(PATIENCE):
            while not server.bodies:
                await asyncio.sleep(0)
        for body in server.bodies:
            self.assertTrue(BODY.startswith(body) or SMALL.startswith(body), f"{len(body)} bytes")
