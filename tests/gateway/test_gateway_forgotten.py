"""Idle connections that a server has dropped: a request that meets one is sent on a new connection."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from gateway_loopback import GatewayTest, Received, answer, post, serve_ok

from brackenladder.gateway import stale_check
from brackenladder.gateway.connections import ServerConnections
from brackenladder.gateway.server_connection import ServerConnection
from brackenladder.gateway.stale_check import (
    LEAST_WAIT_SECONDS,
    LONG_ROUND_TRIP_SECONDS,
    MOST_WAIT_SECONDS,
    SUSPICION_SECONDS,
    StaleCheck,
)

LONG_CHECK = 5.0  # seconds; the reset arrives much earlier
IDLE = 1.0  # seconds
NOW = 100.0  # seconds of the monotonic clock


async def forget(request: Received) -> None:
    """Respond, and reset the connection when its next byte arrives."""
    request.write(answer(request.id))
    if await request.reader.read(1):
        request.reset()


class CheckedTest(GatewayTest):
    """Makes the gateway check every idle connection."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.set("IDLE_SECONDS", 0.0)
        self.set("LEAST_WAIT_SECONDS", LONG_CHECK)
        self.set("MOST_WAIT_SECONDS", LONG_CHECK)
        self.set("LONG_ROUND_TRIP_SECONDS", LONG_CHECK)

    def set(self, name: str, value: float) -> None:
        patch = mock.patch.object(stale_check, name, value)
        patch.start()
        self.addCleanup(patch.stop)


class StaleConnections(CheckedTest):
    servers = 1

    async def test_a_request_is_sent_on_a_new_connection(self) -> None:
        self.play(forget, serve_ok)
        client = await self.client()
        for number in range(2):
            got = await client.ask(post("/plain/x", f"r{number}"))
            self.assertEqual((got.status, got.body), (200, b"ok"))
        self.assertEqual([request.connection for request in self.script.requests], [1, 2])

    async def test_other_idle_connections_to_the_server_are_closed(self) -> None:
        both = asyncio.Barrier(2)

        async def together(request: Received) -> None:
            await both.wait()
            await forget(request)

        self.play(together, together, serve_ok)
        clients = [await self.client(), await self.client()]
        await asyncio.gather(*[client.ask(post("/plain/x", f"r{id(client)}")) for client in clients])
        got = await clients[0].ask(post("/plain/x", "last"))
        self.assertEqual(got.status, 200)
        self.assertEqual(self.script.requests[-1].connection, 3)

    async def test_a_connection_that_is_still_open_gets_the_whole_request(self) -> None:
        self.set("LEAST_WAIT_SECONDS", 0.001)
        client = await self.client()
        for number in range(3):
            body = b"body %d" % number
            got = await client.ask(post("/plain/x", f"r{number}", body))
            self.assertEqual(got.status, 200)
            self.assertEqual(self.script.requests[-1].body, body)
        self.assertEqual({request.connection for request in self.script.requests}, {1})


class TerminatedServer(CheckedTest):
    servers = 2

    async def test_a_request_for_a_terminated_server_goes_to_another(self) -> None:
        self.play(forget, serve_ok)
        client = await self.client()
        self.assertEqual((await client.ask(post("/plain/x", "r0"))).status, 200)
        first = self.script.requests[0].server
        for stand_in in self.stand_ins:
            if stand_in.name == first:
                stand_in.stop_listening()
        for number in range(1, 6):
            self.assertEqual((await client.ask(post("/plain/x", f"r{number}"))).status, 200)
        self.assertEqual(len(self.script.requests), 6)
        self.assertNotIn(first, [request.server for request in self.script.requests[1:]])


class CheckConditions(unittest.TestCase):
    def setUp(self) -> None:
        self.check = StaleCheck()

    def test_only_an_idle_connection_over_a_short_round_trip_is_checked(self) -> None:
        self.assertEqual(self.check.wait_seconds("near", 0.0, NOW), 0.0)
        self.assertEqual(self.check.wait_seconds("near", IDLE, NOW), LEAST_WAIT_SECONDS)
        self.check.connected("near", LONG_ROUND_TRIP_SECONDS)  # the time was mostly spent in this process
        self.assertEqual(self.check.wait_seconds("near", IDLE, NOW), MOST_WAIT_SECONDS)

    def test_a_long_round_trip_is_checked_after_a_stale_connection(self) -> None:
        self.check.connected("far", 0.07)
        self.assertEqual(self.check.wait_seconds("far", IDLE, NOW), 0.0)
        self.check.found_stale(NOW)
        self.assertGreater(self.check.wait_seconds("far", IDLE, NOW), 0.07)
        self.assertEqual(self.check.wait_seconds("far", IDLE, NOW + SUSPICION_SECONDS + 1), 0.0)

    def test_the_shortest_connect_time_counts_until_the_server_is_gone(self) -> None:
        for took in (0.004, 0.003, 0.02):
            self.check.connected("near", took)
        self.assertEqual(self.check.wait_seconds("near", IDLE, NOW), 0.006)
        self.check.forget("near")
        self.assertEqual(self.check.wait_seconds("near", IDLE, NOW), LEAST_WAIT_SECONDS)


class ConnectionChecks(GatewayTest):
    async def test_the_check_depends_on_the_idle_time(self) -> None:
        kept = ServerConnections(asyncio.get_running_loop())
        connection = mock.create_autospec(ServerConnection, instance=True)
        connection.idle_for = 0.0
        self.assertEqual(kept.stale_check_seconds(connection, "near"), 0.0)
        connection.idle_for = IDLE
        self.assertEqual(kept.stale_check_seconds(connection, "near"), LEAST_WAIT_SECONDS)
        await kept.close()

    async def test_the_check_depends_on_stale_connections_to_other_servers(self) -> None:
        kept = ServerConnections(asyncio.get_running_loop())
        kept._stale_check.connected("far", 0.07)
        connection = mock.create_autospec(ServerConnection, instance=True)
        connection.idle_for = IDLE
        self.assertEqual(kept.stale_check_seconds(connection, "far"), 0.0)
        kept.found_stale("near")
        self.assertGreater(kept.stale_check_seconds(connection, "far"), 0.07)
        await kept.close()
