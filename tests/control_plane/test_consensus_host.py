"""ConsensusHost: proposals, reads, and a store that hangs or fails without blocking the event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from threading import Event
from unittest import IsolatedAsyncioTestCase

from returns.result import Failure, Result, Success

from brackenladder.catalog.catalog import Catalog
from brackenladder.catalog.orders import Accepted, BeginEvacuation, encode_order
from brackenladder.consensus.command_parts import PART_BYTES
from brackenladder.consensus.messages import UNKNOWN_AGE
from brackenladder.consensus.replica import Replica, Timing
from brackenladder.consensus.types import DurableState, Member, Members, Snapshot, Write
from brackenladder.control_plane.consensus_host import ConsensusHost, OrderResult
from brackenladder.control_plane.errors import Unavailable
from brackenladder.node.role_runner import monotonic_microseconds
from brackenladder.storage.log_store import StoreError, StoreFailed
from brackenladder.storage.memory_log import MemoryLogStore
from brackenladder.storage.writer import StoreWriter

PATIENCE = 20.0  # seconds; test timeout, reached only on failure
POLL_SECONDS = 0.005
ORDER = encode_order(BeginEvacuation("hall-1"))


class FaultyStore(MemoryLogStore):
    """A store that can be made to hang or to fail."""

    def __init__(self, replica_id: str) -> None:
        super().__init__(replica_id)
        self.available = Event()
        self.available.set()
        self.failing = False

    def apply(self, write: Write) -> Result[None, StoreError]:
        self.available.wait(PATIENCE)
        return Failure(StoreFailed("disk error")) if self.failing else super().apply(write)


class ConsensusHostTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        member = Member("one", "127.0.0.1:1")
        self.store = FaultyStore("one")
        writer = StoreWriter(self.store, asyncio.get_running_loop())
        timing = Timing(election_min=50_000, election_max=100_000, write_limit=200_000, write_retry=50_000)
        now = monotonic_microseconds()
        replica = Replica(member, DurableState(), timing, Random(1), now, Members((member,)))
        self.catalog = Catalog()
        self.changes = 0
        self.host = ConsensusHost(
            replica, writer, self.catalog, monotonic_microseconds, self.fail_on_message, self.count_change
        )
        self.host.start()
        self.addCleanup(writer.join, PATIENCE)
        self.addCleanup(writer.close)
        self.addCleanup(self.host.close)
        self.addCleanup(self.store.available.set)
        await self.until(lambda: self.host.leads)

    def fail_on_message(self, replica_id: str, message: object) -> None:
        self.fail(f"{message} for {replica_id}")

    def count_change(self) -> None:
        self.changes += 1

    async def until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(PATIENCE):
            while not condition():
                await asyncio.sleep(POLL_SECONDS)

    async def propose_once(self) -> OrderResult:
        """Proposes an order once."""
        async with asyncio.timeout(PATIENCE):
            return await self.host.propose(ORDER)

    async def propose(self, order: bytes = ORDER) -> OrderResult:
        """Proposes an order, and waits for a leader if a slow store has ended the last leader's term."""
        async with asyncio.timeout(PATIENCE):
            while (answer := await self.host.propose(order)) == Failure(Unavailable.NO_LEADER):
                await self.host.wait_for_leader_change(POLL_SECONDS)
            return answer

    async def test_proposal_returns_the_outcome_of_the_catalog(self) -> None:
        self.assertEqual(await self.propose(), Success(Accepted(0)))
        self.assertEqual(self.catalog.evacuated, {"hall-1"})
        self.assertEqual(self.changes, 1)
        self.assertEqual(await self.host.confirm_read(), Success(None))

    async def test_hanging_store_ends_the_wait_with_an_unknown_outcome(self) -> None:
        self.store.available.clear()
        self.assertEqual(await self.propose_once(), Failure(Unavailable.LOST))
        self.assertFalse(self.host.leads)
        self.assertEqual(await self.host.confirm_read(), Failure(Unavailable.NO_LEADER))
        self.store.available.set()
        self.assertEqual(await self.propose(), Success(Accepted(0)))

    async def test_failed_write_is_not_counted_for_a_commit(self) -> None:
        self.store.failing = True
        self.assertEqual(await self.propose_once(), Failure(Unavailable.LOST))
        self.assertEqual(self.catalog.evacuated, frozenset())
        self.store.failing = False
        self.assertEqual(await self.propose(), Success(Accepted(0)))

    async def test_unreadable_snapshot_makes_the_node_unavailable(self) -> None:
        self.assertEqual(await self.propose(), Success(Accepted(0)))
        self.host._restore(Snapshot(self.host.applied_index, 1, Members(), b"of a later version"))
        self.assertEqual(await self.propose_once(), Failure(Unavailable.NO_LEADER))
        self.assertEqual(await self.host.confirm_read(), Failure(Unavailable.NO_LEADER))
        self.assertEqual(self.host.contact_age(), UNKNOWN_AGE)
        self.host._restore(Snapshot(self.host.applied_index, 1, Members(), self.catalog.snapshot()))
        self.assertEqual(await self.propose(), Success(Accepted(0)))

    async def test_large_command_is_reassembled(self) -> None:
        zone = "z" * (3 * PART_BYTES)
        answer = await self.propose(encode_order(BeginEvacuation(zone)))
        self.assertEqual(answer, Success(Accepted(0)))
        self.assertIn(zone, self.catalog.evacuated)

    async def test_wait_for_revision(self) -> None:
        waiting = asyncio.create_task(self.host.wait_for_revision(1))
        await asyncio.sleep(0)
        self.assertFalse(waiting.done())
        await self.propose()
        async with asyncio.timeout(PATIENCE):
            await waiting

    async def test_cancelled_wait_for_leader_change_ends(self) -> None:
        """Cancels the wait in the event loop iteration of the leader change, or in one of the next."""
        for turns in range(5):
            waiting = asyncio.create_task(self.host.wait_for_leader_change(PATIENCE))
            await asyncio.sleep(0)
            self.host.leader_changed.set()
            for _ in range(turns):
                await asyncio.sleep(0)
            was_cancelled = waiting.cancel()
            await asyncio.wait([waiting])
            self.assertEqual(waiting.cancelled(), was_cancelled, turns)
            self.host.leader_changed.clear()

    async def test_close_ends_all_waits(self) -> None:
        self.store.available.clear()
        last_index = self.host.replica.last_index
        waiting = asyncio.create_task(self.propose_once())
        reading = asyncio.create_task(self.host.confirm_read())
        await self.until(lambda: self.host.replica.last_index > last_index)
        self.host.close()
        self.assertEqual(await waiting, Failure(Unavailable.LOST))
        self.assertIn(await reading, (Success(None), Failure(Unavailable.LOST)))

    async def test_closed_host_refuses_calls(self) -> None:
        self.host.close()
        self.assertEqual(await self.propose_once(), Failure(Unavailable.NO_LEADER))
        self.assertEqual(await self.host.confirm_read(), Failure(Unavailable.NO_LEADER))
