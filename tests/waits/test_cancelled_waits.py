"""The service's waits end when they are cancelled, in whichever turn of the event loop that happens."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from random import Random
from types import SimpleNamespace
from unittest import TestCase
from unittest.mock import patch

from returns.result import Result, Success
from waits.cancel_each_turn import Wait, WaitNotEnded, cancel_in_each_turn, run_to_end

from brackenladder.catalog.catalog import Catalog
from brackenladder.catalog.orders import BeginEvacuation, encode_order
from brackenladder.consensus.replica import Replica
from brackenladder.consensus.timing import Timing
from brackenladder.consensus.types import DurableState, Member, Members, Write
from brackenladder.control_plane.consensus_host import ConsensusHost
from brackenladder.control_plane.forwarding import ReplyTable
from brackenladder.control_plane.messages import OrderOutcome, OrderReply
from brackenladder.delivery.view import SystemView
from brackenladder.gateway.server_protocol import ServerProtocol
from brackenladder.gateway.start_gate import StartGate
from brackenladder.storage.log_store import StoreError
from brackenladder.transport.codec import Codec
from brackenladder.transport.link import LinkTiming
from brackenladder.transport.tcp import TcpTransport

PATIENCE = 60.0  # seconds of virtual time
ORDER = encode_order(BeginEvacuation("hall-1"))


class HeldWriter:
    """Makes writes durable at once, or, while `held` is set, when `release` is called."""

    def __init__(self) -> None:
        self.held = False
        self._waiting: list[Callable[[], None]] = []

    def submit(self, write: Write, done: Callable[[Write, Result[None, StoreError]], None]) -> None:
        loop = asyncio.get_running_loop()
        self._waiting.append(lambda: loop.call_soon(done, write, Success(None)) and None)
        if not self.held:
            self.release()

    def release(self) -> None:
        self.held = False
        waiting, self._waiting = self._waiting, []
        for call in waiting:
            call()

    def close(self) -> None:
        pass

    def join(self, timeout_s: float) -> bool:
        return True


async def leading_host(writer: HeldWriter) -> ConsensusHost:
    """A cluster of one replica that is the leader."""
    loop = asyncio.get_running_loop()
    member = Member("one", "127.0.0.1:1")
    replica = Replica(member, DurableState(), Timing(), Random(1), 0, Members((member,)))
    host = ConsensusHost(
        replica, writer, Catalog(), lambda: int(loop.time() * 1e6), lambda _to, _what: None, lambda: None
    )
    host.start()
    while not host.leads or host.applied_index < replica.last_index:
        await asyncio.sleep(0.01)
    return host


async def leadership_change_wait() -> Wait:
    host = await leading_host(HeldWriter())
    return Wait(lambda: host.wait_for_leader_change(PATIENCE), lambda: host.leader_changed.set())


async def proposal_wait() -> Wait:
    writer = HeldWriter()
    host = await leading_host(writer)
    writer.held = True
    return Wait(
        lambda: host.propose(ORDER),
        writer.release,
        lambda: str(list(host._proposals) if host._proposals else ""),
    )


async def read_round_wait() -> Wait:
    host = await leading_host(HeldWriter())
    resolve = host._resolve_reads
    # The round does not end by itself.
    host._resolve_reads = lambda _output: None  # type: ignore[method-assign]

    def end() -> None:
        host._resolve_reads = resolve  # type: ignore[method-assign]
        for token in list(host._reads):
            host._resolve_read(token, Success(None))

    return Wait(host.confirm_read, end, lambda: str(list(host._reads) if host._reads else ""))


async def newer_catalog_wait() -> Wait:
    host = await leading_host(HeldWriter())
    host.catalog = SimpleNamespace(revision=0)  # type: ignore[assignment]  # all that the wait looks at

    def end() -> None:
        host.catalog = SimpleNamespace(revision=9)  # type: ignore[assignment]
        host._revision_changed.set()

    return Wait(lambda: host.wait_for_revision(9), end)


def leader_reply_wait(by_change: bool) -> Callable[[], object]:
    async def make() -> Wait:
        table = ReplyTable()
        link = object()
        changed = asyncio.Event()
        request = table.open(link)  # type: ignore[arg-type]  # it is only compared

        def end() -> None:
            if by_change:
                changed.set()
            else:
                table.resolve(link, OrderReply(request, OrderOutcome.ACCEPTED, 1))  # type: ignore[arg-type]

        left = lambda: str(list(table._waiting) if table._waiting else "")  # noqa: E731
        return Wait(lambda: table.wait(request, OrderReply, changed, PATIENCE), end, left)

    return make


async def start_gate_wait() -> Wait:
    gate = StartGate(SystemView())
    return Wait(lambda: gate.wait(1 << 40), gate.open)


async def loss_of_an_idle_connection() -> Wait:
    protocol = ServerProtocol(asyncio.get_running_loop())
    left = lambda: "a waiter" if protocol._lost_waiter is not None else ""  # noqa: E731
    return Wait(lambda: protocol.wait_for_loss(PATIENCE), lambda: protocol.connection_lost(None), left)


class CancelledWaitsTest(TestCase):
    def test_a_wait_for_another_leader(self) -> None:
        cancel_in_each_turn(leadership_change_wait)

    def test_an_order_that_waits_for_its_commit(self) -> None:
        cancel_in_each_turn(proposal_wait)

    def test_a_read_that_waits_for_a_quorum(self) -> None:
        cancel_in_each_turn(read_round_wait)

    def test_a_read_that_waits_for_the_nodes_own_log(self) -> None:
        cancel_in_each_turn(newer_catalog_wait)

    def test_a_reply_of_the_leader(self) -> None:
        cancel_in_each_turn(leader_reply_wait(by_change=False))  # type: ignore[arg-type]

    def test_a_reply_that_a_leader_change_ends(self) -> None:
        cancel_in_each_turn(leader_reply_wait(by_change=True))  # type: ignore[arg-type]

    def test_a_request_that_waits_at_the_start_gate(self) -> None:
        cancel_in_each_turn(start_gate_wait)

    def test_the_check_of_an_idle_connection(self) -> None:
        cancel_in_each_turn(loss_of_an_idle_connection)


class PlantedFaultsTest(TestCase):
    """Planted faults that the checks have to find.

    Two of them were found by CI on a loaded machine; the third is the simplest of their kind.
    """

    def test_a_lost_cancellation(self) -> None:
        async def dropping(self: ConsensusHost, timeout: float) -> None:
            with suppress(TimeoutError):
                await asyncio.wait_for(self._leader_changed.wait(), timeout)

        with patch.object(ConsensusHost, "wait_for_leader_change", dropping), self.assertRaises(WaitNotEnded):
            cancel_in_each_turn(leadership_change_wait)

    def test_a_connection_that_never_learns_of_its_end(self) -> None:
        aborted = TcpTransport._abort_all

        def forgets_none(self: TcpTransport) -> None:
            links = set(self._incoming)
            aborted(self)
            self._incoming |= links

        close_transport_while_accepting()
        with patch.object(TcpTransport, "_abort_all", forgets_none), self.assertRaises(WaitNotEnded):
            close_transport_while_accepting()

    def test_an_end_that_is_not_noticed(self) -> None:
        async def make() -> Wait:
            waiter = asyncio.get_running_loop().create_future()

            async def wait() -> None:
                with suppress(asyncio.CancelledError):
                    await waiter
                await asyncio.Event().wait()

            return Wait(wait, lambda: None)

        with self.assertRaises(WaitNotEnded):
            cancel_in_each_turn(make)


def close_transport_while_accepting() -> None:
    """Close a transport in the turn in which asyncio creates a connection's protocol, then drop that."""

    async def close() -> None:
        transport = TcpTransport(Codec(), LinkTiming(close_grace=1_000), Random(1))
        transport._accept(object())  # type: ignore[arg-type]  # nothing is ever handed over
        await transport.close()

    run_to_end(close)
