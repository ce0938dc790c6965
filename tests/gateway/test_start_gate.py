"""Requests that arrive while a gateway starts."""

from __future__ import annotations

import asyncio
import unittest

from gateway.gateway_loopback import PATIENCE, GatewayTest, post

from brackenladder.catalog.configuration import Configuration, Limits, Service
from brackenladder.delivery.view import SystemView
from brackenladder.gateway.start_gate import StartGate
from brackenladder.registry.records import ServerRecord, ServerState

LONG = 100_000_000  # microseconds


def configuration(*services: str) -> Configuration:
    return Configuration(1, (), tuple([Service(name, max_connections=9) for name in services]), Limits())


def server(name: str, service: str, state: ServerState = ServerState.READY) -> ServerRecord:
    return ServerRecord(name, service, "10.0.0.1:80", "za", 16, state, 1)


class StartGateTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.view = SystemView()

    def test_a_complete_view_opens_it_at_once(self) -> None:
        self.view.set_catalog(1, configuration("a"), frozenset())
        self.view.merge_servers(0, [server("s1", "a")])
        self.assertTrue(StartGate(self.view).is_open)

    def test_each_service_needs_a_server(self) -> None:
        gate = StartGate(self.view)
        self.view.merge_servers(0, [server("s1", "a")])
        self.view.set_catalog(1, configuration("a", "b"), frozenset())
        self.assertFalse(gate.is_open)
        self.view.merge_servers(0, [server("s2", "b", ServerState.DRAINING)])
        self.assertFalse(gate.is_open)
        self.view.merge_servers(0, [server("s3", "b")])
        self.assertTrue(gate.is_open)

    async def test_requests_continue_as_soon_as_it_opens(self) -> None:
        gate = StartGate(self.view)
        waiting = asyncio.ensure_future(gate.wait(LONG))
        await asyncio.sleep(0)
        self.assertFalse(waiting.done())
        gate.open()
        await asyncio.wait_for(waiting, PATIENCE)

    async def test_it_holds_requests_no_longer_than_allowed(self) -> None:
        gate = StartGate(self.view)
        await asyncio.wait_for(gate.wait(0), PATIENCE)
        self.assertFalse(gate.is_open)


class HeldRequests(GatewayTest):
    def configure(self, *arguments: object, **changes: object) -> None:
        """Leave the view empty when the gateway starts."""

    def list_servers(self, *arguments: object, **changes: object) -> None:
        """Leave the view empty when the gateway starts."""

    async def test_a_request_waits_for_configuration_and_servers(self) -> None:
        client = await self.client()
        client.send(post("/plain/x"))
        answer = asyncio.ensure_future(client.read())
        super().list_servers()
        super().configure()
        got = await asyncio.wait_for(answer, PATIENCE)
        self.assertEqual(got.status, 200)

    async def test_a_ready_gateway_holds_no_requests(self) -> None:
        self.gateway.ready = True
        got = await self.ask(post("/plain/x"))
        self.assertEqual(got.status, 503)

    async def test_without_a_configuration_no_limits_apply(self) -> None:
        self.gateway.ready = True
        large = post("/plain/x", extra=["X-Big: " + "b" * 20_000])
        self.assertEqual((await self.ask(large)).status, 503)
