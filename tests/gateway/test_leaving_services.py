"""A service removed from the configuration: its calls continue, and its pool still follows the servers."""

from __future__ import annotations

import asyncio

from attrs import evolve
from gateway.gateway_loopback import (
    LAST_CHUNK,
    PATIENCE,
    RESUMABLE,
    SERVICE,
    GatewayTest,
    Received,
    chunk,
    event,
    microseconds,
    post,
    silent,
    stream_head,
)

from brackenladder.catalog.configuration import Target
from brackenladder.invariants import VIOLATIONS, Invariant
from brackenladder.registry.records import ServerRecord, ServerState

OTHER = "other"
OTHER_ROUTE = evolve(RESUMABLE, name="moved", split=(Target(OTHER, 1.0),))


async def begin_and_reset(request: Received) -> None:
    """Send one event, and reset the connection once the client has the event and `closed` is set."""
    request.write(stream_head(request.id) + chunk(event(1)))
    await request.client_read.wait()
    await request.closed.wait()  # set by the test
    request.reset()


async def resume_stream(request: Received) -> None:
    request.write(stream_head(request.id, "stamp.2") + chunk(event(2)) + LAST_CHUNK)


class RemovedService(GatewayTest):
    def remove_service(self) -> None:
        self.configure((OTHER_ROUTE,), (OTHER,))

    def tell(self, server: str, state: ServerState, seq: int = 2) -> None:
        address = next(one.address for one in self.stand_ins if one.name == server)
        record = ServerRecord(server, SERVICE, address, "za", 16, state, seq)
        self.view.merge_servers(microseconds(), [record])

    async def stream_of_a_removed_service(self) -> tuple[Received, asyncio.Task[bytes]]:
        """Start a stream, and remove its service once the first event has arrived; the client reads on."""
        self.play(begin_and_reset, resume_stream)
        client = await self.client()
        client.send(post("/resumable/x"))
        first = await self.next_request()
        await asyncio.wait_for(client.head(), PATIENCE)
        await asyncio.wait_for(client.read_chunk(), PATIENCE)
        self.remove_service()

        async def rest() -> bytes:
            parts = []
            try:
                while data := await client.read_chunk():
                    parts.append(data)
            except (asyncio.IncompleteReadError, ConnectionError):
                pass
            return b"".join(parts)

        return first, asyncio.create_task(rest())

    def other_than(self, server: str) -> str:
        return next(one.name for one in self.stand_ins if one.name != server)

    async def test_a_stream_continues_although_its_service_is_removed(self) -> None:
        first, rest = await self.stream_of_a_removed_service()
        first.closed.set()
        self.assertEqual(await asyncio.wait_for(rest, PATIENCE), event(2))

    async def test_it_is_not_resumed_at_a_server_that_drains_meanwhile(self) -> None:
        first, rest = await self.stream_of_a_removed_service()
        self.tell(self.other_than(first.server), ServerState.DRAINING)
        first.closed.set()
        self.assertEqual(await asyncio.wait_for(rest, PATIENCE), b"")
        self.assertEqual(len(self.script.requests), 1)

    async def test_it_is_not_resumed_at_a_server_that_is_gone(self) -> None:
        first, rest = await self.stream_of_a_removed_service()
        self.tell(self.other_than(first.server), ServerState.GONE)
        first.closed.set()
        self.assertEqual(await asyncio.wait_for(rest, PATIENCE), b"")
        self.assertEqual(len(self.script.requests), 1)

    async def test_a_service_configured_again_keeps_its_pool_while_calls_continue(self) -> None:
        self.play(silent)
        pools = self.gateway._context.pools
        before = pools._pools[SERVICE]
        client = await self.client()
        client.send(post("/plain/x"))
        await self.next_request()
        self.remove_service()
        self.configure()
        self.assertIs(pools._pools[SERVICE], before)
        self.assertEqual(pools._leaving, [])

    async def test_a_pool_that_misses_a_drained_server_violates_the_invariant(self) -> None:
        """If the pool missed the change, the invariant would count a violation."""
        self.gateway._context.pools._pools[SERVICE].close()
        self.list_servers(ServerState.DRAINING, seq=2)
        with VIOLATIONS.restoring_counts():
            before = VIOLATIONS.violations().get(Invariant.SERVER_TAKES_REQUESTS, 0)
            self.assertEqual((await self.ask(post("/plain/x"))).status, 200)
            self.assertEqual(VIOLATIONS.violations().get(Invariant.SERVER_TAKES_REQUESTS), before + 1)

    async def test_a_removed_service_without_calls_is_forgotten(self) -> None:
        pools = self.gateway._context.pools
        before = pools._pools[SERVICE]
        self.assertEqual((await self.ask(post("/plain/x"))).status, 200)
        self.remove_service()
        self.assertTrue(before.closed)
        self.assertEqual(pools._leaving, [])
