"""Servers that misbehave at random: a client gets a complete server response or can tell that it did not."""

from __future__ import annotations

import asyncio
from collections import Counter
from random import Random

from attrs import evolve
from gateway_loopback import (
    LAST_CHUNK,
    ROUTES,
    ClientAnswer,
    GatewayTest,
    Received,
    answer,
    chunk,
    event,
    post,
    stream_head,
)

CLIENTS = 6
REQUESTS = 40  # of each client
EVENTS = 6  # of each stream
PATIENCE = 60.0  # seconds; only a failing test waits this long
NOT_RUN_STATUSES = (408, 421, 429, 503)


class RandomFaults(GatewayTest):
    """`runs` counts how often a server has begun to run each request."""

    servers = 4
    routes = tuple([evolve(route, target_latency_ms=200, timeout_ms=3000) for route in ROUTES])

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.random = Random(11)
        self.runs: Counter[str] = Counter()
        self.play(self.misbehave)

    # ---- servers --------------------------------------------------------------------------------------

    async def misbehave(self, request: Received) -> None:
        if self.random.random() < 0.1:
            request.write(answer(request.id, b"", "503 Full", ["X-Brackenladder-Not-Executed: true"]))
            return
        self.runs[request.id] += 1
        if self.random.random() < 0.05:
            request.write(answer("another", b"wrong"))
        whole = self.stream_of(request) if "/plain" not in request.target else self.body_of(request)
        if self.random.random() < 0.2:
            await self.cut(request, whole)
            return
        for piece in self.pieces(whole):
            request.write(piece)
            await request.writer.drain()
        if self.random.random() < 0.1:
            request.write(
                self.random.choice((b"\r\n", b"surplus", answer("another"), answer(request.id)[:20]))
            )

    async def cut(self, request: Received, whole: bytes) -> None:
        at = self.random.randrange(len(whole))
        request.write(whole[:at])
        if at < whole.index(b"\r\n\r\n") and self.random.random() < 0.5:
            request.write(b"\x00\xffgarble\r\n\r\n")
        await request.writer.drain()
        if self.random.random() < 0.5:
            request.reset()
        else:
            request.writer.write_eof()
            await request.client_closed()

    def body_of(self, request: Received) -> bytes:
        if self.random.random() < 0.1:
            return answer(request.id, request.body, "500 Oops")
        return answer(request.id, request.body * 3)

    def stream_of(self, request: Received) -> bytes:
        first = int(request.header("Last-Event-Id") or 0) + 1
        data = b"".join(chunk(event(number)) for number in range(first, EVENTS + 1))
        return stream_head(request.id) + data + LAST_CHUNK

    def pieces(self, whole: bytes) -> list[bytes]:
        at = self.random.randrange(len(whole))
        return [whole[:at], whole[at:]]

    # ---- clients --------------------------------------------------------------------------------------

    async def test_responses_are_complete_or_visibly_broken(self) -> None:
        served = await asyncio.wait_for(
            asyncio.gather(*[self.send_requests(number) for number in range(CLIENTS)]), PATIENCE
        )
        self.assertGreater(sum(served), CLIENTS * REQUESTS // 2)

    async def send_requests(self, client_number: int) -> int:
        random = Random(client_number)
        served = 0
        client = await self.client()
        for number in range(REQUESTS):
            kind = random.choice(("plain", "safe", "stream", "resumable"))
            request_id = f"{client_number}-{number}"
            body = request_id.encode()
            got = await client.ask(post(f"/{kind}/x", request_id, body))
            self.examine(kind, request_id, body, got)
            served += got.status == 200 and got.whole
            if not got.whole:
                client.close()
                client = await self.client()
        return served

    def examine(self, kind: str, request_id: str, body: bytes, got: ClientAnswer) -> None:
        what = (kind, request_id, got, self.runs[request_id])
        signed = "x-brackenladder-response-signature" in got.headers
        self.assertIn(got.status, (200, 500, 502, 503, 504), what)
        self.assertEqual(signed, got.status in (200, 500), what)
        if got.status in NOT_RUN_STATUSES:
            self.assertEqual(self.runs[request_id], 0, what)
        self.assertLessEqual(self.runs[request_id], 1 if kind in ("plain", "stream") else 2, what)
        if got.status != 200:
            self.assertTrue(got.whole, what)
            return
        self.assertEqual(got.headers["x-brackenladder-request-id"], request_id)
        if kind == "plain":
            self.assertEqual((got.body, got.whole), (body * 3, True), what)
            return
        everything = b"".join(event(one) for one in range(1, EVENTS + 1))
        self.assertTrue(everything.startswith(got.body), what)
        if got.whole:  # the connection may also break between a stream's last event and its end
            self.assertEqual(got.body, everything, what)
