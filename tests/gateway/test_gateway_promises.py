"""Guarantees to clients and servers: keep-alive, disconnects, leaving servers, forwarded headers."""

from __future__ import annotations

import asyncio

from attrs import evolve
from gateway_loopback import (
    LAST_CHUNK,
    PATIENCE,
    ROUTES,
    SERVICE,
    GatewayTest,
    Received,
    answer,
    chunk,
    event,
    post,
    serve_ok,
    silent,
    stream_head,
)

from brackenladder.delivery.view import SystemView
from brackenladder.registry.records import ServerRecord, ServerState

PROMPT = (
    ("X-Brackenladder-Model", "m-7"),
    ("x-brackenladder-token-usage", "1460,80"),
    ("X-Brackenladder-Prompt-Prefix", "5c1e07a2:800,e4402b7d:250"),
)


async def reset(request: Received) -> None:
    request.reset()


async def close(request: Received) -> None:
    request.writer.close()


async def garble(request: Received) -> None:
    request.write(b"\x00\xffno answer\r\n\r\n")


async def break_off(request: Received) -> None:
    request.write(answer(request.id, b"cut here")[:-4])
    request.reset()


async def answer_another(request: Received) -> None:
    request.write(answer("another", b"wrong"))
    request.reset()


async def break_before_an_event(request: Received) -> None:
    request.write(stream_head(request.id) + chunk(event(1)[:8]))
    request.reset()


class KeptConnection(GatewayTest):
    async def test_whatever_the_server_does_the_request_is_answered_and_the_connection_kept(self) -> None:
        client = await self.client()
        ills = (reset, close, garble, break_off, answer_another, break_before_an_event)
        for number, ill in enumerate(ills):
            path = "/stream/x" if ill is break_before_an_event else "/plain/x"
            with self.subTest(ill.__name__):
                self.play(ill)
                got = await asyncio.wait_for(client.ask(post(path, f"i{number}")), PATIENCE)
                self.assertEqual((got.status, got.whole), (502, True))
                self.assertNotIn("connection", got.headers)
        self.play(silent)
        got = await asyncio.wait_for(client.ask(post("/plain/x", "s", deadline_ms=40)), PATIENCE)
        self.assertEqual((got.status, got.whole), (504, True))
        self.play(serve_ok)
        got = await asyncio.wait_for(client.ask(post("/plain/x", "ok")), PATIENCE)
        self.assertEqual((got.status, got.whole), (200, True))


class DisconnectingClient(GatewayTest):
    """The timeouts are too long to expire during a test."""

    servers = 1
    routes = tuple([evolve(route, timeout_ms=60_000, target_latency_ms=20_000) for route in ROUTES])

    async def leave(self, path: str, after_head: bool) -> Received:
        """Let a client disconnect while its request is at a server."""
        leaving = await self.client()
        leaving.send(post(path, "r1", deadline_ms=60_000))
        request = await self.next_request()
        if after_head:
            await leaving.head()
        leaving.close()
        return request

    async def test_its_server_is_freed_at_once(self) -> None:
        async def begin(request: Received) -> None:
            request.write(stream_head(request.id) + chunk(event(1)))
            await request.client_closed()

        for path, behaviour in (("/plain/x", silent), ("/stream/x", silent), ("/stream/x", begin)):
            with self.subTest(path=path, behaviour=behaviour.__name__):
                self.play(behaviour)
                request = await self.leave(path, after_head=behaviour is begin)
                await asyncio.wait_for(request.closed.wait(), PATIENCE)


class WaitingClient(GatewayTest):
    """The servers become known late: until then requests wait in the gateway."""

    def list_servers(self, state: ServerState = ServerState.READY, seq: int = 1) -> None:
        pass

    async def test_a_waiting_request_whose_client_disconnects_is_never_sent(self) -> None:
        leaving = await self.client()
        leaving.send(post("/plain/x", "r1", b"", method="GET"))
        await self.ask(post("/none/x", "read", deadline_ms=20))
        leaving.close()
        await self.ask(post("/none/x", "closed", deadline_ms=20))
        super().list_servers()
        got = await self.ask(post("/plain/x", "r2"))
        self.assertEqual((got.status, [one.id for one in self.script.requests]), (200, ["r2"]))


class LeavingServer(GatewayTest):
    """A server may deregister and continue with the requests that it has."""

    async def test_open_requests_continue_and_no_new_ones_are_sent(self) -> None:
        go = asyncio.Event()

        async def begin(request: Received) -> None:
            request.write(stream_head(request.id) + chunk(event(1)))
            await go.wait()
            request.write(chunk(event(2)) + LAST_CHUNK)

        async def take_time(request: Received) -> None:
            await go.wait()
            request.write(answer(request.id))

        self.play(begin, take_time, serve_ok)
        streaming, waiting = await self.client(), await self.client()
        streaming.send(post("/stream/x", "r1"))
        await streaming.head()
        waiting.send(post("/plain/x", "r2"))
        await self.next_request()
        await self.next_request()
        end(self.view, *{request.server for request in self.script.requests})
        got = await self.ask(post("/plain/x", "r3"))
        self.assertEqual(got.status, 200 if len(self.script.requests) == 3 else 503)
        self.assertNotIn(
            "r3", [one.id for one in self.script.requests if one.server not in self.view.servers]
        )
        go.set()
        got = await asyncio.wait_for(streaming.read_body(), PATIENCE)
        self.assertEqual((got.body, got.whole), (event(1) + event(2), True))
        got = await asyncio.wait_for(waiting.read(), PATIENCE)
        self.assertEqual((got.status, got.whole), (200, True))


class PromptHeaders(GatewayTest):
    def lines(self, request: Received) -> list[tuple[str, str]]:
        names = {name.lower() for name, _ in PROMPT}
        return [(name, value) for name, value in request.lines if name.lower() in names]

    async def test_its_headers_reach_every_server_unchanged(self) -> None:
        async def broken(request: Received) -> None:
            request.write(stream_head(request.id) + chunk(event(1)))
            await request.client_read.wait()
            request.reset()

        async def rest(request: Received) -> None:
            request.write(stream_head(request.id) + chunk(event(2)) + LAST_CHUNK)

        self.play(broken, rest)
        extra = [f"{name}: {value}" for name, value in PROMPT]
        connection = "Connection: keep-alive, x-brackenladder-model, x-brackenladder-prompt-prefix"
        got = await self.ask(post("/resumable/x", extra=[*extra, connection]))
        self.assertEqual((got.body, got.whole), (event(1) + event(2), True))
        self.assertEqual([self.lines(one) for one in self.script.requests], [list(PROMPT)] * 2)

    async def test_the_model_versions_reach_the_client(self) -> None:
        versioned = b"versions: 4\nid: 1\ndata: piece\n\n"

        async def serve(request: Received) -> None:
            head = stream_head(request.id).replace(b"Content-Type", b"Versions: 3\r\nContent-Type")
            request.write(head + chunk(versioned + event(2)) + LAST_CHUNK)

        self.play(serve)
        for path in ("/stream/x", "/resumable/x"):
            got = await self.ask(post(path))
            self.assertEqual((got.body, got.whole), (versioned + event(2), True))
            self.assertEqual(got.headers["versions"], "3")


def end(view: SystemView, *servers: str) -> None:
    """Deregister these servers."""
    known = [view.servers[server] for server in servers]
    view.merge_servers(0, [gone(record) for record in known])


def gone(record: ServerRecord) -> ServerRecord:
    assert record.service == SERVICE
    return evolve(record, state=ServerState.GONE)
