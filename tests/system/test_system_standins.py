"""The stand-in servers and clients follow the protocol of real servers and clients."""

from __future__ import annotations

import socket
import unittest
from collections.abc import Iterable
from random import Random

import aiohttp

from brackenladder.rehearsal.nodes import free_port, unused_loopback_host
from brackenladder.rehearsal.standins.model_clients import ModelClient, OutcomeKind, RequestSpec
from brackenladder.rehearsal.standins.model_engine import EngineSettings, PromptCache, parse_prompt
from brackenladder.rehearsal.standins.model_server import ModelServer, ServerSettings
from brackenladder.system.config_diff import differences

HEADERS = {"X-Brackenladder-Request-Id": "r1", "X-Brackenladder-Token-Usage": "10,12"}


class PromptCacheTest(unittest.TestCase):
    def test_a_part_is_a_hit_only_if_all_parts_before_it_are_cached(self) -> None:
        cache = PromptCache(1000)
        first = parse_prompt("a:100,b:50,c:20", "170,8", 4)
        self.assertEqual((cache.unread(first), first.events), (170, 2))
        cache.keep(first)
        self.assertEqual(cache.unread(parse_prompt("a:100,b:50,d:30", "180,8", 4)), 30)
        self.assertEqual(cache.unread(parse_prompt("b:50,c:20", "70,8", 4)), 70)

    def test_least_recently_used_parts_are_evicted(self) -> None:
        cache = PromptCache(150)
        for name in ("a", "b"):
            cache.keep(parse_prompt(f"{name}:100", "100,4", 4))
        self.assertEqual(cache.unread(parse_prompt("a:100", "100,4", 4)), 100)
        self.assertEqual(cache.unread(parse_prompt("b:100", "100,4", 4)), 0)


class DropsSecondEvent(ModelServer):
    """A server that omits the second event of every stream."""

    def event_numbers(self, first: int, last: int) -> Iterable[int]:
        return (number for number in super().event_numbers(first, last) if number != 2)


class ModelServerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        engine = EngineSettings(slots=1, queue=0, event_seconds=0.001)
        self.server = await self.start(ModelServer, engine)
        self.faulty_server = await self.start(DropsSecondEvent, engine)
        self.session = await self.enterAsyncContext(aiohttp.ClientSession())

    async def start(self, server_type: type[ModelServer], engine: EngineSettings) -> ModelServer:
        """Starts a server at its own address."""
        host = unused_loopback_host(Random())
        address = f"{host}:{free_port(host, socket.SOCK_STREAM)}"
        server = server_type(ServerSettings("i-1", "chat", address, "north-a", engine))
        await server.start()
        self.addAsyncCleanup(server.crash)
        return server

    async def post(self, **headers: str) -> tuple[int, aiohttp.ClientResponse, bytes]:
        renamed = {name.replace("_", "-"): value for name, value in headers.items()}
        url = f"http://{self.server.settings.address}/chat/x"
        async with self.session.post(url, headers=HEADERS | renamed) as answer:
            return answer.status, answer, await answer.read()

    async def test_a_stream_numbers_its_events_and_resumes_after_the_last_one_received(self) -> None:
        status, answer, body = await self.post()
        self.assertEqual((status, answer.headers["X-Brackenladder-Request-Id"]), (200, "r1"))
        self.assertEqual(
            [line for line in body.split(b"\n") if line[:3] == b"id:"], [b"id: 1", b"id: 2", b"id: 3"]
        )
        _, _, rest = await self.post(Last_Event_Id="2")
        self.assertEqual(rest, b"id: 3\ndata: piece 3 of 3\n\n")

    async def test_refused_requests_are_marked_as_not_executed(self) -> None:
        refusals = [await self.post(X_Brackenladder_Expected_Instance="i-2")]
        refusals.append(await self.post(X_Brackenladder_Request_Id=""))
        refusals.append(await self.post(X_Brackenladder_Token_Usage="many"))
        async with self.server._slot():  # takes the only slot; no request may queue
            refusals.append(await self.post())
        self.assertEqual([status for status, _, _ in refusals], [421, 400, 400, 503])
        for _, answer, _ in refusals:
            self.assertEqual(answer.headers["X-Brackenladder-Not-Executed"], "true")
        self.assertEqual(sum(self.server.executed.values()), 0)
        self.assertEqual((await self.post())[0], 200)

    async def test_a_connection_that_closes_as_a_stream_ends_is_no_fault(self) -> None:
        # The soak fails on a traceback in any log. The caller may close between the last event and the end.
        class ClosesBeforeTheEnd(ModelServer):
            """A server whose connection is closed just before the end of a stream is written."""

            def event_numbers(self, first: int, last: int) -> Iterable[int]:
                yield from super().event_numbers(first, last)
                for connection in self._protocols.connections:
                    if connection.transport is not None:
                        connection.transport.close()

        self.server = await self.start(ClosesBeforeTheEnd, EngineSettings(event_seconds=0.001))
        with self.assertNoLogs("aiohttp.server"):
            with self.assertRaises(aiohttp.ClientError):
                await self.post()
            await self.server.finish()

    async def test_health_and_report_need_no_slot(self) -> None:
        base = f"http://{self.server.settings.address}"
        async with self.session.get(f"{base}/healthz") as answer:
            self.assertEqual((answer.status, answer.headers["X-Brackenladder-Instance-Id"]), (200, "i-1"))
        async with self.session.get(f"{base}/-/report") as answer:
            self.assertEqual((await answer.json())["Running"], 0)

    async def test_a_client_detects_a_missing_event(self) -> None:
        client = ModelClient((), "north", "north-a", Random(1))
        await client.start()
        self.addAsyncCleanup(client.close)
        spec = RequestSpec("h", "/chat/x", streaming=True, deadline_s=5.0)
        outcome = await client.ask(spec, gateway=self.server.settings.address)
        self.assertIs(outcome.kind, OutcomeKind.SERVED)
        outcome = await client.ask(spec, gateway=self.faulty_server.settings.address)
        self.assertEqual((outcome.kind, outcome.detail), (OutcomeKind.FAILED, "event 3 where 2 was due"))


class DifferencesTest(unittest.TestCase):
    def test_items_are_compared_by_name_and_the_version_is_ignored(self) -> None:
        before = {"Version": 1, "Routes": [{"Name": "a", "TimeoutMs": 1}, {"Name": "b"}], "Limits": {"X": 1}}
        after = {"Version": 2, "Routes": [{"Name": "c"}, {"Name": "a", "TimeoutMs": 2}], "Limits": {"X": 1}}
        self.assertEqual(
            [str(difference) for difference in differences(before, after)],
            ["~ Routes.a.TimeoutMs: 1 -> 2", '- Routes.b: {"Name": "b"}', '+ Routes.c: {"Name": "c"}'],
        )
