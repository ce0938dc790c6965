"""A service that is configured no longer: its calls go on, by what is told of its servers meanwhile."""

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


async def begin_and_break(request: Received) -> None:
    """One event, and once the client has it and something has changed, a reset."""
    request.write(stream_head(request.id) + chunk(event(1)))
    await request.passed_on.wait()
    await request.closed.wait()  # set by the test
    request.reset()


async def go_on(request: Received) -> None:
    request.write(stream_head(request.id, "stamp.2") + chunk(event(2)) + LAST_CHUNK)


class LeavingService(GatewayTest):
    def remove_service(self) -> None:
        self.configure((OTHER_ROUTE,), (OTHER,))

    def tell(self, server: str, state: ServerState, seq: int = 2) -> None:
        address = next(one.address for one in self.stand_ins if one.name == server)
        record = ServerRecord(server, SERVICE, address, "za", 16, state, seq)
        self.view.merge_servers(microseconds(), [record])

    async def stream_of_a_removed_service(self) -> tuple[Received, asyncio.Task[bytes]]:
        """Its first event has come, and the service is removed; the client reads on."""
        self.play(begin_and_break, go_on)
        client = await self.client()
        client.send(post("/resumable/x"))
        first = await self.arrival()
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

    async def test_a_stream_goes_on_though_its_service_is_removed(self) -> None:
        first, rest = await self.stream_of_a_removed_service()
        first.closed.set()
        self.assertEqual(await asyncio.wait_for(rest, PATIENCE), event(2))

    async def test_it_is_not_taken_up_at_a_server_that_drains_since(self) -> None:
        first, rest = await self.stream_of_a_removed_service()
        self.tell(self.other_than(first.server), ServerState.DRAINING)
        first.closed.set()
        self.assertEqual(await asyncio.wait_for(rest, PATIENCE), b"")
        self.assertEqual(len(self.script.requests), 1)

    async def test_nor_at_one_that_is_gone(self) -> None:
        first, rest = await self.stream_of_a_removed_service()
        self.tell(self.other_than(first.server), ServerState.GONE)
        first.closed.set()
        self.assertEqual(await asyncio.wait_for(rest, PATIENCE), b"")
        self.assertEqual(len(self.script.requests), 1)

    async def test_a_service_that_comes_back_keeps_its_pool_while_calls_go_on(self) -> None:
        self.play(silent)
        pools = self.gateway._context.pools
        before = pools._pools[SERVICE]
        client = await self.client()
        client.send(post("/plain/x"))
        await self.arrival()
        self.remove_service()
        self.configure()
        self.assertIs(pools._pools[SERVICE], before)
        self.assertEqual(pools._leaving, [])

    async def test_a_pool_that_misses_a_servers_draining_is_counted(self) -> None:
        """The invariant would have shown the fault."""
        self.gateway._context.pools._pools[SERVICE].close()
        self.list_servers(ServerState.DRAINING, seq=2)
        with VIOLATIONS.apart():
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
